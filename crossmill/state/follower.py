"""Keeps the mirror up to date, and shows that it is when an answer depends on it."""

import logging
from collections.abc import Awaitable, Callable

import curio

from ..net.clock import Clock
from ..net.future import Future
from ..settings import Settings
from .client import Compacted, OutcomeUnknown, Refused, StateClient
from .mirror import Mirror

log = logging.getLogger(__name__)


class Follower:
    """A long watch brings changes soon; a sync is a watch that does not wait, and what it
    returns was current after it was sent: it serves all who asked before that."""

    def __init__(
        self, client: StateClient, mirror: Mirror, clock: Clock, prefix: str, s: Settings
    ) -> None:
        self._client = client
        self._clock = clock
        self._mirror = mirror
        self._prefix = prefix
        self._watch_s = min(60.0, 4 * s.lease_s)
        # both loops together take at most half of this controller's share of requests
        self._pause_s = 4 / s.requests_share
        self._drift = s.drift
        self._waiting: list[Future] = []
        self._asked = curio.Event()
        self.ready = curio.Event()
        # the sending of the newest read that showed all that was durable
        self.current_at: float | None = None
        self.on_change: Callable[[], Awaitable[None]] | None = None

    async def sync(self, timeout_s: float) -> bool:
        """True when the mirror holds all that was durable when this was called."""
        future = Future()
        self._waiting.append(future)
        await self._asked.set()
        return bool(await future.wait(timeout_s))

    async def load(self) -> None:
        sent = self._clock.now()
        rows, revision = await self._client.read_all(self._prefix)
        self._mirror.replace(revision, rows)
        log.info("state read keys=%d revision=%d", len(rows), revision)
        self._note_current(sent)
        await self.ready.set()

    def _note_current(self, sent: float) -> None:
        self.current_at = max(sent, self.current_at or sent)

    def current_within(self, span_s: float) -> bool:
        """Whether all that was durable so long ago is known. A renewal that succeeds is no sign
        of it: the lease may stand where no read has come through for long."""
        at = self.current_at
        return at is not None and self._clock.now() - at <= span_s * (1 - self._drift)

    async def _step(self, wait_s: float) -> None:
        try:
            if not self.ready.is_set():
                await self.load()
                return
            sent = self._clock.now()
            result = await self._client.changes(self._prefix, self._mirror.revision, wait_s)
            self._mirror.apply(*result)
            self._note_current(sent)
            if result[1] and self.on_change is not None:
                await self.on_change()
        except Compacted:
            log.info("watch too old, reading everything again")
            await self.load()

    async def run(self) -> None:
        while True:
            try:
                await self._step(self._watch_s)
                await curio.sleep(self._pause_s)
            except (Refused, OutcomeUnknown) as exc:
                log.debug("watch failed error=%s", exc)
                await curio.sleep(2 * self._pause_s)

    async def run_syncs(self) -> None:
        await self.ready.wait()
        while True:
            await self._asked.wait()
            self._asked.clear()
            waiting, self._waiting = self._waiting, []
            try:
                await self._step(0.0)
                current = True
            except (Refused, OutcomeUnknown) as exc:
                log.debug("sync failed error=%s", exc)
                current = False
            for future in waiting:
                await future.settle(current)
            await curio.sleep(self._pause_s)
