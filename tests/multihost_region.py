"""A small region with multi-machine replicas under virtual time, and a judge of what must hold."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import curio
import orjson

from crossmill.multihost import keys
from crossmill.multihost.model import ReplicaId
from crossmill.multihost.records import decode_chunk, decode_replica, decode_set
from crossmill.multihost.service import MultihostService
from crossmill.multihost.settings import MultihostSettings
from crossmill.net.server import Request
from crossmill.settings import Endpoint
from crossmill.wire.multihost import Op, Order

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_agents import Agent, heartbeat_request
from .simulated_region import Region
from .simulated_worker import HOP_S
from .stepped_controller import SteppedController
from .virtual_time import run_under_virtual_time

LOOK_S = 0.05
SETTINGS = MultihostSettings(Endpoint("127.0.0.1", 1), 0, 1.0, 0.25)


@dataclass
class ServingFacts:
    """What the judge knows of a generation of a replica."""

    complete_at: float | None = None
    answers: int = 0


@dataclass
class MultihostInvariantChecker:
    """Looks at agents and records many times a second, and blames what must never happen."""

    region: "MultihostRegion"
    violations: list[str] = field(default_factory=list)
    facts: dict[tuple[str, int], ServingFacts] = field(default_factory=dict)
    # by replica: when it was last seen to serve
    served_at: dict[str, float] = field(default_factory=dict)
    # the longest time that a generation went on answering after a member's death
    latest_answer_s: float = 0.0
    _phases: dict[str, str] = field(default_factory=dict)

    def report_violation(self, what: str) -> None:
        """Something happened that must not."""
        entry = f"{self.region.clock.now():.2f} {what}"
        if len(self.violations) < 20:
            self.violations.append(entry)

    def ordered(self, agent: Agent, order: Order) -> None:
        """An agent has got an order: what it names must have been durable before."""
        replica_id = ReplicaId.parse(order.replica)
        assert replica_id is not None
        row = self.region.state.keys.get(keys.replica(replica_id))
        if order.op is Op.START and (row is None or row[0]["generation"] < order.generation):
            self.report_violation(f"ordered_early {order.replica} generation {order.generation}")

    def check(self) -> None:
        """One look at everything."""
        serving: dict[str, list[tuple[Agent, int]]] = {}
        for agent in self.region.agents.values():
            for name, member in agent.members.items():
                if member.rank == 0 and self.is_complete(name, member.generation):
                    facts = self.facts.setdefault((name, member.generation), ServingFacts())
                    facts.complete_at = self.region.clock.now()
                generation = agent.serves(name)
                if generation is not None:
                    serving.setdefault(name, []).append((agent, generation))
        for name, fronts in serving.items():
            if len(fronts) > 1:
                self.report_violation(f"two_serving {name}: {[(a.machine, g) for a, g in fronts]}")
            for _, generation in fronts:
                self._check_answer(name, generation)
            self.served_at[name] = self.region.clock.now()
        self._check_records()

    def _check_answer(self, name: str, generation: int) -> None:
        now = self.region.clock.now()
        facts = self.facts.setdefault((name, generation), ServingFacts())
        facts.answers += 1
        if facts.complete_at is None:
            self.report_violation(f"incomplete {name}: generation {generation} never was complete")
        elif facts.complete_at < now:
            self.latest_answer_s = max(self.latest_answer_s, now - facts.complete_at)
            lease_s = self.region.multihost.serving_lease_s
            if now - facts.complete_at > lease_s + self.region.tolerance_s:
                late = now - facts.complete_at
                self.report_violation(
                    f"incomplete {name}: generation {generation} answers {late:.2f} s late"
                )

    def is_complete(self, name: str, generation: int) -> bool:
        """Whether every rank runs this generation on some machine that is alive."""
        ranks = {
            agent.members[name].rank
            for agent in self.region.agents.values()
            if agent.runs(name, generation)
        }
        set_name = name.rpartition("/")[0]
        row = self.region.state.keys.get(keys.replica_set(set_name))
        return row is not None and ranks == set(range(row[0]["members"]))

    def _check_records(self) -> None:
        """No machine is promised twice, and no voluntary stop goes below the minimum."""
        ready: dict[str, int] = {}
        changes: list[tuple[str, str, str]] = []
        for key, (value, _, _) in self.region.state.keys.items():
            if key.startswith(keys.REPLICA):
                name = key[len(keys.REPLICA) :]
                set_name = name.rpartition("/")[0]
                ready[set_name] = ready.get(set_name, 0) + (value["phase"] == "ready")
                before = self._phases.get(name, "")
                if before != value["phase"]:
                    changes.append((name, before, value["phase"]))
                self._phases[name] = value["phase"]
        for machine, amounts in self.planned_use().items():
            capacity = self.region.state.keys.get(keys.machine(machine))
            if capacity is not None and any(
                u > c + 1e-9 for u, c in zip(amounts, capacity[0]["capacity"], strict=True)
            ):
                self.report_violation(f"over_committed {machine}: {amounts}")
        for name, before, after in changes:
            set_name = name.rpartition("/")[0]
            row = self.region.state.keys.get(keys.replica_set(set_name))
            if (before, after) != ("ready", "draining") or row is None or row[0]["removed"]:
                continue
            reason = self.region.state.keys[keys.REPLICA + name][0]["reason"]
            if "; " in reason:
                # it had lost a member, which is not voluntary
                continue
            if ready[set_name] < row[0]["min_ready"]:
                self.report_violation(f"below_minimum {name} stopped, {ready[set_name]} ready")

    def planned_use(self) -> dict[str, list[float]]:
        """What the records have planned onto each machine."""
        used: dict[str, list[float]] = {}
        for key, (value, _, _) in self.region.state.keys.items():
            if key.startswith(keys.MEMBERS):
                replica_id, _ = keys.parse_members(key[len(keys.MEMBERS) :])
                self._add_use(used, replica_id, value)
        return used

    def _add_use(self, used: dict[str, list[float]], replica_id: ReplicaId, value: Any) -> None:
        row = self.region.state.keys.get(keys.replica_set(replica_id.set_name))
        if row is None:
            return
        for member in value["members"]:
            amounts = used.setdefault(member[1], [0.0, 0.0, 0.0])
            for i, amount in enumerate(row[0]["resources"]):
                amounts[i] += amount

    def check_end(self) -> None:
        """After all troubles: nothing is reserved or runs that no replica wants."""
        state = self.region.state.keys
        planned: dict[str, set[str]] = {}
        for key, (value, version, _) in state.items():
            if not key.startswith(keys.MEMBERS):
                continue
            replica_id, _ = keys.parse_members(key[len(keys.MEMBERS) :])
            row = state.get(keys.replica(replica_id))
            if row is None:
                self.report_violation(f"leaked {key}: its replica has no record")
                continue
            replica = decode_replica(replica_id, row[0], version)
            chunk = decode_chunk(value, version)
            if replica.phase.value not in ("ready", "starting", "repairing", "reserving"):
                self.report_violation(f"leaked {key}: its replica is {replica.phase}")
            for member in chunk.members:
                planned.setdefault(member.machine, set()).add(str(replica_id))
        for agent in self.region.agents.values():
            extra = set(agent.members) - planned.get(agent.machine, set())
            if extra and not agent.dead and not agent.is_frozen:
                self.report_violation(f"leaked {agent.machine} runs {extra}")


class MultihostRegion(Region):
    """Controllers with the multihost service, and agents."""

    def __init__(
        self, clock: FakeClock, state: StateService | None = None, multihost: Any = SETTINGS
    ) -> None:
        super().__init__(clock, state)
        self.multihost: MultihostSettings = multihost
        self.services: dict[str, MultihostService] = {}
        self.agents: dict[str, Agent] = {}
        self.checker: MultihostInvariantChecker = MultihostInvariantChecker(self)  # type: ignore[assignment]
        # pairs of machines that do not reach one another, the first not the second
        self.parted: set[tuple[str, str]] = set()
        # machines that reach no controller, by label; None: none at all
        self.unheard: dict[str, set[str]] = {}
        self.delay_s: Callable[[Agent], float] = lambda agent: 0.0
        self.answer_delay_s: Callable[[Agent], float] = lambda agent: 0.0
        self.ping_back_s = 0.0
        # how late the judge may see what happens
        self.tolerance_s = 2 * LOOK_S
        self._processes = 0

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        self._processes += 1
        service = MultihostService(
            node.settings,
            self.multihost,
            self.clock,
            node.cluster,
            node.membership,
            node.watcher,
            node.writer,
            f"process-{self._processes}",
        )
        self.services[node.settings.label] = service
        return [service.coordinator.run]

    async def kill(self, label: str) -> None:
        await super().kill(label)
        self.services.pop(label)

    async def begin_pool(self, machines: int, zones: tuple[str, ...] = ("north",)) -> None:
        """Controllers that own their shards, and agents that have joined the pool."""
        await self.begin(machines=0)
        for number in range(machines):
            await self.add_agent(f"h-{number:03d}", zones[number % len(zones)])
        await self.wait_until(lambda: self.pool_size() == machines)

    async def add_agent(self, machine: str, zone: str) -> Agent:
        agent = self.agents[machine] = Agent(self, machine, len(self.agents), zone)
        await curio.spawn(agent.run, daemon=True)
        return agent

    async def revive(self, machine: str) -> Agent:
        """A machine that died is back, with a new agent that knows nothing but its session."""
        old = self.agents[machine]
        old.dead = True
        agent = self.agents[machine] = Agent(self, machine, old.number, old.zone)
        agent.session = old.session + 1
        await curio.spawn(agent.run, daemon=True)
        return agent

    def pool_size(self) -> int:
        return sum(k.startswith(keys.MACHINE) for k in self.state.keys)

    # -- messages --------------------------------------------------------------------

    async def deliver_heartbeat(
        self, agent: Agent, label: str, body: bytes
    ) -> tuple[int, bytes] | None:
        service = self.services.get(label)
        cut = agent.heartbeats_lost or label in self.unheard.get(agent.machine, ())
        if service is None or cut or agent.dead or self.is_frozen(label):
            return None
        response = await service.handle(heartbeat_request(body))
        return response.status, response.body

    async def deliver_ping(self, source: Agent, address: str, body: bytes) -> bool:
        await curio.sleep(HOP_S + self.delay_s(source))
        target = next((a for a in self.agents.values() if a.address == address), None)
        if target is None or target.dead or target.is_frozen or source.dead:
            return False
        if (source.machine, target.machine) in self.parted:
            return False
        answer = target.answer_ping(body)
        await curio.sleep(HOP_S + self.delay_s(target) + self.ping_back_s)
        return answer and (target.machine, source.machine) not in self.parted

    async def operate(self, method: str, path: str, body: Any = None, label: str = "") -> Any:
        """An operator's request; the status and the answer."""
        service = self.services[label or next(iter(self.services))]
        data = b"" if body is None else orjson.dumps(body)
        response = await service.handle(Request(method, "/multihost/v1/" + path, data))
        return response.status, orjson.loads(response.body)

    async def declare(self, name: str, **changes: Any) -> Any:
        data = {
            "members": 4,
            "replicas": 1,
            "cpus": 16.0,
            "gpus": 4.0,
            "memory_gb": 64.0,
            "image": "weights-1",
            "image_gb": 5.0,
        }
        status, answer = await self.operate("PUT", f"replica-sets/{name}", data | changes)
        assert status in (200, 201), answer
        return answer

    # -- what is seen ----------------------------------------------------------------

    def phase(self, name: str) -> str:
        row = self.state.keys.get(keys.REPLICA + name)
        return "" if row is None else str(row[0]["phase"])

    def generation(self, name: str) -> int:
        row = self.state.keys.get(keys.REPLICA + name)
        return 0 if row is None else int(row[0]["generation"])

    def serving(self, name: str) -> list[Agent]:
        return [a for a in self.agents.values() if a.serves(name) is not None]

    def agents_of(self, name: str) -> list[Agent]:
        """The machines of the replica's members by its records, by rank."""
        members = [
            m
            for key, (value, version, _) in self.state.keys.items()
            if key.startswith(f"{keys.MEMBERS}{name}/")
            for m in decode_chunk(value, version).members
        ]
        return [self.agents[m.machine] for m in sorted(members)]

    def owner(self) -> str:
        return self.owners()[self.multihost.pool_shard]

    async def until_serving(self, name: str, within_s: float = 60.0) -> float:
        begun = self.clock.now()
        await self.wait_until(lambda: len(self.serving(name)) == 1, within_s)
        return self.clock.now() - begun

    async def watch(self) -> None:
        while True:
            self.checker.check()
            await curio.sleep(LOOK_S)

    def set_record(self, name: str) -> Any:
        value, version, _ = self.state.keys[keys.replica_set(name)]
        return decode_set(value, version)


def simulate_multihost(
    scenario: Callable[[MultihostRegion], Awaitable[None]], judged: bool = True
) -> MultihostRegion:
    """Plays a story; nothing may be broken in it, unless that is what it is about."""
    clock = FakeClock()
    regions: list[MultihostRegion] = []

    async def play() -> None:
        region = MultihostRegion(clock)
        regions.append(region)
        await curio.spawn(region.watch, daemon=True)
        await scenario(region)
        region.checker.check()

    run_under_virtual_time(clock, play)
    if judged:
        assert not regions[0].checker.violations, regions[0].checker.violations[:5]
    return regions[0]
