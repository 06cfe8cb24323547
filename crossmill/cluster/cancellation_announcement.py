"""Telling other controllers of a cancellation before it is confirmed.

A controller that is partitioned together with tasks of the job must know of the cancellation, or
it might keep their worker alive past the time by which PROTOCOL has a cancelled task end.
"""

from collections.abc import Iterable

import curio

from ..net.clock import Clock
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
        clock: Clock,
        cluster: ClusterState,
        peers: PeerLinks,
        absences: ControllerAbsences,
        pending: PendingCancellations,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._peers = peers
        self._absences = absences
        self._pending = pending

    async def announce(self, job_id: str, zones: Iterable[str]) -> dict[str, int] | None:
        """Tells the controllers of these zones that the job is about to be cancelled.

        Returns the versions of keys that the cancellation's write is to rest on (that each is
        still the process that was told), or None if it can't be confirmed yet.
        """
        if self._ends_in_time_anyway():
            return {}
        zones = set(zones)
        if self._settings.zone in zones:
            # if the zone is cut off before the write is answered, nothing else tells this process
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
                # it has read the note, as any process that follows it will
                preconditions[keys.cancellation_note(job_id)] = note.version
                informed.add(label)

        async with curio.TaskGroup() as group:
            for label in labels:
                await group.spawn(tell, label)
        return preconditions if len(informed) == len(labels) else None

    def _ends_in_time_anyway(self) -> bool:
        """Whether a worker that is kept alive for as long as may be still ends in time."""
        return self._longest_run_s() <= self._settings.cancellation_deadline_s

    def _longest_run_s(self) -> float:
        """How long after its controller lost touch a worker may go on."""
        settings = self._settings
        return (
            settings.partition_keepalive_s
            + settings.worker_lease_expiry_s
            + settings.heartbeat_interval_s
        )

    def has_stopped_keepalives(self, label: str) -> bool:
        """Whether a controller that can't be asked has long stopped keeping anything alive that
        would not end in time by itself.
        """
        absent_since = self._absences.since(label)
        span_s = self._longest_run_s() - self._settings.cancellation_deadline_s
        span_s *= 1 + self._settings.clock_drift
        return absent_since is not None and self._clock.now() > absent_since + span_s

    def _has_read(self, label: str, note: CancellationNote) -> bool:
        record = self._cluster.controllers.get(label)
        return record is not None and record.seen_note >= note.version
