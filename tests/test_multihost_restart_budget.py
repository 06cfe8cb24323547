"""Replicas that use up their restart budget, and their restart by an operator."""

import curio

from .multihost_region import MultihostRegion, simulate_multihost


async def _fail_until_budget_is_used_up(region: MultihostRegion) -> None:
    """Restart the agent of one member repeatedly until the replica has failed."""
    await region.begin_pool(4)
    await region.declare("chat", image_gb=1.0, restart_budget=2, restart_window_s=500.0)
    for _ in range(3):
        await region.until_serving("chat/0")
        region.agents_of("chat/0")[1].restart()
        await region.wait_until(lambda: not region.serving("chat/0"))
    await region.wait_until(lambda: region.phase("chat/0") == "failed")
    await curio.sleep(20.0)


def test_a_replica_that_uses_up_its_restart_budget_stops_all_its_members() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await _fail_until_budget_is_used_up(region)
        assert not any(a.members for a in region.agents.values())

    simulate_multihost(scenario)


def test_an_operator_restarts_a_failed_replica() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await _fail_until_budget_is_used_up(region)
        owner = region.owner()
        status, response = await region.operate("POST", "replicas/chat/0/restart", label=owner)
        assert (status, response["phase"]) == (200, "pending")
        await region.until_serving("chat/0")

    simulate_multihost(scenario)


def test_a_controller_that_does_not_own_the_pool_redirects_a_restart_to_the_owner() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await _fail_until_budget_is_used_up(region)
        owner = region.owner()
        other = next(label for label in region.services if label != owner)
        status, response = await region.operate("POST", "replicas/chat/0/restart", label=other)
        assert (status, response["owner"]) == (421, owner)

    simulate_multihost(scenario)
