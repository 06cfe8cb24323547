"""Requests to the other controllers, and the times of their last responses.

`PartitionProtocol`, its components and `IsolationDetector` send their requests through this module.
`LeaseExtensions` has its own sockets, so that requests for extensions are never queued behind other
requests.
"""

import logging
from collections.abc import Callable, Iterable

from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..net.clock import Clock
from ..settings import Peer, Settings

log = logging.getLogger(__name__)

STATUS_OK = 200


class PeerLinks:
    """HTTP clients for the other controllers, with their labels and zones."""

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
        self.labels_outside_zone = [
            peer.label for peer in settings.peers if peer.zone != settings.zone
        ]
        # times of the controllers' last responses with any status, by label (monotonic clock)
        self.last_response_at: dict[str, float] = {}

    @property
    def labels(self) -> Iterable[str]:
        """The labels of all other controllers."""
        return self._http

    @property
    def labels_by_zone(self) -> Iterable[tuple[str, list[str]]]:
        """Each zone with other controllers, and their labels."""
        return self._by_zone.items()

    def labels_in_zone(self, zone: str) -> Iterable[str]:
        """Return the labels of the other controllers in the zone."""
        return self._by_zone.get(zone, ())

    def has_no_response_from(self, labels: Iterable[str], since: float) -> bool:
        """Return whether none of these controllers has responded at or after this time."""
        return all(self.last_response_at.get(label, -1.0) < since for label in labels)

    async def call(self, label: str, method: str, path: str, body: bytes = b"") -> bytes | None:
        """Send a request; return the body of a 200, or None for another status or no response."""
        timeout_s = self._settings.lease_extension_grant_s / 4
        try:
            status, data = await self._http[label].request(method, path, body, timeout_s)
        except (ConnectionFailedError, NoResponseError) as exc:
            log.debug("peer not reached peer=%s error=%s", label, exc)
            return None
        self.last_response_at[label] = self._clock.now()
        return data if status == STATUS_OK else None
