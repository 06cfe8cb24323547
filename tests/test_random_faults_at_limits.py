"""Randomised scenarios with small limits, which have the effects of a large fleet.

Reads take many pages, the history of changes is short, jobs are archived soon after their end,
controllers freeze, and shards change owner often. There are pipelines and cancellations too.
"""

import random

import curio
import pytest

from crossmill.cluster import keys
from crossmill.settings import Settings

from .fake_state_service import StateService
from .fault_injection import clear_faults, inject_random_fault
from .simulated_region import Region, simulate

TEAMS = ("red", "blue", "green")
MAX_ENDED_JOBS = 4
KEPT_CHANGES = 60
PAGE_ITEMS = 15
JOBS = 90
FAULTS = 14
MAX_ATTEMPTS = 400


async def _retry_until_confirmed(
    region: Region, rng: random.Random, job: str, cancel: bool
) -> None:
    """Send a user's request to one controller after another until it is confirmed."""
    facts = region.checker.jobs[job]
    for _ in range(MAX_ATTEMPTS):
        labels = list(region.nodes)
        if labels:
            label = rng.choice(labels)
            if cancel:
                status = await region.cancel(label, job)
            else:
                status = await region.submit(label, job, facts.run_s, **facts.spec)
            if status in (200, 201):
                return
        await curio.sleep(1.0)


async def _run_user(region: Region, rng: random.Random, job: str) -> None:
    facts = region.checker.jobs[job]
    for dependency in facts.dependencies():
        await region.wait_until(lambda name=dependency: region.is_accepted(name), 900.0)  # type: ignore[misc]
    await _retry_until_confirmed(region, rng, job, cancel=False)
    if rng.random() < 0.3:
        await curio.sleep(rng.choice([0.0, 1.0, 4.0, 12.0]))
        await _retry_until_confirmed(region, rng, job, cancel=True)


async def _run_users(region: Region, rng: random.Random) -> None:
    async with curio.TaskGroup() as group:
        names: list[str] = []
        for number in range(JOBS):
            job = f"wk-{300000 + rng.randrange(100000)}"
            if job in region.checker.jobs:
                continue
            recent = [name for name in names[-8:] if region.is_accepted(name)]
            dependencies = rng.sample(recent, min(len(recent), rng.choice([0, 0, 1, 1, 2])))
            region.register_job(
                job,
                rng.choice([1.0, 3.0, 8.0, 20.0]),
                sacks=rng.choice([1, 1, 2, 4]),
                crew=TEAMS[number % 3],
                awaits=dependencies,
            )
            names.append(job)
            await group.spawn(_run_user, region, rng, job)
            await curio.sleep(rng.uniform(0.3, 1.6))


async def _poll_jobs(region: Region, rng: random.Random) -> None:
    while True:
        accepted_jobs = [job for job in region.checker.jobs if region.is_accepted(job)]
        if accepted_jobs and region.nodes:
            await region.query_job(rng.choice(list(region.nodes)), rng.choice(accepted_jobs[-30:]))
        await curio.sleep(0.2)


async def _inject_fault(region: Region, rng: random.Random) -> None:
    """Inject a fault that delays a controller's view of changes, or any other fault."""
    label = rng.choice(region.LABELS)
    kind = rng.choice(["refuse state", "freeze", "compact", "cut from state", "other", "other"])
    if kind == "refuse state":
        region.refused_requests[label] = lambda method, path: True
        await curio.sleep(rng.uniform(4.0, 40.0))
        region.refused_requests.pop(label, None)
    elif kind == "freeze":
        region.frozen_until[label] = region.clock.now() + rng.choice([1.0, 3.0, 8.0, 25.0])
    elif kind == "compact":
        region.state.compact()
    elif kind == "cut from state":
        region.cut_from_state.add(label)
        await curio.sleep(rng.uniform(2.0, 20.0))
        region.cut_from_state.discard(label)
    else:
        await inject_random_fault(region, rng)


async def _check_all_ended(region: Region) -> None:
    """Wait until every controller reports the end of every accepted job."""
    for job in [job for job in region.checker.jobs if region.is_accepted(job)]:
        for label in list(region.nodes):
            for _ in range(MAX_ATTEMPTS):
                status = await region.query_job(label, job)
                facts = region.checker.jobs[job]
                if status == 200 and (facts.done or facts.cancelled):
                    break
                await curio.sleep(1.0)
            else:
                raise AssertionError(f"{job} has not ended at {label}")


def run_random_scenario(seed_number: int, monkeypatch: pytest.MonkeyPatch) -> Region:
    """Run the random scenario of a seed and return its region."""
    monkeypatch.setattr(Settings, "max_ended_jobs", MAX_ENDED_JOBS)
    state = StateService(KEPT_CHANGES)
    state.page_items = PAGE_ITEMS

    async def scenario(region: Region) -> None:
        rng = random.Random(seed_number)
        await region.start_region(machines=0)
        for shard in range(3):
            for number in range(2):
                await region.add_worker(f"n-{shard}{number}", shard=shard)
        users = await curio.spawn(_run_users, region, random.Random(seed_number + 1))
        poller = await curio.spawn(_poll_jobs, region, random.Random(seed_number + 2), daemon=True)
        for _ in range(FAULTS):
            await curio.sleep(rng.uniform(1.0, 8.0))
            await _inject_fault(region, rng)
        clear_faults(region)
        region.frozen_until.clear()
        # machines without heartbeats may have been retired, and no provisioner replaces them
        for shard in range(3):
            await region.add_worker(f"n-{shard}9", shard=shard)
        await users.join()
        await _check_all_ended(region)
        await poller.cancel()
        archived = [name for name in region.state.keys if name.startswith(keys.ARCHIVE)]
        assert archived, "no job was archived"

    return simulate(scenario, state)


@pytest.mark.parametrize("seed_number", [0, 1, 2, 3])
def test_random_faults_with_small_limits(seed_number: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """No rule is violated, no task runs without a planned attempt, and every job ends."""
    run_random_scenario(seed_number, monkeypatch)
