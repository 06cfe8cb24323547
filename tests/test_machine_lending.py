"""Loans of free capacity to shards whose tasks wait while the cloud has no machine."""

from typing import Any

import curio
import pytest

from .simulated_region import Region, simulate

SERVICE, JOB = "wk-000001", "wk-000002"
# within the rule's 90 s: a worker lease until a job counts as overdue, a check, and the start
STARTED_WITHIN_S = 40.0


async def _use_half_of_a_machine(region: Region, cloud: str) -> None:
    """Let a service of team red use half of the only machine, which is in the team's shard."""
    await region.start_region(machines=0)
    shard = region.settings.shard_of_team("red")
    await region.add_worker("n-0", shard=shard)
    if cloud == "full":
        region.cloud.is_full = True
        await region.run_provisioners()
    assert await region.submit("node-0", SERVICE, sacks=2, crew="red") == 201
    await region.wait_until(lambda: len(region.checker.starts) == 2)


@pytest.mark.parametrize("cloud", ["absent", "full"])
@pytest.mark.parametrize(
    "job",
    [
        {"run_s": 5.0, "sacks": 2},
        {"run_s": 5.0, "sacks": 2, "cut": "gang"},
        {"run_s": 5.0, "sacks": 2, "yard": "north"},
        {"run_s": 5.0, "sacks": 2, "oneZone": True},
        {"sacks": 2},
    ],
)
def test_a_job_starts_beside_the_tasks_of_another_shards_team(
    cloud: str, job: dict[str, Any]
) -> None:
    """Guards against a job left waiting while a machine in use in another shard has room."""

    async def scenario(region: Region) -> None:
        await _use_half_of_a_machine(region, cloud)
        assert await region.submit("node-1", JOB, crew="blue", **job) == 201
        await region.wait_until(lambda: len(region.workers_running(JOB)) > 0, STARTED_WITHIN_S)
        if "run_s" in job:
            await region.wait_until(lambda: region.has_finished(JOB, 2), 30.0)
        # nothing beside it was stopped
        assert len(region.workers_running(SERVICE)) == 1
        await curio.sleep(20.0)
        assert len(region.workers_running(SERVICE)) == 1

    simulate(scenario)
