"""Workers of controllers that are cut off alone, and of zones that are partitioned.

In both cases a controller hears neither the state service nor the other zones.
"""

from collections.abc import Awaitable, Callable

import curio
import pytest

from crossmill.cluster import keys

from .builders import ZONES
from .fault_injection import cut_off, cut_off_with_refusals
from .simulated_links import TransactionFault
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


CUTS = pytest.mark.parametrize("cut", [cut_off, cut_off_with_refusals])


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
@pytest.mark.parametrize("label", Region.LABELS)
def test_workers_of_a_controller_that_is_cut_off_alone_report_to_their_new_owner(
    cut: Cut, label: str
) -> None:
    """Guards against healthy machines returned as silent (review/8, issue 73)."""

    async def scenario(tasks: TasksOfOneController) -> None:
        cut(tasks.region, label)
        await _check_new_owner(tasks)

    _simulate_tasks(label, scenario)


@CUTS
@pytest.mark.parametrize("label", Region.LABELS)
def test_workers_of_a_cut_controller_whose_zone_has_all_others_report_to_their_new_owner(
    cut: Cut, label: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    for other in Region.LABELS:
        monkeypatch.setitem(ZONES, other, "south")

    async def scenario(tasks: TasksOfOneController) -> None:
        cut(tasks.region, label)
        await _check_new_owner(tasks)

    _simulate_tasks(label, scenario)


@CUTS
@pytest.mark.parametrize(
    ("label", "other"),
    [("node-0", "node-1"), ("node-1", "node-0"), ("node-1", "node-2"), ("node-2", "node-0")],
)
def test_workers_of_two_controllers_that_are_each_cut_off_report_to_the_third(
    cut: Cut, label: str, other: str
) -> None:
    async def scenario(tasks: TasksOfOneController) -> None:
        cut(tasks.region, label)
        cut(tasks.region, other)
        await _check_new_owner(tasks)

    _simulate_tasks(label, scenario)


@CUTS
@pytest.mark.parametrize(
    ("label", "other", "zone"),
    [
        ("node-0", None, "south"),
        ("node-1", None, "north"),
        ("node-0", "node-1", "south"),
        ("node-0", "node-2", "south"),
        ("node-1", "node-2", "north"),
        ("node-2", "node-0", "north"),
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


@pytest.mark.parametrize("label", ["node-1", "node-2"])
def test_workers_of_two_controllers_of_a_zone_that_are_cut_off_together_report_to_the_third(
    label: str,
) -> None:
    async def scenario(tasks: TasksOfOneController) -> None:
        region = tasks.region
        region.cut_from_state.update(("node-1", "node-2"))
        region.cut_peer_pairs.update(frozenset((x, "node-0")) for x in ("node-1", "node-2"))
        await _check_new_owner(tasks)

    _simulate_tasks(label, scenario)


@pytest.mark.parametrize("label", Region.LABELS)
def test_workers_are_kept_alive_while_the_state_service_answers_too_late(label: str) -> None:
    """Guards against workers without any owner: the renewals are carried out, nobody takes over."""

    async def scenario(tasks: TasksOfOneController) -> None:
        region = tasks.region
        region.cut_from_peers.add(label)
        region.transaction_fault = lambda source, method, path: (
            TransactionFault(0.0, executes_immediately=False) if source == label else None
        )
        await curio.sleep(SHORT_CUT_S)
        assert tasks.new_owner() is None
        tasks.check_undisturbed()

    _simulate_tasks(label, scenario)


@CUTS
@pytest.mark.parametrize("label", Region.LABELS)
def test_a_machine_whose_worker_a_cut_controller_keeps_alive_is_not_returned(
    cut: Cut, label: str
) -> None:
    """Guards against a new owner that is less patient than the old one, which nobody probes."""

    async def scenario(tasks: TasksOfOneController) -> None:
        cut(tasks.region, label)
        tasks.balancer.can_reach = lambda x: x != label
        await curio.sleep(LONG_CUT_S)
        assert tasks.new_owner() is not None
        tasks.check_undisturbed()

    _simulate_tasks(label, scenario)


def test_workers_are_kept_alive_in_an_outage_while_all_other_controllers_are_down() -> None:
    async def scenario(tasks: TasksOfOneController) -> None:
        region = tasks.region
        region.state.is_down = True
        for label in ("node-1", "node-2"):
            await region.kill(label)
        await curio.sleep(SHORT_CUT_S)
        tasks.check_undisturbed()

    _simulate_tasks("node-0", scenario)


@pytest.mark.parametrize("label", Region.LABELS)
def test_workers_of_a_partitioned_zone_are_kept_alive_behind_a_load_balancer(label: str) -> None:
    """Guards against probes from before a partition that count as a sign after it began."""

    async def scenario(tasks: TasksOfOneController) -> None:
        region = tasks.region
        inside = {x for x in region.LABELS if ZONES[x] == tasks.zone}
        region.cut_from_state.update(inside)
        region.cut_peer_pairs.update(
            frozenset((x, y)) for x in inside for y in region.LABELS if y not in inside
        )
        region.can_reach = lambda worker, x: x in inside
        tasks.balancer.can_reach = lambda x: x not in inside
        await curio.sleep(SHORT_CUT_S)
        tasks.check_undisturbed()

    _simulate_tasks(label, scenario)
