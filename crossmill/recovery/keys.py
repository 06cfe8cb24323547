"""The keys of recovery in the state service, which versions without recovery ignore."""

from typing import NamedTuple

from ..cluster import keys as cluster_keys

PREFIX = cluster_keys.ROOT + "r/"
BREAKER = PREFIX + "b/"
APPROVAL = PREFIX + "a/"
RECORD = PREFIX + "h/"


def breaker(shard: int) -> str:
    """Return the key of the report of a shard's open circuit breaker."""
    return f"{BREAKER}{shard}"


def approval(shard: int) -> str:
    """Return the key of the operator's approval for a shard."""
    return f"{APPROVAL}{shard}"


def record(shard: int, token: int) -> str:
    """Return the key of the record of the recovery that began under the token."""
    return f"{RECORD}{shard}/{token}"


class RecordKey(NamedTuple):
    """The shard and the token in a record's key."""

    shard: int
    token: int


def parse_record(key: str) -> RecordKey | None:
    """Return the parsed key of a record; None for a key that another version wrote."""
    shard, _, token = key[len(RECORD) :].partition("/")
    if not (shard.isdecimal() and token.isdecimal()):
        return None
    return RecordKey(int(shard), int(token))
