"""The invariant checker reports a planted violation of each rule."""

from collections.abc import Awaitable, Callable

import curio
import pytest

from crossmill.cluster import keys
from crossmill.net.server import Response
from crossmill.wire.users import status_body

from .simulated_region import Region, simulate
from .simulated_worker import Task

JOB, DEPENDENT = "wk-000001", "wk-000002"
Breach = Callable[[Region], Awaitable[None]]


def _answer(state: str, status: int = 200) -> Response:
    return Response(status, status_body(JOB, state, 0, 0))


def _running_here(region: Region, machine: str, job: str = JOB) -> None:
    worker = region.workers[machine]
    worker.tasks[job, 0] = Task(1, "running", region.clock.now())
    region.checker.check_start(worker, (job, 0))


async def _ran_twice(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    idle = next(w for w in region.workers.values() if w not in region.workers_running(JOB))
    _running_here(region, idle.machine)


async def _ran_cancelled(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    region.checker.jobs[JOB].cancelled = region.clock.now() - region.cancellation_deadline_s - 1
    region.checker.check()


async def _too_early(region: Region) -> None:
    await region.submit("node-0", DEPENDENT, run_s=5.0, sacks=1, awaits=[JOB])
    _running_here(region, "n-0", DEPENDENT)


async def _called_queued_after_its_need_was_cancelled(region: Region) -> None:
    await region.submit("node-0", DEPENDENT, run_s=5.0, sacks=1, awaits=[JOB])
    region.checker.jobs[JOB].cancelled = region.clock.now() - region.cancellation_deadline_s - 1
    region.checker.check_response(DEPENDENT, _answer("queued"), region.clock.now())


async def _in_no_plan(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    name = next(name for name in region.state.keys if name.startswith(keys.PLAN + JOB))
    region.state.put(name, {"next": 2, "done": "0", "rows": []})
    region.checker.check()


async def _quota(region: Region) -> None:
    region.checker.jobs[JOB].spec["cards"] = 1000.0
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    region.checker.check()


async def _wrong_place(region: Region) -> None:
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    region.checker.jobs[JOB].spec["yard"] = "south"
    region.checker.check()


async def _forgotten(region: Region) -> None:
    await curio.sleep(1.0)
    region.checker.check_response(JOB, _answer("", 404), region.clock.now())


async def _refused_though_accepted(region: Region) -> None:
    region.checker.check_response(JOB, _answer("", 422), region.clock.now())


async def _not_done(region: Region) -> None:
    region.checker.check_response(JOB, _answer("done"), region.clock.now())


async def _went_back(region: Region) -> None:
    region.checker.jobs[JOB].cancelled = region.clock.now()
    region.checker.jobs[JOB].cancellation_requested = True
    region.checker.check_response(JOB, _answer("running"), region.clock.now())


async def _cancelled_by_nobody(region: Region) -> None:
    region.checker.check_response(JOB, _answer("withdrawn"), region.clock.now())


@pytest.mark.parametrize(
    ("breach", "rule"),
    [
        (_ran_twice, "ran_twice"),
        (_ran_cancelled, "ran_cancelled"),
        (_too_early, "too_early"),
        (_called_queued_after_its_need_was_cancelled, "orphaned"),
        (_in_no_plan, "orphaned"),
        (_quota, "quota"),
        (_wrong_place, "wrong_place"),
        (_forgotten, "forgotten"),
        (_refused_though_accepted, "forgotten"),
        (_not_done, "not_done"),
        (_went_back, "went_back"),
        (_cancelled_by_nobody, "went_back"),
    ],
)
def test_a_planted_violation_is_reported(breach: Breach, rule: str) -> None:
    async def scenario(region: Region) -> None:
        await region.begin(machines=2)
        assert await region.submit("node-0", JOB, run_s=20.0, sacks=1) == 201
        assert not region.checker.violations
        await breach(region)

    with pytest.raises(AssertionError, match=rf"\d {rule} "):
        simulate(scenario)
