"""Plan changes as transactions, conditional on the versions of everything they were decided on.

Called by the scheduling loop with a round's edits; owns no state.
"""

from typing import Any

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


class PlanEdit:
    """A round's changes to one chunk of a job's plan, with the versions they were decided on.

    It begins empty, with the chunk as the mirror has it now. The write fails if any of the versions
    has changed since.
    """

    __slots__ = ("base", "chunk", "job", "job_version", "machines", "outcomes", "starts")

    def __init__(self, job: Job, chunk: str) -> None:
        self.job = job
        self.chunk = chunk
        self.base: PlanChunk | None = job.chunks.get(chunk)
        self.job_version = job.version
        # attempts that have ended
        self.outcomes: list[AttemptOutcome] = []
        self.starts: list[PlannedAttempt] = []
        # versions of the records of the machines that the starts are on
        self.machines: dict[str, int] = {}

    def start(self, attempt: PlannedAttempt, machine: Machine) -> None:
        """Adds the start of an attempt on the machine as the mirror has it now."""
        self.starts.append(attempt)
        self.machines[machine.id] = machine.version


# by job id and name of the chunk
PlanEdits = dict[tuple[str, str], PlanEdit]


def edit_of(edits: PlanEdits, job: Job, chunk: str) -> PlanEdit:
    """Returns the round's edit of the chunk, a new one if there is none yet."""
    edit = edits.get((job.id, chunk))
    if edit is None:
        edit = edits[job.id, chunk] = PlanEdit(job, chunk)
    return edit


class PlanWriter:
    """Turns a round's edits into write intents."""

    def __init__(
        self, clock: Clock, cluster: ClusterState, membership: Membership, migration: PlanMigration
    ) -> None:
        self._migration = migration
        self._clock = clock
        self._cluster = cluster
        self._membership = membership

    def intent(self, edit: PlanEdit, shard: int, ownership: ShardOwnership) -> WriteIntent | None:
        """Returns the write of an edited chunk; None if nothing is to be written."""
        job, spec = edit.job, edit.job.spec
        if not (edit.outcomes or edit.starts) or not (job.has_record or job.has_ended):
            return None
        if self._migration.is_due(job, edit.chunk):
            # the chunk may no longer fit as it is; the outcomes are proved again by the next
            # heartbeats, and the starts are placed again
            return None
        old = edit.base
        chunk_range = self._cluster.layout.parse(edit.chunk)
        new = PlanChunk(old.next, old.done, dict(old.attempts)) if old else PlanChunk()
        key = keys.plan(job.id, edit.chunk)
        txn = Txn({key: old.version if old else 0})
        if old is None:
            txn.conditions.update(self._layout_conditions(job, chunk_range))
        if edit.starts:
            txn.conditions.update(self._start_conditions(edit))
        self._apply_outcomes(edit, chunk_range, ownership, new, txn)
        for attempt in edit.starts:
            new.attempts[attempt.index] = attempt
            new.next = attempt.number + 1
        txn.puts.append(Put(key, encode_chunk(new)))
        is_finished = spec is not None and self._is_finished(edit, spec, new)
        if spec is not None and is_finished:
            txn.conditions[keys.job(job.id)] = edit.job_version
            txn.puts.append(Put(keys.job(job.id), self._encode_done(spec)))
        rank = WriteRank.PLACEMENT if edit.starts or is_finished else WriteRank.OUTCOME
        return shard_intent(self._membership, shard, ownership, rank, txn)

    def finish(self, shard: int, ownership: ShardOwnership) -> list[WriteIntent]:
        """Returns the writes that end jobs whose last chunks were finished at the same time.

        The write of neither chunk could include the job's end, since each saw the other one
        unfinished. Tasks that are done stay done, so only the job's record is a condition.
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
        """Returns the conditions of starts: the job not cancelled, no machine retired since."""
        conditions = {keys.job(edit.job.id): edit.job_version}
        for machine_id, version in edit.machines.items():
            conditions[keys.machine(machine_id)] = version
        return conditions

    def _layout_conditions(self, job: Job, chunk_range: ChunkRange) -> dict[str, int]:
        """Returns the conditions of creating a chunk.

        Tasks are planned in a legacy chunk or in segments, never in both, however late a
        transaction is carried out.
        """
        if chunk_range.is_segment:
            legacy = self._cluster.layout.legacy_of(chunk_range.first)
            return {keys.plan(job.id, legacy.name): 0}
        return {keys.LEVEL: 0}

    def _apply_outcomes(
        self,
        edit: PlanEdit,
        chunk_range: ChunkRange,
        ownership: ShardOwnership,
        new: PlanChunk,
        txn: Txn,
    ) -> None:
        """Removes the attempts that have ended from the new chunk.

        An outcome of another term or of another attempt is ignored, and so is one whose
        preconditions don't fit into the transaction: it is proved again later.
        """
        max_conditions = self._cluster.limits.max_conditions - RESERVED_CONDITIONS
        for outcome in edit.outcomes:
            conditions = {**txn.conditions, **outcome.preconditions}
            index = outcome.attempt.index
            is_void = outcome.term != ownership.term or new.attempts.get(index) != outcome.attempt
            if is_void or (outcome.preconditions and len(conditions) > max_conditions):
                continue
            txn.conditions = conditions
            del new.attempts[index]
            if outcome.reason == EndReason.DONE:
                new.done |= 1 << (index - chunk_range.first)

    def _is_finished(self, edit: PlanEdit, spec: JobSpec, new: PlanChunk) -> bool:
        """Whether all tasks of the job are done with the new chunk; a service never is."""
        job = edit.job
        if not job.is_active or spec.is_service:
            return False
        done_elsewhere = sum(
            chunk.done.bit_count() for name, chunk in job.chunks.items() if name != edit.chunk
        )
        return new.done.bit_count() + done_elsewhere == spec.tasks

    def _encode_done(self, spec: JobSpec) -> dict[str, Any]:
        max_bytes = self._cluster.limits.max_record_bytes
        return encode_end(DONE, spec, self._clock.wall(), max_bytes)
