"""Sends write intents in batches, within this controller's share of the state service's rate.

The writer owns the queue of intents and the set of keys that are being written. The application
runs it; a component that decides on a change submits an intent and waits for its result.
Successful writes are applied to the mirror immediately.
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
    merge_transactions,
)

__all__ = ["Authority", "WriteIntent", "WriteRank", "WriteResult", "Writer"]

log = logging.getLogger(__name__)

MAX_BATCHES_IN_FLIGHT = 3
# the number of times that a write can be retried within one lease renewal interval
RETRIES_PER_RENEWAL = 4
MAX_LOGGED_KEYS = 3


class _NextBatch(NamedTuple):
    """The next batch to send, or the delay before the next attempt.

    Attributes:
        intents: The intents to send; empty if there is nothing to send now.
        wait_s: The delay in seconds if there are no intents; None to wait for a wake-up.
    """

    intents: list[WriteIntent]
    wait_s: float | None


class Writer:
    """Queues intents by rank and sends them in batches, within the current limits."""

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
        # set when a transaction is first refused for its size; `_limits` is ignored from then on
        self._reduced_limits: StateLimits | None = None
        self._lowest_limits = settings.lowest_state_limits
        share = settings.state_write_rate
        self._token_bucket = TokenBucket(clock, share, max(share, 1.0))
        # the number of changes by which user requests and ownership writes may exceed this
        # controller's share, using rate that other controllers leave unused
        self._urgent_overdraft = settings.urgent_write_burst
        self._retry_s = settings.lease_renewal_interval_s / RETRIES_PER_RENEWAL
        self._queue: list[WriteIntent] = []
        self._keys_in_flight: set[str] = set()
        self._batches_in_flight = 0
        self._wake = curio.Event()

    def set_rate(self, share: float) -> None:
        """Set this controller's share of the write rate, in changes per second."""
        self._token_bucket.reset(share, max(share, 1.0))

    @property
    def limits(self) -> StateLimits:
        """The limits of the state service that are currently known."""
        return self._reduced_limits or self._limits()

    def writes_within(self, span_s: float) -> int:
        """Return the number of changes that this controller may make in a time span, at least 1."""
        return max(1, int(self._token_bucket.rate * span_s))

    @property
    def backlog(self) -> int:
        """The number of queued intents."""
        return len(self._queue)

    async def submit(self, intent: WriteIntent) -> None:
        """Queue the intent; its future is settled with the result."""
        self._queue.append(intent)
        self._queue.sort(key=lambda queued: queued.rank)
        await self._wake.set()

    async def commit(self, intent: WriteIntent) -> WriteResult:
        """Submit the intent and wait for its result."""
        await self.submit(intent)
        return WriteResult(await intent.future.wait())

    # -- batching --------------------------------------------------------------------

    async def run(self) -> None:
        """Send batches as the rate allows until the controller stops."""
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
        """Remove the next batch from the queue, or return the delay before the next attempt.

        Intents that have expired or lost their authority are settled here.
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
            if not batch.can_add(intent):
                continue
            rate_wait_s = self._rate_wait_s(batch, intent)
            if rate_wait_s > 0:
                wait_s = rate_wait_s
                break
            batch.add(intent)
        if batch.intents:
            self._dequeue(batch)
        return _NextBatch(batch.intents, wait_s)

    def _is_in_flight(self, intent: WriteIntent) -> bool:
        """Return whether a batch in flight changes a key of the intent."""
        return not self._keys_in_flight.isdisjoint(intent.keys())

    def _rate_wait_s(self, batch: WriteBatch, intent: WriteIntent) -> float:
        """Return the delay in seconds that the rate imposes on the batch with the intent added."""
        overdraft = self._urgent_overdraft if intent.rank <= WriteRank.URGENT else 0.0
        return self._token_bucket.delay_s(batch.operation_count + intent.operation_count, overdraft)

    def _dequeue(self, batch: WriteBatch) -> None:
        self._token_bucket.force_take(batch.operation_count)
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
        """Send the intents as one transaction, then settle or requeue them."""
        try:
            result = await self._client.txn(merge_transactions(intents))
        except RequestRefusedError as exc:
            log.debug("write refused error=%s", exc)
            if exc.is_rate_limited:
                self._token_bucket.drain()
            await self._retry_later(intents)
        except OutcomeUnknownError as exc:
            # a retry is safe: with the same conditions, only one of the two requests takes effect
            log.info("write outcome unknown error=%s", exc)
            for intent in intents:
                intent.is_outcome_unknown = True
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
        self._requeue(intents)

    def _requeue(self, intents: list[WriteIntent]) -> None:
        """Put intents back at the head of the queue, in their order."""
        self._queue[:0] = intents

    async def _split(self, intents: list[WriteIntent], exc: TransactionTooLargeError) -> None:
        """Handle a batch that the service refused for its size, because its limits were lowered.

        Several intents are sent one by one. A single intent is settled as a conflict, so that its
        change is planned again and the same transaction is never retried.
        """
        self._reduced_limits = self._lowest_limits
        if len(intents) > 1:
            log.info("write too large, split intents=%d error=%s", len(intents), exc)
            for intent in intents:
                intent.is_sent_alone = True
            self._requeue(intents)
            return
        log.error("write too large keys=%s error=%s", _logged_keys(intents[0]), exc)
        await intents[0].future.settle(WriteResult.CONFLICT)

    # -- results ---------------------------------------------------------------------

    async def _settle(self, intents: list[WriteIntent], result: TransactionResult) -> None:
        """Settle the intents of a transaction that was executed or whose conditions failed."""
        if not result.failed_keys:
            for intent in intents:
                await self._settle_applied(intent, result.revision)
            return
        failed = set(result.failed_keys)
        to_retry: list[WriteIntent] = []
        for intent in intents:
            intent.failed_keys = [key for key in intent.txn.conditions if key in failed]
            if not intent.failed_keys:
                to_retry.append(intent)
            elif intent.is_outcome_unknown and await self._was_applied(intent):
                log.info("unanswered write confirmed keys=%s", _logged_keys(intent))
                await intent.future.settle(WriteResult.OK)
            else:
                await intent.future.settle(WriteResult.CONFLICT)
        self._requeue(to_retry)

    async def _settle_applied(self, intent: WriteIntent, revision: int) -> None:
        for put in intent.txn.puts:
            self._mirror.apply_write(put.key, put.value, revision)
        for key in intent.txn.deletes:
            self._mirror.apply_deletion(key, revision)
        await intent.future.settle(WriteResult.OK)

    async def _was_applied(self, intent: WriteIntent) -> bool:
        """Read the keys and return whether an earlier request without a response was applied.

        In that case the conditions of the retried request fail.
        """
        while True:
            try:
                written = [await self._client.get(put.key) for put in intent.txn.puts]
                undeleted = [await self._client.get(key) for key in intent.txn.deletes]
                break
            except (RequestRefusedError, OutcomeUnknownError):
                await curio.sleep(self._retry_s)
        for entry in written:
            # other controllers may have written since: the values may be newer than the mirror's
            if entry is not None:
                self._mirror.merge_read(entry)
        return not any(undeleted) and _has_values(intent, written)


def _has_values(intent: WriteIntent, entries: list[KeyValue | None]) -> bool:
    """Return whether the entries, in the order of the intent's puts, hold the values put.

    Values are compared rather than bytes, because the service may format numbers differently.
    """
    return all(
        entry is not None and entry.value == orjson.loads(orjson.dumps(put.value))
        for entry, put in zip(entries, intent.txn.puts, strict=True)
    )


def _logged_keys(intent: WriteIntent) -> list[str]:
    return sorted(intent.keys())[:MAX_LOGGED_KEYS]
