"""The invariant checker finds injected violations."""

from collections.abc import Callable

import curio
import pytest

from crossmill.multihost import keys
from crossmill.wire.multihost import Order, OrderKind

from .multihost_region import MultihostRegion, simulate_multihost

Violation = Callable[[MultihostRegion], None]


def _two_serve(region: MultihostRegion) -> None:
    front, other = region.agents_of("chat/0")[0], list(region.agents.values())[-1]
    other.members["chat/0"] = front.members["chat/0"]


def _serves_incomplete(region: MultihostRegion) -> None:
    front, member, _ = region.agents_of("chat/0")
    member.is_dead = front.drops_heartbeats = front.drops_responses = True
    front.members["chat/0"].serve_until = front.now() + 1000.0
    for peer in front.members["chat/0"].peers:
        front.members["chat/0"].peer_alive_at[peer.rank] = front.now() + 1000.0


def _reserves_twice(region: MultihostRegion) -> None:
    record = region.state.keys[f"{keys.MEMBERS}chat/0/0"][0]
    region.state.put(f"{keys.MEMBERS}chat/8/0", record)


def _leaks_reservation(region: MultihostRegion) -> None:
    value = {"generation": 1, "members": [[0, "h-005", 1, 1]]}
    region.state.put(f"{keys.MEMBERS}gone/0/0", value)


def _goes_below_the_minimum(region: MultihostRegion) -> None:
    value = region.state.keys[f"{keys.REPLICA}chat/0"][0]
    region.state.put(f"{keys.REPLICA}chat/0", value | {"phase": "draining", "generation": 2})


def _orders_early(region: MultihostRegion) -> None:
    region.checker.check_order(Order(OrderKind.START, "chat/0", 1, 2))


@pytest.mark.parametrize(
    ("violation", "expected"),
    [
        (_two_serve, "two_serving"),
        (_serves_incomplete, "incomplete"),
        (_reserves_twice, "over_committed"),
        (_leaks_reservation, "leaked"),
        (_goes_below_the_minimum, "below_minimum"),
        (_orders_early, "ordered_early"),
    ],
)
def test_the_checker_finds_an_injected_violation(violation: Violation, expected: str) -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(6)
        await region.declare("chat", members=3, min_ready=1, image_gb=0.0)
        await region.until_serving("chat/0")
        await curio.sleep(1.0)
        assert not region.checker.violations
        violation(region)
        region.checker.check()
        await curio.sleep(0.1 if expected != "incomplete" else 8.0)
        region.checker.check_end()

    assert any(
        expected in b
        for b in simulate_multihost(scenario, check_invariants=False).checker.violations
    )
