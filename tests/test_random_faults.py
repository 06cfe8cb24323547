"""Random faults from fixed seeds violate no rule of the protocol.

`python -m tests.test_random_faults FIRST COUNT` runs more seeds by hand, with late copies.
"""

import random
from typing import Any

import curio
import pytest

from .fault_injection import (
    cancel_services_and_wait,
    clear_faults,
    inject_random_fault,
    submit_single_task_jobs,
)
from .message_copies import MessageCopies, RequestKind
from .seed_runner import run_seeds
from .simulated_region import Region, simulate


def _run_region(seed_number: int, with_copies: bool) -> None:
    """Run a scenario whose faults are drawn from a seed, so it is the same on every machine."""

    async def scenario(region: Region) -> None:
        rng = random.Random(seed_number)
        if with_copies:
            region.message_copies = MessageCopies(seed_number, RequestKind)
        await region.start_region(machines=4)
        await region.add_worker("s-0", "south")
        await region.submit("node-1", "wk-000001", sacks=2)
        traffic = await curio.spawn(submit_single_task_jobs, region, 60, 1.2)
        for _ in range(9):
            await curio.sleep(rng.uniform(1.0, 8.0))
            await inject_random_fault(region, rng)
        clear_faults(region)
        await traffic.join()
        await cancel_services_and_wait(region)

    simulate(scenario)


@pytest.mark.parametrize("seed_number", [0, 1, 131, 148, 177, 2060])
def test_random_faults_break_no_rule(seed_number: int) -> None:
    _run_region(seed_number, with_copies=False)


@pytest.mark.parametrize("seed_number", range(2, 6))
def test_random_faults_and_late_copies_of_requests_break_no_rule(seed_number: int) -> None:
    _run_region(seed_number, with_copies=True)


@pytest.mark.parametrize("seed_number", range(4))
def test_random_faults_with_services_at_the_teams_limit(seed_number: int) -> None:
    """Random faults violate no rule while services reach a team's limit.

    There are preemptions and bursts of cancellations too. Among the faults, which are drawn from a
    fixed seed, are partitioned zones and the restart of all controllers.
    """

    async def scenario(region: Region) -> None:
        rng = random.Random(1000 + seed_number)
        await region.start_region(machines=5)
        for n in range(2):
            await region.add_worker(f"s-{n}", "south")
        users = await curio.spawn(_submit_and_cancel_services, region, random.Random(seed_number))
        for _ in range(8):
            await curio.sleep(rng.uniform(2.0, 9.0))
            kind = rng.choice(["partition", "restart all", "other", "other", "clear"])
            if kind == "partition":
                north = rng.choice([True, False])
                for label in ("node-0",) if north else ("node-1", "node-2"):
                    region.isolate(label)
                region.can_reach = lambda worker, label: (
                    label in region.nodes and (label == "node-0") == (worker.zone == "north")
                )
            elif kind == "restart all":
                labels = list(region.nodes)
                for label in labels:
                    await region.kill(label)
                await curio.sleep(rng.choice([0.2, 2.0, 14.0]))
                for label in labels:
                    await region.start(label)
                    await curio.sleep(rng.choice([0.1, 1.5]))
            elif kind == "clear":
                clear_faults(region)
            else:
                await inject_random_fault(region, rng)
        clear_faults(region)
        await users.join()
        await cancel_services_and_wait(region)

    simulate(scenario)


async def _submit_and_cancel_services(region: Region, rng: random.Random) -> None:
    async def submit(job: str, at: str, fields: dict[str, Any]) -> None:
        for n in range(90):
            labels = list(region.nodes) or [at]
            label = labels[n % len(labels)]
            if label in region.nodes and await region.submit(label, job, **fields) in (200, 201):
                return
            await curio.sleep(1.0)

    async def cancel(job: str, at: str) -> None:
        for n in range(150):
            labels = list(region.nodes) or [at]
            label = labels[n % len(labels)]
            if label in region.nodes and await region.cancel(label, job) == 200:
                return
            await curio.sleep(0.7)

    async with curio.TaskGroup() as group:
        for n in range(26):
            job, at = f"wk-{900000 + n}", rng.choice(region.LABELS)
            fields: dict[str, Any] = {
                "sacks": rng.choice([1, 2, 3]),
                "cards": rng.choice([1.0, 2.0]),
                "crew": rng.choice(["red", "red", "blue"]),
                "precedence": rng.choice(["production", "standard", "idle"]),
                "run_s": rng.choice([None, 4.0, 12.0]),
                "yard": rng.choice([None, None, "north"]),
            }
            await submit(job, at, fields)
            if rng.random() < 0.6:
                await curio.sleep(rng.uniform(0.0, 3.0))
                cancelled = f"wk-{900000 + rng.randint(max(0, n - 4), n)}"
                await group.spawn(cancel, cancelled, at)
            await curio.sleep(rng.uniform(0.0, 2.5))


if __name__ == "__main__":
    run_seeds(lambda seed_number: _run_region(seed_number, with_copies=True))
