"""Tells other controllers of a cancellation before it is confirmed to the user.

A controller that is partitioned together with tasks of the job must know of the cancellation, or
it might keep their worker alive past the time by which PROTOCOL has a cancelled task end. The job
API calls this before each write of a cancellation.
"""

from collections.abc import Iterable

import curio

from ..settings import Settings
from ..wire import peers as wire
from . import keys
from .cluster_state import ClusterState
from .lease_expiry_proof import ControllerAbsences
from .model import CancellationNote
from .partition_keepalive import PendingCancellations
from .peer_links import PeerLinks


class CancellationAnnouncement:
    """Announces cancellations to the controllers of the zones with tasks of the job."""

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        peers: PeerLinks,
        absences: ControllerAbsences,
        pending: PendingCancellations,
    ) -> None:
        self._settings = settings
        self._cluster = cluster
        self._peers = peers
        self._absences = absences
        self._pending = pending

    async def announce(self, job_id: str, zones: Iterable[str]) -> dict[str, int] | None:
        """Tells the controllers of these zones that the job is about to be cancelled.

        Returns the versions of keys that the cancellation's write must be conditional on, which
        show that each controller is still the process that was told. None if not all could be
        told: the cancellation must not be confirmed yet.
        """
        if self._ends_in_time_anyway():
            return {}
        zones = set(zones)
        if self._settings.zone in zones:
            # if the zone is cut off before the write is answered, this process learns of the
            # cancellation in no other way
            self._pending.add(job_id)
        labels = [label for zone in zones for label in self._peers.in_zone(zone)]
        preconditions: dict[str, int] = {}
        informed: set[str] = set()
        note = self._cluster.cancellation_notes.get(job_id)

        async def tell(label: str) -> None:
            key = keys.controller(label)
            version = self._cluster.mirror.version(key)
            body = wire.cancellation_body(job_id)
            answer = await self._peers.call(label, "POST", wire.CANCELLATION_PATH, body)
            if answer is not None or self.has_stopped_keepalives(label):
                preconditions[key] = version
                informed.add(label)
            elif note is not None and self._has_read(label, note):
                # it has read the note, and any process that replaces it will
                preconditions[keys.cancellation_note(job_id)] = note.version
                informed.add(label)

        async with curio.TaskGroup() as group:
            for label in labels:
                await group.spawn(tell, label)
        return preconditions if len(informed) == len(labels) else None

    def _ends_in_time_anyway(self) -> bool:
        """Whether a worker that is kept alive for as long as possible still ends in time."""
        return self._longest_run_s() <= self._settings.cancellation_deadline_s

    def _longest_run_s(self) -> float:
        """How long after its controller's last read of durable state a worker may run."""
        settings = self._settings
        return (
            settings.partition_keepalive_s
            + settings.worker_lease_expiry_s
            + settings.heartbeat_interval_s
        )

    def has_stopped_keepalives(self, label: str) -> bool:
        """Whether a controller that can't be asked can no longer keep tasks alive for too long.

        True once it has been absent for so long that all it kept alive ends in time by itself.
        """
        span_s = self._longest_run_s() - self._settings.cancellation_deadline_s
        span_s *= 1 + self._settings.clock_drift
        return self._absences.has_lasted(label, span_s)

    def _has_read(self, label: str, note: CancellationNote) -> bool:
        record = self._cluster.controllers.get(label)
        return record is not None and record.newest_read_note >= note.version
