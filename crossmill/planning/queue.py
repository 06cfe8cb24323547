"""The order in which waiting jobs get room: priority, then budget end."""

import math
from collections.abc import Sequence

from ..wire.users import JobSpec

PRIORITY = {"production": 0, "high": 1, "normal": 2, "low": 3}


def budget_end(spec: JobSpec, submitted: float, margin_s: float, fixed_wait_s: float) -> float:
    """A pipeline is one job today, so a stage's budget is all of the deadline, less the
    margin; jobs without a deadline use arrival plus a fixed wait."""
    if spec.deadline_s is None:
        return submitted + fixed_wait_s
    return submitted + max(0.0, spec.deadline_s - margin_s)


def replanned_end(
    spec: JobSpec, end: float, needed_s: float, now: float, times: Sequence[float]
) -> float:
    """A late stage is planned anew: for the next of the deadline's multiples that the objectives
    name, then half a deadline at a time. By its old budget it would stand before all that can
    still be in time, and each would be late in its turn."""
    if spec.deadline_s is None or now + needed_s <= end:
        return end
    for multiple in times:
        later = end + (multiple - 1.0) * spec.deadline_s
        if multiple > 1.0 and now + needed_s <= later:
            return later
    last = end + (max(times, default=1.0) - 1.0) * spec.deadline_s
    step = max(spec.deadline_s / 2, 1e-3)
    return last + max(1, math.ceil((now + needed_s - last) / step)) * step


def place_in_queue(spec: JobSpec, end: float) -> tuple[int, float]:
    return PRIORITY[spec.priority], end
