"""Sends write intents in batches, within this controller's share of the state service's rate.

The writer owns the queue of intents and the keys that are being written. The application runs it;
whoever decides on a change submits an intent and waits for its result. What was written goes to
the mirror at once.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import curio
import orjson

from ..net.clock import Clock
from ..net.token_bucket import TokenBucket
from ..settings import Settings, StateLimits
from ..wire.state import KeyValue
from .client import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    StateClient,
    TransactionResult,
    TransactionTooLargeError,
)
from .mirror import Mirror
from .write_intent import (
    Authority,
    WriteBatch,
    WriteIntent,
    WriteRank,
    WriteResult,
    merged_transaction,
)

__all__ = ["Authority", "WriteIntent", "WriteRank", "WriteResult", "Writer"]

log = logging.getLogger(__name__)

MAX_BATCHES_IN_FLIGHT = 3
# a write is repeated so many times within the interval at which leases are renewed
RETRIES_PER_RENEWAL = 4
MAX_LOGGED_KEYS = 3


class _NextBatch(NamedTuple):
    """What to do next.

    Attributes:
        intents: The intents to send; empty if there is nothing to send now.
        wait_s: How long to wait otherwise; None until something changes.
    """

    intents: list[WriteIntent]
    wait_s: float | None


class Writer:
    """Queues intents by rank and sends them in batches, within the limits in force."""

    def __init__(
        self,
        client: StateClient,
        mirror: Mirror,
        clock: Clock,
        settings: Settings,
        limits: Callable[[], StateLimits],
    ) -> None:
        self._client = client
        self._mirror = mirror
        self._clock = clock
        self._limits = limits
        # set by the first refusal for size; it then replaces whatever limits are announced
        self._reduced_limits: StateLimits | None = None
        self._lowest_limits = settings.lowest_state_limits
        share = settings.state_write_rate
        self._pacer = TokenBucket(clock, share, max(share, 1.0))
        # users' requests and leases need not wait for a share of the rate that others don't use
        self._urgent_overdraft = settings.urgent_write_burst
        self._retry_s = settings.lease_renewal_interval_s / RETRIES_PER_RENEWAL
        self._queue: list[WriteIntent] = []
        self._keys_in_flight: set[str] = set()
        self._batches_in_flight = 0
        self._wake = curio.Event()

    def allot(self, share: float) -> None:
        """Sets this controller's share of the write rate, in changes a second."""
        self._pacer.reset(share, max(share, 1.0))

    @property
    def limits(self) -> StateLimits:
        """The state service's limits as far as they are known."""
        return self._reduced_limits or self._limits()

    def writes_within(self, span_s: float) -> int:
        """Returns how many changes this controller may make in a time span, at least one."""
        return max(1, int(self._pacer.rate * span_s))

    @property
    def backlog(self) -> int:
        """How many intents wait to be sent."""
        return len(self._queue)

    async def submit(self, intent: WriteIntent) -> None:
        """Queues the intent; its future is settled with the result."""
        self._queue.append(intent)
        self._queue.sort(key=lambda queued: queued.rank)
        await self._wake.set()

    async def commit(self, intent: WriteIntent) -> WriteResult:
        """Submits the intent and waits for its result."""
        await self.submit(intent)
        return WriteResult(await intent.future.wait())

    # -- choosing what to send -------------------------------------------------------

    async def run(self) -> None:
        """Sends batches as the rate allows until the controller ends."""
        while True:
            intents, wait_s = await self._next_batch()
            if intents:
                self._batches_in_flight += 1
                self._keys_in_flight.update(*(intent.keys() for intent in intents))
                await curio.spawn(self._send, intents, daemon=True)
                continue
            if wait_s is None:
                await self._wake.wait()
            else:
                await curio.ignore_after(wait_s, self._wake.wait)
            self._wake.clear()

    async def _next_batch(self) -> _NextBatch:
        """Takes the next batch out of the queue, or tells how long to wait for one.

        Intents that may never be sent any more are settled on the way.
        """
        if not self._queue or self._batches_in_flight >= MAX_BATCHES_IN_FLIGHT:
            return _NextBatch([], None)
        batch = WriteBatch(self.limits)
        wait_s: float | None = None
        now = self._clock.now()
        for intent in list(self._queue):
            authority = intent.current_authority()
            if authority is Authority.LOST or intent.is_expired(now):
                is_lost = authority is Authority.LOST
                result = WriteResult.CONFLICT if is_lost else WriteResult.EXPIRED
                self._queue.remove(intent)
                await intent.future.settle(result)
                continue
            if authority is Authority.SUSPENDED or self._is_in_flight(intent):
                wait_s = self._retry_s
                continue
            if not batch.may_take(intent):
                continue
            rate_wait_s = self._rate_wait_s(batch, intent)
            if rate_wait_s > 0:
                wait_s = rate_wait_s
                break
            batch.add(intent)
        if batch.intents:
            self._take_out(batch)
        return _NextBatch(batch.intents, wait_s)

    def _is_in_flight(self, intent: WriteIntent) -> bool:
        """Tells whether a batch under way changes a key of the intent."""
        return not self._keys_in_flight.isdisjoint(intent.keys())

    def _rate_wait_s(self, batch: WriteBatch, intent: WriteIntent) -> float:
        """Returns how long the rate delays the batch if the intent is added to it."""
        overdraft = self._urgent_overdraft if intent.rank <= WriteRank.URGENT else 0.0
        return self._pacer.delay_s(batch.operation_count + intent.operation_count, overdraft)

    def _take_out(self, batch: WriteBatch) -> None:
        self._pacer.force_take(batch.operation_count)
        for intent in batch.intents:
            self._queue.remove(intent)

    # -- sending ---------------------------------------------------------------------

    async def _send(self, intents: list[WriteIntent]) -> None:
        try:
            await self._execute(intents)
        finally:
            self._batches_in_flight -= 1
            for intent in intents:
                self._keys_in_flight -= intent.keys()
            await self._wake.set()

    async def _execute(self, intents: list[WriteIntent]) -> None:
        """Sends the intents as one transaction; settles them or puts them back into the queue."""
        try:
            result = await self._client.txn(merged_transaction(intents))
        except RequestRefusedError as exc:
            log.debug("write refused error=%s", exc)
            if exc.is_rate_limited:
                self._pacer.drain()
            await self._retry_later(intents)
        except OutcomeUnknownError as exc:
            # the same conditions make a repeat harmless: one of the two requests has no effect
            log.info("write outcome unknown error=%s", exc)
            for intent in intents:
                intent.outcome_unknown = True
            await self._retry_later(intents)
        except TransactionTooLargeError as exc:
            await self._split(intents, exc)
        except LeaseExpiredError:
            for intent in intents:
                await intent.future.settle(WriteResult.CONFLICT)
        else:
            await self._settle(intents, result)

    async def _retry_later(self, intents: list[WriteIntent]) -> None:
        await curio.sleep(self._retry_s)
        self._put_back(intents)

    def _put_back(self, intents: list[WriteIntent]) -> None:
        """Puts intents at the head of the queue, in their order."""
        self._queue[:0] = intents

    async def _split(self, intents: list[WriteIntent], exc: TransactionTooLargeError) -> None:
        """Handles a batch that the service refused for its size: the limits were lowered.

        Several intents are sent one by one. A single one is settled as a conflict, so that it is
        planned anew, and never repeated as it is.
        """
        self._reduced_limits = self._lowest_limits
        if len(intents) > 1:
            log.info("write too large, split intents=%d error=%s", len(intents), exc)
            for intent in intents:
                intent.is_sent_alone = True
            self._put_back(intents)
            return
        log.error("write too large keys=%s error=%s", _logged_keys(intents[0]), exc)
        await intents[0].future.settle(WriteResult.CONFLICT)

    # -- results ---------------------------------------------------------------------

    async def _settle(self, intents: list[WriteIntent], result: TransactionResult) -> None:
        """Settles the intents of a transaction that was executed, or refused for conditions."""
        if not result.failed:
            for intent in intents:
                await self._note_applied(intent, result.revision)
            return
        failed = set(result.failed)
        to_repeat: list[WriteIntent] = []
        for intent in intents:
            intent.failed = [key for key in intent.txn.conditions if key in failed]
            if not intent.failed:
                to_repeat.append(intent)
            elif intent.outcome_unknown and await self._was_applied(intent):
                log.info("unanswered write confirmed keys=%s", _logged_keys(intent))
                await intent.future.settle(WriteResult.OK)
            else:
                await intent.future.settle(WriteResult.CONFLICT)
        self._put_back(to_repeat)

    async def _note_applied(self, intent: WriteIntent, revision: int) -> None:
        for put in intent.txn.puts:
            self._mirror.written(put.key, put.value, revision)
        for key in intent.txn.deletes:
            self._mirror.deleted(key, revision)
        await intent.future.settle(WriteResult.OK)

    async def _was_applied(self, intent: WriteIntent) -> bool:
        """Tells by reading whether an earlier, unanswered request made the intent's changes.

        If it did, the conditions of the repeated request fail.
        """
        while True:
            try:
                written = [await self._client.get(put.key) for put in intent.txn.puts]
                undeleted = [await self._client.get(key) for key in intent.txn.deletes]
                break
            except (RequestRefusedError, OutcomeUnknownError):
                await curio.sleep(self._retry_s)
        for entry in written:
            # others may have written since; what is read here is newer than what was known
            if entry is not None:
                self._mirror.merge_read(entry)
        return not any(undeleted) and _has_values(intent, written)


def _has_values(intent: WriteIntent, entries: list[KeyValue | None]) -> bool:
    """Tells whether the entries, in the order of the intent's puts, have the values put.

    Values are compared rather than bytes, as the service may write numbers its own way.
    """
    return all(
        entry is not None and entry.value == orjson.loads(orjson.dumps(put.value))
        for entry, put in zip(entries, intent.txn.puts, strict=True)
    )


def _logged_keys(intent: WriteIntent) -> list[str]:
    return sorted(intent.keys())[:MAX_LOGGED_KEYS]
