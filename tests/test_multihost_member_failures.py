"""Failures of members and machines while a replica starts, serves or is repaired."""

import curio
import pytest

from crossmill.wire.multihost import (
    AgentHeartbeatResponse,
    LivenessProof,
    OrderKind,
)

from .multihost_agents import Agent
from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost
from .multihost_scenarios import LOAD_S, REPAIR_BOUND_S, time_to_repair


def test_a_replica_stops_serving_when_a_member_dies_until_it_is_complete_again() -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        agents[2].is_dead = True
        started_at = region.clock.now()
        await region.wait_until(
            lambda: not region.serving("chat/0"), SETTINGS.serving_lease_s + 0.1
        )
        assert region.clock.now() - started_at <= SETTINGS.serving_lease_s + 0.1

    assert time_to_repair(fault) <= REPAIR_BOUND_S


def test_a_replica_is_repaired_when_its_front_machine_dies() -> None:
    async def fault(_region: MultihostRegion, agents: list[Agent]) -> None:
        agents[0].is_dead = True

    assert time_to_repair(fault) <= REPAIR_BOUND_S


def test_a_replica_is_repaired_when_all_its_machines_die() -> None:
    async def fault(_region: MultihostRegion, agents: list[Agent]) -> None:
        for agent in agents:
            agent.is_dead = True

    assert time_to_repair(fault) <= REPAIR_BOUND_S


def test_a_replica_is_repaired_when_an_agent_restarts_and_loses_its_member() -> None:
    async def fault(_region: MultihostRegion, agents: list[Agent]) -> None:
        agents[1].restart()

    assert time_to_repair(fault, machines=4) <= REPAIR_BOUND_S


@pytest.mark.parametrize("after_s", [0.05, 1.0, 3.5, 4.2, 6.0, 9.0])
def test_members_that_die_during_a_repair_are_replaced_as_well(after_s: float) -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        agents[1].is_dead = True
        await curio.sleep(after_s)
        # a surviving member, then the replacement of the first if the repair has placed it
        current = region.agents_of("chat/0")
        current[3].is_dead = True
        await curio.sleep(0.3)
        region.agents_of("chat/0")[1].is_dead = True

    # the last repair may be delayed by two back-off delays
    assert time_to_repair(fault, machines=14) <= 2 * REPAIR_BOUND_S


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.3, 1.0, 1.6, 3.0, 5.0, 5.5, 6.0])
def test_a_replica_is_repaired_when_a_machine_dies_during_its_start(after_s: float) -> None:
    # the delays are before and after each step: reservation, orders, weights, rendezvous

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("chat", image_gb=LOAD_S)
        await region.wait_until(lambda: region.phase("chat/0") == "starting")
        await curio.sleep(after_s)
        region.agents_of("chat/0")[2].is_dead = True
        await curio.sleep(SETTINGS.serving_lease_s + 0.5)
        await region.until_serving("chat/0", REPAIR_BOUND_S)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)


@pytest.mark.parametrize("frozen_s", [2.0, 4.0, 7.0, 9.0, 15.0])
@pytest.mark.parametrize("rank", [0, 2])
def test_a_frozen_member_that_resumes_with_its_old_generation_violates_no_invariant(
    frozen_s: float, rank: int
) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[rank]
        agent.is_frozen = True
        await curio.sleep(frozen_s)
        agent.is_frozen = False
        await curio.sleep(1.0)
        await region.until_serving("chat/0", REPAIR_BOUND_S + 1.0)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()
        assert len(region.serving("chat/0")) == 1

    simulate_multihost(scenario)


def test_a_start_order_and_a_heartbeat_that_arrive_minutes_late_change_nothing() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[1]
        start_order = next(o for _, o in agent.orders if o.op is OrderKind.START)
        late_heartbeat = agent.sent_heartbeats[-1]
        agent.restart()
        await curio.sleep(90.0)
        await region.until_serving("chat/0")
        generation = region.generation("chat/0")
        assert generation > start_order.generation
        # the late order is applied directly, without the agent's checks of a response, and the late
        # heartbeat is delivered to the owner
        agent.apply_response(
            AgentHeartbeatResponse(agent.token, LivenessProof("late", 0.0), (start_order,)),
            agent.now(),
        )
        await region.deliver_heartbeat(agent, region.owner(), late_heartbeat)
        await curio.sleep(20.0)
        assert region.generation("chat/0") == generation
        assert len(region.serving("chat/0")) == 1

    simulate_multihost(scenario)


def test_a_replica_without_spare_machines_releases_its_own_to_others() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", image_gb=LOAD_S, hold_s=10.0)
        await region.until_serving("chat/0")
        await region.declare("small", members=2, priority=0, image_gb=1.0)
        dead = region.agents_of("chat/0")[1:3]
        for agent in dead:
            agent.is_dead = True
        await region.wait_until(lambda: region.phase("chat/0") == "repairing")
        await curio.sleep(10.0 + 2 * SETTINGS.heartbeat_interval_s)
        assert region.phase("chat/0") == "pending"
        assert not region.agents_of("chat/0")
        # three machines are alive: two of them serve the other set
        await region.until_serving("small/0", REPAIR_BOUND_S)
        for number in range(3):
            await region.add_agent(f"new-{number}", "north")
        await region.until_serving("chat/0", REPAIR_BOUND_S)

    simulate_multihost(scenario)


def test_a_machine_that_fails_repeatedly_is_avoided() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=1.0, restart_budget=20)
        await region.until_serving("chat/0")
        bad = region.agents_of("chat/0")[1]
        for _ in range(4):
            if bad not in region.agents_of("chat/0"):
                break
            bad.restart()
            await region.wait_until(lambda: not region.serving("chat/0"))
            await region.until_serving("chat/0")
        assert bad not in region.agents_of("chat/0")

    simulate_multihost(scenario)
