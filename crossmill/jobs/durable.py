"""Plan changes as transactions that carry the stamps of all they rest on."""

from dataclasses import dataclass, field
from functools import partial
from itertools import islice

from ..cluster import keys
from ..cluster.membership import Membership, Owned
from ..cluster.world import ACTIVE, DONE, Chunk, Job, Row, World, encode_archived, encode_end
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import LATER, OUTCOME, PLACE, Intent
from ..wire.state import Put, Txn
from ..workers.reports import Finding


@dataclass(slots=True)
class Edit:
    """What a round changes in one chunk of a job's plan."""

    job: Job
    chunk: int
    over: list[Finding] = field(default_factory=list)
    starts: list[Row] = field(default_factory=list)


class Durable:
    def __init__(
        self, settings: Settings, clock: Clock, world: World, membership: Membership
    ) -> None:
        self._s = settings
        self._clock = clock
        self._world = world
        self._membership = membership

    def intent(self, edit: Edit, shard: int, own: Owned) -> Intent | None:
        job, spec = edit.job, edit.job.spec
        if spec is None or not (edit.over or edit.starts):
            return None
        old = job.chunks.get(edit.chunk)
        new = Chunk(old.next, old.done, dict(old.rows)) if old else Chunk()
        key = keys.plan(job.id, edit.chunk)
        txn = Txn({keys.shard(shard): own.version, key: old.version if old else 0})
        first = edit.chunk * self._s.tasks_per_chunk
        for finding in edit.over:
            txn.conditions.update(finding.rests)
            new.rows.pop(finding.row.index, None)
            if finding.why == "done":
                new.done |= 1 << (finding.row.index - first)
        for row in edit.starts:
            new.rows[row.index] = row
            new.next = row.attempt + 1
        txn.puts.append(Put(key, new.encode()))
        if edit.starts:
            # a job withdrawn or a machine retired in the meantime undoes the start
            txn.conditions[keys.job(job.id)] = job.version
            for row in edit.starts:
                machine = self._world.machines[row.machine]
                txn.conditions[keys.machine(machine.id)] = machine.version
        finished = job.end == ACTIVE and spec.kind != "service" and self._all_done(job, edit, new)
        if finished:
            txn.conditions[keys.job(job.id)] = job.version
            txn.puts.append(Put(keys.job(job.id), encode_end(DONE, spec)))
        rank = PLACE if edit.starts or finished else OUTCOME
        return Intent(txn, rank, holds=partial(self._membership.holds, shard, own.token))

    def _all_done(self, job: Job, edit: Edit, new: Chunk) -> bool:
        assert job.spec is not None
        done = new.done.bit_count()
        done += sum(c.done.bit_count() for n, c in job.chunks.items() if n != edit.chunk)
        return done == job.spec.tasks

    def clear_ended(self, shard: int, own: Owned) -> list[Intent]:
        """An ended job's plan goes once nothing of it can be on a machine."""
        intents: list[Intent] = []
        for job in list(self._world.ended[shard].values()):
            for number, chunk in list(job.chunks.items()):
                if chunk.rows or len(intents) >= self._s.txn_ops:
                    continue
                key = keys.plan(job.id, number)
                txn = Txn({keys.shard(shard): own.version, key: chunk.version}, [], [key])
                intents.append(
                    Intent(txn, LATER, holds=partial(self._membership.holds, shard, own.token))
                )
        return intents + self._forget_notes(shard, own) + self._archive(shard, own)

    def _forget_notes(self, shard: int, own: Owned) -> list[Intent]:
        """Notes of jobs that have ended, or whose users have long given up withdrawing them."""
        intents: list[Intent] = []
        for job_id, (version, at) in self._world.ending.items():
            job = self._world.jobs.get(job_id)
            if (job.shard if job is not None else 0) != shard:
                continue
            if job is None or job.end != ACTIVE or self._clock.wall() - at > self._s.note_s:
                key = keys.ending(job_id)
                txn = Txn({keys.shard(shard): own.version, key: version}, [], [key])
                intents.append(
                    Intent(txn, LATER, holds=partial(self._membership.holds, shard, own.token))
                )
        return intents[: self._s.txn_ops]

    def _archive(self, shard: int, own: Owned) -> list[Intent]:
        """What has long been over leaves memory, watch and start, but is never forgotten."""
        over = self._world.over[shard]
        intents: list[Intent] = []
        for job in islice(over.values(), max(0, len(over) - self._s.ended_kept)):
            if job.spec is None or len(intents) >= self._s.txn_ops // 4:
                break
            key = keys.job(job.id)
            txn = Txn({keys.shard(shard): own.version, key: job.version})
            txn.puts.append(Put(keys.archived(job.id), encode_archived(job)))
            txn.deletes.append(key)
            intents.append(
                Intent(txn, LATER, holds=partial(self._membership.holds, shard, own.token))
            )
        return intents
