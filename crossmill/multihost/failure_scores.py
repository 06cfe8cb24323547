"""Machines that fail again and again are avoided; with time their failures are forgotten."""

from typing import NamedTuple

# below this a score is as good as none
NEGLIGIBLE_SCORE = 0.05


class _Score(NamedTuple):
    value: float
    at: float


class FailureScores:
    """A score for each machine: one more with each failure, halved in each half-life. Kept by the
    pool's owner alone: a new owner begins with none.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._scores: dict[str, _Score] = {}

    def score(self, machine: str, now: float) -> float:
        """The machine's score now."""
        known = self._scores.get(machine)
        if known is None:
            return 0.0
        value = float(known.value * 0.5 ** ((now - known.at) / self._half_life_s))
        if value < NEGLIGIBLE_SCORE:
            del self._scores[machine]
            return 0.0
        return value

    def note_failure(self, machine: str, now: float) -> None:
        """A member on the machine was lost, or did not start there."""
        self._scores[machine] = _Score(self.score(machine, now) + 1.0, now)

    def clear(self) -> None:
        """The ownership has ended."""
        self._scores.clear()
