"""Measure multi-machine replicas under virtual time, and write figures, plots and a page.

    python -m tests.measure_multihost [--seeds N] [--out FOLDER]

It needs the packages in requirements-measure.txt, and the test command does not run it. The
baseline is an ordinary service in which each member is a task that is replaced independently of
the others.
"""

import argparse
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any, NamedTuple
from unittest import mock

import curio

from crossmill.multihost import candidates, keys
from crossmill.settings import Settings

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_pool import add_ready_pairs, booted_pool, send_all_heartbeats
from .multihost_region import CHECK_INTERVAL_S, SETTINGS, MultihostRegion, simulate_multihost
from .report_multihost import write_report
from .simulated_region import Region, simulate
from .stepped_controller import SteppedController, run_scenario

IMAGE_LOAD_S = 5.0
STATE_WRITE_S = 0.5
REPLICA_SIZES = (2, 4, 8)
POOL_SIZES = (100, 1000, 4000)
MAX_RECOVERY_S = 120.0
# in `measure_waiting`: the pool's machines, and the small replica sets that share it with a large
# replica
WAITING_POOL_SIZE = 16
SMALL_SETS = 8
MAX_WAITING_S = 600.0
GENERATION_AFTER_REPAIR = 2


class Sample(NamedTuple):
    """The recovery from one failure, with times in seconds since the failure.

    A step's time is None if the step was not reached. In the baseline, `noticed_s`, `placed_s` and
    `ready_s` are always None.

    Attributes:
        failure: The kind of failure, a key of `FAILURES`.
        members: The number of the replica's members.
        seed: The seed of the random choices.
        last_answer_s: The time at which the front member of the old generation last served; 0 if it
            did not.
        noticed_s: The time at which the replica's next generation began.
        placed_s: The time at which the new generation was placed.
        ready_s: The time at which the new generation was ready.
        serving_s: The time at which the replica served again with all its members.
        wrong_s: The time for which the front member served while another member was missing.
    """

    failure: str
    members: int
    seed: int
    last_answer_s: float | None
    noticed_s: float | None
    placed_s: float | None
    ready_s: float | None
    serving_s: float | None
    wrong_s: float


Failure = Callable[[MultihostRegion, Random], Awaitable[None]]


async def _kill_member(region: MultihostRegion, rng: Random) -> None:
    rng.choice(region.agents_of("chat/0")[1:]).is_dead = True


async def _kill_front_member(region: MultihostRegion, _rng: Random) -> None:
    region.agents_of("chat/0")[0].is_dead = True


async def _kill_two_members(region: MultihostRegion, rng: Random) -> None:
    members = region.agents_of("chat/0")
    members[-1].is_dead = True
    await curio.sleep(rng.uniform(0.1, 1.0))
    members[0].is_dead = True


async def _kill_all_members(region: MultihostRegion, _rng: Random) -> None:
    for agent in region.agents_of("chat/0"):
        agent.is_dead = True


async def _restart_agent(region: MultihostRegion, rng: Random) -> None:
    rng.choice(region.agents_of("chat/0")).restart()


async def _cut_off_members(region: MultihostRegion, _rng: Random) -> None:
    for agent in region.agents_of("chat/0"):
        agent.drops_heartbeats = True


FAILURES: dict[str, Failure] = {
    "one member": _kill_member,
    "front member": _kill_front_member,
    "two in a second": _kill_two_members,
    "all members": _kill_all_members,
    "agent restarts": _restart_agent,
    "all cut off": _cut_off_members,
}


def measure_failure(job: tuple[str, int, int, float]) -> Sample:
    """Measure the recovery of a serving replica from one failure."""
    failure, members, seed, load_s = job
    reached_at: dict[str, float | None] = dict.fromkeys(("noticed", "placed", "ready", "serving"))
    last_answer: list[float] = []
    incomplete_s = [0.0]

    async def scenario(region: MultihostRegion) -> None:
        rng = Random(seed)
        await region.begin_pool(2 * members + 4)
        await region.declare("chat", members=members, image_gb=load_s, restart_budget=1000)
        await region.until_serving("chat/0")
        await curio.sleep(rng.uniform(20.0, 23.0))
        started_at, old_generation = region.clock.now(), region.generation("chat/0")
        await FAILURES[failure](region, rng)
        while region.clock.now() - started_at < MAX_RECOVERY_S and reached_at["serving"] is None:
            elapsed_s, phase = region.clock.now() - started_at, region.phase("chat/0")
            serving_agents = region.serving("chat/0")
            new = [a for a in serving_agents if a.members["chat/0"].generation > old_generation]
            old = len(serving_agents) - len(new)
            if old:
                last_answer[:] = [elapsed_s]
                incomplete_s[0] += CHECK_INTERVAL_S * (
                    not region.checker.is_complete("chat/0", old_generation)
                )
            _record_step(
                reached_at, "noticed", elapsed_s, region.generation("chat/0") > old_generation
            )
            _record_step(
                reached_at,
                "placed",
                elapsed_s,
                reached_at["noticed"] is not None and phase == "starting",
            )
            _record_step(
                reached_at,
                "ready",
                elapsed_s,
                reached_at["placed"] is not None and phase == "ready",
            )
            _record_step(reached_at, "serving", elapsed_s, bool(new))
            await curio.sleep(CHECK_INTERVAL_S)

    simulate_multihost(scenario)
    return Sample(
        failure,
        members,
        seed,
        last_answer[0] if last_answer else 0.0,
        reached_at["noticed"],
        reached_at["placed"],
        reached_at["ready"],
        reached_at["serving"],
        round(incomplete_s[0], 3),
    )


def _record_step(
    reached_at: dict[str, float | None], step: str, elapsed_s: float, is_reached: bool
) -> None:
    if is_reached and reached_at[step] is None:
        reached_at[step] = elapsed_s


def measure_baseline(job: tuple[str, int, int]) -> Sample:
    """Measure the same failures of a service whose tasks stand for the members.

    Task 0 stands for the front member and counts as serving whenever it runs itself. Images need no
    time to load. Idle machines are kept for the whole run, so that there are as many spare machines
    as in the pool of `measure_failure`.
    """
    failure, members, seed = job
    result: list[Sample] = []

    async def scenario(region: Region) -> None:
        rng = Random(seed)
        await region.start_region(machines=2 * members + 4)
        # the request for processors allows only one task per machine
        await region.submit("node-0", "wk-000001", sacks=members, cpus=20.0, cards=0.0)
        await region.wait_until(lambda: _running_tasks(region) == set(range(members)))
        await curio.sleep(rng.uniform(20.0, 23.0))
        workers_by_task = {
            index: worker for worker in region.workers.values() for (_, index) in worker.tasks
        }
        failed_tasks = {
            "one member": [rng.randint(1, members - 1)],
            "front member": [0],
            "two in a second": [0, members - 1],
            "all members": list(range(members)),
        }[failure]
        started_at = region.clock.now()
        for index in failed_tasks:
            workers_by_task[index].is_terminated = workers_by_task[index].is_frozen = True
        incomplete_s, last_answer_s, serving_s = 0.0, 0.0, None
        while region.clock.now() - started_at < MAX_RECOVERY_S:
            elapsed_s, running = region.clock.now() - started_at, _running_tasks(region)
            if running == set(range(members)):
                serving_s = elapsed_s
                break
            if 0 in running:
                incomplete_s, last_answer_s = incomplete_s + CHECK_INTERVAL_S, elapsed_s
            await curio.sleep(CHECK_INTERVAL_S)
        result.append(
            Sample(
                failure,
                members,
                seed,
                last_answer_s,
                None,
                None,
                None,
                serving_s,
                round(incomplete_s, 3),
            )
        )

    long_timeout = property(lambda _: 10 * MAX_RECOVERY_S)
    with mock.patch.object(Settings, "idle_machine_timeout_s", long_timeout):
        simulate(scenario)
    return result[0]


def _running_tasks(region: Region) -> set[int]:
    return {
        index
        for worker in region.workers.values()
        for (_, index), task in worker.tasks.items()
        if not worker.is_terminated and task.state == "running"
    }


def measure_waiting(idle_ratio: float) -> dict[str, float]:
    """Measure how long a large replica waits among small ones, and the idle share of the pool."""
    result: dict[str, float] = {}

    async def scenario(region: MultihostRegion) -> None:
        region.multihost = replace(SETTINGS, idle_ratio=idle_ratio)
        rng = Random(7)
        await region.begin_pool(WAITING_POOL_SIZE)
        for number in range(SMALL_SETS):
            await region.declare(f"small-{number}", members=2, image_gb=0.0)
        await region.wait_until(
            lambda: sum(_has_served(region, n) for n in range(SMALL_SETS)) == SMALL_SETS
        )
        await region.declare("large", members=6, image_gb=0.0)
        started_at, idle, sample_count, number = region.clock.now(), 0.0, 0, SMALL_SETS
        while region.clock.now() - started_at < MAX_WAITING_S and not region.serving("large/0"):
            # replace one small set by a new one, so that two machines at a time become free
            names = sorted(k[len(keys.SET) :] for k in region.state.keys if keys.SET in k)
            small = [n for n in names if n.startswith("small")]
            await region.operate("DELETE", f"replica-sets/{rng.choice(small)}")
            await region.declare(f"small-{number}", members=2, image_gb=0.0)
            number += 1
            for _ in range(10):
                used = region.checker.planned_use()
                idle += 1 - len(used) / WAITING_POOL_SIZE
                sample_count += 1
                await curio.sleep(0.5)
        result["waited_s"] = round(region.clock.now() - started_at, 1)
        result["placed"] = float(bool(region.serving("large/0")))
        result["idle"] = round(idle / max(1, sample_count), 3)

    simulate_multihost(scenario)
    return {"idle_ratio": idle_ratio, **result}


def _has_served(region: MultihostRegion, number: int) -> bool:
    return f"small-{number}/0" in region.checker.served_at


def measure_pool(machines: int) -> dict[str, float]:
    """Measure the cost of a heartbeat and of a round without changes in a pool of this size.

    The processor times are of one heartbeat and one round; the numbers of replicas and candidate
    machines examined are of 20 rounds.
    """
    result: dict[str, float] = {"machines": machines}

    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        counts: Counter[str] = Counter()
        original = candidates.CandidateFinder.candidate

        def counted(*args: Any) -> Any:
            counts["candidates"] += 1
            return original(*args)

        add_ready_pairs(state, clock, machines // 2)
        node, service = await booted_pool(state, clock, nodes, machines)
        ownership = node.membership.command_ownership(SETTINGS.pool_shard)
        assert ownership is not None
        send_all_heartbeats(node, service, machines, 1)
        await service.coordinator.reconcile(ownership)
        started_at = time.process_time()
        send_all_heartbeats(node, service, machines, 2)
        result["heartbeat_us"] = (time.process_time() - started_at) / machines * 1e6
        replicas_examined = service.coordinator.replicas_examined
        with mock.patch.object(candidates.CandidateFinder, "candidate", counted):
            started_at = time.process_time()
            for _ in range(20):
                await service.coordinator.reconcile(ownership)
            result["idle_round_us"] = (time.process_time() - started_at) / 20 * 1e6
        result["looks_idle_round"] = service.coordinator.replicas_examined - replicas_examined
        result["candidates_idle_round"] = counts["candidates"]

    run_scenario(scenario)
    return {k: round(v, 1) for k, v in result.items()}


def measure_transactions(members: int) -> dict[str, int]:
    """Count the pool owner's transactions until a replica serves, for a start and for a repair."""
    result: dict[str, int] = {"members": members}

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(members + 2)
        service = region.services[region.owner()]
        before = service.writer.transactions
        await region.declare("chat", members=members, image_gb=0.0)
        await region.until_serving("chat/0")
        result["start"] = service.writer.transactions - before
        before = service.writer.transactions
        region.agents_of("chat/0")[1].is_dead = True
        await region.wait_until(
            lambda: any(
                a.serves("chat/0") == GENERATION_AFTER_REPAIR for a in region.agents.values()
            )
        )
        result["repair"] = service.writer.transactions - before

    simulate_multihost(scenario)
    return result


def main() -> None:
    """Run all measurements and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--workers", type=int, default=4, help="number of worker processes")
    parser.add_argument("--out", default="docs/multihost-results")
    args = parser.parse_args()
    jobs = [(f, n, s) for f in FAILURES for n in REPLICA_SIZES for s in range(args.seeds)]
    baseline_jobs = [j for j in jobs if j[0] not in ("agent restarts", "all cut off")]
    with ProcessPoolExecutor(args.workers) as pool:
        loaded = list(pool.map(measure_failure, [(*j, IMAGE_LOAD_S) for j in jobs], chunksize=4))
        warm = list(pool.map(measure_failure, [(*j, 0.0) for j in baseline_jobs], chunksize=4))
        baseline = list(pool.map(measure_baseline, baseline_jobs, chunksize=4))
        waiting = list(pool.map(measure_waiting, (0.0, 0.125, 0.25, 0.5)))
        transactions = list(pool.map(measure_transactions, (2, 4, 8, 40)))
    figures = {
        "seeds": args.seeds,
        "load_s": IMAGE_LOAD_S,
        "bound_s": round(SETTINGS.repair_bound_s(IMAGE_LOAD_S, STATE_WRITE_S), 2),
        "warm_bound_s": round(SETTINGS.repair_bound_s(0.0, STATE_WRITE_S), 2),
        "serving_lease_s": SETTINGS.serving_lease_s,
        "loaded": [s._asdict() for s in loaded],
        "warm": [s._asdict() for s in warm],
        "baseline": [s._asdict() for s in baseline],
        "waiting": waiting,
        "transactions": transactions,
        "pools": [measure_pool(n) for n in POOL_SIZES],
    }
    out = Path(args.out)
    out.mkdir(parents=True, exist_ok=True)
    (out / "figures.json").write_text(json.dumps(figures, indent=1) + "\n")
    write_report(figures, out)


if __name__ == "__main__":
    main()
