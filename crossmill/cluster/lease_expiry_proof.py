"""An owner's proof that a silent worker's lease has expired.

While a zone is partitioned, the zone's own controllers may keep its workers alive
(cluster/partition_keepalive.py). The owner of a machine therefore can't conclude from missing
heartbeats alone that the worker's lease has expired. Each other controller of the machine's zone
must attest that it has not responded to the worker and will not do so, or must have been absent
for long enough.
"""

import logging
from typing import NamedTuple

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from . import keys
from .cluster_state import ClusterState
from .model import Machine
from .peer_links import PeerLinks

log = logging.getLogger(__name__)


class Attestation(NamedTuple):
    """A controller's assurance that it does not keep a silent machine alive.

    Attributes:
        silent_since: The time since which the controller has not kept the machine alive.
        expires_at: The time before which the controller will not keep the machine alive.
        key_version: The version of the controller's key when the attestation was requested. The
            attestation holds only for that process, not for a process that replaces it.
    """

    silent_since: float
    expires_at: float
    key_version: int


class _KeyHistory(NamedTuple):
    """Counters of which at least one increases if a controller's key is written again."""

    key_changes: int
    full_reads: int


class _Absence(NamedTuple):
    """The time since which a controller's key has been missing, and its history up to then."""

    since: float
    history: _KeyHistory


class ControllerAbsences:
    """The times since which controllers without a key are certain to have had none."""

    def __init__(self, clock: Clock, cluster: ClusterState) -> None:
        self._clock = clock
        self._cluster = cluster
        self._absences: dict[str, _Absence] = {}

    def observe(self, label: str) -> None:
        """Record an absence of the controller from now on, unless a known absence continues."""
        if self.since(label) is None:
            self._absences[label] = _Absence(self._clock.now(), self._history(label))

    def since(self, label: str) -> float | None:
        """Return the time since which the controller is certain to have had no key, if known.

        While this process was stalled, the controller may have restarted, synced with the state
        service, and ended again. An absence recorded before the stall then does not count.
        """
        absence = self._absences.get(label)
        if absence is None or label in self._cluster.controllers:
            return None
        return absence.since if absence.history == self._history(label) else None

    def has_lasted(self, label: str, span_s: float) -> bool:
        """Return whether the controller is certain to have had no key for longer than the span."""
        since = self.since(label)
        return since is not None and self._clock.now() > since + span_s

    def _history(self, label: str) -> _KeyHistory:
        changes = self._cluster.controllers.key_change_counts.get(label, 0)
        return _KeyHistory(changes, self._cluster.mirror.full_read_count)


class LeaseExpiryProof:
    """The attestations collected for the silent machines that this controller owns."""

    def __init__(
        self, settings: Settings, clock: Clock, cluster: ClusterState, peers: PeerLinks
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._peers = peers
        self.absences = ControllerAbsences(clock, cluster)
        # zones of the machines for which attestations are to be requested, by machine ID
        self._requested: dict[str, str] = {}
        # attestations by controller label and machine ID
        self._attestations: dict[tuple[str, str], Attestation] = {}

    def request_attestation(self, machine: Machine) -> None:
        """Schedule requests to the controllers of a silent machine's zone for the next step.

        No request is scheduled if all of them have given an attestation that is still valid. To be
        called well before the worker's lease expires.
        """
        now = self._clock.now()
        for label in self._peers.labels_in_zone(machine.zone):
            attestation = self._attestations.get((label, machine.id))
            key_version = self._key_version(label)
            if attestation is None or not _is_valid(attestation, now, key_version):
                self._requested[machine.id] = machine.zone

    def preconditions(self, machine: Machine, last_response_at: float) -> dict[str, int] | None:
        """Return the conditions of a write that assumes that the worker's lease has expired.

        An attestation holds for one process. The process that replaces it writes the controller's
        key before it keeps any worker alive, so the write is conditional on the controllers' keys.

        Args:
            machine: The worker's machine.
            last_response_at: The time at which this controller last responded to the worker.

        Returns:
            The required key versions by key, or None if the lease may not have expired.
        """
        now = self._clock.now()
        preconditions: dict[str, int] = {}
        for label in self._peers.labels_in_zone(machine.zone):
            key_version = self._key_version(label)
            kept_alive_until = self._latest_keepalive(label, machine, now, key_version)
            if kept_alive_until is None:
                return None
            last_response_at = max(last_response_at, kept_alive_until)
            preconditions[keys.controller(label)] = key_version
        has_expired = now - last_response_at > self._settings.worker_lease_expiry_s
        return preconditions if has_expired else None

    def _latest_keepalive(
        self, label: str, machine: Machine, now: float, key_version: int
    ) -> float | None:
        """Return the latest time at which the controller can have kept the machine alive."""
        attestation = self._attestations.get((label, machine.id))
        absent_since = self.absences.since(label)
        if attestation is not None and _is_valid(attestation, now, key_version):
            return attestation.silent_since
        if absent_since is None:
            return None
        # keepalives end a fixed time after the controller's last valid sync, and no sync sent after
        # the deletion of its key is valid
        keepalive_s = self._settings.partition_keepalive_s * (1 + self._settings.clock_drift)
        return absent_since + keepalive_s

    def is_zone_unreachable(self, zone: str) -> bool:
        """Return whether no other controller of the zone has responded within a worker's lease.

        Returns False if the zone has no other controllers.
        """
        since = self._clock.now() - self._settings.worker_lease_s
        labels = list(self._peers.labels_in_zone(zone))
        responses = self._peers.last_response_at
        return bool(labels) and all(responses.get(label, since) <= since for label in labels)

    def observe_absences(self) -> None:
        """Record which controllers have no key; called at each step of `PartitionProtocol`."""
        for label in self._peers.labels:
            self.absences.observe(label)

    def drop_expired(self) -> None:
        """Remove the attestations that have expired."""
        now = self._clock.now()
        self._attestations = {
            key: attestation
            for key, attestation in self._attestations.items()
            if attestation.expires_at > now
        }

    async def query_zones(self, group: curio.TaskGroup) -> None:
        """Request the scheduled attestations from the zones' controllers, in tasks of the group."""
        requested, self._requested = self._requested, {}
        for zone, labels in self._peers.labels_by_zone:
            machines = [machine for machine, at in requested.items() if at == zone]
            for label in labels if machines else ():
                await group.spawn(self._query, label, machines)

    async def _query(self, label: str, machines: list[str]) -> None:
        sent = self._clock.now()
        key_version = self._key_version(label)
        body = wire.attestation_request_body(machines)
        data = await self._peers.call(label, "POST", wire.ATTESTATION_PATH, body)
        if data is None:
            return
        try:
            spans_s = wire.parse_attestations(data)
        except MalformedMessageError as exc:
            log.info("malformed response peer=%s error=%s", label, exc)
            return
        now, drift = self._clock.now(), self._settings.clock_drift
        expires_at = sent + self._settings.attestation_ttl_s * (1 - drift)
        for machine, span_s in zip(machines, spans_s, strict=False):
            silent_since = now - span_s * (1 - drift)
            self._attestations[label, machine] = Attestation(silent_since, expires_at, key_version)

    def _key_version(self, label: str) -> int:
        return self._cluster.mirror.version(keys.controller(label))


def _is_valid(attestation: Attestation, now: float, key_version: int) -> bool:
    return now < attestation.expires_at and attestation.key_version == key_version
