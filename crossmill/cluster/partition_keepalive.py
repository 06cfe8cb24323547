"""Keepalives for a zone's workers while the zone is partitioned from everything else.

A controller in a partitioned zone responds to the zone's workers with the fencing token that they
report. It sends no commands except to stop tasks of ended jobs, so running tasks continue until the
owner is reachable again. It does not own the workers' shards (docs/safety.md, "Keepalive in a
partitioned zone"). The heartbeat handler calls `PartitionKeepalive` for machines over which this
controller has no authority. `PartitionProtocol` keeps the classes of this module up to date.
"""

import logging
from collections.abc import Iterable
from enum import Enum

from ..net.clock import Clock
from ..settings import Settings
from ..wire.workers import WorkerHeartbeat
from .cluster_state import ClusterState
from .model import ACTIVE, Machine
from .partition_detector import PartitionDetector
from .shard_acquisition import last_token_of_block
from .state_access import StateAccess

log = logging.getLogger(__name__)

# number of entries above which expired ones are removed
MAX_PENDING_CANCELLATIONS = 1000


class PendingCancellations:
    """Jobs whose imminent cancellation was announced to this process."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._clock = clock
        self._ttl_s = 2 * (settings.partition_keepalive_s + settings.cancellation_deadline_s)
        self._announced_at: dict[str, float] = {}

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._announced_at

    def add(self, job_id: str) -> None:
        """Record that the job is about to be cancelled."""
        now = self._clock.now()
        self._announced_at[job_id] = now
        if len(self._announced_at) > MAX_PENDING_CANCELLATIONS:
            oldest = now - self._ttl_s
            self._announced_at = {job: at for job, at in self._announced_at.items() if at > oldest}


class StateSync:
    """The last sync with the state service during which this controller's record existed."""

    def __init__(self, settings: Settings, clock: Clock, state: StateAccess) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = state.cluster
        self._controller_lease = state.controller_lease
        self._sync = state.watcher.sync
        # when the last valid sync was sent; None before the first
        self.sent_at: float | None = None

    async def refresh(self) -> None:
        """Sync the mirror with the state service, and record the sync if it is valid.

        A sync is valid if this controller's key exists under the current lease both when the sync
        is sent and when it completes. The deletion of the key limits, for other controllers, how
        long workers may be kept alive here. A change of the key shows them that attestations of
        the previous process are invalid.
        """
        sent, lease_id = self._clock.now(), self._announced_lease_id()
        if (
            await self._sync(self._settings.lease_renewal_interval_s)
            and lease_id is not None
            and lease_id == self._announced_lease_id()
        ):
            self.sent_at = sent

    def _announced_lease_id(self) -> int | None:
        """Return the lease under which this controller's key exists, if the lease is held."""
        record = self._cluster.controllers.get(self._settings.label)
        lease_id = self._controller_lease.lease_id
        is_announced = record is not None and record.lease_id == lease_id
        return lease_id if is_announced and self._controller_lease.is_held() else None


class KeepaliveEnd(Enum):
    """Why a worker is not kept alive, or not any more; the values are logged."""

    OTHER_ZONE = "other-zone"
    # the last valid sync with the state service is too old
    OLD_SYNC = "old-sync"
    # this controller has attested to the owner that it does not respond to the machine
    ATTESTED = "attested"
    # the worker has seen a token that is not the known owner's
    NEWER_TOKEN = "newer-token"
    NOT_PARTITIONED = "not-partitioned"
    # users reach this controller, so another one may own the machine: the worker is to look for it
    OWNER_SEARCH = "owner-search"
    # the worker has sent no heartbeat for the duration of its lease
    NO_HEARTBEAT = "no-heartbeat"


class PartitionKeepalive:
    """Responder to the workers of this controller's zone while the zone is partitioned.

    The permission to respond ends `partition_keepalive_s` after the last valid sync with the state
    service was sent.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        partition: PartitionDetector,
        state_sync: StateSync,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._partition = partition
        self._state_sync = state_sync
        self._started_at = clock.now()
        # IDs of the machines whose workers are being kept alive, as logged
        self._kept_alive: set[str] = set()
        # last keepalive times, by machine ID
        self._kept_alive_at: dict[str, float] = {}
        # times at which workers were first told to look for their owner, by machine ID
        self._sent_away_at: dict[str, float] = {}
        # times before which keepalives are suspended after an attestation, by machine ID
        self._suspended_until: dict[str, float] = {}
        self.pending_cancellations = PendingCancellations(settings, clock)

    def keep_alive(self, machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
        """Return whether the worker may be kept alive now; if so, record that it is."""
        refusal = self._refusal(machine, heartbeat)
        if refusal is not None:
            self._log_end(machine.id, refusal)
            return False
        if machine.id not in self._kept_alive:
            self._kept_alive.add(machine.id)
            log.info("worker kept alive machine=%s token=%d", machine.id, heartbeat.token)
        self._kept_alive_at[machine.id] = self._clock.now()
        return True

    def _refusal(self, machine: Machine, heartbeat: WorkerHeartbeat) -> KeepaliveEnd | None:
        """Return why the worker may not be kept alive now; None if it may."""
        if machine.zone != self._settings.zone:
            return KeepaliveEnd.OTHER_ZONE
        if not self._is_sync_recent():
            return KeepaliveEnd.OLD_SYNC
        if self._clock.now() < self._suspended_until.get(machine.id, 0.0):
            return KeepaliveEnd.ATTESTED
        if heartbeat.token > self._highest_known_token(machine):
            # another controller has begun to act for the machine and can reach it
            return KeepaliveEnd.NEWER_TOKEN
        if not self._partition.is_partitioned():
            return KeepaliveEnd.NOT_PARTITIONED
        return KeepaliveEnd.OWNER_SEARCH if self._must_search_owner(machine) else None

    def _must_search_owner(self, machine: Machine) -> bool:
        """Return whether the worker must look for its owner at other controllers first.

        If this controller is cut off alone, another one acquires the machine's shard and waits for
        the worker. A worker that finds no owner is kept alive when it returns.
        """
        if not self._partition.is_reached_by_region():
            return False
        now = self._clock.now()
        sent_away_at = self._sent_away_at.setdefault(machine.id, now)
        kept_alive_at = self._kept_alive_at.get(machine.id, sent_away_at)
        return now - max(sent_away_at, kept_alive_at) < self._settings.owner_search_s

    def log_silent_workers(self) -> None:
        """Log the end of the keepalive of each worker that sends no heartbeats here any more."""
        oldest = self._clock.now() - self._settings.worker_lease_s
        for machine_id in [m for m in self._kept_alive if self._kept_alive_at[m] < oldest]:
            self._log_end(machine_id, KeepaliveEnd.NO_HEARTBEAT)

    def _log_end(self, machine_id: str, reason: KeepaliveEnd) -> None:
        if machine_id in self._kept_alive:
            self._kept_alive.discard(machine_id)
            log.info("worker keepalive ended machine=%s reason=%s", machine_id, reason.value)

    def _is_sync_recent(self) -> bool:
        synced_at = self._state_sync.sent_at
        keepalive_s = self._settings.partition_keepalive_s * (1 - self._settings.clock_drift)
        return synced_at is not None and self._clock.now() <= synced_at + keepalive_s

    def _highest_known_token(self, machine: Machine) -> int:
        """Return the highest token under which the known owner may command the machine.

        Whoever is not known has a token above the counter. An owner of an earlier version has one
        token only, so that others may have those that follow it.
        """
        owner = self._cluster.shard_owners.get(machine.shard)
        if owner is None:
            return machine.token
        last_token = min(last_token_of_block(owner.token), self._cluster.token_counter())
        return max(machine.token, owner.token, last_token)

    def has_ended(self, job_id: str) -> bool:
        """Return whether the job has ended or is about to be cancelled."""
        if job_id in self.pending_cancellations or job_id in self._cluster.cancellation_notes:
            return True
        job = self._cluster.jobs.get(job_id)
        return job is not None and job.end != ACTIVE

    def suspend(self, machines: Iterable[str]) -> list[float]:
        """Suspend keepalives for these machines for `attestation_ttl_s`.

        Returns:
            For each machine, the number of seconds for which it is certain not to have been kept
            alive.
        """
        now = self._clock.now()
        self._suspended_until = {
            machine: until for machine, until in self._suspended_until.items() if until > now
        }
        spans_s = []
        for machine in machines:
            self._suspended_until[machine] = now + self._settings.attestation_ttl_s
            # before this process started, its predecessor may have kept the machine alive
            since = max(self._started_at, self._kept_alive_at.get(machine, 0.0))
            spans_s.append(now - since)
        return spans_s
