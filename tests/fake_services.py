"""Stand-ins written from the published protocol: a state service and a cloud that are called
without sockets, a clock that is held, and short hands for settings and jobs.
"""

from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from crossmill.net.client import ConnectionFailedError, NoResponseError
from crossmill.net.clock import Clock
from crossmill.settings import Settings, StateLimits, parse
from crossmill.wire.users import JobSpec, parse_spec


class FakeClock(Clock):
    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time + 1e9


# the machines of most stories stand in node-0's zone, where it is the only controller
ZONES = {"node-0": "north", "node-1": "south", "node-2": "south"}


def settings_table(label: str = "node-0", **changes: Any) -> dict[str, Any]:
    labels = [f"node-{i}" for i in range(3)]
    table: dict[str, Any] = {
        "label": label,
        "site": ZONES.get(label, "north"),
        "bind": "127.0.0.1:8080",
        "peer_listen": "127.0.0.1:8081",
        "members": [
            {"label": x, "site": ZONES[x], "endpoint": f"127.0.0.1:{9000 + i}"}
            for i, x in enumerate(labels)
            if x != label
        ],
        "external": {"cloud": "127.0.0.1:8443", "state": "127.0.0.1:2379"},
        "settings": {
            "zones": ["north", "south"],
            "teams": [
                {"name": "red", "cpus": 0, "cpus_max": 0, "gpus": 4, "gpus_max": 16},
                {"name": "blue", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0},
                {"name": "green", "cpus": 0, "cpus_max": 0, "gpus": 0, "gpus_max": 0},
            ],
            "objectives": [
                {"kind": "wait", "class": "chat", "within_s": 20.0, "share": 0.9},
                {"kind": "guarantee", "within_s": 5.0, "share": 0.9},
            ],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 30.0},
            "state": {
                "rps": 100.0,
                "write_rps": 60.0,
                "value_kb": 32.0,
                "txn_ops": 20,
                "next": {"write_rps": 40.0, "value_kb": 2.0, "txn_ops": 6},
            },
            "cloud": {"rps": 4.0, "list_lag_s": 4.0},
            "resources": {"cores": 0.3, "ram_mb": 100.0, "fd_limit": 500},
        },
    }
    table.update(changes)
    return table


def make_settings(label: str = "node-0") -> Settings:
    return parse(settings_table(label))


def submission(**changes: Any) -> dict[str, Any]:
    data: dict[str, Any] = {
        "nameId": "wk-000001",
        "grist": "chat",
        "crew": "red",
        "cut": "array",
        "precedence": "standard",
        "sacks": 2,
        "cpus": 4.0,
        "cards": 1.0,
        "ramGb": 16.0,
        "recipe": "img-1",
        "pullGb": 10.0,
        "frames": None,
        "yard": None,
        "oneZone": False,
        "spread": False,
        "loaners": False,
        "grindS": 40.0,
        "baggingS": 0.0,
        "sealS": 0.0,
        "dueS": 100.0,
    }
    data.update(changes)
    return data


def make_spec(**changes: Any) -> JobSpec:
    return parse_spec(submission(**changes))


# PROTOCOL: what a list's answer holds at most, and how many changes are kept
PAGE_ITEMS, PAGE_BYTES, KEPT_CHANGES = 1000, 512 * 1024, 10_000


class StateService:
    """The state service as PROTOCOL describes it, kept in memory. Tests may make pages and the
    history of changes shorter, so that few keys do what thousands do in production.
    """

    def __init__(self, kept_changes: int = KEPT_CHANGES) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: set[int] = set()
        self.changes: deque[tuple[int, str, Any]] = deque(maxlen=kept_changes)
        self.page_items = PAGE_ITEMS
        # the revision up to which changes are no longer kept
        self._compacted = 0
        self.down = False
        self.calls: list[tuple[str, str]] = []
        # what is done to the next calls of a path: "lose" executes but gives no answer,
        # "drop" does neither
        self.script: dict[str, list[str]] = {}
        self.puts = 0
        self.limits = StateLimits(100.0, 60.0, 32 * 1024, 20)
        # transactions refused for their size
        self.too_large = 0

    def end_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        for key in [k for k, (_, _, held) in self.keys.items() if held == lease]:
            self.revision += 1
            self._delete(key)

    def _delete(self, key: str) -> None:
        if self.keys.pop(key, None) is not None:
            self._record(key, None)

    def _record(self, key: str, value: Any) -> None:
        if len(self.changes) == self.changes.maxlen:
            self._compacted = self.changes[0][0]
        self.changes.append((self.revision, key, value))

    def delete(self, key: str) -> None:
        """Another client deletes the key."""
        self.revision += 1
        self._delete(key)

    def compact(self) -> None:
        """All changes so far are no longer kept: a watch that missed one is answered 410."""
        self._compacted = self.revision
        self.changes.clear()

    def put(self, key: str, value: Any, lease: int | None = None) -> None:
        self.revision += 1
        self._write(key, value, lease)

    def _write(self, key: str, value: Any, lease: int | None) -> None:
        self.keys[key] = (value, self.revision, lease)
        self._record(key, value)

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        parts = urlsplit(path)
        self.calls.append((method, parts.path))
        action = ""
        if self.script.get(parts.path):
            action = self.script[parts.path].pop(0)
        if action == "drop":
            raise NoResponseError(path)
        if action == "refuse":
            raise ConnectionFailedError(path)
        if self.down:
            return 503, b"{}"
        status, answer = self._serve(method, parts.path, parse_qs(parts.query), body)
        if action == "lose":
            raise NoResponseError(path)
        return status, orjson.dumps(answer)

    def _serve(
        self, method: str, path: str, query: dict[str, list[str]], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        data = orjson.loads(body) if body else {}
        if path == "/txn":
            return self._txn(data)
        if path == "/holds":
            lease = len(self.calls)
            self.leases.add(lease)
            return 200, {"tenure": lease}
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            return (200 if lease in self.leases else 404), {"tenure": lease}
        if path == "/changes":
            after, prefix = int(query["after"][0]), query["prefix"][0]
            if after < self._compacted:
                return 410, {}
            log = [
                {"delete": k, "stamp": r} if v is None else {"write": k, "data": v, "stamp": r}
                for r, k, v in self.changes
                if r > after and k.startswith(prefix)
            ]
            return 200, {"ledgerRev": self.revision, "log": log}
        if path == "/keys":
            return self._page(query["prefix"][0], query.get("after", [""])[0])
        key = path.removeprefix("/keys/")
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
            or len(data["when"]) > self.limits.conditions
            or any(len(value) > self.limits.value_bytes for value in values)
        )

    def _txn(self, data: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for change in data["apply"]:
            if change.get("tenure") is not None and change["tenure"] not in self.leases:
                return 400, {"error": "no such lease"}
        if self._is_too_large(data):
            self.too_large += 1
            return 400, {"error": "too large"}
        failed = [
            c["k"] for c in data["when"] if self.keys.get(c["k"], (None, 0, None))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        self.puts += len(data["apply"])
        self.revision += 1
        for change in data["apply"]:
            if "write" in change:
                self._write(change["write"], change["data"], change.get("tenure"))
            else:
                self._delete(change["delete"])
        return 200, {"ledgerRev": self.revision}


CATALOG = {
    "frames": [
        {
            "sku": "g4",
            "cpus": 32,
            "cards": 4,
            "ramGb": 256,
            "cacheGb": 200,
            "fetchGbPerS": 1.0,
            "rate": 12.0,
            "spotPrice": 4.0,
            "bootS": 30,
            "yards": ["north", "south"],
        },
        {
            "sku": "c16",
            "cpus": 16,
            "ramGb": 64,
            "cacheGb": 50,
            "fetchGbPerS": 0.5,
            "rate": 1.0,
            "spotPrice": 0.4,
            "bootS": 20,
            "yards": ["north"],
        },
    ]
}


class CloudService:
    """The cloud as PROTOCOL describes it; `script` holds what the next rentals get."""

    def __init__(self) -> None:
        self.machines: dict[str, dict[str, Any]] = {}
        self.requests: dict[str, list[str]] = {}
        self.script: list[str] = []
        self.listed: list[dict[str, Any]] = []
        self.released: list[str] = []
        self.down = False

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        if self.down:
            return 503, b'{"error":"trouble"}'
        data = orjson.loads(body) if body else {}
        if path == "/catalog":
            return 200, orjson.dumps(CATALOG)
        if path == "/hosts/release":
            self.released += data["stones"]
            return 200, b"{}"
        if method == "GET":
            return 200, orjson.dumps({"stones": self.listed, "hasNext": False})
        action = self.script.pop(0) if self.script else ""
        if action == "none":
            return 503, b'{"error":"no capacity"}'
        name = data["hireSlip"]
        if name not in self.requests:
            first = len(self.machines)
            self.requests[name] = [f"n-{first + i:06d}" for i in range(data["number"])]
            self.machines.update((m, data) for m in self.requests[name])
        if action == "lose":
            raise NoResponseError(path)
        return 200, orjson.dumps({"stones": self.requests[name]})


def beat(machine: str, session: int, seq: int, token: int, *tasks: dict[str, Any]) -> bytes:
    return orjson.dumps(
        {
            "stone": machine,
            "address": "127.0.0.1:9000",
            "frame": "g4",
            "yard": "north",
            "loaners": False,
            "shift": session,
            "tally": seq,
            "warrant": token,
            "recallS": None,
            "sacks": list(tasks),
        }
    )


def on(job: str, index: int, attempt: int, state: str, cause: str = "") -> dict[str, Any]:
    task: dict[str, Any] = {"sack": f"{job}/{index}", "turn": attempt, "stage": state}
    if cause:
        task["cause"] = cause
    return task
