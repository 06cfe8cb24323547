"""Keeps the mirror up to date, and shows that it is when an answer depends on it."""

import logging
from collections.abc import Awaitable, Callable

import curio

from ..net.clock import Clock
from ..net.future import Future
from ..settings import Settings
from ..wire.state import Event, KeyValue
from .client import ChangesCompactedError, OutcomeUnknownError, RequestRefusedError, StateClient
from .mirror import Mirror

log = logging.getLogger(__name__)


def brought_up_to_date(rows: list[KeyValue], events: list[Event]) -> list[KeyValue]:
    """A reading's rows with the changes since its first page: later pages hold some already."""
    by_key = {row.key: row for row in rows}
    for event in events:
        known = by_key.get(event.key)
        if known is not None and known.version > event.version:
            continue
        if event.deleted:
            by_key.pop(event.key, None)
        else:
            by_key[event.key] = KeyValue(event.key, event.value, event.version)
    return list(by_key.values())


class StateWatcher:
    """A long watch brings changes soon; a sync is a watch that does not wait, and what it
    returns was current after it was sent: it serves all who asked before that.
    """

    def __init__(
        self,
        client: StateClient,
        mirror: Mirror,
        clock: Clock,
        prefix: str,
        s: Settings,
        on_change: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._mirror = mirror
        self._prefix = prefix
        self._watch_s = min(60.0, 4 * s.worker_lease_s)
        # both loops together take at most half of this controller's share of requests
        self._pause_s = 4 / s.state_request_rate
        self._drift = s.clock_drift
        self._reading = curio.Lock()
        self._readings = 0
        self._waiting: list[Future] = []
        self._asked = curio.Event()
        self.ready = curio.Event()
        # the sending of the newest read that showed all that was durable
        self.current_at: float | None = None
        self._on_change = on_change

    async def sync(self, timeout_s: float) -> bool:
        """True when the mirror holds all that was durable when this was called."""
        future = Future()
        self._waiting.append(future)
        await self._asked.set()
        return bool(await future.wait(timeout_s))

    async def load(self) -> None:
        """Reads every key and publishes a state that existed at one revision. The pages are of
        different moments; the changes since the first bring all of them to the last.
        """
        while True:
            rows, first = await self._client.read_all(self._prefix)
            sent = self._clock.now()
            try:
                revision, events = await self._client.changes(self._prefix, first, 0.0)
                break
            except ChangesCompactedError:
                log.info("full read took too long, restarted keys=%d revision=%d", len(rows), first)
        rows = brought_up_to_date(rows, events)
        self._mirror.replace(revision, rows)
        log.info("state loaded keys=%d revision=%d", len(rows), revision)
        self._note_current(sent)
        await self.ready.set()

    async def _reload(self, missed: int) -> None:
        """Reads all anew after a watch from a revision that is no longer kept. Both loops meet
        that at once: one reads for both.
        """
        async with self._reading:
            if self._mirror.revision == missed:
                log.info("watch compacted, reading all keys revision=%d", missed)
                await self.load()

    def _note_current(self, sent: float) -> None:
        self.current_at = max(sent, self.current_at or sent)

    def is_current_within(self, span_s: float) -> bool:
        """Whether all that was durable so long ago is known. A renewal that succeeds is no sign
        of it: the lease may stand where no read has come through for long.
        """
        at = self.current_at
        return at is not None and self._clock.now() - at <= span_s * (1 - self._drift)

    async def _step(self, wait_s: float) -> None:
        if not self.ready.is_set():
            await self.load()
            return
        while True:
            sent, after = self._clock.now(), self._mirror.revision
            try:
                revision, events = await self._client.changes(self._prefix, after, wait_s)
                break
            except ChangesCompactedError:
                # whoever waits for a sync may have asked after the reading was begun: only the
                # changes asked for after it show all that was durable then
                await self._reload(after)
                wait_s = 0.0
        self._mirror.apply(revision, events)
        self._note_current(sent)
        if (events or self._mirror.readings != self._readings) and self._on_change is not None:
            self._readings = self._mirror.readings
            await self._on_change()

    async def run(self) -> None:
        """Watches for changes until the controller ends."""
        while True:
            try:
                await self._step(self._watch_s)
                await curio.sleep(self._pause_s)
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("watch failed error=%s", exc)
                await curio.sleep(2 * self._pause_s)

    async def run_syncs(self) -> None:
        """Serves those who wait for a sync until the controller ends."""
        await self.ready.wait()
        while True:
            await self._asked.wait()
            self._asked.clear()
            waiting, self._waiting = self._waiting, []
            try:
                await self._step(0.0)
                current = True
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("sync failed error=%s", exc)
                current = False
            for future in waiting:
                await future.settle(current)
            await curio.sleep(self._pause_s)
