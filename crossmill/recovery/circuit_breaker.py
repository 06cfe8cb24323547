"""The circuit breaker: a mass action needs an operator's approval."""

from collections.abc import Iterable
from typing import NamedTuple

from .classification import RecoveryAction
from .differences import Difference
from .release_tracker import ReleaseTracker
from .settings import RecoverySettings
from .statistics import RecoveryStatistics
from .unresolved_differences import UnresolvedDifferences

DIGEST_BYTES = 8


class ActionCounts(NamedTuple):
    """What a shard's recovery would do and has done, and to how many tasks and machines in all."""

    stops: int
    restarts: int
    releases: int
    tasks_known: int
    machines_known: int


def is_mass_action(action_counts: ActionCounts, settings: RecoverySettings) -> bool:
    """Whether more than the permitted share of the tasks or of the machines is affected."""
    affected_tasks = action_counts.stops + action_counts.restarts
    return _exceeds_limit(affected_tasks, action_counts.tasks_known, settings) or _exceeds_limit(
        action_counts.releases, action_counts.machines_known, settings
    )


def _exceeds_limit(affected: int, known: int, settings: RecoverySettings) -> bool:
    return affected > max(settings.brake_least, settings.brake_share * known)


def digest_of(differences: Iterable[Difference], machines: Iterable[str]) -> str:
    """Identifies a set of actions, so that an approval is for exactly those.

    Args:
        differences: the differences that would be resolved by orders
        machines: the machines that would be released
    """
    # imported only when the breaker has tripped, so that a start does not load it
    from hashlib import blake2b

    lines = sorted(f"{d.machine} {d.job}/{d.index} {d.attempt} {d.task_class}" for d in differences)
    lines += sorted(machines)
    return blake2b("\n".join(lines).encode(), digest_size=DIGEST_BYTES).hexdigest()


class CircuitBreaker:
    """The circuit breaker of a shard's recovery; open while a mass action is held back."""

    def __init__(
        self,
        settings: RecoverySettings,
        differences: UnresolvedDifferences,
        statistics: RecoveryStatistics,
    ) -> None:
        self.releases = ReleaseTracker()
        self._settings = settings
        self._differences = differences
        self._statistics = statistics

    def action_counts(self) -> ActionCounts:
        """Returns what recovery would do and has done without an approval."""
        return ActionCounts(
            stops=self._differences.count_unapproved(RecoveryAction.STOP),
            restarts=self._differences.count_unapproved(RecoveryAction.START),
            releases=self.releases.unapproved_count,
            tasks_known=self._statistics.tasks_known,
            machines_known=self._statistics.machines_known,
        )

    @property
    def is_open(self) -> bool:
        """Whether a mass action is held back until heartbeats or an operator resolve it."""
        return is_mass_action(self.action_counts(), self._settings)

    def digest(self) -> str:
        """Identifies what is held back while the breaker is open."""
        return digest_of(self._differences.held_back(), self.releases.held_back())

    def approve(self) -> None:
        """Permits what the present digest identifies."""
        self._differences.approve()
        self.releases.approve()
