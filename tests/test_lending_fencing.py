"""Who plans on and who commands a machine that is lent, and what late writes of either do."""

from typing import Any

import curio

from crossmill.cluster import keys
from crossmill.cluster.feature_level import LENDING_LEVEL
from crossmill.cluster.membership import shard_intent
from crossmill.cluster.model import CapacityLoan, Level, PlannedAttempt, Resources
from crossmill.cluster.records import decode_machine, encode_level, encode_machine_with_loans
from crossmill.state.writer import WriteRank, WriteResult
from crossmill.wire.state import Put, Txn

from .builders import make_settings, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import (
    Nodes,
    SteppedController,
    add_job,
    add_machine,
    run_scenario,
    seed,
)

JOB = "wk-000001"
LENDER, BORROWER = make_settings().shard_of_team("red"), make_settings().shard_of_team("green")
# the whole machine, in the worker's first session
LOAN = [BORROWER, 1, 32.0, 4.0, 256.0]


async def _boot_lender(
    state: StateService, clock: FakeClock, nodes: Nodes, **machine: Any
) -> SteppedController:
    """Return a controller that owns the lending shard, with one machine that is lent.

    The borrowing shard has another owner.
    """
    seed(state, clock, machines=0)
    state.put(keys.shard(BORROWER), {"owner": "node-2", "token": 1})
    state.put(keys.TOKEN, {"n": 1})
    state.put(keys.controller("node-2"), {"lease": 1})
    state.put(keys.LEVEL, encode_level(Level(LENDING_LEVEL, 512, 16)))
    add_machine(state, clock, "n-0", LENDER, **{"lent": [LOAN], **machine})
    node = SteppedController(state, clock, nodes)
    await node.boot()
    assert LENDER in node.membership.ownerships
    return node


async def _own_all_shards(node: SteppedController, state: StateService, clock: FakeClock) -> None:
    """Let the other owner release the borrowing shard, and this controller acquire it."""
    state.delete(keys.shard(BORROWER))
    for _ in range(12):
        clock.time += node.settings.controller_lease_ttl_s / 3
        await node.renew_and_sync()
        await node.membership.step()
    assert BORROWER in node.membership.ownerships


def _confirm(node: SteppedController, session: int = 1) -> None:
    """Let the worker report the owner's token, so that it gets commands."""
    for seq in (1, 2):
        node.report("n-0", session, seq, node.token(LENDER))


def _plan(state: StateService) -> dict[str, Any] | None:
    stored = state.keys.get(keys.plan(JOB, "0-16"))
    return None if stored is None else stored[0]


def test_loans_survive_a_round_trip_through_the_record() -> None:
    loan = CapacityLoan(2, 7, Resources(1.5, 2.0, 40.0))
    record = {"type": "g4", "zone": "north", "spot": False, "shard": 0, "at": 5.0}
    machine = decode_machine("n-0", {**record, "retiring": "", "up": True}, 3)
    assert not machine.loans
    assert "lent" not in encode_machine_with_loans(machine, [])
    stored = encode_machine_with_loans(machine, [loan, loan._replace(shard=1).closed()])
    assert decode_machine("n-0", stored, 4).loans == (loan, loan._replace(shard=1).closed())


def test_only_the_machines_owner_starts_a_borrowed_task_and_records_its_end() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes)
        assert BORROWER not in node.membership.ownerships
        add_job(state, clock, nameId=JOB, crew="green", sacks=1)
        row = [0, 1, "n-0", 1]
        state.put(keys.plan(JOB, "0-16"), {"next": 2, "done": "0", "rows": [row]})
        await node.sync()
        token = node.token(LENDER)
        node.report("n-0", 1, 1, 0)
        commands = node.report("n-0", 1, 2, token).commands
        assert [(c.op, c.task) for c in commands] == [("start", f"{JOB}/0")]
        node.report("n-0", 1, 3, token, reported_task(JOB, 0, 1, "running"))
        node.report("n-0", 1, 4, token, reported_task(JOB, 0, 1, "exited", "done"))
        await node.round(LENDER)
        plan = _plan(state)
        assert plan is not None
        assert (plan["rows"], plan["done"]) == ([], "1")
        assert state.keys[keys.job(JOB)][0]["end"] == "done"

    run_scenario(scenario)


def test_a_borrowers_process_sends_nothing_to_the_machine() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes)
        # the controller owns the first shard only, and the machine belongs to another
        add_machine(state, clock, "n-1", BORROWER, lent=[[LENDER, *LOAN[1:]]])
        add_job(state, clock, nameId=JOB, crew="red", sacks=1, yard="north", cards=4.0)
        await node.sync()
        node.report("n-0", 1, 1, 0)
        await node.round(LENDER)
        plan = _plan(state)
        assert plan is not None
        assert plan["rows"] == [[0, 1, "n-1", 1]]
        await node.command_sender.send([PlannedAttempt(JOB, 0, 1, "n-1", 1)], [])
        await curio.sleep(0.01)
        assert not node.worker.sent
        assert node.report("n-1", 1, 1, 0).status == 421

    run_scenario(scenario)


def test_a_start_decided_under_a_loan_that_has_ended_is_not_written() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes)
        await _own_all_shards(node, state, clock)
        add_job(state, clock, nameId=JOB, crew="green", sacks=1)
        await node.sync()
        # the lender ends the loan, which the borrower has not read yet
        add_machine(state, clock, "n-0", LENDER)
        await node.round(BORROWER)
        assert _plan(state) is None
        add_machine(state, clock, "n-0", LENDER, lent=[LOAN])
        await node.sync()
        await node.round(BORROWER)
        assert _plan(state) is not None

    run_scenario(scenario)


def test_a_lender_places_nothing_until_it_has_read_what_was_planned_under_a_loan() -> None:
    """Guards against placing tasks on room for which an unread plan already has tasks."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes)
        add_job(state, clock, nameId=JOB, crew="green", sacks=2)
        add_job(state, clock, nameId="wk-000002", crew="red", sacks=4)
        await node.sync()
        node.report("n-0", 1, 1, 0)
        _confirm(node)
        # the borrower plans two tasks, then the lender ends the loan
        rows = [[0, 1, "n-0", 1], [1, 2, "n-0", 1]]
        state.put(keys.plan(JOB, "0-16"), {"next": 3, "done": "0", "rows": rows})
        machine = node.cluster.machines["n-0"]
        ownership = node.membership.active_ownership(LENDER)
        assert ownership is not None
        key, record = keys.machine("n-0"), encode_machine_with_loans(machine, [])
        txn = Txn({key: machine.version}, [Put(key, record)])
        intent = shard_intent(node.membership, LENDER, ownership, WriteRank.PLACEMENT, txn)
        assert await node.writer.commit(intent) is WriteResult.OK
        assert not node.cluster.machines["n-0"].loans
        await node.round(LENDER)
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 0
        await node.sync()
        await node.round(LENDER)
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 2

    run_scenario(scenario)


def test_a_loan_ends_with_the_workers_session() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes)
        add_job(state, clock, nameId=JOB, crew="green", sacks=9)
        await node.sync()
        _confirm(node, session=2)
        await node.round(LENDER)
        assert "lent" not in state.keys[keys.machine("n-0")][0]

    run_scenario(scenario)


def test_an_unused_loan_ends_when_tasks_of_the_lender_wait_for_it() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes)
        # the borrower's owner is gone: its job waits and never uses the loan
        add_job(state, clock, nameId=JOB, crew="green", sacks=4)
        add_job(state, clock, nameId="wk-000002", crew="red", sacks=4)
        await node.sync()
        for seq in range(1, 40):
            node.report("n-0", 1, seq, node.token(LENDER) if seq > 1 else 0)
            clock.time += 0.5
            await node.renew_and_sync()
            await node.round(LENDER)
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 4

    run_scenario(scenario)


def test_a_borrower_stops_none_of_its_own_tasks_on_a_borrowed_machine() -> None:
    """Only the lender may stop tasks there: a stop that is requested here would not be sent."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes)
        await _own_all_shards(node, state, clock)
        add_job(state, clock, nameId=JOB, crew="green", sacks=4, precedence="idle")
        await node.sync()
        await node.round(BORROWER)
        assert node.cluster.jobs[JOB].planned_task_count() == 4
        urgent = {"cut": "service", "precedence": "production", "grindS": 0.0, "dueS": None}
        add_job(state, clock, nameId="wk-000002", crew="green", sacks=1, **urgent)
        await node.sync()
        await node.round(BORROWER)
        assert not node.heartbeats.stop_requests

    run_scenario(scenario)


def test_a_retired_or_transferred_machine_is_not_lent() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_lender(state, clock, nodes, retiring="idle")
        await _own_all_shards(node, state, clock)
        add_job(state, clock, nameId=JOB, crew="green", sacks=1)
        await node.sync()
        await node.round(BORROWER)
        assert _plan(state) is None

    run_scenario(scenario)
