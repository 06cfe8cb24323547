"""Tests of run time estimates and of the order of the job queue."""

from typing import NamedTuple

import pytest

from crossmill.planning.estimates import Estimates
from crossmill.planning.pipelines import QueuePosition, budget_end, queue_position

from .builders import make_spec


def test_margin_of_a_class_without_runs_is_the_default() -> None:
    assert Estimates().margin_s("chat", 100.0) == pytest.approx(30.0)


def test_expected_time_and_margin_follow_recent_runs() -> None:
    estimates = Estimates()
    for ratio in [1.0] * 6 + [1.5] * 4:
        estimates.record_run("chat", 100.0, 100.0 * ratio)
    assert estimates.task_s("chat", 10.0) == pytest.approx(10.0)
    assert estimates.margin_s("chat", 10.0) == pytest.approx(5.0)


@pytest.mark.parametrize(("due_s", "end"), [(50.0, 140.0), (500.0, 590.0), (None, 133.0)])
def test_budget_ends_a_margin_before_the_deadline_or_after_a_fixed_waiting_time(
    due_s: float | None, end: float
) -> None:
    assert budget_end(make_spec(dueS=due_s), 100.0, 100.0, 10.0, 33.0) == end


def test_queue_is_ordered_by_priority_before_budget_end() -> None:
    first = queue_position(make_spec(precedence="production"), 999.0)
    assert first < queue_position(make_spec(dueS=50.0), 0.0)


class _QueuedTasks(NamedTuple):
    """Tasks of a job in the simulated queue."""

    position: QueuePosition
    name: str
    tasks: int


@pytest.mark.parametrize("large", [{"dueS": 60.0}, {"dueS": None}])
def test_no_job_is_passed_over_indefinitely_by_newer_ones(large: dict[str, float | None]) -> None:
    """For minutes, more work arrives than can be done.

    The large job, with or without a deadline, still starts about when its budget ends, since the
    budgets of later jobs end later.
    """
    slots, default_queue_time_s, large_tasks = 8, 45.0, 90
    waiting: list[_QueuedTasks] = []
    large_done_at: list[int] = []
    for second in range(250):
        arrivals = [("small", make_spec(dueS=30.0), 5)] * 2
        if second == 10:
            arrivals.append(("large", make_spec(**large), large_tasks))
        for name, spec, tasks in arrivals:
            end = budget_end(spec, float(second), float(second), 0.0, default_queue_time_s)
            waiting.append(_QueuedTasks(queue_position(spec, end), name, tasks))
        waiting.sort()
        free = slots
        while free and waiting:
            first = waiting.pop(0)
            done = min(free, first.tasks)
            free -= done
            if first.name == "large":
                large_done_at += [second] * done
            if first.tasks > done:
                waiting.insert(0, first._replace(tasks=first.tasks - done))
    assert len(large_done_at) == large_tasks
    # the large job starts close to the end of its budget
    end = 10 + (large["dueS"] or default_queue_time_s)
    assert end - 30 < large_done_at[0] <= end + 30
