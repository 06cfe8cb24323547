"""Preemption of replicas by those of higher priority."""

import curio

from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost
from .multihost_scenarios import LOAD_S, REPAIR_BOUND_S


def test_a_replica_of_higher_priority_preempts_no_more_replicas_than_it_needs() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("batch", members=2, replicas=4, image_gb=1.0)
        for number in range(4):
            await region.until_serving(f"batch/{number}")
        await region.declare("chat", members=4, priority=9, image_gb=LOAD_S)
        await region.until_serving("chat/0", SETTINGS.preempt_after_s + 2 * REPAIR_BOUND_S)
        still_serving = [n for n in range(4) if region.serving(f"batch/{n}")]
        assert len(still_serving) == 2

    simulate_multihost(scenario)


def test_preemption_keeps_the_minimum_of_ready_replicas_of_the_other_set() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("batch", members=2, replicas=4, min_ready=3, image_gb=1.0)
        for number in range(4):
            await region.until_serving(f"batch/{number}")
        await region.declare("chat", members=4, priority=9, image_gb=LOAD_S)
        await curio.sleep(60.0)
        assert region.phase("chat/0") == "pending"
        assert sum(len(region.serving(f"batch/{n}")) for n in range(9)) >= 3

    simulate_multihost(scenario)
