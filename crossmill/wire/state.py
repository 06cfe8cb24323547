"""Messages to and from the state service (PROTOCOL, "Controller nodes -> state service").

The state service is trusted, so its responses are decoded without validation. A missing field
raises KeyError.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

LEASES_PATH = "/holds"
TXN_PATH = "/txn"
# the maximum number of keys in one page of a list
MAX_KEYS = 1000
# the HTTP status if a condition of a transaction fails
CONFLICT = 409


class KeyValue(NamedTuple):
    """A key with its value and version (GET /keys)."""

    key: str
    value: Any
    version: int


class Event(NamedTuple):
    """A change of a key (GET /changes)."""

    key: str
    value: Any
    version: int
    deleted: bool


class KeyPage(NamedTuple):
    """A page of a list of keys (GET /keys?prefix=)."""

    keys: list[KeyValue]
    has_next: bool
    revision: int


class ChangeBatch(NamedTuple):
    """All changes up to a revision (GET /changes)."""

    revision: int
    events: list[Event]


class TransactionResult(NamedTuple):
    """The result of a transaction: its revision and the keys of failed conditions (POST /txn)."""

    revision: int
    failed_keys: list[str]


@dataclass(slots=True, eq=False)
class Put:
    """A write of a key in a transaction, attached to a lease if one is given (POST /txn)."""

    key: str
    value: Any
    lease: int | None = None


@dataclass(slots=True, eq=False)
class Txn:
    """A compare-and-swap transaction (POST /txn).

    All changes are applied atomically if each key in `conditions` has the given version. Version 0
    means that the key does not exist.
    """

    conditions: dict[str, int] = field(default_factory=dict)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)


def txn_body(txn: Txn) -> bytes:
    """Encode a transaction (POST /txn)."""
    changes = [_put_entry(put) for put in txn.puts]
    changes.extend({"delete": key} for key in txn.deletes)
    conditions = [{"k": key, "stamp": version} for key, version in txn.conditions.items()]
    return orjson.dumps({"when": conditions, "apply": changes})


def _put_entry(put: Put) -> dict[str, Any]:
    entry = {"write": put.key, "data": put.value}
    if put.lease is not None:
        entry["tenure"] = put.lease
    return entry


def parse_txn(status: int, data: dict[str, Any]) -> TransactionResult:
    """Parse the response to a transaction, of status 200 or CONFLICT (POST /txn)."""
    failed_keys = list(data["failed"]) if status == CONFLICT else []
    return TransactionResult(int(data["ledgerRev"]), failed_keys)


def list_path(prefix: str, after: str) -> str:
    """Return the path of the page of keys that follows the key `after`.

    `after` is empty for the first page.
    """
    cursor = f"&after={after}" if after else ""
    return f"/keys?prefix={prefix}{cursor}&limit={MAX_KEYS}"


def parse_list(data: dict[str, Any]) -> KeyPage:
    """Parse a page of keys (GET /keys?prefix=)."""
    keys = [KeyValue(row["k"], row["data"], row["stamp"]) for row in data["rows"]]
    return KeyPage(keys, data["hasNext"] is True, int(data["ledgerRev"]))


def key_path(key: str) -> str:
    """Return the path of a key."""
    return f"/keys/{key}"


def parse_key_value(data: dict[str, Any]) -> KeyValue:
    """Parse a key with its value and version (GET /keys/{key})."""
    return KeyValue(data["k"], data["data"], data["stamp"])


def changes_path(prefix: str, after: int, wait_ms: int) -> str:
    """Return the path of the changes after a revision.

    The state service waits up to `wait_ms` for the first change.
    """
    return f"/changes?prefix={prefix}&after={after}&holdMs={wait_ms}"


def parse_changes(data: dict[str, Any]) -> ChangeBatch:
    """Parse the changes up to a revision (GET /changes)."""
    events = [
        Event(e["delete"], None, e["stamp"], True)
        if "delete" in e
        else Event(e["write"], e["data"], e["stamp"], False)
        for e in data["log"]
    ]
    return ChangeBatch(int(data["ledgerRev"]), events)


def acquire_lease_body(ttl_s: float) -> bytes:
    """Encode a request for a lease with the given time to live (POST /holds)."""
    return orjson.dumps({"ttlMs": int(ttl_s * 1000)})


def parse_acquired_lease(data: dict[str, Any]) -> int:
    """Return the ID of the new lease (POST /holds)."""
    return int(data["tenure"])


def renew_lease_path(lease: int) -> str:
    """Return the path that renews a lease (POST /holds/{id}/renew)."""
    return f"{LEASES_PATH}/{lease}/renew"
