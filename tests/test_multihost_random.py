"""MultihostFaults drawn by lot, and the judge itself on planted breaches."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import curio
import pytest

from crossmill.multihost import agents, keys, serving
from crossmill.multihost.model import ReplicaSetSpec
from crossmill.multihost.settings import MultihostSettings
from crossmill.wire.multihost import AgentHeartbeat, Op, Order

from .multihost_fault_injection import MultihostFaults
from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost

SPAN_S = 120.0
# longest back-off, then detection, fence, load and grant; a lesser set may wait for room
RECOVERY_S = SETTINGS.longest_backoff_s + 2 * SETTINGS.repair_bound_s(24.0, 1.0)


def play_by_lot(seed: int) -> MultihostRegion:
    """A story of troubles; at its end all that was declared serves again, and nothing is left."""

    async def scenario(region: MultihostRegion) -> None:
        faults = MultihostFaults(region, seed)
        await faults.begin()
        await faults.run(SPAN_S)
        await faults.mend()
        await region.wait_until(lambda: all_serve(region), RECOVERY_S)
        await curio.sleep(2 * SETTINGS.agent_lease_s)
        region.checker.check_end()

    print(f"seed {seed}")
    return simulate_multihost(scenario)


def all_serve(region: MultihostRegion) -> bool:
    """Whether every set has as many serving replicas as declared, or no zone has room for one."""
    for key in region.state.keys:
        if key.startswith(keys.SET):
            spec = region.set_record(key[len(keys.SET) :]).spec
            names = {n for a in region.agents.values() for n in a.members}
            mine = [n for n in names if n.rpartition("/")[0] == spec.name]
            serving = sum(len(region.serving(n)) for n in mine)
            if serving < spec.replicas and has_room(region, spec):
                return False
    return True


def has_room(region: MultihostRegion, spec: ReplicaSetSpec) -> bool:
    """Whether a zone's machines, as the records have them, would take another replica."""
    used = region.checker.planned_use()
    free: Counter[str] = Counter()
    for agent in region.agents.values():
        amounts = used.get(agent.machine, [0.0, 0.0, 0.0])
        left = [c - u for c, u in zip(agent.capacity, amounts, strict=True)]
        if all(a >= need for a, need in zip(left, spec.resources, strict=True)):
            free[agent.zone] += 1
    return max(free.values(), default=0) >= spec.members


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_break_no_rule(seed: int) -> None:
    region = play_by_lot(seed)
    assert region.checker.latest_answer_s <= SETTINGS.serving_lease_s * 1.01


def _dies_after(death_s: float, lease_from_receipt: bool) -> list[str]:
    """A member dies so long after its heartbeat; answers to the front member are slow."""

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        await region.declare("chat", members=3, image_gb=0.0)
        await region.until_serving("chat/0")
        front, victim, _ = region.agents_of("chat/0")
        front.lease_from_receipt = lease_from_receipt
        region.answer_delay_s = lambda agent: 1.8 if agent is front else 0.0
        region.ping_back_s = 1.8
        await curio.sleep(10.0)
        sent = victim.sequence
        await region.wait_until(lambda: victim.sequence > sent)
        await curio.sleep(death_s)
        victim.dead = True
        await curio.sleep(SETTINGS.serving_lease_s + 3.0)

    return simulate_multihost(scenario, judged=False).checker.violations


DEATHS_S = (0.0, 0.2, 0.4, 0.6, 0.8)


def test_the_serving_lease_counted_from_receipt_is_caught() -> None:
    """The mutation of agents: what a front member answers then outlasts the bound."""
    caught = [entry for death_s in DEATHS_S for entry in _dies_after(death_s, True)]
    assert caught
    assert all("incomplete" in entry for entry in caught)


@pytest.mark.parametrize("death_s", DEATHS_S)
def test_slow_messages_do_not_lengthen_the_serving_lease(death_s: float) -> None:
    assert not _dies_after(death_s, False)


def _zone_cut(delay_s: float) -> MultihostRegion:
    """All members of a replica are cut off from controllers, not from one another."""

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8, ("north", "south"))
        await region.declare("chat", members=3, image_gb=0.0)
        await region.until_serving("chat/0")
        region.delay_s = lambda agent: delay_s
        await curio.sleep(15.0)
        zone = region.agents_of("chat/0")[0].zone
        for agent in region.agents.values():
            agent.heartbeats_lost = agent.zone == zone
        await curio.sleep(25.0)

    return simulate_multihost(scenario, judged=False)


@pytest.fixture
def _long_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lease so long that only the fence is between the two generations."""
    monkeypatch.setattr(MultihostSettings, "serving_lease_s", property(lambda _: 9.9))


@pytest.mark.usefixtures("_long_lease")
def test_a_replica_cut_off_whole_stops_before_its_successor_serves() -> None:
    region = _zone_cut(0.0)
    assert not region.checker.violations
    assert region.generation("chat/0") == 2
    assert len(region.serving("chat/0")) == 1


@pytest.mark.usefixtures("_long_lease")
def test_a_fence_that_is_not_waited_for_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(serving.ServingLeases, "fenced_at", lambda *_: 0.0)
    assert any("two_serving" in entry for entry in _zone_cut(0.0).checker.violations)


def test_a_controller_that_counts_from_receipt_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The mutation of controllers: the receipt of a heartbeat taken for proof of life."""
    real = agents.Agents.note

    def mutated(self: agents.Agents, beat: AgentHeartbeat, token: int, now: float) -> Any:
        result = real(self, beat, token, now)
        view = self.get(beat.machine)
        if view is not None and view.alive_at is not None:
            view.alive_at = view.last_heartbeat_at = now
        return result

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        await region.declare("chat", members=3, image_gb=0.0)
        await region.until_serving("chat/0")
        await curio.sleep(10.0)
        front, victim, _ = region.agents_of("chat/0")
        # the front member's own proof of its peers is made to last, so that grants alone count
        for peer in front.members["chat/0"].peers:
            front.members["chat/0"].peer_alive_at[peer.rank] = front.now() + 1000.0
        held = [victim.heartbeat() for _ in range(4)]
        victim.dead = True
        for beat in held:
            await curio.sleep(1.5)
            _deliver_past_death(region, beat)
        await curio.sleep(5.0)

    monkeypatch.setattr(agents.Agents, "note", mutated)
    assert any(
        "incomplete" in b for b in simulate_multihost(scenario, judged=False).checker.violations
    )
    monkeypatch.setattr(agents.Agents, "note", real)
    assert not simulate_multihost(scenario, judged=False).checker.violations


def _deliver_past_death(region: MultihostRegion, beat: AgentHeartbeat) -> None:
    """A heartbeat sent before its machine died arrives after it."""
    for service in region.services.values():
        service.heartbeats.handle(beat)


Breach = Callable[[MultihostRegion], None]


def _two_serve(region: MultihostRegion) -> None:
    front, other = region.agents_of("chat/0")[0], list(region.agents.values())[-1]
    other.members["chat/0"] = front.members["chat/0"]


def _answers_incomplete(region: MultihostRegion) -> None:
    front, member, _ = region.agents_of("chat/0")
    member.dead = front.heartbeats_lost = front.inbound_lost = True
    front.members["chat/0"].serve_until = front.now() + 1000.0
    for peer in front.members["chat/0"].peers:
        front.members["chat/0"].peer_alive_at[peer.rank] = front.now() + 1000.0


def _promises_twice(region: MultihostRegion) -> None:
    row = region.state.keys[f"{keys.MEMBERS}chat/0/0"][0]
    region.state.put(f"{keys.MEMBERS}chat/8/0", row)


def _leaks(region: MultihostRegion) -> None:
    value = {"generation": 1, "members": [[0, "h-005", 1, 1]]}
    region.state.put(f"{keys.MEMBERS}gone/0/0", value)


def _goes_below_the_minimum(region: MultihostRegion) -> None:
    value = region.state.keys[f"{keys.REPLICA}chat/0"][0]
    region.state.put(f"{keys.REPLICA}chat/0", value | {"phase": "draining", "generation": 2})


def _orders_early(region: MultihostRegion) -> None:
    agent = region.agents_of("chat/0")[1]
    region.checker.ordered(agent, Order(Op.START, "chat/0", 1, 2))


@pytest.mark.parametrize(
    ("breach", "named"),
    [
        (_two_serve, "two_serving"),
        (_answers_incomplete, "incomplete"),
        (_promises_twice, "over_committed"),
        (_leaks, "leaked"),
        (_goes_below_the_minimum, "below_minimum"),
        (_orders_early, "ordered_early"),
    ],
)
def test_the_judge_condemns_a_planted_breach(breach: Breach, named: str) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", members=3, min_ready=1, image_gb=0.0)
        await region.until_serving("chat/0")
        await curio.sleep(1.0)
        assert not region.checker.violations
        breach(region)
        region.checker.check()
        await curio.sleep(0.1 if named != "incomplete" else 8.0)
        region.checker.check_end()

    assert any(named in b for b in simulate_multihost(scenario, judged=False).checker.violations)
