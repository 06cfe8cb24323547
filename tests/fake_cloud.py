"""An in-memory cloud as PROTOCOL describes it, called without sockets."""

from collections.abc import Callable
from typing import Any

import orjson

from crossmill.net.client import NoResponseError

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
    """The cloud as PROTOCOL describes it.

    `scripted_faults` holds the faults of the next rental requests, in order: "none" responds that
    there is no capacity, "lose" loses the response.
    """

    def __init__(self) -> None:
        # the rental request of each machine, by machine ID
        self.machines: dict[str, dict[str, Any]] = {}
        # machine IDs by the name of the rental request
        self.machines_by_request: dict[str, list[str]] = {}
        self.scripted_faults: list[str] = []
        # the machines in the response to a listing
        self.listed_machines: list[dict[str, Any]] = []
        self.released: list[str] = []
        # called with each machine's ID when its release is confirmed: nothing runs there afterwards
        self.on_release: Callable[[str], None] = lambda machine: None
        self.is_down = False
        # whether every rental is refused for lack of capacity
        self.is_full = False

    def refresh_listing(self) -> None:
        """List all machines that were rented and not released, as running, from now on."""
        self.listed_machines = [
            {
                "nameId": machine,
                "address": "127.0.0.1:1",
                "frame": data["frame"],
                "yard": data["yard"],
                "loaners": data["loaners"],
                "stage": "running",
                "heldS": 1000.0,
            }
            for machine, data in sorted(self.machines.items())
            if machine not in self.released
        ]

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Respond without delay; raise NoResponseError for the scripted fault "lose"."""
        if self.is_down:
            return 503, b'{"error":"trouble"}'
        data = orjson.loads(body) if body else {}
        if path == "/catalog":
            return 200, orjson.dumps(CATALOG)
        if path == "/hosts/release":
            self.released += data["stones"]
            for machine in data["stones"]:
                self.on_release(machine)
            return 200, b"{}"
        if method == "GET":
            return 200, orjson.dumps({"stones": self.listed_machines, "hasNext": False})
        fault = self.scripted_faults.pop(0) if self.scripted_faults else ""
        if fault == "none" or self.is_full:
            return 503, b'{"error":"no capacity"}'
        name = data["hireSlip"]
        if name not in self.machines_by_request:
            first = len(self.machines)
            self.machines_by_request[name] = [f"n-{first + i:06d}" for i in range(data["number"])]
            self.machines.update((m, data) for m in self.machines_by_request[name])
        if fault == "lose":
            raise NoResponseError(path)
        return 200, orjson.dumps({"stones": self.machines_by_request[name]})
