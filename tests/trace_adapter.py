"""Adapter between the behaviour trace and the code under test. It is the only module of the trace
that names classes of crossmill or of the simulated region, so a refactoring edits this file alone.

Messages are recorded where they are bytes of the protocol: at the links on which a controller
sends requests, and at the handlers that answer requests to it.
"""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Protocol

import curio
import orjson
from curio.sched import SchedBarrier

from crossmill.cluster import keys
from crossmill.cluster.model import PlannedAttempt
from crossmill.jobs import placement
from crossmill.net.client import ConnectionFailedError, Http, NoResponseError
from crossmill.net.server import Request, Response
from crossmill.planning.free_capacity import FreeCapacity, assign_tasks
from crossmill.wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body
from crossmill.wire.users import JobSpec
from crossmill.workers.attempt_outcomes import StopReason

from . import simulated_region
from .fake_services import ZONES, CloudService, FakeClock
from .fault_injection import clear_faults, every_request, lose_answers
from .multihost_fault_injection import MultihostFaults
from .multihost_region import MultihostRegion
from .recovery_region import RecoveryRegion, recovery_settings
from .simulated_links import PeerLink
from .simulated_region import Region
from .simulated_worker import Worker
from .stepped_controller import SteppedController
from .virtual_time import run_under_virtual_time

SENT, RECEIVED = "sent", "received"
NO_ANSWER, NOT_REACHED = b"no answer", b"not reached"
CONTROLLERS = Region.LABELS
MACHINE_TYPE = "g4"
# few differences are held back already, so that operators have something to approve
BRAKE_LEAST, BRAKE_SHARE = 1, 0.0


@dataclass
class Message:
    """A request that a controller sent or received, and its answer. Status 0 is no answer."""

    time: float
    direction: str
    counterpart: str
    method: str
    path: str
    body: bytes
    status: int = 0
    answer: bytes = b""
    answered_at: float | None = None


class Recorder(Protocol):
    """What messages are given to, in the order of their requests."""

    def add(self, controller: str, message: Message) -> None:
        """Take a message; its answer is filled in later."""


@dataclass(frozen=True)
class JobRequest:
    """A job as a scenario submits it."""

    name: str
    run_s: float | None = None
    tasks: int = 1
    team: str = "blue"
    priority: str = "standard"
    gpus: float = 1.0
    needs: tuple[str, ...] = ()
    is_gang: bool = False
    one_zone: bool = False
    spread: bool = False
    may_use_spot: bool = False

    def fields(self) -> dict[str, Any]:
        """The fields of the submission's body that differ from the usual ones."""
        kind = "service" if self.run_s is None else "array"
        return {
            "cut": "gang" if self.is_gang else kind,
            "sacks": self.tasks,
            "crew": self.team,
            "precedence": self.priority,
            "cards": self.gpus,
            "awaits": list(self.needs),
            "oneZone": self.one_zone,
            "spread": self.spread,
            "loaners": self.may_use_spot,
        }


class _MessageLog:
    """Records a controller's messages with the times of a region's clock."""

    def __init__(self, recorder: Recorder, clock: FakeClock, counts: Counter[str]) -> None:
        self.recorder, self.clock, self.counts = recorder, clock, counts

    def open(self, controller: str, direction: str, counterpart: str, request: Request) -> Message:
        """Record a request whose answer is still to come."""
        method, path, body = request.method, request.path, request.body
        now = self.clock.now()
        message = Message(now, direction, counterpart, method, path, body)
        self.recorder.add(controller, message)
        self.counts[f"messages {direction}, {counterpart.partition(':')[0]}"] += 1
        return message

    def close(self, message: Message, status: int, answer: bytes) -> None:
        """Fill in the answer."""
        message.status, message.answer = status, answer
        message.answered_at = self.clock.now()


class _RecordedLink:
    """A link of a controller, whose requests are recorded."""

    def __init__(self, link: Http, log: _MessageLog, controller: str, counterpart: str) -> None:
        self._link, self._log = link, log
        self._controller, self._counterpart = controller, counterpart

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        request = Request(method, path, body)
        message = self._log.open(self._controller, SENT, self._counterpart, request)
        try:
            status, answer = await self._link.request(method, path, body, timeout_s)
        except ConnectionFailedError:
            self._log.close(message, 0, NOT_REACHED)
            raise
        except NoResponseError:
            self._log.close(message, 0, NO_ANSWER)
            raise
        self._log.close(message, status, answer)
        return status, answer


class _RecordedCloud(CloudService):
    """The region's cloud as one controller reaches it."""

    def __init__(self, cloud: CloudService, log: _MessageLog, controller: str) -> None:
        self._link = _RecordedLink(cloud, log, controller, "cloud")

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        return await self._link.request(method, path, body, timeout_s)


class _RecordedRegion(Region):
    """A region whose controllers' messages are recorded."""

    log: _MessageLog

    def attach(self, log: _MessageLog) -> None:
        """Record from now on; called before any controller starts."""
        self.log = log
        self._shared_cloud = self.cloud
        links = {
            label: _RecordedLink(link, log, label, "state")
            for label, link in self.state_links.items()
        }
        self.state_links = links  # type: ignore[assignment]

    async def start(self, label: str) -> SteppedController:
        # the region hands its cloud to the controller before anything else can run
        self.cloud = _RecordedCloud(self._shared_cloud, self.log, label)
        return await super().start(label)

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        self.cloud = self._shared_cloud
        parts = super().extra_loops(node)
        label = node.settings.label
        self._record_direct_commands(node, label)
        self._count_preemptions(node)
        for peer_handler in (node.lease_extensions, node.partition_protocol):
            self._record_handler(peer_handler, "peer", label)
        self._record_async_handler(node.jobs, "user", label)
        return parts

    def _record_direct_commands(self, node: SteppedController, label: str) -> None:
        connect = node.command_sender.connect

        def recorded(endpoint: Any) -> Http:
            return _RecordedLink(connect(endpoint), self.log, label, f"worker:{endpoint.port}")

        node.command_sender.connect = recorded

    def _count_preemptions(self, node: SteppedController) -> None:
        request_stop = node.heartbeats.request_stop

        def counted(attempt: PlannedAttempt, reason: StopReason) -> None:
            self.log.counts[f"stops intended, {reason.name.lower()}"] += 1
            request_stop(attempt, reason)

        node.heartbeats.request_stop = counted  # type: ignore[method-assign]

    def _record_handler(self, handler: Any, counterpart: str, label: str) -> None:
        handle: Callable[[Request], Response] = handler.handle

        def recorded(request: Request) -> Response:
            message = self.log.open(label, RECEIVED, counterpart, request)
            response = handle(request)
            self.log.close(message, response.status, response.body)
            return response

        handler.handle = recorded

    def _record_async_handler(self, handler: Any, counterpart: str, label: str) -> None:
        handle: Callable[[Request], Awaitable[Response]] = handler.handle

        async def recorded(request: Request) -> Response:
            message = self.log.open(label, RECEIVED, counterpart, request)
            response = await handle(request)
            self.log.close(message, response.status, response.body)
            return response

        handler.handle = recorded

    def deliver(self, body: bytes, label: str) -> tuple[int, bytes]:
        machine = orjson.loads(body)["stone"]
        request = Request("POST", "heartbeat", body)
        message = self.log.open(label, RECEIVED, f"heartbeat:{machine}", request)
        status, answer = super().deliver(body, label)
        self.log.close(message, status, answer)
        return status, answer


class _RecordedMultihostRegion(_RecordedRegion, MultihostRegion):
    """A region with multi-machine replicas, recorded."""

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        parts = super().extra_loops(node)
        label = node.settings.label
        self._record_async_handler(self.services[label], "multihost", label)
        return parts


class _RecordedRecoveryRegion(_RecordedRegion, RecoveryRegion):
    """A region with recovery on, recorded."""

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        parts = super().extra_loops(node)
        label = node.settings.label
        self._record_async_handler(self.apis[label], "recovery operator", label)
        return parts


class _RecordedPeerLink(PeerLink):
    """The line from one controller to another, whose requests are recorded at the sender."""

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        region = self._region
        assert isinstance(region, _RecordedRegion)
        line = PeerLink(region, self._source, self._label)
        link = _RecordedLink(line, region.log, self._source, f"peer:{self._label}")
        return await link.request(method, path, body, timeout_s)


@contextmanager
def _replaced(owner: Any, name: str, value: Any) -> Iterator[None]:
    """Replace an attribute for a while."""
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


class SimulatedRegion:
    """What scenarios do with a region of any kind."""

    def __init__(self, region: _RecordedRegion, counts: Counter[str]) -> None:
        self._region = region
        self.counts = counts

    # -- controllers -----------------------------------------------------------------

    async def begin(self) -> None:
        """Start all controllers and wait until each shard has an owner."""
        await self._region.begin(machines=0)

    async def begin_leading(self) -> None:
        """Run the leaders' loops too; the cloud's machines come up after they are rented."""
        await self._region.run_provisioners()

    def now(self) -> float:
        """The virtual time."""
        return self._region.clock.now()

    def living(self) -> list[str]:
        """The controllers that run."""
        return [label for label in CONTROLLERS if label in self._region.nodes]

    async def end(self, controller: str) -> None:
        """End a controller's process at once."""
        if controller in self._region.nodes:
            await self._region.kill(controller)

    async def start(self, controller: str) -> None:
        """Start a controller that does not run."""
        if controller not in self._region.nodes:
            await self._region.start(controller)

    def freeze(self, controller: str, for_s: float) -> None:
        """Let a controller's process stand still."""
        self._region.frozen_until[controller] = self.now() + for_s

    def owner(self, shard: int) -> str | None:
        """The controller that owns a shard by the stored state."""
        return self._region.owners().get(shard)

    # -- faults ----------------------------------------------------------------------

    def cut_controller(self, controller: str) -> None:
        """Cut a controller from the state service and its peers."""
        self._region.isolate(controller)

    def cut_zone(self, zone: str) -> None:
        """Cut a zone from the other and from the state service."""
        for label in CONTROLLERS:
            if ZONES[label] == zone:
                self._region.isolate(label)

        def reaches(worker: Worker, label: str) -> bool:
            return label in self._region.nodes and (worker.zone == zone) == (ZONES[label] == zone)

        self._region.can_reach = reaches

    def state_outage(self, is_out: bool) -> None:
        """Let the state service refuse everything, or serve again."""
        self._region.state.down = is_out

    def refuse(self, controller: str) -> None:
        """Let the state service refuse one controller."""
        self._region.refused_requests[controller] = every_request

    def lose_answers(self, each: int, carried_out: bool, for_s: float) -> None:
        """Give no answer to every so manyth transaction, carried out at once or late."""
        lose_answers(each, self._region, 2.0, carried_out, for_s)

    def slow_state(self, late_s: float) -> None:
        """Hold up all requests to the state service."""
        self._region.state_delay_s = late_s

    def compact(self) -> None:
        """Drop the state service's history of changes."""
        self._region.state.compact()

    def cloud_outage(self, is_out: bool) -> None:
        """Let the cloud refuse everything, or serve again."""
        self._region.cloud.down = is_out

    def no_capacity(self, rentals: int) -> None:
        """Let the next rentals find no machine."""
        self._region.cloud.script += ["none"] * rentals

    def heal(self) -> None:
        """End all faults but those of processes."""
        clear_faults(self._region)
        self._region.frozen_until.clear()
        self._region.cloud.down = False

    # -- workers ---------------------------------------------------------------------

    async def add_worker(self, machine: str, zone: str, shard: int, spot: bool = False) -> None:
        """Add a machine that a leader rented earlier."""
        value = {"type": MACHINE_TYPE, "zone": zone, "spot": spot, "shard": shard}
        value |= {"at": self._region.clock.wall(), "retiring": "", "up": False}
        self._region.state.put(keys.machine(machine), value)
        await self._region.add_worker(machine, zone, shard, record=False)

    def workers(self) -> list[str]:
        """The machines that run, by name."""
        return sorted(
            name for name, worker in self._region.workers.items() if not worker.is_terminated
        )

    def busy_workers(self) -> list[str]:
        """The machines with a task."""
        return [name for name in self.workers() if self._region.workers[name].tasks]

    def lose_heartbeats(self, machine: str, is_lost: bool) -> None:
        """Lose the machine's heartbeats."""
        self._region.workers[machine].heartbeats_lost = is_lost

    def lose_inbound(self, machine: str, is_lost: bool) -> None:
        """Lose the answers and commands to the machine."""
        self._region.workers[machine].inbound_lost = is_lost

    def freeze_worker(self, machine: str, is_frozen: bool) -> None:
        """Let the machine's agent stand still."""
        self._region.workers[machine].is_frozen = is_frozen

    def give_notice(self, machine: str, left_s: float) -> None:
        """Let a worker report that the cloud takes its machine away."""
        self._region.workers[machine].notice_s = left_s

    def take_away(self, machine: str) -> None:
        """End a machine."""
        worker = self._region.workers[machine]
        worker.is_terminated = True
        worker.tasks.clear()

    def repeat_heartbeats(self, machine: str, controller: str) -> None:
        """Deliver copies of a worker's earlier heartbeats."""
        if controller in self._region.nodes:
            for body in list(self._region.workers[machine].sent_heartbeats):
                self._region.deliver(body, controller)

    # -- users -----------------------------------------------------------------------

    async def submit(self, controller: str, job: JobRequest) -> int:
        """Submit a job; the status, 0 if the controller ended."""
        return await self._answered(
            self._region.submit(controller, job.name, job.run_s, **job.fields())
        )

    async def cancel(self, controller: str, job: str) -> int:
        """Cancel a job; the status, 0 if the controller ended."""
        return await self._answered(self._region.cancel(controller, job))

    async def show(self, controller: str, job: str) -> int:
        """Ask for a job's state; the status, 0 if the controller ended."""
        return await self._answered(self._region.show(controller, job))

    async def _answered(self, status: Awaitable[int]) -> int:
        try:
            return await status
        except KeyError:
            # it ended while the user waited for it to go on
            return 0

    def orders(self) -> Counter[str]:
        """How many orders the workers got, by verb."""
        workers = self._region.workers.values()
        return Counter(order[2]["verb"] for worker in workers for order in worker.orders)

    def broken_rules(self) -> list[str]:
        """What the region's judge found fault with."""
        return list(self._region.checker.violations)


class SimulatedMultihostRegion(SimulatedRegion):
    """A region with multi-machine replicas."""

    _region: _RecordedMultihostRegion

    async def begin_pool(self, seed: int) -> dict[str, Callable[[], Awaitable[None]]]:
        """Start a drawn pool with replica sets; the troubles that end by themselves, by name."""
        self._troubles = faults = MultihostFaults(self._region, seed)
        await faults.begin()
        return {
            "machine dies": faults._machine_dies,
            "agent restarts": faults._agent_restarts,
            "agent hangs": faults._machine_hangs,
            "one-way cut": faults._one_way_cut,
            "machines parted": faults._machines_parted,
            "owner ends": faults._owner_ends,
            "state outage": faults._state_outage,
            "machine drained": faults._drain,
            "late heartbeats": faults._late_copies,
        }

    async def declare(self, name: str, members: int, replicas: int, priority: int) -> int:
        """Declare a replica set as an operator does; the status."""
        body = {
            "members": members,
            "replicas": replicas,
            "priority": priority,
            "cpus": 16.0,
            "gpus": 4.0,
            "memory_gb": 64.0,
            "image": "weights-9",
            "image_gb": 1.0,
        }
        status, _ = await self._region.operate("PUT", f"replica-sets/{name}", body)
        return int(status)

    async def look(self) -> None:
        """Ask for the list of the replica sets at every controller."""
        for label in list(self._region.services):
            await self._region.operate("GET", "replica-sets", label=label)

    def pool_owner(self) -> str | None:
        """The controller that owns the pool."""
        return self.owner(self._region.multihost.pool_shard)

    def member_machines(self) -> list[str]:
        """The machines on which members run."""
        return sorted(name for name, agent in self._region.agents.items() if agent.members)

    def give_agent_notice(self, machine: str, left_s: float | None) -> None:
        """Let an agent report that its machine is taken away, or is not."""
        self._region.agents[machine].notice_s = left_s

    def lose_zone_heartbeats(self, zone: str, is_lost: bool) -> None:
        """Lose all heartbeats of a zone's agents."""
        for agent in self._region.agents.values():
            if agent.zone == zone:
                agent.heartbeats_lost = is_lost

    async def mend(self) -> None:
        """End the troubles; machines that died are back."""
        await self._troubles.mend()

    def generations(self) -> int:
        """The sum of all replicas' generations."""
        rows = self._region.state.keys.values()
        return sum(row[0].get("generation", 0) for row in rows if "phase" in row[0])


class SimulatedRecoveryRegion(SimulatedRegion):
    """A region whose controllers recover their shards after failures."""

    _region: _RecordedRecoveryRegion

    def remember_state(self) -> dict[str, Any]:
        """A copy of what the state service holds."""
        return self._region.remember()

    async def restore_state(self, copy: dict[str, Any]) -> None:
        """Restore the state service from a copy, while no controller runs."""
        await self._region.come_back_older(copy)

    def is_steady(self) -> bool:
        """Whether every shard's owner has recovered it."""
        return self._region.steady()

    async def approve_all(self, controller: str) -> int:
        """Approve, as an operator, everything that the brake holds back; how many approvals."""
        response = await self._region.request(controller, "GET", RECOVERY_PATH)
        if response.status != 200:
            return 0
        braked = orjson.loads(response.body).get("braked", [])
        for report in braked:
            body = approval_body(Approval(report["shard"], report["digest"]))
            await self._region.request(controller, "POST", APPROVE_PATH, body)
        return len(braked)


class _ArrivalOrder(dict[Any, None]):
    """Tasks in the order in which they came, in place of curio's sets."""

    def add(self, task: Any) -> None:
        """Let one more task wait."""
        self[task] = None

    def remove(self, task: Any) -> None:
        """Let a task wait no longer."""
        del self[task]

    def discard(self, task: Any) -> None:
        """Let a task wait no longer, if it does."""
        super().pop(task, None)

    def pop(self, *_: Any) -> Any:
        """Take the task that waits longest."""
        task = next(iter(self))
        del self[task]
        return task


def _wait_in_order(barrier: Any) -> None:
    """The barrier's initialiser. Curio keeps the tasks that wait for an event in a set, whose order
    depends on their addresses in memory, so they wake in an order that differs between runs.
    """
    barrier._tasks = _ArrivalOrder()


class _OrderedTaskGroup(curio.TaskGroup):  # type: ignore[misc]
    """A group, made without tasks, that cancels them in the order in which they were spawned."""

    def __init__(self) -> None:
        super().__init__()
        self._running = _ArrivalOrder()


def _play(region: _RecordedRegion, log: _MessageLog, scenario: Callable[[], Any]) -> None:
    region.attach(log)
    with (
        _replaced(SchedBarrier, "__init__", _wait_in_order),
        _replaced(curio, "TaskGroup", _OrderedTaskGroup),
        _replaced(simulated_region, "PeerLink", _RecordedPeerLink),
    ):
        run_under_virtual_time(region.clock, scenario)


def play_ordinary(
    recorder: Recorder,
    counts: Counter[str],
    scenario: Callable[[SimulatedRegion], Awaitable[None]],
) -> None:
    """Play a story in a region without optional parts."""
    clock = FakeClock()
    region = _RecordedRegion(clock)

    async def begin() -> None:
        await scenario(SimulatedRegion(region, counts))

    _play(region, _MessageLog(recorder, clock, counts), begin)


def play_multihost(
    recorder: Recorder,
    counts: Counter[str],
    scenario: Callable[[SimulatedMultihostRegion], Awaitable[None]],
) -> None:
    """Play a story in a region with multi-machine replicas."""
    clock = FakeClock()
    region = _RecordedMultihostRegion(clock)

    async def begin() -> None:
        await curio.spawn(region.watch, daemon=True)
        await scenario(SimulatedMultihostRegion(region, counts))

    _play(region, _MessageLog(recorder, clock, counts), begin)


def play_recovery(
    recorder: Recorder,
    counts: Counter[str],
    scenario: Callable[[SimulatedRecoveryRegion], Awaitable[None]],
) -> None:
    """Play a story in a region with recovery on."""
    clock = FakeClock()
    region = _RecordedRecoveryRegion(
        clock, recovery_settings(brake_least=BRAKE_LEAST, brake_share=BRAKE_SHARE)
    )

    async def begin() -> None:
        await scenario(SimulatedRecoveryRegion(region, counts))

    _play(region, _MessageLog(recorder, clock, counts), begin)


@contextmanager
def changed_placement() -> Iterator[None]:
    """Plant a change of one decision: the first machine that has room is passed over."""

    def changed_assign(
        spec: JobSpec, tasks: int, capacities: list[FreeCapacity], *rest: Any
    ) -> Any:
        return assign_tasks(spec, tasks, capacities[1:] or capacities, *rest)

    with _replaced(placement, "assign_tasks", changed_assign):
        yield
