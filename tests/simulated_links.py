"""Links of a controller in a simulated region: to the state service and to other controllers."""

from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import curio
import orjson

from crossmill.net.client import ConnectionFailedError, NoResponseError
from crossmill.net.server import Request
from crossmill.wire import peers

if TYPE_CHECKING:
    from .simulated_region import Region

from .simulated_worker import HOP_S


class StateLink:
    """A controller's line to the state service: refused alone, cut, slow or late as scripted."""

    def __init__(self, region: "Region", label: str) -> None:
        self._region = region
        self._label = label

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        region = self._region
        until = region.clock.now() + timeout_s
        await curio.sleep(HOP_S + region.state_delay_s)
        if self._label in region.cut_from_state:
            await curio.sleep(max(0.0, until - region.clock.now()))
            raise NoResponseError(path)
        refuses = region.refused_requests.get(self._label)
        if region.state.down or (refuses is not None and refuses(method, path)):
            return 503, b"{}"
        transaction_fault = region.transaction_fault(self._label, method, path)
        if transaction_fault is not None:
            late_s, at_once = transaction_fault
            if at_once:
                await region.state.request(method, path, body)
            else:
                await curio.spawn(self._late, late_s, method, path, body, daemon=True)
            await curio.sleep(max(0.0, until - region.clock.now()))
            raise NoResponseError(path)
        if path.startswith("/changes"):
            return await self._watch(method, path, body)
        status, data = await region.state.request(method, path, body)
        region.note_lease_request(method, path, body, status, data)
        slow = path == "/txn" and self._label in region.transaction_delay_s
        await curio.sleep(region.transaction_delay_s[self._label] if slow else HOP_S)
        return status, data

    async def _late(self, late_s: float, method: str, path: str, body: bytes) -> None:
        await curio.sleep(late_s)
        while self._region.state.down:
            await curio.sleep(0.1)
        await self._region.state.request(method, path, body)
        await self._region.notify_watches()

    async def _watch(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        region = self._region
        query = parse_qs(urlsplit(path).query)
        end = region.clock.now() + int(query.get("holdMs", ["0"])[0]) / 1000
        while True:
            shut = (
                region.state.down
                or self._label in region.refused_requests
                or self._label in region.cut_from_state
            )
            if not shut:
                status, data = await region.state.request(method, path, body)
                if status != 200 or orjson.loads(data)["log"] or region.clock.now() >= end:
                    await curio.sleep(HOP_S)
                    return status, data
            await curio.ignore_after(max(0.05, end - region.clock.now()), region.state_changed.wait)


class PeerLink:
    """The line from one controller to another."""

    def __init__(self, region: "Region", source: str, label: str) -> None:
        self._region, self._source, self._label = region, source, label

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        region = self._region
        await curio.sleep(HOP_S)
        node = region.nodes.get(self._label)
        if node is None or {self._source, self._label} & region.cut_from_peers:
            raise ConnectionFailedError(self._label)
        if region.is_frozen(self._label):
            await curio.sleep(timeout_s)
            raise NoResponseError(path)
        asked = path in (peers.ATTESTATION_PATH, peers.CANCELLATION_PATH)
        handler = node.partition_protocol if asked else node.lease_extensions
        response = handler.handle(Request(method, path, body))
        await curio.sleep(HOP_S)
        return response.status, response.body
