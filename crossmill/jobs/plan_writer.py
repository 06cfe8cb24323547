"""Plan changes as transactions that carry the versions of all they rest on."""

from dataclasses import dataclass, field
from typing import Any

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.layout import ChunkRange
from ..cluster.membership import Membership
from ..cluster.model import DONE, Job, Machine, PlanChunk, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_chunk, encode_end
from ..net.clock import Clock
from ..settings.deployment import OTHER_CONDITIONS
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from ..workers.attempt_outcomes import AttemptOutcome, EndReason
from .plan_migration import PlanMigration
from .shard_writes import shard_intent


@dataclass(slots=True, eq=False)
class PlanEdit:
    """What a round changes in one chunk of a job's plan, with the versions of what it was decided
    on: the write fails if any of them has changed since.
    """

    job: Job
    chunk: str
    base: PlanChunk | None
    job_version: int
    over: list[AttemptOutcome] = field(default_factory=list)
    starts: list[PlannedAttempt] = field(default_factory=list)
    # versions of the records of the machines that the starts are on
    machines: dict[str, int] = field(default_factory=dict)

    @classmethod
    def begin(cls, job: Job, chunk: str) -> "PlanEdit":
        """An edit of the chunk as it is known now."""
        return cls(job, chunk, job.chunks.get(chunk), job.version)

    def start(self, attempt: PlannedAttempt, machine: Machine) -> None:
        """Plans an attempt on the machine as it is known now."""
        self.starts.append(attempt)
        self.machines[machine.id] = machine.version


PlanEdits = dict[tuple[str, str], PlanEdit]


def edit_of(edits: PlanEdits, job: Job, chunk: str) -> PlanEdit:
    """The round's edit of the chunk, begun if there is none."""
    edit = edits.get((job.id, chunk))
    if edit is None:
        edit = edits[job.id, chunk] = PlanEdit.begin(job, chunk)
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
        """The write of an edited plan; None if nothing is to be written."""
        job, spec = edit.job, edit.job.spec
        if not (edit.over or edit.starts) or not (job.has_record or job.has_ended):
            return None
        if self._migration.is_due(job, edit.chunk):
            # it may no longer fit as it is; what is found now is found again at the next report
            return None
        old = edit.base
        where = self._cluster.layout.parse(edit.chunk)
        new = PlanChunk(old.next, old.done, dict(old.attempts)) if old else PlanChunk()
        key = keys.plan(job.id, edit.chunk)
        txn = Txn({key: old.version if old else 0})
        if old is None:
            txn.conditions.update(self._layout_conditions(job, where))
        if edit.starts:
            # a job withdrawn or a machine retired in the meantime undoes the start
            txn.conditions[keys.job(job.id)] = edit.job_version
            for machine_id, version in edit.machines.items():
                txn.conditions[keys.machine(machine_id)] = version
        self._apply_findings(edit, where, ownership, new, txn)
        for attempt in edit.starts:
            new.attempts[attempt.index] = attempt
            new.next = attempt.number + 1
        txn.puts.append(Put(key, encode_chunk(new)))
        finished = False
        if spec is not None and job.is_active and spec.kind != "service":
            finished = self._all_done(job, edit, new)
        if spec is not None and finished:
            txn.conditions[keys.job(job.id)] = edit.job_version
            txn.puts.append(Put(keys.job(job.id), self._done(spec)))
        rank = WriteRank.PLACEMENT if edit.starts or finished else WriteRank.OUTCOME
        return shard_intent(self._membership, shard, ownership, rank, txn)

    def _apply_findings(
        self, edit: PlanEdit, where: ChunkRange, ownership: ShardOwnership, new: PlanChunk, txn: Txn
    ) -> None:
        """Frees the attempts that are over. A finding of another term, of another attempt, or
        whose proof has no room among the conditions frees nothing; it is found again.
        """
        most = self._cluster.limits.conditions - OTHER_CONDITIONS
        for outcome in edit.over:
            preconditions = {**txn.conditions, **outcome.preconditions}
            index = outcome.attempt.index
            is_void = outcome.term != ownership.term or new.attempts.get(index) != outcome.attempt
            if is_void or (outcome.preconditions and len(preconditions) > most):
                continue
            txn.conditions = preconditions
            del new.attempts[index]
            if outcome.reason == EndReason.DONE:
                new.done |= 1 << (index - where.first)

    def _done(self, spec: JobSpec) -> dict[str, Any]:
        most_bytes = self._cluster.limits.record_bytes
        return encode_end(DONE, spec, self._clock.wall(), most_bytes)

    def finish(self, shard: int, ownership: ShardOwnership) -> list[WriteIntent]:
        """Ends of jobs whose last chunks were finished side by side: the write of neither could
        rest on the other. What is done stays done, so only the job's record is a condition.
        """
        intents: list[WriteIntent] = []
        for job in self._cluster.jobs.all_tasks_done[shard].values():
            if job.spec is not None:
                key = keys.job(job.id)
                put = Put(key, self._done(job.spec))
                txn = Txn({key: job.version}, [put])
                intents.append(
                    shard_intent(self._membership, shard, ownership, WriteRank.PLACEMENT, txn)
                )
        return intents

    def _layout_conditions(self, job: Job, where: ChunkRange) -> dict[str, int]:
        """What creating a chunk rests on: a stretch of tasks is held by a legacy chunk or by
        segments, never by both, however late a transaction is carried out.
        """
        if where.is_segment:
            legacy = self._cluster.layout.legacy_of(where.first)
            return {keys.plan(job.id, legacy.name): 0}
        return {keys.LEVEL: 0}

    def _all_done(self, job: Job, edit: PlanEdit, new: PlanChunk) -> bool:
        assert job.spec is not None
        done = new.done.bit_count()
        done += sum(c.done.bit_count() for n, c in job.chunks.items() if n != edit.chunk)
        return done == job.spec.tasks
