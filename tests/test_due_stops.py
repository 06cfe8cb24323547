"""Each response that renews a worker's lease stops the tasks whose jobs are known to have ended."""

import curio
import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, DONE, JobEnd
from crossmill.cluster.records import encode_end, encode_job
from crossmill.wire.checks import load_object
from crossmill.wire.workers import (
    MAX_COMMANDS,
    MAX_MESSAGE_BYTES,
    Command,
    CommandKind,
    heartbeat_response_body,
    parse_heartbeat,
)

from .builders import heartbeat_body, make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .partition_scenario import PartitionScenario, run_settled
from .placed_jobs import start_placed_task
from .recovery_region import add_recovery, recovery_settings
from .stepped_controller import MAX_RECORD_BYTES, Nodes, SteppedController, run_scenario

JOB = "wk-000001"
DEPENDENT = "wk-000002"
RUNNING = reported_task(JOB, 0, 1, "running")
STOP = Command(CommandKind.STOP, f"{JOB}/0", 1, 0.0)


async def end_job(
    state: StateService, clock: FakeClock, node: SteppedController, end: JobEnd = CANCELLED
) -> None:
    """Write the end of the job as another controller does, and let `node` read it."""
    record = encode_end(end, make_spec(nameId=JOB), clock.wall_time(), MAX_RECORD_BYTES)
    state.put(keys.job(JOB), record)
    await node.sync()


async def start_cancelled_task(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> SteppedController:
    """Return a controller whose machine n-0 runs a task of a job that it knows to be cancelled."""
    node = await start_placed_task(state, clock, nodes)
    await end_job(state, clock, node)
    return node


@pytest.mark.parametrize("end", [CANCELLED, DONE])
def test_the_first_response_under_a_new_token_stops_tasks_of_ended_jobs(end: JobEnd) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        await end_job(state, clock, node, end)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        response = successor.report("n-0", 1, 5, node.token(), RUNNING)
        assert (response.token, response.commands) == (successor.token(), (STOP,))

    run_scenario(scenario)


@pytest.mark.parametrize("state_name", ["fetching", "running", "saving"])
def test_the_first_response_stops_a_task_in_every_state_before_its_end(state_name: str) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        task = reported_task(JOB, 0, 1, state_name)
        assert successor.report("n-0", 1, 5, node.token(), task).commands == (STOP,)

    run_scenario(scenario)


def test_the_first_response_under_a_new_token_stops_no_task_of_an_active_job() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        unknown = reported_task("wk-000009", 0, 1, "running")
        response = successor.report("n-0", 1, 5, node.token(), RUNNING, unknown)
        assert (response.status, response.commands) == (200, ())

    run_scenario(scenario)


def test_a_response_under_a_raised_token_stops_tasks_of_ended_jobs() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        for seq in (5, 6, 7):
            reported = node.token()
            node.membership.request_higher_token(0)
            await node.membership.step()
            assert node.token() > reported
            assert node.report("n-0", 1, seq, reported, RUNNING).commands == (STOP,)

    run_scenario(scenario)


def test_a_new_owner_without_the_state_service_stops_tasks_of_ended_jobs() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        # the lease is held, but the last read is too old for full authority
        clock.time += successor.settings.controller_lease_ttl_s * 0.6
        await successor.controller_lease.step()
        clock.time += successor.settings.controller_lease_ttl_s * 0.6
        authority = successor.membership.heartbeat_authority(0)
        assert authority is not None
        assert not authority.may_command
        assert successor.report("n-0", 1, 5, node.token(), RUNNING).commands == (STOP,)
        assert successor.report("n-0", 1, 6, successor.token(), RUNNING).commands == (STOP,)

    run_scenario(scenario)


def test_a_copy_of_a_heartbeat_is_responded_to_with_the_stops_of_ended_jobs() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        for _ in range(2):
            assert node.report("n-0", 1, 5, node.token(), RUNNING).commands == (STOP,)

    run_scenario(scenario)


def test_a_heartbeat_overtaken_by_a_command_response_gets_the_stops_of_ended_jobs() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        newer = heartbeat_body("n-0", 1, 6, node.token(), RUNNING)
        node.heartbeats.apply_command_response(parse_heartbeat(load_object(newer)))
        assert node.report("n-0", 1, 5, node.token(), RUNNING).commands == (STOP,)

    run_scenario(scenario)


def test_a_task_whose_job_depends_on_a_cancelled_one_is_stopped_by_the_first_response() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        record = encode_job(make_spec(nameId=DEPENDENT, sacks=1), clock.wall_time(), (JOB,))
        state.put(keys.job(DEPENDENT), record)
        await end_job(state, clock, node)
        assert node.cluster.jobs[DEPENDENT].has_ended
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        task = reported_task(DEPENDENT, 0, 1, "running")
        commands = successor.report("n-0", 1, 5, node.token(), task).commands
        assert commands == (Command(CommandKind.STOP, f"{DEPENDENT}/0", 1, 0.0),)

    run_scenario(scenario)


@pytest.mark.parametrize("dry_run", [False, True])
def test_the_first_response_during_a_recovery_stops_tasks_of_ended_jobs(dry_run: bool) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        successor = SteppedController(state, clock, nodes)
        add_recovery(successor, recovery_settings(dry_run=dry_run))
        await successor.boot()
        assert successor.report("n-0", 1, 5, node.token(), RUNNING).commands == (STOP,)
        assert successor.report("n-0", 1, 6, successor.token(), RUNNING).commands == (STOP,)

    run_scenario(scenario)


def test_a_redirect_renews_no_lease_and_carries_no_stop() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        node.heartbeats.begin_transfers(["n-0"])
        during_transfer = node.report("n-0", 1, 5, node.token(), RUNNING)
        node.heartbeats.end_transfers(["n-0"])
        newer_token = node.report("n-0", 1, 6, node.token() + 1, RUNNING)
        for response in (during_transfer, newer_token):
            assert response.status in (421, 503)
            assert response.commands == ()

    run_scenario(scenario)


def test_a_keepalive_in_a_partitioned_zone_stops_tasks_of_ended_jobs() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        await end_job(partition.state, partition.clock, partition.zone_controller)
        partition.isolate_zone()
        await partition.zone_controller.controller_lease.step()
        response = partition.report_to_zone_controller(900)
        assert (response.status, response.commands) == (200, (STOP,))

    run_settled(scenario)


def test_stops_of_ended_jobs_are_sent_before_other_commands_that_exceed_a_response() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        exited = [
            reported_task("wk-000009", index, 1, "exited", "done") for index in range(MAX_COMMANDS)
        ]
        commands = node.report("n-0", 1, 5, node.token(), *exited, RUNNING).commands
        assert commands[0] == STOP
        assert len(commands) == MAX_COMMANDS

    run_scenario(scenario)


def most_reported_tasks() -> list[dict[str, object]]:
    """Return as many running tasks of one job as a heartbeat may report."""
    body_bytes = len(heartbeat_body("n-0", 1, 5, 1))
    tasks: list[dict[str, object]] = []
    while body_bytes < MAX_MESSAGE_BYTES:
        tasks.append(reported_task(JOB, len(tasks), 1, "running"))
        body_bytes += len(orjson.dumps(tasks[-1])) + 1
    return tasks[:-1]


@pytest.mark.parametrize("is_confirmed", [False, True])
def test_a_response_stops_every_task_of_an_ended_job_that_a_heartbeat_can_report(
    is_confirmed: bool,
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        token = successor.token() if is_confirmed else node.token()
        tasks = most_reported_tasks()
        response = successor.report("n-0", 1, 5, token, *tasks)
        assert {command.task for command in response.commands} == {task["sack"] for task in tasks}
        assert {command.op for command in response.commands} == {CommandKind.STOP}
        body = heartbeat_response_body(response.token, list(response.commands))
        assert len(load_object(body)["orders"]) == len(tasks)
        assert max(len(line) for line in body.splitlines()) <= MAX_MESSAGE_BYTES

    run_scenario(scenario)


def test_no_direct_command_is_sent_to_a_worker_that_has_not_confirmed_the_token() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_cancelled_task(state, clock, nodes)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        successor.report("n-0", 1, 5, node.token(), RUNNING)
        attempt = successor.cluster.machines["n-0"].attempts[JOB, 0]
        await successor.command_sender.send([], [attempt])
        await curio.sleep(0)
        assert successor.worker.sent == []

    run_scenario(scenario)


def test_an_owner_does_not_stop_a_job_whose_cancellation_is_only_announced() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        successor.partition_protocol.keepalive.pending_cancellations.add(JOB)
        assert successor.report("n-0", 1, 5, node.token(), RUNNING).commands == ()
        assert successor.report("n-0", 1, 6, successor.token(), RUNNING).commands == ()

    run_scenario(scenario)
