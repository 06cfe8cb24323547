"""Whether workers can reach this controller.

A controller that the state service serves but that no worker can reach would keep its shards while
every worker's lease expires. `Membership` asks at each of its steps whether to release them, and
the heartbeat handler reports every heartbeat that arrives.
"""

from ..net.clock import Clock
from ..settings import Settings
from .cluster_state import ClusterState

# consecutive checks without a heartbeat: after a stall of this process, heartbeats that wait in the
# sockets are read between two checks
CHECKS_WITHOUT_HEARTBEAT = 3
# with fewer machines than this that must have sent a heartbeat, their silence shows nothing
MIN_OVERDUE_MACHINES = 3


class WorkerReachability:
    """Judges by the heartbeats that arrive whether workers reach this controller."""

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._last_heartbeat_at = clock.now()
        self._checks_without_heartbeat = 0
        self._unreachable_since: float | None = None
        self._backoff_s = settings.unreachable_backoff_s

    def record_heartbeat(self) -> None:
        """Notes that a heartbeat arrived, whichever controller is to answer it."""
        self._last_heartbeat_at = self._clock.now()
        self._checks_without_heartbeat = 0

    @property
    def is_unreachable(self) -> bool:
        """Whether no heartbeat arrived for so long that the shards were to be released."""
        return self._unreachable_since is not None

    def should_release(self, acquired_at: dict[int, float]) -> bool:
        """Whether to release the owned shards, which are given with when each was acquired.

        Called at each step of the membership; it counts the calls without a heartbeat.
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
        """Counts as reachable again after a heartbeat, or on trial after the backoff.

        Workers may have no reason to send heartbeats to a controller without shards.
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
        """How many machines must have sent a heartbeat to this controller by now."""
        return sum(
            machine.is_up and not machine.retirement_reason
            for shard, since in acquired_at.items()
            if now - since > self._settings.next_heartbeat_within_s
            for machine in self._cluster.machines.by_shard[shard].values()
        )
