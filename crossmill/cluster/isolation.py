"""Detection that the state service is unavailable to this controller but not to its peers.

PROTOCOL gives a controller no way to tell an outage from a fault of its own connection. The
detector therefore asks the peers when the service last served them. `LeaseExtensions` passes on
what it learns from the same answers. docs/safety.md ("Where users are sent") lists every case.

The detector owns the peers' latest reports. `LeaseExtensions` requests no extensions while the
controller is isolated, and `UserAvailability` sends users to other controllers.
"""

import logging
from enum import Enum
from typing import NamedTuple, Protocol

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from .peer_links import PeerLinks

log = logging.getLogger(__name__)


class ServiceStatus(Protocol):
    """The times of this controller's last successful and failed calls to the state service."""

    def last_success_age_s(self) -> float | None:
        """Return the seconds since the last successful call; None if no call has succeeded."""

    def last_failure_at(self) -> float:
        """Return when the service last was unavailable or did not respond (monotonic clock)."""

    def unavailable_since(self) -> float | None:
        """Return when the service became unavailable (monotonic clock); None if it is available."""


class IsolationReason(Enum):
    """Why this controller counts as isolated; the values are logged."""

    PEER_SERVED = "peer-served"
    PEERS_SILENT = "peers-silent"
    SOME_PEERS_SILENT = "some-peers-silent"


class _Suspicion(NamedTuple):
    """A peer was served while the service was unavailable here.

    Attributes:
        unavailable_since: The time at which the service had become unavailable here.
        at: The time at which this controller learned of it.
    """

    unavailable_since: float
    at: float


class IsolationDetector:
    """Detector of a state service that is unavailable to this controller alone."""

    def __init__(
        self, settings: Settings, clock: Clock, service: ServiceStatus, peers: PeerLinks
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._service = service
        self._peers = peers
        # send times of the peers' newest answered questions, by label
        self._answered_at: dict[str, float] = {}
        self._suspicion: _Suspicion | None = None
        # the value of `unavailable_since` for which a peer is proved to have been served
        self._proved_for: float | None = None
        self._logged_reason: IsolationReason | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether the service is unavailable here, and peers are served or may well be."""
        return self.reason() is not None

    def reason(self) -> IsolationReason | None:
        """Return why this controller counts as isolated; None if it does not."""
        since = self._service.unavailable_since()
        if since is None or not self._settings.peers:
            return None
        if self._proved_for == since:
            return IsolationReason.PEER_SERVED
        now = self._clock.now()
        silent_s = [
            now - max(since, self._answered_at.get(peer.label, since))
            for peer in self._settings.peers
        ]
        if min(silent_s) > self._settings.silent_peers_isolation_s:
            return IsolationReason.PEERS_SILENT
        if max(silent_s) > self._settings.silent_peer_isolation_s:
            return IsolationReason.SOME_PEERS_SILENT
        return None

    def record_answer(self, label: str, sent_at: float, served_ago_s: float | None) -> None:
        """Record a peer's answer.

        Args:
            label: The peer.
            sent_at: The time at which the question was sent.
            served_ago_s: Seconds since the state service last served the peer; None if never.
        """
        self._answered_at[label] = max(sent_at, self._answered_at.get(label, sent_at))
        if served_ago_s is not None:
            self._evaluate(label, sent_at - served_ago_s)

    def _evaluate(self, label: str, peer_served_at: float) -> None:
        """Check whether the service serves a peer while it is unavailable here.

        In an outage the service serves no controller. If it has served a peer clearly later than it
        became unavailable here, then it is running. The first peer that is served after an outage
        looks the same, so one more call of this controller must fail after that.
        """
        since = self._service.unavailable_since()
        if since is None or self._proved_for == since:
            return
        if peer_served_at <= since + self._settings.lease_renewal_interval_s:
            return
        if self._suspicion is None or self._suspicion.unavailable_since != since:
            self._suspicion = _Suspicion(since, self._clock.now())
        elif self._service.last_failure_at() > self._suspicion.at:
            log.info("state service refuses only this controller peer=%s", label)
            self._proved_for = since

    async def step(self) -> None:
        """Ask the peers while the state service is unavailable, and log a change of the reason."""
        if self._service.unavailable_since() is not None:
            async with curio.TaskGroup() as group:
                for label in self._peers.labels:
                    await group.spawn(self._ask, label)
        self._log_change()

    async def _ask(self, label: str) -> None:
        """Ask a peer when the state service last served it.

        The question is a request to extend the lease of no shards, which promises nothing. Earlier
        versions answer it too.
        """
        sent_at = self._clock.now()
        question = wire.extension_request_body(wire.ExtensionRequest(self._settings.label, ()))
        data = await self._peers.call(label, "POST", wire.EXTENSION_PATH, question)
        if data is None:
            return
        try:
            self.record_answer(label, sent_at, wire.parse_extension_grant(data))
        except MalformedMessageError as exc:
            log.info("malformed response peer=%s error=%s", label, exc)

    def _log_change(self) -> None:
        reason = self.reason()
        if reason is self._logged_reason:
            return
        self._logged_reason = reason
        if reason is None:
            log.info("isolation ended")
        else:
            log.info("controller isolated reason=%s", reason.value)

    async def run(self) -> None:
        """Call `step` at every lease renewal interval until the controller stops."""
        while True:
            await self.step()
            await curio.sleep(self._settings.lease_renewal_interval_s)
