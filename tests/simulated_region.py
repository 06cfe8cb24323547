"""A region of several controllers that run their real loops under virtual time.

The state service, the cloud, workers and users are simulated (tests/fake_*.py,
tests/simulated_*.py). An invariant checker checks PROTOCOL's rules while a scenario runs.
`simulate` runs a scenario in a new region.
"""

from collections.abc import Awaitable, Callable, Iterator

import curio
import orjson

from crossmill.cluster import keys
from crossmill.jobs.machine_maintenance import RetireReason
from crossmill.settings import Peer, Settings
from crossmill.wire.checks import load_object
from crossmill.wire.workers import heartbeat_response_body, parse_heartbeat

from .fake_clock import FakeClock
from .fake_cloud import CloudService
from .fake_state_service import StateService
from .invariant_checker import InvariantChecker
from .message_copies import MessageCopies
from .simulated_links import PeerLink, StateLink, TransactionFault, no_transaction_fault
from .simulated_state import SimulatedState
from .simulated_users import SimulatedUsers
from .simulated_worker import FIRST_PORT, Worker, WorkerLink
from .stepped_controller import SteppedController, seed
from .virtual_time import run_under_virtual_time, run_with_freezes

CHECK_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.05
CLOUD_INTERVAL_S = 1.0


class Region(SimulatedUsers):
    """Controllers, workers, users, a state service and a cloud under virtual time.

    Faults are injected by setting the attributes; `fault_injection.clear_faults` ends most of them.
    """

    LABELS = ("node-0", "node-1", "node-2")

    def __init__(self, clock: FakeClock, state: StateService | None = None) -> None:
        self.clock = clock
        self.state = state or StateService()
        self.simulated_state = SimulatedState(clock, self.state)
        self.cloud = CloudService()
        self.cloud.on_release = self._stop_released_machine
        # running controllers by label
        self.nodes: dict[str, SteppedController] = {}
        self.state_links = {label: StateLink(self, label) for label in self.LABELS}
        self._tasks: dict[str, list[curio.Task]] = {}
        self.workers: dict[str, Worker] = {}
        self.checker = InvariantChecker(self)
        self._runs_provisioners = False
        self._process_count = 0
        # delay of every request to the state service, in seconds
        self.state_delay_s = 0.0
        # delay of the responses to a controller's transactions, by label, in seconds
        self.transaction_delay_s: dict[str, float] = {}
        # predicate on method and path, by label: requests of the controller that the state service
        # refuses
        self.refused_requests: dict[str, Callable[[str, str], bool]] = {}
        # labels of controllers that get no response from the state service
        self.cut_from_state: set[str] = set()
        # labels of controllers that reach no other controller
        self.cut_from_peers: set[str] = set()
        # pairs of controllers that do not reach each other
        self.cut_peer_pairs: set[frozenset[str]] = set()
        # time until which a controller's process is frozen, by label
        self.frozen_until: dict[str, float] = {}
        # labels of controllers whose machine is powered off: workers' connections to it time out
        self.powered_off: set[str] = set()
        # predicate on the machine ID: whether a rented machine boots
        self.can_boot: Callable[[str], bool] = lambda machine: True
        # returns the fault of a request to the state service, if any, from the controller's label,
        # the method and the path
        self.transaction_fault: Callable[[str, str, str], TransactionFault | None] = (
            no_transaction_fault
        )
        # returns the seconds after which a started task exits with `error` by itself, or None if it
        # does not, from its worker, job ID and index
        self.fails_after_s: Callable[[Worker, str, int], float | None] = lambda *_: None
        # copies of answered requests that arrive once more
        self.message_copies = MessageCopies()
        # predicate on worker and controller label: whether they reach each other
        self.can_reach: Callable[[Worker, str], bool] = lambda worker, label: label in self.nodes

    def check_invariants(self) -> None:
        """Check all rules, as the region does regularly."""
        self.checker.check()
        self.checker.progress.check()

    async def _check_invariants(self) -> None:
        while True:
            self.check_invariants()
            await curio.sleep(CHECK_INTERVAL_S)

    async def start_region(self, machines: int = 2, zone: str = "north") -> None:
        """Start all controllers, wait until each shard has an owner, and add workers."""
        seed(self.state, self.clock, machines=0)
        await curio.spawn(self.simulated_state.run, daemon=True)
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
        """Start a worker on a new machine.

        The machine's record is stored too, unless `record` is False: the caller has stored one.
        """
        if record:
            value = {"type": "g4", "zone": zone, "spot": False, "shard": shard}
            value |= {"at": self.clock.wall_time(), "retiring": "", "up": False}
            self.state.put(keys.machine(machine), value)
        worker = self.workers[machine] = Worker(self, machine, len(self.workers), zone)
        await curio.spawn(worker.run, daemon=True)
        return worker

    async def start(self, label: str) -> SteppedController:
        """Start a controller's process with all its loops."""

        def connect(peer: Peer) -> PeerLink:
            return PeerLink(self, label, peer.label)

        self._process_count += 1
        unique_id = f"process-{self._process_count}"
        node = SteppedController(
            self.state_links[label], self.clock, self.nodes, label, self.cloud, connect, unique_id
        )
        node.watcher._pause_s = 4 / node.settings.state_request_rate
        node.command_sender.connect = lambda endpoint: WorkerLink(self._worker_at(endpoint.port))
        loops: list[Callable[[], Awaitable[None]]] = [
            node.controller_lease.run,
            node.watcher.run,
            node.watcher.run_syncs,
            node.writer.run,
            node.membership.run,
            node.feature_level.run,
            node.partition_protocol.run,
            node.isolation.run,
            node.availability.run,
            node.scheduling_loop.run,
            node.record_repair.run,
            *self.extra_loops(node),
        ]
        if self._runs_provisioners:
            loops.append(node.provisioner.run)
        self._tasks[label] = [
            await curio.spawn(self._run_loop, label, loop, daemon=True) for loop in loops
        ]
        return node

    def _worker_at(self, port: int) -> Worker:
        return next(w for w in self.workers.values() if FIRST_PORT + w.number == port)

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Return additional loops of a controller; called before any of its loops runs."""
        return []

    async def _run_loop(self, label: str, loop: Callable[[], Awaitable[None]]) -> None:
        def until() -> float:
            return self.frozen_until.get(label, 0.0)

        await run_with_freezes(loop(), until, self.clock)  # type: ignore[arg-type]

    def is_frozen(self, label: str) -> bool:
        """Return whether the controller's process is frozen now."""
        return self.clock.now() < self.frozen_until.get(label, 0.0)

    async def run_provisioners(self) -> None:
        """Start the provisioners; a rented machine boots within about a second."""
        self._runs_provisioners = True
        for label, node in self.nodes.items():
            self._tasks[label].append(await curio.spawn(node.provisioner.run, daemon=True))
        await curio.spawn(self._run_cloud, daemon=True)

    async def _run_cloud(self) -> None:
        while True:
            await curio.sleep(CLOUD_INTERVAL_S)
            await self._boot_rented_machines()
            self.cloud.refresh_listing()

    async def _boot_rented_machines(self) -> None:
        for machine, data in list(self.cloud.machines.items()):
            is_new = machine not in self.workers and machine not in self.cloud.released
            if is_new and self.can_boot(machine):
                await self.add_worker(machine, data["yard"], record=False)

    def _stop_released_machine(self, machine: str) -> None:
        worker = self.workers.get(machine)
        if worker is not None:
            worker.terminate()

    def live_workers(self) -> Iterator[Worker]:
        """Iterate over the workers whose lease is valid: only these may run tasks."""
        now = self.clock.now()
        for worker in self.workers.values():
            if not worker.is_terminated and worker.lease_renewed_at + self.worker_lease_s >= now:
                yield worker

    @property
    def settings(self) -> Settings:
        """The settings that all controllers share."""
        return next(iter(self.nodes.values())).settings

    def is_returned(self, machine: str) -> bool:
        """Return whether the machine has been returned to the cloud.

        Without a cloud nobody returns one that was silent for longer than a worker lease, and whose
        record therefore says that it is to be returned: it counts as returned.
        """
        if self._runs_provisioners:
            return machine in self.cloud.released
        stored = self.state.keys.get(keys.machine(machine))
        return stored is not None and stored[0]["retiring"] == RetireReason.SILENT

    def has_trouble(self) -> bool:
        """Return whether a controller is missing, or any fault is injected now.

        Tasks that fail are no trouble for other jobs.
        """
        is_controller_affected = (
            len(self.nodes) < len(self.LABELS)
            or bool(self.cut_from_state or self.cut_from_peers or self.powered_off)
            or bool(self.cut_peer_pairs)
            or any(self.is_frozen(label) for label in self.LABELS)
        )
        is_service_affected = (
            self.state.is_down
            or self.cloud.is_down
            or self.state_delay_s > 0
            or bool(self.transaction_delay_s or self.refused_requests)
            or self.transaction_fault is not no_transaction_fault
        )
        return is_controller_affected or is_service_affected or self._is_worker_affected()

    def _is_worker_affected(self) -> bool:
        return any(
            worker.is_frozen
            or worker.inbound_lost
            or worker.heartbeats_lost
            or not all(self.can_reach(worker, label) for label in self.nodes)
            for worker in self.workers.values()
            if not worker.is_terminated
        )

    def leader(self) -> str | None:
        """Return the label of the leader by the stored state; None if it does not run."""
        stored = self.state.keys.get(keys.LEADER)
        if stored is None or stored[0]["owner"] not in self.nodes:
            return None
        return str(stored[0]["owner"])

    async def kill(self, label: str) -> None:
        """Kill a controller's process; its key and lease stay until the lease expires."""
        self.nodes.pop(label)
        for task in self._tasks.pop(label):
            await task.cancel(blocking=False)

    async def power_off(self, label: str) -> None:
        """Kill a controller and let workers' connections to its machine time out."""
        self.powered_off.add(label)
        await self.kill(label)

    async def power_on(self, label: str) -> None:
        """Start a controller whose machine was powered off."""
        self.powered_off.discard(label)
        await self.start(label)

    async def restart(self, label: str, after_s: float) -> None:
        """Kill a controller's process and start a new one after the given time."""
        await self.kill(label)
        await curio.sleep(after_s)
        await self.start(label)

    async def stop(self) -> None:
        """End the controllers' loops and the copies, which could else begin tasks to the last."""
        self.message_copies = MessageCopies()
        for tasks in self._tasks.values():
            for task in tasks:
                await task.cancel(blocking=False)

    def isolate(self, label: str) -> None:
        """Disconnect a controller from the state service and peers, not from workers and users."""
        self.cut_from_state.add(label)
        self.cut_from_peers.add(label)

    def reconnect(self) -> None:
        """End all disconnections of controllers and all refusals by the state service."""
        self.cut_from_state.clear()
        self.cut_from_peers.clear()
        self.cut_peer_pairs.clear()
        self.refused_requests.clear()

    def owners(self) -> dict[int, str]:
        """Return the stored owner's label of each owned shard."""
        rows = {k: v for k, v in self.state.keys.items() if k.startswith(keys.SHARD)}
        return {int(k[len(keys.SHARD) :]): v[0]["owner"] for k, v in rows.items()}

    def deliver_worker_heartbeat(self, body: bytes, label: str) -> tuple[int, bytes]:
        """Deliver a heartbeat to a controller and return the response's status and body."""
        response = self.nodes[label].heartbeats.handle(parse_heartbeat(load_object(body)))
        if response.status == 200:
            return 200, heartbeat_response_body(response.token, list(response.commands))
        return response.status, orjson.dumps(
            {"foreman": response.redirect} if response.redirect else {}
        )

    async def wait_until(self, condition: Callable[[], bool], within_s: float = 60.0) -> None:
        """Wait until the condition holds; fail after the timeout."""
        end = self.clock.now() + within_s
        while not condition():
            assert self.clock.now() < end, "the condition did not hold in time"
            await curio.sleep(POLL_INTERVAL_S)

    def workers_running(self, job: str) -> list[Worker]:
        """Return the workers that run a task of the job and whose lease has not expired."""
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
    """Run a scenario in a new region; fail if a loop fails or an invariant is violated."""
    clock = FakeClock()
    regions: list[Region] = []

    async def run() -> None:
        region = Region(clock, state)
        regions.append(region)
        await scenario(region)
        region.checker.check()
        await region.stop()

    run_under_virtual_time(clock, run)
    assert not regions[0].checker.violations, regions[0].checker.violations[:5]
    return regions[0]
