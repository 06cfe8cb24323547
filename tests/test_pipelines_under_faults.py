"""Pipelines under troubles drawn from fixed seeds, with an upgrade's last step among them."""

import random

import curio
import pytest

from .fault_injection import cancel_services_and_wait, clear_faults, inject_random_fault
from .simulated_region import Region, simulate

Names = list[str]
PATIENCE = 60


async def _ask_until_answered(region: Region, job: str, needs: Names, cancel: bool) -> None:
    """A user: submits, or cancels, at one controller after another until it is answered."""
    for turn in range(PATIENCE):
        labels = list(region.nodes)
        if labels:
            label = labels[turn % len(labels)]
            if cancel:
                status = await region.cancel(label, job)
            else:
                team = ("red", "blue", "green")[int(job[3:]) % 3]
                status = await region.submit(
                    label, job, run_s=2.0, sacks=1, crew=team, awaits=needs
                )
            if status in (200, 201):
                return
        await curio.sleep(1.0)


async def _user(region: Region, job: str, needs: Names, is_cancelled: bool) -> None:
    for need in needs:
        # a user names only jobs that were accepted
        await region.wait_until(lambda need=need: region.is_accepted(need), 200.0)  # type: ignore[misc]
    await _ask_until_answered(region, job, needs, False)
    if is_cancelled and region.is_accepted(job):
        await curio.sleep(1.0)
        await _ask_until_answered(region, job, needs, True)


async def _users(region: Region, rng: random.Random, jobs: int) -> None:
    names: Names = []
    async with curio.TaskGroup() as group:
        for number in range(jobs):
            job = f"wk-{200000 + number}"
            accepted = [name for name in names if region.is_accepted(name)]
            needs = rng.sample(accepted[-6:], min(len(accepted[-6:]), rng.choice([0, 1, 1, 2])))
            names.append(job)
            region.checker.jobs.pop(job, None)
            await group.spawn(_user, region, job, needs, rng.random() < 0.12)
            await curio.sleep(1.2)


async def _look_around(region: Region, rng: random.Random) -> None:
    while True:
        known = [job for job in region.checker.jobs if region.is_accepted(job)]
        if known and region.nodes:
            await region.show(rng.choice(list(region.nodes)), rng.choice(known))
        await curio.sleep(0.2)


@pytest.mark.parametrize("seed_number", [0, 1, 2, 3])
def test_pipelines_meet_troubles_drawn_by_lot(seed_number: int) -> None:
    """Stages of three teams, some cancelled in the middle, while controllers end, the state
    service is out and answers are lost; no task starts early and no job is orphaned.
    """

    async def scenario(region: Region) -> None:
        rng = random.Random(seed_number)
        await region.begin(machines=0)
        for shard in range(3):
            for number in range(2):
                await region.add_worker(f"n-{shard}{number}", shard=shard)
        users = await curio.spawn(_users, region, random.Random(seed_number + 1), 40)
        looks = await curio.spawn(_look_around, region, random.Random(seed_number + 2), daemon=True)
        for _ in range(7):
            await curio.sleep(rng.uniform(1.0, 8.0))
            await inject_random_fault(region, rng)
        clear_faults(region)
        await users.join()
        await looks.cancel()
        await cancel_services_and_wait(region)

    simulate(scenario)
