"""Tasks, jobs and machines that fail by themselves, from fixed seeds, leave no job waiting.

A long run over other seeds, with late copies: python -m tests.test_random_task_failures FIRST COUNT
"""

import random

import curio
import pytest

from .failing_traffic import DENSE, SPARSE, FailingTraffic
from .message_copies import MessageCopies, RequestKind
from .progress_checker import MAX_WAIT_S
from .seed_runner import run_seeds
from .simulated_region import Region, simulate

TROUBLES = 16
FIRST_PROBE = 400000
# all jobs have ended, or run whole, so long after the last trouble: pipelines wait for one another,
# and each job may wait up to `MAX_WAIT_S`
SETTLED_AFTER_S = 6 * MAX_WAIT_S


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


def _run_region(seed: int, with_copies: bool) -> None:
    async def scenario(region: Region) -> None:
        rng = random.Random(seed)
        if with_copies:
            region.message_copies = MessageCopies(seed, RequestKind)
        # both profiles in turn
        traffic = FailingTraffic(region, rng, SPARSE if seed % 2 else DENSE)
        await region.start_region(machines=rng.choice([0, 2, 3]))
        await region.run_provisioners()
        await traffic.run(TROUBLES)
        # once idle machines have been returned, a sound job of each team finds what room is left
        await curio.sleep(2 * region.settings.idle_machine_timeout_s)
        for number, team in enumerate(region.settings.teams):
            job = f"wk-{FIRST_PROBE + number}"
            assert await region.submit("node-0", job, 3.0, crew=team.name, sacks=1) == 201
        await region.wait_until(lambda: not _unfinished_jobs(region), SETTLED_AFTER_S)

    simulate(scenario)


@pytest.mark.parametrize("seed", range(3, 13))
def test_failing_tasks_leave_no_job_waiting(seed: int) -> None:
    _run_region(seed, with_copies=False)


@pytest.mark.parametrize("seed", range(13, 19))
def test_late_copies_of_requests_do_not_disturb_failing_tasks(seed: int) -> None:
    _run_region(seed, with_copies=True)


if __name__ == "__main__":
    run_seeds(lambda seed: _run_region(seed, with_copies=True))
