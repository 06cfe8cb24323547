"""Copies of direct commands that a worker has executed and answered arrive once more, and late."""

import curio

from .simulated_region import Region, simulate
from .simulated_worker import Worker

JOB = "wk-000001"
FAILURE_S = 1.5
# a failed task is retried after a delay, which delays the first copy of the scenario as well
RETRY_WITHIN_S = 60.0


async def _start_failing_task(region: Region) -> Worker:
    """Start a task whose first attempt fails, and return the worker of that attempt."""
    region.fails_after_s = lambda *_: FAILURE_S if len(region.checker.starts) <= 1 else None
    await region.start_region(machines=2)
    await curio.sleep(2 * region.worker_lease_s)
    assert await region.submit("node-1", JOB, 600.0, sacks=1) == 201
    await region.wait_until(lambda: bool(region.workers_running(JOB)))
    return region.workers_running(JOB)[0]


def test_a_late_copy_of_an_answered_start_does_not_run_its_task_on_two_machines() -> None:
    async def scenario(region: Region) -> None:
        first = await _start_failing_task(region)
        (start,) = first.executed_commands
        await region.wait_until(
            lambda: not first.tasks and bool(region.workers_running(JOB)), RETRY_WITHIN_S
        )
        await first.receive_copy(start, 0.0)
        assert first not in region.workers_running(JOB)

    simulate(scenario)
