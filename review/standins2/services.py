"""Stand-ins of the state service and of the cloud, as PROTOCOL describes them."""

import asyncio
import contextlib
import json
import time
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import Server, spawn

KEPT_CHANGES, PAGE_ITEMS, PAGE_BYTES = 10_000, 1_000, 512 * 1024
MAX_TXN_BYTES = 64 * 1024
MIN_SNAPSHOTS = 2
# longer than any case
NEVER_S = 3600.0


class Bucket:
    """A rate limit with a burst of one or more seconds' worth."""

    def __init__(self, rate: float, seconds: float = 1.0) -> None:
        self.rate, self.burst = rate, rate * seconds
        self.tokens, self.at = self.burst, time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Take the amount if it is there."""
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class StateService:
    """The key-value store; every controller has a port of its own, so that one can be refused."""

    def __init__(self, settings: dict[str, float], latency_s: float = 0.005) -> None:
        self.rps, self.write_rps = Bucket(settings["rps"]), Bucket(settings["write_rps"])
        self.value_bytes = int(settings["value_kb"] * 1024)
        self.txn_ops = int(settings["txn_ops"])
        self.latency_s = latency_s
        self.revision = 0
        # value, version and lease by key
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        # time to live and end by lease
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.log: deque[tuple[int, str, Any]] = deque()
        self.compacted = 0
        self.changed = asyncio.Condition()
        # an outage of all, and the controllers that alone are refused (503) or not answered
        self.is_out = False
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.extra_latency: dict[str, float] = {}
        # by controller: how long the answers to its transactions and to its watch take
        self.answer_delays: dict[str, tuple[float, float]] = {}
        # takes a transaction's body and controller; may return "late:SECONDS", "lose" or None
        self.txn_fault: Any = None
        self.servers: dict[str, Server] = {}
        self.oversized: list[str] = []
        self.refused_rate = 0

    async def start(self, labels: list[str]) -> None:
        """Listen on one port for each controller."""
        for label in labels:
            self.servers[label] = await Server(self._handler(label)).start()
        spawn(self._expire())

    def address(self, label: str) -> str:
        """Return the address that a controller uses."""
        return f"127.0.0.1:{self.servers[label].port}"

    def restore_leases(self) -> None:
        """Give every lease its full time again, as after an outage."""
        now = time.monotonic()
        for lease in self.leases.values():
            lease[1] = now + lease[0]

    async def outage(self, for_s: float) -> None:
        """Refuse everybody for a time."""
        self.is_out = True
        await asyncio.sleep(for_s)
        self.is_out = False
        self.restore_leases()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.is_out:
                continue
            for lease in [i for i, (_, end) in self.leases.items() if now > end]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        gone = [k for k, (_, _, owner) in self.keys.items() if owner == lease]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self._record(key, None)
            await self._notify()

    def _record(self, key: str, value: Any) -> None:
        self.log.append((self.revision, key, value))
        while len(self.log) > KEPT_CHANGES:
            self.compacted = self.log.popleft()[0]

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def _handler(self, label: str) -> Any:
        async def handle(method: str, path: str, body: bytes) -> tuple[int, Any] | None:
            await asyncio.sleep(self.latency_s + self.extra_latency.get(label, 0.0))
            await self._hold(label)
            if self.is_out or label in self.refused:
                return 503, {"error": "trouble"}
            if not self.rps.take():
                self.refused_rate += 1
                return 429, {"error": "rate"}
            answer = await self._route(label, method, path, body)
            txn_s, watch_s = self.answer_delays.get(label, (0.0, 0.0))
            if path == "/txn":
                await asyncio.sleep(txn_s)
            elif path.startswith("/changes") and "holdMs=0" not in path:
                await asyncio.sleep(watch_s)
            await self._hold(label)
            return answer  # type: ignore[no-any-return]

        return handle

    async def _hold(self, label: str) -> None:
        """Never answer a controller that is cut off."""
        if label in self.silent:
            await asyncio.sleep(NEVER_S)

    async def _route(self, label: str, method: str, path: str, body: bytes) -> Any:
        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if method == "GET" and parts.path == "/keys":
            return self._list(query)
        if method == "GET" and parts.path.startswith("/keys/"):
            return self._get(parts.path[len("/keys/") :])
        if method == "GET" and parts.path == "/changes":
            return await self._changes(label, query)
        if method == "POST" and parts.path == "/txn":
            return await self._txn_or_fault(label, body)
        if parts.path.startswith("/holds"):
            return await self._holds(method, parts.path, body)
        return 400, {"error": "no such request"}

    def _get(self, key: str) -> Any:
        if key not in self.keys:
            return 404, {"ledgerRev": self.revision}
        value, version, lease = self.keys[key]
        return 200, {"k": key, "data": value, "stamp": version, "tenure": lease}

    def _list(self, query: dict[str, str]) -> Any:
        rows, size, more = [], 0, False
        limit = min(int(query.get("limit", PAGE_ITEMS)), PAGE_ITEMS)
        for key in sorted(k for k in self.keys if k.startswith(query.get("prefix", ""))):
            if key <= query.get("after", ""):
                continue
            value, version, _ = self.keys[key]
            size += len(json.dumps(value)) + len(key) + 40
            if len(rows) >= limit or size > PAGE_BYTES:
                more = True
                break
            rows.append({"k": key, "data": value, "stamp": version})
        return 200, {"rows": rows, "hasNext": more, "ledgerRev": self.revision}

    async def _changes(self, label: str, query: dict[str, str]) -> Any:
        after, prefix = int(query["after"]), query.get("prefix", "")
        until = time.monotonic() + min(int(query.get("holdMs", 0)), 60_000) / 1000
        while True:
            if after < self.compacted:
                return 410, {"error": "compacted"}
            if not (self.is_out or label in self.refused):
                log = [e for e in self._since(after) if e[1].startswith(prefix)]
                left = until - time.monotonic()
                if log or left <= 0:
                    entries = [
                        {"delete": k, "stamp": r}
                        if v is None
                        else {"write": k, "data": v, "stamp": r}
                        for r, k, v in log
                    ]
                    return 200, {"ledgerRev": self.revision, "log": entries}
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), 0.25)

    def _since(self, after: int) -> list[tuple[int, str, Any]]:
        found = []
        for entry in reversed(self.log):
            if entry[0] <= after:
                break
            found.append(entry)
        return found[::-1]

    async def _txn_or_fault(self, label: str, body: bytes) -> Any:
        fault = self.txn_fault(label, body) if self.txn_fault is not None else None
        if fault is None:
            return await self._txn(body)
        if fault == "lose":
            await self._txn(body)
        else:
            spawn(self._late_txn(float(fault.partition(":")[2]), body))
        await asyncio.sleep(NEVER_S)
        return None

    async def _late_txn(self, delay_s: float, body: bytes) -> None:
        await asyncio.sleep(delay_s)
        if not self.is_out:
            await self._txn(body)

    async def _txn(self, body: bytes) -> Any:
        data = json.loads(body)
        when, apply = data.get("when", []), data.get("apply", [])
        too_large = (
            len(apply) > self.txn_ops
            or len(when) > 4 * self.txn_ops
            or len(body) > MAX_TXN_BYTES
            or any(
                len(json.dumps(e["data"], separators=(",", ":"))) > self.value_bytes
                for e in apply
                if "write" in e
            )
        )
        if too_large:
            self.oversized.append(
                f"{len(body)} bytes, {len(apply)} changes, {len(when)} conditions"
            )
            return 400, {"error": "too large"}
        if not self.write_rps.take(len(apply)):
            self.refused_rate += 1
            return 429, {"error": "rate"}
        for entry in apply:
            if entry.get("tenure") is not None and entry["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in when if self._version(c["k"]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if apply:
            self.revision += 1
        for entry in apply:
            if "write" in entry:
                self.keys[entry["write"]] = (entry["data"], self.revision, entry.get("tenure"))
                self._record(entry["write"], entry["data"])
            elif self.keys.pop(entry["delete"], None) is not None:
                self._record(entry["delete"], None)
        await self._notify()
        return 200, {"ledgerRev": self.revision}

    def _version(self, key: str) -> int:
        return self.keys[key][1] if key in self.keys else 0

    async def _holds(self, method: str, path: str, body: bytes) -> Any:
        parts = path.strip("/").split("/")
        if method == "POST" and len(parts) == 1:
            ttl_s = json.loads(body)["ttlMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
            return 200, {"tenure": lease}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            await self._end_lease(lease)
            return 200, {}
        self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {}


class Cloud:
    """Rents machines; `on_machine` is called with each machine when it is up."""

    def __init__(self, frames: list[dict[str, Any]], rps: float, lag_s: float, world: Any) -> None:
        self.frames = {f["sku"]: f for f in frames}
        self.bucket = Bucket(rps, 2.0)
        self.lag_s, self.world = lag_s, world
        self.slips: dict[str, list[str]] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        # machines of a type, zone and kind; missing: no limit
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self.is_out = False
        self.number = 0
        self.releases: list[tuple[float, str]] = []
        # snapshots of the list with their times
        self.snapshots: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self.server = Server(self._handle)

    async def start(self) -> None:
        """Begin to serve."""
        await self.server.start()
        spawn(self._snapshot())

    async def _snapshot(self) -> None:
        while True:
            now = time.monotonic()
            rows = [
                {
                    "nameId": m,
                    "address": d["address"],
                    "frame": d["frame"],
                    "yard": d["yard"],
                    "loaners": d["loaners"],
                    "stage": d["stage"],
                    "heldS": now - d["at"],
                }
                for m, d in sorted(self.machines.items())
            ]
            self.snapshots.append((now, rows))
            while len(self.snapshots) > MIN_SNAPSHOTS and self.snapshots[1][0] < now - self.lag_s:
                self.snapshots.popleft()
            await asyncio.sleep(0.25)

    async def _handle(self, method: str, path: str, body: bytes) -> Any:
        await asyncio.sleep(0.02)
        if not self.bucket.take():
            return 429, {"error": "rate"}
        if self.is_out:
            return 503, {"error": "trouble"}
        parts = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/catalog":
            return 200, {"frames": list(self.frames.values())}
        if parts.path == "/hosts" and method == "GET":
            rows = [r for r in self.snapshots[0][1] if r["nameId"] > query.get("after", "")]
            limit = int(query.get("limit", 500))
            return 200, {"stones": rows[:limit], "hasNext": len(rows) > limit}
        if parts.path == "/hosts":
            return self._rent(json.loads(body))
        for machine in json.loads(body)["stones"]:
            if self.machines.pop(machine, None) is not None:
                self.releases.append((time.monotonic(), machine))
                self.world.machine_gone(machine)
        return 200, {}

    def _rent(self, data: dict[str, Any]) -> Any:
        if data["hireSlip"] in self.slips:
            return 200, {"stones": self.slips[data["hireSlip"]]}
        source = (data["frame"], data["yard"], data["loaners"])
        number = min(data["number"], 50)
        if source in self.capacity:
            held = sum(
                (m["frame"], m["yard"], m["loaners"]) == source for m in self.machines.values()
            )
            number = min(number, self.capacity[source] - held)
        if number <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(number):
            self.number += 1
            name = f"n-{self.number:06d}"
            names.append(name)
            self.machines[name] = {
                "frame": data["frame"],
                "yard": data["yard"],
                "loaners": data["loaners"],
                "at": time.monotonic(),
                "stage": "starting",
                "address": "127.0.0.1:9",
            }
            spawn(self._boot(name))
        self.slips[data["hireSlip"]] = names
        return 200, {"stones": names}

    async def _boot(self, name: str) -> None:
        data = self.machines[name]
        await asyncio.sleep(self.frames[data["frame"]]["bootS"])
        if name in self.machines:
            data["address"] = await self.world.machine_up(name, data, self.frames[data["frame"]])
            data["stage"] = "running"
