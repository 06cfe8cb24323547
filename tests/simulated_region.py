"""A small region under virtual time (tests/virtual_time.py): real loops of several controllers, the
stand-ins, workers and users, and a judge who knows PROTOCOL's rules (tests/invariant_checker.py).
"""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import curio.kernel
import orjson

from crossmill.cluster import keys
from crossmill.settings import Peer
from crossmill.wire.checks import load_object
from crossmill.wire.workers import answer_body, parse_heartbeat

from .builders import submission
from .fake_clock import FakeClock
from .fake_cloud import CloudService
from .fake_state_service import StateService
from .invariant_checker import InvariantChecker, JobFacts
from .simulated_links import PeerLink, StateLink
from .simulated_worker import Worker, WorkerLink
from .stepped_controller import SteppedController, seed
from .virtual_time import run_under_virtual_time, run_with_freezes


class Region:
    LABELS = ("node-0", "node-1", "node-2")

    def __init__(self, clock: FakeClock, state: StateService | None = None) -> None:
        self.clock = clock
        self.state = state or StateService()
        self.cloud = CloudService()
        self.nodes: dict[str, SteppedController] = {}
        self.state_links = {label: StateLink(self, label) for label in self.LABELS}
        self._tasks: dict[str, list[curio.Task]] = {}
        self.workers: dict[str, Worker] = {}
        self.checker = InvariantChecker(self)
        self.state_changed = curio.Event()
        self.state_delay_s = 0.0
        # by label: how long the answers to its transactions are held up
        self.transaction_delay_s: dict[str, float] = {}
        # by label: which requests the state service refuses; who gets no answer from it at all;
        # who reaches no other controller
        self.refused_requests: dict[str, Callable[[str, str], bool]] = {}
        self.cut_from_state: set[str] = set()
        # by label: until when its process stands still
        self.frozen_until: dict[str, float] = {}
        self.cut_from_peers: set[str] = set()
        # controllers whose machine has no power: connections to it hang
        self.powered_off: set[str] = set()
        # which of the cloud's machines come up at all
        self.comes_up: Callable[[str], bool] = lambda machine: True
        # what becomes of a transaction: (seconds late, carried out at once), or nothing odd
        self.transaction_fault: Callable[[str, str, str], tuple[float, bool] | None] = (
            lambda *_: None
        )
        self._lease_expiries: dict[int, tuple[float, float]] = {}
        self._provisions = False
        self._process_count = 0
        self.can_reach: Callable[[Worker, str], bool] = lambda worker, label: label in self.nodes

    # -- the state service's leases and watches --------------------------------------

    def note_lease_request(
        self, method: str, path: str, body: bytes, status: int, data: bytes
    ) -> None:
        if method == "POST" and path == "/holds" and status == 200:
            ttl_s = load_object(body)["ttlMs"] / 1000
            self._lease_expiries[load_object(data)["tenure"]] = (self.clock.now() + ttl_s, ttl_s)
        elif path.endswith("/renew") and status == 200:
            lease = int(path.split("/")[2])
            ttl_s = self._lease_expiries[lease][1]
            self._lease_expiries[lease] = (self.clock.now() + ttl_s, ttl_s)

    async def notify_watches(self) -> None:
        await self.state_changed.set()
        self.state_changed.clear()

    async def _state_runs(self) -> None:
        revision = -1
        while True:
            now = self.clock.now()
            for lease, (end, ttl_s) in list(self._lease_expiries.items()):
                if self.state.down:
                    self._lease_expiries[lease] = (now + ttl_s, ttl_s)
                elif now > end:
                    del self._lease_expiries[lease]
                    self.state.end_lease(lease)
            if self.state.revision != revision and not self.state.down:
                revision = self.state.revision
                await self.notify_watches()
            await curio.sleep(0.02)

    async def _check_invariants(self) -> None:
        while True:
            self.checker.check()
            await curio.sleep(0.5)

    # -- who takes part --------------------------------------------------------------

    async def begin(self, machines: int = 2, zone: str = "north") -> None:
        seed(self.state, self.clock, machines=0)
        await curio.spawn(self._state_runs, daemon=True)
        await curio.spawn(self._check_invariants, daemon=True)
        for label in self.LABELS:
            await self.start(label)
        self.heartbeat_interval_s = self.nodes["node-0"].settings.heartbeat_interval_s
        self.worker_lease_s = self.nodes["node-0"].settings.worker_lease_s
        self.cancellation_deadline_s = self.nodes["node-0"].settings.cancellation_deadline_s
        await self.wait_until(lambda: len(self.owners()) == 3)
        for number in range(machines):
            await self.add_worker(f"n-{number}", zone)

    async def add_worker(
        self, machine: str, zone: str = "north", shard: int = 0, record: bool = True
    ) -> Worker:
        if record:
            value = {"type": "g4", "zone": zone, "spot": False, "shard": shard}
            value |= {"at": self.clock.wall(), "retiring": "", "up": False}
            self.state.put(keys.machine(machine), value)
        worker = self.workers[machine] = Worker(self, machine, len(self.workers), zone)
        await curio.spawn(worker.run, daemon=True)
        return worker

    async def start(self, label: str) -> SteppedController:
        def connect(peer: Peer) -> PeerLink:
            return PeerLink(self, label, peer.label)

        self._process_count += 1
        unique = f"process-{self._process_count}"
        node = SteppedController(
            self.state_links[label], self.clock, self.nodes, label, self.cloud, connect, unique
        )
        node.watcher._pause_s = 4 / node.settings.state_request_rate
        node.command_sender.connect = lambda endpoint: WorkerLink(
            next(w for w in self.workers.values() if 20000 + w.number == endpoint.port)
        )
        parts: list[Callable[[], Awaitable[None]]] = [
            node.controller_lease.run,
            node.watcher.run,
            node.watcher.run_syncs,
            node.writer.run,
            node.membership.run,
            node.feature_level.run,
            node.partition_protocol.run,
            node.scheduling_loop.run,
            node.record_repair.run,
            *self.extra_loops(node),
        ]
        if self._provisions:
            parts.append(node.provisioner.run)
        self._tasks[label] = [
            await curio.spawn(self._run_part, label, p, daemon=True) for p in parts
        ]
        return node

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Loops that a controller runs beside the ordinary ones, made before any of them runs."""
        return []

    async def _run_part(self, label: str, part: Callable[[], Awaitable[None]]) -> None:
        def until() -> float:
            return self.frozen_until.get(label, 0.0)

        await run_with_freezes(part(), until, self.clock)  # type: ignore[arg-type]

    def is_frozen(self, label: str) -> bool:
        """Whether the controller's process runs nothing now."""
        return self.clock.now() < self.frozen_until.get(label, 0.0)

    async def run_provisioners(self) -> None:
        """The leaders' loops run too, and the cloud's machines are up a second after renting."""
        self._provisions = True
        for label, node in self.nodes.items():
            self._tasks[label].append(await curio.spawn(node.provisioner.run, daemon=True))
        await curio.spawn(self._cloud_runs, daemon=True)

    async def _cloud_runs(self) -> None:
        while True:
            await curio.sleep(1.0)
            for machine, data in list(self.cloud.machines.items()):
                is_new = machine not in self.workers and machine not in self.cloud.released
                if is_new and self.comes_up(machine):
                    await self.add_worker(machine, data["yard"], record=False)
            for machine in self.cloud.released:
                worker = self.workers.get(machine)
                if worker is not None:
                    worker.is_terminated = True
                    worker.tasks.clear()
            self.cloud.listed = [
                {
                    "nameId": machine,
                    "address": "127.0.0.1:1",
                    "frame": data["frame"],
                    "yard": data["yard"],
                    "loaners": data["loaners"],
                    "stage": "running",
                    "heldS": 1000.0,
                }
                for machine, data in sorted(self.cloud.machines.items())
                if machine not in self.cloud.released
            ]

    def leader(self) -> str | None:
        row = self.state.keys.get(keys.LEADER)
        return None if row is None or row[0]["owner"] not in self.nodes else row[0]["owner"]

    async def kill(self, label: str) -> None:
        """Its process ends at once; its key and lease stand until they run out."""
        self.nodes.pop(label)
        for task in self._tasks.pop(label):
            await task.cancel(blocking=False)

    async def power_off(self, label: str) -> None:
        """Its machine is without power until it is lit again."""
        self.powered_off.add(label)
        await self.kill(label)

    async def power_on(self, label: str) -> None:
        self.powered_off.discard(label)
        await self.start(label)

    async def restart(self, label: str, after_s: float) -> None:
        await self.kill(label)
        await curio.sleep(after_s)
        await self.start(label)

    def isolate(self, label: str) -> None:
        """Neither the state service nor another controller; workers and users still come."""
        self.cut_from_state.add(label)
        self.cut_from_peers.add(label)

    def reconnect(self) -> None:
        self.cut_from_state.clear()
        self.cut_from_peers.clear()
        self.refused_requests.clear()

    def owners(self) -> dict[int, str]:
        rows = {k: v for k, v in self.state.keys.items() if k.startswith(keys.SHARD)}
        return {int(k[len(keys.SHARD) :]): v[0]["owner"] for k, v in rows.items()}

    def deliver(self, body: bytes, label: str) -> tuple[int, bytes]:
        """A report reaches a controller, as its own handler would answer it."""
        answer = self.nodes[label].heartbeats.handle(parse_heartbeat(load_object(body)))
        if answer.status == 200:
            return 200, answer_body(answer.token, list(answer.commands))
        return answer.status, orjson.dumps({"foreman": answer.redirect} if answer.redirect else {})

    # -- users -----------------------------------------------------------------------

    def expect(self, job: str, run_s: float | None = None, **fields: Any) -> dict[str, Any]:
        """The job as a user submits it; the judge knows of it from now on."""
        fields = {"cut": "service" if run_s is None else "array", "dueS": None} | fields
        spec = submission(**{"nameId": job, **fields})
        self.checker.jobs.setdefault(job, JobFacts(spec, run_s, self.clock.now()))
        return spec

    async def submit(self, label: str, job: str, run_s: float | None = None, **fields: Any) -> int:
        spec = self.expect(job, run_s, **fields)
        return await self._ask(label, job, "POST", "/v1/jobs", orjson.dumps(spec))

    def is_accepted(self, job: str) -> bool:
        return self.checker.jobs[job].accepted is not None

    def has_finished(self, job: str, tasks: int) -> bool:
        return len(self.checker.jobs[job].finished) >= tasks

    async def show(self, label: str, job: str) -> int:
        return await self._ask(label, job, "GET", f"/v1/jobs/{job}")

    async def cancel(self, label: str, job: str) -> int:
        self.checker.jobs[job].cancellation_requested = True
        return await self._ask(label, job, "POST", f"/v1/jobs/{job}/withdraw")

    async def cancel_until_confirmed(self, label: str, job: str, within_s: float) -> bool:
        end = self.clock.now() + within_s
        while self.clock.now() < end:
            if await self.cancel(label, job) == 200:
                return True
            await curio.sleep(0.5)
        return False

    async def _ask(self, label: str, job: str, method: str, path: str, body: bytes = b"") -> int:
        asked_at = self.clock.now()
        while self.is_frozen(label):
            await curio.sleep(0.1)
        response = await self.nodes[label].ask(method, path, body)
        self.checker.check_response(job, response, asked_at)
        return response.status

    async def show_everywhere(self, job: str, times: int = 3) -> None:
        """Users ask at all controllers at once, again and again within milliseconds."""
        async with curio.TaskGroup() as group:
            for n in range(times):
                for label in list(self.nodes):
                    await group.spawn(self.show, label, job)
                await curio.sleep(0.003 * n)

    # -- time ------------------------------------------------------------------------

    async def wait_until(self, what: Callable[[], bool], within_s: float = 60.0) -> None:
        end = self.clock.now() + within_s
        while not what():
            assert self.clock.now() < end, "it did not come about"
            await curio.sleep(0.05)

    def workers_running(self, job: str) -> list[Worker]:
        """The workers with a task of the job, as far as their leases stand."""
        now = self.clock.now()
        return [
            worker
            for worker in self.workers.values()
            if worker.lease_renewed_at + self.worker_lease_s >= now
            and any(k[0] == job and t.state == "running" for k, t in worker.tasks.items())
        ]


def simulate(
    scenario: Callable[[Region], Awaitable[None]], state: StateService | None = None
) -> Region:
    """Play a story; parts that fail and rules that break fail it."""
    clock = FakeClock()
    regions: list[Region] = []

    async def begin() -> None:
        region = Region(clock, state)
        regions.append(region)
        await scenario(region)
        region.checker.check()

    run_under_virtual_time(clock, begin)
    assert not regions[0].checker.violations, regions[0].checker.violations[:5]
    return regions[0]
