"""No replica serves while incomplete; the invariant checker finds injected lease faults."""

from typing import Any

import curio
import pytest

from crossmill.multihost import agents, serving
from crossmill.multihost.settings import MultihostSettings
from crossmill.wire.multihost import AgentHeartbeat

from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost

DEATH_DELAYS_S = (0.0, 0.2, 0.4, 0.6, 0.8)


def _violations_after_death(death_delay_s: float, counts_lease_from_receipt: bool) -> list[str]:
    """Return the violations when a member dies the given time after its heartbeat.

    Responses to the front member and to its pings are slow.
    """

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        await region.declare("chat", members=3, image_gb=0.0)
        await region.until_serving("chat/0")
        front, victim, _ = region.agents_of("chat/0")
        front.counts_lease_from_receipt = counts_lease_from_receipt
        region.response_delay_s = lambda agent: 1.8 if agent is front else 0.0
        region.ping_response_delay_s = 1.8
        await curio.sleep(10.0)
        sent = victim.sequence
        await region.wait_until(lambda: victim.sequence > sent)
        await curio.sleep(death_delay_s)
        victim.is_dead = True
        await curio.sleep(SETTINGS.serving_lease_s + 3.0)

    return simulate_multihost(scenario, check_invariants=False).checker.violations


def test_an_agent_that_counts_its_lease_from_the_receipt_violates_an_invariant() -> None:
    # injected fault in the agent: the front member serves past the end of its lease
    violations = [
        entry
        for death_delay_s in DEATH_DELAYS_S
        for entry in _violations_after_death(death_delay_s, True)
    ]
    assert violations
    assert all("incomplete" in entry for entry in violations)


@pytest.mark.parametrize("death_delay_s", DEATH_DELAYS_S)
def test_slow_messages_do_not_lengthen_the_serving_lease(death_delay_s: float) -> None:
    assert not _violations_after_death(death_delay_s, False)


def _simulate_zone_partition(delay_s: float) -> MultihostRegion:
    """Run a replica whose members can reach one another but no controller."""

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(8, ("north", "south"))
        await region.declare("chat", members=3, image_gb=0.0)
        await region.until_serving("chat/0")
        region.delay_s = lambda _: delay_s
        await curio.sleep(15.0)
        zone = region.agents_of("chat/0")[0].zone
        for agent in region.agents.values():
            agent.drops_heartbeats = agent.zone == zone
        await curio.sleep(25.0)

    return simulate_multihost(scenario, check_invariants=False)


@pytest.fixture
def _long_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the serving lease so long that only the fencing delay separates two generations."""
    monkeypatch.setattr(MultihostSettings, "serving_lease_s", property(lambda _: 9.9))


@pytest.mark.usefixtures("_long_lease")
def test_a_replica_in_a_partitioned_zone_stops_before_its_successor_serves() -> None:
    region = _simulate_zone_partition(0.0)
    assert not region.checker.violations
    assert region.generation("chat/0") == 2
    assert len(region.serving("chat/0")) == 1


@pytest.mark.usefixtures("_long_lease")
def test_an_owner_that_skips_the_fencing_delay_violates_an_invariant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(serving.ServingLeases, "fenced_at", lambda *_: 0.0)
    assert any("two_serving" in entry for entry in _simulate_zone_partition(0.0).checker.violations)


def test_a_controller_that_counts_liveness_from_the_receipt_violates_an_invariant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # injected fault in the controller: the receipt of a heartbeat counts as a proof of liveness
    real = agents.Agents.apply_heartbeat

    def apply_with_fault(
        self: agents.Agents, heartbeat: AgentHeartbeat, token: int, now: float
    ) -> Any:
        result = real(self, heartbeat, token, now)
        view = self.get(heartbeat.machine)
        if view is not None and view.alive_at is not None:
            view.alive_at = view.last_heartbeat_at = now
        return result

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        await region.declare("chat", members=3, image_gb=0.0)
        await region.until_serving("chat/0")
        await curio.sleep(10.0)
        front, victim, _ = region.agents_of("chat/0")
        # extend the front member's leases on its peers, so that only the grants matter
        for peer in front.members["chat/0"].peers:
            front.members["chat/0"].peer_alive_at[peer.rank] = front.now() + 1000.0
        delayed = [victim.heartbeat() for _ in range(4)]
        victim.is_dead = True
        for heartbeat in delayed:
            await curio.sleep(1.5)
            _deliver_after_death(region, heartbeat)
        await curio.sleep(5.0)

    monkeypatch.setattr(agents.Agents, "apply_heartbeat", apply_with_fault)
    assert any(
        "incomplete" in b
        for b in simulate_multihost(scenario, check_invariants=False).checker.violations
    )
    monkeypatch.setattr(agents.Agents, "apply_heartbeat", real)
    assert not simulate_multihost(scenario, check_invariants=False).checker.violations


def _deliver_after_death(region: MultihostRegion, heartbeat: AgentHeartbeat) -> None:
    """Deliver a heartbeat that was sent before its machine died."""
    for service in region.services.values():
        service.heartbeats.handle(heartbeat)
