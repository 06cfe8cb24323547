"""A stand-in of the agent of multi-machine replicas, by docs/multihost.md."""

import asyncio
import json
import time
from typing import Any

from .http import MISDIRECTED, OK, UNAVAILABLE, Client, NoAnswerError, Server, spawn

BASE = "/multihost/v1"
PORT_OFFSET = 10
# as workers do: the next controller is tried a second later
NEXT_NODE_S = 1.0


class Member:
    """A member that the agent runs."""

    def __init__(self, order: dict[str, Any], loaded_at: float) -> None:
        self.order, self.loaded_at = order, loaded_at
        self.rank, self.generation = order["rank"], order["generation"]
        self.serve_until = 0.0
        self.peer_alive: dict[int, float] = {}

    @property
    def state(self) -> str:
        """Return the state as reported."""
        return "loaded" if time.monotonic() >= self.loaded_at else "loading"


class Agent:
    """One machine of the pool."""

    def __init__(self, world: Any, name: str, zone: str, heartbeat_s: float, load_s: float) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.heartbeat_s, self.load_s = heartbeat_s, load_s
        self.session, self.sequence, self.token = 1, 0, 0
        self.proof: dict[str, Any] | None = None
        self.members: dict[str, Member] = {}
        self.highest: dict[str, int] = {}
        self.images: set[str] = set()
        self.last_ok = time.monotonic()
        self.is_dead = False
        self.node = 0
        self.orders: list[tuple[float, str, str, int]] = []
        self.sessions_lost = 0
        self.server = Server(self._serve)
        self.clients: dict[int, Client] = {}
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to send heartbeats and pings."""
        await self.server.start()
        self._loops = [
            asyncio.ensure_future(loop()) for loop in (self._heartbeats, self._pings, self._lease)
        ]

    def die(self) -> None:
        """End the machine."""
        self.is_dead = True
        self.members.clear()
        for loop in self._loops:
            loop.cancel()
        spawn(self.server.stop())
        self.world.note(f"agent {self.name} dies")

    @property
    def lease_s(self) -> float:
        """Return the time without an answer after which members are stopped."""
        return 10 * self.heartbeat_s

    def serves(self, replica: str) -> int | None:
        """Return the generation in which the front member answers now."""
        member, now = self.members.get(replica), time.monotonic()
        if self.is_dead or member is None or member.rank != 0 or now >= member.serve_until:
            return None
        for peer in member.order["peers"]:
            alive = member.peer_alive.get(peer["rank"])
            if peer["rank"] != 0 and (alive is None or now >= alive + member.order["lease_s"]):
                return None
        return int(member.generation)

    async def _lease(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.last_ok > self.lease_s:
                if self.members:
                    self.sessions_lost += 1
                    self.world.note(
                        f"agent {self.name}: no answer for {self.lease_s:.0f} s, stops "
                        f"{sorted(self.members)}"
                    )
                self.session += 1
                self.members.clear()
                self.proof, self.last_ok = None, time.monotonic()

    async def _serve(self, _method: str, _path: str, body: bytes) -> tuple[int, Any] | None:
        data = json.loads(body)
        member = self.members.get(data["replica"])
        same = (
            member is not None
            and member.rank == data["rank"]
            and member.generation == data["generation"]
            and member.state == "loaded"
        )
        return (200 if same else 409), {}

    async def _pings(self) -> None:
        while True:
            await asyncio.sleep(self.heartbeat_s / 2)
            for name, member in list(self.members.items()):
                if member.rank == 0:
                    for peer in member.order["peers"]:
                        if peer["rank"] != 0:
                            spawn(self._ping(name, member, peer))

    async def _ping(self, name: str, member: Member, peer: dict[str, Any]) -> None:
        sent = time.monotonic()
        client = Client(int(peer["address"].rpartition(":")[2]))
        body = {
            "version": 1,
            "replica": name,
            "rank": peer["rank"],
            "generation": member.generation,
        }
        try:
            status, _, _ = await client.request("POST", BASE + "/ping", body, self.heartbeat_s)
        except NoAnswerError:
            return
        finally:
            client.close()
        if status == OK:
            member.peer_alive[peer["rank"]] = max(sent, member.peer_alive.get(peer["rank"], sent))

    def _report(self) -> dict[str, Any]:
        self.sequence += 1
        members = []
        for name, m in self.members.items():
            lost = (
                [r for r, at in m.peer_alive.items() if time.monotonic() - at > m.order["lease_s"]]
                if m.rank == 0
                else []
            )
            members.append(
                {
                    "replica": name,
                    "rank": m.rank,
                    "generation": m.generation,
                    "state": m.state,
                    "unreachable": lost,
                }
            )
        return {
            "version": 1,
            "machine": self.name,
            "address": f"127.0.0.1:{self.server.port}",
            "offer": {
                "type": "lagoon-48g",
                "zone": self.zone,
                "spot": False,
                "cpus": 48.0,
                "gpus": 8.0,
                "memory_gb": 288.0,
                "fetch_gb_per_s": 1.7,
            },
            "session": self.session,
            "sequence": self.sequence,
            "token": self.token,
            "proof": self.proof,
            "notice_s": None,
            "images": sorted(self.images),
            "members": members,
        }

    async def _heartbeats(self) -> None:
        while True:
            started = time.monotonic()
            wait_s = await self._heartbeat()
            if wait_s is None:
                soon = [m.loaded_at - time.monotonic() for m in self.members.values()]
                wait_s = min(
                    [
                        self.heartbeat_s - (time.monotonic() - started),
                        *(s + 0.01 for s in soon if s > 0),
                    ]
                )
                wait_s = max(wait_s, 0.2)
            await asyncio.sleep(wait_s)

    def _next_node(self) -> float:
        self.node = (self.node + 1) % len(self.world.labels)
        return NEXT_NODE_S

    async def _heartbeat(self) -> float | None:
        node, session, sent = self.node, self.session, time.monotonic()
        port = self.world.controllers[self.world.labels[node]].peer + PORT_OFFSET
        client = self.clients.setdefault(node, Client(port))
        try:
            status, data, _ = await client.request(
                "POST", BASE + "/heartbeat", self._report(), 2 * self.heartbeat_s
            )
        except NoAnswerError:
            return self._next_node()
        if status == MISDIRECTED:
            owner = (data or {}).get("owner")
            if owner in self.world.labels and self.world.labels.index(owner) != node:
                self.node = self.world.labels.index(owner)
                return 0.2
            return self._next_node()
        if status == UNAVAILABLE:
            # this controller owns the pool: it admits the machine, or takes a higher token
            return 0.5
        if status != OK:
            return self._next_node()
        if session == self.session and data["token"] >= self.token:
            self.token, self.proof, self.last_ok = data["token"], data["proof"], sent
            for order in data["orders"]:
                self._execute(order, sent)
        return None

    def _execute(self, order: dict[str, Any], sent: float) -> None:
        name, generation = order["replica"], order["generation"]
        if order["op"] != "serve":
            self.orders.append((time.monotonic(), order["op"], name, generation))
            self.world.note(
                f"order {order['op']} {name} rank {order['rank']} generation "
                f"{generation} to {self.name}"
            )
        running = self.members.get(name)
        if order["op"] == "start":
            # "a start of a lower generation is refused by an agent that knows a higher one"
            if generation < self.highest.get(name, 0):
                return
            if running is not None and running.generation == generation:
                return
            self.highest[name] = generation
            load_s = 0.0 if order["image"] in self.images else self.load_s
            self.images.add(order["image"])
            self.members[name] = Member(order, time.monotonic() + load_s)
        elif order["op"] == "stop" and running is not None and running.generation <= generation:
            del self.members[name]
            self.highest[name] = max(generation, self.highest.get(name, 0))
        elif order["op"] == "serve" and running is not None:
            if running.generation == generation:
                running.serve_until = max(running.serve_until, sent + order["lease_s"])


async def operator(world: Any, method: str, path: str, value: Any = None) -> tuple[int, Any]:
    """Send an operator's request to any controller that answers."""
    for label in world.labels:
        client = Client(world.controllers[label].peer + PORT_OFFSET)
        try:
            status, data, _ = await client.request(method, BASE + path, value, 3.0)
        except NoAnswerError:
            continue
        finally:
            client.close()
        if status not in (MISDIRECTED, UNAVAILABLE):
            return status, data
    return 0, None
