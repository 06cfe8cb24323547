"""The complete settings of a controller, including its request rates, memory and socket budgets.

The budgets divide the limits of the state service and the cloud among the controllers, and the
memory and file descriptors of a process among its components. Every ratio of a budget is defined in
this module.
"""

from .deployment import StateLimits
from .timing import TimingSettings

BYTES_PER_MB = 1e6
# memory per ended job, per cached request head and per cached task status
ENDED_JOB_BYTES, REQUEST_HEAD_BYTES, TASK_STATUS_BYTES = 4096, 400, 300
MIN_ENDED_JOBS = 100
MIN_PEER_SOCKETS = 8


class Settings(TimingSettings):
    """The validated settings of one controller, with all derived values."""

    __slots__ = ()

    # -- requests to the state service and the cloud ---------------------------------

    @property
    def lowest_state_limits(self) -> StateLimits:
        """The lower of each limit of the state service before and after the announced change."""
        if self.next_state_limits is None:
            return self.state_limits
        return self.state_limits.elementwise_min(self.next_state_limits)

    @property
    def state_request_rate(self) -> float:
        """This controller's share of the state service's requests per second.

        It respects the limits before and after the announced change and leaves a reserve of 10%.
        """
        return 0.9 * self.lowest_state_limits.rps / self.controller_count

    def write_rate_for(
        self, weight: float, total: float, limits: StateLimits | None = None
    ) -> float:
        """Return the maximum changes per second of a controller with this weight out of the total.

        The rates of all controllers add up to 8% less than the limit.
        """
        return 0.92 * (limits or self.state_limits).write_rps * weight / total

    @property
    def state_write_rate(self) -> float:
        """This controller's maximum changes per second if all controllers have equal weight."""
        return self.write_rate_for(1, self.controller_count)

    def shard_weight(self, load_share: float) -> float:
        """Return the weight that a shard with this share of the running tasks adds to its owner.

        Every controller also has a base weight of 1. The average weight of the shards with a team
        is 2.
        """
        return 0.5 + 1.5 * len(self.shards_with_teams) * load_share

    @property
    def leader_weight(self) -> float:
        """The additional weight of the leader, which rents machines and writes their records."""
        return 2.0

    @property
    def urgent_write_burst(self) -> float:
        """The number of urgent changes that a controller may make in excess of its rate.

        A pipeline is submitted to one controller as a burst, and the state service accepts the
        changes of one second as a burst as well.
        """
        return self.lowest_state_limits.write_rps / 5

    @property
    def cloud_request_rate(self) -> float:
        """The maximum requests per second to the cloud, 20% below the cloud's limit."""
        return 0.8 * self.cloud_rps

    # -- memory ----------------------------------------------------------------------

    @property
    def max_ended_jobs(self) -> int:
        """The number of ended jobs per shard that stay in memory.

        Older ones are read from the archive. The ended jobs of all shards use 10% of the memory.
        """
        jobs = self.ram_mb * 0.1 * BYTES_PER_MB / ENDED_JOB_BYTES / self.controller_count
        return max(MIN_ENDED_JOBS, int(jobs))

    @property
    def max_cached_request_heads(self) -> int:
        """The number of request heads that a server caches; they use 4% of the memory."""
        return int(self.ram_mb * 0.04 * BYTES_PER_MB / REQUEST_HEAD_BYTES)

    @property
    def max_cached_task_statuses(self) -> int:
        """The number of cached task statuses from heartbeats; they use 5% of the memory."""
        return int(self.ram_mb * 0.05 * BYTES_PER_MB / TASK_STATUS_BYTES)

    # -- sockets ---------------------------------------------------------------------

    @property
    def server_sockets(self) -> int:
        """The maximum number of connections from workers and users."""
        return int(self.fd_limit * 0.8)

    @property
    def command_sockets(self) -> int:
        """The number of connections to workers that are kept open for commands."""
        return int(self.fd_limit * 0.12)

    @property
    def peer_sockets(self) -> int:
        """The maximum number of connections from peers."""
        return max(MIN_PEER_SOCKETS, int(self.fd_limit * 0.04))
