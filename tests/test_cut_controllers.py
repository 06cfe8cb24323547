"""Workers of controllers that are cut off alone, and of zones that are partitioned.

In both cases a controller hears neither the state service nor the other zones.
"""

from collections.abc import Awaitable, Callable

import curio
import pytest

from crossmill.cluster import keys

from .builders import ZONES
from .fault_injection import every_request
from .simulated_load_balancer import LoadBalancer
from .simulated_region import Region, simulate

# the team whose shard the controller owns, by label
TEAMS = {"node-0": "red", "node-1": "blue", "node-2": "green"}
JOB, TASKS, MACHINE = "wk-000001", 2, "n-0"
# longer than a controller of a partitioned zone keeps workers alive
LONG_CUT_S = 60.0
# shorter than that, and longer than a worker's lease
SHORT_CUT_S = 25.0
SETTLE_S = 10.0

Cut = Callable[[Region, str], None]


def _cut_silently(region: Region, label: str) -> None:
    """Cut a controller from the state service, which stays silent, and from its peers."""
    region.isolate(label)


def _cut_with_refusals(region: Region, label: str) -> None:
    """Cut a controller from its peers while the state service refuses all its requests."""
    region.refused_requests[label] = every_request
    region.cut_from_peers.add(label)


CUTS = pytest.mark.parametrize("cut", [_cut_silently, _cut_with_refusals])


class TasksOfOneController:
    """A region with a load balancer, and a machine with tasks in the zone of its owner."""

    def __init__(self, region: Region, label: str, zone: str) -> None:
        self.region, self.label = region, label
        self.shard = region.LABELS.index(label)
        self.zone = zone
        self.balancer = LoadBalancer(region)

    async def begin(self) -> None:
        """Start the region and the tasks."""
        region = self.region
        await region.start_region(machines=0)
        await self.balancer.start()
        await region.wait_until(lambda: region.owners().get(self.shard) == self.label)
        self.worker = await region.add_worker(MACHINE, self.zone, self.shard)
        await region.submit(self.label, JOB, sacks=TASKS, cards=1.0, crew=TEAMS[self.label])
        await region.wait_until(lambda: len(region.checker.starts) == TASKS)
        await curio.sleep(SETTLE_S)

    def has_reported_to(self, label: str) -> bool:
        """Return whether the worker has confirmed a token of the controller."""
        view = self.region.nodes[label].heartbeats.find_view(MACHINE)
        return view is not None and view.has_confirmed_token

    def new_owner(self) -> str | None:
        """Return the shard's owner if it is another controller."""
        owner = self.region.owners().get(self.shard)
        return None if owner == self.label else owner

    def check_undisturbed(self) -> None:
        """Check that the tasks have run all the time on their machine."""
        stored, _, _ = self.region.state.keys[keys.machine(MACHINE)]
        assert stored["retiring"] == "", "the machine is returned"
        assert self.worker.session == 1, "the worker's lease has expired"
        assert len(self.region.checker.starts) == TASKS, "a task was started again"
        assert self.region.workers_running(JOB) == [self.worker]


def _simulate_tasks(
    label: str,
    scenario: Callable[[TasksOfOneController], Awaitable[None]],
    zone: str | None = None,
) -> None:
    """Run a scenario with a machine in the zone, or else in that of the controller."""

    async def run(region: Region) -> None:
        tasks = TasksOfOneController(region, label, zone or ZONES[label])
        await tasks.begin()
        await scenario(tasks)

    simulate(run)


async def _check_new_owner(tasks: TasksOfOneController) -> None:
    """Check that another controller acquires the shard, and that the worker soon reports to it."""
    region = tasks.region
    await region.wait_until(lambda: tasks.new_owner() is not None, 2 * region.worker_lease_s)
    acquired_at = region.clock.now()
    owner = tasks.new_owner()
    assert owner is not None
    await region.wait_until(lambda: tasks.has_reported_to(owner), region.worker_lease_s)
    await curio.sleep(LONG_CUT_S - (region.clock.now() - acquired_at))
    tasks.check_undisturbed()
    region.reconnect()
    await curio.sleep(LONG_CUT_S)
    tasks.check_undisturbed()


@CUTS
@pytest.mark.parametrize(
    ("label", "other", "zone"),
    [
        ("node-0", None, "south"),
        ("node-1", None, "north"),
        ("node-1", "node-2", "north"),
    ],
)
def test_workers_of_another_zone_than_their_cut_owner_find_the_new_one(
    cut: Cut, label: str, other: str | None, zone: str
) -> None:
    """Guards against two cut controllers that send a worker to each other, by old records."""

    async def scenario(tasks: TasksOfOneController) -> None:
        cut(tasks.region, label)
        if other is not None:
            cut(tasks.region, other)
        await _check_new_owner(tasks)

    _simulate_tasks(label, scenario, zone)
