"""The pool's owner crashes, loses the pool, or can't reach the state service."""

from typing import Any

import curio
import pytest

from crossmill.cluster import keys as cluster_keys
from crossmill.wire.multihost import (
    OrderKind,
)

from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost
from .multihost_scenarios import LOAD_S, REPAIR_BOUND_S


@pytest.mark.parametrize("phase", ["starting", "ready", "repairing"])
@pytest.mark.parametrize("member_fails", [False, True])
def test_the_next_owner_continues_after_a_transition_unknown_to_agents(
    phase: str, member_fails: bool
) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", image_gb=LOAD_S)
        if phase == "repairing":
            await region.until_serving("chat/0")
            region.agents_of("chat/0")[2].is_dead = True
        await region.wait_until(lambda: region.phase("chat/0") == phase)
        # the record has just been written, and no order has been sent to an agent yet
        if member_fails and region.agents_of("chat/0"):
            region.agents_of("chat/0")[1].is_dead = True
        await region.kill(region.owner())
        takeover_s = 3 * 10.0 * 0.32
        await curio.sleep(SETTINGS.serving_lease_s + 0.5)
        await region.until_serving("chat/0", 2 * REPAIR_BOUND_S + takeover_s)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)


def test_an_owner_that_loses_the_pool_during_placement_stops_placing() -> None:
    # guards against a pass over the placement queue that continues after the loss of the pool
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        owner = region.owner()
        other = next(label for label in region.services if label != owner)
        region.transaction_delay_s[owner] = 0.4
        for number in range(3):
            body: dict[str, Any] = {"members": 2, "replicas": 1, "image": "weights"}
            body |= {"image_gb": 1, "cpus": 16, "gpus": 4, "memory_gb": 64}
            await region.operate("PUT", f"replica-sets/pair-{number}", body, label=other)
        await region.wait_until(lambda: any(region.agents_of(f"pair-{n}/0") for n in range(3)))
        lease = region.state.keys[cluster_keys.shard(0)][2]
        assert lease is not None
        region.state.end_lease(lease)
        region.transaction_delay_s.clear()
        for number in range(3):
            await region.until_serving(f"pair-{number}/0")

    simulate_multihost(scenario)


def test_a_failover_leaves_a_healthy_replica_unchanged() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        await region.restart(region.owner(), 0.5)
        await curio.sleep(30.0)
        assert region.generation("chat/0") == 1
        assert len(region.serving("chat/0")) == 1
        starts = [o for a in region.agents.values() for _, o in a.orders if o.op is OrderKind.START]
        assert len(starts) == 4

    simulate_multihost(scenario)


def test_a_repair_ends_after_an_outage_of_the_state_service() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        region.agents_of("chat/0")[1].is_dead = True
        await region.wait_until(lambda: region.phase("chat/0") == "repairing")
        region.state.is_down = True
        await curio.sleep(15.0)
        assert not region.serving("chat/0")
        region.state.is_down = False
        await region.until_serving("chat/0", 2 * REPAIR_BOUND_S + SETTINGS.agent_lease_s)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)


def test_a_healthy_replica_serves_through_a_short_outage_of_the_state_service() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        await curio.sleep(5.0)
        region.state.is_down = True
        for _ in range(50):
            await curio.sleep(0.1)
            assert len(region.serving("chat/0")) == 1
        region.state.is_down = False
        await curio.sleep(20.0)
        assert region.generation("chat/0") == 1

    simulate_multihost(scenario)
