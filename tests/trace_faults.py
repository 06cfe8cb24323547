"""Faults of the behaviour trace, drawn from a seed."""

import random
from collections.abc import Awaitable, Callable

import curio

from .trace_adapter import CONTROLLERS, SimulatedRegion

ZONES = ("north", "south")


class FaultSequence:
    """Injects every kind of fault once, in a random order and for random durations."""

    def __init__(self, region: SimulatedRegion, draw: random.Random) -> None:
        self.region, self.draw = region, draw

    async def run(self) -> None:
        """Inject the faults, with pauses between them."""
        kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "state outage": self._state_outage,
            "controller ends": self._controller_ends,
            "controller frozen": self._controller_frozen,
            "controller cut": self._controller_cut,
            "zone cut": self._zone_cut,
            "state refuses one": self._state_refuses,
            "answers lost": self._answers_lost,
            "transactions late": self._transactions_late,
            "state slow": self._state_slow,
            "history compacted": self._history_compacted,
            "worker mute": self._worker_mute,
            "worker deaf": self._worker_deaf,
            "worker hung": self._worker_hung,
            "heartbeats repeated": self._heartbeats_repeated,
            "spot notice": self._spot_notice,
            "cloud outage": self._cloud_outage,
            "cloud without capacity": self._no_capacity,
        }
        for name in self.draw.sample(sorted(kinds), len(kinds)):
            self.region.counts[f"fault: {name}"] += 1
            await kinds[name]()
            await curio.sleep(self.draw.uniform(0.5, 4.0))

    def _controller(self) -> str:
        return self.draw.choice(CONTROLLERS)

    def _worker(self) -> str:
        return self.draw.choice(self.region.busy_workers() or self.region.workers())

    async def _pause(self, least_s: float, most_s: float) -> None:
        await curio.sleep(self.draw.uniform(least_s, most_s))

    async def _state_outage(self) -> None:
        self.region.state_outage(True)
        await self._pause(1.0, 12.0)
        self.region.state_outage(False)

    async def _controller_ends(self) -> None:
        label = self._controller()
        await self.region.end(label)
        await self._pause(0.1, 15.0)
        await self.region.start(label)

    async def _controller_frozen(self) -> None:
        span_s = self.draw.choice([1.0, 3.0, 8.0, 20.0])
        self.region.freeze(self._controller(), span_s)
        await curio.sleep(span_s)

    async def _controller_cut(self) -> None:
        self.region.cut_controller(self._controller())
        await self._pause(2.0, 15.0)
        self.region.heal()

    async def _zone_cut(self) -> None:
        self.region.cut_zone(self.draw.choice(ZONES))
        await self._pause(4.0, 15.0)
        self.region.heal()

    async def _state_refuses(self) -> None:
        self.region.refuse(self._controller())
        await self._pause(2.0, 15.0)
        self.region.heal()

    async def _answers_lost(self) -> None:
        self.region.lose_responses(self.draw.choice([2, 3, 5]), True, 10.0)
        await curio.sleep(10.0)

    async def _transactions_late(self) -> None:
        self.region.lose_responses(self.draw.choice([2, 3, 5]), False, 10.0)
        await curio.sleep(10.0)

    async def _state_slow(self) -> None:
        self.region.slow_state(0.3)
        await self._pause(2.0, 8.0)
        self.region.slow_state(0.0)

    async def _history_compacted(self) -> None:
        self.region.compact()

    async def _worker_mute(self) -> None:
        machine = self._worker()
        self.region.lose_heartbeats(machine, True)
        await self._pause(2.0, 20.0)
        self.region.lose_heartbeats(machine, False)

    async def _worker_deaf(self) -> None:
        machine = self._worker()
        self.region.lose_inbound(machine, True)
        await self._pause(2.0, 20.0)
        self.region.lose_inbound(machine, False)

    async def _worker_hung(self) -> None:
        machine = self._worker()
        self.region.freeze_worker(machine, True)
        await self._pause(2.0, 20.0)
        self.region.freeze_worker(machine, False)

    async def _heartbeats_repeated(self) -> None:
        self.region.repeat_heartbeats(self._worker(), self._controller())

    async def _spot_notice(self) -> None:
        machine = self._worker()
        self.region.give_notice(machine, 8.0)
        await curio.sleep(8.0)
        self.region.take_away(machine)

    async def _cloud_outage(self) -> None:
        self.region.cloud_outage(True)
        await self._pause(2.0, 8.0)
        self.region.cloud_outage(False)

    async def _no_capacity(self) -> None:
        self.region.no_capacity(3)
