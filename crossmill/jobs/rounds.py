"""Rounds of decisions for the shards this controller acts for.

A round turns findings into plan changes, places waiting tasks, and makes both durable in
transactions that carry the stamps of all they rest on. Starts are sent only from durable plans."""

import logging
from dataclasses import dataclass, field, replace

import curio

from ..cluster import keys
from ..cluster.deputies import Deputies
from ..cluster.membership import Membership, Owned
from ..cluster.model import Job, Machine, Row
from ..cluster.world import World
from ..fleet.outlook import Outlook
from ..net.clock import Clock
from ..planning.rooms import Room, Zones, allowed, assign
from ..settings import Settings
from ..state.writer import OK, Intent, Writer
from ..wire.users import JobSpec
from ..workers.direct import Direct
from ..workers.reports import Finding, Reports
from .cleanup import Cleanup
from .durable import Durable, Edit
from .guarantees import Guarantees, Use
from .outcome_batch import collect, select
from .plan_migration import PlanMigration
from .preemption import Preemption
from .reassignment import Reassignment
from .upkeep import Upkeep

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Trouble:
    """A job whose tasks failed: where, and when the next may be tried."""

    machines: set[str] = field(default_factory=set)
    failures: int = 0
    succeeded: bool = False
    not_before: float = 0.0


class Rounds:
    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        world: World,
        membership: Membership,
        reports: Reports,
        writer: Writer,
        outlook: Outlook,
        direct: Direct,
        deputies: Deputies,
    ) -> None:
        self._s = settings
        self._clock = clock
        self._world = world
        self._membership = membership
        self._reports = reports
        self._writer = writer
        self._outlook = outlook
        self._direct = direct
        self.estimates = outlook.estimates
        self._troubles: dict[str, Trouble] = {}
        self._resume: dict[int, str] = {}
        self._again = False
        # of this round: kinds of tasks for which no room is left; rooms only fill up meanwhile
        self._full: set[tuple[object, ...]] = set()
        self._stops: list[Row] = []
        self._guarantees = Guarantees(settings, world)
        self._preemption = Preemption(settings, clock, world, reports, outlook, self._guarantees)
        self._reassignment = Reassignment(settings, clock, world, reports, outlook)
        self._migration = PlanMigration(world, membership)
        self._durable = Durable(clock, world, membership, self._migration)
        self._cleanup = Cleanup(settings, clock, world, membership)
        # by shard: the writes for ended jobs that are under way
        self._cleaning: dict[int, list[Intent]] = {}
        self._upkeep = Upkeep(
            settings,
            clock,
            world,
            membership,
            reports,
            outlook,
            deputies,
            self._preemption,
            self._reassignment,
        )
        self.wake = curio.Event()

    async def run(self) -> None:
        while True:
            if not self._again:
                await curio.ignore_after(self._s.report_s / 2, self.wake.wait)
            self._again = False
            self.wake.clear()
            for shard in range(self._s.nodes):
                own = self._membership.acting(shard)
                if own is not None:
                    await self.round(shard, own)
            await curio.sleep(self._s.round_s)

    # -- one round -------------------------------------------------------------------

    async def round(self, shard: int, own: Owned) -> None:
        edits: dict[tuple[str, str], Edit] = {}
        machines = list(self._world.machines_of[shard].values())
        for machine in machines:
            self._reports.expire(machine, own)
        for row in list(self._world.orphans()):
            # the record goes only after the machine's release was confirmed
            job = self._world.jobs.get(row.job)
            if job is not None and job.shard == shard:
                self._reports.findings.setdefault((row.job, row.index), Finding(row, "released"))
        self._gather(shard, edits)
        # machines to be given are chosen before tasks are placed: a start planned in the same
        # round would follow its machine to a shard that knows nothing of the job
        self._stops = list(self._reassignment.look(shard, machines))
        self._place(shard, own, machines, edits)
        if self._stops:
            await self._direct.send([], self._stops)
        starts: dict[int, list[Row]] = {}
        intents: list[Intent] = []
        for edit in edits.values():
            intent = self._durable.intent(edit, shard, own)
            if intent is not None:
                intents.append(intent)
                starts[id(intent)] = edit.starts
        intents += self._durable.finish(shard, own)
        intents += self._migration.steps(shard, own)
        if await self._clean_up(shard, own):
            active = self._world.active[shard]
            self._troubles = {
                k: t
                for k, t in self._troubles.items()
                if k in active or ((job := self._world.jobs.get(k)) and job.shard != shard)
            }
        intents += self._upkeep.give_up(shard, own, machines)
        moves = self._upkeep.moves(shard, own, machines)
        intents += moves.values()
        self._reports.leaving.update(moves)
        try:
            for intent in intents:
                await self._writer.submit(intent)
            for machine_id, intent in moves.items():
                if await intent.future.wait() == OK:
                    self._reports.moved(machine_id)
                    self._reassignment.going.pop(machine_id, None)
                    log.info("machine given machine=%s", machine_id)
        finally:
            self._reports.leaving.difference_update(moves)
        for intent in intents:
            if await intent.future.wait() == OK:
                await self._direct.send(starts.get(id(intent), []), [])
                for put in intent.txn.puts:
                    if put.key.startswith(keys.JOB):
                        log.info("job done job=%s", put.key[len(keys.JOB) :])

    async def _clean_up(self, shard: int, own: Owned) -> bool:
        """Sends what is due for ended jobs, once all that was sent before is settled. No round
        waits for it. Returns whether there was anything."""
        if not all(intent.future.settled for intent in self._cleaning.get(shard, ())):
            return False
        intents = self._cleaning[shard] = self._cleanup.intents(shard, own)
        for intent in intents:
            await self._writer.submit(intent)
        return bool(intents)

    def _gather(self, shard: int, edits: dict[tuple[str, str], Edit]) -> None:
        findings = self._reports.findings
        news = collect(self._world, findings, shard)
        wanted = {(f.row.job, f.row.index) for entry in news for f in entry.findings}
        for key in [key for key in findings if key not in wanted]:
            job = self._world.jobs.get(key[0])
            if job is None or job.shard == shard or self._membership.acting(job.shard) is None:
                del findings[key]
        for entry in select(news, self._writer.writes_within(self._s.report_s)):
            edit = edits.setdefault((entry.job.id, entry.name), Edit(entry.job, entry.name))
            for finding in entry.findings:
                del findings[finding.row.job, finding.row.index]
                self._learn(entry.job, finding)
                edit.over.append(finding)

    def _learn(self, job: Job, finding: Finding) -> None:
        spec, row = job.spec, finding.row
        log.info(
            "task over job=%s task=%d attempt=%d machine=%s why=%s",
            job.id,
            row.index,
            row.attempt,
            row.machine,
            finding.why.replace(" ", "-"),
        )
        if spec is None:
            return
        self._reports.stopping.pop((row.job, row.index, row.attempt), None)
        trouble = self._troubles.setdefault(job.id, Trouble())
        if finding.why == "done":
            trouble.succeeded = True
            self._upkeep.errors.pop(row.machine, None)
            if finding.took_s is not None:
                self.estimates.saw(spec.job_class, spec.estimate_s, finding.took_s)
        elif finding.why in ("error", "unknown"):
            trouble.failures += 1
            trouble.machines.add(row.machine)
            # a job that fails on several machines is itself at fault, and is tried ever
            # more rarely; it says nothing against the machines
            if len(trouble.machines) >= 2 or finding.why == "unknown":
                wait = self._s.report_s * 2 ** min(trouble.failures, 8)
                trouble.not_before = self._clock.now() + min(wait, self._s.backoff_most_s)
            if not (len(trouble.machines) >= 3 and not trouble.succeeded):
                self._upkeep.errors.setdefault(row.machine, set()).add(job.id)

    # -- placing ---------------------------------------------------------------------

    def _usable(self, machine: Machine, own_now: float) -> bool:
        view = self._reports.peek(machine.id)
        return (
            view is not None
            and not machine.retiring
            and view.fresh(own_now, self._s.suspect_s)
            and view.notice_at is None
            and len(self._upkeep.errors.get(machine.id, ())) < 2
            and machine.id not in self._preemption.draining
            and machine.id not in self._reassignment.going
            and machine.id not in self._reports.leaving
        )

    def _rooms(self, machines: list[Machine]) -> list[Room]:
        now = self._clock.now()
        rooms: list[Room] = []
        for machine in machines:
            kind = self._world.catalog.get(machine.type)
            if kind is None or not self._usable(machine, now):
                continue
            rooms.append(self._outlook.room(machine, kind))
        return rooms

    def _place(
        self,
        shard: int,
        own: Owned,
        machines: list[Machine],
        edits: dict[tuple[str, str], Edit],
    ) -> None:
        self._preemption.settle()
        self._guarantees.begin(shard)
        self._full.clear()
        queue = self._outlook.waiting(shard)
        if not queue:
            self._stops.extend(self._preemption.drain(shard, own, lambda: self._rooms(machines)))
            return
        started = self._clock.now()
        rooms = self._rooms(machines)
        used = self._guarantees.use(shard)
        # a round that ran out of time goes on where it stopped
        resume = self._resume.pop(shard, None)
        if resume is not None:
            start = next((i for i, job in enumerate(queue) if job.id == resume), 0)
            queue = queue[start:] + queue[:start]
        for job in queue:
            if self._clock.now() - started > self._s.round_budget_s:
                self._resume[shard] = job.id
                self._again = True
                break
            self._place_job(job, rooms, used, edits)

    def _within_limit(self, spec: JobSpec, used: Use) -> int:
        team = self._s.team(spec.team)
        now = used.setdefault(spec.team, [0.0, 0.0])
        count = spec.tasks
        if team is None:
            return 0
        for most, held, each in (
            (team.cpus_max, now[0], spec.cpus),
            (team.gpus_max, now[1], spec.gpus),
        ):
            if most > 0 and each > 0:
                count = min(count, int((most - held + 1e-6) / each))
        return max(0, count)

    def _place_job(
        self,
        job: Job,
        rooms: list[Room],
        used: Use,
        edits: dict[tuple[str, str], Edit],
    ) -> None:
        spec = job.spec
        assert spec is not None
        trouble = self._troubles.get(job.id)
        wanted = min(job.waiting_count(), self._within_limit(spec, used))
        if trouble is not None and trouble.not_before > self._clock.now():
            return
        if trouble is not None and len(trouble.machines) >= 2 and not trouble.succeeded:
            wanted = min(wanted, 1 - job.row_count())
        if wanted <= 0:
            return
        zones = Zones(spec, self._world.zones_of(job))
        bad = trouble.machines if trouble is not None else set()
        free = self._free(spec, rooms)
        free = [r for r in free if r.machine not in bad and self._preemption.open_to(r, job)]
        if spec.kind == "gang" and not self._whole(job, spec, wanted, free):
            return
        # a replica that ended with its machine says nothing against the job: only failures of
        # its own keep it from taking others' room. Arrays take it once, for their guarantee:
        # for each task anew they would stop one another's work over and over
        blameless = trouble is None or (spec.kind == "service" and trouble.failures == 0)
        if blameless and self._preemption.could(job, used):
            rooms = [r for r in rooms if r.machine not in bad and self._preemption.open_to(r, job)]
        else:
            blameless, rooms = False, free
            if not free:
                return
        taken = self._find_rooms(job, spec, wanted, free, rooms, zones, used, blameless)
        if not taken:
            return
        slots = [room.machine for room, number in taken for _ in range(number)]
        for index, machine_id in zip(self._waiting(job, edits), slots, strict=False):
            self._start(job, index, machine_id, edits)
        used[spec.team][0] += len(slots) * spec.cpus
        used[spec.team][1] += len(slots) * spec.gpus

    def _free(self, spec: JobSpec, rooms: list[Room]) -> list[Room]:
        """Rooms where at least one such task fits. Most jobs that wait are like others that
        wait, and most rooms are full: it is asked once for all that are alike."""
        kind = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
        if kind in self._full:
            return []
        free = [
            room
            for room in rooms
            if room.fits(spec) and allowed(spec, room.type, room.zone, room.spot)
        ]
        if not free:
            self._full.add(kind)
        return free

    def _whole(self, job: Job, spec: JobSpec, wanted: int, rooms: list[Room]) -> bool:
        """A gang's tasks wait for one another, so they are placed together or not at all."""
        if job.row_count():
            return False
        trial = [replace(room, images=dict(room.images)) for room in rooms]
        zones = Zones(spec, self._world.zones_of(job))
        found = sum(n for _, n in assign(spec, wanted, trial, zones))
        return found == job.waiting_count()

    def _find_rooms(
        self,
        job: Job,
        spec: JobSpec,
        wanted: int,
        free: list[Room],
        rooms: list[Room],
        zones: Zones,
        used: Use,
        may_preempt: bool,
    ) -> list[tuple[Room, int]]:
        """Room that is free; but a class that must start soon rather gets the place of lesser
        work where its image is than a free one where it would wait for the image."""
        prompt_s = self._s.prompt_s(spec.job_class) if spec.kind == "service" else None
        taken: list[tuple[Room, int]] = []
        # a claim that came to nothing is not repeated: then any room will do
        again = self._preemption.failed(job)
        if prompt_s is not None and not again:
            # room made for the job counts wherever it is, or it would stand empty until the
            # claim ends
            def near(room: Room) -> bool:
                return room.delay_s(spec) < 0.75 * prompt_s or self._preemption.made_for(room, job)

            taken = assign(spec, wanted, list(filter(near, free)), zones, self._s.together)
            wanted -= sum(number for _, number in taken)
            if wanted and may_preempt:
                if self._preemption.claimed(job):
                    return taken
                stops, covered = self._preemption.preempt(
                    job, wanted, list(filter(near, rooms)), used
                )
                self._stops.extend(stops)
                wanted -= covered
        more = assign(spec, wanted, free, zones, self._s.together) if wanted else []
        wanted -= sum(number for _, number in more)
        if wanted and may_preempt and not again:
            stops, _ = self._preemption.preempt(job, wanted, rooms, used)
            self._stops.extend(stops)
        return taken + more

    def _waiting(self, job: Job, edits: dict[tuple[str, str], Edit]) -> list[int]:
        """Tasks with no attempt in the plan and no outcome, lowest first, bounded."""
        assert job.spec is not None
        layout = self._world.layout
        result: list[int] = []
        for where in layout.chunks(job.spec.tasks, job.chunks):
            chunk = job.chunks.get(where.name)
            for index in range(where.first, where.end):
                if chunk is None or (
                    index not in chunk.rows and not chunk.done >> (index - where.first) & 1
                ):
                    result.append(index)
            if len(result) >= layout.legacy_tasks:
                break
        return result

    def _start(
        self, job: Job, index: int, machine_id: str, edits: dict[tuple[str, str], Edit]
    ) -> None:
        view = self._reports.peek(machine_id)
        name = self._world.layout.chunk_of(index, job.chunks).name
        edit = edits.setdefault((job.id, name), Edit(job, name))
        most = self._world.limits.machines_per_txn
        if view is None or len({r.machine for r in edit.starts}) >= most:
            return
        chunk = job.chunks.get(name)
        attempt = chunk.next if chunk else 1
        if job.spec is not None and job.spec.kind != "gang":
            # a gang's tasks find one another by a common attempt number
            attempt += len(edit.starts)
        edit.starts.append(Row(job.id, index, attempt, machine_id, view.session))
        cached = job.spec is not None and job.spec.image in self._world.machines[machine_id].images
        log.info(
            "task placed job=%s task=%d attempt=%d machine=%s cached=%s",
            job.id,
            index,
            attempt,
            machine_id,
            cached,
        )
