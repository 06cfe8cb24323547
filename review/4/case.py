"""A pipeline of three stages, one of whose tasks fails once."""

import asyncio
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.case import CannotRunError, canteen, has_trouble, run, wait_until
from standins2.http import CREATED, OK, spawn
from standins2.world import World

# the jobs of each stage; each waits for all of the stage before
STAGES = (120, 120, 100)
SERVICE = "wk-900001"
# "once all troubles are over, a job about which no question is answered for 75 s"
UNANSWERED_S = 75.0
NOTE_EVERY_S = 5.0
TASK_S, DUE_S = 300.0, 3600.0


class Answers:
    """When a question about the service was last answered, by any controller."""

    def __init__(self) -> None:
        self.last_at = time.monotonic()

    async def ask(self, world: World, label: str) -> None:
        """Ask one controller again and again, as users do, each question for 2 s."""
        while True:
            status, _ = await world.ask("GET", f"/v1/jobs/{SERVICE}", node=label, timeout_s=2.0)
            if status == OK:
                self.last_at = time.monotonic()
            await asyncio.sleep(1.0)

    def silent_s(self) -> float:
        """Return for how long no question was answered."""
        return time.monotonic() - self.last_at


async def submit_all(world: World, jobs: list[dict[str, Any]]) -> None:
    """Submit the jobs as several users do, a few at a time."""
    turn = asyncio.Semaphore(12)

    async def one(job: dict[str, Any]) -> int:
        async with turn:
            return await world.submit(job)

    statuses = await asyncio.gather(*[one(job) for job in jobs])
    if any(status not in (OK, CREATED) for status in statuses):
        raise CannotRunError(f"not all jobs were accepted: {set(statuses)}")


def stage_job(world: World, stage: int, number: int, awaits: list[str]) -> dict[str, Any]:
    """Return a job of the pipeline; users set the deadline on the last ones only."""
    fields: dict[str, Any] = {"awaits": awaits} if awaits else {}
    if stage == len(STAGES) - 1:
        fields["dueS"] = DUE_S
    return world.job(
        1000 * stage + number,
        grist=f"stage-{stage}",
        crew="braai-co-op",
        sacks=1,
        cpus=2.0,
        cards=0.0,
        ramGb=1.6,
        grindS=TASK_S,
        loaners=True,
        **fields,
    )


def all_run(world: World, sacks: list[str]) -> bool:
    """Return whether all these tasks are on a machine."""
    return all(world.on.get(sack) for sack in sacks)


async def build(world: World) -> list[str]:
    """Submit the service and the pipeline; return the jobs of the first stage, which run."""
    await world.submit(
        world.job(
            900001,
            cut="service",
            grist="order-gate",
            crew="shared-platform",
            sacks=2,
            cpus=4.0,
            precedence="production",
            cards=0.0,
            ramGb=7.3,
            grindS=0.0,
            loaners=False,
        )
    )
    first: list[str] = []
    awaits: list[str] = []
    for stage, number in enumerate(STAGES):
        jobs = [stage_job(world, stage, i, awaits) for i in range(number)]
        await submit_all(world, jobs)
        awaits = [str(job["nameId"]) for job in jobs]
        if not first:
            first = awaits
            sacks = [*(f"{name}/0" for name in first), f"{SERVICE}/0", f"{SERVICE}/1"]
            await wait_until(partial(all_run, world, sacks), 30, "no room")
    world.note(f"pipeline accepted: {len(world.accepted)} jobs, all of the first stage run")
    return first


def fail_one(world: World, sack: str) -> None:
    """Let one task fail once."""
    for worker in world.workers.values():
        for task in worker.tasks.values():
            if task.sack == sack:
                world.note(f"trouble: {sack} fails on {worker.name}, cause error")
                worker.fail(task)
                return
    raise CannotRunError(f"{sack} does not run")


async def case(world: World) -> None:
    """Build the pipeline, let one task fail, and ask about a standing service."""
    await world.start()
    first = await build(world)
    answers = Answers()
    for label in world.labels:
        spawn(answers.ask(world, label))
    await asyncio.sleep(1.0)
    if has_trouble():
        fail_one(world, f"{first[0]}/0")
    began, noted_s = time.monotonic(), 0.0
    while time.monotonic() - began < UNANSWERED_S + NOTE_EVERY_S:
        await asyncio.sleep(0.25)
        silent_s = answers.silent_s()
        if silent_s > noted_s + NOTE_EVERY_S:
            noted_s = silent_s
            world.note(f"no answer about {SERVICE} from any controller for {silent_s:.0f} s")
        if silent_s > UNANSWERED_S:
            lost = sum(worker.sessions_lost for worker in world.workers.values())
            running = sum(bool(world.on.get(f"{SERVICE}/{i}")) for i in range(2))
            world.break_rule(
                "forgotten",
                f"no question about {SERVICE} was answered for {UNANSWERED_S:.0f} s; {lost} "
                f"workers lost their leases, {running} of its 2 replicas run",
            )
            return


if __name__ == "__main__":
    run(str(Path(__file__).resolve().parent), canteen, case)
