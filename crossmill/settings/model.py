"""The settings of a controller: those of the deployment, time spans, and budgets of resources.

The budgets divide the limits of the state service and the cloud among the controllers, and memory
and file descriptors of a process among its parts. Each ratio is defined here only.
"""

from .deployment import StateLimits
from .timing import TimingSettings

BYTES_PER_MB = 1e6
# memory of an ended job, of a cached request head and of a cached task status
ENDED_JOB_BYTES, REQUEST_HEAD_BYTES, TASK_STATUS_BYTES = 4096, 400, 300
MIN_ENDED_JOBS = 100
MIN_PEER_SOCKETS = 8


class Settings(TimingSettings):
    """The checked settings of one controller, with all that is derived from them."""

    __slots__ = ()

    # -- requests to the state service and the cloud ---------------------------------

    @property
    def lowest_state_limits(self) -> StateLimits:
        """The state service's limits that hold both now and after the announced change."""
        if self.next_state_limits is None:
            return self.state_limits
        return self.state_limits.elementwise_min(self.next_state_limits)

    @property
    def state_request_rate(self) -> float:
        """This controller's share of the state service's requests per second.

        It is within the limits before and after the announced change, less a tenth as reserve.
        """
        return 0.9 * self.lowest_state_limits.rps / self.controller_count

    def write_rate_for(
        self, weight: float, total: float, limits: StateLimits | None = None
    ) -> float:
        """Return the changes per second of a controller with this part of the total weight.

        All controllers together stay 8% below the limit.
        """
        return 0.92 * (limits or self.state_limits).write_rps * weight / total

    @property
    def state_write_rate(self) -> float:
        """This controller's changes per second while all controllers have equal weight."""
        return self.write_rate_for(1, self.controller_count)

    def shard_weight(self, load_share: float) -> float:
        """Return the weight that a shard with this share of the running tasks gives its owner.

        Every controller has a weight of 1 beside it. The weight is 2 on average over the shards
        with a team.
        """
        return 0.5 + 1.5 * len(self.shards_with_teams) * load_share

    @property
    def leader_weight(self) -> float:
        """The weight that the leader has for renting machines and writing their records."""
        return 2.0

    @property
    def urgent_write_burst(self) -> float:
        """How many urgent changes a controller may make ahead of its rate.

        A pipeline is submitted as a burst to one controller, and the state service accepts the
        changes of a second at once.
        """
        return self.lowest_state_limits.write_rps / 5

    @property
    def cloud_request_rate(self) -> float:
        """The most requests per second to the cloud, a fifth below its limit."""
        return 0.8 * self.cloud_rps

    # -- memory ----------------------------------------------------------------------

    @property
    def max_ended_jobs(self) -> int:
        """How many ended jobs of a shard stay in memory; older ones are read from the archive.

        Together with those of the other shards they take a tenth of the memory.
        """
        jobs = self.ram_mb * 0.1 * BYTES_PER_MB / ENDED_JOB_BYTES / self.controller_count
        return max(MIN_ENDED_JOBS, int(jobs))

    @property
    def max_cached_request_heads(self) -> int:
        """How many request heads a server caches: 4% of the memory."""
        return int(self.ram_mb * 0.04 * BYTES_PER_MB / REQUEST_HEAD_BYTES)

    @property
    def max_cached_task_statuses(self) -> int:
        """How many tasks of heartbeats are cached: 5% of the memory."""
        return int(self.ram_mb * 0.05 * BYTES_PER_MB / TASK_STATUS_BYTES)

    # -- sockets ---------------------------------------------------------------------

    @property
    def server_sockets(self) -> int:
        """How many connections workers and users may open."""
        return int(self.fd_limit * 0.8)

    @property
    def command_sockets(self) -> int:
        """How many connections to workers are kept open for commands."""
        return int(self.fd_limit * 0.12)

    @property
    def peer_sockets(self) -> int:
        """How many connections peers may open."""
        return max(MIN_PEER_SOCKETS, int(self.fd_limit * 0.04))
