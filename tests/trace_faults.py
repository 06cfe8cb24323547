"""Random fault injection for the behaviour trace."""

import random
from collections.abc import Awaitable, Callable

import curio

from .trace_adapter import CONTROLLERS, SimulatedRegion

ZONES = ("north", "south")


class FaultSequence:
    """Injects each kind of fault once, in random order and for random durations."""

    def __init__(self, region: SimulatedRegion, rng: random.Random) -> None:
        self.region, self.rng = region, rng

    async def run(self) -> None:
        """Inject the faults one after the other, with pauses between them."""
        faults: dict[str, Callable[[], Awaitable[None]]] = {
            "state outage": self._state_outage,
            "controller ends": self._controller_killed,
            "controller frozen": self._controller_frozen,
            "controller cut": self._controller_isolated,
            "zone cut": self._zone_isolated,
            "state refuses one": self._state_refuses_controller,
            "answers lost": self._responses_lost,
            "transactions late": self._transactions_delayed,
            "state slow": self._state_slow,
            "history compacted": self._history_compacted,
            "worker mute": self._worker_heartbeats_lost,
            "worker deaf": self._worker_inbound_lost,
            "worker hung": self._worker_frozen,
            "heartbeats repeated": self._heartbeats_repeated,
            "spot notice": self._spot_notice,
            "cloud outage": self._cloud_outage,
            "cloud without capacity": self._cloud_without_capacity,
        }
        # the sort order of the names decides the order of the faults: a new name changes the trace
        for name in self.rng.sample(sorted(faults), len(faults)):
            self.region.counts[f"fault: {name}"] += 1
            await faults[name]()
            await curio.sleep(self.rng.uniform(0.5, 4.0))

    def _random_controller(self) -> str:
        return self.rng.choice(CONTROLLERS)

    def _random_worker(self) -> str:
        return self.rng.choice(self.region.busy_workers() or self.region.workers())

    async def _pause(self, min_s: float, max_s: float) -> None:
        await curio.sleep(self.rng.uniform(min_s, max_s))

    async def _state_outage(self) -> None:
        self.region.set_state_outage(True)
        await self._pause(1.0, 12.0)
        self.region.set_state_outage(False)

    async def _controller_killed(self) -> None:
        label = self._random_controller()
        await self.region.kill_controller(label)
        await self._pause(0.1, 15.0)
        await self.region.start_controller(label)

    async def _controller_frozen(self) -> None:
        duration_s = self.rng.choice([1.0, 3.0, 8.0, 20.0])
        self.region.freeze_controller(self._random_controller(), duration_s)
        await curio.sleep(duration_s)

    async def _controller_isolated(self) -> None:
        self.region.isolate_controller(self._random_controller())
        await self._pause(2.0, 15.0)
        self.region.clear_faults()

    async def _zone_isolated(self) -> None:
        self.region.isolate_zone(self.rng.choice(ZONES))
        await self._pause(4.0, 15.0)
        self.region.clear_faults()

    async def _state_refuses_controller(self) -> None:
        self.region.refuse_controller(self._random_controller())
        await self._pause(2.0, 15.0)
        self.region.clear_faults()

    async def _responses_lost(self) -> None:
        self.region.lose_responses(self.rng.choice([2, 3, 5]), True, 10.0)
        await curio.sleep(10.0)

    async def _transactions_delayed(self) -> None:
        self.region.lose_responses(self.rng.choice([2, 3, 5]), False, 10.0)
        await curio.sleep(10.0)

    async def _state_slow(self) -> None:
        self.region.delay_state(0.3)
        await self._pause(2.0, 8.0)
        self.region.delay_state(0.0)

    async def _history_compacted(self) -> None:
        self.region.compact_history()

    async def _worker_heartbeats_lost(self) -> None:
        machine = self._random_worker()
        self.region.lose_heartbeats(machine, True)
        await self._pause(2.0, 20.0)
        self.region.lose_heartbeats(machine, False)

    async def _worker_inbound_lost(self) -> None:
        machine = self._random_worker()
        self.region.lose_inbound(machine, True)
        await self._pause(2.0, 20.0)
        self.region.lose_inbound(machine, False)

    async def _worker_frozen(self) -> None:
        machine = self._random_worker()
        self.region.freeze_worker(machine, True)
        await self._pause(2.0, 20.0)
        self.region.freeze_worker(machine, False)

    async def _heartbeats_repeated(self) -> None:
        self.region.repeat_heartbeats(self._random_worker(), self._random_controller())

    async def _spot_notice(self) -> None:
        machine = self._random_worker()
        self.region.give_spot_notice(machine, 8.0)
        await curio.sleep(8.0)
        self.region.terminate_worker(machine)

    async def _cloud_outage(self) -> None:
        self.region.set_cloud_outage(True)
        await self._pause(2.0, 8.0)
        self.region.set_cloud_outage(False)

    async def _cloud_without_capacity(self) -> None:
        self.region.fail_rentals(3)
