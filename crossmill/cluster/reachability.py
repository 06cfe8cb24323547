"""Detection that workers can't reach this controller.

A controller that can reach the state service but can't be reached by any worker would keep its
shards while all worker leases expire. `Membership` checks at each of its steps whether to release
the shards. The heartbeat handler reports every heartbeat that arrives.
"""

from ..net.clock import Clock
from ..settings import Settings
from .cluster_state import ClusterState

# consecutive checks without a heartbeat before the shards are released; a single one is not enough,
# because after a stall of this process the heartbeats queued in the sockets are read between checks
CHECKS_WITHOUT_HEARTBEAT = 3
# minimum number of machines with overdue heartbeats; fewer are no evidence against this controller
MIN_OVERDUE_MACHINES = 3


class WorkerReachability:
    """State of whether workers reach this controller, derived from the heartbeats that arrive."""

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._last_heartbeat_at = clock.now()
        self._checks_without_heartbeat = 0
        self._unreachable_since: float | None = None
        self._backoff_s = settings.unreachable_backoff_s

    def record_heartbeat(self) -> None:
        """Record that a heartbeat arrived, whichever controller has to respond to it."""
        self._last_heartbeat_at = self._clock.now()
        self._checks_without_heartbeat = 0

    @property
    def is_unreachable(self) -> bool:
        """Whether the shards had to be released because no heartbeat arrived for too long."""
        return self._unreachable_since is not None

    def should_release(self, acquired_at: dict[int, float]) -> bool:
        """Return whether to release the owned shards.

        Called at each step of `Membership`; counts consecutive calls without a heartbeat.

        Args:
            acquired_at: The acquisition times of the owned shards, by shard.
        """
        now = self._clock.now()
        if self._unreachable_since is not None:
            self._update_backoff(now, self._unreachable_since)
            return False
        if not self._is_silence_suspicious(acquired_at, now):
            self._checks_without_heartbeat = 0
            return False
        self._checks_without_heartbeat += 1
        if self._checks_without_heartbeat < CHECKS_WITHOUT_HEARTBEAT:
            return False
        self._unreachable_since = now
        return True

    def _update_backoff(self, now: float, since: float) -> None:
        """Mark this controller as reachable after a heartbeat, or tentatively after the backoff.

        The backoff is needed because workers may have no reason to send heartbeats to a controller
        without shards.
        """
        if self._last_heartbeat_at > since:
            self._unreachable_since = None
            self._backoff_s = self._settings.unreachable_backoff_s
        elif now - since > self._backoff_s:
            self._unreachable_since = None
            self._backoff_s *= 2
            self._last_heartbeat_at = now

    def _is_silence_suspicious(self, acquired_at: dict[int, float], now: float) -> bool:
        if now - self._last_heartbeat_at <= self._settings.next_heartbeat_within_s:
            return False
        return self._overdue_machines(acquired_at, now) >= MIN_OVERDUE_MACHINES

    def _overdue_machines(self, acquired_at: dict[int, float], now: float) -> int:
        """Return the number of machines that should have sent a heartbeat to this controller."""
        return sum(
            machine.is_up and not machine.retirement_reason
            for shard, since in acquired_at.items()
            if now - since > self._settings.next_heartbeat_within_s
            for machine in self._cluster.machines.by_shard[shard].values()
        )
