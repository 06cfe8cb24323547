"""Write intents: changes to the state service that are made together or not at all.

Whoever decides on a change makes an intent and submits it to the writer, which settles the
intent's future with a `WriteResult`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, IntEnum

import orjson

from ..net.future import Future
from ..wire.state import Txn

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
