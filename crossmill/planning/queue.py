"""The order in which waiting jobs get room: priority, then budget end."""

from ..wire.users import JobSpec

PRIORITY = {"production": 0, "high": 1, "normal": 2, "low": 3}


def budget_end(
    spec: JobSpec, submitted: float, ready_at: float, margin_s: float, default_queue_wait_s: float
) -> float:
    """Of a job that is a pipeline by itself: its stage's budget is all of the deadline, which
    counts from the submission, less the margin. Without a deadline the place in the queue is a
    fixed wait after the job could begin.
    """
    if spec.deadline_s is None:
        return ready_at + default_queue_wait_s
    return submitted + max(0.0, spec.deadline_s - margin_s)


def place_in_queue(spec: JobSpec, end: float) -> tuple[int, float]:
    """The sort key of a job that no other needs."""
    return PRIORITY[spec.priority], end
