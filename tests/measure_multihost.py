"""Measure multi-machine replicas under virtual time, and write figures, plots and a page.

    python -m tests.measure_multihost [--seeds N] [--out FOLDER]

It needs requirements-measure.txt and is no part of the test command. The baseline is this project's
ordinary path: every member a task of a service, each replaced by itself.
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

LOAD_S = 5.0
WRITE_S = 0.5
GANG_SIZES = (2, 4, 8)
POOL_SIZES = (100, 1000, 4000)
LONGEST_S = 120.0
# a large replica waits in a pool of so many machines, among so many small sets
WAITING_POOL_SIZE = 16
SMALL_SETS = 8
MAX_WAITING_S = 600.0
GENERATION_AFTER_REPAIR = 2


class Sample(NamedTuple):
    """One failure and what followed, in seconds from it. Steps that did not come are None."""

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


async def _member(region: MultihostRegion, draw: Random) -> None:
    draw.choice(region.agents_of("chat/0")[1:]).dead = True


async def _front(region: MultihostRegion, _draw: Random) -> None:
    region.agents_of("chat/0")[0].dead = True


async def _two(region: MultihostRegion, draw: Random) -> None:
    members = region.agents_of("chat/0")
    members[-1].dead = True
    await curio.sleep(draw.uniform(0.1, 1.0))
    members[0].dead = True


async def _all(region: MultihostRegion, _draw: Random) -> None:
    for agent in region.agents_of("chat/0"):
        agent.dead = True


async def _restart(region: MultihostRegion, draw: Random) -> None:
    draw.choice(region.agents_of("chat/0")).restart()


async def _cut(region: MultihostRegion, _draw: Random) -> None:
    for agent in region.agents_of("chat/0"):
        agent.drops_heartbeats = True


FAILURES: dict[str, Failure] = {
    "one member": _member,
    "front member": _front,
    "two in a second": _two,
    "all members": _all,
    "agent restarts": _restart,
    "all cut off": _cut,
}


def measure_failure(job: tuple[str, int, int, float]) -> Sample:
    """Measure one failure of a replica that serves."""
    failure, members, seed, load_s = job
    seen: dict[str, float | None] = dict.fromkeys(("noticed", "placed", "ready", "serving"))
    last_answer: list[float] = []
    wrong = [0.0]

    async def scenario(region: MultihostRegion) -> None:
        draw = Random(seed)
        await region.begin_pool(2 * members + 4)
        await region.declare("chat", members=members, image_gb=load_s, restart_budget=1000)
        await region.until_serving("chat/0")
        await curio.sleep(draw.uniform(20.0, 23.0))
        begun, before = region.clock.now(), region.generation("chat/0")
        await FAILURES[failure](region, draw)
        while region.clock.now() - begun < LONGEST_S and seen["serving"] is None:
            at, phase = region.clock.now() - begun, region.phase("chat/0")
            fronts = region.serving("chat/0")
            new = [a for a in fronts if a.members["chat/0"].generation > before]
            old = len(fronts) - len(new)
            if old:
                last_answer[:] = [at]
                wrong[0] += CHECK_INTERVAL_S * (not region.checker.is_complete("chat/0", before))
            _note(seen, "noticed", at, region.generation("chat/0") > before)
            _note(seen, "placed", at, seen["noticed"] is not None and phase == "starting")
            _note(seen, "ready", at, seen["placed"] is not None and phase == "ready")
            _note(seen, "serving", at, bool(new))
            await curio.sleep(CHECK_INTERVAL_S)

    simulate_multihost(scenario)
    return Sample(
        failure,
        members,
        seed,
        last_answer[0] if last_answer else 0.0,
        seen["noticed"],
        seen["placed"],
        seen["ready"],
        seen["serving"],
        round(wrong[0], 3),
    )


def _note(seen: dict[str, float | None], step: str, at: float, has_come: bool) -> None:
    if has_come and seen[step] is None:
        seen[step] = at


def measure_baseline(job: tuple[str, int, int]) -> Sample:
    """Measure the same failures of a service whose tasks are the members, on the ordinary path.

    Its front, task 0, answers whenever it runs itself. Images are there at once, and idle machines
    are kept all the time, so that there are as many spare ones as in the pool.
    """
    failure, members, seed = job
    result: list[Sample] = []

    async def scenario(region: Region) -> None:
        draw = Random(seed)
        await region.start_region(machines=2 * members + 4)
        # one task a machine
        await region.submit("node-0", "wk-000001", sacks=members, cpus=20.0, cards=0.0)
        await region.wait_until(lambda: _running(region) == set(range(members)))
        await curio.sleep(draw.uniform(20.0, 23.0))
        holders = {
            index: worker for worker in region.workers.values() for (_, index) in worker.tasks
        }
        dying = {
            "one member": [draw.randint(1, members - 1)],
            "front member": [0],
            "two in a second": [0, members - 1],
            "all members": list(range(members)),
        }[failure]
        begun = region.clock.now()
        for index in dying:
            holders[index].is_terminated = holders[index].is_frozen = True
        wrong, last, serving = 0.0, 0.0, None
        while region.clock.now() - begun < LONGEST_S:
            at, running = region.clock.now() - begun, _running(region)
            if running == set(range(members)):
                serving = at
                break
            if 0 in running:
                wrong, last = wrong + CHECK_INTERVAL_S, at
            await curio.sleep(CHECK_INTERVAL_S)
        result.append(
            Sample(failure, members, seed, last, None, None, None, serving, round(wrong, 3))
        )

    kept = property(lambda _: 10 * LONGEST_S)
    with mock.patch.object(Settings, "idle_machine_timeout_s", kept):
        simulate(scenario)
    return result[0]


def _running(region: Region) -> set[int]:
    return {
        index
        for worker in region.workers.values()
        for (_, index), task in worker.tasks.items()
        if not worker.is_terminated and task.state == "running"
    }


def measure_waiting(idle_ratio: float) -> dict[str, float]:
    """Measure how long a large replica waits among small ones, and what is idle meanwhile."""
    result: dict[str, float] = {}

    async def scenario(region: MultihostRegion) -> None:
        region.multihost = replace(SETTINGS, idle_ratio=idle_ratio)
        draw = Random(7)
        await region.begin_pool(WAITING_POOL_SIZE)
        for number in range(SMALL_SETS):
            await region.declare(f"small-{number}", members=2, image_gb=0.0)
        await region.wait_until(
            lambda: sum(_has_served(region, n) for n in range(SMALL_SETS)) == SMALL_SETS
        )
        await region.declare("large", members=6, image_gb=0.0)
        begun, idle, sample_count, number = region.clock.now(), 0.0, 0, SMALL_SETS
        while region.clock.now() - begun < MAX_WAITING_S and not region.serving("large/0"):
            # a small set ends and another one comes, so that two machines at a time become free
            names = sorted(k[len(keys.SET) :] for k in region.state.keys if keys.SET in k)
            small = [n for n in names if n.startswith("small")]
            await region.operate("DELETE", f"replica-sets/{draw.choice(small)}")
            await region.declare(f"small-{number}", members=2, image_gb=0.0)
            number += 1
            for _ in range(10):
                used = region.checker.planned_use()
                idle += 1 - len(used) / WAITING_POOL_SIZE
                sample_count += 1
                await curio.sleep(0.5)
        result["waited_s"] = round(region.clock.now() - begun, 1)
        result["placed"] = float(bool(region.serving("large/0")))
        result["idle"] = round(idle / max(1, sample_count), 3)

    simulate_multihost(scenario)
    return {"idle_ratio": idle_ratio, **result}


def _has_served(region: MultihostRegion, number: int) -> bool:
    return f"small-{number}/0" in region.checker.served_at


def measure_pool(machines: int) -> dict[str, float]:
    """Measure the work of a pass and of a heartbeat in a pool of this size."""
    result: dict[str, float] = {"machines": machines}

    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        counts: Counter[str] = Counter()
        real = candidates.CandidateFinder.candidate

        def counted(*args: Any) -> Any:
            counts["candidates"] += 1
            return real(*args)

        add_ready_pairs(state, clock, machines // 2)
        node, service = await booted_pool(state, clock, nodes, machines)
        own = node.membership.command_ownership(SETTINGS.pool_shard)
        assert own is not None
        send_all_heartbeats(node, service, machines, 1)
        await service.coordinator.reconcile(own)
        begun = time.process_time()
        send_all_heartbeats(node, service, machines, 2)
        result["heartbeat_us"] = (time.process_time() - begun) / machines * 1e6
        replicas_examined = service.coordinator.replicas_examined
        with mock.patch.object(candidates.CandidateFinder, "candidate", counted):
            begun = time.process_time()
            for _ in range(20):
                await service.coordinator.reconcile(own)
            result["idle_round_us"] = (time.process_time() - begun) / 20 * 1e6
        result["looks_idle_round"] = service.coordinator.replicas_examined - replicas_examined
        result["candidates_idle_round"] = counts["candidates"]

    run_scenario(scenario)
    return {k: round(v, 1) for k, v in result.items()}


def measure_transactions(members: int) -> dict[str, int]:
    """Count the transactions of the pool's owner for a start and for a repair, up to serving."""
    result: dict[str, int] = {"members": members}

    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(members + 2)
        service = region.services[region.owner()]
        before = service.writer.transactions
        await region.declare("chat", members=members, image_gb=0.0)
        await region.until_serving("chat/0")
        result["start"] = service.writer.transactions - before
        before = service.writer.transactions
        region.agents_of("chat/0")[1].dead = True
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
    parser.add_argument("--workers", type=int, default=4, help="processes at once")
    parser.add_argument("--out", default="docs/multihost-results")
    args = parser.parse_args()
    jobs = [(f, n, s) for f in FAILURES for n in GANG_SIZES for s in range(args.seeds)]
    baseline_jobs = [j for j in jobs if j[0] not in ("agent restarts", "all cut off")]
    with ProcessPoolExecutor(args.workers) as pool:
        loaded = list(pool.map(measure_failure, [(*j, LOAD_S) for j in jobs], chunksize=4))
        warm = list(pool.map(measure_failure, [(*j, 0.0) for j in baseline_jobs], chunksize=4))
        baseline = list(pool.map(measure_baseline, baseline_jobs, chunksize=4))
        waiting = list(pool.map(measure_waiting, (0.0, 0.125, 0.25, 0.5)))
        transactions = list(pool.map(measure_transactions, (2, 4, 8, 40)))
    figures = {
        "seeds": args.seeds,
        "load_s": LOAD_S,
        "bound_s": round(SETTINGS.repair_bound_s(LOAD_S, WRITE_S), 2),
        "warm_bound_s": round(SETTINGS.repair_bound_s(0.0, WRITE_S), 2),
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
