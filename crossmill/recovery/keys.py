"""Names of recovery's keys in the state service. Versions that do not know them ignore them."""

from ..cluster import keys as cluster_keys

PREFIX = cluster_keys.ROOT + "r/"
BRAKED = PREFIX + "b/"
APPROVAL = PREFIX + "a/"
RECORD = PREFIX + "h/"


def braked(shard: int) -> str:
    """What a shard's brake holds back."""
    return f"{BRAKED}{shard}"


def approval(shard: int) -> str:
    """The operator's approval for a shard."""
    return f"{APPROVAL}{shard}"


def record(shard: int, token: int) -> str:
    """The record of the recovery that began under the token."""
    return f"{RECORD}{shard}/{token}"


def parse_record(key: str) -> tuple[int, int] | None:
    """The shard and the token of a record's key; None for one that another version wrote."""
    shard, _, token = key[len(RECORD) :].partition("/")
    if not (shard.isdecimal() and token.isdecimal()):
        return None
    return int(shard), int(token)
