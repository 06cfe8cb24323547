"""How wrong the owners' estimates have been of late: a factor and a margin for each class."""

from collections import deque
from dataclasses import dataclass, field

RECENT = 64


@dataclass(slots=True, eq=False)
class _Class:
    """Observed run times of a job class."""

    ratios: deque[float] = field(default_factory=lambda: deque(maxlen=RECENT))
    sorted: list[float] | None = None


class Estimates:
    """Fed with observed over estimated run times; plans aim at the deadline less the margin."""

    def __init__(self) -> None:
        self._classes: dict[str, _Class] = {}

    def saw(self, job_class: str, estimate_s: float, took_s: float) -> None:
        """A task of the class took this long where its owner had estimated that."""
        if estimate_s <= 0 or took_s <= 0:
            return
        entry = self._classes.setdefault(job_class, _Class())
        entry.ratios.append(took_s / estimate_s)
        entry.sorted = None

    def _quantile(self, job_class: str, share: float, default: float) -> float:
        entry = self._classes.get(job_class)
        if entry is None or len(entry.ratios) < 8:
            return default
        if entry.sorted is None:
            entry.sorted = sorted(entry.ratios)
        return entry.sorted[min(len(entry.sorted) - 1, int(share * len(entry.sorted)))]

    def task_s(self, job_class: str, estimate_s: float) -> float:
        """How long a task is expected to run, by what its class has shown."""
        return estimate_s * self._quantile(job_class, 0.5, 1.0)

    def margin_s(self, job_class: str, estimate_s: float) -> float:
        """What four in five of the recent tasks would have needed beyond the middle one."""
        high = self._quantile(job_class, 0.8, 1.3)
        return estimate_s * max(0.0, high - self._quantile(job_class, 0.5, 1.0))
