"""Budgets and priorities of the stages of a pipeline: jobs joined by dependencies.

The paper's split (section III-C) is made over all of the pipeline that is not done, with the time
left to its deadline. Pure: the same facts give the same budgets on every controller.
"""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from .split import MachineOption, Stage, split


class PipelineStage(NamedTuple):
    """An unfinished job of a pipeline. `needs` names unfinished jobs only; `deadline` is when it
    has to be done, None if its user gave no deadline.
    """

    id: str
    priority: int
    tasks: int
    options: tuple[MachineOption, ...]
    margin_s: float
    dependencies: tuple[str, ...] = ()
    deadline: float | None = None


class StagePlan(NamedTuple):
    """A stage's place: the highest priority among it and all that need it, and when its budget
    ends (None without any deadline).
    """

    priority: int
    budget_end: float | None


def topological_order(stages: Mapping[str, PipelineStage]) -> list[str]:
    """Every stage after those it needs."""
    missing = {name: sum(n in stages for n in s.dependencies) for name, s in stages.items()}
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
    """The plan of every stage, with the split made as of `now`."""
    order = topological_order(stages)
    priorities = _inherited_priorities(stages, order)
    ends: dict[str, float] = {}
    for name in order:
        if stages[name].deadline is not None:
            for stage, end in _split_towards(stages, order, name, now).items():
                ends[stage] = min(end, ends.get(stage, end))
    return {name: StagePlan(priorities[name], ends.get(name)) for name in order}


def _inherited_priorities(
    stages: Mapping[str, PipelineStage], order: Sequence[str]
) -> dict[str, int]:
    priorities = {name: stages[name].priority for name in order}
    for name in reversed(order):
        for dependency in stages[name].dependencies:
            if dependency in priorities:
                priorities[dependency] = min(priorities[dependency], priorities[name])
    return priorities


def _before(stages: Mapping[str, PipelineStage], last: str) -> set[str]:
    """The stage and all that it needs, directly or through others."""
    found = {last}
    pending = [last]
    while pending:
        for dependency in stages[pending.pop()].dependencies:
            if dependency in stages and dependency not in found:
                found.add(dependency)
                pending.append(dependency)
    return found


def _split_towards(
    stages: Mapping[str, PipelineStage], order: Sequence[str], last: str, now: float
) -> dict[str, float]:
    """When the budgets end of all that has to be done for `last` to meet its deadline."""
    members = _before(stages, last)
    names = [name for name in order if name in members]
    places = {name: place for place, name in enumerate(names)}
    margins: list[float] = []
    split_stages: list[Stage] = []
    for name in names:
        stage = stages[name]
        after = tuple(
            places[dependency] for dependency in stage.dependencies if dependency in places
        )
        split_stages.append(Stage(stage.tasks, stage.options, after))
        margins.append(stage.margin_s + max((margins[place] for place in after), default=0.0))
    deadline = stages[last].deadline
    assert deadline is not None
    # a deadline that has passed leaves a negative time, which keeps the order among late ones
    shares = split(split_stages, deadline - margins[-1] - now)
    ends: list[float] = []
    for split_stage, share in zip(split_stages, shares, strict=True):
        begin = max((ends[place] for place in split_stage.after), default=now)
        ends.append(begin + share.budget_s)
    return dict(zip(names, ends, strict=True))
