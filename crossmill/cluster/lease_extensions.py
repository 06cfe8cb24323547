"""Extends the authority to answer heartbeats while the state service is unavailable.

A controller whose lease can't be renewed may go on answering its workers (and do nothing more)
while every peer has granted it an extension, which is a promise not to acquire its shards: only a
peer could. A grant is known to the process that gave it, but not to the process that replaces that
one. So a controller that has just started acquires a shard without an owner only once all peers
say that they don't act for it, or after the longest extension that the process before can have
granted has ended.

`Membership` requests extensions and asks about grants; the peer server passes requests to `handle`.
"""

import logging
from collections.abc import Callable
from typing import Protocol

import curio

from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Peer, Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from .ownership import OwnedShards
from .peer_links import STATUS_OK

log = logging.getLogger(__name__)


class ServiceContact(Protocol):
    """When the state service last served this controller, and when it did not."""

    def served_ago_s(self) -> float | None:
        """How many seconds ago it last served a request; None if it never did."""

    def refused_at(self) -> float:
        """When it last refused a request or did not answer (steady clock)."""


class LeaseExtensions:
    """Grants extensions to peers, and requests them for this controller's own shards."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        shards: OwnedShards,
        service: ServiceContact,
        connect: Callable[[Peer], HttpClient] = lambda peer: Client(peer.endpoint, max_sockets=2),
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._shards = shards
        self._service = service
        self._http = {peer.label: connect(peer) for peer in settings.peers}
        self._request_timeout_s = settings.lease_extension_grant_s / 4
        self._started_at = clock.now()
        # by shard: until when this controller has granted a peer not to acquire it
        self._granted_until: dict[int, float] = {}
        # by peer: until when it has granted an extension to this controller
        self._received_until: dict[str, float] = {}
        # by peer: the shards that it did not act for when it was asked
        self._unclaimed_by_peer: dict[str, set[int]] = {}
        # since when the lease can't be renewed
        self._failing_since: float | None = None
        # when a peer was first seen to be served while this controller was not
        self._peer_served_at: float | None = None
        # whether the state service serves others but not this controller
        self.is_only_one_refused = False

    # -- extensions granted to peers -------------------------------------------------

    def handle(self, request: Request) -> Response:
        """Answers a peer's request for an extension, or for the shards that are owned here."""
        own_shards = self._shards.owned_or_acquiring()
        if request.path == wire.OWNED_SHARDS_PATH and request.method == "GET":
            return Response(200, wire.owned_shards_body(sorted(own_shards)))
        if request.path != wire.EXTENSION_PATH or request.method != "POST":
            return Response(404)
        try:
            extension_request = wire.parse_extension_request(request.body)
        except MalformedMessageError:
            return Response(400)
        if not own_shards.isdisjoint(extension_request.shards):
            return Response(409)
        self._grant(extension_request.shards)
        return Response(200, wire.extension_grant_body(self._service.served_ago_s()))

    def _grant(self, shards: tuple[int, ...]) -> None:
        grant_s = self._settings.lease_extension_grant_s * (1 + self._settings.clock_drift)
        until = self._clock.now() + grant_s
        for shard in shards:
            self._granted_until[shard] = until

    def is_granted_to_peer(self, shard: int) -> bool:
        """Whether an extension granted to a peer forbids acquiring this shard now."""
        return self._clock.now() < self._granted_until.get(shard, 0.0)

    def may_acquire_unowned(self, shard: int) -> bool:
        """Whether no extension of an earlier process under this label can still be in force."""
        waited_s = self._clock.now() - self._started_at
        longest_s = self._settings.lease_extension_grant_s * (1 + 2 * self._settings.clock_drift)
        if waited_s > longest_s:
            return True
        return all(shard in self._unclaimed_by_peer.get(label, ()) for label in self._http)

    async def query_peers(self) -> None:
        """Asks all peers which shards they act for; of use soon after the start only."""
        async with curio.TaskGroup() as group:
            for label in self._http:
                await group.spawn(self._query_peer, label)

    async def _query_peer(self, label: str) -> None:
        try:
            status, data = await self._http[label].request(
                "GET", wire.OWNED_SHARDS_PATH, b"", self._request_timeout_s
            )
            if status == STATUS_OK:
                claimed = wire.parse_owned_shards(data)
                all_shards = set(range(self._settings.shard_count))
                self._unclaimed_by_peer[label] = all_shards.difference(claimed)
        except (ConnectionFailedError, NoResponseError, MalformedMessageError) as exc:
            log.debug("peer not reached peer=%s error=%s", label, exc)

    # -- extensions received from peers ----------------------------------------------

    def reset(self) -> None:
        """Ends the use of extensions: the lease can be renewed again."""
        if self._failing_since is not None:
            self._failing_since = None
            self._peer_served_at = None
            self.is_only_one_refused = False
            self._received_until.clear()

    def is_extended(self) -> bool:
        """Whether every peer has granted an extension that is still in force.

        A job cancelled through another controller meanwhile is not known here, so extensions are
        used for `max_lease_extension_s` at most: the job's tasks still end in time (`cancel_s` in
        PROTOCOL).
        """
        since, now = self._failing_since, self._clock.now()
        if since is None or now - since > self._settings.max_lease_extension_s:
            return False
        return all(now < self._received_until.get(label, 0.0) for label in self._http)

    async def request_grants(self, shards: list[int]) -> None:
        """Asks all peers for an extension for these shards."""
        now = self._clock.now()
        if self._failing_since is None:
            self._failing_since = now
        # once workers are no longer answered, a grant would only keep peers from taking over
        is_too_late = now - self._failing_since > self._settings.max_lease_extension_s
        if not shards or is_too_late or self.is_only_one_refused:
            return
        extension_request = wire.ExtensionRequest(self._settings.label, tuple(shards))
        async with curio.TaskGroup() as group:
            for label in self._http:
                await group.spawn(self._request_grant, label, extension_request)

    async def _request_grant(self, label: str, extension_request: wire.ExtensionRequest) -> None:
        sent = self._clock.now()
        try:
            status, data = await self._http[label].request(
                "POST",
                wire.EXTENSION_PATH,
                wire.extension_request_body(extension_request),
                self._request_timeout_s,
            )
            served_ago_s = wire.parse_extension_grant(data) if status == STATUS_OK else None
        except (ConnectionFailedError, NoResponseError, MalformedMessageError) as exc:
            log.debug("lease extension not answered peer=%s error=%s", label, exc)
            return
        if status != STATUS_OK:
            log.info("lease extension denied peer=%s status=%d", label, status)
            self._received_until.pop(label, None)
            return
        grant_s = self._settings.lease_extension_grant_s * (1 - self._settings.clock_drift)
        self._received_until[label] = sent + grant_s
        if served_ago_s is not None:
            self._detect_isolation(label, sent - served_ago_s)

    def _detect_isolation(self, label: str, peer_served_at: float) -> None:
        """Notices that the state service refuses this controller alone.

        In an outage it serves nobody. A peer that it has served clearly later than it first refused
        this controller shows that it is up, but the first one served after an outage looks alike:
        so this controller must be refused once more after that.
        """
        if self._failing_since is None or self.is_only_one_refused:
            return
        if peer_served_at <= self._failing_since + self._settings.lease_renewal_interval_s:
            return
        if self._peer_served_at is None:
            self._peer_served_at = self._clock.now()
        elif self._service.refused_at() > self._peer_served_at:
            log.info("state service refuses only this controller peer=%s", label)
            self.is_only_one_refused = True
