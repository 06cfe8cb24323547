"""The frame of a case: runs it within its time, writes the record, ends all processes."""

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .world import World

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_S = 117.0

# the canteen's figures: kit/sites/jhb-canteen-shared.toml
CANTEEN: dict[str, Any] = {
    "report_s": 1.5,
    "lease_s": 10.0,
    "cancel_s": 30.0,
    "rps": 100.0,
    "write_rps": 40.0,
    "value_kb": 32.0,
    "txn_ops": 32,
    "cloud_rps": 6.0,
    "list_lag_s": 10.0,
    "cores": 0.54,
    "ram_mb": 146.0,
    "fd_limit": 800,
}
CANTEEN_FRAMES = [
    {
        "sku": "karoo-64",
        "cpus": 64.0,
        "cards": 0.0,
        "ramGb": 128.0,
        "cacheGb": 100.0,
        "fetchGbPerS": 1.0,
        "rate": 2.1,
        "spotPrice": 0.94,
        "bootS": 2.0,
        "yards": ["gauteng-north", "cape-south"],
    },
    {
        "sku": "veld-24g",
        "cpus": 24.0,
        "cards": 4.0,
        "ramGb": 96.0,
        "cacheGb": 200.0,
        "fetchGbPerS": 1.0,
        "rate": 9.32,
        "spotPrice": 3.88,
        "bootS": 2.0,
        "yards": ["gauteng-north", "cape-south"],
    },
    {
        "sku": "highveld-64g",
        "cpus": 64.0,
        "cards": 8.0,
        "ramGb": 512.0,
        "cacheGb": 800.0,
        "fetchGbPerS": 1.0,
        "rate": 15.28,
        "spotPrice": 6.84,
        "bootS": 3.0,
        "yards": ["gauteng-north", "cape-south"],
    },
]
CANTEEN_ZONES = ["gauteng-north", "cape-south"]
CANTEEN_TEAMS = [
    {"name": "ubuntu-kitchens", "gpus": 24.0, "gpus_max": 350.0},
    {"name": "braai-co-op", "gpus": 40.0, "gpus_max": 500.0},
    {"name": "campus-plates", "gpus": 40.0, "gpus_max": 350.0},
    {"name": "shared-platform", "gpus": 24.0, "gpus_max": 350.0},
    {"name": "diner-care", "gpus": 48.0, "gpus_max": 500.0},
]


def canteen(record: str, **options: Any) -> World:
    """Return a region with the canteen's figures; machines boot in 2 or 3 s."""
    return World(
        record,
        settings=CANTEEN,
        frames=CANTEEN_FRAMES,
        zones=CANTEEN_ZONES,
        teams=CANTEEN_TEAMS,
        **options,
    )


def nadi(record: str, **options: Any) -> World:
    """Return a region with Nadi's figures; machines boot in 2 or 3 s."""
    return World(record, **options)


class CannotRunError(Exception):
    """The case could not be brought into the state that it needs."""


async def wait_until(condition: Callable[[], Any], for_s: float, what: str) -> None:
    """Wait for a condition; the case can't run without it."""
    until = time.monotonic() + for_s
    while not condition():
        if time.monotonic() > until:
            raise CannotRunError(what)
        await asyncio.sleep(0.1)


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    folder: str, make: Callable[[str], World], case: Callable[[World], Awaitable[None]]
) -> None:
    """Run a case and exit with 0, 1 or 2."""
    world = make(str(Path(folder) / "record.txt"))

    async def play() -> int:
        try:
            world.note(f"trouble: {has_trouble()}")
            await asyncio.wait_for(case(world), MAX_S)
        except CannotRunError as exc:
            world.note(f"could not run: {exc}")
            return NOT_RUN
        except TimeoutError:
            world.note("could not run: out of time")
            return NOT_RUN
        except Exception:
            world.note(f"could not run: {traceback.format_exc()}")
            return NOT_RUN
        world.note(f"result: {'broken' if world.broken else 'held'}")
        return BROKEN if world.broken else HELD

    def stop(_number: int, _frame: object) -> None:
        world.end()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    code = NOT_RUN
    try:
        code = asyncio.new_event_loop().run_until_complete(play())
    finally:
        world.end()
        sys.stdout.flush()
        # the loop's connections are left to the end of the process
        os._exit(code)
