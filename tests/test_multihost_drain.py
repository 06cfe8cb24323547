"""Machines that are drained, released or reclaimed by the provider, and sets that are removed."""

import curio

from crossmill.cluster import keys as cluster_keys

from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost
from .multihost_scenarios import LOAD_S, REPAIR_BOUND_S


def test_a_replica_on_a_drained_machine_is_replaced_before_it_stops() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", min_ready=1, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        machine = region.agents_of("chat/0")[2].machine
        status, _ = await region.operate("POST", f"machines/{machine}/drain", {"reason": "disks"})
        assert status == 200
        await region.until_serving("chat/1", REPAIR_BOUND_S)
        # the old replica serves until the new one does
        await region.wait_until(lambda: region.phase("chat/0") == "", 20.0)
        assert not region.agents[machine].members
        region.checker.check_end()

    simulate_multihost(scenario)


def test_a_drain_without_machines_for_a_replacement_keeps_the_minimum_ready() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", min_ready=1, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        machine = region.agents_of("chat/0")[2].machine
        await region.operate("POST", f"machines/{machine}/drain")
        await curio.sleep(40.0)
        assert region.phase("chat/0") == "ready"
        assert len(region.serving("chat/0")) == 1
        for number in range(4):
            await region.add_agent(f"new-{number}", "north")
        await region.wait_until(lambda: region.phase("chat/0") == "", REPAIR_BOUND_S + 10.0)
        assert len(region.serving("chat/1")) == 1

    simulate_multihost(scenario)


def test_a_drain_without_machines_and_without_a_minimum_stops_before_the_replacement() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", min_ready=0, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        machine = region.agents_of("chat/0")[2].machine
        await region.operate("POST", f"machines/{machine}/drain")
        await region.until_serving("chat/1", SETTINGS.preempt_after_s + 2 * REPAIR_BOUND_S)
        assert not region.agents[machine].members

    simulate_multihost(scenario)


def test_a_released_machine_leaves_the_pool_only_when_it_is_idle() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", min_ready=1, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[2]
        record = cluster_keys.machine(agent.machine)
        assert (await region.operate("POST", f"machines/{agent.machine}/release"))[0] == 200
        await region.until_serving("chat/1", REPAIR_BOUND_S)
        assert region.state.keys[record][0]["type"] == "multihost/g4"
        await region.wait_until(lambda: agent.has_left, 20.0)
        assert not agent.members
        assert region.state.keys[record][0]["type"] == "g4"
        assert (await region.operate("POST", f"machines/{agent.machine}/undrain"))[0] == 409
        # the machine's pool record is deleted once the machine has been returned
        region.state.delete(record)
        await region.wait_until(lambda: region.pool_size() == 9)

    simulate_multihost(scenario)


def test_a_spot_interruption_notice_moves_the_whole_replica() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", min_ready=1, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[1]
        agent.notice_s = 30.0
        await region.until_serving("chat/1", REPAIR_BOUND_S)
        await region.wait_until(lambda: not agent.members, 20.0)

    simulate_multihost(scenario)


def test_removing_a_set_leaves_no_members_and_no_records() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("chat", replicas=2, min_ready=2, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        await region.until_serving("chat/1")
        assert (await region.operate("DELETE", "replica-sets/chat"))[0] == 200
        await region.wait_until(lambda: not any(a.members for a in region.agents.values()), 20.0)
        await curio.sleep(5.0)
        assert not [k for k in region.state.keys if "chat" in k]

    simulate_multihost(scenario)
