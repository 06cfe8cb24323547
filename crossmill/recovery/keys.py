"""The keys of recovery in the state service; versions that do not know them ignore them."""

from typing import NamedTuple

from ..cluster import keys as cluster_keys

PREFIX = cluster_keys.ROOT + "r/"
BREAKER = PREFIX + "b/"
APPROVAL = PREFIX + "a/"
RECORD = PREFIX + "h/"


def breaker(shard: int) -> str:
    """Returns the key of what a shard's open circuit breaker holds back."""
    return f"{BREAKER}{shard}"


def approval(shard: int) -> str:
    """Returns the key of the operator's approval for a shard."""
    return f"{APPROVAL}{shard}"


def record(shard: int, token: int) -> str:
    """Returns the key of the record of the recovery that began under the token."""
    return f"{RECORD}{shard}/{token}"


class RecordKey(NamedTuple):
    """The parts of a record's key."""

    shard: int
    token: int


def parse_record(key: str) -> RecordKey | None:
    """Returns the parts of a record's key; None for a key that another version wrote."""
    shard, _, token = key[len(RECORD) :].partition("/")
    if not (shard.isdecimal() and token.isdecimal()):
        return None
    return RecordKey(int(shard), int(token))
