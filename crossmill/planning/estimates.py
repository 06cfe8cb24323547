"""Corrects users' run time estimates with the run times observed for the job class.

`Estimates` keeps the recent ratios of observed to estimated run times in memory. The scheduling
loop records runs; the demand forecast and the pipeline budgets read the corrected estimates.
"""

from collections import deque

# the number of recent runs that are kept of a class
RECENT_RUNS = 64
# a class with fewer runs than this uses the default quantiles
MIN_RUNS = 8
MEDIAN, DEFAULT_MEDIAN = 0.5, 1.0
HIGH_QUANTILE, DEFAULT_HIGH_QUANTILE = 0.8, 1.3


class _RunHistory:
    """The recent ratios of observed to estimated run time of a job class."""

    __slots__ = ("_ratios", "_sorted")

    def __init__(self) -> None:
        self._ratios: deque[float] = deque(maxlen=RECENT_RUNS)
        self._sorted: list[float] | None = None

    def add(self, ratio: float) -> None:
        """Add the ratio of a run."""
        self._ratios.append(ratio)
        self._sorted = None

    def quantile(self, position: float, default: float) -> float:
        """Return a quantile of the ratios, or the default if there are too few."""
        if len(self._ratios) < MIN_RUNS:
            return default
        if self._sorted is None:
            self._sorted = sorted(self._ratios)
        return self._sorted[min(len(self._sorted) - 1, int(position * len(self._sorted)))]


class Estimates:
    """Expected run times and safety margins by job class."""

    def __init__(self) -> None:
        self._histories: dict[str, _RunHistory] = {}

    def record_run(self, job_class: str, estimate_s: float, run_s: float) -> None:
        """Record the observed and the estimated run time of a task of the class."""
        if estimate_s <= 0 or run_s <= 0:
            return
        self._histories.setdefault(job_class, _RunHistory()).add(run_s / estimate_s)

    def task_s(self, job_class: str, estimate_s: float) -> float:
        """Return the expected run time in seconds of a task with this estimate."""
        return estimate_s * self._quantile(job_class, MEDIAN, DEFAULT_MEDIAN)

    def margin_s(self, job_class: str, estimate_s: float) -> float:
        """Return the safety margin in seconds that plans subtract from a deadline.

        Four out of five recent tasks of the class exceeded the median by at most this margin.
        """
        high = self._quantile(job_class, HIGH_QUANTILE, DEFAULT_HIGH_QUANTILE)
        return estimate_s * max(0.0, high - self._quantile(job_class, MEDIAN, DEFAULT_MEDIAN))

    def _quantile(self, job_class: str, position: float, default: float) -> float:
        history = self._histories.get(job_class)
        return default if history is None else history.quantile(position, default)
