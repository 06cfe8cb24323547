"""A stand-in for the cloud, as PROTOCOL describes it; its machines are `Worker` stand-ins."""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple

from .http import Reply, Request, Server
from .record import Record
from .worker import MachineKind, Worker

LATENCY_S = 0.1
MAX_RENT, MAX_RELEASE, MAX_LIST = 50, 100, 500
BURST_S = 2.0


class Offer(NamedTuple):
    """A machine type of the catalog, its zones, and how many machines there are of it."""

    kind: MachineKind
    yards: tuple[str, ...]
    rate: float
    spot_rate: float
    boot_s: float
    capacity: int


class _Machine:
    def __init__(self, worker: Worker, entry: dict[str, Any]) -> None:
        self.worker = worker
        self.entry = entry
        self.rented_at = time.monotonic()
        self.up_at: float | None = None
        self.gone_at: float | None = None


# makes the worker of a rented machine from its identity and its kind
WorkerFactory = Callable[[dict[str, Any], MachineKind], Worker]


class Cloud:
    """Rents machines; a machine is up `actual_boot_s` after its rental."""

    def __init__(
        self,
        offers: list[Offer],
        factory: WorkerFactory,
        record: Record,
        actual_boot_s: float = 1.5,
        rps: float = 2.0,
        list_lag_s: float = 4.0,
    ) -> None:
        self._offers = {offer.kind.sku: offer for offer in offers}
        self._factory = factory
        self._record = record
        self._actual_boot_s = actual_boot_s
        self._rps, self._list_lag_s = rps, list_lag_s
        self._tokens, self._tokens_at = rps * BURST_S, time.monotonic()
        self._answers: dict[str, list[str]] = {}
        self._machines: dict[str, _Machine] = {}
        self._next = 1
        self._boots: set[asyncio.Task[None]] = set()
        self.server = Server(self._handle)

    @property
    def workers(self) -> list[Worker]:
        """The workers of all machines that are up."""
        machines = self._machines.values()
        return [m.worker for m in machines if m.up_at is not None and m.gone_at is None]

    async def _handle(self, request: Request) -> Reply:
        await asyncio.sleep(LATENCY_S)
        now = time.monotonic()
        earned = (now - self._tokens_at) * self._rps
        self._tokens = min(self._rps * BURST_S, self._tokens + earned)
        self._tokens_at = now
        if self._tokens < 1:
            return Reply(HTTPStatus.TOO_MANY_REQUESTS)
        self._tokens -= 1
        if request.path == "/catalog":
            return Reply(HTTPStatus.OK, {"frames": [_row(o) for o in self._offers.values()]})
        if request.path == "/hosts/release":
            return self._release(request.body["stones"])
        if request.method == "POST":
            return self._rent(request.body)
        return self._list(request)

    def _rent(self, body: dict[str, Any]) -> Reply:
        slip = body["hireSlip"]
        if slip in self._answers:
            return Reply(HTTPStatus.OK, {"stones": self._answers[slip]})
        offer = self._offers[body["frame"]]
        present = [
            m
            for m in self._machines.values()
            if m.gone_at is None and m.entry["frame"] == body["frame"]
        ]
        number = min(body["number"], MAX_RENT, offer.capacity - len(present))
        if number <= 0:
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no capacity"})
        names = [self._add(offer, body) for _ in range(number)]
        self._answers[slip] = names
        self._record.note(f"cloud: rented {' '.join(names)} ({body['frame']}, {body['yard']})")
        return Reply(HTTPStatus.OK, {"stones": names})

    def _add(self, offer: Offer, body: dict[str, Any]) -> str:
        name = f"n-{self._next:06d}"
        self._next += 1
        entry = {"frame": body["frame"], "yard": body["yard"], "loaners": body["loaners"]}
        worker = self._factory({"stone": name, "address": "", **entry}, offer.kind)
        machine = self._machines[name] = _Machine(worker, entry)
        boot = asyncio.create_task(self._boot(machine))
        self._boots.add(boot)
        boot.add_done_callback(self._boots.discard)
        return name

    async def _boot(self, machine: _Machine) -> None:
        await asyncio.sleep(self._actual_boot_s)
        if machine.gone_at is None:
            await machine.worker.start()
            machine.up_at = time.monotonic()
            self._record.note(f"cloud: {machine.worker.name} is up")

    def _release(self, names: list[str]) -> Reply:
        for name in names[:MAX_RELEASE]:
            machine = self._machines.get(name)
            if machine is not None and machine.gone_at is None:
                machine.gone_at = time.monotonic()
                if machine.up_at is not None:
                    machine.worker.stop()
                self._record.note(f"cloud: released {name}")
        return Reply(HTTPStatus.OK)

    def _list(self, request: Request) -> Reply:
        after = request.query.get("after", "")
        limit = min(MAX_LIST, int(request.query.get("limit", MAX_LIST)))
        moment = time.monotonic() - self._list_lag_s
        rows = [
            {
                "nameId": name,
                "address": machine.worker.server.address,
                **machine.entry,
                "stage": "running" if machine.up_at and machine.up_at <= moment else "starting",
                "heldS": moment - machine.rented_at,
            }
            for name, machine in sorted(self._machines.items())
            if name > after
            and machine.rented_at <= moment
            and (machine.gone_at is None or machine.gone_at > moment)
        ]
        return Reply(HTTPStatus.OK, {"stones": rows[:limit], "hasNext": len(rows) > limit})


def _row(offer: Offer) -> dict[str, Any]:
    kind = offer.kind
    return {
        "sku": kind.sku,
        "cpus": kind.cpus,
        "cards": kind.cards,
        "ramGb": kind.ram_gb,
        "cacheGb": 400.0,
        "fetchGbPerS": kind.fetch_gb_per_s,
        "rate": offer.rate,
        "spotPrice": offer.spot_rate,
        "bootS": offer.boot_s,
        "yards": list(offer.yards),
    }
