"""A shared test scenario: a replica serves, a fault is injected, and the replica is repaired."""

from collections.abc import Awaitable, Callable

import curio

from .multihost_agents import Agent
from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost

LOAD_S = 5.0
# time for a write to the simulated state service, including the delay until the next pass
WRITE_S = 0.5
REPAIR_BOUND_S = SETTINGS.repair_bound_s(LOAD_S, WRITE_S)
# timeout after which the test fails, far above the bound on a repair
REPAIR_TIMEOUT_S = 10 * REPAIR_BOUND_S

# called with the region and the agents of the replica's members, in order of rank
FaultInjection = Callable[[MultihostRegion, list[Agent]], Awaitable[None]]


def time_to_repair(inject_fault: FaultInjection, machines: int = 10, members: int = 4) -> float:
    """Return the seconds between a fault and the time a replica serves in a new generation.

    The scenario fails if an invariant is violated, or if a reservation or member is leaked.

    Args:
        inject_fault: Injects the fault into a replica that serves.
        machines: The size of the pool.
        members: The number of the replica's members.
    """
    repaired_after_s: list[float] = []

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(machines)
        await region.declare("chat", members=members, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        await curio.sleep(3.0)
        before = region.generation("chat/0")
        await inject_fault(region, region.agents_of("chat/0"))
        begun = region.clock.now()

        def is_repaired() -> bool:
            return region.generation("chat/0") > before and len(region.serving("chat/0")) == 1

        await region.wait_until(is_repaired, REPAIR_TIMEOUT_S)
        repaired_after_s.append(region.clock.now() - begun)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)
    return repaired_after_s[0]
