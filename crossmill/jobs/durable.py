"""Plan changes as transactions that carry the versions of all they rest on."""

from dataclasses import dataclass, field
from typing import Any

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.layout import ChunkRange
from ..cluster.membership import Membership, Owned
from ..cluster.model import ACTIVE, DONE, Chunk, Job, Row
from ..cluster.records import encode_chunk, encode_end
from ..net.clock import Clock
from ..state.writer import OUTCOME, PLACE, Intent
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from ..workers.reports import Finding
from .plan_migration import PlanMigration
from .shard_writes import shard_intent


@dataclass(slots=True)
class Edit:
    """What a round changes in one chunk of a job's plan."""

    job: Job
    chunk: str
    over: list[Finding] = field(default_factory=list)
    starts: list[Row] = field(default_factory=list)


class Durable:
    """Turns a round's edits into write intents."""

    def __init__(
        self, clock: Clock, cluster: ClusterState, membership: Membership, migration: PlanMigration
    ) -> None:
        self._migration = migration
        self._clock = clock
        self._cluster = cluster
        self._membership = membership

    def intent(self, edit: Edit, shard: int, own: Owned) -> Intent | None:
        job, spec = edit.job, edit.job.spec
        if spec is None or not (edit.over or edit.starts):
            return None
        if self._migration.is_due(job, edit.chunk):
            # it may no longer fit as it is; what is found now is found again at the next report
            return None
        old = job.chunks.get(edit.chunk)
        where = self._cluster.layout.parse(edit.chunk)
        new = Chunk(old.next, old.done, dict(old.rows)) if old else Chunk()
        key = keys.plan(job.id, edit.chunk)
        txn = Txn({key: old.version if old else 0})
        if old is None:
            txn.conditions.update(self._layout_conditions(job, where))
        for finding in edit.over:
            txn.conditions.update(finding.rests)
            new.rows.pop(finding.row.index, None)
            if finding.why == "done":
                new.done |= 1 << (finding.row.index - where.first)
        for row in edit.starts:
            new.rows[row.index] = row
            new.next = row.attempt + 1
        txn.puts.append(Put(key, encode_chunk(new)))
        if edit.starts:
            # a job withdrawn or a machine retired in the meantime undoes the start
            txn.conditions[keys.job(job.id)] = job.version
            for row in edit.starts:
                machine = self._cluster.machines[row.machine]
                txn.conditions[keys.machine(machine.id)] = machine.version
        finished = job.end == ACTIVE and spec.kind != "service" and self._all_done(job, edit, new)
        if finished:
            txn.conditions[keys.job(job.id)] = job.version
            txn.puts.append(Put(keys.job(job.id), self._done(spec)))
        rank = PLACE if edit.starts or finished else OUTCOME
        return shard_intent(self._membership, shard, own, rank, txn)

    def _done(self, spec: JobSpec) -> dict[str, Any]:
        most_bytes = self._cluster.limits.record_bytes
        return encode_end(DONE, spec, self._clock.wall(), most_bytes)

    def finish(self, shard: int, own: Owned) -> list[Intent]:
        """Ends of jobs whose last chunks were finished side by side: the write of neither could
        rest on the other. What is done stays done, so only the job's record is a condition."""
        intents: list[Intent] = []
        for job in self._cluster.complete[shard].values():
            if job.spec is not None:
                key = keys.job(job.id)
                put = Put(key, self._done(job.spec))
                txn = Txn({key: job.version}, [put])
                intents.append(shard_intent(self._membership, shard, own, PLACE, txn))
        return intents

    def _layout_conditions(self, job: Job, where: ChunkRange) -> dict[str, int]:
        """What creating a chunk rests on: a stretch of tasks is held by a legacy chunk or by
        segments, never by both, however late a transaction is carried out."""
        if where.is_segment:
            legacy = self._cluster.layout.legacy_of(where.first)
            return {keys.plan(job.id, legacy.name): 0}
        return {keys.LEVEL: 0}

    def _all_done(self, job: Job, edit: Edit, new: Chunk) -> bool:
        assert job.spec is not None
        done = new.done.bit_count()
        done += sum(c.done.bit_count() for n, c in job.chunks.items() if n != edit.chunk)
        return done == job.spec.tasks
