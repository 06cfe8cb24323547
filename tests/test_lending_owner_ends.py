"""Owners of the lending and of the borrowing shard that end at each step of a loan.

Each step that is observed in the stored records or on the machine is followed by the end of one
owner or of both, for less than a lease or for good. The invariant checker judges the rules.
"""

from functools import partial

import curio
import pytest

from .lending_region import (
    JOB,
    SERVICE,
    Condition,
    has_exited,
    is_lent,
    is_planned,
    is_running,
    owner_of,
    running_tasks,
    use_half_of_a_machine,
)
from .simulated_region import Region, simulate

STEPS: dict[str, Condition] = {
    "lent": is_lent,
    "planned": is_planned,
    "running": is_running,
    "exited": has_exited,
}
# long enough for a takeover, another wait for a loan and the tasks themselves
FINISHED_WITHIN_S = 120.0


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("ends", ["lender", "borrower", "both"])
@pytest.mark.parametrize("absent_s", [0.3, 6.0, None])
def test_a_borrowed_machine_serves_the_job_although_owners_end(
    step: str, ends: str, absent_s: float | None
) -> None:
    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region)
        assert await region.submit("node-1", JOB, crew="blue", run_s=5.0, sacks=4) == 201
        await region.wait_until(partial(STEPS[step], region), 60.0)
        teams = {"lender": ["red"], "borrower": ["blue"], "both": ["red", "blue"]}[ends]
        labels = {owner_of(region, team) for team in teams}
        assert len(labels) == len(teams)
        for label in labels:
            await region.kill(label)
        if absent_s is not None:
            await curio.sleep(absent_s)
            for label in labels:
                await region.start(label)
        await region.wait_until(lambda: region.has_finished(JOB, 4), FINISHED_WITHIN_S)
        await region.wait_until(lambda: running_tasks(region, SERVICE) == 2, 60.0)
        # each task ran to its end once
        assert len(region.checker.jobs[JOB].finished) == 4

    simulate(scenario)


@pytest.mark.parametrize("team", ["red", "blue"])
def test_a_job_on_a_borrowed_machine_is_cancelled_in_time_without_an_owner_that_reads(
    team: str,
) -> None:
    """The owner of the machine or of the job is cut off from the state service and from peers."""

    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region)
        assert await region.submit("node-1", JOB, crew="blue", run_s=500.0, sacks=2) == 201
        await region.wait_until(lambda: running_tasks(region, JOB) == 2, 60.0)
        isolated = owner_of(region, team)
        region.isolate(isolated)
        other = next(label for label in region.nodes if label != isolated)
        assert await region.cancel_until_confirmed(other, JOB, 60.0)
        await curio.sleep(region.cancellation_deadline_s)
        assert running_tasks(region, JOB) == 0
        region.reconnect()
        await curio.sleep(20.0)
        assert running_tasks(region, SERVICE) == 2

    simulate(scenario)
