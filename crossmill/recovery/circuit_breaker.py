"""The circuit breaker, which blocks mass actions until an operator approves them."""

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
    """A shard's unapproved actions, pending and done, and the totals they are compared with.

    Attributes:
        stops: Orders to stop a task.
        restarts: Orders to start a planned task that its worker does not run.
        releases: Releases of machines to the cloud.
        tasks_known: Tasks that are planned on or reported by machines that have reported.
        machines_known: Machines of the shard.
    """

    stops: int
    restarts: int
    releases: int
    tasks_known: int
    machines_known: int


def is_mass_action(action_counts: ActionCounts, settings: RecoverySettings) -> bool:
    """Return whether more tasks or machines are affected than is permitted without an approval."""
    affected_tasks = action_counts.stops + action_counts.restarts
    return _exceeds_limit(affected_tasks, action_counts.tasks_known, settings) or _exceeds_limit(
        action_counts.releases, action_counts.machines_known, settings
    )


def _exceeds_limit(affected: int, known: int, settings: RecoverySettings) -> bool:
    return affected > max(settings.brake_least, settings.brake_share * known)


def digest_of(differences: Iterable[Difference], machines: Iterable[str]) -> str:
    """Return an identifier of a set of actions, so that an approval covers exactly these.

    Args:
        differences: the differences that orders would resolve
        machines: the machines that would be released
    """
    # imported only when the breaker has opened, so that startup does not load it
    from hashlib import blake2b

    lines = sorted(f"{d.machine} {d.job}/{d.index} {d.attempt} {d.task_class}" for d in differences)
    lines += sorted(machines)
    return blake2b("\n".join(lines).encode(), digest_size=DIGEST_BYTES).hexdigest()


class CircuitBreaker:
    """The circuit breaker of a shard's recovery; open while it blocks a mass action."""

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
        """Return the counts of the unapproved actions, pending and done."""
        return ActionCounts(
            stops=self._differences.count_unapproved(RecoveryAction.STOP),
            restarts=self._differences.count_unapproved(RecoveryAction.START),
            releases=self.releases.unapproved_count,
            tasks_known=self._statistics.tasks_known,
            machines_known=self._statistics.machines_known,
        )

    @property
    def is_open(self) -> bool:
        """Whether a mass action is blocked until heartbeats or an operator resolve it."""
        return is_mass_action(self.action_counts(), self._settings)

    def digest(self) -> str:
        """Return the identifier of the actions that the open breaker blocks."""
        return digest_of(self._differences.blocked(), self.releases.blocked())

    def approve(self) -> None:
        """Permit the actions that the current digest identifies."""
        self._differences.approve()
        self.releases.approve()
