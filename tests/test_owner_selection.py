"""Which controller owns a shard, where workers would find nobody at the next one."""

import curio
import pytest

from crossmill.cluster.cluster_state import ClusterState
from crossmill.cluster.model import ControllerRecord
from crossmill.cluster.owner_selection import OwnerSelection
from crossmill.state.mirror import Mirror

from .builders import make_settings
from .fake_clock import FakeClock
from .simulated_region import Region, simulate

NEXT = {"node-0": "node-1", "node-1": "node-2", "node-2": "node-0"}


class Choice:
    """The choice of one controller, among those that are said to be there."""

    def __init__(self, label: str) -> None:
        self.clock, settings = FakeClock(), make_settings(label)
        self.cluster = ClusterState(Mirror(), settings)
        self.owner_selection = OwnerSelection(settings, self.clock, self.cluster)

    def pass_with(self, *present: str, for_s: float = 11.0) -> OwnerSelection:
        self.cluster.controllers.clear()
        self.cluster.controllers.update({label: ControllerRecord(1) for label in present})
        self.owner_selection.observe()
        self.clock.time += for_s
        self.owner_selection.observe()
        return self.owner_selection


def test_the_next_controller_is_counted_as_numbers_are() -> None:
    settings = make_settings()
    assert {label: settings.next_controller(label) for label in NEXT} == NEXT


def test_with_all_there_each_home_owns_its_shard() -> None:
    for number, label in enumerate(NEXT):
        choice = Choice(label).pass_with(*NEXT)
        assert not any(choice.should_yield(other) for other in NEXT)
        assert not choice.is_better_elsewhere(number)
        assert choice.is_better_elsewhere((number + 1) % 3)


def test_a_controller_gives_way_while_the_next_one_is_missing() -> None:
    exposed = Choice("node-1").pass_with("node-0", "node-1")
    assert [exposed.is_better_elsewhere(shard) for shard in range(3)] == [True, True, True]
    assert exposed.rank() == 1
    other = Choice("node-0").pass_with("node-0", "node-1")
    assert [other.is_better_elsewhere(shard) for shard in range(3)] == [False, False, False]
    assert other.rank() == 0


def test_a_controller_that_is_only_begun_again_is_not_missing() -> None:
    choice = Choice("node-1").pass_with("node-0", "node-1", for_s=9.0)
    assert not choice.should_yield("node-1")


def test_the_only_controller_left_gives_way_to_nobody() -> None:
    choice = Choice("node-1").pass_with("node-1")
    assert not any(choice.is_better_elsewhere(shard) for shard in range(3))


@pytest.mark.parametrize(
    ("down", "frozen"), [("node-2", "node-1"), ("node-0", "node-2"), ("node-2", "node-0")]
)
def test_no_worker_is_lost_when_one_is_down_and_the_next_stands_still(
    down: str, frozen: str
) -> None:
    """The canteen's day `operations`: one controller without power for 90 s, another stands
    still for 20 s meanwhile.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=0)
        for number in range(12):
            await region.add_worker(f"n-{number}", shard=number % 3)
        await curio.sleep(15.0)
        await region.power_off(down)
        await curio.sleep(44.0)
        region.frozen_until[frozen] = region.clock.now() + 20.0
        await curio.sleep(46.0)
        await region.power_on(down)
        await curio.sleep(30.0)
        assert {w.machine: w.session for w in region.workers.values() if w.session > 1} == {}
        # all are at home again
        assert region.owners() == {0: "node-0", 1: "node-1", 2: "node-2"}

    simulate(scenario)


def test_a_worker_without_an_owner_is_sent_past_controllers_that_are_missing() -> None:
    assert Choice("node-0").pass_with("node-0", "node-2").reachable_alternative() == "node-2"
    assert Choice("node-0").pass_with(*NEXT).reachable_alternative() is None
    assert Choice("node-0").pass_with("node-0").reachable_alternative() is None
    deaf = Choice("node-0")
    deaf.cluster.controllers.update(
        {
            "node-0": ControllerRecord(1),
            "node-1": ControllerRecord(2, is_unreachable_by_workers=True),
            "node-2": ControllerRecord(3),
        }
    )
    assert deaf.owner_selection.reachable_alternative() == "node-2"


def test_workers_are_answered_soon_after_a_hand_over_past_a_missing_controller() -> None:
    """Nadi's day `operations`: between the old owner's letting go and the new one's taking, workers
    were left to try the next controllers by themselves, of which one was down and one stood still;
    39 tasks ended with their workers' leases.
    """

    async def scenario(region: Region) -> None:
        await region.begin(machines=0)
        for number in range(36):
            await region.add_worker(f"n-{number}", shard=0)
            await curio.sleep(region.heartbeat_interval_s / 36)
        await curio.sleep(15.0)
        await region.power_off("node-1")
        await region.wait_until(lambda: region.owners().get(0) != "node-0")
        unanswered_s = 0.0
        for _ in range(80):
            await curio.sleep(0.1)
            oldest = min(worker.lease_renewed_at for worker in region.workers.values())
            unanswered_s = max(unanswered_s, region.clock.now() - oldest)
        assert unanswered_s < 3 * region.heartbeat_interval_s

    simulate(scenario)
