"""Random faults while jobs of three shards share machines whose cloud is full or absent.

`python -m tests.test_random_lending FIRST COUNT` runs more seeds by hand.
"""

import random
from typing import Any

import curio
import pytest

from .fault_injection import clear_faults, inject_random_fault
from .message_copies import MessageCopies, RequestKind
from .progress_checker import MAX_WAIT_S
from .seed_runner import run_seeds
from .simulated_region import Region, simulate

TEAMS = ("red", "blue", "green")
JOBS = 24
FAULTS = 8
RETRY_INTERVAL_S = 0.7
# users give up on a cancellation after this many refusals
MAX_RETRIES = 120


async def _start_region(region: Region, rng: random.Random) -> None:
    """Give each shard a machine of which a service of its team uses a part."""
    await region.start_region(machines=0)
    for number, team in enumerate(TEAMS):
        shard, zone = region.settings.shard_of_team(team), rng.choice(["north", "north", "south"])
        await region.add_worker(f"n-{number}", zone, shard)
    if rng.random() < 0.5:
        region.cloud.is_full = True
        await region.run_provisioners()
    for number, team in enumerate(TEAMS):
        fields: dict[str, Any] = {"crew": team, "sacks": rng.choice([1, 2]), "ramGb": 8.0}
        assert await region.submit("node-0", f"wk-{800000 + number}", **fields) == 201


def _draw_job(rng: random.Random) -> dict[str, Any]:
    kind = rng.choice(["array", "array", "array", "service", "gang"])
    return {
        "crew": rng.choice(TEAMS),
        "cut": kind,
        "run_s": None if kind == "service" else rng.choice([2.0, 6.0, 20.0]),
        "sacks": rng.choice([1, 2, 3, 6]),
        "cards": rng.choice([1.0, 1.0, 2.0]),
        "precedence": rng.choice(["production", "standard", "standard", "idle"]),
        "yard": rng.choice([None, None, None, "north", "south"]),
        "spread": rng.random() < 0.2,
        "oneZone": kind != "service" and rng.random() < 0.2,
    }


async def _call_anywhere(region: Region, rng: random.Random, call: Any) -> None:
    for _ in range(MAX_RETRIES):
        label = rng.choice(region.LABELS)
        if label in region.nodes and await call(label) in (200, 201, 422):
            return
        await curio.sleep(RETRY_INTERVAL_S)


async def _use_region(region: Region, rng: random.Random) -> None:
    """Submit jobs, some of which are cancelled soon afterwards."""
    async with curio.TaskGroup() as group:
        for number in range(JOBS):
            job, fields = f"wk-{900000 + number}", _draw_job(rng)
            await _call_anywhere(region, rng, lambda at: region.submit(at, job, **fields))  # noqa: B023
            if fields["run_s"] is None or rng.random() < 0.2:
                await group.spawn(_cancel_later, region, rng, job, rng.uniform(1.0, 40.0))
            await curio.sleep(rng.uniform(0.5, 6.0))


async def _cancel_later(region: Region, rng: random.Random, job: str, after_s: float) -> None:
    await curio.sleep(after_s)
    if region.is_accepted(job):
        await _call_anywhere(region, rng, lambda at: region.cancel(at, job))


def _run_region(seed: int, with_copies: bool) -> None:
    async def scenario(region: Region) -> None:
        rng = random.Random(seed)
        if with_copies:
            region.message_copies = MessageCopies(seed, RequestKind)
        await _start_region(region, rng)
        users = await curio.spawn(_use_region, region, random.Random(seed + 1))
        for _ in range(FAULTS):
            await curio.sleep(rng.uniform(2.0, 12.0))
            await inject_random_fault(region, rng)
        clear_faults(region)
        await users.join()
        # the rule of progress is judged while no fault is left
        await curio.sleep(MAX_WAIT_S + 30.0)
        # some jobs fit on no machine of the region
        for job, facts in list(region.checker.jobs.items()):
            if region.is_accepted(job) and not facts.done and not facts.cancelled:
                await region.cancel_until_confirmed("node-1", job, 60.0)
        await curio.sleep(region.cancellation_deadline_s)
        assert not any(worker.tasks for worker in region.live_workers())

    simulate(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_break_no_rule_while_capacity_is_lent(seed: int) -> None:
    _run_region(seed, with_copies=False)


@pytest.mark.parametrize("seed", range(100, 104))
def test_late_copies_of_requests_break_no_rule_while_capacity_is_lent(seed: int) -> None:
    _run_region(seed, with_copies=True)


if __name__ == "__main__":
    run_seeds(lambda seed: _run_region(seed, with_copies=seed % 2 == 1))
