"""The simulated region with recovery on: every controller has the package's service, and the orders
that workers get are counted.
"""

from collections.abc import Awaitable, Callable, Iterable
from copy import deepcopy
from typing import Any

import curio

from crossmill.net.server import Request, Response
from crossmill.recovery.api import RecoveryApi
from crossmill.recovery.service import RecoveryService
from crossmill.recovery.settings import RecoverySettings, parse
from crossmill.recovery.shard_recovery import ShardRecovery

from .builders import make_settings
from .fake_clock import FakeClock
from .simulated_region import Region
from .simulated_worker import Task, Worker
from .stepped_controller import SteppedController
from .virtual_time import run_under_virtual_time

# of every five jobs one is of the team with a limit, which the stories stay below
CREWS = ("blue", "green", "blue", "green", "red")
RED_JOBS = 5


def recovery_settings(**changes: Any) -> RecoverySettings:
    return parse({"recovery": changes}, make_settings())


def add_recovery(node: SteppedController, recovery: RecoverySettings) -> RecoveryApi:
    """Gives a controller the package's parts, as the application does."""
    parts = node.settings, recovery, node.clock, node.cluster
    service = RecoveryService(
        *parts, node.membership, node.watcher, node.writer, node.forecast.priority_of
    )
    node.heartbeats.gate = service
    return RecoveryApi(*parts, node.watcher, node.writer, service)


class RecoveryRegion(Region):
    """`recovery` of None leaves the ordinary path alone."""

    def __init__(self, clock: FakeClock, recovery: RecoverySettings | None) -> None:
        super().__init__(clock)
        self.recovery = recovery
        self.services: dict[str, RecoveryService] = {}
        self.apis: dict[str, RecoveryApi] = {}

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        if self.recovery is None:
            return []
        label = node.settings.label
        api = add_recovery(node, self.recovery)
        self.services[label], self.apis[label] = api.service, api
        return [api.service.run]

    # -- troubles --------------------------------------------------------------------

    async def end_all(self) -> None:
        for label in list(self.nodes):
            await self.kill(label)

    async def start_all(self, apart_s: float = 0.0) -> None:
        for label in self.LABELS:
            if label not in self.nodes:
                await self.start(label)
                await curio.sleep(apart_s)

    async def restart_all(self, outage_s: float, apart_s: float = 0.0) -> None:
        await self.end_all()
        await curio.sleep(outage_s)
        await self.start_all(apart_s)

    def remember(self) -> dict[str, Any]:
        """What the state service holds, to be restored later. Leases are not: they will be over."""
        return {
            key: deepcopy(value) for key, (value, _, lease) in self.state.keys.items() if not lease
        }

    async def come_back_older(self, remembered: dict[str, Any]) -> None:
        """While no controller is there, the state service is restored from an older copy."""
        assert not self.nodes
        for key in list(self.state.keys):
            self.state.delete(key)
        self.state.leases.clear()
        for key, value in remembered.items():
            self.state.put(key, value)

    # -- looks -----------------------------------------------------------------------

    def orders(self, workers: Iterable[Worker] | None = None) -> dict[str, list[str]]:
        """By worker, the verbs of the orders that it got; those that got none are left out."""
        chosen = self.workers.values() if workers is None else workers
        return {w.machine: [o[2]["verb"] for o in w.orders] for w in chosen if w.orders}

    def forget_orders(self) -> None:
        for worker in self.workers.values():
            worker.orders.clear()

    def recoveries(self) -> list[ShardRecovery]:
        """Those that go on in living controllers."""
        return [
            recovery
            for label, service in self.services.items()
            if label in self.nodes
            for recovery in service.recoveries()
        ]

    def steady(self) -> bool:
        owners = self.owners()
        return len(owners) == len(self.LABELS) and all(
            label in self.nodes and self.services[label].is_steady(shard)
            for shard, label in owners.items()
        )

    async def request(self, label: str, method: str, path: str, body: bytes = b"") -> Response:
        return await self.apis[label].handle(Request(method, path, body))

    def is_up(self, job: str, tasks: int) -> bool:
        """Whether so many tasks of the job run."""
        return tasks == sum(
            task.state == "running"
            for worker in self.workers_running(job)
            for key, task in worker.tasks.items()
            if key[0] == job
        )

    async def submit_until_accepted(
        self, label: str, job: str, run_s: float | None, **fields: Any
    ) -> None:
        """A user repeats what was answered 503, as PROTOCOL says; any other refusal is an error."""
        while (status := await self.submit(label, job, run_s, **fields)) not in (200, 201):
            assert status == 503, status
            await curio.sleep(1.0)

    async def services_running(self, number: int, tasks: int = 3) -> list[str]:
        """Submits services, every third of them spread, and waits until all their tasks run."""
        jobs = [f"wk-{n:06d}" for n in range(number)]
        for n, job in enumerate(jobs):
            crew = CREWS[n % len(CREWS)] if n < len(CREWS) * RED_JOBS else CREWS[n % 2]
            label = self.LABELS[n % len(self.LABELS)]
            fields = {"crew": crew, "sacks": tasks, "spread": n % 3 == 0}
            await self.submit_until_accepted(label, job, None, **fields)
        await self.wait_until(lambda: all(self.is_up(j, tasks) for j in jobs), 120.0)
        return jobs


def give_unplanned(worker: Worker, job: str, index: int, attempt: int) -> None:
    """The worker runs a task that the stored state never recorded."""
    worker.tasks[job, index] = Task(attempt, "running", worker.region.clock.now())


def is_unplanned(report_violation: str) -> bool:
    """What the judge says of tasks that the story gave to workers behind the plans' back."""
    return " orphaned " in report_violation and report_violation.endswith(": in no plan")


def simulate_recovery(
    scenario: Callable[[RecoveryRegion], Awaitable[None]],
    recovery: RecoverySettings | None,
    expected: Callable[[str], bool] = lambda report_violation: False,
) -> RecoveryRegion:
    """Plays a story; rules that break fail it, unless the blame is one that the story expects."""
    clock = FakeClock()
    region = RecoveryRegion(clock, recovery)

    async def begin() -> None:
        await scenario(region)
        region.checker.check()

    run_under_virtual_time(clock, begin)
    violations = [
        report_violation
        for report_violation in region.checker.violations
        if not expected(report_violation)
    ]
    assert not violations, violations[:5]
    return region
