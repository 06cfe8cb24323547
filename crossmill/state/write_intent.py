"""Write intents, which are atomic changes to the state service, and batches of them.

A component that decides on a change creates an intent and submits it to the writer, which settles
the intent's future with a `WriteResult`. The writer sends several intents as one batch. A batch
holds only intents that are independent of one another, so that each has the same result as if it
were sent separately.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

import orjson

from ..net.future import Future
from ..settings import StateLimits
from ..wire.state import Txn

MAX_TXN_BYTES = 56 * 1024
# the approximate overhead in a request, in bytes, of a put and of a key without a value
PUT_OVERHEAD_BYTES = 60
KEY_OVERHEAD_BYTES = 40


class Authority(Enum):
    """Whether this controller may still send a write that it decided on earlier."""

    HELD = "held"
    # not at present, but possibly later: the lease may have expired
    SUSPENDED = "suspended"
    # permanently
    LOST = "lost"


class WriteResult(Enum):
    """The result of an intent."""

    OK = "ok"
    # a condition failed, the transaction is too large, or the authority or a lease is lost
    CONFLICT = "conflict"
    # the intent could not be sent before its deadline
    EXPIRED = "expired"


class WriteRank(IntEnum):
    """The order in which intents are sent: lower ranks first.

    Shard ownership comes first, because all other writes depend on it.
    """

    OWNERSHIP = -1
    URGENT = 0
    PLACEMENT = 1
    OUTCOME = 2
    BACKGROUND = 3


@dataclass(slots=True, eq=False)
class WriteIntent:
    """Changes that are applied atomically.

    Attributes:
        txn: The changes and their conditions.
        rank: The rank that determines the order in which intents are sent.
        send_deadline: The latest time to send the intent, on the monotonic clock; None if
            unlimited.
        authority: Callback that is checked before each send; None if the intent may always be
            sent.
        is_outcome_unknown: Whether a request with the intent got no response, so that the changes
            may have been applied.
        is_sent_alone: Whether the intent is sent without others, because it was part of a batch
            that was too large.
        failed_keys: The keys whose conditions failed in the last request.
        future: Settled with the `WriteResult`.
    """

    txn: Txn
    rank: WriteRank = WriteRank.BACKGROUND
    send_deadline: float | None = None
    authority: Callable[[], Authority] | None = None
    is_outcome_unknown: bool = False
    is_sent_alone: bool = False
    failed_keys: list[str] = field(default_factory=list)
    future: Future = field(default_factory=Future)

    @property
    def operation_count(self) -> int:
        """The number of puts and deletes."""
        return len(self.txn.puts) + len(self.txn.deletes)

    def keys(self) -> set[str]:
        """Return the keys that the intent changes."""
        return {*(put.key for put in self.txn.puts), *self.txn.deletes}

    def estimated_bytes(self) -> int:
        """Return the approximate size of the intent in a request, in bytes."""
        puts = sum(
            len(orjson.dumps(put.value)) + len(put.key) + PUT_OVERHEAD_BYTES
            for put in self.txn.puts
        )
        keys = sum(
            len(key) + KEY_OVERHEAD_BYTES for key in (*self.txn.conditions, *self.txn.deletes)
        )
        return puts + keys

    def current_authority(self) -> Authority:
        """Return the current authority to send the intent; HELD if it needs none."""
        return Authority.HELD if self.authority is None else self.authority()

    def is_expired(self, now: float) -> bool:
        """Return whether the deadline for sending the intent has passed."""
        return self.send_deadline is not None and now > self.send_deadline


class WriteBatch:
    """Intents that fit into one transaction.

    Attributes:
        intents: The intents, in the order in which they were added.
        operation_count: The total number of their puts and deletes.
    """

    __slots__ = ("_bytes", "_conditions", "_keys", "_limits", "intents", "operation_count")

    def __init__(self, limits: StateLimits) -> None:
        self._limits = limits
        self._keys: set[str] = set()
        self._conditions: dict[str, int] = {}
        self._bytes = 0
        self.intents: list[WriteIntent] = []
        self.operation_count = 0

    def can_add(self, intent: WriteIntent) -> bool:
        """Return whether the intent can be added; an empty batch accepts any intent."""
        if not self.intents:
            return True
        return not (
            self._exceeds_limits(intent)
            or self._has_conflicting_conditions(intent)
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

    def _has_conflicting_conditions(self, intent: WriteIntent) -> bool:
        """Return whether the intent and the batch require different versions of a key."""
        return any(
            self._conditions.get(key, version) != version
            for key, version in intent.txn.conditions.items()
        )

    def _shares_keys(self, intent: WriteIntent) -> bool:
        """Return whether one side changes a key that the other changes or has a condition on."""
        changed = intent.keys()
        return not (
            changed.isdisjoint(self._keys)
            and self._keys.isdisjoint(intent.txn.conditions)
            and changed.isdisjoint(self._conditions)
        )

    def add(self, intent: WriteIntent) -> None:
        """Add an intent for which `can_add` holds."""
        self.intents.append(intent)
        self._keys |= intent.keys()
        self._conditions.update(intent.txn.conditions)
        self.operation_count += intent.operation_count
        self._bytes += intent.estimated_bytes()


def merge_transactions(intents: list[WriteIntent]) -> Txn:
    """Return one transaction with the conditions and changes of all the intents."""
    txn = Txn()
    for intent in intents:
        txn.conditions.update(intent.txn.conditions)
        txn.puts.extend(intent.txn.puts)
        txn.deletes.extend(intent.txn.deletes)
    return txn
