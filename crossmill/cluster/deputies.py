"""Keeping a zone's workers alive while the zone is cut off from everything else.

A controller in such a zone (a deputy) answers the zone's workers with the token they report and
no orders but the end of withdrawn tasks, so that what runs goes on running. Whoever owns a
machine therefore can't conclude from silence alone that its worker's lease has ended: each
controller of the machine's zone has to say that it has not answered it, and that it will not
(docs/safety.md, "Deputies")."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import curio

from ..net.client import Client, ConnectionFailedError, Http, NoResponseError
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Peer, Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from ..wire.workers import Command, WorkerHeartbeat
from . import keys
from .cluster_state import ClusterState
from .controller_lease import ControllerLease
from .model import ACTIVE, CancellationNote, Machine

log = logging.getLogger(__name__)


class Word(NamedTuple):
    """What a controller said of a silent machine: it has not answered it since `bound` and will
    not until `until`; its key had this version when it was asked."""

    bound: float
    until: float
    version: int


class Deputies:
    """Keeps the workers of a zone that is cut off alive, and tells owners for how long it has
    not."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        controller_lease: ControllerLease,
        sync: Callable[[float], Awaitable[bool]],
        connect: Callable[[Peer], Http] = lambda peer: Client(peer.endpoint, max_sockets=2),
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._controller_lease = controller_lease
        self._http = {peer.label: connect(peer) for peer in settings.peers}
        self._of_zone: dict[str, list[str]] = {}
        for peer in settings.peers:
            self._of_zone.setdefault(peer.zone, []).append(peer.label)
        self._elsewhere = [p.label for p in settings.peers if p.zone != settings.zone]
        self._started = clock.now()
        # shows that the mirror holds all that is durable
        self._sync = sync
        # as a deputy: when all that was durable was known, whom we answered, whom we must not,
        # and the jobs that are being withdrawn
        self._synced_at: float | None = None
        self._answered: dict[str, float] = {}
        self._barred: dict[str, float] = {}
        self._ending: dict[str, float] = {}
        self._heard: dict[str, float] = {}
        self._failing_since: float | None = None
        # as an owner: what the controllers of a zone said of its silent machines
        self._asked: dict[str, str] = {}
        self._quiet: dict[tuple[str, str], Word] = {}
        # since when a controller's key has been gone, and what would show that it came and went
        self._absent: dict[str, tuple[float, tuple[int, int]]] = {}

    # -- being a deputy --------------------------------------------------------------

    def _announced_lease(self) -> int | None:
        """The lease under which our key stands in the state service, if we have authority."""
        mine = self._cluster.controllers.get(self._settings.label)
        announced = mine is not None and mine.lease_id == self._controller_lease.lease_id
        return (
            self._controller_lease.lease_id
            if announced and self._controller_lease.is_held()
            else None
        )

    async def _note_durable(self) -> None:
        """Reads all that is durable. It counts while our key stands in the state service, as it
        did when the read was sent: its going bounds for others how long we may answer, and its
        change shows them that promises of the process before this one are void."""
        sent, lease = self._clock.now(), self._announced_lease()
        if (
            await self._sync(self._settings.lease_renewal_interval_s)
            and lease is not None
            and lease == self._announced_lease()
        ):
            self._synced_at = sent

    def _cut_off(self) -> bool:
        """Neither the state service nor any controller of another zone has answered."""
        since = self._failing_since
        if not self._controller_lease.is_failing or since is None or not self._elsewhere:
            return False
        return all(self._heard.get(label, -1.0) < since for label in self._elsewhere)

    def keep_alive(self, machine: Machine, heartbeat: WorkerHeartbeat) -> list[Command] | None:
        """The orders with which a machine is kept alive, or None if it may not be."""
        now, machine_id = self._clock.now(), machine.id
        if machine.zone != self._settings.zone or self._synced_at is None:
            return None
        if now > self._synced_at + self._settings.partition_keepalive_s * (
            1 - self._settings.clock_drift
        ):
            return None
        if now < self._barred.get(machine_id, 0.0):
            return None
        shard = self._cluster.shard_owners.get(machine.shard)
        # a token we don't know: somebody else acts for the machine, and it can be reached
        if heartbeat.token > max(machine.token, shard.token if shard is not None else 0):
            return None
        if self._failing_since is None and self._controller_lease.is_failing:
            self._failing_since = now
            # who answers is not asked for nothing: until then this looks like a cut
        if not self._cut_off():
            return None
        self._answered[machine_id] = now
        return [
            Command("stop", f"{task.job}/{task.index}", task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != "exited" and self._ended(task.job)
        ]

    def _ended(self, job_id: str) -> bool:
        job = self._cluster.jobs.get(job_id)
        if job_id in self._ending or job_id in self._cluster.cancellation_notes:
            return True
        return job is not None and job.end != ACTIVE

    def handle(self, request: Request) -> Response:
        """What owners of this zone's machines ask, and what is being withdrawn."""
        try:
            if request.path == wire.QUIET_PATH:
                return Response(200, wire.quiet_body(self._bar(wire.parse_machines(request.body))))
            for job_id in wire.parse_ending(request.body):
                self._note_ending(job_id)
        except MalformedMessageError:
            return Response(400)
        return Response(200)

    def _note_ending(self, job_id: str) -> None:
        now = self._clock.now()
        self._ending[job_id] = now
        if len(self._ending) > 1000:
            over = now - 2 * (
                self._settings.partition_keepalive_s + self._settings.cancellation_deadline_s
            )
            self._ending = {j: at for j, at in self._ending.items() if at > over}

    def _bar(self, machines: Iterable[str]) -> list[float]:
        now = self._clock.now()
        self._barred = {m: until for m, until in self._barred.items() if until > now}
        spans = []
        for machine in machines:
            self._barred[machine] = now + self._settings.attestation_ttl_s
            # before our start the process before us may have answered it
            spans.append(now - max(self._started, self._answered.get(machine, 0.0)))
        return spans

    # -- being an owner --------------------------------------------------------------

    def lease_over(self, machine: Machine, answered_at: float) -> dict[str, int] | None:
        """If the worker's lease has ended, when we answered it last at `answered_at`: what that
        rests on. A promise is a process's; the next one announces itself before it is a deputy,
        so what is concluded is written on the condition that none has."""
        now = self._clock.now()
        preconditions: dict[str, int] = {}
        for label in self._of_zone.get(machine.zone, ()):
            key = keys.controller(label)
            version = self._cluster.mirror.version(key)
            word = self._quiet.get((label, machine.id))
            gone = self._gone_since(label)
            if word is not None and now < word.until and word.version == version:
                answered_at = max(answered_at, word.bound)
            elif gone is not None:
                # it knew nothing durable after its key was gone
                answered_at = max(
                    answered_at,
                    gone + self._settings.partition_keepalive_s * (1 + self._settings.clock_drift),
                )
            else:
                return None
            preconditions[key] = version
        return preconditions if now - answered_at > self._settings.worker_lease_expiry_s else None

    def _comings(self, label: str) -> tuple[int, int]:
        return self._cluster.controllers.key_changes.get(label, 0), self._cluster.mirror.readings

    def _gone_since(self, label: str) -> float | None:
        """Since when for certain a controller has had no key: a stall of ours may have hidden
        that it came back, learnt of what was durable then, and went again."""
        since, comings = self._absent.get(label, (0.0, (-1, -1)))
        known = label not in self._cluster.controllers and comings == self._comings(label)
        return since if known else None

    def zone_lost(self, zone: str) -> bool:
        """Whether the zone has other controllers and none has answered for a lease."""
        since = self._clock.now() - self._settings.worker_lease_s
        labels = self._of_zone.get(zone, ())
        return bool(labels) and all(self._heard.get(x, since) <= since for x in labels)

    def wonder(self, machine: Machine) -> None:
        """A silent machine: the controllers of its zone are asked, well before it matters."""
        now = self._clock.now()
        for label in self._of_zone.get(machine.zone, ()):
            word = self._quiet.get((label, machine.id))
            version = self._cluster.mirror.version(keys.controller(label))
            if word is None or now >= word.until or word.version != version:
                self._asked[machine.id] = machine.zone

    def known_ending(self, label: str) -> bool:
        """Whether a controller that can't be asked has long stopped keeping anything alive
        that would not end in time by itself."""
        gone = self._gone_since(label)
        span = (
            self._settings.partition_keepalive_s
            + self._settings.worker_lease_expiry_s
            + self._settings.heartbeat_interval_s
            - self._settings.cancellation_deadline_s
        )
        return gone is not None and self._clock.now() > gone + span * (
            1 + self._settings.clock_drift
        )

    async def announce_end(self, job_id: str, zones: Iterable[str]) -> dict[str, int] | None:
        """Before a job is called withdrawn: every controller that may be cut off together with
        tasks of it must know, or they might be kept alive for too long. Returns what the write
        is to rest on: that each is still the process that was told."""
        if (
            self._settings.partition_keepalive_s
            + self._settings.worker_lease_expiry_s
            + self._settings.heartbeat_interval_s
            <= self._settings.cancellation_deadline_s
        ):
            return {}
        zones = set(zones)
        if self._settings.zone in zones:
            # cut off before the answer to the write comes, nothing else would tell this process
            self._note_ending(job_id)
        labels = [label for zone in zones for label in self._of_zone.get(zone, ())]
        preconditions: dict[str, int] = {}
        known: set[str] = set()
        note = self._cluster.cancellation_notes.get(job_id)

        async def tell(label: str) -> None:
            key = keys.controller(label)
            version = self._cluster.mirror.version(key)
            body = wire.ending_body(job_id)
            answer = await self._call(label, "POST", wire.ENDING_PATH, body)
            if answer is not None or self.known_ending(label):
                preconditions[key] = version
                known.add(label)
            elif note is not None and self._has_read(label, note):
                # it has read the note, as any process that follows it will
                preconditions[keys.cancellation_note(job_id)] = note.version
                known.add(label)

        async with curio.TaskGroup() as group:
            for label in labels:
                await group.spawn(tell, label)
        return preconditions if len(known) == len(labels) else None

    def _has_read(self, label: str, note: CancellationNote) -> bool:
        record = self._cluster.controllers.get(label)
        return record is not None and record.seen_note >= note.version

    # -- the loop --------------------------------------------------------------------

    async def _call(self, label: str, method: str, path: str, body: bytes = b"") -> bytes | None:
        try:
            status, data = await self._http[label].request(
                method, path, body, self._settings.lease_extension_grant_s / 4
            )
        except (ConnectionFailedError, NoResponseError) as exc:
            log.debug("peer not heard peer=%s error=%s", label, exc)
            return None
        self._heard[label] = self._clock.now()
        return data if status == 200 else None

    async def _ask(self, label: str, machines: list[str]) -> None:
        sent = self._clock.now()
        version = self._cluster.mirror.version(keys.controller(label))
        data = await self._call(label, "POST", wire.QUIET_PATH, wire.machines_body(machines))
        if data is None:
            return
        try:
            spans = wire.parse_quiet(data)
        except MalformedMessageError as exc:
            log.info("odd answer peer=%s error=%s", label, exc)
            return
        now = self._clock.now()
        until = sent + self._settings.attestation_ttl_s * (1 - self._settings.clock_drift)
        for machine, span in zip(machines, spans, strict=False):
            bound = now - span * (1 - self._settings.clock_drift)
            self._quiet[label, machine] = Word(bound, until, version)

    async def step(self) -> None:
        """Notes which controllers are absent, and asks those of a silent machine's zone about
        it."""
        now = self._clock.now()
        for label in self._http:
            if self._gone_since(label) is None:
                self._absent[label] = now, self._comings(label)
        self._quiet = {k: v for k, v in self._quiet.items() if v.until > now}
        async with curio.TaskGroup() as group:
            if self._controller_lease.is_failing:
                if self._failing_since is None:
                    self._failing_since = now
                for label in self._elsewhere:
                    await group.spawn(self._call, label, "GET", wire.ACTING_PATH)
            else:
                self._failing_since = None
            asked, self._asked = self._asked, {}
            for zone, labels in self._of_zone.items():
                machines = [m for m, z in asked.items() if z == zone]
                for label in labels if machines else ():
                    await group.spawn(self._ask, label, machines)
        if not self._controller_lease.is_failing:
            await self._note_durable()

    async def run(self) -> None:
        """Steps until the controller ends."""
        while True:
            await self.step()
            await curio.sleep(self._settings.lease_renewal_interval_s)
