"""Announcement of a cancellation to other controllers before it is confirmed to the user.

A controller that is partitioned together with tasks of the job must know of the cancellation.
Otherwise it might keep their workers alive beyond the time by which PROTOCOL requires a cancelled
task to have ended. The job API announces each cancellation before it writes it.
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
    """Sender of cancellations to the controllers of the zones in which a job has tasks."""

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
        """Notify the controllers of these zones that the job is about to be cancelled.

        Returns:
            The key versions that the write of the cancellation must be conditional on, by key. They
            ensure that each controller is still the process that was notified. None if not all
            controllers could be notified: the cancellation must then not be confirmed yet.
        """
        if self._is_announcement_unneeded():
            return {}
        zones = set(zones)
        if self._settings.zone in zones:
            # if the zone is partitioned before the response to the write arrives, this process has
            # no other way to learn of the cancellation
            self._pending.add(job_id)
        labels = [label for zone in zones for label in self._peers.labels_in_zone(zone)]
        preconditions: dict[str, int] = {}
        notified: set[str] = set()
        note = self._cluster.cancellation_notes.get(job_id)

        async def announce_to(label: str) -> None:
            key = keys.controller(label)
            version = self._cluster.mirror.version(key)
            body = wire.cancellation_body(job_id)
            response = await self._peers.call(label, "POST", wire.CANCELLATION_PATH, body)
            if response is not None or self.has_been_absent_long_enough(label):
                preconditions[key] = version
                notified.add(label)
            elif note is not None and self._has_read(label, note):
                # the controller has read the note, and a process that replaces it will read it too
                preconditions[keys.cancellation_note(job_id)] = note.version
                notified.add(label)

        async with curio.TaskGroup() as group:
            for label in labels:
                await group.spawn(announce_to, label)
        return preconditions if len(notified) == len(labels) else None

    def _is_announcement_unneeded(self) -> bool:
        """Return whether tasks end by the deadline even with the longest possible keepalive."""
        return self._max_run_after_sync_s() <= self._settings.cancellation_deadline_s

    def _max_run_after_sync_s(self) -> float:
        """Return how long a worker may run after its controller's last valid sync, in seconds.

        `StateSync` defines which syncs are valid.
        """
        settings = self._settings
        return (
            settings.partition_keepalive_s
            + settings.worker_lease_expiry_s
            + settings.heartbeat_interval_s
        )

    def has_been_absent_long_enough(self, label: str) -> bool:
        """Return whether all tasks that the controller may have kept alive end by the deadline.

        This is the case once the controller has been absent for so long that they end within the
        cancellation deadline without a command.
        """
        span_s = self._max_run_after_sync_s() - self._settings.cancellation_deadline_s
        span_s *= 1 + self._settings.clock_drift
        return self._absences.has_lasted(label, span_s)

    def _has_read(self, label: str, note: CancellationNote) -> bool:
        record = self._cluster.controllers.get(label)
        return record is not None and record.newest_read_note >= note.version
