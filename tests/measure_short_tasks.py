"""Measure a stream of short tasks: `python -m tests.measure_short_tasks`.

One-task jobs come several times a second to a simulated region while nothing else happens, or while
the responses to a share of the direct calls are lost. Prints how soon planned tasks start, how soon
ended ones are forgotten, how large the workers' reports are, and how many raises of a shard's token
and state changes the stream takes. Figures are of virtual time: the processor time of the
controllers is not charged.
"""

import argparse
import logging
import random
from collections import Counter
from dataclasses import dataclass, field
from statistics import mean
from typing import Any
from unittest.mock import patch

import curio

from crossmill.cluster import keys
from crossmill.net.client import NoResponseError
from crossmill.settings import Settings

from .simulated_region import Region, simulate
from .simulated_worker import Worker, WorkerLink

TEAM = "blue"
SETTLING_S = 25.0
SOON_S = 1.0
# no idle machine is returned: most have nothing to do
NEVER_IDLE_S = 1e9
FIRST_JOB = 700000

Attempt = tuple[str, int]


class _AcquisitionCounter(logging.Handler):
    """Counts the log lines on acquisitions of shards, each of which raises a token."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Count the record if it is on an acquisition."""
        self.count += record.getMessage().startswith("shard acquired")


@dataclass
class Stream:
    """What was observed of the stream; times are in seconds, of the region's clock."""

    planned_at: dict[Attempt, float] = field(default_factory=dict)
    raises: int = 0
    state_changes: int = 0
    reports: Counter[int] = field(default_factory=Counter)
    report_bytes: int = 0
    workers: list[Worker] = field(default_factory=list)

    def first_commands(self, kind: str) -> dict[Attempt, float]:
        """Return when each attempt's first command of this kind was executed."""
        times: dict[Attempt, float] = {}
        for worker in self.workers:
            for at, _, command in worker.received_commands:
                if command["verb"] == kind:
                    times.setdefault((command["sack"], command["turn"]), at)
        return times


def _observe_plans(region: Region, stream: Stream) -> None:
    write = region.state._write  # noqa: SLF001 - observed, not changed

    def observed_write(key: str, value: Any, lease: int | None) -> None:
        if key.startswith(keys.PLAN):
            job = key[len(keys.PLAN) :].rpartition("/")[0]
            for row in value["rows"]:
                stream.planned_at.setdefault((f"{job}/{row[0]}", row[1]), region.clock.now())
        write(key, value, lease)

    region.state._write = observed_write  # type: ignore[method-assign]  # noqa: SLF001


def _observe_reports(stream: Stream) -> None:
    for worker in stream.workers:

        def observed_report(worker: Worker = worker) -> bytes:
            body = Worker._report(worker)  # noqa: SLF001 - observed, not changed
            stream.reports[len(worker.tasks)] += 1
            stream.report_bytes += len(body)
            return body

        worker._report = observed_report  # type: ignore[method-assign]  # noqa: SLF001


class _LossyWorkerLink(WorkerLink):
    """A link that loses the responses to a share of the direct calls."""

    rng = random.Random(0)
    lost_share = 0.0

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Deliver commands; raise NoResponseError for the share whose responses are lost."""
        response = await super().request(method, path, body, timeout_s)
        if self.rng.random() < self.lost_share:
            await curio.sleep(timeout_s)
            raise NoResponseError(path)
        return response


def _connect_through_lossy_links(region: Region, lost_share: float) -> None:
    _LossyWorkerLink.lost_share = lost_share
    for node in region.nodes.values():
        node.command_sender.connect = lambda endpoint: _LossyWorkerLink(
            region._worker_at(endpoint.port)  # noqa: SLF001 - as the region connects them
        )


async def _add_known_worker(region: Region, machine: str, shard: int) -> None:
    """Add a machine that is recorded as up, so that its first heartbeat leads to no write."""
    value = {"type": "g4", "zone": "north", "spot": False, "shard": shard, "retiring": ""}
    value |= {"at": region.clock.wall_time(), "up": True}
    region.state.put(keys.machine(machine), value)
    await region.add_worker(machine, shard=shard, record=False)


def measure(
    machines: int, per_second: float, run_s: float, for_s: float, lost_share: float = 0.0
) -> Stream:
    """Return what was observed of a stream of one-task jobs."""
    stream = Stream()
    counter = _AcquisitionCounter()

    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        shard = region.settings.shard_of_team(TEAM)
        for number in range(machines):
            await _add_known_worker(region, f"n-{number}", shard)
        await curio.sleep(SETTLING_S)
        stream.workers = list(region.workers.values())
        _connect_through_lossy_links(region, lost_share)
        _observe_plans(region, stream)
        _observe_reports(stream)
        logging.getLogger("crossmill").addHandler(counter)
        changes_before = region.state.applied_change_count
        for number in range(int(for_s * per_second)):
            label = region.LABELS[number % len(region.LABELS)]
            job = f"wk-{FIRST_JOB + number}"
            await region.submit(label, job, run_s, crew=TEAM, sacks=1)
            await curio.sleep(1 / per_second)
        stream.raises = counter.count
        stream.state_changes = region.state.applied_change_count - changes_before

    logger = logging.getLogger("crossmill")
    logger.setLevel(logging.INFO)
    logger.propagate = False
    try:
        with patch.object(Settings, "idle_machine_timeout_s", NEVER_IDLE_S):
            simulate(scenario)
    finally:
        logger.removeHandler(counter)
    return stream


def _percentile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))] if values else float("nan")


def print_figures(stream: Stream, run_s: float, for_s: float) -> None:
    """Print the figures of a stream in one line."""
    starts, forgets = stream.first_commands("start"), stream.first_commands("reap")
    waits = [at - stream.planned_at[key] for key, at in starts.items() if key in stream.planned_at]
    kept = [at - starts[key] - run_s for key, at in forgets.items() if key in starts]
    reports = stream.reports.total()
    print(
        f"starts={len(starts)} within_1s={mean(w <= SOON_S for w in waits):.4f} "
        f"start_p50_s={_percentile(waits, 0.5):.3f} start_p99_s={_percentile(waits, 0.99):.3f} "
        f"forgets={len(forgets)} forget_p50_s={_percentile(kept, 0.5):.2f} "
        f"forget_p99_s={_percentile(kept, 0.99):.2f} "
        f"tasks_per_report={sum(n * c for n, c in stream.reports.items()) / reports:.2f} "
        f"most_tasks={max(stream.reports)} bytes_per_report={stream.report_bytes / reports:.0f} "
        f"reports={reports} raises_per_min={60 * stream.raises / for_s:.1f} "
        f"state_changes_per_min={60 * stream.state_changes / for_s:.0f}",
        flush=True,
    )


def main() -> None:
    """Print the figures of one stream."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, default=6)
    parser.add_argument("--per-second", type=float, default=4.0)
    parser.add_argument("--run-s", type=float, default=2.0)
    parser.add_argument("--for-s", type=float, default=120.0)
    parser.add_argument("--lost-share", type=float, default=0.0, help="of responses to calls")
    arguments = parser.parse_args()
    stream = measure(
        arguments.machines,
        arguments.per_second,
        arguments.run_s,
        arguments.for_s,
        arguments.lost_share,
    )
    print_figures(stream, arguments.run_s, arguments.for_s)


if __name__ == "__main__":
    main()
