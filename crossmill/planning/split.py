"""The paper's latency split (its section III-C) over the stages of a pipeline.

A stage is a job; an option is a machine type. Every stage starts on its fastest, costliest
option; the switch that saves most cost per second of finish time added is made as long as the
pipeline keeps its deadline."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Option:
    """`throughput` is tasks per second of one whole machine, `finish_s` the stage's estimated
    finish on this option, `price` the weight of the type (spot: its steady type's)."""

    name: str
    price: float
    throughput: float
    finish_s: float

    def cost(self, tasks: float) -> float:
        return self.price * tasks / self.throughput

    def value(self) -> float:
        return self.throughput / self.price


@dataclass(frozen=True, slots=True)
class Stage:
    tasks: float
    options: tuple[Option, ...]
    after: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Share:
    option: Option
    budget_s: float


def _path_ends(stages: Sequence[Stage], chosen: Sequence[Option]) -> list[float]:
    """Longest path up to and with each stage; stages stand after those they need."""
    ends: list[float] = []
    for stage, option in zip(stages, chosen, strict=True):
        ends.append(option.finish_s + max((ends[i] for i in stage.after), default=0.0))
    return ends


def _path_through(stages: Sequence[Stage], chosen: Sequence[Option]) -> list[float]:
    """The longest path through each stage."""
    ends = _path_ends(stages, chosen)
    tails = [0.0] * len(stages)
    for index in range(len(stages) - 1, -1, -1):
        below = tails[index] + chosen[index].finish_s
        for before in stages[index].after:
            tails[before] = max(tails[before], below)
    return [e + t for e, t in zip(ends, tails, strict=True)]


def split(stages: Sequence[Stage], deadline_s: float) -> list[Share]:
    chosen = [min(s.options, key=lambda o: (o.finish_s, -o.price)) for s in stages]
    while True:
        best: tuple[float, int, Option] | None = None
        for index, stage in enumerate(stages):
            old = chosen[index]
            for new in stage.options:
                saved = old.cost(stage.tasks) - new.cost(stage.tasks)
                added = new.finish_s - old.finish_s
                if new is old or saved <= 0:
                    continue
                # a switch that is cheaper and not slower beats every trade
                gain = saved / added if added > 0 else float("inf")
                if best is not None and gain <= best[0]:
                    continue
                tried = [*chosen[:index], new, *chosen[index + 1 :]]
                if max(_path_ends(stages, tried)) <= deadline_s:
                    best = (gain, index, new)
        if best is None:
            break
        chosen[best[1]] = best[2]
    paths = _path_through(stages, chosen)
    return [
        Share(option, option.finish_s / path * deadline_s if path > 0 else deadline_s)
        for option, path in zip(chosen, paths, strict=True)
    ]
