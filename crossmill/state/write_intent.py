"""Write intents: changes to the state service that are made together or not at all; their batches.

Whoever decides on a change makes an intent and submits it to the writer, which settles the
intent's future with a `WriteResult`. The writer sends several intents as one batch; a batch only
takes intents that do not influence one another, so that each one's result is the same as if it
were sent by itself.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

import orjson

from ..net.future import Future
from ..settings import StateLimits
from ..wire.state import Txn

MAX_TXN_BYTES = 56 * 1024
# about how many bytes a put, and a key by itself, take in a request besides their own
PUT_OVERHEAD_BYTES = 60
KEY_OVERHEAD_BYTES = 40


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
    # a condition failed, or the intent may never be sent any more
    CONFLICT = "conflict"
    # it could not be sent in time
    EXPIRED = "expired"


class WriteRank(IntEnum):
    """The order in which intents are sent: lower ranks first.

    Ownership of shards comes before everything else, as all other writes depend on it.
    """

    OWNERSHIP = -1
    URGENT = 0
    PLACEMENT = 1
    OUTCOME = 2
    BACKGROUND = 3


@dataclass(slots=True, eq=False)
class WriteIntent:
    """Changes that are made together or not at all.

    Attributes:
        txn: The changes and their conditions.
        rank: The order in which it is sent.
        until: When it must have been sent, in steady time; None if there is no such time.
        authority: Asked right before each sending; without it the intent may always be sent.
        outcome_unknown: Whether a request with it was not answered, so that it may be executed.
        is_sent_alone: Whether it was part of a batch that was too large.
        failed: The keys whose conditions failed in the last request.
        future: Settled with the `WriteResult`.
    """

    txn: Txn
    rank: WriteRank = WriteRank.BACKGROUND
    until: float | None = None
    authority: Callable[[], Authority] | None = None
    outcome_unknown: bool = False
    is_sent_alone: bool = False
    failed: list[str] = field(default_factory=list)
    future: Future = field(default_factory=Future)

    @property
    def operation_count(self) -> int:
        """How many puts and deletes it has."""
        return len(self.txn.puts) + len(self.txn.deletes)

    def keys(self) -> set[str]:
        """Returns the keys that it changes."""
        return {*(put.key for put in self.txn.puts), *self.txn.deletes}

    def estimated_bytes(self) -> int:
        """Returns about how many bytes it takes in a request."""
        puts = sum(
            len(orjson.dumps(put.value)) + len(put.key) + PUT_OVERHEAD_BYTES
            for put in self.txn.puts
        )
        keys = sum(
            len(key) + KEY_OVERHEAD_BYTES for key in (*self.txn.conditions, *self.txn.deletes)
        )
        return puts + keys

    def current_authority(self) -> Authority:
        """Returns whether it may be sent now, as far as its authority goes."""
        return Authority.HELD if self.authority is None else self.authority()

    def is_expired(self, now: float) -> bool:
        """Tells whether the time until which it may be sent is over."""
        return self.until is not None and now > self.until


class WriteBatch:
    """Intents that fit into one transaction.

    Attributes:
        intents: The intents, in the order in which they were added.
        operation_count: How many puts and deletes they have together.
    """

    __slots__ = ("_bytes", "_conditions", "_keys", "_limits", "intents", "operation_count")

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._keys: set[str] = set()
        self._conditions: dict[str, int] = {}
        self._bytes = 0
        self.intents: list[WriteIntent] = []
        self.operation_count = 0

    def may_take(self, intent: WriteIntent) -> bool:
        """Tells whether the intent may be added; an empty batch takes any intent."""
        if not self.intents:
            return True
        return not (
            self._exceeds_limits(intent)
            or self._contradicts(intent)
            or self._shares_keys(intent)
            or intent.is_sent_alone
            or self.intents[0].is_sent_alone
        )

    def _exceeds_limits(self, intent: WriteIntent) -> bool:
        # conditions on the same key count once
        conditions = self._conditions.keys() | intent.txn.conditions.keys()
        return (
            self.operation_count + intent.operation_count > self._limits.txn_ops
            or len(conditions) > self._limits.max_conditions
            or self._bytes + intent.estimated_bytes() > MAX_TXN_BYTES
        )

    def _contradicts(self, intent: WriteIntent) -> bool:
        """Tells whether the intent and the batch need different versions of a key."""
        return any(
            self._conditions.get(key, version) != version
            for key, version in intent.txn.conditions.items()
        )

    def _shares_keys(self, intent: WriteIntent) -> bool:
        """Tells whether one changes a key that the other changes or has a condition on."""
        changed = intent.keys()
        return not (
            changed.isdisjoint(self._keys)
            and self._keys.isdisjoint(intent.txn.conditions)
            and changed.isdisjoint(self._conditions)
        )

    def add(self, intent: WriteIntent) -> None:
        """Adds an intent that the batch may take."""
        self.intents.append(intent)
        self._keys |= intent.keys()
        self._conditions.update(intent.txn.conditions)
        self.operation_count += intent.operation_count
        self._bytes += intent.estimated_bytes()


def merged_transaction(intents: list[WriteIntent]) -> Txn:
    """Returns the transaction that makes the changes of all the intents."""
    txn = Txn()
    for intent in intents:
        txn.conditions.update(intent.txn.conditions)
        txn.puts.extend(intent.txn.puts)
        txn.deletes.extend(intent.txn.deletes)
    return txn
