"""The simulated region with recovery on each controller.

The tests of recovery share its helpers, which start tasks in a region, restart all controllers,
restore the state service, and collect the orders that workers receive.
"""

from collections.abc import Awaitable, Callable, Iterable
from copy import deepcopy
from typing import Any, NamedTuple

import curio
import orjson

from crossmill.net.server import Request, Response
from crossmill.recovery.api import RecoveryApi
from crossmill.recovery.context import RecoveryContext
from crossmill.recovery.service import RecoveryService
from crossmill.recovery.settings import RecoverySettings, parse
from crossmill.recovery.shard_recovery import ShardRecovery
from crossmill.wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body

from .builders import make_settings
from .fake_clock import FakeClock
from .simulated_region import Region
from .simulated_worker import Task, Worker
from .stepped_controller import SteppedController
from .virtual_time import run_under_virtual_time

# the teams of successive jobs; the number of jobs of team red is limited, since it has a quota
TEAMS = ("blue", "green", "blue", "green", "red")
JOBS_WITH_RED = 5 * len(TEAMS)

# the size of a small region with tasks in each shard and each zone
FEW_WORKERS = 18
FEW_SERVICES = 12

OK = 200
ACCEPTED = (OK, 201)
UNAVAILABLE = 503

# the tolerance of a rate limit for float rounding, in orders
RATE_TOLERANCE = 1e-6


def recovery_settings(**changes: Any) -> RecoverySettings:
    """Return settings with the given fields of the recovery file."""
    return parse({"recovery": changes}, make_settings())


def add_recovery(node: SteppedController, recovery: RecoverySettings) -> RecoveryApi:
    """Add recovery to a controller, as the application does."""
    context = RecoveryContext(
        node.settings, recovery, node.clock, node.cluster, node.watcher, node.writer
    )
    service = RecoveryService(context, node.membership, node.forecast.priority_of)
    node.heartbeats.gate = service
    return RecoveryApi(context, service)


class RecoveryRegion(Region):
    """A region whose controllers use recovery unless the recovery settings are None."""

    def __init__(self, clock: FakeClock, recovery: RecoverySettings | None) -> None:
        super().__init__(clock)
        self.recovery_settings = recovery
        self.services: dict[str, RecoveryService] = {}
        self.apis: dict[str, RecoveryApi] = {}

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Add recovery to a starting controller, and return the loop of recovery."""
        if self.recovery_settings is None:
            return []
        label = node.settings.label
        api = add_recovery(node, self.recovery_settings)
        self.services[label], self.apis[label] = api.service, api
        return [api.service.run]

    def has_trouble(self) -> bool:
        """Return whether there is a fault, or the stored state is older than the fleet.

        The stops of tasks that a restored state does not contain are paced, and their room is in
        the way of jobs until then.
        """
        return super().has_trouble() or any(True for _ in self.checker.unplanned_tasks())

    # -- load ------------------------------------------------------------------------

    async def begin_with_workers(self, workers: int) -> None:
        """Start the controllers, and workers in all shards and both zones."""
        await self.start_region(machines=0)
        for number in range(workers):
            zone = ("north", "south")[number % 2]
            await self.add_worker(f"n-{number:03d}", zone, number % 3)

    async def begin_with_load(
        self, workers: int = FEW_WORKERS, services: int = FEW_SERVICES
    ) -> list[str]:
        """Start a region that runs services, spread services and long array jobs.

        Returns:
            The job IDs of the services.
        """
        await self.begin_with_workers(workers)
        await curio.sleep(8.0)
        jobs = await self.start_services(services)
        for number in range(services // 4):
            job = f"wk-{900000 + number}"
            label = self.LABELS[number % 3]
            fields = {"crew": "green", "sacks": 3, "cards": 0.0}
            await self.submit_until_accepted(label, job, 400.0, **fields)
        await curio.sleep(10.0)
        if self.recovery_settings is not None:
            await self.wait_until(self.is_steady, 120.0)
        self.clear_orders()
        return jobs

    async def submit_until_accepted(
        self, label: str, job: str, run_s: float | None, **fields: Any
    ) -> None:
        """Submit a job, and retry after each status 503, as PROTOCOL requires of users."""
        while (status := await self.submit(label, job, run_s, **fields)) not in ACCEPTED:
            assert status == UNAVAILABLE, status
            await curio.sleep(1.0)

    async def start_services(self, number: int, tasks: int = 3) -> list[str]:
        """Submit services, every third one spread, and wait until all their tasks run."""
        jobs = [f"wk-{n:06d}" for n in range(number)]
        for n, job in enumerate(jobs):
            team = TEAMS[n % len(TEAMS)] if n < JOBS_WITH_RED else TEAMS[n % 2]
            label = self.LABELS[n % len(self.LABELS)]
            fields = {"crew": team, "sacks": tasks, "spread": n % 3 == 0}
            await self.submit_until_accepted(label, job, None, **fields)
        await self.wait_until(lambda: all(self.has_running(j, tasks) for j in jobs), 120.0)
        return jobs

    # -- faults ----------------------------------------------------------------------

    async def kill_all(self) -> None:
        """Stop all controllers."""
        for label in list(self.nodes):
            await self.kill(label)

    async def start_all(self, start_interval_s: float = 0.0) -> None:
        """Start the controllers that do not run, one after another."""
        for label in self.LABELS:
            if label not in self.nodes:
                await self.start(label)
                await curio.sleep(start_interval_s)

    async def restart_all(self, outage_s: float, start_interval_s: float = 0.0) -> None:
        """Stop all controllers and start them again after an outage."""
        await self.kill_all()
        await curio.sleep(outage_s)
        await self.start_all(start_interval_s)

    def copy_state(self) -> dict[str, Any]:
        """Return a copy of the state service's keys, except those attached to leases."""
        return {
            key: deepcopy(value) for key, (value, _, lease) in self.state.keys.items() if not lease
        }

    async def restore_state(self, copy: dict[str, Any]) -> None:
        """Restore the state service from a copy; no controller may be running."""
        assert not self.nodes
        for key in list(self.state.keys):
            self.state.delete(key)
        self.state.leases.clear()
        for key, value in copy.items():
            self.state.put(key, value)

    # -- state -----------------------------------------------------------------------

    def orders(self, workers: Iterable[Worker] | None = None) -> dict[str, list[str]]:
        """Return the verbs of the orders by worker; workers without orders are omitted."""
        chosen = self.workers.values() if workers is None else workers
        return {
            w.machine: [o[2]["verb"] for o in w.received_commands]
            for w in chosen
            if w.received_commands
        }

    def clear_orders(self) -> None:
        """Clear the list of the orders that workers have received."""
        for worker in self.workers.values():
            worker.received_commands.clear()

    def stop_times(self, since: float) -> list[float]:
        """Return the times at which workers received orders to stop tasks."""
        return [
            at
            for worker in self.workers.values()
            for at, _, order in worker.received_commands
            if order["verb"] == "kill" and at >= since
        ]

    def running_tasks(self) -> dict[str, Any]:
        """Return the tasks by machine."""
        return {worker.machine: dict(worker.tasks) for worker in self.workers.values()}

    def has_running(self, job: str, tasks: int) -> bool:
        """Return whether exactly this number of the job's tasks run."""
        return tasks == sum(
            task.state == "running"
            for worker in self.workers_running(job)
            for key, task in worker.tasks.items()
            if key[0] == job
        )

    def active_recoveries(self) -> list[ShardRecovery]:
        """Return the recoveries in progress on running controllers."""
        return [
            recovery
            for label, service in self.services.items()
            if label in self.nodes
            for recovery in service.active_recoveries()
        ]

    def is_steady(self) -> bool:
        """Return whether each shard has an owner that has finished the shard's recovery."""
        owners = self.owners()
        return len(owners) == len(self.LABELS) and all(
            label in self.nodes and self.services[label].has_recovered(shard)
            for shard, label in owners.items()
        )

    # -- operators -------------------------------------------------------------------

    async def request(self, label: str, method: str, path: str, body: bytes = b"") -> Response:
        """Send an operator's request to a controller."""
        return await self.apis[label].handle(Request(method, path, body))

    async def overview(self, label: str = "node-0") -> dict[str, Any]:
        """Return a controller's overview of recoveries."""
        response = await self.request(label, "GET", RECOVERY_PATH)
        assert response.status == OK, response
        overview: dict[str, Any] = orjson.loads(response.body)
        return overview

    async def approve(self, label: str, breakers: list[dict[str, Any]]) -> list[int]:
        """Approve the actions that open circuit breakers block; return the HTTP statuses."""
        bodies = [approval_body(Approval(b["shard"], b["digest"])) for b in breakers]
        return [(await self.request(label, "POST", APPROVE_PATH, body)).status for body in bodies]


def disconnect(workers: Iterable[Worker]) -> None:
    """Disconnect workers: neither heartbeats nor responses nor commands arrive."""
    for worker in workers:
        worker.heartbeats_lost = worker.inbound_lost = True


def reconnect(workers: Iterable[Worker]) -> None:
    """Reconnect workers after `disconnect`."""
    for worker in workers:
        worker.heartbeats_lost = worker.inbound_lost = False


class RateViolation(NamedTuple):
    """A time span with more orders than its rate limit allows."""

    begin: float
    end: float
    orders: int
    allowed: float


def rate_violations(times: list[float], rate: float, burst: float) -> list[RateViolation]:
    """Return the time spans with more orders than the rate and one burst allow."""
    times = sorted(times)
    spans = [
        RateViolation(begin, end, last - first + 1, (end - begin) * rate + burst)
        for first, begin in enumerate(times)
        for last, end in enumerate(times[first:], first)
    ]
    return [span for span in spans if span.orders > span.allowed + RATE_TOLERANCE]


def add_unplanned_task(worker: Worker, job: str, index: int, attempt: int) -> None:
    """Make a worker run a task that no plan contains."""
    worker.tasks[job, index] = Task(attempt, "running", worker.region.clock.now())


def is_unplanned_task_violation(violation: str) -> bool:
    """Return whether a violation is about a task that a test added without a plan."""
    return " orphaned " in violation and violation.endswith(": in no plan")


def simulate_recovery(
    scenario: Callable[[RecoveryRegion], Awaitable[None]],
    recovery: RecoverySettings | None,
    expected: Callable[[str], bool] = lambda _: False,
) -> RecoveryRegion:
    """Run a scenario; fail if an invariant is violated, except for expected violations."""
    clock = FakeClock()
    region = RecoveryRegion(clock, recovery)

    async def begin() -> None:
        await scenario(region)
        region.checker.check()

    run_under_virtual_time(clock, begin)
    violations = [violation for violation in region.checker.violations if not expected(violation)]
    assert not violations, violations[:5]
    return region
