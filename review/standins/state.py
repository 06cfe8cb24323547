"""A stand-in for the state service, as PROTOCOL describes it, in memory."""

import asyncio
import json
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Any, NamedTuple

from .http import Reply, Request, Server

KEPT_CHANGES = 10_000
MAX_PAGE_ITEMS, MAX_PAGE_BYTES = 1000, 512 * 1024
CONDITIONS_PER_CHANGE = 4
MAX_TXN_BYTES = 64 * 1024
LATENCY_S = 0.004


class Limits(NamedTuple):
    """The limits of the settings file."""

    rps: float = 100.0
    write_rps: float = 25.0
    value_kb: float = 32.0
    txn_ops: int = 20


class _Bucket:
    """A rate with a burst of one second."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._at = time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self._tokens = min(self._rate, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True


class _Entry(NamedTuple):
    value: Any
    stamp: int
    lease: int | None


class _Change(NamedTuple):
    revision: int
    key: str
    value: Any


class StateService:
    """Keys, leases, transactions and watches.

    Attributes:
        is_out: Whether every request gets 503; open watches wait.
        hold_until: The monotonic time before which a client gets no answer, by client: the service
            is slow.
        on_apply: Called with the client and the changes of each transaction as soon as it is
            applied.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        # each client has an address of its own, so that the service can be slow for one of them
        self.servers: dict[str, Server] = {}
        self.keys: dict[str, _Entry] = {}
        self.revision = 0
        self.is_out = False
        self.hold_until: dict[str, float] = {}
        self.on_apply: Callable[[str, dict[str, Any]], None] | None = None
        self._changes: deque[_Change] = deque(maxlen=KEPT_CHANGES)
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Condition()
        self._requests = _Bucket(self.limits.rps)
        self._writes = _Bucket(self.limits.write_rps)

    async def serve(self, client: str) -> str:
        """Serve a client on an address of its own; return the address."""
        self.servers[client] = Server(partial(self._handle, client))
        await self.servers[client].start()
        return self.servers[client].address

    def close(self) -> None:
        """Close all connections."""
        for server in self.servers.values():
            server.close()

    async def run(self) -> None:
        """End leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [lease for lease, (_, until) in self._leases.items() if until < now]
            if ended and not self.is_out:
                for lease in ended:
                    await self._end_lease(lease)

    async def set_out(self, is_out: bool) -> None:
        """Begin or end an outage; after one, every lease has its full time again."""
        self.is_out = is_out
        if not is_out:
            now = time.monotonic()
            self._leases = {n: (ttl, now + ttl) for n, (ttl, _) in self._leases.items()}
            async with self._changed:
                self._changed.notify_all()

    async def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, entry in self.keys.items() if entry.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._set(key, None, None)
            await self._notify()

    def _set(self, key: str, value: Any, lease: int | None) -> None:
        if value is None:
            if self.keys.pop(key, None) is None:
                return
        else:
            self.keys[key] = _Entry(value, self.revision, lease)
        self._changes.append(_Change(self.revision, key, value))

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, client: str, request: Request) -> Reply:
        await asyncio.sleep(LATENCY_S)
        reply = await self._answer(client, request)
        await asyncio.sleep(max(0.0, self.hold_until.get(client, 0.0) - time.monotonic()))
        return reply

    async def _answer(self, client: str, request: Request) -> Reply:
        refusal = self._refusal()
        if refusal is not None:
            return Reply(refusal)
        if request.path.startswith("/holds"):
            return await self._hold(request)
        match request.path:
            case "/keys":
                return self._list(request)
            case "/txn":
                return await self._txn(client, request.body)
            case "/changes":
                return await self._watch(request)
        return self._get(request.path.removeprefix("/keys/"))

    def _refusal(self) -> HTTPStatus | None:
        if self.is_out:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return None if self._requests.take(1) else HTTPStatus.TOO_MANY_REQUESTS

    def _get(self, key: str) -> Reply:
        entry = self.keys.get(key)
        if entry is None:
            return Reply(HTTPStatus.NOT_FOUND, {"ledgerRev": self.revision})
        return Reply(HTTPStatus.OK, self._row(key, entry))

    def _row(self, key: str, entry: _Entry) -> dict[str, Any]:
        row = {"k": key, "data": entry.value, "stamp": entry.stamp}
        return row if entry.lease is None else row | {"tenure": entry.lease}

    def _list(self, request: Request) -> Reply:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        limit = min(MAX_PAGE_ITEMS, int(request.query.get("limit", MAX_PAGE_ITEMS)))
        keys = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            row = self._row(key, self.keys[key])
            size += len(json.dumps(row))
            if len(rows) >= limit or size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        body = {"rows": rows, "hasNext": len(rows) < len(keys), "ledgerRev": self.revision}
        return Reply(HTTPStatus.OK, body)

    async def _txn(self, client: str, body: dict[str, Any]) -> Reply:
        when, apply = body["when"], body["apply"]
        if not self._writes.take(len(apply)):
            return Reply(HTTPStatus.TOO_MANY_REQUESTS)
        if self._is_too_large(body):
            return Reply(HTTPStatus.BAD_REQUEST, {"error": "too large"})
        leases = [op["tenure"] for op in apply if op.get("tenure") is not None]
        if any(lease not in self._leases for lease in leases):
            return Reply(HTTPStatus.BAD_REQUEST, {"error": "no such lease"})
        failed = [c["k"] for c in when if self._stamp(c["k"]) != c["stamp"]]
        if failed:
            body = {"failed": failed, "ledgerRev": self.revision}
            return Reply(HTTPStatus.CONFLICT, body)
        changes: dict[str, Any] = {}
        if apply:
            self.revision += 1
        revision = self.revision
        for op in apply:
            key = op.get("write") or op["delete"]
            changes[key] = op.get("data")
            self._set(key, op.get("data"), op.get("tenure"))
        if self.on_apply is not None:
            self.on_apply(client, changes)
        await self._notify()
        return Reply(HTTPStatus.OK, {"ledgerRev": revision})

    def _stamp(self, key: str) -> int:
        entry = self.keys.get(key)
        return entry.stamp if entry is not None else 0

    def _is_too_large(self, body: dict[str, Any]) -> bool:
        value_bytes = self.limits.value_kb * 1024
        return (
            len(body["apply"]) > self.limits.txn_ops
            or len(body["when"]) > CONDITIONS_PER_CHANGE * self.limits.txn_ops
            or len(json.dumps(body)) > MAX_TXN_BYTES
            or any(len(json.dumps(op.get("data"))) > value_bytes for op in body["apply"])
        )

    async def _watch(self, request: Request) -> Reply:
        prefix, after = request.query["prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query.get("holdMs", "0")) / 1000
        while True:
            if self._changes and self._changes[0].revision > after + 1 and self._is_compacted():
                return Reply(HTTPStatus.GONE)
            log = [
                _event(change)
                for change in self._changes
                if change.revision > after and change.key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if (log or left <= 0) and not self.is_out:
                return Reply(HTTPStatus.OK, {"ledgerRev": self.revision, "log": log})
            async with self._changed:
                try:
                    async with asyncio.timeout(max(left, 0.05)):
                        await self._changed.wait()
                except TimeoutError:
                    pass

    def _is_compacted(self) -> bool:
        return len(self._changes) == KEPT_CHANGES

    async def _hold(self, request: Request) -> Reply:
        parts = request.path.strip("/").split("/")[1:]
        if not parts:
            ttl_s = request.body["ttlMs"] / 1000
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return Reply(HTTPStatus.OK, {"tenure": lease})
        lease = int(parts[0])
        if lease not in self._leases:
            return Reply(HTTPStatus.NOT_FOUND)
        if request.method == "DELETE":
            await self._end_lease(lease)
        else:
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return Reply(HTTPStatus.OK)


def _event(change: _Change) -> dict[str, Any]:
    if change.value is None:
        return {"delete": change.key, "stamp": change.revision}
    return {"write": change.key, "data": change.value, "stamp": change.revision}
