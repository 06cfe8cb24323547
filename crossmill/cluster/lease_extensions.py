"""Extensions of the authority to respond to heartbeats while the state service is unavailable.

A controller whose lease can't be renewed may continue to respond to its workers' heartbeats, and
do nothing else, while every peer has granted it an extension. A grant is a promise not to acquire
the controller's shards, which only a peer could do. It is kept in memory, so a replacement of the
process that gave it does not know of it. A controller that has just started therefore acquires a
shard without an owner only once all peers report that they don't act for it, or once the longest
extension that the previous process can have granted has expired.

`Membership` requests extensions and checks grants. The peer server passes requests to `handle`.
"""

import logging
from collections.abc import Callable

import curio

from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Peer, Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from .isolation import IsolationDetector, ServiceStatus
from .ownership import OwnedShards
from .peer_links import STATUS_OK

log = logging.getLogger(__name__)


class LeaseExtensions:
    """Extensions granted to peers, and extensions received for this controller's own shards."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        shards: OwnedShards,
        service: ServiceStatus,
        isolation: IsolationDetector,
        connect: Callable[[Peer], HttpClient] = lambda peer: Client(peer.endpoint, max_sockets=2),
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._shards = shards
        self._service = service
        self._isolation = isolation
        self._http = {peer.label: connect(peer) for peer in settings.peers}
        self._request_timeout_s = settings.lease_extension_grant_s / 4
        self._started_at = clock.now()
        # expiry times of the extensions granted to peers, by shard
        self._granted_until: dict[int, float] = {}
        # expiry times of the extensions that peers granted to this controller, by peer
        self._received_until: dict[str, float] = {}
        # shards that the peer did not act for when it was last queried, by peer
        self._unclaimed_by_peer: dict[str, set[int]] = {}
        # when this controller was first unable to renew its lease; None while it can
        self._failing_since: float | None = None

    # -- extensions granted to peers -------------------------------------------------

    def handle(self, request: Request) -> Response:
        """Respond to a peer's request for an extension or for the list of shards owned here."""
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
        return Response(200, wire.extension_grant_body(self._service.last_success_age_s()))

    def _grant(self, shards: tuple[int, ...]) -> None:
        grant_s = self._settings.lease_extension_grant_s * (1 + self._settings.clock_drift)
        until = self._clock.now() + grant_s
        for shard in shards:
            self._granted_until[shard] = until

    def is_granted_to_peer(self, shard: int) -> bool:
        """Return whether an unexpired extension granted to a peer forbids acquiring the shard."""
        return self._clock.now() < self._granted_until.get(shard, 0.0)

    def is_free_of_prior_grants(self, shard: int) -> bool:
        """Return whether no extension granted by an earlier process can still apply to the shard.

        Earlier processes are those that ran under this controller's label.
        """
        waited_s = self._clock.now() - self._started_at
        longest_s = self._settings.lease_extension_grant_s * (1 + 2 * self._settings.clock_drift)
        if waited_s > longest_s:
            return True
        return all(shard in self._unclaimed_by_peer.get(label, ()) for label in self._http)

    async def query_peers(self) -> None:
        """Query all peers for the shards that they act for; needed only shortly after the start."""
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
        """Clear all received extensions, once the lease can be renewed again."""
        if self._failing_since is not None:
            self._failing_since = None
            self._received_until.clear()

    def is_extended(self) -> bool:
        """Return whether every peer has granted an extension that has not expired.

        This controller does not learn of jobs that are cancelled through other controllers during
        the outage. Extensions are therefore used for at most `max_lease_extension_s`, so that the
        tasks of such jobs still end within the cancellation deadline (`cancel_s` in PROTOCOL).
        """
        since, now = self._failing_since, self._clock.now()
        if since is None or now - since > self._settings.max_lease_extension_s:
            return False
        return all(now < self._received_until.get(label, 0.0) for label in self._http)

    async def request_grants(self, shards: list[int]) -> None:
        """Request an extension for these shards from all peers."""
        now = self._clock.now()
        if self._failing_since is None:
            self._failing_since = now
        # once this controller no longer responds to workers, a grant would only prevent peers from
        # taking over
        is_too_late = now - self._failing_since > self._settings.max_lease_extension_s
        if not shards or is_too_late or self._isolation.is_isolated:
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
        self._isolation.record_answer(label, sent, served_ago_s)
