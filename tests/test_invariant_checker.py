"""The invariant checker reports a planted violation of each rule."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from crossmill.cluster import keys
from crossmill.net.server import Response
from crossmill.wire.users import status_body
from crossmill.wire.workers import WorkerHeartbeat
from crossmill.workers.heartbeat_handler import HeartbeatResponse

from .progress_checker import MAX_WAIT_S
from .simulated_region import Region, simulate
from .simulated_worker import Task

JOB, DEPENDENT = "wk-000001", "wk-000002"
PlantViolation = Callable[[Region], Awaitable[None]]


def _job_response(state: str, status: int = 200) -> Response:
    return Response(status, status_body(JOB, state, 0, 0))


def _start_task_on(region: Region, machine: str, job: str = JOB) -> None:
    worker = region.workers[machine]
    worker.tasks[job, 0] = Task(1, "running", region.clock.now())
    region.checker.check_start(worker, (job, 0))


async def _run_task_twice(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    idle = next(w for w in region.workers.values() if w not in region.workers_running(JOB))
    _start_task_on(region, idle.machine)


async def _run_after_cancellation(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    region.checker.jobs[JOB].cancelled = region.clock.now() - region.cancellation_deadline_s - 1
    region.checker.check()


async def _start_before_dependency(region: Region) -> None:
    await region.submit("node-0", DEPENDENT, run_s=5.0, sacks=1, awaits=[JOB])
    _start_task_on(region, "n-0", DEPENDENT)


async def _report_queued_after_dependency_cancelled(region: Region) -> None:
    await region.submit("node-0", DEPENDENT, run_s=5.0, sacks=1, awaits=[JOB])
    region.checker.jobs[JOB].cancelled = region.clock.now() - region.cancellation_deadline_s - 1
    region.checker.check_response(DEPENDENT, _job_response("queued"), region.clock.now())


async def _remove_planned_attempt(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    name = next(name for name in region.state.keys if name.startswith(keys.PLAN + JOB))
    region.state.put(name, {"next": 2, "done": "0", "rows": []})
    region.checker.check()


async def _exceed_quota(region: Region) -> None:
    region.checker.jobs[JOB].spec["cards"] = 1000.0
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    region.checker.check()


async def _run_in_wrong_zone(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    region.checker.jobs[JOB].spec["yard"] = "south"
    region.checker.check()


async def _report_unknown_job(region: Region) -> None:
    await curio.sleep(1.0)
    region.checker.check_response(JOB, _job_response("", 404), region.clock.now())


async def _reject_accepted_job(region: Region) -> None:
    region.checker.check_response(JOB, _job_response("", 422), region.clock.now())


async def _report_done_too_early(region: Region) -> None:
    region.checker.check_response(JOB, _job_response("done"), region.clock.now())


async def _report_running_after_cancelled(region: Region) -> None:
    region.checker.jobs[JOB].cancelled = region.clock.now()
    region.checker.jobs[JOB].is_cancellation_requested = True
    region.checker.check_response(JOB, _job_response("running"), region.clock.now())


async def _report_cancelled_without_request(region: Region) -> None:
    region.checker.check_response(JOB, _job_response("withdrawn"), region.clock.now())


def _without_commands(
    handle: Callable[[WorkerHeartbeat], HeartbeatResponse],
) -> Callable[[WorkerHeartbeat], HeartbeatResponse]:
    return lambda heartbeat: handle(heartbeat)._replace(commands=())


async def _omit_stops(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    for node in region.nodes.values():
        node.heartbeats.handle = _without_commands(node.heartbeats.handle)  # type: ignore[method-assign,assignment]
    assert await region.cancel("node-0", JOB) == 200
    await curio.sleep(2 * region.heartbeat_interval_s)


def _under_the_reported_token(
    handle: Callable[[WorkerHeartbeat], HeartbeatResponse],
) -> Callable[[WorkerHeartbeat], HeartbeatResponse]:
    return lambda heartbeat: handle(heartbeat)._replace(token=heartbeat.token)


async def _forget_without_raising_the_token(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    await curio.sleep(2 * region.heartbeat_interval_s)
    for node in region.nodes.values():
        node.heartbeats.handle = _under_the_reported_token(node.heartbeats.handle)  # type: ignore[method-assign,assignment]
    await region.wait_until(lambda: not any(worker.tasks for worker in region.workers.values()))


async def _leave_job_waiting(region: Region) -> None:
    """Make all controllers believe that both machines are full, which they are not."""
    for machine in region.workers:
        record = region.state.keys[keys.machine(machine)][0]
        region.state.put(keys.machine(machine), {**record, "type": "c16"})
    await region.submit("node-0", DEPENDENT, run_s=5.0, sacks=1)
    await curio.sleep(MAX_WAIT_S + 5.0)


@pytest.mark.parametrize(
    ("plant_violation", "rule"),
    [
        (_run_task_twice, "ran_twice"),
        (_run_after_cancellation, "ran_cancelled"),
        (_start_before_dependency, "too_early"),
        (_report_queued_after_dependency_cancelled, "orphaned"),
        (_remove_planned_attempt, "orphaned"),
        (_exceed_quota, "quota"),
        (_run_in_wrong_zone, "wrong_place"),
        (_report_unknown_job, "forgotten"),
        (_reject_accepted_job, "forgotten"),
        (_report_done_too_early, "not_done"),
        (_report_running_after_cancelled, "went_back"),
        (_report_cancelled_without_request, "went_back"),
        (_omit_stops, "stop_omitted"),
        (_forget_without_raising_the_token, "start_outlives_forget"),
        (_leave_job_waiting, "stalled"),
    ],
)
def test_a_planted_violation_is_reported(plant_violation: PlantViolation, rule: str) -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        assert await region.submit("node-0", JOB, run_s=20.0, sacks=1) == 201
        assert not region.checker.violations
        await plant_violation(region)

    with pytest.raises(AssertionError, match=rf"\d {rule} "):
        simulate(scenario)
