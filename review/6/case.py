"""A controller with the recovery file ends while machines don't hear its answers."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.case import CannotRunError, has_trouble, nadi, run, wait_until
from standins2.http import CREATED, OK
from standins2.world import World

WARM, JOB, TEAM = "wk-000001", "wk-000002", "records-room"
TASKS = 24
DEAF_S, KILL_AFTER_S, BACK_S = 5.0, 2.0, 4.0
# "once the troubles are over, no job is left waiting for 90 s while a machine that fits has room"
WAIT_S = 90.0


def make(record: str) -> World:
    """Return a region whose controllers have the recovery file of deploy/."""
    return nadi(
        record, serve_arguments=["serve"], extra_arguments=["--recovery", "deploy/recovery.toml"]
    )


def owner_of(world: World, job: str) -> str:
    """Return the controller that started tasks of the job: the owner of their machines' shard."""
    for key, (value, _, _) in world.state.keys.items():
        if key.startswith(f"cm/p/{job}/") and value["rows"]:
            machine = world.state.keys["cm/m/" + value["rows"][0][2]][0]
            return str(world.state.keys[f"cm/s/{machine['shard']}"][0]["owner"])
    raise CannotRunError("no task of the job is planned")


async def case(world: World) -> None:
    """Warm up some machines, submit the job, and let the two troubles meet."""
    await world.start()
    fields = {
        "crew": TEAM,
        "sacks": TASKS,
        "cpus": 4.0,
        "cards": 0.0,
        "grindS": 3.0,
        "loaners": False,
    }
    await world.submit(world.job(1, **fields))
    await wait_until(lambda: len(world.results) == TASKS, 40, "the first array did not run")
    await asyncio.sleep(2.0)
    workers = list(world.workers.values())
    if has_trouble():
        world.note(f"trouble: {len(workers)} machines hear no answers and commands {DEAF_S} s")
        for worker in workers:
            worker.is_deaf = True
    began = time.monotonic()
    if await world.submit(world.job(2, **fields)) not in (OK, CREATED):
        raise CannotRunError("the job was not accepted")
    if has_trouble():
        await asyncio.sleep(began + KILL_AFTER_S - time.monotonic())
        owner = world.controllers[owner_of(world, JOB)]
        world.note(f"trouble: {owner.label} ends, back in {BACK_S} s")
        owner.kill()
        await asyncio.sleep(began + DEAF_S - time.monotonic())
        for worker in workers:
            worker.is_deaf = False
        world.note("the machines hear again")
        await asyncio.sleep(began + KILL_AFTER_S + BACK_S - time.monotonic())
        owner.start()
        world.note(f"{owner.label} is back; all troubles are over")
    over = time.monotonic()
    while time.monotonic() - over < WAIT_S:
        await asyncio.sleep(1.0)
        await world.ask("GET", f"/v1/jobs/{JOB}", timeout_s=2.0)
        if JOB in world.told_done:
            world.note(f"{JOB} is done {time.monotonic() - over:.1f} s after the troubles")
            return
    started = sum(f"{JOB}/{i}" in world.on for i in range(TASKS))
    room = [w.name for w in world.workers.values() if not w.tasks]
    braked = [k for k in world.state.keys if k.startswith("cm/r/")]
    world.note(f"empty machines: {room}; recovery keys: {braked}")
    if started < TASKS and room:
        world.break_rule(
            "forgotten",
            f"accepted {JOB} waits {WAIT_S:.0f} s after all troubles: {started} of "
            f"{TASKS} tasks were started, while {len(room)} machines are empty",
        )


if __name__ == "__main__":
    run(str(Path(__file__).resolve().parent), make, case)
