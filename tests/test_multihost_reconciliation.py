"""The work of the coordinator's passes: only what has changed is examined and logged."""

from collections import Counter
from typing import Any

import pytest

from crossmill.multihost import candidates
from crossmill.wire.multihost import MemberReport, MemberState, OrderKind

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_pool import (
    add_ready_pairs,
    booted_pool,
    make_heartbeat,
    pool_service,
    send_all_heartbeats,
)
from .multihost_region import SETTINGS
from .stepped_controller import SteppedController, run_scenario

Nodes = dict[str, SteppedController]


@pytest.mark.parametrize("machines", [100, 1000, 4000])
def test_a_pass_examines_only_what_has_changed(
    machines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    counts: Counter[str] = Counter()
    real = candidates.CandidateFinder.candidate

    def counted(*args: Any) -> Any:
        counts["candidates"] += 1
        return real(*args)

    monkeypatch.setattr(candidates.CandidateFinder, "candidate", counted)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        add_ready_pairs(state, clock, machines // 2)
        node, service = await booted_pool(state, clock, nodes, machines)

        async def examined_in_a_pass() -> int:
            before = service.coordinator.replicas_examined
            ownership = node.membership.command_ownership(SETTINGS.pool_shard)
            assert ownership is not None
            await service.coordinator.reconcile(ownership)
            return service.coordinator.replicas_examined - before

        send_all_heartbeats(node, service, machines, 1)
        assert await examined_in_a_pass() == machines // 2
        transactions = service.writer.transactions
        clock.time += 0.9
        await node.renew_and_sync()
        send_all_heartbeats(node, service, machines, 2)
        assert await examined_in_a_pass() == 0
        # one member fails: only its replica is examined, and no machine while no replica waits
        failed = MemberReport("chat/3", 1, 1, MemberState.FAILED)
        service.heartbeats.handle(make_heartbeat(node, 7, 3, failed))
        assert await examined_in_a_pass() == 1
        assert counts["candidates"] == 0
        # the replica's record has changed, and the replica waits for machines
        assert await examined_in_a_pass() == 1
        assert counts["candidates"] == machines
        assert service.writer.transactions - transactions <= 2
        assert len(service.agents) == machines

    run_scenario(scenario)


def test_missed_heartbeats_of_a_machine_are_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # guards against a new owner that logs a machine's missed heartbeats and examines the machine's
    # replicas in every pass
    caplog.set_level("INFO")

    def lines() -> int:
        return sum("agent heartbeats missed" in record.getMessage() for record in caplog.records)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, service = await booted_pool(state, clock, nodes, machines=2)
        # the agent's heartbeat reaches the new owner, but the owner's response is lost
        service.heartbeats.handle(make_heartbeat(node, 0, 1)._replace(proof=None))
        for seen in (0, 0, 0, 1, 1, 1):
            clock.time += 2.0
            await node.renew_and_sync()
            ownership = node.membership.command_ownership(SETTINGS.pool_shard)
            assert ownership is not None
            await service.coordinator.reconcile(ownership)
            await service.coordinator.reconcile(ownership)
            assert lines() == seen

    run_scenario(scenario)


def test_a_service_that_starts_later_reads_all_existing_records() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        add_ready_pairs(state, clock, 3)
        node, early = await booted_pool(state, clock, nodes, machines=6)
        late = pool_service(node, "late")
        assert len(late.pool.replicas) == 3
        assert late.pool.replicas.keys() == early.pool.replicas.keys()
        assert {m: set(x.planned) for m, x in late.pool.machines.items()} == {
            m: set(x.planned) for m, x in early.pool.machines.items()
        }

    run_scenario(scenario)


def test_the_first_response_of_a_new_pool_owner_to_an_agent_contains_no_order() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, service = await booted_pool(state, clock, nodes, machines=2)
        unplanned = MemberReport("chat/0", 0, 1, MemberState.LOADED)
        first = make_heartbeat(node, 0, 1, unplanned)
        response = service.heartbeats.handle(first._replace(proof=None)).response
        assert response is not None
        assert response.orders == ()
        next_response = service.heartbeats.handle(make_heartbeat(node, 0, 2, unplanned)).response
        assert next_response is not None
        assert [order.op for order in next_response.orders] == [OrderKind.STOP]

    run_scenario(scenario)
