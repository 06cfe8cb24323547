"""Keeps the mirror up to date with the state service and tracks how current it is.

Each controller runs two loops, which the application starts: a long-polling watch, and a loop that
serves `sync` for callers that need everything that was durable at the time of the call.
"""

import logging
import math
from collections.abc import Awaitable, Callable

import curio

from ..net.clock import Clock
from ..net.future import Future
from ..settings import Settings
from ..wire.state import Event, KeyValue
from .client import ChangesCompactedError, OutcomeUnknownError, RequestRefusedError, StateClient
from .mirror import Mirror

log = logging.getLogger(__name__)

# a watch blocks at most for the shorter of MAX_WATCH_S and this number of worker leases
MAX_WATCH_S = 60.0
WATCH_TIMEOUT_WORKER_LEASES = 4
# each of the two loops uses at most 1/LOOP_REQUEST_DIVISOR of this controller's request rate
LOOP_REQUEST_DIVISOR = 4


def apply_changes_to_rows(rows: list[KeyValue], events: list[Event]) -> list[KeyValue]:
    """Return the keys of a full read, updated with the changes since its first page.

    Later pages may already contain some of these changes.
    """
    by_key = {row.key: row for row in rows}
    for event in events:
        listed_row = by_key.get(event.key)
        if listed_row is not None and listed_row.version > event.version:
            continue
        if event.deleted:
            by_key.pop(event.key, None)
        else:
            by_key[event.key] = KeyValue(event.key, event.value, event.version)
    return list(by_key.values())


class StateWatcher:
    """Updates the mirror through watches and syncs.

    A sync is a watch that does not wait. Its response covers everything that was durable when the
    request was sent, so it serves all callers that called `sync` before that.

    Attributes:
        ready: Event that is set once the mirror holds a full read.
        current_at: The send time of the newest successful read or watch, on the monotonic clock:
            the mirror holds everything that was durable then. None before the first one.

    Args:
        on_change: Callback invoked after each step that changed the mirror; None if unused.
    """

    def __init__(
        self,
        client: StateClient,
        mirror: Mirror,
        clock: Clock,
        prefix: str,
        settings: Settings,
        on_change: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._mirror = mirror
        self._prefix = prefix
        self._watch_s = min(MAX_WATCH_S, WATCH_TIMEOUT_WORKER_LEASES * settings.worker_lease_s)
        self._pause_s = LOOP_REQUEST_DIVISOR / settings.state_request_rate
        self._clock_drift = settings.clock_drift
        self._reload_lock = curio.Lock()
        self._notified_full_read_count = 0
        self._sync_waiters: list[Future] = []
        self._sync_requested = curio.Event()
        self.ready = curio.Event()
        self.current_at: float | None = None
        self._on_change = on_change

    async def sync(self, timeout_s: float) -> bool:
        """Wait until the mirror holds everything that was durable at the time of the call.

        Returns:
            Whether it does; False if this could not be established within `timeout_s`.
        """
        future = Future()
        self._sync_waiters.append(future)
        await self._sync_requested.set()
        return bool(await future.wait(timeout_s))

    async def load(self) -> None:
        """Read every key and bring the mirror up to date with the state at one revision.

        The pages of a full read are read at different times; the changes since the first page
        bring all of them to the last revision.
        """
        while True:
            rows, first = await self._client.read_all(self._prefix)
            sent_at = self._clock.now()
            try:
                revision, events = await self._client.changes(self._prefix, first, 0.0)
                break
            except ChangesCompactedError:
                log.info("full read took too long, restarted keys=%d revision=%d", len(rows), first)
        rows = apply_changes_to_rows(rows, events)
        self._mirror.apply_full_read(revision, rows)
        log.info("state loaded keys=%d revision=%d", len(rows), revision)
        self._record_current_at(sent_at)
        await self.ready.set()

    async def _reload(self, compacted_revision: int) -> None:
        """Read all keys again after the changes since a revision were compacted.

        Both loops detect the compaction at the same time; one of them reads for both.
        """
        async with self._reload_lock:
            if self._mirror.revision == compacted_revision:
                log.info("watch compacted, reading all keys revision=%d", compacted_revision)
                await self.load()

    def _record_current_at(self, sent_at: float) -> None:
        self.current_at = max(sent_at, self.current_at or sent_at)

    def read_age_s(self) -> float:
        """Return the seconds since `current_at`; infinite before the first read."""
        return math.inf if self.current_at is None else self._clock.now() - self.current_at

    def is_current_within(self, span_s: float) -> bool:
        """Return whether everything durable `span_s` seconds ago is known.

        The check allows for clock drift. A renewed lease is no proof, because renewals may succeed
        while reads fail.
        """
        if self.current_at is None:
            return False
        return self._clock.now() - self.current_at <= span_s * (1 - self._clock_drift)

    async def step(self, wait_s: float) -> None:
        """Apply the changes since the mirror's revision, waiting up to `wait_s` for the first.

        The first step reads all keys, and so does a step whose changes have been compacted.
        """
        if not self.ready.is_set():
            await self.load()
            return
        while True:
            sent_at = self._clock.now()
            after = self._mirror.revision
            try:
                revision, events = await self._client.changes(self._prefix, after, wait_s)
                break
            except ChangesCompactedError:
                # sync may have been called after the full read began: only changes requested
                # after the full read include everything that was durable at that call
                await self._reload(after)
                wait_s = 0.0
        self._mirror.apply_changes(revision, events)
        self._record_current_at(sent_at)
        has_reloaded = self._mirror.full_read_count != self._notified_full_read_count
        if (events or has_reloaded) and self._on_change is not None:
            self._notified_full_read_count = self._mirror.full_read_count
            await self._on_change()

    async def run(self) -> None:
        """Watch for changes until the controller stops."""
        while True:
            try:
                await self.step(self._watch_s)
                await curio.sleep(self._pause_s)
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("watch failed error=%s", exc)
                await curio.sleep(2 * self._pause_s)

    async def run_syncs(self) -> None:
        """Serve the callers of `sync` until the controller stops."""
        await self.ready.wait()
        while True:
            await self._sync_requested.wait()
            self._sync_requested.clear()
            waiters, self._sync_waiters = self._sync_waiters, []
            try:
                await self.step(0.0)
                is_current = True
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("sync failed error=%s", exc)
                is_current = False
            for future in waiters:
                await future.settle(is_current)
            await curio.sleep(self._pause_s)
