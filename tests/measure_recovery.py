"""Measures restarts of all controllers, and writes figures, plots and a page.

    python -m tests.measure_recovery [--sizes 100:20,1000:20,4000:2] [--out FOLDER]

It runs three controllers and simulated workers under virtual time. It requires
requirements-measure.txt and is not part of the test command. The baseline is the same restart
without recovery.
"""

import argparse
import json
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import curio
import orjson

from crossmill.cluster import keys
from crossmill.cluster.model import PlanChunk, PlannedAttempt
from crossmill.cluster.records import encode_chunk, encode_job
from crossmill.wire.users import parse_spec

from .recovery_region import (
    RecoveryRegion,
    add_unplanned_task,
    disconnect,
    recovery_settings,
    simulate_recovery,
)
from .report_page import Table, plot, summary_cell, write_page
from .simulated_worker import Worker

TASKS_PER_JOB = 8
TASKS_PER_WORKER = 2
# the share of the workers that are disconnected, and the share that run an unplanned task
AFFECTED_SHARE = 0.05
# the share of the jobs that are missing in an older state of the state service
LOST_SHARE = 0.5
OBSERVED_S = 25.0
POLL_INTERVAL_S = 0.05
OK = 200
SCENARIOS = ("calm", "differing", "older")


class Case(NamedTuple):
    """The parameters of a measured restart."""

    scenario: str
    workers: int
    with_recovery: bool
    seed: int


class Sample(NamedTuple):
    """The figures of a restart; times in seconds since the controllers stopped, None if never."""

    scenario: str
    workers: int
    with_recovery: bool
    seed: int
    outage_s: float
    first_worker_s: float | None
    all_workers_s: float | None
    first_user_s: float | None
    orders: dict[str, int]
    orders_to_healthy: int
    peak_orders_per_s: int
    tasks_lost: int
    state_reads: int
    state_writes: int


async def _fill(region: RecoveryRegion, workers: int) -> None:
    """Store plans for all workers and wait until the controllers have started their tasks."""
    await region.start_region(machines=0)
    for number in range(workers):
        zone = ("north", "south")[number % 2]
        await region.add_worker(f"n-{number:06d}", zone, number % len(region.LABELS))
    await curio.sleep(3.0)
    team_of = {shard: team for team, shard in region.nodes["node-0"].settings.team_shards.items()}
    number = 0
    for shard, team in sorted(team_of.items()):
        shard_workers = [
            w for w in region.workers.values() if w.number % len(region.LABELS) == shard
        ]
        slots = shard_workers * TASKS_PER_WORKER
        for first in range(0, len(slots), TASKS_PER_JOB):
            _put_job(region, f"wk-{number:06d}", team, slots[first : first + TASKS_PER_JOB])
            number += 1
    await region.wait_until(
        lambda: all(len(w.tasks) == TASKS_PER_WORKER for w in region.workers.values())
    )
    await curio.sleep(4.0)


def _put_job(region: RecoveryRegion, job: str, team: str, workers: list[Worker]) -> None:
    fields = {"crew": team, "sacks": len(workers), "cards": 0.0, "cpus": 1.0, "ramGb": 1.0}
    spec = parse_spec(region.register_job(job, None, **fields))
    region.checker.jobs[job].accepted = region.clock.now()
    layout = region.nodes["node-0"].cluster.layout
    by_chunk: dict[str, dict[int, PlannedAttempt]] = {}
    for index, worker in enumerate(workers):
        attempt = PlannedAttempt(job, index, 1, worker.machine, worker.session)
        by_chunk.setdefault(layout.chunk_of(index, ()).name, {})[index] = attempt
    for name, attempts in by_chunk.items():
        region.state.put(keys.plan(job, name), encode_chunk(PlanChunk(2, 0, attempts)))
    record = encode_job(spec, region.clock.wall_time())
    region.state.put(keys.job(job), orjson.loads(orjson.dumps(record)))


def _inject_differences(region: RecoveryRegion, scenario: str, rng: Random) -> set[str]:
    """Make stored state and workers differ, and return the affected machines."""
    workers = list(region.workers.values())
    if scenario == "differing":
        affected = rng.sample(workers, max(2, int(2 * AFFECTED_SHARE * len(workers))))
        for number, worker in enumerate(affected):
            if number % 2:
                disconnect([worker])
            else:
                add_unplanned_task(worker, "wk-000000", 500 + number, 9)
        return {worker.machine for worker in affected}
    if scenario == "older":
        jobs = sorted(region.checker.jobs)
        lost = set(rng.sample(jobs, int(LOST_SHARE * len(jobs))))
        for name in list(region.state.keys):
            if name.startswith((keys.JOB, keys.PLAN)) and name.split("/")[2] in lost:
                region.state.delete(name)
        return {w.machine for w in workers if any(job in lost for job, _ in w.tasks)}
    return set()


def measure(case: Case) -> Sample:
    """Measure one restart of all controllers."""
    results: list[Sample] = []

    async def scenario(region: RecoveryRegion) -> None:
        rng = Random(f"{case.scenario}/{case.workers}/{case.seed}")
        await _fill(region, case.workers)
        await curio.sleep(rng.random())
        tasks = sum(len(worker.tasks) for worker in region.workers.values())
        region.clear_orders()
        await region.kill_all()
        affected = _inject_differences(region, case.scenario, rng)
        unplanned = sum(len(w.tasks) for w in region.workers.values()) - tasks
        ended_at, outage_s = region.clock.now(), rng.uniform(0.5, 3.5)
        calls, puts = len(region.state.received_requests), region.state.applied_change_count
        await curio.sleep(outage_s)
        await region.start_all(rng.uniform(0.0, 0.5))
        times = await _measure_times(region, ended_at)
        orders = [
            (at, o["verb"]) for w in region.workers.values() for at, _, o in w.received_commands
        ]
        orders_by_second = Counter(int(at) for at, _ in orders)
        tasks_left = sum(len(worker.tasks) for worker in region.workers.values())
        results.append(
            Sample(
                *case,
                round(outage_s, 2),
                *times,
                dict(Counter(verb for _, verb in orders)),
                sum(
                    len(w.received_commands)
                    for w in region.workers.values()
                    if w.machine not in affected
                ),
                max(orders_by_second.values(), default=0),
                max(0, tasks + unplanned - tasks_left),
                len(region.state.received_requests) - calls,
                region.state.applied_change_count - puts,
            )
        )

    settings = recovery_settings() if case.with_recovery else None
    simulate_recovery(scenario, settings, expected=lambda _: True)
    return results[0]


class FirstResponseTimes(NamedTuple):
    """The times of the first responses, in seconds since the controllers stopped; None if never."""

    first_worker_s: float | None
    all_workers_s: float | None
    first_user_s: float | None


async def _measure_times(region: RecoveryRegion, ended_at: float) -> FirstResponseTimes:
    first_worker: float | None = None
    all_workers: float | None = None
    first_user: float | None = None
    job = min(region.checker.jobs)
    while region.clock.now() - ended_at < OBSERVED_S:
        await curio.sleep(POLL_INTERVAL_S)
        elapsed_s = round(region.clock.now() - ended_at, 2)
        connected = [w for w in region.workers.values() if not w.heartbeats_lost]
        responded = sum(
            worker.lease_renewed_at > ended_at + POLL_INTERVAL_S for worker in connected
        )
        if first_worker is None and responded:
            first_worker = elapsed_s
        if all_workers is None and responded == len(connected):
            all_workers = elapsed_s
        if first_user is None and await region.query_job("node-0", job) == OK:
            first_user = elapsed_s
    return FirstResponseTimes(first_worker, all_workers, first_user)


TIMES = ("first_worker_s", "all_workers_s", "first_user_s")
COUNTS = ("orders_to_healthy", "peak_orders_per_s", "tasks_lost", "state_reads", "state_writes")


def _groups(samples: list[dict[str, Any]]) -> dict[tuple[str, int, bool], list[dict[str, Any]]]:
    groups: dict[tuple[str, int, bool], list[dict[str, Any]]] = {}
    for sample in samples:
        key = sample["scenario"], sample["workers"], sample["with_recovery"]
        groups.setdefault(key, []).append(sample)
    return groups


def _table(samples: list[dict[str, Any]], scenario: str) -> Table:
    rows = []
    for (name, workers, with_recovery), group in _groups(samples).items():
        if name != scenario:
            continue
        verbs = Counter[str]()
        for sample in group:
            verbs.update(sample["orders"])
        mean = ", ".join(f"{verb} {number / len(group):.1f}" for verb, number in verbs.items())
        cells = [summary_cell(group, field) for field in (*TIMES, *COUNTS)]
        rows.append([workers, "yes" if with_recovery else "no", len(group), mean or "0", *cells])
    headings = ["workers", "recovery", "seeds", "orders (mean)", *TIMES, *COUNTS]
    return Table(scenario, "Median / 95th percentile / largest.", headings, rows, f"{scenario}.svg")


def _plot(samples: list[dict[str, Any]], scenario: str, path: Path) -> None:
    with plot(path) as axis:
        for with_recovery in (False, True):
            points = [
                s
                for s in samples
                if (s["scenario"], s["with_recovery"]) == (scenario, with_recovery)
            ]
            axis.plot(
                [s["workers"] for s in points],
                [sum(s["orders"].values()) for s in points],
                "x" if with_recovery else "o",
                label="with recovery" if with_recovery else "without",
                fillstyle="none",
            )
        axis.set_xscale("log")
        axis.set_yscale("symlog")
        axis.set_xlabel("workers")
        axis.set_ylabel(f"orders in {OBSERVED_S:g} s")
        axis.legend()


def write_report(figures: dict[str, Any], out: Path) -> None:
    """Write the figures, the plots and the page."""
    out.mkdir(parents=True, exist_ok=True)
    (out / "figures.json").write_text(json.dumps(figures, indent=1) + "\n")
    samples = figures["samples"]
    for scenario in SCENARIOS:
        _plot(samples, scenario, out / f"{scenario}.svg")
    text = (
        f"Three controllers end at once and return within 0.5 to 5 s; {OBSERVED_S:g} s from the "
        f"end. Differing: {AFFECTED_SHARE:.0%} of the workers silent, {AFFECTED_SHARE:.0%} with "
        f"a task never recorded. Older: the state service has lost {LOST_SHARE:.0%} of the jobs."
    )
    tables = [_table(samples, scenario) for scenario in SCENARIOS]
    title = "Restart after all controllers end, measured"
    write_page(out / "index.html", title, text, "tests.measure_recovery", tables)


def main() -> None:
    """Run all measurements and write the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--sizes", default="100:20,1000:20,4000:2", help="pairs of worker count and number of seeds"
    )
    parser.add_argument("--workers", type=int, default=4, help="number of parallel processes")
    parser.add_argument("--out", default="docs/recovery-results")
    args = parser.parse_args()
    sizes = [tuple(map(int, size.split(":"))) for size in args.sizes.split(",")]
    cases = [
        Case(scenario, size, with_recovery, seed)
        for size, seeds in sizes
        for scenario in SCENARIOS
        for with_recovery in (False, True)
        for seed in range(seeds)
    ]
    with ProcessPoolExecutor(args.workers) as pool:
        samples = [sample._asdict() for sample in pool.map(measure, cases)]
    write_report({"samples": samples}, Path(args.out))


if __name__ == "__main__":
    main()
