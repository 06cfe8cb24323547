"""Time spans and planning parameters that are derived from the heartbeat interval and the leases.

Each ratio is defined here only. All spans are in seconds. The properties are read by all packages.
"""

from .deployment import DeploymentSettings


class TimingSettings(DeploymentSettings):
    """The settings of a deployment, with the time spans derived from them."""

    __slots__ = ()

    # -- leases ----------------------------------------------------------------------

    @property
    def controller_lease_ttl_s(self) -> float:
        """How long a controller's lease lasts without renewal.

        The lease's expiry, the takeover by another controller and the workers' move to it must fit
        into one worker lease.
        """
        return self.worker_lease_s * 0.32

    @property
    def lease_renewal_interval_s(self) -> float:
        """How often a controller renews its lease: four times in its duration."""
        return self.controller_lease_ttl_s / 4

    @property
    def lease_extension_grant_s(self) -> float:
        """How long a peer that grants a lease extension does not acquire the shard."""
        return self.controller_lease_ttl_s

    @property
    def max_lease_extension_s(self) -> float:
        """How long workers are answered under lease extensions alone.

        A cancellation that the controller can't learn of must still end its tasks in time, at the
        latest by the expiry of the workers' leases. A tenth of the deadline is kept as reserve.
        """
        return max(
            0.0,
            0.9 * self.cancellation_deadline_s
            - self.worker_lease_expiry_s
            - self.heartbeat_interval_s,
        )

    @property
    def partition_keepalive_s(self) -> float:
        """How long a controller in a partitioned zone keeps the zone's workers alive.

        It counts from when the controller last knew the durable state.
        """
        return 3 * self.worker_lease_s

    @property
    def cancellation_note_ttl_s(self) -> float:
        """How long a peer's note of a job's cancellation is valid without being repeated."""
        return 4 * self.worker_lease_s

    @property
    def attestation_ttl_s(self) -> float:
        """How long a controller that attested a machine's silence does not answer the machine.

        By then the machine's lease must have expired and the asking controller has had time to
        act on it.
        """
        return 1.5 * self.worker_lease_expiry_s

    @property
    def clock_drift(self) -> float:
        """The largest relative drift between two monotonic clocks.

        Each clock may be off by 0.05%, which is doubled for safety.
        """
        return 0.002

    @property
    def worker_lease_expiry_s(self) -> float:
        """How long after the last response a worker has certainly ended its session.

        That is the lease, lengthened by the clock drift and by 2% for the delay of the response.
        """
        return self.worker_lease_s * (1 + self.clock_drift) + 0.02 * self.worker_lease_s

    # -- heartbeats and connections --------------------------------------------------

    @property
    def heartbeat_timeout_s(self) -> float:
        """How long after its last heartbeat a machine gets no new task."""
        return 2.5 * self.heartbeat_interval_s

    @property
    def next_heartbeat_within_s(self) -> float:
        """By when each worker has sent its next heartbeat.

        PROTOCOL allows an interval and a quarter; the rest is for the network.
        """
        return 1.5 * self.heartbeat_interval_s

    @property
    def unreachable_backoff_s(self) -> float:
        """How long a controller that receives no heartbeat leaves the shards to others."""
        return 2 * self.worker_lease_s

    @property
    def idle_connection_timeout_s(self) -> float:
        """How long a connection stays open on which no request is completed."""
        return 6 * self.worker_lease_s

    @property
    def submission_timeout_s(self) -> float:
        """After which time a submission that is not durable is answered with 503."""
        return self.controller_lease_ttl_s / 3

    # -- scheduling ------------------------------------------------------------------

    @property
    def scheduling_interval_s(self) -> float:
        """The shortest time between the starts of two scheduling rounds."""
        return self.heartbeat_interval_s / 12

    @property
    def scheduling_time_budget_s(self) -> float:
        """How long a scheduling round takes decisions; the next one goes on from there."""
        return self.heartbeat_interval_s / 15

    @property
    def maintenance_interval_s(self) -> float:
        """How often a shard's machines are checked for those that are lost."""
        return self.heartbeat_interval_s / 2

    @property
    def default_queue_time_s(self) -> float:
        """How long after its arrival the budget of a job without a deadline ends."""
        return 3 * self.worker_lease_s

    @property
    def replan_interval_s(self) -> float:
        """The shortest time between two latency splits of a pipeline with a late stage.

        With the worker lease that DESIGN refers to it is DESIGN's ten seconds.
        """
        return self.worker_lease_s

    @property
    def max_retry_backoff_s(self) -> float:
        """The longest wait before a job that fails on every machine is tried again."""
        return 3 * self.worker_lease_s

    @property
    def max_replica_share_per_machine(self) -> float:
        """The largest share of a service's replicas on one machine while others have room."""
        return 0.5

    @property
    def min_useful_runtime_s(self) -> float:
        """How long a task must run to be of use when it is stopped."""
        return 3 * self.worker_lease_s

    @property
    def replica_settle_time_s(self) -> float:
        """How long after its start a replica is not moved."""
        return 4 * self.worker_lease_s

    # -- fleet -----------------------------------------------------------------------

    @property
    def boot_late_factor(self) -> float:
        """After how many boot times a machine that is not up no longer counts as capacity.

        It is later if the machines before it took longer as well.
        """
        return 1.8

    @property
    def boot_failure_factor(self) -> float:
        """After how many boot times a machine that is not up has failed.

        It is later if the machines before it took longer as well.
        """
        return 3.5

    @property
    def slow_boot_failure_factor(self) -> float:
        """After how many boot times a machine has failed while all of its type are late."""
        return 2.5 * self.boot_failure_factor

    @property
    def idle_machine_timeout_s(self) -> float:
        """How long an empty machine is kept that no demand is expected for."""
        return 2 * self.worker_lease_s

    @property
    def arrival_window_s(self) -> float:
        """How far back arrivals are counted to estimate the next ones."""
        return 10 * self.worker_lease_s

    @property
    def replica_headroom_ratio(self) -> float:
        """Capacity kept for expected replicas, relative to those that arrive during a boot."""
        return 1.0

    @property
    def spot_baseline_ratio(self) -> float:
        """Spot capacity kept for arrays, relative to what runs of them on average."""
        return 1.25

    @property
    def no_capacity_backoff_s(self) -> float:
        """How long no machine is requested of a type and zone that had no capacity."""
        return self.worker_lease_s

    @property
    def cloud_list_interval_s(self) -> float:
        """How often the leader reads the cloud's list.

        A list that lags is not worth reading often, and the list takes at most a quarter of the
        cloud's request rate.
        """
        return max(self.list_lag_s / 2, 4 / self.cloud_rps)

    @property
    def drain_interval_s(self) -> float:
        """In which time a shard drains at most one machine."""
        return self.worker_lease_s / 2

    @property
    def max_tasks_to_drain(self) -> int:
        """The most tasks of a machine that is drained, since each move is a short outage."""
        return 16

    @property
    def machine_transfer_interval_s(self) -> float:
        """How often a shard's owner checks whether other shards need its machines."""
        return self.worker_lease_s / 4

    @property
    def max_machines_per_transfer(self) -> int:
        """The most machines that are transferred for one job at a time."""
        return 3
