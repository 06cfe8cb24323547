"""Encoding of plan changes as transactions, conditional on the versions they are based on.

Called by the scheduling loop with a round's edits; owns no state.
"""

from dataclasses import replace
from typing import Any

import orjson

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.layout import ChunkRange
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import DONE, Job, Machine, PlanChunk, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_chunk, encode_end
from ..net.clock import Clock
from ..settings.deployment import RESERVED_CONDITIONS
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from ..workers.attempt_outcomes import AttemptOutcome, EndReason
from .plan_migration import PlanMigration

# machines with failures that a chunk records; more than make a job count as the cause
MAX_FAILED_MACHINES = 4


class PlanEdit:
    """A round's changes to one chunk of a job's plan, with the versions they are based on.

    A new edit contains no changes and refers to the chunk's current version in the mirror. Its
    write fails if any of the versions has changed since.
    """

    __slots__ = (
        "base",
        "chunk_name",
        "has_run",
        "job",
        "job_version",
        "machine_versions",
        "outcomes",
        "starts",
    )

    def __init__(self, job: Job, chunk_name: str) -> None:
        self.job = job
        self.chunk_name = chunk_name
        self.base: PlanChunk | None = job.chunks.get(chunk_name)
        self.job_version = job.version
        # outcomes of attempts that have ended
        self.outcomes: list[AttemptOutcome] = []
        self.starts: list[PlannedAttempt] = []
        # whether an attempt of the failing job has run for long
        self.has_run = False
        # record versions of the machines that `starts` uses, by machine ID
        self.machine_versions: dict[str, int] = {}

    def start(self, attempt: PlannedAttempt, machine: Machine) -> None:
        """Add the start of an attempt on the machine at its current version in the mirror."""
        self.starts.append(attempt)
        self.machine_versions[machine.id] = machine.version


# edits by job ID and chunk name
PlanEdits = dict[tuple[str, str], PlanEdit]


def get_or_create_edit(edits: PlanEdits, job: Job, chunk_name: str) -> PlanEdit:
    """Return the round's edit of the chunk, creating it if there is none yet."""
    edit = edits.get((job.id, chunk_name))
    if edit is None:
        edit = edits[job.id, chunk_name] = PlanEdit(job, chunk_name)
    return edit


class PlanWriter:
    """Converts a round's edits to write intents."""

    def __init__(
        self, clock: Clock, cluster: ClusterState, membership: Membership, migration: PlanMigration
    ) -> None:
        self._migration = migration
        self._clock = clock
        self._cluster = cluster
        self._membership = membership

    def intent(self, edit: PlanEdit, shard: int, ownership: ShardOwnership) -> WriteIntent | None:
        """Return the write of an edited chunk, or None if there is nothing to write."""
        job, spec = edit.job, edit.job.spec
        is_empty = not (edit.outcomes or edit.starts or edit.has_run)
        if is_empty or not (job.has_record or job.has_ended):
            return None
        if self._migration.is_due(job, edit.chunk_name):
            # the chunk may exceed the new size limit; the next heartbeats prove the outcomes again,
            # and a later round places the tasks again
            return None
        old_chunk = edit.base
        chunk_range = self._cluster.layout.parse(edit.chunk_name)
        new_chunk = (
            PlanChunk(
                old_chunk.next_attempt_number,
                old_chunk.done_bitmap,
                dict(old_chunk.attempts),
                failed_at=dict(old_chunk.failed_at),
                has_run=old_chunk.has_run or edit.has_run,
            )
            if old_chunk
            else PlanChunk()
        )
        key = keys.plan(job.id, edit.chunk_name)
        txn = Txn({key: old_chunk.version if old_chunk else 0})
        if old_chunk is None:
            txn.conditions.update(self._layout_conditions(job, chunk_range))
        if edit.starts:
            txn.conditions.update(self._start_conditions(edit))
        self._apply_outcomes(edit, chunk_range, ownership, new_chunk, txn)
        for attempt in edit.starts:
            new_chunk.attempts[attempt.index] = attempt
            new_chunk.next_attempt_number = attempt.number + 1
        txn.puts.append(Put(key, self._encode_within_limit(new_chunk)))
        is_finished = spec is not None and self._is_finished(edit, spec, new_chunk)
        if spec is not None and is_finished:
            txn.conditions[keys.job(job.id)] = edit.job_version
            txn.puts.append(Put(keys.job(job.id), self._encode_done(spec)))
        rank = WriteRank.PLACEMENT if edit.starts or is_finished else WriteRank.OUTCOME
        return shard_intent(self._membership, shard, ownership, rank, txn)

    def _encode_within_limit(self, chunk: PlanChunk) -> dict[str, Any]:
        """Encode the chunk, without its failures if it would exceed the limit of a value."""
        value = encode_chunk(chunk)
        if chunk.failed_at and len(orjson.dumps(value)) > self._cluster.limits.max_record_bytes:
            value = encode_chunk(replace(chunk, failed_at={}))
        return value

    def job_end_intents(self, shard: int, ownership: ShardOwnership) -> list[WriteIntent]:
        """Return the writes that end jobs whose last chunks were finished at the same time.

        Neither chunk's write could include the job's end, since each was based on the other chunk
        being unfinished. Finished tasks stay finished, so only the job's record is a condition.
        """
        intents: list[WriteIntent] = []
        for job in self._cluster.jobs.all_tasks_done[shard].values():
            if job.spec is not None:
                key = keys.job(job.id)
                put = Put(key, self._encode_done(job.spec))
                txn = Txn({key: job.version}, [put])
                intents.append(
                    shard_intent(self._membership, shard, ownership, WriteRank.PLACEMENT, txn)
                )
        return intents

    def _start_conditions(self, edit: PlanEdit) -> dict[str, int]:
        """Return the conditions of starts: job not cancelled, no machine retired since."""
        conditions = {keys.job(edit.job.id): edit.job_version}
        for machine_id, version in edit.machine_versions.items():
            conditions[keys.machine(machine_id)] = version
        return conditions

    def _layout_conditions(self, job: Job, chunk_range: ChunkRange) -> dict[str, int]:
        """Return the conditions of creating a chunk.

        They ensure that tasks are planned in a legacy chunk or in segments, never in both, no
        matter how late a transaction is executed.
        """
        if chunk_range.is_segment:
            legacy = self._cluster.layout.legacy_chunk_of(chunk_range.first)
            return {keys.plan(job.id, legacy.name): 0}
        return {keys.LEVEL: 0}

    def _apply_outcomes(
        self,
        edit: PlanEdit,
        chunk_range: ChunkRange,
        ownership: ShardOwnership,
        new_chunk: PlanChunk,
        txn: Txn,
    ) -> None:
        """Remove the attempts that have ended from the new chunk.

        An outcome of another term or of another attempt is ignored. So is an outcome whose
        preconditions exceed the transaction's limit; it is proved again later.
        """
        max_conditions = self._cluster.limits.max_conditions - RESERVED_CONDITIONS
        for outcome in edit.outcomes:
            conditions = {**txn.conditions, **outcome.preconditions}
            index = outcome.attempt.index
            is_stale = (
                outcome.term != ownership.term or new_chunk.attempts.get(index) != outcome.attempt
            )
            if is_stale or (outcome.preconditions and len(conditions) > max_conditions):
                continue
            txn.conditions = conditions
            del new_chunk.attempts[index]
            if outcome.reason == EndReason.DONE:
                new_chunk.done_bitmap |= 1 << (index - chunk_range.first)
                new_chunk.failed_at.pop(outcome.attempt.machine, None)
            elif outcome.reason.is_failure:
                self._record_failure(new_chunk.failed_at, outcome.attempt.machine)

    def _record_failure(self, failed_at: dict[str, float], machine_id: str) -> None:
        """Record a failure on the machine; only the newest failures are kept."""
        failed_at.pop(machine_id, None)
        failed_at[machine_id] = self._clock.wall_time()
        while len(failed_at) > MAX_FAILED_MACHINES:
            del failed_at[next(iter(failed_at))]

    def _is_finished(self, edit: PlanEdit, spec: JobSpec, new_chunk: PlanChunk) -> bool:
        """Return whether the new chunk completes the job's last tasks; a service never finishes."""
        job = edit.job
        if not job.is_active or spec.is_service:
            return False
        done_elsewhere = sum(
            chunk.done_bitmap.bit_count()
            for name, chunk in job.chunks.items()
            if name != edit.chunk_name
        )
        return new_chunk.done_bitmap.bit_count() + done_elsewhere == spec.tasks

    def _encode_done(self, spec: JobSpec) -> dict[str, Any]:
        max_bytes = self._cluster.limits.max_record_bytes
        return encode_end(DONE, spec, self._clock.wall_time(), max_bytes)
