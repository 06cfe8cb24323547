"""Tests of pipelines under random faults with fixed seeds, while the feature level is raised."""

import random

import curio
import pytest

from .fault_injection import cancel_services_and_wait, clear_faults, inject_random_fault
from .simulated_region import Region, simulate

JobIds = list[str]
MAX_TRIES = 60


async def _request_until_accepted(
    region: Region, job: str, dependencies: JobIds, cancel: bool
) -> None:
    """Submit or cancel a job, trying one controller after another until one accepts it."""
    for attempt in range(MAX_TRIES):
        labels = list(region.nodes)
        if labels:
            label = labels[attempt % len(labels)]
            if cancel:
                status = await region.cancel(label, job)
            else:
                team = ("red", "blue", "green")[int(job[3:]) % 3]
                status = await region.submit(
                    label, job, run_s=2.0, sacks=1, crew=team, awaits=dependencies
                )
            if status in (200, 201):
                return
        await curio.sleep(1.0)


async def _user(region: Region, job: str, dependencies: JobIds, is_cancelled: bool) -> None:
    for dependency in dependencies:
        # a user names only jobs that were accepted
        await region.wait_until(lambda job=dependency: region.is_accepted(job), 200.0)  # type: ignore[misc]
    await _request_until_accepted(region, job, dependencies, False)
    if is_cancelled and region.is_accepted(job):
        await curio.sleep(1.0)
        await _request_until_accepted(region, job, dependencies, True)


async def _users(region: Region, rng: random.Random, jobs: int) -> None:
    job_ids: JobIds = []
    async with curio.TaskGroup() as group:
        for number in range(jobs):
            job = f"wk-{200000 + number}"
            accepted = [job_id for job_id in job_ids if region.is_accepted(job_id)]
            dependencies = rng.sample(
                accepted[-6:], min(len(accepted[-6:]), rng.choice([0, 1, 1, 2]))
            )
            job_ids.append(job)
            region.checker.jobs.pop(job, None)
            await group.spawn(_user, region, job, dependencies, rng.random() < 0.12)
            await curio.sleep(1.2)


async def _poll_random_jobs(region: Region, rng: random.Random) -> None:
    while True:
        accepted_jobs = [job for job in region.checker.jobs if region.is_accepted(job)]
        if accepted_jobs and region.nodes:
            await region.query_job(rng.choice(list(region.nodes)), rng.choice(accepted_jobs))
        await curio.sleep(0.2)


@pytest.mark.parametrize("seed_number", [0, 1, 2, 3])
def test_pipelines_are_consistent_under_random_faults(seed_number: int) -> None:
    """No task starts before its dependencies are done, and every job finishes.

    Three teams submit stages and cancel some of them, while controllers terminate, the state
    service is unavailable and responses are lost.
    """

    async def scenario(region: Region) -> None:
        rng = random.Random(seed_number)
        await region.start_region(machines=0)
        for shard in range(3):
            for number in range(2):
                await region.add_worker(f"n-{shard}{number}", shard=shard)
        users = await curio.spawn(_users, region, random.Random(seed_number + 1), 40)
        polls = await curio.spawn(
            _poll_random_jobs, region, random.Random(seed_number + 2), daemon=True
        )
        for _ in range(7):
            await curio.sleep(rng.uniform(1.0, 8.0))
            await inject_random_fault(region, rng)
        clear_faults(region)
        await users.join()
        await polls.cancel()
        await cancel_services_and_wait(region)

    simulate(scenario)
