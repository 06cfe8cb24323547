"""Failure scores of machines, by which placement avoids machines that fail repeatedly."""

from typing import NamedTuple

# lower scores count as zero
NEGLIGIBLE_SCORE = 0.05
SCORE_PER_FAILURE = 1.0


class _Score(NamedTuple):
    value: float
    at: float


class FailureScores:
    """A score for each machine: it grows by one per failure and halves in each half-life.

    The scores are kept only in the memory of the pool's owner, so that a new owner starts without
    any. Times are of the controller's monotonic clock.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._scores: dict[str, _Score] = {}

    def score(self, machine: str, now: float) -> float:
        """Return the machine's score at the given time."""
        stored_score = self._scores.get(machine)
        if stored_score is None:
            return 0.0
        value = float(stored_score.value * 0.5 ** ((now - stored_score.at) / self._half_life_s))
        if value < NEGLIGIBLE_SCORE:
            del self._scores[machine]
            return 0.0
        return value

    def record_failure(self, machine: str, now: float) -> None:
        """Count a member that was lost on the machine or failed to start there."""
        self._scores[machine] = _Score(self.score(machine, now) + SCORE_PER_FAILURE, now)

    def clear(self) -> None:
        """Drop all scores when the ownership of the pool ends."""
        self._scores.clear()
