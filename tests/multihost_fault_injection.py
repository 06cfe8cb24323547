"""MultihostFaults drawn by lot for regions with multi-machine replicas. A seed gives the same story
everywhere.
"""

from random import Random

import curio

from .multihost_region import SETTINGS, MultihostRegion

ZONES = ("north", "south")


class MultihostFaults:
    """Draws troubles, a few at a time, each of which ends by itself or is mended at the end."""

    def __init__(self, region: MultihostRegion, seed: int) -> None:
        self.region = region
        self.random = Random(seed)
        region.delay_s = lambda agent: self._delay_s()

    def _delay_s(self) -> float:
        """Messages are now and then slow."""
        return self.random.uniform(0.0, 1.5) if self.random.random() < 0.05 else 0.0

    async def begin(self) -> None:
        """A pool in two zones, and sets of several sizes that do not all fit when machines fail."""
        draw = self.random
        await self.region.begin_pool(draw.randint(12, 18), ZONES)
        budget = {"restart_budget": 1000, "restart_window_s": 60.0}
        await self.region.declare("chat", members=draw.randint(2, 4), min_ready=1, **budget)
        await self.region.declare(
            "large",
            members=draw.randint(3, 5),
            priority=draw.randint(0, 2),
            image="weights-2",
            image_gb=draw.uniform(0.0, 8.0),
            hold_s=draw.uniform(5.0, 20.0),
            **budget,
        )
        await self.region.declare(
            "pair",
            members=2,
            replicas=2,
            gpus=2.0,
            cpus=8.0,
            image="weights-3",
            image_gb=1.0,
            **budget,
        )

    async def run(self, span_s: float) -> None:
        """MultihostFaults for so long."""
        end = self.region.clock.now() + span_s
        while self.region.clock.now() < end:
            await self._one()
            await curio.sleep(self.random.uniform(0.0, 6.0))

    async def _one(self) -> None:
        kinds = (
            self._machine_dies,
            self._machine_dies,
            self._agent_restarts,
            self._machine_hangs,
            self._one_way_cut,
            self._machines_parted,
            self._zone_cut,
            self._owner_ends,
            self._state_outage,
            self._drain,
            self._late_copies,
        )
        await self.random.choice(kinds)()

    def _machine(self) -> str:
        return self.random.choice(sorted(self.region.agents))

    async def _later(self, least_s: float, most_s: float) -> None:
        await curio.sleep(self.random.uniform(least_s, most_s))

    async def _machine_dies(self) -> None:
        machine = self._machine()
        self.region.agents[machine].dead = True

        async def back() -> None:
            await self._later(2.0, 40.0)
            if self.region.agents[machine].dead:
                await self.region.revive(machine)

        await curio.spawn(back, daemon=True)

    async def _agent_restarts(self) -> None:
        self.region.agents[self._machine()].restart()

    async def _machine_hangs(self) -> None:
        agent = self.region.agents[self._machine()]
        agent.is_frozen = True

        async def back() -> None:
            await self._later(0.5, 15.0)
            agent.is_frozen = False

        await curio.spawn(back, daemon=True)

    async def _one_way_cut(self) -> None:
        agent = self.region.agents[self._machine()]
        if self.random.random() < 0.5:
            agent.heartbeats_lost = True
        else:
            agent.inbound_lost = True

        async def back() -> None:
            await self._later(1.0, 20.0)
            agent.heartbeats_lost = agent.inbound_lost = False

        await curio.spawn(back, daemon=True)

    async def _machines_parted(self) -> None:
        pair = (self._machine(), self._machine())
        self.region.parted.add(pair)

        async def back() -> None:
            await self._later(1.0, 20.0)
            self.region.parted.discard(pair)

        await curio.spawn(back, daemon=True)

    async def _zone_cut(self) -> None:
        """No machine of a zone reaches a controller; they reach one another."""
        if self.random.random() < 0.6:
            return
        zone = self.random.choice(ZONES)
        for agent in self.region.agents.values():
            if agent.zone == zone:
                agent.heartbeats_lost = True

        async def back() -> None:
            await self._later(2.0, 25.0)
            for agent in self.region.agents.values():
                if agent.zone == zone:
                    agent.heartbeats_lost = False

        await curio.spawn(back, daemon=True)

    async def _owner_ends(self) -> None:
        owner = self.region.owners().get(SETTINGS.pool_shard)
        if owner in self.region.nodes:
            await self.region.restart(owner, self.random.uniform(0.1, 6.0))

    async def _state_outage(self) -> None:
        self.region.state.down = True

        async def back() -> None:
            await self._later(0.5, 12.0)
            self.region.state.down = False

        await curio.spawn(back, daemon=True)

    async def _drain(self) -> None:
        machine = self._machine()
        await self.region.operate("POST", f"machines/{machine}/drain")

        async def back() -> None:
            await self._later(5.0, 30.0)
            while (await self.region.operate("POST", f"machines/{machine}/undrain"))[0] == 503:
                await curio.sleep(1.0)

        await curio.spawn(back, daemon=True)

    async def _late_copies(self) -> None:
        """Copies of old heartbeats reach every controller."""
        for agent in self.random.sample(
            sorted(self.region.agents.values(), key=lambda a: a.number), k=2
        ):
            for body in self.random.sample(
                agent.sent_heartbeats, k=min(3, len(agent.sent_heartbeats))
            ):
                for label in list(self.region.services):
                    await self.region.deliver_heartbeat(agent, label, body)

    async def mend(self) -> None:
        """All troubles are over, and machines that died are back."""
        await curio.sleep(45.0)
        region = self.region
        region.state.down = False
        region.delay_s = lambda agent: 0.0
        region.parted.clear()
        for machine, agent in list(region.agents.items()):
            agent.is_frozen = agent.heartbeats_lost = agent.inbound_lost = False
            if agent.dead:
                await region.revive(machine)
