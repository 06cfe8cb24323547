"""The paper's latency split (its section III-C): divides a deadline among a pipeline's stages.

A stage is a job; an option is a machine type. Every stage starts on its fastest, costliest option.
Then, as long as the pipeline keeps its deadline, the switch to another option that saves most cost
per added second of finish time is made. The functions are pure; pipeline planning and capacity
planning call `split`.
"""

from collections.abc import Iterator, Sequence
from math import inf
from typing import NamedTuple


class MachineOption(NamedTuple):
    """A machine type that a stage may use.

    Attributes:
        name: Identifies the option.
        price: Price of one machine; for a spot machine that of its on-demand type.
        throughput: Tasks per second of one whole machine.
        finish_s: Seconds until the stage is estimated to finish on this option.
    """

    name: str
    price: float
    throughput: float
    finish_s: float

    def cost(self, tasks: float) -> float:
        """Return what so many tasks cost on this option."""
        return self.price * tasks / self.throughput


class Stage(NamedTuple):
    """A stage's tasks, its options, and the positions of the stages that it depends on."""

    tasks: float
    options: tuple[MachineOption, ...]
    after: tuple[int, ...] = ()


class StageBudget(NamedTuple):
    """The option chosen for a stage, and its part of the deadline in seconds."""

    option: MachineOption
    budget_s: float


class _Switch(NamedTuple):
    """Another option for a stage, and what it saves per second of finish time added."""

    gain: float
    stage: int
    option: MachineOption


def _path_ends(stages: Sequence[Stage], chosen: Sequence[MachineOption]) -> list[float]:
    """Return the length of the longest path that ends with each stage, in seconds."""
    ends: list[float] = []
    for stage, option in zip(stages, chosen, strict=True):
        ends.append(option.finish_s + max((ends[i] for i in stage.after), default=0.0))
    return ends


def _path_through(stages: Sequence[Stage], chosen: Sequence[MachineOption]) -> list[float]:
    """Return the length of the longest path through each stage, in seconds."""
    ends = _path_ends(stages, chosen)
    # the longest path that begins after each stage
    tails = [0.0] * len(stages)
    for index in range(len(stages) - 1, -1, -1):
        length = tails[index] + chosen[index].finish_s
        for dependency in stages[index].after:
            tails[dependency] = max(tails[dependency], length)
    return [end + tail for end, tail in zip(ends, tails, strict=True)]


def _switches(stage: Stage, index: int, old: MachineOption, slack_s: float) -> Iterator[_Switch]:
    """Yield the cheaper options that add no more than the slack of the paths through the stage."""
    cost = old.cost(stage.tasks)
    for new in stage.options:
        saved = cost - new.cost(stage.tasks)
        added = new.finish_s - old.finish_s
        if new is old or saved <= 0 or added > slack_s:
            continue
        # a switch that is cheaper and not slower beats every trade
        yield _Switch(saved / added if added > 0 else inf, index, new)


def _choose(stages: Sequence[Stage], deadline_s: float) -> list[MachineOption]:
    """Choose every stage's option.

    A switch lengthens only the paths through its stage, so that one pass over the edges serves all
    candidates of a step.
    """
    chosen = [
        min(stage.options, key=lambda option: (option.finish_s, -option.price)) for stage in stages
    ]
    while True:
        paths = _path_through(stages, chosen)
        # from the fastest options on, a pipeline that is too long can't be made shorter
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

    Stages are given in topological order. The deadline is divided in proportion to the finish
    times along the longest path through each stage.
    """
    chosen = _choose(stages, deadline_s)
    paths = _path_through(stages, chosen)
    return [
        StageBudget(option, option.finish_s / path * deadline_s if path > 0 else deadline_s)
        for option, path in zip(chosen, paths, strict=True)
    ]
