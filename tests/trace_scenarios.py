"""Scenarios of the behaviour trace; each run is determined by its seed."""

import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import curio

from .trace_adapter import (
    CONTROLLERS,
    SimulatedMultihostRegion,
    SimulatedRecoveryRegion,
    SimulatedRegion,
    play_multihost,
    play_ordinary,
    play_recovery,
)
from .trace_faults import ZONES, FaultSequence
from .trace_recorder import TraceRecorder
from .trace_users import Users

SHARDS = 3
SETTLE_S = 30.0
APPROVAL_ROUNDS = 30
QUICK_JOBS = 8
QUICK_SPAN_S = 15.0


async def _add_workers(region: SimulatedRegion, workers_per_shard: int) -> None:
    for number in range(workers_per_shard * SHARDS):
        zone, is_spot = ZONES[number % len(ZONES)], number % 4 == 3
        await region.add_worker(f"n-9{number:05d}", zone, number % SHARDS, is_spot)


async def _run_under_faults(region: SimulatedRegion, seed: int, jobs: int) -> None:
    users = Users(region, random.Random(seed + 1), jobs, 90.0)
    users_task = await curio.spawn(users.run)
    await FaultSequence(region, random.Random(seed)).run()
    await users_task.join()
    region.clear_faults()
    await curio.sleep(SETTLE_S)
    _count_results(region)


def _count_results(region: SimulatedRegion) -> None:
    for verb, number in region.command_counts().items():
        region.counts[f"orders to workers: {verb}"] += number
    region.counts["invariant violations"] += len(region.violations())


def play_rented(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """Run a region whose leader rents machines, with every fault of `FaultSequence`."""

    async def scenario(region: SimulatedRegion) -> None:
        await region.start_controllers()
        await _add_workers(region, 1)
        await region.start_provisioning()
        await _run_under_faults(region, seed, 60)

    play_ordinary(recorder, counts, scenario)


def play_crowded(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """Run a region with few machines, so that tasks of lower priority are preempted."""

    async def scenario(region: SimulatedRegion) -> None:
        await region.start_controllers()
        await _add_workers(region, 3)
        await _run_under_faults(region, seed, 70)

    play_ordinary(recorder, counts, scenario)


def play_quick(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """Run a short scenario in which one controller is killed, for tests of the trace itself."""

    async def scenario(region: SimulatedRegion) -> None:
        await region.start_controllers()
        await _add_workers(region, 2)
        users = Users(region, random.Random(seed), QUICK_JOBS, QUICK_SPAN_S)
        users_task = await curio.spawn(users.run)
        await curio.sleep(QUICK_SPAN_S / 2)
        await region.kill_controller(CONTROLLERS[1])
        await users_task.join()

    play_ordinary(recorder, counts, scenario)


def play_replicas(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """Run multi-machine replicas under faults.

    The faults include spot notices and a new replica set of higher priority.
    """

    async def scenario(region: SimulatedMultihostRegion) -> None:
        rng = random.Random(seed)
        pool_faults = await region.start_pool(seed)
        await curio.spawn(_poll_replica_sets, region, daemon=True)
        await curio.sleep(15.0)
        fault_names = [*pool_faults, "spot notice", "owner frozen", "zone cut", "urgent set"]
        for name in rng.sample(fault_names, len(fault_names)):
            counts[f"replica fault: {name}"] += 1
            if name in pool_faults:
                await pool_faults[name]()
            else:
                await _inject_replica_fault(region, rng, name)
            await curio.sleep(rng.uniform(0.0, 6.0))
        await region.end_all_faults()
        await curio.sleep(SETTLE_S)
        counts["replica generations at the end"] += region.total_generations()
        counts["invariant violations"] += len(region.violations())

    play_multihost(recorder, counts, scenario)


async def _poll_replica_sets(region: SimulatedMultihostRegion) -> None:
    while True:
        await region.poll_replica_sets()
        await curio.sleep(2.0)


async def _inject_replica_fault(
    region: SimulatedMultihostRegion, rng: random.Random, name: str
) -> None:
    if name == "spot notice":
        machines = region.member_machines()
        if machines:
            region.give_agent_notice(rng.choice(machines), 30.0)
    elif name == "owner frozen":
        owner = region.pool_owner()
        if owner is not None:
            region.freeze_controller(owner, rng.choice([2.0, 8.0, 20.0]))
    elif name == "zone cut":
        zone = rng.choice(ZONES)
        region.lose_zone_heartbeats(zone, True)
        await curio.sleep(rng.uniform(4.0, 20.0))
        region.lose_zone_heartbeats(zone, False)
    else:
        while await region.declare_replica_set("urgent", 4, 2, 9) not in (200, 201):
            await curio.sleep(1.0)


def play_recovered(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """Kill all controllers twice while users submit jobs.

    After the second time, the state service is restored from an earlier copy.
    """

    async def scenario(region: SimulatedRecoveryRegion) -> None:
        rng = random.Random(seed)
        await region.start_controllers()
        await _add_workers(region, 4)
        users = Users(region, random.Random(seed + 1), 40, 70.0)
        users_task = await curio.spawn(users.run)
        await curio.sleep(25.0)
        copy = region.copy_state()
        await _restart_all(region, rng)
        await curio.sleep(25.0)
        silent = rng.choice(region.workers())
        region.lose_heartbeats(silent, True)
        for label in CONTROLLERS:
            await region.kill_controller(label)
        await region.restore_state(copy)
        await _restart_all(region, rng)
        await _approve_until_steady(region)
        region.lose_heartbeats(silent, False)
        await users_task.join()
        region.clear_faults()
        await curio.sleep(SETTLE_S)
        _count_results(region)

    play_recovery(recorder, counts, scenario)


async def _restart_all(region: SimulatedRecoveryRegion, rng: random.Random) -> None:
    for label in CONTROLLERS:
        await region.kill_controller(label)
    await curio.sleep(rng.uniform(1.0, 5.0))
    for label in CONTROLLERS:
        await region.start_controller(label)
        await curio.sleep(rng.uniform(0.0, 1.0))
    region.counts["restarts of all controllers"] += 1


async def _approve_until_steady(region: SimulatedRecoveryRegion) -> None:
    for _ in range(APPROVAL_ROUNDS):
        await curio.sleep(2.0)
        for label in region.running_controllers():
            region.counts["approvals of held back differences"] += await region.approve_all(label)
        if region.is_steady():
            region.counts["recoveries that became steady"] += 1
            return


class Scenario(NamedTuple):
    """A scenario and the seeds that it runs with."""

    play: Callable[[TraceRecorder, Counter[str], int], None]
    seeds: tuple[int, ...]


SCENARIOS = {
    "rented": Scenario(play_rented, (0, 1, 2, 3)),
    "crowded": Scenario(play_crowded, (0, 1, 2, 3)),
    "replicas": Scenario(play_replicas, (0, 1, 2)),
    "recovery": Scenario(play_recovered, (0, 1, 2)),
}
