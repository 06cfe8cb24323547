"""Keeping a zone's workers alive while the zone is cut off from everything else.

A controller in a partitioned zone answers the zone's workers with the fencing token that they
report, and with no commands but stops of cancelled jobs' tasks, so that what runs goes on running
until the owner is back. It owns nothing while it does so (docs/safety.md, "Keepalive in a
partitioned zone").
"""

from collections.abc import Awaitable, Callable, Iterable

from ..net.clock import Clock
from ..settings import Settings
from ..wire.workers import Command, CommandKind, WorkerHeartbeat
from .cluster_state import ClusterState
from .controller_lease import ControllerLease
from .model import ACTIVE, Machine
from .peer_links import PeerLinks

# entries kept before those that no longer matter are looked for
MAX_PENDING_CANCELLATIONS = 1000


class PendingCancellations:
    """Jobs that this process was told are about to be cancelled."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._clock = clock
        self._ttl_s = 2 * (settings.partition_keepalive_s + settings.cancellation_deadline_s)
        self._told_at: dict[str, float] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._told_at

    def add(self, job_id: str) -> None:
        """The job is about to be cancelled."""
        now = self._clock.now()
        self._told_at[job_id] = now
        if len(self._told_at) > MAX_PENDING_CANCELLATIONS:
            oldest = now - self._ttl_s
            self._told_at = {job: at for job, at in self._told_at.items() if at > oldest}


class PartitionKeepalive:
    """Answers the workers of this controller's zone while the zone is partitioned.

    The right to answer ends `partition_keepalive_s` after the sending of the last read that
    showed all that was durable.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        controller_lease: ControllerLease,
        peers: PeerLinks,
        sync: Callable[[float], Awaitable[bool]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._controller_lease = controller_lease
        self._peers = peers
        # reads all that is durable; whether it could
        self._sync = sync
        self._started_at = clock.now()
        # when the last read was sent that showed all that was durable
        self._synced_at: float | None = None
        # by machine: when it was last kept alive, and until when it may not be
        self._kept_alive_at: dict[str, float] = {}
        self._withheld_until: dict[str, float] = {}
        self._lease_failing_since: float | None = None
        self.pending_cancellations = PendingCancellations(settings, clock)

    def keep_alive(self, machine: Machine, heartbeat: WorkerHeartbeat) -> list[Command] | None:
        """The commands with which the machine's worker is kept alive, or None if it may not
        be.
        """
        if not self._may_keep_alive(machine, heartbeat):
            return None
        self._kept_alive_at[machine.id] = self._clock.now()
        return [
            Command(CommandKind.STOP, f"{task.job}/{task.index}", task.attempt, 0.0)
            for task in heartbeat.tasks
            if task.state != "exited" and self._has_ended(task.job)
        ]

    def _may_keep_alive(self, machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
        now = self._clock.now()
        if machine.zone != self._settings.zone or self._synced_at is None:
            return False
        keepalive_s = self._settings.partition_keepalive_s * (1 - self._settings.clock_drift)
        if now > self._synced_at + keepalive_s:
            return False
        if now < self._withheld_until.get(machine.id, 0.0):
            return False
        owner = self._cluster.shard_owners.get(machine.shard)
        # a token that is not known: somebody else acts for the machine, and it can be reached
        if heartbeat.token > max(machine.token, owner.token if owner is not None else 0):
            return False
        if self._lease_failing_since is None and self._controller_lease.is_failing:
            # the other zones' controllers have not been probed yet
            self._lease_failing_since = now
        return self._is_partitioned()

    def _is_partitioned(self) -> bool:
        """Whether neither the state service nor any controller of another zone has answered."""
        since, others = self._lease_failing_since, self._peers.outside_zone
        if not self._controller_lease.is_failing or since is None or not others:
            return False
        return self._peers.none_answered_since(others, since)

    def _has_ended(self, job_id: str) -> bool:
        if job_id in self.pending_cancellations or job_id in self._cluster.cancellation_notes:
            return True
        job = self._cluster.jobs.get(job_id)
        return job is not None and job.end != ACTIVE

    def withhold(self, machines: Iterable[str]) -> list[float]:
        """Stops keeping these machines alive for `attestation_ttl_s`. Returns for each how long
        it has certainly not been kept alive, in seconds.
        """
        now = self._clock.now()
        self._withheld_until = {
            m: until for m, until in self._withheld_until.items() if until > now
        }
        spans_s = []
        for machine in machines:
            self._withheld_until[machine] = now + self._settings.attestation_ttl_s
            # before this process began, the one before it may have kept the machine alive
            since = max(self._started_at, self._kept_alive_at.get(machine, 0.0))
            spans_s.append(now - since)
        return spans_s

    def note_lease_failing(self) -> None:
        """The controller's lease can't be renewed now."""
        if self._lease_failing_since is None:
            self._lease_failing_since = self._clock.now()

    def note_lease_renewed(self) -> None:
        """The controller's lease can be renewed."""
        self._lease_failing_since = None

    async def refresh(self) -> None:
        """Reads all that is durable.

        It counts while this controller's key stands in the state service, as it did when the read
        was sent: the key's deletion bounds for others how long workers may be kept alive, and its
        change shows them that attestations of the process before this one are void.
        """
        sent, lease_id = self._clock.now(), self._announced_lease_id()
        if (
            await self._sync(self._settings.lease_renewal_interval_s)
            and lease_id is not None
            and lease_id == self._announced_lease_id()
        ):
            self._synced_at = sent

    def _announced_lease_id(self) -> int | None:
        """The lease under which this controller's key stands, while the lease is held."""
        record = self._cluster.controllers.get(self._settings.label)
        lease_id = self._controller_lease.lease_id
        is_announced = record is not None and record.lease_id == lease_id
        return lease_id if is_announced and self._controller_lease.is_held() else None
