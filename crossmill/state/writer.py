"""Batches transactions inside this controller's share of the state service's write rate."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

import curio
import orjson

from ..net.clock import Clock
from ..net.future import Future
from ..net.pacer import Pacer
from ..settings import Settings, StateLimits
from ..wire.state import Txn
from .client import (
    LeaseExpiredError,
    OutcomeUnknownError,
    RequestRefusedError,
    StateClient,
    TransactionResult,
    TransactionTooLargeError,
)
from .mirror import Mirror

log = logging.getLogger(__name__)

MAX_TXN_BYTES = 56 * 1024
IN_FLIGHT = 3


class Authority(Enum):
    """Whether this controller may send a write that was decided earlier."""

    HELD = "held"
    # not now, but perhaps again: the lease that it was decided under is in doubt
    SUSPENDED = "suspended"
    # never again
    LOST = "lost"


class WriteResult(Enum):
    """What became of an intent."""

    OK = "ok"
    # a condition failed, or it may never be sent any more
    CONFLICT = "conflict"
    # its time was over before it could be sent
    EXPIRED = "expired"


class WriteRank(IntEnum):
    """What goes first; lower ranks do. Who acts for a shard is settled before anything else."""

    OWNERSHIP = -1
    URGENT = 0
    PLACEMENT = 1
    OUTCOME = 2
    BACKGROUND = 3


@dataclass(slots=True, eq=False)
class WriteIntent:
    """Changes that are committed together or not at all.

    `authority` is asked right before each sending; without one the intent may always be sent.
    """

    txn: Txn
    rank: WriteRank = WriteRank.BACKGROUND
    until: float | None = None
    authority: Callable[[], Authority] | None = None
    outcome_unknown: bool = False
    # part of a batch that was too large: sent by itself from now on
    alone: bool = False
    failed: list[str] = field(default_factory=list)
    future: Future = field(default_factory=Future)

    @property
    def ops(self) -> int:
        """How many puts and deletes it takes."""
        return len(self.txn.puts) + len(self.txn.deletes)

    def keys(self) -> set[str]:
        """The keys that it changes."""
        return {*(p.key for p in self.txn.puts), *self.txn.deletes}

    def size(self) -> int:
        """About how many bytes it takes in a request."""
        puts = sum(len(orjson.dumps(p.value)) + len(p.key) + 60 for p in self.txn.puts)
        names = sum(len(k) + 40 for k in (*self.txn.conditions, *self.txn.deletes))
        return puts + names


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
        # set by the first refusal for size: from then on whatever limits are announced are kept
        self._lowest: StateLimits | None = None
        self._announced = settings.lowest_state_limits
        share = settings.state_write_rate
        self._pacer = Pacer(clock, share, max(share, 1.0))
        # users and leases do not wait for a share of the rate that others leave unused
        self._overdraft = settings.urgent_write_burst
        self._retry_s = settings.lease_renewal_interval_s / 4
        self._queue: list[WriteIntent] = []
        self._busy: set[str] = set()
        self._flying = 0
        self._wake = curio.Event()

    def allot(self, share: float) -> None:
        """This controller's changes a second, from now on."""
        self._pacer.reset(share, max(share, 1.0))

    @property
    def limits(self) -> StateLimits:
        """The state service's limits as far as they are known."""
        return self._lowest or self._limits()

    def writes_within(self, span_s: float) -> int:
        """How many changes this controller may make in such a time, at least one."""
        return max(1, int(self._pacer.rate * span_s))

    @property
    def backlog(self) -> int:
        """How many intents wait."""
        return len(self._queue)

    async def submit(self, intent: WriteIntent) -> None:
        """Queues the intent; what becomes of it is told by its future."""
        self._queue.append(intent)
        self._queue.sort(key=lambda i: i.rank)
        await self._wake.set()

    async def commit(self, intent: WriteIntent) -> WriteResult:
        """Submits the intent and waits for what becomes of it."""
        await self.submit(intent)
        return WriteResult(await intent.future.wait())

    async def run(self) -> None:
        """Sends batches as the rate allows until the controller ends."""
        while True:
            batch, nap_s = await self._pick()
            if batch:
                self._flying += 1
                self._busy.update(*(i.keys() for i in batch))
                await curio.spawn(self._send, batch, daemon=True)
                continue
            if nap_s is None:
                await self._wake.wait()
            else:
                await curio.ignore_after(nap_s, self._wake.wait)
            self._wake.clear()

    async def _pick(self) -> tuple[list[WriteIntent], float | None]:
        """The next batch, or how long to wait for one (None: until something happens)."""
        if not self._queue or self._flying >= IN_FLIGHT:
            return [], None
        batch: list[WriteIntent] = []
        keys: set[str] = set()
        conditions: dict[str, int] = {}
        ops = size = 0
        limits = self.limits
        nap_s: float | None = None
        now = self._clock.now()
        for intent in list(self._queue):
            authority = Authority.HELD if intent.authority is None else intent.authority()
            is_lost = authority is Authority.LOST
            if is_lost or (intent.until is not None and now > intent.until):
                self._queue.remove(intent)
                await intent.future.settle(WriteResult.CONFLICT if is_lost else WriteResult.EXPIRED)
                continue
            mine = intent.keys()
            if authority is Authority.SUSPENDED or mine & self._busy:
                nap_s = self._retry_s
                continue
            # alike conditions share their place in a batch; others must not contradict it
            merged = {**conditions, **intent.txn.conditions}
            clash = any(conditions.get(k, v) != v for k, v in intent.txn.conditions.items())
            more, bytes_more = intent.ops, intent.size()
            full = (
                ops + more > limits.txn_ops
                or len(merged) > limits.conditions
                or size + bytes_more > MAX_TXN_BYTES
            )
            if batch and (full or clash or mine & keys or keys & intent.txn.conditions.keys()):
                continue
            if batch and any(k in conditions for k in mine):
                continue
            if batch and (intent.alone or batch[0].alone):
                continue
            overdraft = self._overdraft if intent.rank <= WriteRank.URGENT else 0.0
            wait_s = self._pacer.wait_s(ops + more, overdraft)
            if wait_s > 0:
                nap_s = wait_s
                break
            batch.append(intent)
            keys |= mine
            conditions = merged
            ops += more
            size += bytes_more
        if batch:
            self._pacer.spend(ops)
            for intent in batch:
                self._queue.remove(intent)
        return batch, nap_s

    async def _send(self, batch: list[WriteIntent]) -> None:
        try:
            await self._try(batch)
        finally:
            self._flying -= 1
            for intent in batch:
                self._busy -= intent.keys()
            await self._wake.set()

    async def _try(self, batch: list[WriteIntent]) -> None:
        txn = Txn()
        for intent in batch:
            txn.conditions.update(intent.txn.conditions)
            txn.puts.extend(intent.txn.puts)
            txn.deletes.extend(intent.txn.deletes)
        try:
            outcome = await self._client.txn(txn)
        except RequestRefusedError as exc:
            log.debug("write refused error=%s", exc)
            if "429" in str(exc):
                self._pacer.drain()
            await curio.sleep(self._retry_s)
            self._queue[:0] = batch
        except OutcomeUnknownError as exc:
            # the same conditions make a repeat harmless: one of the two does nothing
            log.info("write outcome unknown error=%s", exc)
            for intent in batch:
                intent.outcome_unknown = True
            await curio.sleep(self._retry_s)
            self._queue[:0] = batch
        except TransactionTooLargeError as exc:
            await self._split(batch, exc)
        except LeaseExpiredError:
            for intent in batch:
                await intent.future.settle(WriteResult.CONFLICT)
        else:
            await self._settle(batch, outcome)

    async def _split(self, batch: list[WriteIntent], exc: TransactionTooLargeError) -> None:
        """The limits were lowered: what went together is tried apart, what is too large by
        itself is given back to be planned anew, and never repeated as it is.
        """
        self._lowest = self._announced
        if len(batch) > 1:
            log.info("write too large, split intents=%d error=%s", len(batch), exc)
            for intent in batch:
                intent.alone = True
            self._queue[:0] = batch
            return
        log.error("write too large keys=%s error=%s", sorted(batch[0].keys())[:3], exc)
        await batch[0].future.settle(WriteResult.CONFLICT)

    async def _settle(self, batch: list[WriteIntent], outcome: TransactionResult) -> None:
        if not outcome.failed:
            for intent in batch:
                await self._applied(intent, outcome.revision)
            return
        failed = set(outcome.failed)
        again: list[WriteIntent] = []
        for intent in batch:
            intent.failed = [k for k in intent.txn.conditions if k in failed]
            if not intent.failed:
                again.append(intent)
            elif intent.outcome_unknown and await self._was_applied(intent):
                log.info("unanswered write confirmed keys=%s", sorted(intent.keys())[:3])
            else:
                await intent.future.settle(WriteResult.CONFLICT)
        self._queue[:0] = again

    async def _applied(self, intent: WriteIntent, revision: int) -> None:
        for put in intent.txn.puts:
            self._mirror.written(put.key, put.value, revision)
        for key in intent.txn.deletes:
            self._mirror.deleted(key, revision)
        await intent.future.settle(WriteResult.OK)

    async def _was_applied(self, intent: WriteIntent) -> bool:
        """After a lost answer the repeat's conditions fail when the first was executed: what
        stands in the store tells.
        """
        while True:
            try:
                rows = [await self._client.get(p.key) for p in intent.txn.puts]
                gone = [await self._client.get(k) for k in intent.txn.deletes]
                break
            except (RequestRefusedError, OutcomeUnknownError):
                await curio.sleep(self._retry_s)
        for row in rows:
            # others may have written on top; what is read here is newer than what was known
            if row is not None:
                self._mirror.merge_read(row)
        if any(gone):
            return False
        for row, put in zip(rows, intent.txn.puts, strict=True):
            # the store may write numbers its own way, so values are compared, not bytes
            if row is None or row.value != orjson.loads(orjson.dumps(put.value)):
                return False
        await intent.future.settle(WriteResult.OK)
        return True
