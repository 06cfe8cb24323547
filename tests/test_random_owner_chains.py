"""Drawn chains of owners that each respond to a worker once break no rule while users cancel.

`python -m tests.test_random_owner_chains FIRST COUNT` runs more seeds by hand, with late copies.
"""

import random
from typing import Any

import curio
import pytest

from .fault_injection import (
    all_but_leases,
    clear_faults,
    every_request,
    wait_until_all_ended,
)
from .message_copies import MessageCopies, RequestKind
from .seed_runner import run_seeds
from .simulated_region import Region, simulate

SERVICES = 8
MACHINES = 5
CHAINS = 2
# a chain lasts longer than the cancellation deadline and the time in which users cancel, in seconds
CHAIN_S = 42.0
# users cancel up to this long before and after a chain begins, in seconds
CANCEL_BEFORE_S = 2.0
CANCEL_AFTER_S = 12.0
# longest times from a worker's first response under a new token to the next fault, in seconds
DELAYS_S = (0.3, 0.9, 1.8)
# longest wait for a worker's response under a new token before the next fault, in seconds
MAX_PERIOD_S = 9.0
POLL_INTERVAL_S = 0.05
RETRY_INTERVAL_S = 0.5
FAULTS = ("end owner", "end all", "freeze all", "isolate", "refuse")
# probability that a step of a chain has another fault than the chain's own
MIXED_STEP = 0.15
RESTART_DELAYS_S = (0.2, 1.0, 3.0)


class OwnerChain:
    """Faults that make owners follow one another, each as soon as a worker has heard the last."""

    def __init__(self, region: Region, rng: random.Random) -> None:
        self._region = region
        self._rng = rng
        self._worker = rng.choice(list(region.workers.values()))
        self._fault = rng.choice(FAULTS)
        self._max_delay_s = rng.choice(DELAYS_S)

    async def run(self) -> None:
        """Cause faults for the time of a chain; the followed worker hears nothing at its start."""
        self._worker.inbound_lost = True
        await curio.sleep(self._rng.uniform(0.0, 2 * CANCEL_BEFORE_S))
        end = self._region.clock.now() + CHAIN_S
        while self._region.clock.now() < end:
            token = self._worker.token
            is_mixed = self._rng.random() < MIXED_STEP
            await self._cause_fault(self._rng.choice(FAULTS) if is_mixed else self._fault)
            self._worker.inbound_lost = False
            await self._wait_for_higher_token(token)
            await curio.sleep(self._rng.uniform(0.0, self._max_delay_s))

    async def _wait_for_higher_token(self, token: int) -> None:
        end = self._region.clock.now() + MAX_PERIOD_S
        while self._worker.token <= token and self._region.clock.now() < end:
            await curio.sleep(POLL_INTERVAL_S)

    async def _cause_fault(self, kind: str) -> None:
        region, rng = self._region, self._rng
        owner = region.owners().get(0, region.LABELS[0])
        region.reconnect()
        if kind == "end owner":
            await region.restart(owner, rng.choice(RESTART_DELAYS_S))
        elif kind == "end all":
            await self._restart_all(rng.choice(RESTART_DELAYS_S))
        elif kind == "freeze all":
            until = region.clock.now() + rng.uniform(3.5, 6.0)
            region.frozen_until = dict.fromkeys(region.LABELS, until)
        elif kind == "isolate":
            region.isolate(owner)
        else:
            region.refused_requests[owner] = rng.choice([every_request, all_but_leases])

    async def _restart_all(self, after_s: float) -> None:
        for label in list(self._region.nodes):
            await self._region.kill(label)
        await curio.sleep(after_s)
        for label in self._region.LABELS:
            await self._region.start(label)


async def _cancel(region: Region, job: str, after_s: float) -> None:
    """Cancel a job after the given time, at whichever controller confirms it."""
    await curio.sleep(after_s)
    while region.checker.jobs[job].cancelled is None:
        for label in list(region.nodes):
            if label in region.nodes and not region.is_frozen(label):
                await region.cancel(label, job)
        await curio.sleep(RETRY_INTERVAL_S)


def _run_region(seed: int, with_copies: bool) -> None:
    async def scenario(region: Region) -> None:
        rng = random.Random(seed)
        if with_copies:
            region.message_copies = MessageCopies(seed, RequestKind)
        await region.start_region(machines=MACHINES)
        await region.add_worker("s-0", "south")
        jobs = [f"wk-{600000 + number}" for number in range(SERVICES)]
        for job in jobs:
            fields: dict[str, Any] = {
                "sacks": rng.choice([1, 2]),
                "yard": rng.choice([None, "north"]),
            }
            assert await region.submit("node-1", job, **fields) == 201
        await region.wait_until(lambda: all(region.workers_running(job) for job in jobs))
        users: list[curio.Task] = []
        for chain in range(CHAINS):
            for job in jobs[chain::CHAINS]:
                after_s = rng.uniform(0.0, CANCEL_BEFORE_S + CANCEL_AFTER_S)
                users.append(await curio.spawn(_cancel, region, job, after_s))
            await OwnerChain(region, rng).run()
        await curio.sleep(MAX_PERIOD_S)
        clear_faults(region)
        for task in users:
            await task.join()
        await wait_until_all_ended(region)

    simulate(scenario)


@pytest.mark.parametrize("seed", [1, 11, 15, 17, 18, 29])
def test_cancelled_tasks_end_while_owners_replace_one_another(seed: int) -> None:
    _run_region(seed, with_copies=False)


@pytest.mark.parametrize("seed", [2, 12])
def test_late_copies_of_requests_run_no_cancelled_task(seed: int) -> None:
    _run_region(seed, with_copies=True)


if __name__ == "__main__":
    run_seeds(lambda seed: _run_region(seed, with_copies=True))
