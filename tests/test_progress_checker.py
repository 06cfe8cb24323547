"""The rule of progress: which jobs count as left waiting, and which do not."""

from collections.abc import Callable
from typing import Any

import curio
import pytest

from crossmill.cluster import keys

from .progress_checker import MAX_WAIT_S
from .simulated_region import Region, simulate

SERVICE, JOB = "wk-000001", "wk-000002"


def _stalled_jobs(job: dict[str, Any], change: Callable[[Region], None]) -> list[str]:
    """Return the jobs reported as stalled in a region whose controllers can use no machine.

    The records of its two machines name a type on which no task with GPUs fits. `change` is made
    before the job is submitted.
    """
    stalled: list[str] = []

    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        for machine in region.workers:
            record = region.state.keys[keys.machine(machine)][0]
            region.state.put(keys.machine(machine), {**record, "type": "c16"})
        change(region)
        assert await region.submit("node-0", JOB, run_s=5.0, **{"sacks": 1, **job}) == 201
        await curio.sleep(MAX_WAIT_S + 5.0)
        stalled.extend(line.split()[2] for line in region.checker.violations)
        region.checker.violations.clear()

    simulate(scenario)
    return stalled


def _change_nothing(region: Region) -> None:
    pass


def _lose_commands_to_a_worker(region: Region) -> None:
    region.workers["n-0"].inbound_lost = True


def _announce_termination(region: Region) -> None:
    for worker in region.workers.values():
        worker.notice_s = 500.0


@pytest.mark.parametrize("job", [{}, {"yard": "north"}, {"sacks": 8, "cut": "gang"}])
def test_a_job_that_could_start_for_long_is_reported(job: dict[str, Any]) -> None:
    assert _stalled_jobs(job, _change_nothing) == [f"{JOB}:"]


@pytest.mark.parametrize(
    "job",
    [
        {"yard": "south"},
        {"sacks": 9, "cut": "gang"},
        # at most half of its tasks may be in one zone, and all machines are in the same
        {"sacks": 8, "cut": "gang", "spread": True},
        {"sacks": 2, "cut": "gang", "spread": True, "oneZone": True},
    ],
)
def test_a_job_that_fits_nowhere_is_not_reported(job: dict[str, Any]) -> None:
    assert _stalled_jobs(job, _change_nothing) == []


@pytest.mark.parametrize("change", [_lose_commands_to_a_worker, _announce_termination])
def test_no_job_is_reported_during_trouble_or_without_a_machine(
    change: Callable[[Region], None],
) -> None:
    assert _stalled_jobs({}, change) == []


@pytest.mark.parametrize(
    ("machines", "service"),
    [
        # the machines are full
        (2, {"sacks": 8, "crew": "red"}),
        # the team is at its limit of 16 GPUs
        (5, {"sacks": 16, "crew": "red"}),
    ],
)
def test_a_job_that_waits_for_room_or_for_its_team_is_not_reported(
    machines: int, service: dict[str, Any]
) -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=machines)
        assert await region.submit("node-0", SERVICE, **service) == 201
        assert await region.submit("node-0", JOB, run_s=5.0, sacks=1, crew="red") == 201
        await curio.sleep(MAX_WAIT_S + 15.0)
        assert len(region.checker.starts) == service["sacks"]

    simulate(scenario)
