"""Typed calls to the state service, the key-value store that holds all durable state.

The watcher, the writer and the controller's lease call it; jobs read single keys through it. It
keeps the connections to the service, and when the service last answered or refused.
"""

from typing import NamedTuple

import orjson

from ..net import HttpStatus
from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..net.clock import Clock
from ..settings import Settings
from ..wire import state as wire

CALL_SOCKETS = 12
# watches stay open, so they have sockets of their own
WATCH_SOCKETS = 2
# so many calls can time out one after the other within a controller lease
CALL_TIMEOUTS_PER_LEASE = 3
# a single failed call is not yet an outage
MIN_FAILURES_OF_OUTAGE = 2
MAX_LOGGED_BYTES = 200


class StateServiceError(Exception):
    """A call to the state service failed."""


class RequestRefusedError(StateServiceError):
    """The request was not executed: an outage, a rate limit, or no connection.

    Attributes:
        status: The HTTP status of the refusal; None if no connection was made.
    """

    def __init__(self, message: str, status: int | None = None) -> None:
        super().__init__(message)
        self.status = status

    @property
    def is_rate_limited(self) -> bool:
        """Whether the request was refused for this controller's rate of requests."""
        return self.status == HttpStatus.TOO_MANY_REQUESTS


class OutcomeUnknownError(StateServiceError):
    """No answer came: the request may have been executed, or may still be."""


class ChangesCompactedError(StateServiceError):
    """The service no longer keeps the changes asked for; all keys must be read again."""


class TransactionTooLargeError(StateServiceError):
    """The transaction exceeds the service's limits: it was not executed and never will be."""


class LeaseExpiredError(StateServiceError):
    """The lease that was named has expired."""


class TransactionResult(NamedTuple):
    """The result of a transaction.

    Attributes:
        revision: The revision at which it was executed or refused.
        failed: The keys whose conditions failed; empty if it was executed.
    """

    revision: int
    failed: list[str]


class FullRead(NamedTuple):
    """All keys under a prefix, and the revision at which reading them began."""

    rows: list[wire.KeyValue]
    revision: int


class Changes(NamedTuple):
    """Changes in order, and the revision up to which they are complete."""

    revision: int
    events: list[wire.Event]


class StateClient:
    """Calls the state service.

    Every call raises RequestRefusedError if it was certainly not executed, and
    OutcomeUnknownError if it may have been.
    """

    def __init__(self, settings: Settings, clock: Clock, http: HttpClient | None = None) -> None:
        self._http = http or Client(settings.state, max_sockets=CALL_SOCKETS)
        self._watch_http = http or Client(settings.state, max_sockets=WATCH_SOCKETS)
        self._clock = clock
        self._timeout_s = settings.controller_lease_ttl_s / CALL_TIMEOUTS_PER_LEASE
        self._failure_count = 0
        self._failing_since = 0.0
        self._served_at: float | None = None
        self._refused_at = clock.now()

    def served_ago_s(self) -> float | None:
        """Returns how many seconds ago the service last served this controller, if ever."""
        return None if self._served_at is None else self._clock.now() - self._served_at

    def refused_at(self) -> float:
        """Returns when the service last refused this controller or gave no answer.

        Before the first failure it is when this client was made (steady time in seconds).
        """
        return self._refused_at

    def down_for_s(self) -> float:
        """Returns for how many seconds the service has been failing; 0 while it serves."""
        if self._failure_count < MIN_FAILURES_OF_OUTAGE:
            return 0.0
        return self._clock.now() - self._failing_since

    def _note_served(self) -> None:
        self._failure_count = 0
        self._served_at = self._clock.now()

    def _note_failure(self) -> None:
        if self._failure_count == 0:
            self._failing_since = self._clock.now()
        self._failure_count += 1
        self._refused_at = self._clock.now()

    async def _call(
        self, method: str, path: str, body: bytes = b"", watch_timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        """Returns the status and the body of an answer that is neither an outage nor a limit."""
        http = self._http if watch_timeout_s is None else self._watch_http
        timeout_s = watch_timeout_s or self._timeout_s
        try:
            status, data = await http.request(method, path, body, timeout_s)
        except ConnectionFailedError as exc:
            self._note_failure()
            raise RequestRefusedError(str(exc)) from exc
        except NoResponseError as exc:
            self._note_failure()
            raise OutcomeUnknownError(str(exc)) from exc
        if status == HttpStatus.SERVICE_UNAVAILABLE:
            self._note_failure()
            raise RequestRefusedError(f"{method} {path}: {status}", status)
        # a service that limits the rate is up
        self._note_served()
        if status == HttpStatus.TOO_MANY_REQUESTS:
            raise RequestRefusedError(f"{method} {path}: {status}", status)
        return status, data

    async def get(self, key: str) -> wire.KeyValue | None:
        """Returns a key with its value and version; None if it does not exist."""
        status, data = await self._call("GET", wire.key_path(key))
        return wire.parse_key_value(orjson.loads(data)) if status == HttpStatus.OK else None

    async def read_all(self, prefix: str) -> FullRead:
        """Reads every key under the prefix, page by page.

        The revision is the first page's: later pages may have newer values, and the changes
        after that revision bring the other keys up to date.
        """
        rows: list[wire.KeyValue] = []
        first_revision: int | None = None
        after = ""
        while True:
            status, data = await self._call("GET", wire.list_path(prefix, after))
            if status != HttpStatus.OK:
                raise RequestRefusedError(f"list: {status}", status)
            page, has_more, revision = wire.parse_list(orjson.loads(data))
            rows.extend(page)
            if first_revision is None:
                first_revision = revision
            if not has_more:
                return FullRead(rows, first_revision)
            after = page[-1].key

    async def txn(self, txn: wire.Txn) -> TransactionResult:
        """Executes a transaction; raises LeaseExpiredError or TransactionTooLargeError as well."""
        status, data = await self._call("POST", wire.TXN_PATH, wire.txn_body(txn))
        if status in (HttpStatus.OK, HttpStatus.CONFLICT):
            return TransactionResult(*wire.parse_txn(status, orjson.loads(data)))
        shown = data[:MAX_LOGGED_BYTES]
        if status != HttpStatus.BAD_REQUEST:
            raise RequestRefusedError(f"txn: {status} {shown!r}", status)
        if b"lease" in data:
            raise LeaseExpiredError
        raise TransactionTooLargeError(f"txn: {shown!r}")

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Returns the changes after a revision; waits up to `wait_s` seconds for the first.

        Raises ChangesCompactedError if the service no longer keeps them all.
        """
        path = wire.changes_path(prefix, after, int(wait_s * 1000))
        watch_timeout_s = wait_s + self._timeout_s if wait_s else None
        status, data = await self._call("GET", path, watch_timeout_s=watch_timeout_s)
        if status == HttpStatus.GONE:
            raise ChangesCompactedError
        if status != HttpStatus.OK:
            raise RequestRefusedError(f"changes: {status}", status)
        return Changes(*wire.parse_changes(orjson.loads(data)))

    async def acquire_lease(self, ttl_s: float) -> int:
        """Acquires a lease that lasts `ttl_s` seconds unless renewed; returns its id."""
        status, data = await self._call("POST", wire.LEASES_PATH, wire.acquire_lease_body(ttl_s))
        if status != HttpStatus.OK:
            raise RequestRefusedError(f"lease: {status}", status)
        return wire.parse_acquired_lease(orjson.loads(data))

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease; raises LeaseExpiredError if it has expired."""
        status, _ = await self._call("POST", wire.renew_lease_path(lease))
        if status == HttpStatus.NOT_FOUND:
            raise LeaseExpiredError
        if status != HttpStatus.OK:
            raise RequestRefusedError(f"renew: {status}", status)
