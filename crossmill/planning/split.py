"""The latency split of the Piccolo paper (section III-C): divides a pipeline's deadline by stage.

A stage is a job; an option is a machine type. Every stage starts with its fastest and most
expensive option. As long as the pipeline still meets its deadline, one stage at a time is switched
to another option, and the switch that saves the most cost per added second of finish time comes
first. The functions are pure. Pipeline planning and capacity planning call `split`.
"""

from collections.abc import Iterator, Sequence
from math import inf
from typing import NamedTuple


class MachineOption(NamedTuple):
    """A machine type that a stage may use.

    Attributes:
        name: Name that identifies the option.
        price: Price of one machine; for a spot machine the on-demand price of its type.
        throughput: Tasks per second of one whole machine.
        finish_s: Seconds until the stage is estimated to finish on this option.
    """

    name: str
    price: float
    throughput: float
    finish_s: float

    def cost(self, tasks: float) -> float:
        """Return the cost of the given number of tasks with this option."""
        return self.price * tasks / self.throughput


class Stage(NamedTuple):
    """A stage's tasks, its options, and the positions of the stages that it depends on."""

    tasks: float
    options: tuple[MachineOption, ...]
    dependencies: tuple[int, ...] = ()


class StageBudget(NamedTuple):
    """The option chosen for a stage, and the stage's share of the deadline in seconds."""

    option: MachineOption
    budget_s: float


class _Switch(NamedTuple):
    """Another option for a stage, and its cost saving per added second of finish time."""

    gain: float
    stage: int
    option: MachineOption


def _path_ends(stages: Sequence[Stage], chosen: Sequence[MachineOption]) -> list[float]:
    """Return the length of the longest path that ends with each stage, in seconds."""
    ends: list[float] = []
    for stage, option in zip(stages, chosen, strict=True):
        ends.append(option.finish_s + max((ends[i] for i in stage.dependencies), default=0.0))
    return ends


def _path_through(stages: Sequence[Stage], chosen: Sequence[MachineOption]) -> list[float]:
    """Return the length of the longest path through each stage, in seconds."""
    ends = _path_ends(stages, chosen)
    # the length of the longest path that begins after each stage
    tails = [0.0] * len(stages)
    for index in range(len(stages) - 1, -1, -1):
        length = tails[index] + chosen[index].finish_s
        for dependency in stages[index].dependencies:
            tails[dependency] = max(tails[dependency], length)
    return [end + tail for end, tail in zip(ends, tails, strict=True)]


def _switches(stage: Stage, index: int, old: MachineOption, slack_s: float) -> Iterator[_Switch]:
    """Yield switches to cheaper options whose added time fits the slack of the stage's paths."""
    cost = old.cost(stage.tasks)
    for new in stage.options:
        saved = cost - new.cost(stage.tasks)
        added = new.finish_s - old.finish_s
        if new is old or saved <= 0 or added > slack_s:
            continue
        # a cheaper option that is not slower is better than any that adds time
        yield _Switch(saved / added if added > 0 else inf, index, new)


def _choose(stages: Sequence[Stage], deadline_s: float) -> list[MachineOption]:
    """Choose every stage's option.

    A switch lengthens only the paths through its stage, so one pass over the edges per step is
    enough to check all candidate switches.
    """
    chosen = [
        min(stage.options, key=lambda option: (option.finish_s, -option.price)) for stage in stages
    ]
    while True:
        paths = _path_through(stages, chosen)
        # too long even with the fastest options: no switch shortens the pipeline
        if max(paths, default=0.0) > deadline_s:
            return chosen
        candidates = (
            switch
            for index, stage in enumerate(stages)
            for switch in _switches(stage, index, chosen[index], deadline_s - paths[index])
        )
        best = max(candidates, key=lambda switch: switch.gain, default=None)
        if best is None:
            return chosen
        chosen[best.stage] = best.option


def split(stages: Sequence[Stage], deadline_s: float) -> list[StageBudget]:
    """Return each stage's option and budget.

    Stages are given in topological order. A stage's budget is the deadline times the stage's share
    of the longest path through it.
    """
    chosen = _choose(stages, deadline_s)
    paths = _path_through(stages, chosen)
    return [
        StageBudget(option, option.finish_s / path * deadline_s if path > 0 else deadline_s)
        for option, path in zip(chosen, paths, strict=True)
    ]
