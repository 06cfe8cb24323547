"""Failures of multi-machine replicas, under virtual time. In each story the judge of
`tests/multihost_region.py` looks on: never two serving generations, never an answer while
incomplete beyond the bound, nothing promised twice.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from crossmill.cluster import keys as cluster_keys
from crossmill.wire.multihost import AgentHeartbeatResponse, MemberReport, MemberState, Op, Proof

from .multihost_agents import Agent
from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost

LOAD_S = 5.0
# a write of the stand-in state service, by way of a round
WRITE_S = 0.5
BOUND_S = SETTINGS.repair_bound_s(LOAD_S, WRITE_S)
TWO_ZONES = ("north", "south")

Trouble = Callable[[MultihostRegion, list[Agent]], Awaitable[None]]


def _play(fault: Trouble, machines: int = 10, members: int = 4, within_s: float = BOUND_S) -> None:
    """A replica serves, meets a trouble, and serves again within the time."""

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(machines)
        await region.declare("chat", members=members, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        await curio.sleep(3.0)
        before = region.generation("chat/0")
        await fault(region, region.agents_of("chat/0"))
        begun = region.clock.now()
        await region.wait_until(
            lambda: region.generation("chat/0") > before and len(region.serving("chat/0")) == 1,
            within_s,
        )
        assert region.clock.now() - begun <= within_s
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)


def test_a_member_that_dies_takes_the_replica_down_and_it_comes_back_whole() -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        agents[2].dead = True
        begun = region.clock.now()
        await region.wait_until(
            lambda: not region.serving("chat/0"), SETTINGS.serving_lease_s + 0.1
        )
        assert region.clock.now() - begun <= SETTINGS.serving_lease_s + 0.1

    _play(fault)


def test_the_front_members_machine_dies() -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        agents[0].dead = True

    _play(fault)


def test_all_members_die_at_once() -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        for agent in agents:
            agent.dead = True

    _play(fault)


def test_an_agent_that_restarts_has_lost_its_member() -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        agents[1].restart()

    _play(fault, machines=4)


@pytest.mark.parametrize("after_s", [0.05, 1.0, 3.5, 4.2, 6.0, 9.0])
def test_more_members_die_during_the_repair(after_s: float) -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        agents[1].dead = True
        await curio.sleep(after_s)
        # one of those that stayed, and one that was chosen for the repair if there is one yet
        now = region.agents_of("chat/0")
        now[3].dead = True
        await curio.sleep(0.3)
        region.agents_of("chat/0")[1].dead = True

    # two back-offs may be due before the last repair
    _play(fault, machines=14, within_s=2 * BOUND_S)


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.3, 1.0, 1.6, 3.0, 5.0, 5.5, 6.0])
def test_a_machine_dies_while_the_replica_starts(after_s: float) -> None:
    """At every step: before and after the reservation, the orders, the weights, the rendezvous."""

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("chat", image_gb=LOAD_S)
        await region.wait_until(lambda: region.phase("chat/0") == "starting")
        await curio.sleep(after_s)
        region.agents_of("chat/0")[2].dead = True
        await curio.sleep(SETTINGS.serving_lease_s + 0.5)
        await region.until_serving("chat/0", BOUND_S)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)


@pytest.mark.parametrize("hang_s", [2.0, 4.0, 7.0, 9.0, 15.0])
@pytest.mark.parametrize("rank", [0, 2])
def test_a_member_hangs_and_goes_on_with_its_old_generation(hang_s: float, rank: int) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[rank]
        agent.is_frozen = True
        await curio.sleep(hang_s)
        agent.is_frozen = False
        await curio.sleep(1.0)
        await region.until_serving("chat/0", BOUND_S + 1.0)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()
        assert len(region.serving("chat/0")) == 1

    simulate_multihost(scenario)


@pytest.mark.parametrize("one_way", ["out", "in", "both"])
def test_the_front_member_is_cut_off_from_its_peers_but_not_from_controllers(one_way: str) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        front, *others = region.agents_of("chat/0")
        for other in others:
            if one_way in ("out", "both"):
                region.parted.add((front.machine, other.machine))
            if one_way in ("in", "both"):
                region.parted.add((other.machine, front.machine))
        await region.wait_until(
            lambda: not region.serving("chat/0"), SETTINGS.serving_lease_s + 0.5
        )
        # noticed by the front member only when its lease on the peers has ended
        await region.until_serving("chat/0", SETTINGS.serving_lease_s + BOUND_S)
        assert region.agents_of("chat/0")[0] is not front

    simulate_multihost(scenario)


@pytest.mark.parametrize("heartbeats_lost", [True, False])
def test_the_front_member_is_cut_off_from_controllers_but_not_from_its_peers(
    heartbeats_lost: bool,
) -> None:
    async def fault(region: MultihostRegion, agents: list[Agent]) -> None:
        agents[0].heartbeats_lost, agents[0].inbound_lost = heartbeats_lost, not heartbeats_lost

    _play(fault)


def test_a_start_and_a_confirmation_come_minutes_late() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[1]
        start = next(o for _, o in agent.orders if o.op is Op.START)
        old_copy = agent.sent_heartbeats[-1]
        agent.restart()
        await curio.sleep(90.0)
        await region.until_serving("chat/0")
        generation = region.generation("chat/0")
        assert generation > start.generation
        # the old order reaches the machine past all its guards, the old report the owner
        agent.obey(AgentHeartbeatResponse(agent.token, Proof("late", 0.0), (start,)), agent.now())
        await region.deliver_heartbeat(agent, region.owner(), old_copy)
        await curio.sleep(20.0)
        assert region.generation("chat/0") == generation
        assert len(region.serving("chat/0")) == 1

    simulate_multihost(scenario)


@pytest.mark.parametrize("phase", ["starting", "ready", "repairing"])
@pytest.mark.parametrize("with_member", [False, True])
def test_the_owner_ends_between_transaction_and_order(phase: str, with_member: bool) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", image_gb=LOAD_S)
        if phase == "repairing":
            await region.until_serving("chat/0")
            region.agents_of("chat/0")[2].dead = True
        await region.wait_until(lambda: region.phase("chat/0") == phase)
        # the record has just been written: no agent has heard of it
        if with_member and region.agents_of("chat/0"):
            region.agents_of("chat/0")[1].dead = True
        await region.kill(region.owner())
        takeover_s = 3 * 10.0 * 0.32
        await curio.sleep(SETTINGS.serving_lease_s + 0.5)
        await region.until_serving("chat/0", 2 * BOUND_S + takeover_s)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)


def test_the_pool_is_lost_while_several_replicas_are_being_placed() -> None:
    # guards against a pass over the queue that goes on after the ownership has ended
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


def test_a_takeover_of_a_healthy_replica_changes_nothing() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        await region.restart(region.owner(), 0.5)
        await curio.sleep(30.0)
        assert region.generation("chat/0") == 1
        assert len(region.serving("chat/0")) == 1
        starts = [o for a in region.agents.values() for _, o in a.orders if o.op is Op.START]
        assert len(starts) == 4

    simulate_multihost(scenario)


def test_the_state_service_is_out_during_a_repair() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        region.agents_of("chat/0")[1].dead = True
        await region.wait_until(lambda: region.phase("chat/0") == "repairing")
        region.state.down = True
        await curio.sleep(15.0)
        assert not region.serving("chat/0")
        region.state.down = False
        await region.until_serving("chat/0", 2 * BOUND_S + SETTINGS.agent_lease_s)
        await curio.sleep(SETTINGS.agent_lease_s * 2)
        region.checker.check_end()

    simulate_multihost(scenario)


def test_a_healthy_replica_serves_on_through_a_short_outage_of_the_state_service() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", image_gb=LOAD_S)
        await region.until_serving("chat/0")
        await curio.sleep(5.0)
        region.state.down = True
        for _ in range(50):
            await curio.sleep(0.1)
            assert len(region.serving("chat/0")) == 1
        region.state.down = False
        await curio.sleep(20.0)
        assert region.generation("chat/0") == 1

    simulate_multihost(scenario)


def test_without_a_spare_machine_it_waits_whole_and_others_run() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", image_gb=LOAD_S, hold_s=10.0)
        await region.until_serving("chat/0")
        await region.declare("small", members=2, priority=0, image_gb=1.0)
        dead = region.agents_of("chat/0")[1:3]
        for agent in dead:
            agent.dead = True
        await region.wait_until(lambda: region.phase("chat/0") == "repairing")
        await curio.sleep(10.0 + 2 * SETTINGS.heartbeat_s)
        assert region.phase("chat/0") == "pending"
        assert not region.agents_of("chat/0")
        # three machines are left: two of them serve the other set
        await region.until_serving("small/0", BOUND_S)
        for number in range(3):
            await region.add_agent(f"new-{number}", "north")
        await region.until_serving("chat/0", BOUND_S)

    simulate_multihost(scenario)


@pytest.mark.parametrize(
    ("lie", "why"),
    [
        (MemberReport("chat/0", 3, 1, MemberState.LOADED), "wrong rank"),
        (MemberReport("chat/0", 1, 9, MemberState.LOADED), "unknown generation"),
        (MemberReport("chat/7", 1, 1, MemberState.LOADED), "unknown replica"),
    ],
)
def test_contradictory_confirmations_are_refused_and_counted(lie: MemberReport, why: str) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", image_gb=LOAD_S)
        await region.wait_until(lambda: region.phase("chat/0") == "starting")
        agent = region.agents_of("chat/0")[1]
        agent.lies = [lie]
        await curio.sleep(LOAD_S + 5.0)
        assert region.phase("chat/0") == "starting"
        assert not region.serving("chat/0")
        assert region.services[region.owner()].heartbeats.rejected > 0
        agent.lies = []
        await region.until_serving("chat/0")

    simulate_multihost(scenario)


def test_the_same_rank_twice_confirms_nothing() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", image_gb=LOAD_S)
        await region.wait_until(lambda: region.phase("chat/0") == "starting")
        right = MemberReport("chat/0", 1, 1, MemberState.LOADED)
        outsider = next(a for a in region.agents.values() if a not in region.agents_of("chat/0"))
        outsider.lies = [right]
        region.agents_of("chat/0")[1].lies = [right, right]
        await curio.sleep(LOAD_S + 5.0)
        assert region.phase("chat/0") == "starting"
        assert region.services[region.owner()].heartbeats.rejected >= 2

    simulate_multihost(scenario)


def test_a_drained_machines_replica_is_replaced_before_it_stops() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", min_ready=1, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        machine = region.agents_of("chat/0")[2].machine
        status, _ = await region.operate("POST", f"machines/{machine}/drain", {"reason": "disks"})
        assert status == 200
        await region.until_serving("chat/1", BOUND_S)
        # until the new one serves the old one goes on
        await region.wait_until(lambda: region.phase("chat/0") == "", 20.0)
        assert not region.agents[machine].members
        region.checker.check_end()

    simulate_multihost(scenario)


def test_a_drain_without_room_for_a_second_replica_keeps_to_the_minimum() -> None:
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
        await region.wait_until(lambda: region.phase("chat/0") == "", BOUND_S + 10.0)
        assert len(region.serving("chat/1")) == 1

    simulate_multihost(scenario)


def test_a_drain_without_room_and_without_a_minimum_stops_first() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(5)
        await region.declare("chat", min_ready=0, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        machine = region.agents_of("chat/0")[2].machine
        await region.operate("POST", f"machines/{machine}/drain")
        await region.until_serving("chat/1", SETTINGS.preempt_after_s + 2 * BOUND_S)
        assert not region.agents[machine].members

    simulate_multihost(scenario)


def test_a_released_machine_leaves_the_pool_only_when_it_is_empty() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", min_ready=1, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[2]
        record = cluster_keys.machine(agent.machine)
        assert (await region.operate("POST", f"machines/{agent.machine}/release"))[0] == 200
        await region.until_serving("chat/1", BOUND_S)
        assert region.state.keys[record][0]["type"] == "multihost/g4"
        await region.wait_until(lambda: agent.has_left, 20.0)
        assert not agent.members
        assert region.state.keys[record][0]["type"] == "g4"
        assert (await region.operate("POST", f"machines/{agent.machine}/undrain"))[0] == 409
        # once the machine is returned nothing is left of it
        region.state.delete(record)
        await region.wait_until(lambda: region.pool_size() == 9)

    simulate_multihost(scenario)


def test_a_spot_notice_moves_the_whole_replica() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(10)
        await region.declare("chat", min_ready=1, image_gb=LOAD_S)
        await region.until_serving("chat/0")
        agent = region.agents_of("chat/0")[1]
        agent.notice_s = 30.0
        await region.until_serving("chat/1", BOUND_S)
        await region.wait_until(lambda: not agent.members, 20.0)

    simulate_multihost(scenario)


def test_a_higher_priority_takes_whole_replicas_and_no_more_than_it_needs() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8)
        await region.declare("batch", members=2, replicas=4, image_gb=1.0)
        for number in range(4):
            await region.until_serving(f"batch/{number}")
        await region.declare("chat", members=4, priority=9, image_gb=LOAD_S)
        await region.until_serving("chat/0", SETTINGS.preempt_after_s + 2 * BOUND_S)
        left = [n for n in range(4) if region.serving(f"batch/{n}")]
        assert len(left) == 2

    simulate_multihost(scenario)


def test_a_preemption_keeps_to_the_lesser_sets_minimum() -> None:
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


def test_a_replica_that_keeps_failing_uses_up_its_budget_and_can_be_restarted_by_hand() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        await region.declare("chat", image_gb=1.0, restart_budget=2, restart_window_s=500.0)
        for _ in range(3):
            await region.until_serving("chat/0")
            region.agents_of("chat/0")[1].restart()
            await region.wait_until(lambda: not region.serving("chat/0"))
        await region.wait_until(lambda: region.phase("chat/0") == "failed")
        await curio.sleep(20.0)
        assert not any(a.members for a in region.agents.values())
        owner = region.owner()
        status, answer = await region.operate("POST", "replicas/chat/0/restart", label=owner)
        assert (status, answer["phase"]) == (200, "pending")
        other = next(label for label in region.services if label != owner)
        status, answer = await region.operate("POST", "replicas/chat/0/restart", label=other)
        assert (status, answer["owner"]) == (421, owner)
        await region.until_serving("chat/0")

    simulate_multihost(scenario)


def test_a_machine_that_fails_again_and_again_is_avoided_for_a_while() -> None:
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


def test_a_gang_larger_than_one_transaction_is_reserved_in_steps() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(50)
        await region.declare("large", members=40, image_gb=LOAD_S)
        await region.until_serving("large/0")
        service = region.services[region.owner()]
        assert service.writes.members_per_chunk() < 40
        region.agents_of("large/0")[33].dead = True
        await region.wait_until(lambda: region.generation("large/0") == 2)
        await region.until_serving("large/0", BOUND_S + 5.0)

    simulate_multihost(scenario)


def test_the_owner_ends_in_the_middle_of_a_reservation_in_steps() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(50)
        region.transaction_delay_s[region.owner()] = 0.3
        await region.declare("large", members=40, image_gb=LOAD_S, hold_s=60.0)
        await region.wait_until(lambda: region.phase("large/0") == "reserving")
        await region.wait_until(lambda: len(region.agents_of("large/0")) > 0)
        assert len(region.agents_of("large/0")) < 40
        await region.kill(region.owner())
        await region.until_serving("large/0", 60.0)
        region.checker.check_end()

    simulate_multihost(scenario)


def test_no_second_reservation_in_steps_is_begun_while_one_is_open() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(60)
        region.transaction_delay_s[region.owner()] = 0.3
        await region.declare("first", members=40, image_gb=LOAD_S, hold_s=25.0)
        await region.wait_until(lambda: len(region.agents_of("first/0")) > 0)
        # its room goes, so that the next owner can only wait until the bound on holding a part
        await region.kill(region.owner())
        for agent in list(region.agents.values())[:25]:
            agent.dead = True
        body: dict[str, Any] = {"members": 22, "replicas": 1, "image": "weights", "image_gb": 1}
        body |= {"cpus": 1, "gpus": 0, "memory_gb": 1, "priority": 9}
        assert (await region.operate("PUT", "replica-sets/second", body))[0] == 201
        while region.phase("first/0") == "reserving":
            assert region.phase("second/0") in ("", "pending")
            await curio.sleep(0.02)
        assert region.phase("first/0") == "pending"
        await region.until_serving("second/0", 90.0)

    simulate_multihost(scenario)


def test_a_reservation_that_can_not_be_finished_is_undone() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(42)
        region.transaction_delay_s[region.owner()] = 0.3
        await region.declare("large", members=40, image_gb=LOAD_S, hold_s=8.0)
        await region.wait_until(lambda: region.phase("large/0") == "reserving")
        await region.wait_until(lambda: len(region.agents_of("large/0")) > 0)
        await region.kill(region.owner())
        for agent in list(region.agents.values())[-5:]:
            agent.dead = True
        await region.wait_until(lambda: region.phase("large/0") == "pending", 40.0)
        await curio.sleep(5.0)
        assert not region.agents_of("large/0")

    simulate_multihost(scenario)


def test_a_removed_set_leaves_nothing_behind() -> None:
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
