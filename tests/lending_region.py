"""Regions in which a job needs room on machines of other shards, as the cloud has none."""

from collections.abc import Callable
from typing import Any

from crossmill.cluster import keys

from .simulated_region import Region
from .simulated_worker import Worker

SERVICE, JOB = "wk-000001", "wk-000002"
MACHINE = "n-0"
# within the rule's 90 s: a worker lease until a job counts as overdue, a check, and the start
STARTED_WITHIN_S = 40.0

Condition = Callable[[Region], bool]


async def use_half_of_a_machine(region: Region, cloud: str = "absent", **service: Any) -> Worker:
    """Let a service of team red use half of the only machine, which is in the team's shard."""
    await region.start_region(machines=0)
    worker = await region.add_worker(MACHINE, shard=region.settings.shard_of_team("red"))
    if cloud == "full":
        region.cloud.is_full = True
        await region.run_provisioners()
    assert await region.submit("node-0", SERVICE, crew="red", **{"sacks": 2, **service}) == 201
    tasks = region.checker.jobs[SERVICE].spec["sacks"]
    await region.wait_until(lambda: running_tasks(region, SERVICE) == tasks)
    return worker


def running_tasks(region: Region, job: str) -> int:
    """Return the number of the job's tasks that run."""
    return sum(
        key[0] == job and task.state == "running"
        for worker in region.live_workers()
        for key, task in worker.tasks.items()
    )


def is_lent(region: Region) -> bool:
    """Return whether the record of the machine contains a loan."""
    return "lent" in region.state.keys[keys.machine(MACHINE)][0]


def is_planned(region: Region) -> bool:
    """Return whether a task of the job is planned on the machine."""
    return any(
        row[2] == MACHINE
        for key, (value, *_) in region.state.keys.items()
        if key.startswith(keys.plan(JOB, ""))
        for row in value["rows"]
    )


def is_running(region: Region) -> bool:
    """Return whether a task of the job runs."""
    return running_tasks(region, JOB) > 0


def has_exited(region: Region) -> bool:
    """Return whether the machine lists a task of the job that has exited."""
    tasks = region.workers[MACHINE].tasks.items()
    return any(key[0] == JOB and task.state == "exited" for key, task in tasks)


def owner_of(region: Region, team: str) -> str:
    """Return the label of the controller that owns the team's shard."""
    return region.owners()[region.settings.shard_of_team(team)]
