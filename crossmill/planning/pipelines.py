"""The queue's order: priorities and budgets of single jobs and of the stages of pipelines.

Jobs that are connected by dependencies are the stages of a pipeline. `split` divides the time left
to the deadline among its unfinished stages. The functions are pure: the same records yield the same
budgets on every controller. `fleet.pipelines` calls them when a pipeline changes.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..wire.users import JobSpec
from .split import MachineOption, Stage, split

# rank of each priority; 0 is the highest
PRIORITY = {"production": 0, "high": 1, "normal": 2, "low": 3}


class QueuePosition(NamedTuple):
    """A job's position in the queue, ordered by priority (0 is the highest), then by budget end.

    `budget_end` is a wall-clock time in seconds. Without a deadline it only determines the queue
    order.
    """

    priority: int
    budget_end: float
    has_deadline: bool


def queue_position(spec: JobSpec, end: float) -> QueuePosition:
    """Return the position of a job outside any pipeline; `end` is when its budget ends."""
    return QueuePosition(PRIORITY[spec.priority], end, spec.deadline_s is not None)


def budget_end(
    spec: JobSpec,
    submitted_at: float,
    ready_at: float,
    margin_s: float,
    default_queue_time_s: float,
) -> float:
    """Return the wall-clock time at which the budget of a job outside any pipeline ends.

    The job gets all the time until its deadline, which counts from submission, minus the margin.
    Without a deadline the budget is a fixed waiting time from when the job became ready.
    """
    if spec.deadline_s is None:
        return ready_at + default_queue_time_s
    return submitted_at + max(0.0, spec.deadline_s - margin_s)


class PipelineStage(NamedTuple):
    """An unfinished job of a pipeline.

    Attributes:
        id: ID of the job.
        priority: Its own priority; 0 is the highest.
        tasks: Number of its tasks.
        options: The machine types that it may use.
        margin_s: Safety margin in seconds for the error of its run time estimate.
        dependencies: IDs of the unfinished jobs that it depends on.
        deadline: Wall-clock time by which it has to be done; None if its user gave no deadline.
    """

    id: str
    priority: int
    tasks: int
    options: tuple[MachineOption, ...]
    margin_s: float
    dependencies: tuple[str, ...] = ()
    deadline: float | None = None


class StagePlan(NamedTuple):
    """A stage's priority and budget in the queue.

    Attributes:
        priority: The highest priority among the stage and all stages that depend on it.
        budget_end: Wall-clock time at which its budget ends; None if neither it nor a stage that
            depends on it has a deadline.
    """

    priority: int
    budget_end: float | None


def topological_order(stages: Mapping[str, PipelineStage]) -> list[str]:
    """Return the stage IDs ordered so that each stage follows the stages it depends on."""
    missing = {
        name: sum(dependency in stages for dependency in stage.dependencies)
        for name, stage in stages.items()
    }
    dependents: dict[str, list[str]] = {name: [] for name in stages}
    for name, stage in stages.items():
        for dependency in stage.dependencies:
            if dependency in dependents:
                dependents[dependency].append(name)
    order = [name for name in stages if not missing[name]]
    for name in order:
        for dependent in dependents[name]:
            missing[dependent] -= 1
            if not missing[dependent]:
                order.append(dependent)
    return order


def plan_pipeline(stages: Mapping[str, PipelineStage], wall_time: float) -> dict[str, StagePlan]:
    """Return the plan of every stage, with the latency split as of `wall_time`."""
    order = topological_order(stages)
    priorities = _inherited_priorities(stages, order)
    ends: dict[str, float] = {}
    for name in order:
        deadline = stages[name].deadline
        if deadline is not None:
            for stage, end in _budget_ends(stages, order, name, deadline, wall_time).items():
                ends[stage] = min(end, ends.get(stage, end))
    return {name: StagePlan(priorities[name], ends.get(name)) for name in order}


def _inherited_priorities(
    stages: Mapping[str, PipelineStage], order: Sequence[str]
) -> dict[str, int]:
    """Return for each stage the highest priority among it and the stages that depend on it."""
    priorities = {name: stages[name].priority for name in order}
    for name in reversed(order):
        for dependency in stages[name].dependencies:
            if dependency in priorities:
                priorities[dependency] = min(priorities[dependency], priorities[name])
    return priorities


def _with_dependencies(stages: Mapping[str, PipelineStage], last: str) -> set[str]:
    """Return `last` and all stages that it depends on, directly or indirectly."""
    found = {last}
    pending = [last]
    while pending:
        for dependency in stages[pending.pop()].dependencies:
            if dependency in stages and dependency not in found:
                found.add(dependency)
                pending.append(dependency)
    return found


def _budget_ends(
    stages: Mapping[str, PipelineStage],
    order: Sequence[str],
    last: str,
    deadline: float,
    wall_time: float,
) -> dict[str, float]:
    """Return when the budgets of `last` and of its dependencies end, in wall-clock time."""
    members = _with_dependencies(stages, last)
    names = [name for name in order if name in members]
    positions = {name: position for position, name in enumerate(names)}
    margins: list[float] = []
    split_stages: list[Stage] = []
    for name in names:
        stage = stages[name]
        dependencies = tuple(
            positions[dependency] for dependency in stage.dependencies if dependency in positions
        )
        split_stages.append(Stage(stage.tasks, stage.options, dependencies))
        margins.append(
            stage.margin_s + max((margins[position] for position in dependencies), default=0.0)
        )
    # after the deadline the remaining time is negative, which preserves the order of late stages
    budgets = split(split_stages, deadline - margins[-1] - wall_time)
    ends: list[float] = []
    for split_stage, budget in zip(split_stages, budgets, strict=True):
        starts_at = max(
            (ends[position] for position in split_stage.dependencies), default=wall_time
        )
        ends.append(starts_at + budget.budget_s)
    return dict(zip(names, ends, strict=True))
