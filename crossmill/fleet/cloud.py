"""Typed calls to the cloud, all paced below its rate."""

from collections.abc import Callable

import curio
import orjson

from ..net.client import Client, ConnectionFailedError, Http, NoResponseError
from ..net.clock import Clock
from ..net.pacer import Pacer
from ..settings import Settings
from ..wire import cloud as wire
from ..wire.checks import load_object


class CloudError(Exception):
    """RequestRefusedError, not reached or not answered; it may be carried out late."""


class NotLeaderError(CloudError):
    """The right to rent and return ended before the request could be sent."""


class NoCapacityError(Exception):
    """None of this type, zone and kind is to be had now."""


class Cloud:
    """Typed calls to the cloud, paced below its limit."""

    def __init__(self, settings: Settings, clock: Clock, http: Http | None = None) -> None:
        self._http = http or Client(settings.cloud, max_sockets=4)
        self._pacer = Pacer(clock, settings.cloud_request_rate, settings.cloud_request_rate)
        self._timeout_s = max(4.0, 8 / settings.cloud_rps)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        holds: Callable[[], bool] = lambda: True,
    ) -> tuple[int, bytes]:
        """Sends a request once the pace allows it, if `holds` is still true then: the wait may have
        lasted, and the process may have stood still in it.
        """
        while not self._pacer.take():
            await curio.sleep(self._pacer.wait_s())
        if not holds():
            raise NotLeaderError(f"{method} {path}: not sent")
        try:
            status, data = await self._http.request(method, path, body, self._timeout_s)
        except (ConnectionFailedError, NoResponseError) as exc:
            raise CloudError(str(exc)) from exc
        if status == 429:
            self._pacer.drain()
        if status != 200 and not (status == 503 and b"no capacity" in data):
            raise CloudError(f"{method} {path}: {status}")
        return status, data

    async def catalog(self) -> dict[str, wire.MachineType]:
        """The machine types, with the current prices."""
        _, data = await self._call("GET", wire.CATALOG_PATH)
        return wire.parse_catalog(load_object(data))

    async def rent(
        self,
        request: str,
        type_name: str,
        zone: str,
        spot: bool,
        number: int,
        holds: Callable[[], bool],
    ) -> list[str]:
        """Rents up to so many machines under a request name, if `holds` at the sending; raises
        NoCapacityError or CloudError.
        """
        body = wire.rent_body(request, type_name, zone, spot, min(number, wire.MAX_RENT))
        status, data = await self._call("POST", wire.MACHINES_PATH, body, holds)
        if status == 503:
            raise NoCapacityError
        return wire.parse_rented(load_object(data))

    async def release(self, machines: list[str], holds: Callable[[], bool]) -> None:
        """Returns machines, if `holds` at the sending; after it they are gone."""
        await self._call("POST", wire.RELEASE_PATH, wire.release_body(machines), holds)

    async def machines(self) -> list[wire.Listed]:
        """All machines that the cloud lists."""
        rows: list[wire.Listed] = []
        after = ""
        while True:
            _, data = await self._call("GET", wire.list_path(after))
            page, more = wire.parse_list(load_object(data))
            rows.extend(page)
            if not more or not page:
                return rows
            after = page[-1].id


def stored_catalog(catalog: dict[str, wire.MachineType]) -> list[dict[str, object]]:
    """The catalog as it is stored."""
    return [orjson.loads(orjson.dumps(t._asdict())) for t in catalog.values()]
