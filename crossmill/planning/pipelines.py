"""The queue's order: priorities and budgets of single jobs and of the stages of pipelines.

Jobs that are joined by dependencies are the stages of a pipeline. The paper's latency split
(section III-C) is made over its unfinished part, with the time left to its deadline. The functions
are pure: the same records give the same budgets on every controller. `fleet.pipelines` calls them
when a pipeline changes.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..wire.users import JobSpec
from .split import MachineOption, Stage, split

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
    spec: JobSpec, submitted: float, ready_at: float, margin_s: float, default_queue_time_s: float
) -> float:
    """Return when the budget ends of a job that is a pipeline by itself, in wall time.

    The only stage gets all the time to the deadline, which counts from the submission, less the
    margin. Without a deadline the budget is a fixed wait from when the job could begin.
    """
    if spec.deadline_s is None:
        return ready_at + default_queue_time_s
    return submitted + max(0.0, spec.deadline_s - margin_s)


class PipelineStage(NamedTuple):
    """An unfinished job of a pipeline.

    Attributes:
        id: Id of the job.
        priority: Its own priority; 0 is the highest.
        tasks: How many tasks it has.
        options: The machine types that it may use.
        margin_s: Safety margin for the error of its estimate.
        dependencies: Ids of the unfinished jobs that it depends on.
        deadline: When it has to be done, in wall time; None if its user gave no deadline.
    """

    id: str
    priority: int
    tasks: int
    options: tuple[MachineOption, ...]
    margin_s: float
    dependencies: tuple[str, ...] = ()
    deadline: float | None = None


class StagePlan(NamedTuple):
    """Where a stage stands in the queue.

    Attributes:
        priority: The highest priority among the stage and all that depend on it.
        budget_end: When its budget ends, in wall time; None without any deadline.
    """

    priority: int
    budget_end: float | None


def topological_order(stages: Mapping[str, PipelineStage]) -> list[str]:
    """Order the stages so that each comes after those it depends on."""
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


def plan_pipeline(stages: Mapping[str, PipelineStage], now: float) -> dict[str, StagePlan]:
    """Plan every stage, with the latency split made as of `now` in wall time."""
    order = topological_order(stages)
    priorities = _inherited_priorities(stages, order)
    ends: dict[str, float] = {}
    for name in order:
        deadline = stages[name].deadline
        if deadline is not None:
            for stage, end in _budget_ends(stages, order, name, deadline, now).items():
                ends[stage] = min(end, ends.get(stage, end))
    return {name: StagePlan(priorities[name], ends.get(name)) for name in order}


def _inherited_priorities(
    stages: Mapping[str, PipelineStage], order: Sequence[str]
) -> dict[str, int]:
    """Return the highest priority among each stage and those that depend on it."""
    priorities = {name: stages[name].priority for name in order}
    for name in reversed(order):
        for dependency in stages[name].dependencies:
            if dependency in priorities:
                priorities[dependency] = min(priorities[dependency], priorities[name])
    return priorities


def _with_dependencies(stages: Mapping[str, PipelineStage], last: str) -> set[str]:
    """Return the stage and all that it depends on, directly or through others."""
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
    now: float,
) -> dict[str, float]:
    """Return when the budgets end of all stages that `last` needs to meet the deadline."""
    members = _with_dependencies(stages, last)
    names = [name for name in order if name in members]
    positions = {name: position for position, name in enumerate(names)}
    margins: list[float] = []
    split_stages: list[Stage] = []
    for name in names:
        stage = stages[name]
        after = tuple(
            positions[dependency] for dependency in stage.dependencies if dependency in positions
        )
        split_stages.append(Stage(stage.tasks, stage.options, after))
        margins.append(stage.margin_s + max((margins[position] for position in after), default=0.0))
    # a deadline that has passed leaves a negative time, which keeps the order among late stages
    budgets = split(split_stages, deadline - margins[-1] - now)
    ends: list[float] = []
    for split_stage, budget in zip(split_stages, budgets, strict=True):
        begin = max((ends[position] for position in split_stage.after), default=now)
        ends.append(begin + budget.budget_s)
    return dict(zip(names, ends, strict=True))
