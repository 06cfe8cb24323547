"""Two replicas of a service fail, each once and on another machine; both must run again."""

import asyncio
import sys
from pathlib import Path

from standins.case import BROKEN, COULD_NOT_RUN, HELD, run
from standins.region import Region, service_job
from standins.worker import Worker

# "no job is left waiting for 90 s while a machine that fits has room"
MAX_WAIT_S = 90.0
POLL_S = 0.5
CALM_S = 10.0
SERVICE, PROBE = "wk-000001", "wk-000002"
REPLICAS = 4


def fail_one(region: Region, failed: list[Worker]) -> None:
    """Let one replica fail on a machine on which none has failed."""
    worker = max(
        (w for w in region.cloud.workers if w not in failed), key=lambda w: len(w.running(SERVICE))
    )
    region.record.note(f"trouble: a replica on {worker.name} exits with error, once")
    worker.fail(worker.running(SERVICE)[0])
    failed.append(worker)


async def play(region: Region, has_trouble: bool) -> int:
    """Play the case and return its exit code."""
    await region.start()
    spec = service_job(SERVICE, REPLICAS)
    if not await region.submit(spec) or not await region.wait_running(SERVICE, REPLICAS):
        return COULD_NOT_RUN
    await region.settle()
    failed: list[Worker] = []
    if has_trouble:
        fail_one(region, failed)
        if not await region.wait_running(SERVICE, REPLICAS):
            return COULD_NOT_RUN
        fail_one(region, failed)
    # another service of the same shape starts, so there is room; then it is cancelled
    if not await region.submit(service_job(PROBE, 1)) or not await region.wait_running(PROBE, 1):
        return COULD_NOT_RUN
    await region.withdraw(PROBE)
    if not await region.wait_running(PROBE, 0):
        return COULD_NOT_RUN
    if not has_trouble:
        await asyncio.sleep(CALM_S)
        return HELD if region.running(SERVICE) == REPLICAS else BROKEN
    return await watch(region, failed)


async def watch(region: Region, failed: list[Worker]) -> int:
    """Wait for the missing replica while a machine without any failure has room."""
    spec = region.jobs[SERVICE]
    since, shown = region.record.elapsed(), ""
    while region.record.elapsed() < since + MAX_WAIT_S:
        number = region.running(SERVICE)
        if number == REPLICAS:
            region.record.note("held: all replicas run again")
            return HELD
        rooms = [w.name for w in region.cloud.workers if w not in failed and w.has_room(spec)]
        if not rooms:
            region.record.note("could not run: no machine without a failure has room")
            return COULD_NOT_RUN
        text = f"{number} of {REPLICAS} replicas run; room, and no failure, on {' '.join(rooms)}"
        if text != shown:
            region.record.note(text)
            shown = text
        await asyncio.sleep(POLL_S)
    await region.stage(SERVICE)
    region.record.note(f"broken: a replica waited {MAX_WAIT_S:.0f} s while a machine had room")
    return BROKEN


if __name__ == "__main__":
    sys.exit(run(Path(__file__).parent, play))
