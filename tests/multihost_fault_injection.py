"""Random fault injection for regions with multi-machine replicas.

The same seed gives the same faults on every host and in every run.
"""

from random import Random

import curio

from crossmill.multihost.heartbeats import STATUS_UNAVAILABLE

from .multihost_region import SETTINGS, MultihostRegion

ZONES = ("north", "south")
SLOW_MESSAGE_PROBABILITY = 0.05
# probability that a one-way cut loses the heartbeats and not the responses
LOST_HEARTBEATS_PROBABILITY = 0.5
# probability that `cut_zone` does nothing: zone cuts affect many machines, so they are made rarer
NO_ZONE_CUT_PROBABILITY = 0.6


class MultihostFaults:
    """Injects random faults; `end_all_faults` ends those that have not ended by themselves."""

    def __init__(self, region: MultihostRegion, seed: int) -> None:
        self.region = region
        self.random = Random(seed)
        region.delay_s = lambda _: self._delay_s()

    def _delay_s(self) -> float:
        """Return the delay of a message; a few messages are slow."""
        return (
            self.random.uniform(0.0, 1.5)
            if self.random.random() < SLOW_MESSAGE_PROBABILITY
            else 0.0
        )

    async def begin(self) -> None:
        """Set up a pool in two zones, and sets that don't all fit when machines fail."""
        rng = self.random
        await self.region.begin_pool(rng.randint(12, 18), ZONES)
        budget = {"restart_budget": 1000, "restart_window_s": 60.0}
        await self.region.declare("chat", members=rng.randint(2, 4), min_ready=1, **budget)
        await self.region.declare(
            "large",
            members=rng.randint(3, 5),
            priority=rng.randint(0, 2),
            image="weights-2",
            image_gb=rng.uniform(0.0, 8.0),
            hold_s=rng.uniform(5.0, 20.0),
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
        """Inject faults for the given time."""
        end = self.region.clock.now() + span_s
        while self.region.clock.now() < end:
            await self._inject_one()
            await curio.sleep(self.random.uniform(0.0, 6.0))

    async def _inject_one(self) -> None:
        faults = (
            self.crash_machine,
            self.crash_machine,
            self.restart_agent,
            self.freeze_machine,
            self.cut_machine_one_way,
            self.cut_link,
            self.cut_zone,
            self.restart_owner,
            self.stop_state_service,
            self.drain_machine,
            self.redeliver_heartbeats,
        )
        await self.random.choice(faults)()

    def _random_machine(self) -> str:
        return self.random.choice(sorted(self.region.agents))

    async def _sleep_between(self, least_s: float, most_s: float) -> None:
        await curio.sleep(self.random.uniform(least_s, most_s))

    async def crash_machine(self) -> None:
        """Crash a machine and revive it after a while."""
        machine = self._random_machine()
        self.region.agents[machine].is_dead = True

        async def recover() -> None:
            await self._sleep_between(2.0, 40.0)
            if self.region.agents[machine].is_dead:
                await self.region.revive(machine)

        await curio.spawn(recover, daemon=True)

    async def restart_agent(self) -> None:
        """Restart an agent, which loses its members."""
        self.region.agents[self._random_machine()].restart()

    async def freeze_machine(self) -> None:
        """Freeze a machine for a while."""
        agent = self.region.agents[self._random_machine()]
        agent.is_frozen = True

        async def recover() -> None:
            await self._sleep_between(0.5, 15.0)
            agent.is_frozen = False

        await curio.spawn(recover, daemon=True)

    async def cut_machine_one_way(self) -> None:
        """Lose the heartbeats of a machine, or the responses to it, for a while."""
        agent = self.region.agents[self._random_machine()]
        if self.random.random() < LOST_HEARTBEATS_PROBABILITY:
            agent.drops_heartbeats = True
        else:
            agent.drops_responses = True

        async def recover() -> None:
            await self._sleep_between(1.0, 20.0)
            agent.drops_heartbeats = agent.drops_responses = False

        await curio.spawn(recover, daemon=True)

    async def cut_link(self) -> None:
        """Cut one machine off from another, in one direction, for a while."""
        pair = (self._random_machine(), self._random_machine())
        self.region.cut_links.add(pair)

        async def recover() -> None:
            await self._sleep_between(1.0, 20.0)
            self.region.cut_links.discard(pair)

        await curio.spawn(recover, daemon=True)

    async def cut_zone(self) -> None:
        """Lose the heartbeats of all machines in a zone, but not the pings between them."""
        if self.random.random() < NO_ZONE_CUT_PROBABILITY:
            return
        zone = self.random.choice(ZONES)
        for agent in self.region.agents.values():
            if agent.zone == zone:
                agent.drops_heartbeats = True

        async def recover() -> None:
            await self._sleep_between(2.0, 25.0)
            for agent in self.region.agents.values():
                if agent.zone == zone:
                    agent.drops_heartbeats = False

        await curio.spawn(recover, daemon=True)

    async def restart_owner(self) -> None:
        """Stop the pool owner's process and start it again after a while."""
        owner = self.region.owners().get(SETTINGS.pool_shard)
        if owner in self.region.nodes:
            await self.region.restart(owner, self.random.uniform(0.1, 6.0))

    async def stop_state_service(self) -> None:
        """Make the state service unavailable for a while."""
        self.region.state.is_down = True

        async def recover() -> None:
            await self._sleep_between(0.5, 12.0)
            self.region.state.is_down = False

        await curio.spawn(recover, daemon=True)

    async def drain_machine(self) -> None:
        """Drain a machine and undrain it after a while."""
        machine = self._random_machine()
        await self.region.operate("POST", f"machines/{machine}/drain")

        async def recover() -> None:
            await self._sleep_between(5.0, 30.0)
            while (await self.region.operate("POST", f"machines/{machine}/undrain"))[
                0
            ] == STATUS_UNAVAILABLE:
                await curio.sleep(1.0)

        await curio.spawn(recover, daemon=True)

    async def redeliver_heartbeats(self) -> None:
        """Deliver copies of old heartbeats to every controller."""
        for agent in self.random.sample(
            sorted(self.region.agents.values(), key=lambda a: a.number), k=2
        ):
            for body in self.random.sample(
                agent.sent_heartbeats, k=min(3, len(agent.sent_heartbeats))
            ):
                for label in list(self.region.services):
                    await self.region.deliver_heartbeat(agent, label, body)

    async def end_all_faults(self) -> None:
        """End all faults and revive dead machines."""
        await curio.sleep(45.0)
        region = self.region
        region.state.is_down = False
        region.delay_s = lambda _: 0.0
        region.cut_links.clear()
        for machine, agent in list(region.agents.items()):
            agent.is_frozen = agent.drops_heartbeats = agent.drops_responses = False
            if agent.is_dead:
                await region.revive(machine)
