"""Recovery from random faults: all sets serve again, and no reservation or member is leaked."""

from collections import Counter

import curio
import pytest

from crossmill.multihost import keys
from crossmill.multihost.model import ReplicaSetSpec

from .multihost_fault_injection import MultihostFaults
from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost

SPAN_S = 120.0
# the longest back-off, then two repairs, since another set may have to be placed first; a repair
# is failure detection, fencing, loading the weights and granting the serving lease
RECOVERY_S = SETTINGS.max_backoff_s + 2 * SETTINGS.repair_bound_s(24.0, 1.0)


def run_random_faults(seed: int) -> MultihostRegion:
    """Inject random faults, wait until all declared sets serve, and check for leaks."""

    async def scenario(region: MultihostRegion) -> None:
        faults = MultihostFaults(region, seed)
        await faults.begin()
        await faults.run(SPAN_S)
        await faults.end_all_faults()
        await region.wait_until(lambda: all_serve(region), RECOVERY_S)
        await curio.sleep(2 * SETTINGS.agent_lease_s)
        region.checker.check_end()

    print(f"seed {seed}")
    return simulate_multihost(scenario)


def all_serve(region: MultihostRegion) -> bool:
    """Return whether all declared replicas serve, except those without enough free machines."""
    for key in region.state.keys:
        if key.startswith(keys.SET):
            spec = region.set_record(key[len(keys.SET) :]).spec
            names = {n for a in region.agents.values() for n in a.members}
            names_of_set = [n for n in names if n.rpartition("/")[0] == spec.name]
            serving = sum(len(region.serving(n)) for n in names_of_set)
            if serving < spec.replicas and has_free_machines(region, spec):
                return False
    return True


def has_free_machines(region: MultihostRegion, spec: ReplicaSetSpec) -> bool:
    """Return whether a zone has enough free machines for a replica, according to the records."""
    used = region.checker.planned_use()
    free: Counter[str] = Counter()
    for agent in region.agents.values():
        amounts = used.get(agent.machine, [0.0, 0.0, 0.0])
        unused = [c - u for c, u in zip(agent.capacity, amounts, strict=True)]
        if all(a >= need for a, need in zip(unused, spec.resources, strict=True)):
            free[agent.zone] += 1
    return max(free.values(), default=0) >= spec.members


@pytest.mark.parametrize("seed", range(8))
def test_replicas_recover_from_random_faults(seed: int) -> None:
    region = run_random_faults(seed)
    assert region.checker.max_stale_serving_s <= SETTINGS.serving_lease_s * 1.01
