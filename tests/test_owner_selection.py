"""Selection of shard owners, and redirects of workers whose shard has no owner."""

import curio
import pytest

from crossmill.cluster.cluster_state import ClusterState
from crossmill.cluster.model import ControllerRecord
from crossmill.cluster.owner_selection import OwnerSelection
from crossmill.state.mirror import Mirror

from .builders import make_settings
from .fake_clock import FakeClock
from .simulated_region import Region, simulate

LONGER_THAN_WORKER_LEASE_S = 11.0
# the controller that workers try next, by their current controller
NEXT = {"node-0": "node-1", "node-1": "node-2", "node-2": "node-0"}


class ObservedControllers:
    """One controller's owner selection, with simulated presence of the other controllers."""

    def __init__(self, label: str) -> None:
        self.clock, settings = FakeClock(), make_settings(label)
        self.cluster = ClusterState(Mirror(), settings)
        self.owner_selection = OwnerSelection(settings, self.clock, self.cluster)

    def observe(self, *present: str, for_s: float = LONGER_THAN_WORKER_LEASE_S) -> OwnerSelection:
        """Simulate that exactly these controllers are present for `for_s` seconds."""
        self.cluster.controllers.clear()
        self.cluster.controllers.update({label: ControllerRecord(1) for label in present})
        self.owner_selection.observe()
        self.clock.time += for_s
        self.owner_selection.observe()
        return self.owner_selection


def test_the_next_controller_follows_in_numerical_order() -> None:
    settings = make_settings()
    assert {label: settings.next_controller(label) for label in NEXT} == NEXT


@pytest.mark.parametrize(("shard", "label"), list(enumerate(NEXT)))
def test_each_preferred_owner_keeps_its_shard_while_all_are_present(shard: int, label: str) -> None:
    selection = ObservedControllers(label).observe(*NEXT)
    assert not any(selection.is_outranked(other) for other in NEXT)
    assert not selection.has_better_owner(shard)
    assert selection.has_better_owner((shard + 1) % 3)


def test_an_exposed_controller_yields_to_one_that_is_not() -> None:
    exposed = ObservedControllers("node-1").observe("node-0", "node-1")
    assert [exposed.has_better_owner(shard) for shard in range(3)] == [True, True, True]
    assert exposed.acquisition_rank() == 1
    other = ObservedControllers("node-0").observe("node-0", "node-1")
    assert [other.has_better_owner(shard) for shard in range(3)] == [False, False, False]
    assert other.acquisition_rank() == 0


def test_a_restarted_controller_does_not_count_as_absent() -> None:
    selection = ObservedControllers("node-1").observe("node-0", "node-1", for_s=9.0)
    assert not selection.is_outranked("node-1")


def test_the_only_controller_left_keeps_all_shards() -> None:
    selection = ObservedControllers("node-1").observe("node-1")
    assert not any(selection.has_better_owner(shard) for shard in range(3))


@pytest.mark.parametrize(
    ("down", "frozen"), [("node-2", "node-1"), ("node-0", "node-2"), ("node-2", "node-0")]
)
def test_no_worker_lease_expires_while_one_controller_is_down_and_another_stalls(
    down: str, frozen: str
) -> None:
    """One controller is powered off for 90 s, and another stalls for 20 s during that time."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
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
        # each shard is back at its preferred owner
        assert region.owners() == {0: "node-0", 1: "node-1", 2: "node-2"}

    simulate(scenario)


@pytest.mark.parametrize(
    ("present", "redirect"),
    [(("node-0", "node-2"), "node-2"), (tuple(NEXT), None), (("node-0",), None)],
)
def test_a_worker_without_an_owner_is_redirected_past_absent_controllers(
    present: tuple[str, ...], redirect: str | None
) -> None:
    assert ObservedControllers("node-0").observe(*present).redirect_target() == redirect


def test_a_worker_without_an_owner_is_redirected_past_unreachable_controllers() -> None:
    observed = ObservedControllers("node-0")
    observed.cluster.controllers.update(
        {
            "node-0": ControllerRecord(1),
            "node-1": ControllerRecord(2, is_unreachable_by_workers=True),
            "node-2": ControllerRecord(3),
        }
    )
    assert observed.owner_selection.redirect_target() == "node-2"


def test_workers_are_answered_soon_after_a_release_past_an_absent_controller() -> None:
    """Workers receive responses within three heartbeat intervals while their shard changes owner.

    Guards against workers that have to find the new owner themselves. Between the release by the
    old owner and the acquisition by the new one, they tried the next controllers in order, of
    which one was down and one stalled. Their leases expired, which ended 39 tasks.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        for number in range(36):
            await region.add_worker(f"n-{number}", shard=0)
            await curio.sleep(region.heartbeat_interval_s / 36)
        await curio.sleep(15.0)
        await region.power_off("node-1")
        await region.wait_until(lambda: region.owners().get(0) != "node-0")
        without_response_s = 0.0
        for _ in range(80):
            await curio.sleep(0.1)
            oldest = min(worker.lease_renewed_at for worker in region.workers.values())
            without_response_s = max(without_response_s, region.clock.now() - oldest)
        assert without_response_s < 3 * region.heartbeat_interval_s

    simulate(scenario)
