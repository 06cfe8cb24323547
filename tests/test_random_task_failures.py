"""Tasks, jobs and machines that fail by themselves, from fixed seeds, leave no job waiting.

A long run over other seeds: python -m tests.test_random_task_failures FIRST COUNT
"""

import random
import sys

import curio
import pytest

from .failing_traffic import FailingTraffic
from .fault_injection import clear_faults
from .progress_checker import MAX_WAIT_S
from .simulated_region import Region, simulate

JOBS = 40
EVENTS = 16
EVENT_KINDS = ("faulty machine", "failed replica", "failed replica", "restart", "full cloud")
# all jobs have ended, or run whole, so long after the last trouble: pipelines wait for one another,
# and each job may wait up to `MAX_WAIT_S`
SETTLED_AFTER_S = 6 * MAX_WAIT_S


async def _cause_trouble(region: Region, traffic: FailingTraffic, rng: random.Random) -> None:
    kind = rng.choice(EVENT_KINDS)
    if kind == "faulty machine":
        traffic.make_machine_faulty(rng.choice([10.0, 40.0, 100.0]))
    elif kind == "failed replica":
        traffic.fail_replica()
    elif kind == "restart":
        await region.restart(rng.choice(region.LABELS), rng.choice([0.1, 1.0, 6.0]))
    else:
        region.cloud.is_full = not region.cloud.is_full


def _unfinished_jobs(region: Region) -> list[str]:
    """Return the jobs that are neither over nor, as services, run by all their replicas."""
    unfinished: list[str] = []
    for job, facts in region.checker.jobs.items():
        running = sum(
            key[0] == job and task.state == "running"
            for worker in region.live_workers()
            for key, task in worker.tasks.items()
        )
        is_whole = facts.run_s is None and running == facts.spec["sacks"]
        is_cancelled = facts.cancelled is not None or any(
            region.checker.jobs[dependency].cancelled is not None
            for dependency in region.checker.all_dependencies(job)
        )
        if not is_cancelled and not is_whole and len(facts.finished) < facts.spec["sacks"]:
            unfinished.append(job)
    return unfinished


def _run_region(seed: int) -> None:
    async def scenario(region: Region) -> None:
        rng = random.Random(seed)
        traffic = FailingTraffic(region, rng)
        await region.start_region(machines=rng.choice([0, 2, 3]))
        await region.run_provisioners()
        users = await curio.spawn(traffic.submit_jobs, JOBS, 2.0)
        for _ in range(EVENTS):
            await curio.sleep(rng.uniform(1.0, 9.0))
            await _cause_trouble(region, traffic, rng)
        clear_faults(region)
        region.cloud.is_full = False
        await users.join()
        await traffic.cancel_mistakes()
        await region.wait_until(lambda: not _unfinished_jobs(region), SETTLED_AFTER_S)

    simulate(scenario)


@pytest.mark.parametrize("seed", range(10))
def test_failing_tasks_leave_no_job_waiting(seed: int) -> None:
    _run_region(seed)


def main() -> None:
    """Run the seeds given on the command line, and print those that fail."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + count):
        try:
            _run_region(seed)
        except Exception as exc:
            failed += 1
            print(f"seed {seed}: {str(exc)[:200]}", flush=True)
    print(f"{count} seeds from {first}, {failed} failed", flush=True)


if __name__ == "__main__":
    main()
