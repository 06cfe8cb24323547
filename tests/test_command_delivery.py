"""Starts, stops and outcomes require durable plans and proofs."""

import curio
import orjson

from crossmill.cluster import keys
from crossmill.cluster.model import PlannedAttempt
from crossmill.net.client import NoResponseError
from crossmill.wire.workers import Command, CommandKind
from crossmill.workers.attempt_outcomes import StopReason

from .builders import heartbeat_body, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_waiting_job, start_placed_task
from .stepped_controller import Nodes, run_scenario

JOB = "wk-000001"


def test_a_start_is_sent_only_from_a_durable_plan() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        node.report("n-0", 1, 1, node.token())
        state.scripted_faults["/txn"] = ["refuse"] * 2
        task = await curio.spawn(node.round)
        await curio.sleep(0)
        assert node.report("n-0", 1, 2, node.token()).commands == ()
        await task.join()
        assert len(node.report("n-0", 1, 3, node.token()).commands) == 1

    run_scenario(scenario)


def test_an_unanswered_start_command_may_still_arrive_until_a_higher_token() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        node.worker.scripted_response = NoResponseError("no response")
        token = node.token()
        node.report("n-0", 1, 1, token)
        await node.round()
        await curio.sleep(0.01)
        assert node.worker.sent[0]["orders"][0]["verb"] == "start"
        # the job is cancelled and a newer heartbeat lacks the task, but its start may still arrive
        record = state.keys[keys.job(JOB)]
        state.put(keys.job(JOB), {**record[0], "end": "cancelled"})
        await node.sync()
        higher = node.report("n-0", 1, 2, token).token
        assert higher > token
        await node.round()
        assert node.cluster.jobs[JOB].planned_task_count() == 1
        # the response was lost
        assert node.report("n-0", 1, 3, token).token == higher
        await node.round()
        assert node.cluster.jobs[JOB].planned_task_count() == 1
        node.report("n-0", 1, 4, higher)
        await node.round()
        assert node.cluster.jobs[JOB].planned_task_count() == 0
        await node.membership.step()
        assert node.token() == token, "the other workers keep their token"

    run_scenario(scenario)


def test_an_outcome_is_durable_before_the_task_is_forgotten() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        done = reported_task(JOB, 0, 1, "exited", "done")
        assert node.report("n-0", 1, 5, node.token(), done).commands == ()
        await node.round()
        assert state.keys[keys.job(JOB)][0]["end"] == "done"
        commands = node.report("n-0", 1, 6, node.token(), done).commands
        assert commands == (Command(CommandKind.FORGET, f"{JOB}/0", 1),)

    run_scenario(scenario)


def test_a_cancellation_at_another_controller_prevents_a_planned_start() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        node.report("n-0", 1, 1, node.token())
        # another controller's write that this mirror has not seen yet
        state.put(keys.job(JOB), {**state.keys[keys.job(JOB)][0], "end": "cancelled"})
        await node.round()
        assert node.cluster.jobs[JOB].planned_task_count() == 0
        assert keys.plan(JOB, "0") not in state.keys

    run_scenario(scenario)


def test_tasks_of_a_cancelled_job_are_stopped_and_its_recorded_end_is_kept() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        response = await node.send_user_request("POST", f"/v1/jobs/{JOB}/withdraw")
        assert (response.status, orjson.loads(response.body)["stage"]) == (200, "withdrawn")
        running = reported_task(JOB, 0, 1, "running")
        commands = node.report("n-0", 1, 5, node.token(), running).commands
        assert commands == (Command(CommandKind.STOP, f"{JOB}/0", 1, 0.0),)
        node.report("n-0", 1, 6, node.token(), reported_task(JOB, 0, 1, "exited", "done"))
        await node.round()
        assert state.keys[keys.job(JOB)][0]["end"] == "cancelled"

    run_scenario(scenario)


def test_a_command_response_without_the_task_does_not_prove_that_it_will_not_start() -> None:
    """Guards against placing a task again before its first start arrives.

    The task was considered not started, but the start may be in the response to the last heartbeat,
    which has not arrived yet.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        token = node.token()
        node.report("n-0", 1, 1, 0)
        node.report("n-0", 1, 2, token)
        await node.round()
        assert node.report("n-0", 1, 3, token).commands[0].op == "start"
        (attempt,) = node.cluster.machines["n-0"].attempts.values()
        node.heartbeats.request_stop(attempt, StopReason.PREEMPTED)
        node.command_sender._apply_response("n-0", 200, heartbeat_body("n-0", 1, 4, token))
        assert not node.heartbeats.outcomes
        # a worker sends a heartbeat only after the response to the previous one, or its timeout
        node.report("n-0", 1, 5, token)
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]

    run_scenario(scenario)


def test_an_attempt_found_not_started_is_never_started() -> None:
    """Guards against a direct command that starts an attempt after it was found not started.

    The watch delivered the plan before the response to its write arrived. A heartbeat without the
    task then ended the attempt, which was on a machine to be released. The response to the write
    arrived afterwards and triggered the start command.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        token = node.token()
        node.report("n-0", 1, 1, 0)
        node.report("n-0", 1, 2, token)
        node.worker.scripted_response = lambda data: (200, heartbeat_body("n-0", 1, 90, token))
        attempt = PlannedAttempt(JOB, 0, 1, "n-0", 1)
        plan = {"next": 2, "done": "0", "rows": [[0, 1, "n-0", 1]]}
        state.put(keys.plan(JOB, "0"), plan)
        await node.sync()
        (attempt,) = node.cluster.machines["n-0"].attempts.values()
        node.heartbeats.request_stop(attempt, StopReason.PREEMPTED)
        node.report("n-0", 1, 3, token)
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]
        # the end of the attempt is being written, and the stop request no longer exists
        node.heartbeats.outcomes.clear()
        node.heartbeats.stop_requests.clear()
        await node.command_sender.send([attempt], [])
        await curio.sleep(0.01)
        assert not node.worker.sent
        assert not node.report("n-0", 1, 4, token).commands
        # in case the write fails, the next heartbeat yields the same outcome again
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]

    run_scenario(scenario)
