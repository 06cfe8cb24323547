"""A batch of write intents that is sent as one transaction.

The writer fills a batch from its queue. A batch only takes intents that do not influence one
another, so that each one's result is the same as if it were sent by itself.
"""

from ..settings import StateLimits
from ..wire.state import Txn
from .write_intent import WriteIntent

MAX_TXN_BYTES = 56 * 1024


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
            or len(conditions) > self._limits.conditions
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
