"""An owner's proof that a silent worker's lease has expired.

While a zone is partitioned its own controllers may keep its workers alive
(cluster/partition_keepalive.py). Whoever owns a machine therefore can't conclude from silence alone
that its worker's lease has expired: each other controller of the machine's zone has to attest that
it has not answered the worker and will not, or it has to have been absent for long enough.
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

    It has not done so since `silent_since` and will not before `expires_at`. `key_version` is that
    of the controller's key when it was asked: the assurance is that process's, and void for the
    process that replaces it.
    """

    silent_since: float
    expires_at: float
    key_version: int


class _KeyHistory(NamedTuple):
    """What would have changed if a controller's key had been written again."""

    key_changes: int
    full_reads: int


class _Absence(NamedTuple):
    """Since when a controller's key has been missing, and its history up to then."""

    since: float
    history: _KeyHistory


class ControllerAbsences:
    """Since when for certain each controller without a key has had none."""

    def __init__(self, clock: Clock, cluster: ClusterState) -> None:
        self._clock = clock
        self._cluster = cluster
        self._absences: dict[str, _Absence] = {}

    def observe(self, label: str) -> None:
        """Notes that the controller is absent from now on, unless a known absence still lasts."""
        if self.since(label) is None:
            self._absences[label] = _Absence(self._clock.now(), self._history(label))

    def since(self, label: str) -> float | None:
        """Since when the controller has certainly had no key; None if that is not known.

        While this process stalled the controller may have come back, read what was durable, and
        ended again; then an absence noted before the stall does not count.
        """
        absence = self._absences.get(label)
        if absence is None or label in self._cluster.controllers:
            return None
        return absence.since if absence.history == self._history(label) else None

    def has_lasted(self, label: str, span_s: float) -> bool:
        """Whether the controller has certainly had no key for longer than the span."""
        since = self.since(label)
        return since is not None and self._clock.now() > since + span_s

    def _history(self, label: str) -> _KeyHistory:
        changes = self._cluster.controllers.key_changes.get(label, 0)
        return _KeyHistory(changes, self._cluster.mirror.full_read_count)


class LeaseExpiryProof:
    """Gathers attestations for the silent machines that this controller owns."""

    def __init__(
        self, settings: Settings, clock: Clock, cluster: ClusterState, peers: PeerLinks
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._peers = peers
        self.absences = ControllerAbsences(clock, cluster)
        # machines to be asked about, with their zones
        self._requested: dict[str, str] = {}
        # by controller and machine
        self._attestations: dict[tuple[str, str], Attestation] = {}

    def request_attestation(self, machine: Machine) -> None:
        """Has the controllers of a silent machine's zone asked at the next step.

        Those with a valid attestation are left out. To be called well before the lease expires.
        """
        now = self._clock.now()
        for label in self._peers.in_zone(machine.zone):
            attestation = self._attestations.get((label, machine.id))
            key_version = self._key_version(label)
            if attestation is None or not _is_valid(attestation, now, key_version):
                self._requested[machine.id] = machine.zone

    def preconditions(self, machine: Machine, answered_at: float) -> dict[str, int] | None:
        """The conditions of a write that presumes that the worker's lease has expired.

        They are versions of keys by key; None if the lease may not have expired. `answered_at` is
        when this controller last answered the worker.

        An attestation is that of a process, and the process that replaces it writes the
        controller's key before it keeps anything alive: so the write is conditional on these keys.
        """
        now = self._clock.now()
        preconditions: dict[str, int] = {}
        for label in self._peers.in_zone(machine.zone):
            key_version = self._key_version(label)
            kept_alive_until = self._latest_keepalive(label, machine, now, key_version)
            if kept_alive_until is None:
                return None
            answered_at = max(answered_at, kept_alive_until)
            preconditions[keys.controller(label)] = key_version
        has_expired = now - answered_at > self._settings.worker_lease_expiry_s
        return preconditions if has_expired else None

    def _latest_keepalive(
        self, label: str, machine: Machine, now: float, key_version: int
    ) -> float | None:
        """The latest time at which the controller can have kept the machine alive."""
        attestation = self._attestations.get((label, machine.id))
        absent_since = self.absences.since(label)
        if attestation is not None and _is_valid(attestation, now, key_version):
            return attestation.silent_since
        if absent_since is None:
            return None
        # after its key was deleted it made no read that counts
        keepalive_s = self._settings.partition_keepalive_s * (1 + self._settings.clock_drift)
        return absent_since + keepalive_s

    def is_zone_unreachable(self, zone: str) -> bool:
        """Whether the zone has other controllers and none has answered for a worker's lease."""
        since = self._clock.now() - self._settings.worker_lease_s
        labels = list(self._peers.in_zone(zone))
        answers = self._peers.last_answer_at
        return bool(labels) and all(answers.get(label, since) <= since for label in labels)

    def observe_absences(self) -> None:
        """Notes which controllers have no key; called at each step of the protocol."""
        for label in self._peers.labels:
            self.absences.observe(label)

    def drop_expired(self) -> None:
        """Removes attestations that have expired."""
        now = self._clock.now()
        self._attestations = {
            key: attestation
            for key, attestation in self._attestations.items()
            if attestation.expires_at > now
        }

    async def ask_zones(self, group: curio.TaskGroup) -> None:
        """Asks the controllers of the requested machines' zones, in tasks of the group."""
        requested, self._requested = self._requested, {}
        for zone, labels in self._peers.zones:
            machines = [machine for machine, at in requested.items() if at == zone]
            for label in labels if machines else ():
                await group.spawn(self._ask, label, machines)

    async def _ask(self, label: str, machines: list[str]) -> None:
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
