"""Answering workers while the state service can't be asked.

A controller whose lease can't be renewed may go on answering its workers (and nothing more)
as long as every peer has promised not to take its shards: only a peer could. A promise is
given by a process; the next process under the same label does not know of it, so a controller
that has just started takes a shard whose key is missing only when all peers say that they do
not act for it, or after the longest promise it can have forgotten has ended.
"""

import logging
from collections.abc import Callable
from typing import Protocol

import curio

from ..net.client import Client, ConnectionFailedError, Http, NoResponseError
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Peer, Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from .ownership import OwnedShards

log = logging.getLogger(__name__)


class ServiceContact(Protocol):
    """When the state service last served this controller, and when it did not."""

    def served_ago_s(self) -> float | None:
        """How long ago it was served; None: never."""

    def refused_at(self) -> float:
        """When it was last refused, or got no answer."""


class LeaseExtensions:
    """Grants and asks for extensions of a controller's right to answer while the state service
    is out.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        shards: OwnedShards,
        service: ServiceContact,
        connect: Callable[[Peer], Http] = lambda peer: Client(peer.endpoint, max_sockets=2),
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._http = {peer.label: connect(peer) for peer in settings.peers}
        self._started = clock.now()
        self._granted_until: dict[int, float] = {}
        self._grants_until: dict[str, float] = {}
        self._unclaimed_by_peer: dict[str, set[int]] = {}
        self._failing_since: float | None = None
        self._shards = shards
        self._service = service
        self._others_served_at: float | None = None
        self.is_only_one_refused = False

    # -- promises given --------------------------------------------------------------

    def handle(self, request: Request) -> Response:
        """Answers a peer's request for a promise, or for the shards that this controller acts
        for.
        """
        mine = self._shards.owned_or_acquiring()
        if request.path == wire.OWNED_SHARDS_PATH and request.method == "GET":
            return Response(200, wire.owned_shards_body(sorted(mine)))
        if request.path != wire.EXTENSION_PATH or request.method != "POST":
            return Response(404)
        try:
            claim = wire.parse_extension_request(request.body)
        except MalformedMessageError:
            return Response(400)
        if mine & set(claim.shards):
            return Response(409)
        until = self._clock.now() + self._settings.lease_extension_grant_s * (
            1 + self._settings.clock_drift
        )
        for shard in claim.shards:
            self._granted_until[shard] = until
        return Response(200, wire.extension_grant_body(self._service.served_ago_s()))

    def is_granted_to_peer(self, shard: int) -> bool:
        """Whether a promise forbids taking this shard now."""
        return self._clock.now() < self._granted_until.get(shard, 0.0)

    def may_acquire_unowned(self, shard: int) -> bool:
        """Whether a shard without an owner can't be under a promise this label has forgotten."""
        waited = self._clock.now() - self._started
        if waited > self._settings.lease_extension_grant_s * (1 + 2 * self._settings.clock_drift):
            return True
        return all(shard in self._unclaimed_by_peer.get(label, ()) for label in self._http)

    async def query_peers(self) -> None:
        """Ask the peers once, soon after the start, what they act for."""
        async with curio.TaskGroup() as group:
            for label in self._http:
                await group.spawn(self._query_peer, label)

    async def _query_peer(self, label: str) -> None:
        try:
            status, data = await self._http[label].request(
                "GET", wire.OWNED_SHARDS_PATH, b"", self._settings.lease_extension_grant_s / 4
            )
            if status == 200:
                acting = wire.parse_owned_shards(data)
                self._unclaimed_by_peer[label] = set(range(self._settings.shard_count)) - set(
                    acting
                )
        except (ConnectionFailedError, NoResponseError, MalformedMessageError) as exc:
            log.debug("peer not reached peer=%s error=%s", label, exc)

    # -- promises got ----------------------------------------------------------------

    def reset(self) -> None:
        """The lease stands again: promises are no longer leaned on."""
        if self._failing_since is not None:
            self._failing_since = None
            self._others_served_at = None
            self.is_only_one_refused = False
            self._grants_until.clear()

    def is_extended(self) -> bool:
        """Whether every peer's promise, counted from when it was asked for, still holds. A job
        withdrawn by others meanwhile is not known here, so this ends well before cancel_s.
        """
        since, now = self._failing_since, self._clock.now()
        if since is None or now - since > self._settings.max_lease_extension_s:
            return False
        return all(now < self._grants_until.get(label, 0.0) for label in self._http)

    async def request_grants(self, shards: list[int]) -> None:
        """Asks all peers not to take these shards for a while."""
        if self._failing_since is None:
            self._failing_since = self._clock.now()
        # once workers are no longer answered, a promise would only keep peers from taking over
        over = self._clock.now() - self._failing_since > self._settings.max_lease_extension_s
        if not shards or over or self.is_only_one_refused:
            return
        claim = wire.ExtensionRequest(self._settings.label, tuple(shards))
        async with curio.TaskGroup() as group:
            for label in self._http:
                await group.spawn(self._request_grant, label, claim)

    async def _request_grant(self, label: str, claim: wire.ExtensionRequest) -> None:
        sent = self._clock.now()
        try:
            status, data = await self._http[label].request(
                "POST",
                wire.EXTENSION_PATH,
                wire.extension_request_body(claim),
                self._settings.lease_extension_grant_s / 4,
            )
            ago_s = wire.parse_extension_grant(data) if status == 200 else None
        except (ConnectionFailedError, NoResponseError, MalformedMessageError) as exc:
            log.debug("lease extension not answered peer=%s error=%s", label, exc)
            return
        if status == 200:
            self._grants_until[label] = sent + self._settings.lease_extension_grant_s * (
                1 - self._settings.clock_drift
            )
            self._detect_isolation(label, sent, ago_s)
        else:
            log.info("lease extension denied peer=%s status=%d", label, status)
            self._grants_until.pop(label, None)

    def _detect_isolation(self, label: str, sent: float, ago_s: float | None) -> None:
        """In an outage nobody has been served since it began; a peer that was, and clearly
        later than we were first refused, shows that the trouble is ours alone. Only if we are
        refused once more after that: the first to be served after an outage would look alike.
        """
        if ago_s is None or self._failing_since is None or self.is_only_one_refused:
            return
        if sent - ago_s <= self._failing_since + self._settings.lease_renewal_interval_s:
            return
        if self._others_served_at is None:
            self._others_served_at = self._clock.now()
        elif self._service.refused_at() > self._others_served_at:
            log.info("state service refuses only this controller peer=%s", label)
            self.is_only_one_refused = True
