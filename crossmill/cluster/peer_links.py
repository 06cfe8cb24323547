"""Requests to the other controllers, and when each of them last answered.

`PartitionProtocol` and its parts send through it. `LeaseExtensions` has sockets of its own, so
that requests for extensions never wait behind others.
"""

import logging
from collections.abc import Callable, Iterable

from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..net.clock import Clock
from ..settings import Peer, Settings

log = logging.getLogger(__name__)

STATUS_OK = 200


class PeerLinks:
    """Sends requests to the other controllers, which are known by label and by zone."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        connect: Callable[[Peer], HttpClient] = lambda peer: Client(peer.endpoint, max_sockets=2),
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._http = {peer.label: connect(peer) for peer in settings.peers}
        self._by_zone: dict[str, list[str]] = {}
        for peer in settings.peers:
            self._by_zone.setdefault(peer.zone, []).append(peer.label)
        self.outside_zone = [peer.label for peer in settings.peers if peer.zone != settings.zone]
        # by label: when the controller last answered (steady clock), with any status
        self.last_answer_at: dict[str, float] = {}

    @property
    def labels(self) -> Iterable[str]:
        """The labels of all other controllers."""
        return self._http

    @property
    def zones(self) -> Iterable[tuple[str, list[str]]]:
        """Each zone with other controllers, and their labels."""
        return self._by_zone.items()

    def in_zone(self, zone: str) -> Iterable[str]:
        """The labels of the other controllers of the zone."""
        return self._by_zone.get(zone, ())

    def none_answered_since(self, labels: Iterable[str], since: float) -> bool:
        """Whether none of these controllers has answered at or after this time."""
        return all(self.last_answer_at.get(label, -1.0) < since for label in labels)

    async def call(self, label: str, method: str, path: str, body: bytes = b"") -> bytes | None:
        """Sends a request; returns the body of a 200, None for any other status or no answer."""
        timeout_s = self._settings.lease_extension_grant_s / 4
        try:
            status, data = await self._http[label].request(method, path, body, timeout_s)
        except (ConnectionFailedError, NoResponseError) as exc:
            log.debug("peer not reached peer=%s error=%s", label, exc)
            return None
        self.last_answer_at[label] = self._clock.now()
        return data if status == STATUS_OK else None
