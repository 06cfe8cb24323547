"""Typed calls to the state service, the key-value store that holds all durable state.

The watcher, the writer and the controller lease use the client; the job API reads single keys
through it. The client owns the connections to the service and records the times of the last
successful call and of the last failure.
"""

from typing import NamedTuple

import orjson

from ..net import HttpStatus
from ..net.client import Client, ConnectionFailedError, HttpClient, NoResponseError
from ..net.clock import Clock
from ..settings import Settings
from ..wire import state as wire

CALL_SOCKETS = 12
# watches block until a change arrives, so they use separate sockets
WATCH_SOCKETS = 2
# the number of consecutive calls that can time out within one controller lease
CALL_TIMEOUTS_PER_LEASE = 3
# a single failed call does not count as an outage
MIN_OUTAGE_FAILURES = 2
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
    """No response arrived: the request may have been executed, or may still be executed."""


class ChangesCompactedError(StateServiceError):
    """The requested changes have been compacted; all keys must be read again."""


class TransactionTooLargeError(StateServiceError):
    """The transaction exceeds the service's size limits and can never be executed."""


class LeaseExpiredError(StateServiceError):
    """The lease named in the request has expired."""


class TransactionResult(NamedTuple):
    """The result of a transaction.

    Attributes:
        revision: The revision at which the transaction was executed or rejected.
        failed_keys: The keys whose conditions failed; empty if the transaction was executed.
    """

    revision: int
    failed_keys: list[str]


class FullRead(NamedTuple):
    """All keys under a prefix, and the revision of the first page."""

    rows: list[wire.KeyValue]
    revision: int


class Changes(NamedTuple):
    """Changes in order of revision, and the revision up to which they are complete."""

    revision: int
    events: list[wire.Event]


class StateClient:
    """A client of the state service.

    Every call raises RequestRefusedError if it was definitely not executed, and
    OutcomeUnknownError if it may have been executed.
    """

    def __init__(self, settings: Settings, clock: Clock, http: HttpClient | None = None) -> None:
        self._http = http or Client(settings.state, max_sockets=CALL_SOCKETS)
        self._watch_http = http or Client(settings.state, max_sockets=WATCH_SOCKETS)
        self._clock = clock
        self._timeout_s = settings.controller_lease_ttl_s / CALL_TIMEOUTS_PER_LEASE
        self._failure_count = 0
        self._failing_since = 0.0
        self._last_success_at: float | None = None
        self._last_failure_at = clock.now()

    def last_success_age_s(self) -> float | None:
        """Return the seconds since the last successful call; None if no call has succeeded.

        A call succeeds if the service is available, also if it limits the rate of requests.
        """
        return None if self._last_success_at is None else self._clock.now() - self._last_success_at

    def last_failure_at(self) -> float:
        """Return when a call last failed, on the monotonic clock.

        A call fails if the service is unavailable or does not respond. Before the first failure,
        this is the time at which the client was created.
        """
        return self._last_failure_at

    def unavailable_since(self) -> float | None:
        """Return when the service became unavailable (monotonic clock); None if it is available.

        Successful calls for leases don't count: they may succeed while all others fail.
        """
        return self._failing_since if self._failure_count >= MIN_OUTAGE_FAILURES else None

    def outage_duration_s(self) -> float:
        """Return the duration of the current outage in seconds; 0 if there is none."""
        since = self.unavailable_since()
        return 0.0 if since is None else self._clock.now() - since

    def _record_success(self, path: str) -> None:
        self._last_success_at = self._clock.now()
        if not path.startswith(wire.LEASES_PATH):
            self._failure_count = 0

    def _record_failure(self) -> None:
        if self._failure_count == 0:
            self._failing_since = self._clock.now()
        self._failure_count += 1
        self._last_failure_at = self._clock.now()

    async def _call(
        self, method: str, path: str, body: bytes = b"", watch_timeout_s: float | None = None
    ) -> tuple[int, bytes]:
        """Send a request; raise if the service is down or rate-limits, else return the response."""
        http = self._http if watch_timeout_s is None else self._watch_http
        timeout_s = watch_timeout_s or self._timeout_s
        try:
            status, data = await http.request(method, path, body, timeout_s)
        except ConnectionFailedError as exc:
            self._record_failure()
            raise RequestRefusedError(str(exc)) from exc
        except NoResponseError as exc:
            self._record_failure()
            raise OutcomeUnknownError(str(exc)) from exc
        if status == HttpStatus.SERVICE_UNAVAILABLE:
            self._record_failure()
            raise RequestRefusedError(f"{method} {path}: status {status}", status)
        # a service that limits the request rate is available
        self._record_success(path)
        if status == HttpStatus.TOO_MANY_REQUESTS:
            raise RequestRefusedError(f"{method} {path}: status {status}", status)
        return status, data

    async def get(self, key: str) -> wire.KeyValue | None:
        """Return a key with its value and version; None if the key does not exist."""
        status, data = await self._call("GET", wire.key_path(key))
        return wire.parse_key_value(orjson.loads(data)) if status == HttpStatus.OK else None

    async def read_all(self, prefix: str) -> FullRead:
        """Read every key under the prefix, page by page.

        The returned revision is that of the first page. Later pages may hold newer values;
        applying the changes after that revision brings all keys up to date.
        """
        rows: list[wire.KeyValue] = []
        first_revision: int | None = None
        after = ""
        while True:
            status, data = await self._call("GET", wire.list_path(prefix, after))
            if status != HttpStatus.OK:
                raise RequestRefusedError(f"list request failed: status {status}", status)
            page, has_next, revision = wire.parse_list(orjson.loads(data))
            rows.extend(page)
            if first_revision is None:
                first_revision = revision
            if not has_next:
                return FullRead(rows, first_revision)
            after = page[-1].key

    async def txn(self, txn: wire.Txn) -> TransactionResult:
        """Execute a transaction; may also raise LeaseExpiredError or TransactionTooLargeError."""
        status, data = await self._call("POST", wire.TXN_PATH, wire.txn_body(txn))
        if status in (HttpStatus.OK, HttpStatus.CONFLICT):
            return TransactionResult(*wire.parse_txn(status, orjson.loads(data)))
        excerpt = data[:MAX_LOGGED_BYTES]
        if status != HttpStatus.BAD_REQUEST:
            raise RequestRefusedError(f"transaction failed: status {status} {excerpt!r}", status)
        if b"lease" in data:
            raise LeaseExpiredError
        raise TransactionTooLargeError(f"transaction exceeds the size limits: {excerpt!r}")

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a revision, waiting up to `wait_s` seconds for the first.

        Raises ChangesCompactedError if some of these changes have been compacted.
        """
        path = wire.changes_path(prefix, after, int(wait_s * 1000))
        watch_timeout_s = wait_s + self._timeout_s if wait_s else None
        status, data = await self._call("GET", path, watch_timeout_s=watch_timeout_s)
        if status == HttpStatus.GONE:
            raise ChangesCompactedError
        if status != HttpStatus.OK:
            raise RequestRefusedError(f"changes request failed: status {status}", status)
        return Changes(*wire.parse_changes(orjson.loads(data)))

    async def acquire_lease(self, ttl_s: float) -> int:
        """Acquire a lease that expires after `ttl_s` seconds unless renewed; return its ID."""
        status, data = await self._call("POST", wire.LEASES_PATH, wire.acquire_lease_body(ttl_s))
        if status != HttpStatus.OK:
            raise RequestRefusedError(f"lease acquisition failed: status {status}", status)
        return wire.parse_acquired_lease(orjson.loads(data))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseExpiredError if it has expired."""
        status, _ = await self._call("POST", wire.renew_lease_path(lease))
        if status == HttpStatus.NOT_FOUND:
            raise LeaseExpiredError
        if status != HttpStatus.OK:
            raise RequestRefusedError(f"lease renewal failed: status {status}", status)
