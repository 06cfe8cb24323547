"""Replicas whose machines are reserved in several transactions."""

from typing import Any

import curio

from crossmill.multihost.reservations import ReservationWriter

from .multihost_region import MultihostRegion, simulate_multihost
from .multihost_scenarios import LOAD_S, REPAIR_BOUND_S


def test_a_replica_larger_than_one_transaction_is_reserved_in_steps() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(50)
        await region.declare("large", members=40, image_gb=LOAD_S)
        await region.until_serving("large/0")
        service = region.services[region.owner()]
        assert ReservationWriter(service.writer, service.pool).members_per_chunk() < 40
        region.agents_of("large/0")[33].is_dead = True
        await region.wait_until(lambda: region.generation("large/0") == 2)
        await region.until_serving("large/0", REPAIR_BOUND_S + 5.0)

    simulate_multihost(scenario)


def test_the_next_owner_finishes_a_reservation_in_steps() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(50)
        region.transaction_delay_s[region.owner()] = 0.3
        await region.declare("large", members=40, image_gb=LOAD_S, hold_s=60.0)
        await region.wait_until(lambda: region.phase("large/0") == "reserving")
        await region.wait_until(lambda: len(region.agents_of("large/0")) > 0)
        assert len(region.agents_of("large/0")) < 40
        await region.kill(region.owner())
        await region.until_serving("large/0", 60.0)
        region.checker.check_end()

    simulate_multihost(scenario)


def test_no_second_reservation_in_steps_is_begun_while_one_is_open() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(60)
        region.transaction_delay_s[region.owner()] = 0.3
        await region.declare("first", members=40, image_gb=LOAD_S, hold_s=25.0)
        await region.wait_until(lambda: len(region.agents_of("first/0")) > 0)
        # too few machines remain, so the next owner has to wait until hold_s has passed
        await region.kill(region.owner())
        for agent in list(region.agents.values())[:25]:
            agent.is_dead = True
        body: dict[str, Any] = {"members": 22, "replicas": 1, "image": "weights", "image_gb": 1}
        body |= {"cpus": 1, "gpus": 0, "memory_gb": 1, "priority": 9}
        assert (await region.operate("PUT", "replica-sets/second", body))[0] == 201
        while region.phase("first/0") == "reserving":
            assert region.phase("second/0") in ("", "pending")
            await curio.sleep(0.02)
        assert region.phase("first/0") == "pending"
        await region.until_serving("second/0", 90.0)

    simulate_multihost(scenario)


def test_a_reservation_in_steps_that_cannot_be_finished_is_undone() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(42)
        region.transaction_delay_s[region.owner()] = 0.3
        await region.declare("large", members=40, image_gb=LOAD_S, hold_s=8.0)
        await region.wait_until(lambda: region.phase("large/0") == "reserving")
        await region.wait_until(lambda: len(region.agents_of("large/0")) > 0)
        await region.kill(region.owner())
        for agent in list(region.agents.values())[-5:]:
            agent.is_dead = True
        await region.wait_until(lambda: region.phase("large/0") == "pending", 40.0)
        await curio.sleep(5.0)
        assert not region.agents_of("large/0")

    simulate_multihost(scenario)
