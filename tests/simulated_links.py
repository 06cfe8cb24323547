"""Links of a controller in a simulated region: to the state service and to other controllers.

The links apply the faults that are set on the attributes of the region.
"""

from functools import partial
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qs, urlsplit

import curio
import orjson

from crossmill.net.client import ConnectionFailedError, NoResponseError
from crossmill.net.server import Request

if TYPE_CHECKING:
    from .simulated_region import Region

from .message_copies import RequestKind
from .simulated_worker import MESSAGE_DELAY_S

STATUS_OK = 200
OUTAGE_RETRY_S = 0.1
MIN_WATCH_WAIT_S = 0.05


class TransactionFault(NamedTuple):
    """The fault of a request to the state service that gets no response.

    Attributes:
        delay_s: The time in seconds after which the state service executes the request.
        executes_immediately: Whether the state service executes the request without that delay.
    """

    delay_s: float
    executes_immediately: bool


def no_transaction_fault(label: str, method: str, path: str) -> TransactionFault | None:
    """Return None: every request gets its response."""
    return None


def _can_be_copied(method: str, path: str) -> bool:
    """Return whether a copy of the request changes anything that a controller may know of."""
    return path == "/txn" or path.endswith("/renew") or method == "DELETE"


class StateLink:
    """A controller's link to the state service, with the faults set on the region.

    Requests may be refused, delayed, or left without a response.
    """

    def __init__(self, region: "Region", label: str) -> None:
        self._region = region
        self._label = label

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Send a request; raise NoResponseError if a fault drops the response."""
        region = self._region
        until = region.clock.now() + timeout_s
        await curio.sleep(MESSAGE_DELAY_S + region.state_delay_s)
        if self._label in region.cut_from_state:
            await curio.sleep(max(0.0, until - region.clock.now()))
            raise NoResponseError(path)
        if self._is_refused(method, path):
            return 503, b"{}"
        fault = region.transaction_fault(self._label, method, path)
        if fault is not None:
            if fault.executes_immediately:
                await region.state.request(method, path, body)
            else:
                await curio.spawn(
                    self._execute_late, fault.delay_s, method, path, body, daemon=True
                )
            await curio.sleep(max(0.0, until - region.clock.now()))
            raise NoResponseError(path)
        if path.startswith("/changes"):
            return await self._watch(method, path, body)
        status, data = await region.state.request(method, path, body)
        region.simulated_state.update_lease_expiry(method, path, body, status, data)
        if status == STATUS_OK and _can_be_copied(method, path):
            kind = RequestKind.TRANSACTION if path == "/txn" else RequestKind.LEASE
            await region.message_copies.deliver(
                kind, partial(self._execute_late, 0.0, method, path, body)
            )
        is_delayed = path == "/txn" and self._label in region.transaction_delay_s
        await curio.sleep(
            region.transaction_delay_s[self._label] if is_delayed else MESSAGE_DELAY_S
        )
        return status, data

    def _is_refused(self, method: str, path: str) -> bool:
        if self._region.state.is_down:
            return True
        refuses = self._region.refused_requests.get(self._label)
        return refuses is not None and refuses(method, path)

    async def _execute_late(self, delay_s: float, method: str, path: str, body: bytes) -> None:
        await curio.sleep(delay_s)
        while self._region.state.is_down:
            await curio.sleep(OUTAGE_RETRY_S)
        status, data = await self._region.state.request(method, path, body)
        self._region.simulated_state.update_lease_expiry(method, path, body, status, data)
        await self._region.simulated_state.notify_watches()

    async def _watch(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        region = self._region
        query = parse_qs(urlsplit(path).query)
        end = region.clock.now() + int(query.get("holdMs", ["0"])[0]) / 1000
        while True:
            if not self._is_watch_blocked():
                status, data = await region.state.request(method, path, body)
                if status != 200 or orjson.loads(data)["log"] or region.clock.now() >= end:
                    await curio.sleep(MESSAGE_DELAY_S)
                    return status, data
            wait_s = max(MIN_WATCH_WAIT_S, end - region.clock.now())
            await curio.ignore_after(wait_s, region.simulated_state.changed.wait)

    def _is_watch_blocked(self) -> bool:
        region = self._region
        return (
            region.state.is_down
            or self._label in region.refused_requests
            or self._label in region.cut_from_state
        )


class PeerLink:
    """The link from one controller to another, which may be disconnected or frozen."""

    def __init__(self, region: "Region", source: str, label: str) -> None:
        self._region, self._source, self._label = region, source, label

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Deliver a request to the peer.

        Raises:
            ConnectionFailedError: The peer does not run, or one of the two is disconnected.
            NoResponseError: The peer's process is frozen.
        """
        region = self._region
        await curio.sleep(MESSAGE_DELAY_S)
        node = region.nodes.get(self._label)
        ends = frozenset((self._source, self._label))
        if node is None or ends & region.cut_from_peers or ends in region.cut_peer_pairs:
            raise ConnectionFailedError(self._label)
        if region.is_frozen(self._label):
            await curio.sleep(timeout_s)
            raise NoResponseError(path)
        response = node.handle_peer_request(Request(method, path, body))
        await region.message_copies.deliver(
            RequestKind.PEER, partial(self._deliver_copy, Request(method, path, body))
        )
        await curio.sleep(MESSAGE_DELAY_S)
        return response.status, response.body

    async def _deliver_copy(self, request: Request) -> None:
        """Deliver a copy of a request to whichever process runs under the label then."""
        node = self._region.nodes.get(self._label)
        if node is not None and not self._region.is_frozen(self._label):
            node.handle_peer_request(request)
