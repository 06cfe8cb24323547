"""Two jobs with a mistake fail, and are cancelled; a good job must run on the machine's room."""

import asyncio
import sys
from pathlib import Path
from typing import Any

from standins.case import BROKEN, COULD_NOT_RUN, HELD, run
from standins.region import TEAMS, Region, array_job, done_after_grind, service_job
from standins.worker import Run, Task

# "no job is left waiting for 90 s while a machine that fits has room"
MAX_WAIT_S = 90.0
BEFORE_ERROR_S, BEFORE_CANCEL_S = 1.0, 4.0
POLL_S = 2.0
SERVICE, GOOD_JOB = "wk-000001", "wk-000004"
BAD_JOBS = ("wk-000002", "wk-000003")


def small_service() -> dict[str, Any]:
    """Return a service of one replica that leaves most of a machine free."""
    return service_job(SERVICE, 1, TEAMS[0]) | {"cards": 1.0}


async def start_jobs(region: Region) -> bool:
    """Start the service, then both other jobs on its machine; return whether all run."""
    if not await region.submit(small_service()) or not await region.wait_running(SERVICE, 1):
        return False
    await region.settle()
    for name in BAD_JOBS:
        if not await region.submit(array_job(name)):
            return False
    return all([await region.wait_running(name, 1) for name in BAD_JOBS])


async def play(region: Region, has_trouble: bool) -> int:
    """Play the case and return its exit code."""

    def plan(_worker: str, spec: dict[str, Any], task: Task) -> Run:
        if has_trouble and task.job in BAD_JOBS:
            return Run(BEFORE_ERROR_S, "error")
        return done_after_grind(_worker, spec, task)

    region.run_plan = plan
    await region.start()
    if not await start_jobs(region):
        return COULD_NOT_RUN
    if has_trouble:
        region.record.note("trouble: both jobs were submitted with a mistake and will fail")
        await asyncio.sleep(BEFORE_CANCEL_S)
        for name in BAD_JOBS:
            await region.withdraw(name)
        region.record.note("the trouble is over: the jobs with a mistake are cancelled")
    if not await region.submit(array_job(GOOD_JOB), first=1):
        return COULD_NOT_RUN
    return await watch(region)


async def watch(region: Region) -> int:
    """Ask for the good job until it is done, or until the time is over."""
    until = region.record.elapsed() + MAX_WAIT_S
    while region.record.elapsed() < until:
        if await region.stage(GOOD_JOB) == "done":
            region.record.note("held: the good job is done")
            return HELD
        rooms = [w.name for w in region.cloud.workers if w.has_room(region.jobs[GOOD_JOB])]
        if not rooms and not region.running(GOOD_JOB):
            region.record.note("could not run: no machine has room")
            return COULD_NOT_RUN
        region.record.note(f"machines up that fit and have room: {' '.join(rooms)}")
        await asyncio.sleep(POLL_S)
    region.record.note(
        f"broken: {GOOD_JOB} waited {MAX_WAIT_S:.0f} s, no attempt was started, and a machine "
        "that fits had room all the time"
    )
    return BROKEN


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play))
