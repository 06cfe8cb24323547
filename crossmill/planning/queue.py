"""The order in which waiting jobs get room: priority, then budget end."""

from ..wire.users import JobSpec

PRIORITY = {"production": 0, "high": 1, "normal": 2, "low": 3}


def budget_end(spec: JobSpec, submitted: float, margin_s: float, fixed_wait_s: float) -> float:
    """A pipeline is one job today, so a stage's budget is all of the deadline, less the
    margin; jobs without a deadline use arrival plus a fixed wait."""
    if spec.deadline_s is None:
        return submitted + fixed_wait_s
    return submitted + max(0.0, spec.deadline_s - margin_s)


def place_in_queue(spec: JobSpec, end: float) -> tuple[int, float]:
    return PRIORITY[spec.priority], end
