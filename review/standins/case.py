"""Runs a case: its record, its region, its exit code."""

import asyncio
import os
import signal
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from .record import Record
from .region import Region

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# plays a case in a region that has not started yet, with or without the disruption
Play = Callable[[Region, bool], Awaitable[int]]


def run(folder: Path, play: Play, extra: Sequence[str] = ()) -> int:
    """Run a case, write its record into the folder, end all processes; return the exit code.

    Args:
        folder: The folder of the case.
        play: Plays the case and returns its exit code.
        extra: Further arguments of the controllers' command.
    """
    return asyncio.run(_run_until_ended(folder, play, extra))


async def _run_until_ended(folder: Path, play: Play, extra: Sequence[str]) -> int:
    """Run a case; SIGTERM ends it in order, so that no process is left."""
    case = asyncio.ensure_future(_run(folder, play, extra))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, case.cancel)
    try:
        return await case
    except asyncio.CancelledError:
        return COULD_NOT_RUN


async def _run(folder: Path, play: Play, extra: Sequence[str]) -> int:
    record = Record(folder / "record.txt")
    region = Region(record, extra)
    try:
        return await play(region, os.environ.get("TROUBLE") != "0")
    except Exception:
        record.note("could not run: " + traceback.format_exc())
        return COULD_NOT_RUN
    finally:
        region.end()
