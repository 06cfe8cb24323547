"""The cloud is full, and a machine of another team's shard has room."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.case import CannotRunError, has_trouble, nadi, run, wait_until
from standins2.http import CREATED, OK
from standins2.world import World

SERVICE, JOB = "wk-900001", "wk-000002"
# "no job is left waiting for 90 s while a machine that fits has room"
WAIT_S = 90.0


async def case(world: World) -> None:
    """Let one team use a part of the only machine, and another team submit an array."""
    kinds = [
        (f["sku"], yard, spot)
        for f in world.frames
        for yard in f["yards"]
        for spot in (False, True)
    ]
    if has_trouble():
        world.cloud.capacity = dict.fromkeys(kinds, 0)
        world.cloud.capacity["reef-48g", "viti-west", False] = 1
        world.note("trouble: the cloud has one machine and no more")
    await world.start()
    await world.submit(
        world.job(
            900001,
            cut="service",
            grist="reply-drafter",
            crew="counter-desk",
            sacks=1,
            cpus=8.0,
            precedence="production",
            cards=2.0,
            ramGb=40.0,
            grindS=0.0,
            loaners=False,
        )
    )
    await wait_until(lambda: world.on.get(f"{SERVICE}/0"), 30, "the service never ran")
    await asyncio.sleep(1.0)
    status = await world.submit(
        world.job(2, crew="records-room", sacks=2, cpus=4.0, cards=1.0, ramGb=20.0, grindS=5.0)
    )
    if status not in (OK, CREATED):
        raise CannotRunError(f"the array was not accepted: {status}")
    accepted = time.monotonic()
    while time.monotonic() - accepted < WAIT_S:
        await asyncio.sleep(1.0)
        await world.ask("GET", f"/v1/jobs/{JOB}", timeout_s=2.0)
        if JOB in world.told_done:
            world.note(f"{JOB} is done after {time.monotonic() - accepted:.1f} s")
            return
    worker = next(iter(world.workers.values()))
    tasks = [t.sack for t in worker.tasks.values()]
    world.note(f"{worker.name} has {worker.frame['cards']} GPUs, on it: {tasks}")
    if JOB not in world.started_at:
        world.break_rule(
            "left_waiting",
            f"{JOB} (two tasks of 4 CPUs and 1 GPU) was not started in {WAIT_S:.0f} s, while "
            f"{worker.name} has 40 CPUs and 2 GPUs free and its team has no limit",
        )


if __name__ == "__main__":
    run(str(Path(__file__).resolve().parent), nadi, case)
