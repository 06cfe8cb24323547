"""Messages to and from the state service."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

MAX_ROWS = 1000


class KeyValue(NamedTuple):
    """A key with its value and version."""

    key: str
    value: Any
    version: int


class Event(NamedTuple):
    """A change of a key."""

    key: str
    value: Any
    version: int
    deleted: bool


@dataclass(slots=True, eq=False)
class Put:
    """A write of a key, attached to a lease if one is given."""

    key: str
    value: Any
    lease: int | None = None


@dataclass(slots=True, eq=False)
class Txn:
    """Changes that are made together if all conditions hold."""

    conditions: dict[str, int] = field(default_factory=dict)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)


def txn_body(txn: Txn) -> bytes:
    """A transaction as it is sent."""
    apply: list[dict[str, Any]] = []
    for put in txn.puts:
        entry: dict[str, Any] = {"write": put.key, "data": put.value}
        if put.lease is not None:
            entry["tenure"] = put.lease
        apply.append(entry)
    apply.extend({"delete": key} for key in txn.deletes)
    when = [{"k": key, "stamp": version} for key, version in txn.conditions.items()]
    return orjson.dumps({"when": when, "apply": apply})


def parse_txn(status: int, data: dict[str, Any]) -> tuple[int, list[str]]:
    """(revision, keys whose condition failed)"""
    return int(data["ledgerRev"]), list(data["failed"]) if status == 409 else []


def list_path(prefix: str, after: str) -> str:
    """The path of a page of keys."""
    cursor = f"&after={after}" if after else ""
    return f"/keys?prefix={prefix}{cursor}&limit={MAX_ROWS}"


def parse_list(data: dict[str, Any]) -> tuple[list[KeyValue], bool, int]:
    """A page of keys, whether there is another, and the revision."""
    rows = [KeyValue(r["k"], r["data"], r["stamp"]) for r in data["rows"]]
    return rows, data["hasNext"] is True, int(data["ledgerRev"])


def key_path(key: str) -> str:
    """The path of one key."""
    return f"/keys/{key}"


def parse_key_value(data: dict[str, Any]) -> KeyValue:
    """One key with its value and version."""
    return KeyValue(data["k"], data["data"], data["stamp"])


def changes_path(prefix: str, after: int, wait_ms: int) -> str:
    """The path of the changes after a revision."""
    return f"/changes?prefix={prefix}&after={after}&holdMs={wait_ms}"


def parse_changes(data: dict[str, Any]) -> tuple[int, list[Event]]:
    """The revision reached, and the changes up to it."""
    events = [
        Event(e["delete"], None, e["stamp"], True)
        if "delete" in e
        else Event(e["write"], e["data"], e["stamp"], False)
        for e in data["log"]
    ]
    return int(data["ledgerRev"]), events


def acquire_lease_body(ttl_s: float) -> bytes:
    """A request for a lease."""
    return orjson.dumps({"ttlMs": int(ttl_s * 1000)})


def parse_acquired_lease(data: dict[str, Any]) -> int:
    """The new lease."""
    return int(data["tenure"])


LEASES_PATH = "/holds"
TXN_PATH = "/txn"


def renew_lease_path(lease: int) -> str:
    """The path that renews a lease."""
    return f"/holds/{lease}/renew"
