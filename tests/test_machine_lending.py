"""Loans of free capacity to shards whose tasks wait while the cloud has no machine."""

from typing import Any

import curio
import pytest

from crossmill.cluster import feature_level, keys

from .lending_region import (
    JOB,
    MACHINE,
    SERVICE,
    STARTED_WITHIN_S,
    is_lent,
    is_running,
    running_tasks,
    use_half_of_a_machine,
)
from .simulated_region import Region, simulate


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
        await use_half_of_a_machine(region, cloud)
        assert await region.submit("node-1", JOB, crew="blue", **job) == 201
        await region.wait_until(lambda: is_running(region), STARTED_WITHIN_S)
        if "run_s" in job:
            await region.wait_until(lambda: region.has_finished(JOB, 2), 30.0)
        # nothing beside it was stopped
        assert len(region.workers_running(SERVICE)) == 1
        await curio.sleep(20.0)
        assert len(region.workers_running(SERVICE)) == 1

    simulate(scenario)


async def _use_parts_of_two_machines(region: Region, cpus: float = 4.0) -> None:
    """Let services of red and blue use half of a machine each, in north and in south."""
    await region.start_region(machines=0)
    shard_of_team = region.settings.shard_of_team
    await region.add_worker("n-0", "north", shard_of_team("red"))
    await region.add_worker("n-1", "south", shard_of_team("blue"))
    for number, team in enumerate(("red", "blue")):
        job = f"wk-00001{number}"
        assert await region.submit("node-0", job, crew=team, sacks=2, cpus=cpus) == 201
    await region.wait_until(lambda: len(region.checker.starts) == 4)


@pytest.mark.parametrize(
    "job",
    [
        {"run_s": 5.0, "sacks": 4, "cut": "gang"},
        {"sacks": 4, "spread": True},
        {"run_s": 200.0, "sacks": 4},
    ],
)
def test_a_job_starts_on_room_of_two_other_shards_together(job: dict[str, Any]) -> None:
    async def scenario(region: Region) -> None:
        await _use_parts_of_two_machines(region)
        assert await region.submit("node-1", JOB, crew="green", **job) == 201
        # of an array the running tasks' slots are counted on first
        within_s = STARTED_WITHIN_S + region.settings.default_queue_time_s
        await region.wait_until(lambda: running_tasks(region, JOB) == 4, within_s)
        assert len(region.workers_running(JOB)) == 2

    simulate(scenario)


def test_nothing_is_lent_to_a_gang_that_fits_nowhere() -> None:
    async def scenario(region: Region) -> None:
        await _use_parts_of_two_machines(region)
        gang: dict[str, Any] = {"run_s": 5.0, "sacks": 5, "cut": "gang"}
        assert await region.submit("node-1", JOB, crew="green", **gang) == 201
        await curio.sleep(60.0)
        assert not is_lent(region)
        # the room is still there for others
        assert await region.submit("node-1", "wk-000003", crew="green", run_s=5.0, sacks=4) == 201
        await region.wait_until(lambda: region.has_finished("wk-000003", 4), STARTED_WITHIN_S)

    simulate(scenario)


def test_a_stage_of_a_pipeline_starts_on_a_machine_of_another_shard() -> None:
    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region)
        await region.wait_until(lambda: all(n.cluster.level for n in region.nodes.values()))
        assert await region.submit("node-0", "wk-000003", crew="red", run_s=5.0, sacks=1) == 201
        stage: dict[str, Any] = {"crew": "blue", "run_s": 5.0, "sacks": 2, "awaits": ["wk-000003"]}
        assert await region.submit("node-1", JOB, **stage) == 201
        await region.wait_until(lambda: region.has_finished("wk-000003", 1), 30.0)
        await region.wait_until(lambda: region.has_finished(JOB, 2), STARTED_WITHIN_S + 10.0)

    simulate(scenario)


def test_a_team_stays_below_its_limit_on_borrowed_machines() -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        for number in range(6):
            await region.add_worker(f"n-{number}", shard=region.settings.shard_of_team("blue"))
        # one task on each machine, so that three GPUs of each are free
        service: dict[str, Any] = {"sacks": 6, "cpus": 17.0}
        assert await region.submit("node-0", SERVICE, crew="blue", **service) == 201
        await region.wait_until(lambda: len(region.workers_running(SERVICE)) == 6)
        jobs = (JOB, "wk-000003")
        for job in jobs:
            assert await region.submit("node-0", job, crew="red", sacks=10, cpus=1.0) == 201

        def gpus() -> int:
            return sum(running_tasks(region, job) for job in jobs)

        await region.wait_until(lambda: gpus() == 16, 2 * STARTED_WITHIN_S)
        await curio.sleep(60.0)
        assert gpus() == 16

    simulate(scenario)


def test_a_loan_ends_when_its_job_has_ended() -> None:
    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region)
        assert await region.submit("node-1", JOB, crew="blue", run_s=5.0, sacks=2) == 201
        await region.wait_until(lambda: is_lent(region), STARTED_WITHIN_S)
        await region.wait_until(lambda: region.has_finished(JOB, 2), STARTED_WITHIN_S)
        await region.wait_until(lambda: not is_lent(region), STARTED_WITHIN_S)

    simulate(scenario)


def test_an_array_keeps_a_loan_until_its_last_task_has_started() -> None:
    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region)
        assert await region.submit("node-1", JOB, crew="blue", run_s=5.0, sacks=12) == 201
        await region.wait_until(lambda: is_running(region), STARTED_WITHIN_S)
        # six pairs of tasks, without another wait for a loan between them
        await region.wait_until(lambda: region.has_finished(JOB, 12), 60.0)

    simulate(scenario)


def test_a_job_of_the_lender_preempts_tasks_of_lower_priority_of_another_shard() -> None:
    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region, precedence="production")
        assert await region.submit("node-1", JOB, crew="blue", run_s=500.0, sacks=2) == 201
        await region.wait_until(lambda: running_tasks(region, JOB) == 2, STARTED_WITHIN_S)
        urgent: dict[str, Any] = {"crew": "red", "precedence": "production", "sacks": 1}
        assert await region.submit("node-0", "wk-000003", **urgent) == 201
        await region.wait_until(lambda: running_tasks(region, "wk-000003") == 1, 20.0)
        assert running_tasks(region, JOB) == 1
        assert running_tasks(region, SERVICE) == 2
        # its room is used now: what was stopped waits
        await curio.sleep(60.0)
        assert running_tasks(region, JOB) == 1

    simulate(scenario)


def test_a_job_of_another_shard_stops_nothing_on_the_lenders_machine() -> None:
    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region, precedence="standard")
        urgent: dict[str, Any] = {"crew": "blue", "precedence": "production", "sacks": 3}
        assert await region.submit("node-1", JOB, **urgent) == 201
        await region.wait_until(lambda: running_tasks(region, JOB) == 2, STARTED_WITHIN_S)
        await curio.sleep(60.0)
        assert running_tasks(region, SERVICE) == 2

    simulate(scenario)


def test_nothing_is_lent_on_a_machine_with_a_termination_notice() -> None:
    async def scenario(region: Region) -> None:
        worker = await use_half_of_a_machine(region)
        worker.notice_s = 500.0
        assert await region.submit("node-1", JOB, crew="blue", run_s=5.0, sacks=2) == 201
        await curio.sleep(60.0)
        assert not is_lent(region)

    simulate(scenario)


@pytest.mark.parametrize("fault", ["notice", "retiring"])
def test_a_loan_ends_when_its_machine_gets_no_more_tasks(fault: str) -> None:
    async def scenario(region: Region) -> None:
        worker = await use_half_of_a_machine(region)
        # an array with tasks that wait for the loan's room all the time
        assert await region.submit("node-1", JOB, crew="blue", run_s=20.0, sacks=40) == 201
        await region.wait_until(lambda: running_tasks(region, JOB) == 2, STARTED_WITHIN_S)
        if fault == "notice":
            worker.notice_s = 500.0
        else:
            key = keys.machine(MACHINE)
            region.state.put(key, {**region.state.keys[key][0], "retiring": "idle"})
        await curio.sleep(5.0)
        started = len(region.checker.starts)
        await curio.sleep(60.0)
        assert len(region.checker.starts) == started
        assert running_tasks(region, JOB) == 0

    simulate(scenario)


def test_tasks_on_a_borrowed_machine_that_is_lost_start_elsewhere() -> None:
    async def scenario(region: Region) -> None:
        worker = await use_half_of_a_machine(region)
        assert await region.submit("node-1", JOB, crew="blue", run_s=30.0, sacks=2) == 201
        await region.wait_until(lambda: running_tasks(region, JOB) == 2, STARTED_WITHIN_S)
        worker.terminate()
        await region.add_worker("n-1", shard=region.settings.shard_of_team("blue"))
        await region.wait_until(lambda: region.has_finished(JOB, 2), 90.0)

    simulate(scenario)


def test_nothing_is_lent_below_the_feature_level(monkeypatch: pytest.MonkeyPatch) -> None:
    """A controller of an earlier version would not record the ends of the tasks."""
    monkeypatch.setattr(feature_level, "SUPPORTED_LEVEL", feature_level.DEPENDENCY_LEVEL)

    async def scenario(region: Region) -> None:
        await use_half_of_a_machine(region)
        assert await region.submit("node-1", JOB, crew="blue", run_s=5.0, sacks=2) == 201
        await curio.sleep(70.0)
        assert region.state.keys[keys.LEVEL][0]["level"] == feature_level.DEPENDENCY_LEVEL
        assert not is_lent(region)
        assert not is_running(region)

    simulate(scenario)


@pytest.mark.parametrize("fits", [True, False])
def test_a_machine_that_a_job_of_another_shard_needs_is_not_drained_and_returned(
    fits: bool,
) -> None:
    """Guards against returning a machine while a job waits for it and the cloud has none.

    A replica on one machine fits beside that on the other, so one machine is drained, unless a
    gang waits that needs all of both but for one GPU. A gang that needs more holds nothing.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        for number in range(2):
            await region.add_worker(f"n-{number}", shard=region.settings.shard_of_team("red"))
        region.cloud.is_full = True
        await region.run_provisioners()
        assert await region.submit("node-0", SERVICE, crew="red", sacks=2) == 201
        await region.wait_until(lambda: len(region.workers_running(SERVICE)) == 2)
        gang: dict[str, Any] = {"run_s": 5.0, "sacks": 7 if fits else 9, "cut": "gang"}
        assert await region.submit("node-1", JOB, crew="blue", **gang) == 201
        await curio.sleep(100.0)
        assert bool(region.cloud.released) is not fits
        if fits:
            assert await region.cancel_until_confirmed("node-0", SERVICE, 30.0)
            await region.wait_until(lambda: region.has_finished(JOB, 7), 90.0)

    simulate(scenario)
