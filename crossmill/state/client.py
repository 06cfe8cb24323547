"""Typed calls to the state service."""

from dataclasses import dataclass

import orjson

from ..net.client import Client, ConnectionFailedError, Http, NoResponseError
from ..net.clock import Clock
from ..settings import Settings
from ..wire import state as wire


class RequestRefusedError(Exception):
    """Not executed: an outage, a rate limit, or no connection."""


class OutcomeUnknownError(Exception):
    """No answer: it might have been executed, or might still be."""


class ChangesCompactedError(Exception):
    """The changes asked for are no longer kept; the keys must be read again."""


class TransactionTooLargeError(Exception):
    """Not executed, and never will be: beyond the state service's limits."""


class LeaseExpiredError(Exception):
    """The lease has ended."""


@dataclass(slots=True, eq=False)
class TransactionResult:
    """A transaction's revision, and the keys whose conditions failed."""

    revision: int
    failed: list[str]


class StateClient:
    """Calls one state service; raises RequestRefusedError or OutcomeUnknownError where no answer
    can be relied
    on.
    """

    def __init__(self, settings: Settings, clock: Clock, http: Http | None = None) -> None:
        self._http = http or Client(settings.state, max_sockets=12)
        # watches stay open; they must not take the sockets of short calls
        self._watch_http = http or Client(settings.state, max_sockets=2)
        self._clock = clock
        self._timeout_s = settings.controller_lease_ttl_s / 3
        self._bad = 0
        self._bad_since = 0.0
        self._served_at: float | None = None
        self._refused_at = clock.now()

    def served_ago_s(self) -> float | None:
        """How long ago the state service last served this controller."""
        return None if self._served_at is None else self._clock.now() - self._served_at

    def refused_at(self) -> float:
        """When the state service last refused this controller, or gave no answer."""
        return self._refused_at

    def down_for_s(self) -> float:
        """How long the state service has refused or not answered; 0 while it serves."""
        return self._clock.now() - self._bad_since if self._bad >= 2 else 0.0

    def _note(self, ok: bool) -> None:
        if ok:
            self._bad = 0
            self._served_at = self._clock.now()
        else:
            if self._bad == 0:
                self._bad_since = self._clock.now()
            self._bad += 1
            self._refused_at = self._clock.now()

    async def _call(
        self, method: str, path: str, body: bytes = b"", timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        http = self._http if timeout_s is None else self._watch_http
        try:
            status, data = await http.request(method, path, body, timeout_s or self._timeout_s)
        except ConnectionFailedError as exc:
            self._note(False)
            raise RequestRefusedError(str(exc)) from exc
        except NoResponseError as exc:
            self._note(False)
            raise OutcomeUnknownError(str(exc)) from exc
        if status in (429, 503):
            self._note(status == 429)
            raise RequestRefusedError(f"{method} {path}: {status}")
        self._note(True)
        return status, data

    async def get(self, key: str) -> wire.KeyValue | None:
        """A key with its value and version; None if it does not exist."""
        status, data = await self._call("GET", wire.key_path(key))
        return wire.parse_key_value(orjson.loads(data)) if status == 200 else None

    async def read_all(self, prefix: str) -> tuple[list[wire.KeyValue], int]:
        """Every key under the prefix. The revision is the first page's: later pages may hold
        newer values, and the changes after it bring the rest up to date.
        """
        rows: list[wire.KeyValue] = []
        revision = -1
        after = ""
        while True:
            status, data = await self._call("GET", wire.list_path(prefix, after))
            if status != 200:
                raise RequestRefusedError(f"list: {status}")
            page, more, rev = wire.parse_list(orjson.loads(data))
            rows.extend(page)
            revision = rev if revision < 0 else revision
            if not more:
                return rows, revision
            after = page[-1].key

    async def txn(self, txn: wire.Txn) -> TransactionResult:
        """Sends a transaction; raises LeaseExpiredError or TransactionTooLargeError as well."""
        status, data = await self._call("POST", wire.TXN_PATH, wire.txn_body(txn))
        if status in (200, 409):
            return TransactionResult(*wire.parse_txn(status, orjson.loads(data)))
        if status == 400 and b"lease" in data:
            raise LeaseExpiredError
        if status == 400:
            raise TransactionTooLargeError(f"txn: {data[:200]!r}")
        raise RequestRefusedError(f"txn: {status} {data[:200]!r}")

    async def changes(self, prefix: str, after: int, wait_s: float) -> tuple[int, list[wire.Event]]:
        """The changes after a revision, waited for; raises ChangesCompactedError if they are no
        longer kept.
        """
        path = wire.changes_path(prefix, after, int(wait_s * 1000))
        timeout_s = wait_s + self._timeout_s if wait_s else None
        status, data = await self._call("GET", path, timeout_s=timeout_s)
        if status == 410:
            raise ChangesCompactedError
        if status != 200:
            raise RequestRefusedError(f"changes: {status}")
        return wire.parse_changes(orjson.loads(data))

    async def acquire_lease(self, ttl_s: float) -> int:
        """A new lease."""
        status, data = await self._call("POST", wire.LEASES_PATH, wire.acquire_lease_body(ttl_s))
        if status != 200:
            raise RequestRefusedError(f"hold: {status}")
        return wire.parse_acquired_lease(orjson.loads(data))

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease; raises LeaseExpiredError if it has ended."""
        status, _ = await self._call("POST", wire.renew_lease_path(lease))
        if status == 404:
            raise LeaseExpiredError
        if status != 200:
            raise RequestRefusedError(f"renew: {status}")
