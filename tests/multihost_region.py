"""A small simulated region with multi-machine replicas, under virtual time.

The invariants in tests/multihost_invariants.py are checked throughout the simulation.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import orjson

from crossmill.multihost import keys
from crossmill.multihost.context import ControllerContext
from crossmill.multihost.records import decode_chunk, decode_set
from crossmill.multihost.service import MultihostService
from crossmill.multihost.settings import MultihostSettings
from crossmill.net.server import Request
from crossmill.settings import Endpoint

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_agents import Agent, heartbeat_request
from .multihost_invariants import InvariantViolationError, MultihostInvariantChecker
from .simulated_region import Region
from .simulated_worker import MESSAGE_DELAY_S
from .stepped_controller import SteppedController
from .virtual_time import run_under_virtual_time

CHECK_INTERVAL_S = 0.05
SETTINGS = MultihostSettings(Endpoint("127.0.0.1", 1), 0, 1.0, 0.25)


class UnexpectedResponseError(Exception):
    """A controller has responded to an operator's request with an unexpected status."""

    def __init__(self, status: int, response: Any) -> None:
        super().__init__(f"{status}: {response}")
        self.status = status
        self.response = response


class MultihostRegion(Region):
    """A simulated region whose controllers run the multihost service, with agents."""

    def __init__(
        self, clock: FakeClock, state: StateService | None = None, multihost: Any = SETTINGS
    ) -> None:
        super().__init__(clock, state)
        self.multihost: MultihostSettings = multihost
        self.services: dict[str, MultihostService] = {}
        self.agents: dict[str, Agent] = {}
        self.checker: MultihostInvariantChecker = MultihostInvariantChecker(self)  # type: ignore[assignment]
        # pairs of machines where pings of the first don't reach the second
        self.cut_links: set[tuple[str, str]] = set()
        self.delay_s: Callable[[Agent], float] = lambda _: 0.0
        self.response_delay_s: Callable[[Agent], float] = lambda _: 0.0
        self.ping_response_delay_s = 0.0
        # maximum delay between an event and the check that detects it
        self.tolerance_s = 2 * CHECK_INTERVAL_S
        self._processes = 0

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops of a controller's multihost service."""
        self._processes += 1
        service = MultihostService(
            self.multihost,
            ControllerContext(
                node.settings,
                self.clock,
                node.cluster,
                node.membership,
                node.watcher,
                node.writer,
            ),
            f"process-{self._processes}",
        )
        self.services[node.settings.label] = service
        return [service.coordinator.run]

    async def kill(self, label: str) -> None:
        """Kill a controller's process, including its multihost service."""
        await super().kill(label)
        self.services.pop(label)

    async def begin_pool(self, machines: int, zones: tuple[str, ...] = ("north",)) -> None:
        """Start controllers and agents, and wait until all machines have joined the pool."""
        await self.start_region(machines=0)
        for number in range(machines):
            await self.add_agent(f"h-{number:03d}", zones[number % len(zones)])
        await self.wait_until(lambda: self.pool_size() == machines)

    async def add_agent(self, machine: str, zone: str) -> Agent:
        """Add a machine to the region and start its agent."""
        agent = self.agents[machine] = Agent(self, machine, len(self.agents), zone)
        await curio.spawn(agent.run, daemon=True)
        return agent

    async def revive(self, machine: str) -> Agent:
        """Revive a dead machine with a new agent that keeps only the session number."""
        old = self.agents[machine]
        old.is_dead = True
        agent = self.agents[machine] = Agent(self, machine, old.number, old.zone)
        agent.session = old.session + 1
        await curio.spawn(agent.run, daemon=True)
        return agent

    def check_invariants(self) -> None:
        """Check the rules of the pool's replicas; its agents run no ordinary jobs."""
        self.checker.check()

    def pool_size(self) -> int:
        """Return the number of machines that have joined the pool."""
        return sum(k.startswith(keys.MACHINE) for k in self.state.keys)

    # -- messages --------------------------------------------------------------------

    async def deliver_heartbeat(
        self, agent: Agent, label: str, body: bytes
    ) -> tuple[int, bytes] | None:
        """Deliver a heartbeat to a controller; return the status and body, None if it is lost."""
        service = self.services.get(label)
        is_lost = agent.drops_heartbeats or agent.is_dead
        if service is None or is_lost or self.is_frozen(label):
            return None
        response = await service.handle(heartbeat_request(body))
        return response.status, response.body

    async def deliver_ping(self, source: Agent, address: str, body: bytes) -> bool:
        """Deliver a ping to another machine; return whether the response confirms the member."""
        await curio.sleep(MESSAGE_DELAY_S + self.delay_s(source))
        target = next((a for a in self.agents.values() if a.address == address), None)
        if target is None or target.is_dead or target.is_frozen or source.is_dead:
            return False
        if (source.machine, target.machine) in self.cut_links:
            return False
        is_confirmed = target.confirms_ping(body)
        await curio.sleep(MESSAGE_DELAY_S + self.delay_s(target) + self.ping_response_delay_s)
        return is_confirmed and (target.machine, source.machine) not in self.cut_links

    async def operate(self, method: str, path: str, body: Any = None, label: str = "") -> Any:
        """Send an operator's request; return the status and the decoded body."""
        service = self.services[label or next(iter(self.services))]
        data = b"" if body is None else orjson.dumps(body)
        response = await service.handle(Request(method, "/multihost/v1/" + path, data))
        return response.status, orjson.loads(response.body)

    async def declare(self, name: str, **changes: Any) -> Any:
        """Declare a replica set with four members; `changes` overrides the defaults."""
        data = {
            "members": 4,
            "replicas": 1,
            "cpus": 16.0,
            "gpus": 4.0,
            "memory_gb": 64.0,
            "image": "weights-1",
            "image_gb": 5.0,
        }
        status, response = await self.operate("PUT", f"replica-sets/{name}", data | changes)
        if status not in (200, 201):
            raise UnexpectedResponseError(status, response)
        return response

    # -- observations ----------------------------------------------------------------

    def phase(self, name: str) -> str:
        """Return the stored phase of a replica; empty if it has no record."""
        entry = self.state.keys.get(keys.REPLICA + name)
        return "" if entry is None else str(entry[0]["phase"])

    def generation(self, name: str) -> int:
        """Return the stored generation of a replica; 0 if it has no record."""
        entry = self.state.keys.get(keys.REPLICA + name)
        return 0 if entry is None else int(entry[0]["generation"])

    def serving(self, name: str) -> list[Agent]:
        """Return the agents whose front member of the replica can serve requests now."""
        return [a for a in self.agents.values() if a.serves(name) is not None]

    def agents_of(self, name: str) -> list[Agent]:
        """Return the agents of the replica's members in order of rank, according to the records."""
        members = [
            m
            for key, (value, version, _) in self.state.keys.items()
            if key.startswith(f"{keys.MEMBERS}{name}/")
            for m in decode_chunk(value, version).members
        ]
        return [self.agents[m.machine] for m in sorted(members)]

    def owner(self) -> str:
        """Return the label of the controller that owns the pool."""
        return self.owners()[self.multihost.pool_shard]

    async def until_serving(self, name: str, within_s: float = 60.0) -> float:
        """Wait until exactly one front member serves; return the time it took, in seconds."""
        begun = self.clock.now()
        await self.wait_until(lambda: len(self.serving(name)) == 1, within_s)
        return self.clock.now() - begun

    async def run_checks(self) -> None:
        """Check the invariants periodically."""
        while True:
            self.checker.check()
            await curio.sleep(CHECK_INTERVAL_S)

    def set_record(self, name: str) -> Any:
        """Return a stored replica set."""
        value, version, _ = self.state.keys[keys.replica_set(name)]
        return decode_set(value, version)


def simulate_multihost(
    scenario: Callable[[MultihostRegion], Awaitable[None]], check_invariants: bool = True
) -> MultihostRegion:
    """Run a scenario under virtual time and return its region.

    Raises:
        InvariantViolationError: An invariant was violated, and `check_invariants` is set.
    """
    clock = FakeClock()
    regions: list[MultihostRegion] = []

    async def run() -> None:
        region = MultihostRegion(clock)
        regions.append(region)
        await curio.spawn(region.run_checks, daemon=True)
        await scenario(region)
        region.checker.check()

    run_under_virtual_time(clock, run)
    if check_invariants and regions[0].checker.violations:
        raise InvariantViolationError(regions[0].checker.violations)
    return regions[0]
