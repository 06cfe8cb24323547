"""An owner raises the token of one worker, which from then on refuses all earlier direct calls."""

from collections.abc import Callable
from typing import Any

import curio
import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import PlannedAttempt
from crossmill.cluster.shard_acquisition import TOKENS_PER_OWNERSHIP
from crossmill.net.client import NoResponseError
from crossmill.wire.workers import Command, CommandKind
from crossmill.workers.attempt_outcomes import StopReason

from .builders import heartbeat_body, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_waiting_job
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario

JOB = "wk-000001"
OTHER_JOB = "wk-000002"
RUNNING = reported_task(JOB, 0, 1, "running")
DONE = reported_task(JOB, 0, 1, "exited", "done")
FORGET = Command(CommandKind.FORGET, f"{JOB}/0", 1)
CONFLICT = 409


def _respond(status: int, seq: int, *tasks: Any) -> Callable[[dict[str, Any]], tuple[int, bytes]]:
    """Return a worker's response to direct commands, under the token of the commands."""
    return lambda data: (status, heartbeat_body("n-0", 1, seq, data["warrant"], *tasks))


async def _start_directly(state: StateService, clock: FakeClock, nodes: Nodes) -> SteppedController:
    """Return a controller whose machine n-0 runs a task that was started by a direct call."""
    node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
    node.worker.scripted_response = _respond(200, 2, RUNNING)
    node.report("n-0", 1, 1, node.token())
    await node.round()
    await curio.sleep(0.01)
    assert node.worker.sent[0]["orders"][0]["verb"] == "start"
    return node


async def _end_directly_started(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> SteppedController:
    """Return a controller after the durable end of a task that was started by a direct call."""
    node = await _start_directly(state, clock, nodes)
    assert node.report("n-0", 1, 3, node.token(), DONE).commands == ()
    await node.round()
    assert state.keys[keys.job(JOB)][0]["end"] == "done"
    return node


def test_an_answered_start_is_refused_from_the_moment_its_attempt_is_forgotten() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _end_directly_started(state, clock, nodes)
        started_under = node.worker.sent[0]["warrant"]
        response = node.report("n-0", 1, 4, node.token(), DONE)
        assert response.commands == (FORGET,)
        assert response.token > started_under

    run_scenario(scenario)


def test_a_lost_response_raises_the_token_once() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _end_directly_started(state, clock, nodes)
        token = node.token()
        raised = node.report("n-0", 1, 4, token, DONE).token
        response = node.report("n-0", 1, 5, token, DONE)
        assert (response.token, response.commands) == (raised, (FORGET,))
        # the worker has heard the second response
        response = node.report("n-0", 1, 6, raised)
        assert (response.token, response.commands) == (raised, ())
        await node.membership.step()
        assert node.token() == token, "no other worker's token is raised"

    run_scenario(scenario)


def test_direct_calls_are_sent_under_the_raised_token() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _end_directly_started(state, clock, nodes)
        raised = node.report("n-0", 1, 4, node.token(), DONE).token
        node.worker.scripted_response = _respond(200, 5, reported_task(OTHER_JOB, 0, 1, "running"))
        add_job(state, clock, nameId=OTHER_JOB, sacks=1)
        await node.sync()
        await node.round()
        await curio.sleep(0.01)
        assert node.worker.sent[-1]["warrant"] == raised
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        assert (OTHER_JOB, 0) in view.tasks

    run_scenario(scenario)


def test_a_call_refused_for_the_raised_token_is_sent_again_at_once() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _end_directly_started(state, clock, nodes)
        token = node.token()

        def refuse_once(data: dict[str, Any]) -> tuple[int, bytes]:
            # the response that raises the token overtakes the call
            raised = node.report("n-0", 1, 4, token, DONE).token
            node.worker.scripted_response = _respond(
                200, 6, reported_task(OTHER_JOB, 0, 1, "running")
            )
            return CONFLICT, heartbeat_body("n-0", 1, 5, raised)

        node.worker.scripted_response = refuse_once
        add_job(state, clock, nameId=OTHER_JOB, sacks=1)
        await node.sync()
        await node.round()
        await curio.sleep(0.01)
        starts = [call for call in node.worker.sent if call["orders"][0]["sack"][:9] == OTHER_JOB]
        assert [call["warrant"] for call in starts] == [token, token + 1]

    run_scenario(scenario)


async def _forget_only_under_a_new_token_of_the_shard(node: SteppedController, token: int) -> None:
    assert node.report("n-0", 1, 4, token, DONE).commands == ()
    await node.membership.step()
    higher = node.token()
    assert higher > token
    assert node.report("n-0", 1, 5, token, DONE).commands == ()
    response = node.report("n-0", 1, 6, higher, DONE)
    assert (response.token, response.commands) == (higher, (FORGET,))


def test_nothing_is_forgotten_once_the_block_of_tokens_is_used_up_until_the_next_block() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _end_directly_started(state, clock, nodes)
        node.membership.ownerships[0].last_token = node.token()
        await _forget_only_under_a_new_token_of_the_shard(node, node.token())

    run_scenario(scenario)


def test_nothing_is_forgotten_under_a_transferred_machines_token_until_the_shards_is_higher() -> (
    None
):
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        # another owner has transferred the machine
        token = node.cluster.token_counter() + 1
        record = state.keys[keys.machine("n-0")][0]
        state.put(keys.machine("n-0"), {**record, "token": token})
        state.put(keys.TOKEN, {"n": token})
        await node.sync()
        node.worker.scripted_response = _respond(200, 2, RUNNING)
        node.report("n-0", 1, 1, token)
        await node.round()
        await curio.sleep(0.01)
        assert node.worker.sent[0]["warrant"] == token
        node.report("n-0", 1, 3, token, DONE)
        await node.round()
        await _forget_only_under_a_new_token_of_the_shard(node, token)

    run_scenario(scenario)


def test_each_owners_tokens_are_above_all_of_the_owners_before() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _end_directly_started(state, clock, nodes)
        last = node.membership.ownerships[0].last_token
        assert last == node.token() + TOKENS_PER_OWNERSHIP - 1
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        assert successor.token() > last
        # a status that carries a raised token of the owner before proves nothing
        raised = node.report("n-0", 1, 4, node.token(), DONE).token
        assert successor.report("n-0", 1, 5, raised, DONE).commands == ()
        assert not successor.heartbeats.outcomes

    run_scenario(scenario)


@pytest.mark.parametrize("above", [1, 2, TOKENS_PER_OWNERSHIP])
def test_a_token_that_this_owner_did_not_issue_confirms_nothing(above: int) -> None:
    # the state service was restored from a backup, and tokens are issued a second time
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        seen = node.token() + above
        assert node.report("n-0", 1, 1, seen).status == 503
        await node.membership.step()
        assert node.token() > seen

    run_scenario(scenario)


async def _drain_before_the_start(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> tuple[SteppedController, PlannedAttempt]:
    """Return a controller that drains an attempt whose direct start was not answered."""
    node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
    node.worker.scripted_response = NoResponseError("no response")
    node.report("n-0", 1, 1, node.token())
    await node.round()
    await curio.sleep(0.01)
    (attempt,) = node.cluster.machines["n-0"].attempts.values()
    node.heartbeats.request_stop(attempt, StopReason.DRAINED)
    return node, attempt


def test_an_attempt_that_never_started_ends_although_other_starts_are_sent_all_the_time() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, attempt = await _drain_before_the_start(state, clock, nodes)
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        raised = node.report("n-0", 1, 2, node.token()).token
        # before each report a start of another task is sent under the newest token
        view.record_direct_starts([PlannedAttempt(OTHER_JOB, 0, 1, "n-0", 1)], raised)
        node.report("n-0", 1, 3, raised)
        assert [outcome.attempt for outcome in node.heartbeats.outcomes.values()] == [attempt]

    run_scenario(scenario)


def test_a_start_sent_after_all_counts_as_long_as_the_worker_may_execute_it() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, attempt = await _drain_before_the_start(state, clock, nodes)
        raised = node.report("n-0", 1, 2, node.token()).token
        # the stop is withdrawn, the attempt is sent a second time, and stopped after all
        node.heartbeats.forget_stop(attempt)
        await node.command_sender.send([attempt], [])
        await curio.sleep(0.01)
        assert [call["warrant"] for call in node.worker.sent] == [node.token(), raised]
        node.heartbeats.request_stop(attempt, StopReason.DRAINED)
        higher = node.report("n-0", 1, 3, raised).token
        assert higher > raised
        assert not node.heartbeats.outcomes
        node.report("n-0", 1, 4, higher)
        assert [outcome.attempt for outcome in node.heartbeats.outcomes.values()] == [attempt]

    run_scenario(scenario)
