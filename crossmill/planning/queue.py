"""The order of waiting jobs in the queue: priority, then the end of the job's budget.

The functions are pure. The pipeline budgets call them for jobs that no other job depends on.
"""

from typing import NamedTuple

from ..wire.users import JobSpec

# rank of each priority; 0 is the highest
PRIORITY = {"production": 0, "high": 1, "normal": 2, "low": 3}


class QueuePlace(NamedTuple):
    """Where a job stands in the queue: by priority (0 is the highest), then by budget end.

    `budget_end` is in seconds of wall time. Without a deadline it is a place in the queue only.
    """

    priority: int
    budget_end: float
    has_deadline: bool


def place_in_queue(spec: JobSpec, end: float) -> QueuePlace:
    """Return the place of a job that is a pipeline by itself and whose budget ends then."""
    return QueuePlace(PRIORITY[spec.priority], end, spec.deadline_s is not None)


def budget_end(
    spec: JobSpec, submitted: float, ready_at: float, margin_s: float, default_queue_wait_s: float
) -> float:
    """Return when the budget ends of a job that is a pipeline by itself, in wall time.

    The only stage gets all the time to the deadline, which counts from the submission, less the
    margin. Without a deadline the budget is a fixed wait from when the job could begin.
    """
    if spec.deadline_s is None:
        return ready_at + default_queue_wait_s
    return submitted + max(0.0, spec.deadline_s - margin_s)
