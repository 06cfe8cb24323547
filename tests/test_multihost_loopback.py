"""Simulated agents and three controllers that communicate over loopback sockets in real time."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import replace

import curio

from crossmill.multihost.service import MultihostService
from crossmill.net.client import Client, ConnectionFailedError, NoResponseError
from crossmill.net.server import Request, Response, Server
from crossmill.settings import Endpoint
from crossmill.wire.multihost import HEARTBEAT_PATH, PING_PATH

from .fake_clock import FakeClock
from .loopback import free_ports
from .multihost_agents import Agent
from .multihost_region import SETTINGS, MultihostRegion
from .stepped_controller import SteppedController

FAST = replace(SETTINGS, heartbeat_interval_s=0.3)
LOAD_S = 0.5
# the whole test may stall for a while on a busy machine
SLACK_S = 10.0


class RealTime(FakeClock):
    """The clock of the machine that runs the test, instead of virtual time."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the wall-clock time in seconds."""
        return time.time()


class LoopbackRegion(MultihostRegion):
    """A region that sends heartbeats and pings over HTTP; the state service is called directly."""

    def __init__(self) -> None:
        super().__init__(RealTime(), multihost=FAST)
        self.tolerance_s = 0.5
        self._ports = iter(free_ports(40))
        self._clients: dict[Endpoint, Client] = {}

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops of a controller's service, including its server."""
        listen = Endpoint("127.0.0.1", next(self._ports))
        self.multihost = replace(FAST, listen=listen)
        parts = super().extra_loops(node)
        return [*parts, self.services[node.settings.label].server.run]

    async def add_agent(self, machine: str, zone: str) -> Agent:
        """Add a machine whose agent responds to pings on a socket."""
        agent = await super().add_agent(machine, zone)
        endpoint = Endpoint("127.0.0.1", next(self._ports))
        agent.address = f"{endpoint.host}:{endpoint.port}"

        async def respond(request: Request) -> Response:
            is_confirmed = request.path == PING_PATH and agent.confirms_ping(request.body)
            return Response(200 if is_confirmed else 409)

        await curio.spawn(Server(endpoint, respond, 32, 60.0, max_cached_heads=8).run, daemon=True)
        return agent

    async def _post(self, endpoint: Endpoint, path: str, body: bytes) -> tuple[int, bytes] | None:
        client = self._clients.setdefault(endpoint, Client(endpoint, max_sockets=16))
        try:
            return await client.request("POST", path, body, FAST.response_timeout_s)
        except (ConnectionFailedError, NoResponseError):
            return None

    async def deliver_heartbeat(
        self, agent: Agent, label: str, body: bytes
    ) -> tuple[int, bytes] | None:
        """Send a heartbeat over HTTP."""
        service: MultihostService | None = self.services.get(label)
        if service is None or agent.drops_heartbeats or agent.is_dead:
            return None
        return await self._post(service.settings.listen, HEARTBEAT_PATH, body)

    async def deliver_ping(self, source: Agent, address: str, body: bytes) -> bool:
        """Send a ping over HTTP and return whether the response confirms the member."""
        host, _, port = address.rpartition(":")
        target = next(a for a in self.agents.values() if a.address == address)
        if source.is_dead or target.is_dead or target.is_frozen:
            return False
        reply = await self._post(Endpoint(host, int(port)), PING_PATH, body)
        return reply is not None and reply[0] == 200


def test_a_replica_over_sockets_never_serves_incomplete_and_is_repaired() -> None:
    bound_s = FAST.repair_bound_s(LOAD_S, 0.5)

    async def scenario() -> None:
        region = LoopbackRegion()
        await curio.spawn(region.run_checks, daemon=True)
        await region.begin_pool(8)
        await region.declare("chat", members=4, image_gb=LOAD_S)
        await region.until_serving("chat/0", SLACK_S)
        region.agents_of("chat/0")[2].is_dead = True
        await region.wait_until(lambda: not region.serving("chat/0"), FAST.serving_lease_s + 1.0)
        repair_s = await region.until_serving("chat/0", SLACK_S)
        print(f"serving again after {repair_s:.1f} s, bound {bound_s:.1f} s")
        assert region.generation("chat/0") == 2
        # the owner and the front member's machine fail at the same time
        region.agents_of("chat/0")[0].is_dead = True
        await region.kill(region.owner())
        await curio.sleep(FAST.serving_lease_s + 0.5)
        await region.until_serving("chat/0", 2 * SLACK_S)
        assert region.generation("chat/0") == 3
        assert not region.checker.violations, region.checker.violations

    curio.run(scenario)
