"""An in-memory state service as PROTOCOL describes it, called without sockets."""

from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from crossmill.net.client import ConnectionFailedError, NoResponseError
from crossmill.settings import StateLimits

# PROTOCOL: the maximum size of a listing's page, and the number of changes that are kept
PAGE_ITEMS, PAGE_BYTES, KEPT_CHANGES = 1000, 512 * 1024, 10_000


class StateService:
    """The state service as PROTOCOL describes it, in memory.

    Tests may shorten pages and the history of changes, so that a few keys have the effect of
    thousands. `scripted_faults` holds the faults of the next requests by path, in order: "lose"
    executes the request and loses the response, "drop" loses the request, "refuse" fails the
    connection.
    """

    def __init__(self, kept_changes: int = KEPT_CHANGES) -> None:
        self.revision = 0
        # value, version and lease ID by key
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: set[int] = set()
        # revision, key and new value of each kept change; None as value is a deletion
        self.changes: deque[tuple[int, str, Any]] = deque(maxlen=kept_changes)
        self.page_items = PAGE_ITEMS
        # the last revision whose change is no longer kept
        self._compacted_revision = 0
        self.is_down = False
        # method and path of each request
        self.received_requests: list[tuple[str, str]] = []
        self.scripted_faults: dict[str, list[str]] = {}
        # number of keys written or deleted by transactions
        self.applied_change_count = 0
        self.limits = StateLimits(100.0, 60.0, 32 * 1024, 20)
        # number of transactions refused because of their size
        self.oversized_transaction_count = 0

    def end_lease(self, lease: int) -> None:
        """Expire a lease and delete its keys."""
        self.leases.discard(lease)
        for key in [k for k, (_, _, key_lease) in self.keys.items() if key_lease == lease]:
            self.revision += 1
            self._delete(key)

    def _delete(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self._record(key, None)

    def _record(self, key: str, value: Any) -> None:
        if len(self.changes) == self.changes.maxlen:
            self._compacted_revision = self.changes[0][0]
        self.changes.append((self.revision, key, value))

    def delete(self, key: str) -> None:
        """Delete a key, as another client would."""
        self.revision += 1
        self._delete(key)

    def compact(self) -> None:
        """Drop the history of changes; a watch that missed one of them gets the status 410."""
        self._compacted_revision = self.revision
        self.changes.clear()

    def put(self, key: str, value: Any, lease: int | None = None) -> None:
        """Write a key, as another client would."""
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key: str, value: Any, lease: int | None) -> None:
        self.keys[key] = (value, self.revision, lease)
        self._record(key, value)

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Respond without delay; raise a connection error if a scripted fault requires it."""
        parts = urlsplit(path)
        self.received_requests.append((method, parts.path))
        fault = ""
        if self.scripted_faults.get(parts.path):
            fault = self.scripted_faults[parts.path].pop(0)
        if fault == "drop":
            raise NoResponseError(path)
        if fault == "refuse":
            raise ConnectionFailedError(path)
        if self.is_down:
            return 503, b"{}"
        status, response = self._serve(parts.path, parse_qs(parts.query), body)
        if fault == "lose":
            raise NoResponseError(path)
        return status, orjson.dumps(response)

    def _serve(
        self, path: str, query: dict[str, list[str]], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == "/txn":
            return self._commit(orjson.loads(body))
        if path.startswith("/holds"):
            return self._serve_lease(path)
        if path == "/changes":
            return self._list_changes(int(query["after"][0]), query["prefix"][0])
        if path == "/keys":
            return self._page(query["prefix"][0], query.get("after", [""])[0])
        return self._read(path.removeprefix("/keys/"))

    def _serve_lease(self, path: str) -> tuple[int, dict[str, Any]]:
        if path == "/holds":
            lease = len(self.received_requests)
            self.leases.add(lease)
            return 200, {"tenure": lease}
        lease = int(path.split("/")[2])
        return (200 if lease in self.leases else 404), {"tenure": lease}

    def _list_changes(self, after: int, prefix: str) -> tuple[int, dict[str, Any]]:
        if after < self._compacted_revision:
            return 410, {}
        log = [
            {"delete": k, "stamp": r} if v is None else {"write": k, "data": v, "stamp": r}
            for r, k, v in self.changes
            if r > after and k.startswith(prefix)
        ]
        return 200, {"ledgerRev": self.revision, "log": log}

    def _read(self, key: str) -> tuple[int, dict[str, Any]]:
        if key not in self.keys:
            return 404, {"ledgerRev": self.revision}
        value, version, _ = self.keys[key]
        return 200, {"k": key, "data": value, "stamp": version}

    def _page(self, prefix: str, after: str) -> tuple[int, dict[str, Any]]:
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        rows: list[dict[str, Any]] = []
        size = 0
        for name in names[: self.page_items]:
            row = {"k": name, "data": self.keys[name][0], "stamp": self.keys[name][1]}
            size += len(orjson.dumps(row))
            if rows and size > PAGE_BYTES:
                break
            rows.append(row)
        more = len(names) > len(rows)
        return 200, {"rows": rows, "hasNext": more, "ledgerRev": self.revision}

    def _is_too_large(self, data: dict[str, Any]) -> bool:
        values = [orjson.dumps(c["data"]) for c in data["apply"] if "write" in c]
        return (
            len(data["apply"]) > self.limits.txn_ops
            or len(data["when"]) > self.limits.max_conditions
            or any(len(value) > self.limits.value_bytes for value in values)
        )

    def _commit(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for change in data["apply"]:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        if self._is_too_large(data):
            self.oversized_transaction_count += 1
            return 400, {"error": "too large"}
        failed = [
            c["k"] for c in data["when"] if self.keys.get(c["k"], (None, 0, None))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        self.applied_change_count += len(data["apply"])
        self.revision += 1
        for change in data["apply"]:
            if "write" in change:
                self._write(change["write"], change["data"], change.get("tenure"))
            else:
                self._delete(change["delete"])
        return 200, {"ledgerRev": self.revision}
