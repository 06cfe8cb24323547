"""Moves plans from legacy chunks into segments that fit the state service's next limits.

The segments are first written as copies, which nobody heeds while the legacy chunk exists; its
deletion, in a transaction that rests on the version that was copied, puts them in force at once.
Where the copies fit beside the deletion, that is one transaction. At no time does a task seem free
that is planned, and an end of the process between two steps leaves the legacy chunk in force.
"""

import logging
from typing import NamedTuple

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.layout import ChunkRange
from ..cluster.membership import Membership
from ..cluster.model import ACTIVE, Job, PlanChunk
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_chunk
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from .shard_writes import shard_intent

log = logging.getLogger(__name__)


class _Change(NamedTuple):
    """A copy to be written (or deleted, if it holds nothing) where `version` stands now."""

    name: str
    copy: PlanChunk | None
    version: int


class PlanMigration:
    """Which legacy chunks have to be moved, and the next step of each."""

    def __init__(self, cluster: ClusterState, membership: Membership) -> None:
        self._cluster = cluster
        self._membership = membership

    def is_due(self, job: Job, name: str) -> bool:
        """Whether the chunk is a legacy one that could outgrow a segment."""
        layout = self._cluster.layout
        if layout.segment_tasks is None or (job.id, name) not in self._cluster.plans.legacy_chunks:
            return False
        where = layout.parse(name)
        tasks = job.spec.tasks if job.spec is not None else where.end
        return min(where.end, tasks) - where.first > layout.segment_tasks

    def steps(self, shard: int, ownership: ShardOwnership) -> list[WriteIntent]:
        """The next transaction for each chunk of the shard that has to be moved."""
        intents: list[WriteIntent] = []
        for (_, name), job in list(self._cluster.plans.legacy_chunks.items()):
            if len(intents) >= self._cluster.limits.txn_ops:
                break
            is_empty = job.end != ACTIVE and not job.chunks[name].attempts
            if job.shard == shard and not is_empty and self.is_due(job, name):
                intents.append(self._step(job, name, shard, ownership))
        return intents

    def _step(self, job: Job, name: str, shard: int, ownership: ShardOwnership) -> WriteIntent:
        legacy = job.chunks[name]
        legacy_key = keys.plan(job.id, name)
        changes = self._changes(job, self._cluster.layout.parse(name), legacy)
        most = self._cluster.limits.txn_ops
        is_last = len(changes) < most
        txn = Txn({legacy_key: legacy.version})
        for change in changes[: most - 1 if is_last else most]:
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

    def _changes(self, job: Job, where: ChunkRange, legacy: PlanChunk) -> list[_Change]:
        """Where the copies differ from what they have to be."""
        wanted = self._copies(where, legacy, job.spec.tasks if job.spec is not None else where.end)
        changes: list[_Change] = []
        for name, copy in wanted.items():
            staged = job.staged.get(name)
            if staged is None:
                changes.append(_Change(name, copy, 0))
            elif encode_chunk(staged) != encode_chunk(copy):
                changes.append(_Change(name, copy, staged.version))
        for name, staged in job.staged.items():
            if where.first <= staged.first < where.end and name not in wanted:
                changes.append(_Change(name, None, staged.version))
        return changes

    def _copies(self, where: ChunkRange, legacy: PlanChunk, tasks: int) -> dict[str, PlanChunk]:
        """The legacy chunk cut into segments. Each goes on counting attempts where the whole
        stands, so that no attempt number comes twice.
        """
        layout = self._cluster.layout
        copies: dict[str, PlanChunk] = {}
        index = where.first
        while index < min(where.end, tasks):
            segment = layout.segment_of(index)
            mask = (1 << (segment.end - segment.first)) - 1
            done = legacy.done >> (segment.first - where.first) & mask
            attempts = {
                i: r for i, r in legacy.attempts.items() if segment.first <= i < segment.end
            }
            copies[segment.name] = PlanChunk(legacy.next, done, attempts, 0, segment.first)
            index = segment.end
        return copies
