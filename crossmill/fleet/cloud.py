"""Client of the cloud's API. All requests are paced below the cloud's rate limit.

`Cloud` owns the token bucket and names the rental requests. Only the fleet provisioner calls it.
"""

from collections.abc import Callable
from itertools import count

import curio
import orjson

from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..net.clock import Clock
from ..net.token_bucket import TokenBucket
from ..planning.demand import MachineSourceKey
from ..settings import Settings
from ..wire import cloud as wire
from ..wire.checks import load_object
from . import FleetError

MAX_SOCKETS = 4
# the timeout is the time that this many requests take at the rate limit, but at least
# MIN_TIMEOUT_S
TIMEOUT_REQUESTS, MIN_TIMEOUT_S = 8, 4.0

STATUS_OK, STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE = 200, 429, 503
# the body of a 503 response if no machine of the source is available
NO_CAPACITY_BODY = b"no capacity"


class CloudError(FleetError):
    """A request was refused, was not sent, or got no response; the cloud may still execute it.

    `status` is the HTTP status of the refusal; None without a response.
    """

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status


class NotLeaderError(CloudError):
    """The controller lost leadership before the request could be sent."""


class NoCapacityError(FleetError):
    """The cloud currently has no machine of the source."""

    def __init__(self, source: MachineSourceKey) -> None:
        super().__init__(f"no capacity for {source.type_name} in {source.zone}")
        self.source = source


class _Response:
    """The status and body of a response."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


def _always_allowed() -> bool:
    return True


class Cloud:
    """Typed requests to the cloud, paced below its rate limit."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        unique_id: Callable[[], str],
        http: HttpClient | None = None,
    ) -> None:
        self._http = http or Client(settings.cloud, max_sockets=MAX_SOCKETS)
        self._token_bucket = TokenBucket(
            clock, settings.cloud_request_rate, settings.cloud_request_rate
        )
        self._timeout_s = max(MIN_TIMEOUT_S, TIMEOUT_REQUESTS / settings.cloud_rps)
        self._request_names = (f"{settings.label}-{unique_id()}-{n}" for n in count(1))

    def new_request_name(self) -> str:
        """Return a name for a rental that no other process or restart ever uses.

        The name makes the rental idempotent: repeating it rents no further machines.
        """
        return next(self._request_names)

    async def catalog(self) -> dict[str, wire.MachineType]:
        """Fetch the machine types, with the current prices."""
        response = await self._request("GET", wire.CATALOG_PATH)
        return wire.parse_catalog(load_object(response.body))

    async def rent(
        self,
        request_name: str,
        source: MachineSourceKey,
        number: int,
        may_send: Callable[[], bool],
    ) -> list[str]:
        """Rent up to the given number of machines and return their IDs.

        Raises:
            NoCapacityError: The cloud has no machine of the source.
            CloudError: The request failed, or was not sent because `may_send` returned False.
        """
        body = wire.rent_body(request_name, *source, min(number, wire.MAX_RENT))
        response = await self._request("POST", wire.MACHINES_PATH, body, may_send)
        if response.status == STATUS_UNAVAILABLE:
            raise NoCapacityError(source)
        return wire.parse_rented(load_object(response.body))

    async def release(self, machines: list[str], may_send: Callable[[], bool]) -> None:
        """Return machines to the cloud; they have ended when this returns.

        Raises:
            CloudError: The request failed, or was not sent because `may_send` returned False.
        """
        await self._request("POST", wire.RELEASE_PATH, wire.release_body(machines), may_send)

    async def list_machines(self) -> list[wire.ListedMachine]:
        """Fetch the cloud's list of machines, page by page; the list may be out of date."""
        machines: list[wire.ListedMachine] = []
        after = ""
        while True:
            response = await self._request("GET", wire.list_path(after))
            page, has_next = wire.parse_list(load_object(response.body))
            machines.extend(page)
            if not has_next or not page:
                return machines
            after = page[-1].id

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        may_send: Callable[[], bool] = _always_allowed,
    ) -> _Response:
        """Send a request as soon as the token bucket allows it.

        `may_send` is called right before sending: the delay may have been long, and the process
        may have been suspended during it.
        """
        while not self._token_bucket.try_take():
            await curio.sleep(self._token_bucket.delay_s())
        if not may_send():
            raise NotLeaderError(f"{method} {path}: not sent, this controller is not the leader")
        try:
            status, data = await self._http.request(method, path, body, self._timeout_s)
        except (ConnectionFailedError, NoResponseError) as exc:
            raise CloudError(str(exc)) from exc
        if status == STATUS_TOO_MANY_REQUESTS:
            self._token_bucket.drain()
        has_no_capacity = status == STATUS_UNAVAILABLE and NO_CAPACITY_BODY in data
        if status != STATUS_OK and not has_no_capacity:
            raise CloudError(f"{method} {path}: HTTP status {status}", status)
        return _Response(status, data)


def stored_catalog(catalog: dict[str, wire.MachineType]) -> list[dict[str, object]]:
    """Return the catalog in its stored form."""
    return [orjson.loads(orjson.dumps(entry._asdict())) for entry in catalog.values()]
