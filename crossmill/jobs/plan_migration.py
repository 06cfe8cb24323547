"""Migration of plans from legacy chunks to segments that fit the state service's next limits.

The segments are first written as staged copies, which have no effect while the legacy chunk exists.
The chunk's deletion, in a transaction conditional on the copied version, makes all copies effective
atomically. If the copies and the deletion fit into one transaction, a single one does both. At no
time does a planned task appear to be unplanned, and after a crash between two transactions the
legacy chunk is still in effect. Called by the scheduling loop and the plan writer; owns no state.
The next limits are `next_state_limits` in the settings.
"""

import logging
from typing import NamedTuple

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.layout import ChunkRange
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import ACTIVE, Job, PlanChunk
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_chunk
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn

log = logging.getLogger(__name__)


class _CopyChange(NamedTuple):
    """Write of a staged copy, or its deletion if `copy` is None, at the key's current version."""

    name: str
    copy: PlanChunk | None
    version: int


class PlanMigration:
    """Selects the legacy chunks to migrate and creates the next transaction for each."""

    def __init__(self, cluster: ClusterState, membership: Membership) -> None:
        self._cluster = cluster
        self._membership = membership

    def is_due(self, job: Job, name: str) -> bool:
        """Return whether the chunk is a legacy chunk with more tasks than fit into a segment."""
        layout = self._cluster.layout
        if layout.segment_tasks is None or (job.id, name) not in self._cluster.plans.legacy_chunks:
            return False
        chunk_range = layout.parse(name)
        tasks = job.spec.tasks if job.spec is not None else chunk_range.end
        return min(chunk_range.end, tasks) - chunk_range.first > layout.segment_tasks

    def intents(self, shard: int, ownership: ShardOwnership) -> list[WriteIntent]:
        """Return the next transaction for each of the shard's chunks to be migrated."""
        intents: list[WriteIntent] = []
        for (_, name), job in list(self._cluster.plans.legacy_chunks.items()):
            if len(intents) >= self._cluster.limits.txn_ops:
                break
            is_obsolete = job.end != ACTIVE and not job.chunks[name].attempts
            if job.shard == shard and not is_obsolete and self.is_due(job, name):
                intents.append(self._next_intent(job, name, shard, ownership))
        return intents

    def _next_intent(
        self, job: Job, name: str, shard: int, ownership: ShardOwnership
    ) -> WriteIntent:
        """Return a transaction with as many changes of staged copies as fit.

        If all remaining changes and the deletion of the legacy chunk fit, it includes the deletion.
        """
        legacy = job.chunks[name]
        legacy_key = keys.plan(job.id, name)
        changes = self._pending_changes(job, self._cluster.layout.parse(name), legacy)
        max_ops = self._cluster.limits.txn_ops
        is_last = len(changes) < max_ops
        txn = Txn({legacy_key: legacy.version})
        for change in changes[: max_ops - 1 if is_last else max_ops]:
            key = keys.plan(job.id, change.name)
            txn.conditions[key] = change.version
            if change.copy is None:
                txn.deletes.append(key)
            else:
                txn.puts.append(Put(key, encode_chunk(change.copy)))
        if is_last:
            txn.deletes.append(legacy_key)
            log.info("plan moved into segments job=%s chunk=%s", job.id, name)
        return shard_intent(self._membership, shard, ownership, WriteRank.PLACEMENT, txn)

    def _pending_changes(
        self, job: Job, legacy_range: ChunkRange, legacy: PlanChunk
    ) -> list[_CopyChange]:
        """Return the changes that bring the staged copies up to date with the legacy chunk."""
        tasks = job.spec.tasks if job.spec is not None else legacy_range.end
        copies = self._split_into_segments(legacy_range, legacy, tasks)
        changes: list[_CopyChange] = []
        for name, copy in copies.items():
            staged = job.staged.get(name)
            if staged is None:
                changes.append(_CopyChange(name, copy, 0))
            elif encode_chunk(staged) != encode_chunk(copy):
                changes.append(_CopyChange(name, copy, staged.version))
        changes.extend(
            _CopyChange(name, None, staged.version)
            for name, staged in job.staged.items()
            if legacy_range.first <= staged.first_task < legacy_range.end and name not in copies
        )
        return changes

    def _split_into_segments(
        self, legacy_range: ChunkRange, legacy: PlanChunk, tasks: int
    ) -> dict[str, PlanChunk]:
        """Return the segments into which the legacy chunk is split, by name.

        Each segment starts with the next attempt number of the whole chunk, so that no attempt
        number is reused. The first one gets the recorded failures, which count for the whole job.
        """
        layout = self._cluster.layout
        copies: dict[str, PlanChunk] = {}
        index = legacy_range.first
        while index < min(legacy_range.end, tasks):
            segment = layout.segment_of(index)
            mask = (1 << (segment.end - segment.first)) - 1
            done = legacy.done_bitmap >> (segment.first - legacy_range.first) & mask
            attempts = {
                task_index: attempt
                for task_index, attempt in legacy.attempts.items()
                if segment.first <= task_index < segment.end
            }
            copy = PlanChunk(legacy.next_attempt_number, done, attempts, 0, segment.first)
            if not copies:
                copy.failed_at, copy.has_run = dict(legacy.failed_at), legacy.has_run
            copies[segment.name] = copy
            index = segment.end
        return copies
