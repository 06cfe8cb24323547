"""Time spans and planning parameters derived from the heartbeat interval and the leases.

Every ratio is defined in this module. All time spans are in seconds.
"""

from .deployment import DeploymentSettings

# PROTOCOL: a job counts as forgotten if every poll for it fails for this long
MAX_UNANSWERED_POLLS_S = 90.0
# PROTOCOL: the load balancer probes every controller about once a second
PROBE_INTERVAL_S = 1.0


class TimingSettings(DeploymentSettings):
    """The settings of a deployment, with derived time spans and planning parameters."""

    __slots__ = ()

    # -- leases ----------------------------------------------------------------------

    @property
    def controller_lease_ttl_s(self) -> float:
        """The time after which a controller's lease expires without renewal.

        One worker lease must be long enough for the expiry of a controller lease, the takeover of
        the shards by another controller, and the workers' switch to that controller.
        """
        return self.worker_lease_s * 0.32

    @property
    def lease_renewal_interval_s(self) -> float:
        """The interval between renewals of a controller's lease, a quarter of its duration."""
        return self.controller_lease_ttl_s / 4

    @property
    def lease_extension_grant_s(self) -> float:
        """The time for which a peer that granted a lease extension does not acquire the shards."""
        return self.controller_lease_ttl_s

    @property
    def max_lease_extension_s(self) -> float:
        """The maximum time a controller responds to workers under lease extensions alone.

        A cancellation that the controller can't read must still stop the job's tasks within the
        cancellation deadline, at the latest when the workers' leases expire. 10% of the deadline is
        a reserve.
        """
        return max(
            0.0,
            0.9 * self.cancellation_deadline_s
            - self.worker_lease_expiry_s
            - self.heartbeat_interval_s,
        )

    @property
    def partition_keepalive_s(self) -> float:
        """The time for which a controller in a partitioned zone keeps the zone's workers alive.

        It starts when the controller sent its last valid sync with the state service. A sync is
        valid if the controller's own record existed during it.
        """
        return 3 * self.worker_lease_s

    @property
    def owner_search_s(self) -> float:
        """The time for which a worker without an owner is sent to look for one before it is helped.

        It looks at the other controllers in this time, and returns well within its lease.
        """
        return self.worker_lease_s / 3

    @property
    def region_contact_window_s(self) -> float:
        """The time within which two requests of users or the load balancer must have arrived.

        The load balancer's probes are the rarest ones. One of them may be lost.
        """
        return 4 * PROBE_INTERVAL_S

    @property
    def region_contact_distance_s(self) -> float:
        """The minimum time between two such requests; held back ones arrive together."""
        return PROBE_INTERVAL_S / 2

    @property
    def cancellation_note_ttl_s(self) -> float:
        """The time for which a peer's note of a job's cancellation is valid without repetition."""
        return 4 * self.worker_lease_s

    @property
    def attestation_ttl_s(self) -> float:
        """The time for which a controller does not respond to a machine after an attestation.

        The attestation states how long the controller has not responded to the machine. Within this
        time the machine's lease must expire and the requesting controller must act on the expiry.
        """
        return 1.5 * self.worker_lease_expiry_s

    @property
    def silent_peers_isolation_s(self) -> float:
        """The time without an answer from any peer after which a controller may be cut off alone.

        It counts while the state service is unavailable to the controller. A peer that restarts or
        stalls usually answers within this time.
        """
        return 2 * self.controller_lease_ttl_s

    @property
    def silent_peer_isolation_s(self) -> float:
        """The time after which one silent peer suffices, though no other peer is served either.

        A restart of a controller takes less. The remaining half of the limit is for the load
        balancer to move the users.
        """
        return MAX_UNANSWERED_POLLS_S / 2

    @property
    def clock_drift(self) -> float:
        """The maximum relative drift between two monotonic clocks.

        Each clock may drift by 0.05%, so two clocks by 0.1%, which is doubled as a safety margin.
        """
        return 0.002

    @property
    def worker_lease_expiry_s(self) -> float:
        """The time from the last response until a worker has certainly ended its session.

        It is the worker lease plus the clock drift, plus 2% for the delay of the response.
        """
        return self.worker_lease_s * (1 + self.clock_drift) + 0.02 * self.worker_lease_s

    # -- heartbeats and connections --------------------------------------------------

    @property
    def heartbeat_timeout_s(self) -> float:
        """The time since its last heartbeat after which a machine gets no new tasks."""
        return 2.5 * self.heartbeat_interval_s

    @property
    def next_heartbeat_within_s(self) -> float:
        """The time within which every worker's next heartbeat arrives.

        PROTOCOL allows 1.25 intervals; the rest is for network delay.
        """
        return 1.5 * self.heartbeat_interval_s

    @property
    def unreachable_backoff_s(self) -> float:
        """The initial time for which a controller without heartbeats acquires no shards."""
        return 2 * self.worker_lease_s

    @property
    def idle_connection_timeout_s(self) -> float:
        """The time after which a connection without a completed request is closed."""
        return 6 * self.worker_lease_s

    @property
    def submission_timeout_s(self) -> float:
        """The time after which a submission that is not yet durable receives status 503."""
        return self.controller_lease_ttl_s / 3

    # -- scheduling ------------------------------------------------------------------

    @property
    def scheduling_interval_s(self) -> float:
        """The minimum time between the starts of two scheduling rounds."""
        return self.heartbeat_interval_s / 12

    @property
    def scheduling_time_budget_s(self) -> float:
        """The maximum time for decisions in a scheduling round.

        The next round continues where this one stopped.
        """
        return self.heartbeat_interval_s / 15

    @property
    def maintenance_interval_s(self) -> float:
        """The interval between checks of a shard's machines for lost ones."""
        return self.heartbeat_interval_s / 2

    @property
    def default_queue_time_s(self) -> float:
        """The time budget of a job without a deadline, from when the job can start."""
        return 3 * self.worker_lease_s

    @property
    def replan_interval_s(self) -> float:
        """The minimum time between two latency splits of a pipeline with a late stage.

        It equals the ten seconds in DESIGN if the worker lease is ten seconds, as DESIGN assumes.
        """
        return self.worker_lease_s

    @property
    def max_retry_backoff_s(self) -> float:
        """The maximum delay before a job that fails on every machine is retried."""
        return 3 * self.worker_lease_s

    @property
    def failure_memory_s(self) -> float:
        """The time for which a task's failure counts against the machine where it occurred.

        No job may wait for 90 s while a machine has room (the operators' pages), so a machine that
        was judged by mistake must be in use again before that.
        """
        return 4 * self.worker_lease_s

    @property
    def trial_run_s(self) -> float:
        """The run time of an attempt that shows that a job which failed elsewhere can run.

        After the longest backoff and such a run the other tasks of the job still start within the
        90 s of `failure_memory_s`.
        """
        return 2 * self.worker_lease_s

    @property
    def max_replica_share_per_machine(self) -> float:
        """The maximum share of a service's replicas on one machine while others have capacity."""
        return 0.5

    @property
    def waiting_report_interval_s(self) -> float:
        """The interval between log lines that explain why a job waits, and the wait before them."""
        return self.worker_lease_s

    @property
    def min_useful_runtime_s(self) -> float:
        """The run time before which stopping a task wastes its start and image fetch."""
        return 3 * self.worker_lease_s

    @property
    def replica_settle_time_s(self) -> float:
        """The time after its start during which a replica is not moved."""
        return 4 * self.worker_lease_s

    # -- fleet -----------------------------------------------------------------------

    @property
    def boot_late_factor(self) -> float:
        """The multiple of the boot time after which a booting machine is not counted as capacity.

        The time is longer if the previous machines also took longer to boot.
        """
        return 1.8

    @property
    def boot_failure_factor(self) -> float:
        """The multiple of the boot time after which a machine that is not up has failed.

        The time is longer if the previous machines also took longer to boot.
        """
        return 3.5

    @property
    def slow_boot_failure_factor(self) -> float:
        """The value of `boot_failure_factor` while several machines of the type boot late."""
        return 2.5 * self.boot_failure_factor

    @property
    def idle_machine_timeout_s(self) -> float:
        """The time for which an idle machine is kept if no demand for it is expected."""
        return 2 * self.worker_lease_s

    @property
    def arrival_window_s(self) -> float:
        """The period whose arrivals are counted to estimate future arrivals."""
        return 10 * self.worker_lease_s

    @property
    def replica_headroom_ratio(self) -> float:
        """Capacity kept free for replicas, relative to those expected to arrive during a boot."""
        return 1.0

    @property
    def spot_baseline_ratio(self) -> float:
        """Spot capacity kept for job arrays, relative to the average capacity they use."""
        return 1.25

    @property
    def no_capacity_backoff_s(self) -> float:
        """The time for which no machine of a type is requested in a zone that had no capacity."""
        return self.worker_lease_s

    @property
    def cloud_list_interval_s(self) -> float:
        """The interval between the leader's reads of the cloud's list of machines.

        Reading more often than half the list's lag gains little. The reads use at most a quarter of
        the cloud's request rate.
        """
        return max(self.list_lag_s / 2, 4 / self.cloud_rps)

    @property
    def drain_interval_s(self) -> float:
        """The minimum time between two drains of machines by a shard."""
        return self.worker_lease_s / 2

    @property
    def max_tasks_to_drain(self) -> int:
        """The maximum number of tasks on a machine that is drained.

        Each move of a task is a short outage.
        """
        return 16

    @property
    def machine_transfer_interval_s(self) -> float:
        """The interval between an owner's checks whether other shards need its shard's machines."""
        return self.worker_lease_s / 4

    @property
    def max_machines_per_transfer(self) -> int:
        """The maximum number of machines that are transferred for one job at a time."""
        return 3

    @property
    def max_loans_per_check(self) -> int:
        """The maximum number of machines on which a shard lends capacity at a time."""
        return 16
