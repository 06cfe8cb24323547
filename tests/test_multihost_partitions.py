"""Partitions between a replica's front member and the other members or the controllers."""

import curio
import pytest

from .multihost_agents import Agent
from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost
from .multihost_scenarios import LOAD_S, REPAIR_BOUND_S, time_to_repair


@pytest.mark.parametrize("direction", ["out", "in", "both"])
def test_a_front_member_that_reaches_no_other_member_is_replaced(direction: str) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        front, *others = region.agents_of("chat/0")
        for other in others:
            if direction in ("out", "both"):
                region.cut_links.add((front.machine, other.machine))
            if direction in ("in", "both"):
                region.cut_links.add((other.machine, front.machine))
        await region.wait_until(
            lambda: not region.serving("chat/0"), SETTINGS.serving_lease_s + 0.5
        )
        # the front member detects the partition only when its leases on the others have expired
        await region.until_serving("chat/0", SETTINGS.serving_lease_s + REPAIR_BOUND_S)
        assert region.agents_of("chat/0")[0] is not front

    simulate_multihost(scenario)


@pytest.mark.parametrize("drops_heartbeats", [True, False])
def test_a_replica_is_repaired_when_its_front_member_reaches_no_controller(
    drops_heartbeats: bool,
) -> None:
    async def fault(_region: MultihostRegion, agents: list[Agent]) -> None:
        agents[0].drops_heartbeats, agents[0].drops_responses = (
            drops_heartbeats,
            not drops_heartbeats,
        )

    assert time_to_repair(fault) <= REPAIR_BOUND_S


@pytest.mark.parametrize("position", [0, 1])
def test_agents_of_two_controllers_that_are_each_cut_off_find_the_third(position: int) -> None:
    """Guards against two cut controllers that send an agent to each other, by old records."""

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        generation = region.generation("chat/0")
        owner = region.owner()
        others = [label for label in region.LABELS if label != owner]
        region.isolate(owner)
        region.isolate(others[position])
        third = others[1 - position]
        await region.wait_until(lambda: region.owners().get(0) == third, 2 * region.worker_lease_s)
        await curio.sleep(2 * region.worker_lease_s)
        assert region.generation("chat/0") == generation, "the replica was started again"
        assert len(region.serving("chat/0")) == 1

    simulate_multihost(scenario)
