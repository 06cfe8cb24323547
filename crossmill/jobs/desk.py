"""The users' desk: accepting, querying and withdrawing jobs, on every controller."""

import logging

import orjson

from ..cluster import keys
from ..cluster.deputies import Deputies
from ..cluster.world import ACTIVE, CANCELLED, Job, World, encode_end, encode_job
from ..net.clock import Clock
from ..net.server import Request, Response
from ..planning.demand import slots_on
from ..settings import Settings
from ..state.client import Doubt, Refused, StateClient
from ..state.follower import Follower
from ..state.writer import OK, URGENT, Intent, Writer
from ..wire import users as wire
from ..wire.checks import Malformed, load_object
from ..wire.state import Put, Txn
from ..wire.users import JobSpec

log = logging.getLogger(__name__)

LATER_PLEASE = Response(503, wire.error_body("not now"), retry_after_s=1)


class Desk:
    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        world: World,
        follower: Follower,
        writer: Writer,
        client: StateClient,
        deputies: Deputies,
    ) -> None:
        self._s = settings
        self._clock = clock
        self._world = world
        self._follower = follower
        self._writer = writer
        self._client = client
        self._deputies = deputies

    async def handle(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")[2:]
        if not parts:
            return await self._submit(request) if request.method == "POST" else _wrong_method()
        if len(parts) == 1:
            return await self._show(parts[0]) if request.method == "GET" else _wrong_method()
        if len(parts) == 2 and parts[1] == wire.WITHDRAW:
            return await self._cancel(parts[0]) if request.method == "POST" else _wrong_method()
        return Response(404, wire.error_body("no such path"))

    async def _current(self) -> bool:
        """Whether the mirror holds all that anybody can have been told by now. Refused at once
        in an outage: nobody's answer could be shown to be current."""
        if not self._follower.ready.is_set() or self._client.down_for_s() > self._s.renew_s / 2:
            return False
        return await self._follower.sync(self._s.accept_s)

    @staticmethod
    def _status(job: Job) -> bytes:
        running = job.row_count()
        state = job.end or ("running" if running else "queued")
        return wire.status_body(job.id, state, job.done_count(), 0 if job.end else running)

    def _final(self, job_id: str) -> Job | None:
        job = self._world.jobs.get(job_id)
        return job if job is not None and job.end != ACTIVE else None

    def _known(self, job_id: str) -> Job | None:
        job = self._world.jobs.get(job_id)
        return job if job is not None and job.spec is not None else None

    async def _show(self, job_id: str) -> Response:
        if not wire.is_job_id(job_id):
            return Response(404, wire.error_body("no such job"))
        job = self._final(job_id)
        if job is None:
            if not await self._current():
                return LATER_PLEASE
            job = self._known(job_id)
        if job is None:
            return await self._archived(job_id)
        return Response(200, self._status(job))

    async def _archived(self, job_id: str) -> Response:
        """A job that is not at hand: long over, or never accepted."""
        try:
            row = await self._client.get(keys.archived(job_id))
        except (Refused, Doubt):
            return LATER_PLEASE
        if row is None:
            return Response(404, wire.error_body("no such job"))
        return Response(200, wire.status_body(job_id, row.value["end"], row.value["done"]))

    async def _submit(self, request: Request) -> Response:
        try:
            if request.too_large:
                raise Malformed("body over 64 KiB")
            data = load_object(request.body)
            job_id = wire.parse_id(data)
        except Malformed as exc:
            return Response(400, wire.error_body(str(exc)))
        job = self._final(job_id)
        if job is not None:
            return Response(200, self._status(job))
        if self._known(job_id) is not None:
            return await self._show(job_id)
        refusal = None
        spec = None
        try:
            spec = wire.parse_submission(data)
        except Malformed as exc:
            refusal = Response(400, wire.error_body(str(exc)))
        if spec is not None:
            if not self._world.catalog:
                return LATER_PLEASE
            why = self._never(spec)
            refusal = None if why is None else Response(422, wire.error_body(why))
        if refusal is not None:
            # a repeat of an accepted job gets its state, whatever the rest of it says
            known = await self._show(job_id)
            return refusal if known.status == 404 else known
        assert spec is not None
        return await self._accept(spec)

    def _client_down(self) -> bool:
        return self._client.down_for_s() > self._s.renew_s / 2

    def _never(self, spec: JobSpec) -> str | None:
        team = self._s.team(spec.team)
        if team is None:
            return "unknown team"
        kinds = [
            kind
            for name, kind in self._world.catalog.items()
            if (spec.types is None or name in spec.types)
            and (spec.zone is None or spec.zone in kind.zones)
        ]
        if not any(slots_on(spec, kind) for kind in kinds):
            return "a task fits no allowed machine type"
        tasks = 1 if spec.kind == "array" else spec.tasks
        for most, each in ((team.cpus_max, spec.cpus), (team.gpus_max, spec.gpus)):
            if most > 0 and tasks * each > most + 1e-6:
                return "more than the team's limit"
        return None

    async def _accept(self, spec: JobSpec) -> Response:
        if self._client_down() or not self._follower.ready.is_set():
            return LATER_PLEASE
        key = keys.job(spec.id)
        value = encode_job(spec, self._clock.wall())
        intent = Intent(
            Txn({key: 0, keys.archived(spec.id): 0}, [Put(key, orjson.loads(orjson.dumps(value)))]),
            URGENT,
            until=self._clock.now() + self._s.accept_s,
        )
        began = self._clock.now()
        await self._writer.submit(intent)
        outcome = await intent.future.wait(self._s.accept_s)
        if outcome == OK:
            log.info(
                "job accepted job=%s class=%s team=%s tasks=%d",
                spec.id,
                spec.job_class,
                spec.team,
                spec.tasks,
            )
            # others see the job as soon as it is durable, and may have told of its end before
            # a slow answer is here
            slow = intent.doubtful or self._clock.now() - began > self._s.renew_s / 4
            if slow and not await self._current():
                return LATER_PLEASE
            job = self._known(spec.id)
            if job is not None:
                return Response(201, self._status(job))
            return await self._archived(spec.id)
        if outcome is None:
            return LATER_PLEASE
        return await self._show(spec.id) if await self._current() else LATER_PLEASE

    async def _cancel(self, job_id: str) -> Response:
        if not wire.is_job_id(job_id):
            return Response(404, wire.error_body("no such job"))
        for _ in range(3):
            job = self._final(job_id)
            if job is not None:
                return Response(200, wire.status_body(job_id, job.end))
            if not await self._current():
                return LATER_PLEASE
            job = self._known(job_id)
            if job is None:
                return await self._archived(job_id)
            if job.end != ACTIVE or job.spec is None:
                continue
            zones, plan = self._zones(job), {n: c.version for n, c in job.chunks.items()}
            rests = await self._deputies.announce_end(job_id, zones)
            key, note = keys.job(job_id), keys.ending(job_id)
            until = self._clock.now() + self._s.accept_s
            if rests is None:
                if job_id not in self._world.ending:
                    # those who can't be reached read it, and say so in their keys
                    put = Put(note, {"at": self._clock.wall()})
                    txn = Txn({key: job.version, note: 0}, [put])
                    await self._writer.submit(Intent(txn, URGENT, until=until))
                return LATER_PLEASE
            if not zones.issuperset(self._s.zones):
                # those of other zones were not told: no task may have moved there meanwhile
                rests |= {keys.plan(job_id, n): v for n, v in plan.items()}
            txn = Txn({key: job.version, **rests}, [Put(key, encode_end(CANCELLED, job.spec))])
            intent = Intent(txn, URGENT, until=until)
            await self._writer.submit(intent)
            if await intent.future.wait(self._s.accept_s) == OK:
                log.info("job withdrawn job=%s", job_id)
                return Response(200, wire.status_body(job_id, CANCELLED))
        return LATER_PLEASE

    def _zones(self, job: Job) -> set[str]:
        """Where tasks of the job are, or may be before its end is durable."""
        zones = {z for z, number in self._world.zones_of(job).items() if number}
        if job.waiting_count() and job.spec is not None:
            zones.update((job.spec.zone,) if job.spec.zone else self._s.zones)
        return zones


def _wrong_method() -> Response:
    return Response(405, wire.error_body("wrong method"))
