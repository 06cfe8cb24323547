"""Whether this controller hears workers at all.

A controller that the workers can't reach, but that the state service still serves, would keep
its shards while every worker's lease runs out.
"""

from ..net.clock import Clock
from ..settings import Settings
from .cluster_state import ClusterState

# looks in a row at which nothing had come: after a stall of our own, reports that wait in the
# sockets are read between two of them
LOOKS = 3


class WorkerReachability:
    """Whether workers reach this controller, judged by the reports that come."""

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._heard_at = clock.now()
        self._looks = 0
        self._deaf_since: float | None = None
        self._patience_s = settings.unreachable_backoff_s

    def record_heartbeat(self) -> None:
        """A report came, whoever is to answer it."""
        self._heard_at = self._clock.now()
        self._looks = 0

    @property
    def is_unreachable(self) -> bool:
        """Whether no report has come for so long that the shards were given up."""
        return self._deaf_since is not None

    def should_release(self, shards: dict[int, float]) -> bool:
        """Whether to give up these shards, held since then; called now and then."""
        now = self._clock.now()
        if self._deaf_since is not None:
            # nobody may come to a controller without shards, so in time it tries again
            if self._heard_at > self._deaf_since:
                self._deaf_since, self._patience_s = None, self._settings.unreachable_backoff_s
            elif now - self._deaf_since > self._patience_s:
                self._deaf_since, self._patience_s = None, 2 * self._patience_s
                self._heard_at = now
            return False
        if (
            now - self._heard_at <= self._settings.next_heartbeat_within_s
            or self._due(shards, now) < LOOKS
        ):
            self._looks = 0
            return False
        self._looks += 1
        if self._looks < LOOKS:
            return False
        self._deaf_since = now
        return True

    def _due(self, shards: dict[int, float], now: float) -> int:
        """Machines that must have reported by now."""
        return sum(
            machine.up and not machine.retiring
            for shard, since in shards.items()
            if now - since > self._settings.next_heartbeat_within_s
            for machine in self._cluster.machines.by_shard[shard].values()
        )
