"""Behaviour trace: every message of the controllers of simulated regions, in order and with its
virtual time, as a digest per scenario, seed and controller. Two commits whose digests agree have
taken the same decisions in these scenarios.

    python -m tests.behavior_trace --check tests/data/behavior_trace.json
    python -m tests.behavior_trace --text DIR
    python -m tests.behavior_trace --difference DIR DIR

Troubles are drawn from the seed. Only tests/trace_adapter.py knows the code under test.
"""

import argparse
import hashlib
import os
import random
import sys
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import zip_longest
from pathlib import Path
from typing import NamedTuple

import curio
import orjson

from .trace_adapter import (
    CONTROLLERS,
    JobRequest,
    Message,
    SimulatedMultihostRegion,
    SimulatedRecoveryRegion,
    SimulatedRegion,
    play_multihost,
    play_ordinary,
    play_recovery,
)

HASH_SEED = "0"
DIGEST_CHARACTERS = 16
ZONES = ("north", "south")
TEAMS = ("red", "blue", "green")
SHARDS = 3
USER_PATIENCE = 40
SETTLE_S = 30.0
APPROVAL_ROUNDS = 30
QUICK_JOBS = 8
QUICK_SPAN_S = 15.0


# -- recording ---------------------------------------------------------------------------


def _text(body: bytes) -> str:
    return body.decode("utf-8", "backslashreplace").replace("\n", "\\n") or "-"


def message_line(message: Message) -> str:
    """The message as a line of the trace."""
    answered = "-" if message.answered_at is None else f"{message.answered_at:.6f}"
    parts = (
        f"{message.time:.6f}",
        message.direction,
        message.counterpart,
        message.method,
        message.path,
        _text(message.body),
        str(message.status),
        _text(message.answer),
        answered,
    )
    return "\t".join(parts)


class TraceRecorder:
    """Keeps the messages of each controller in the order of their requests."""

    def __init__(self) -> None:
        self.messages: dict[str, list[Message]] = {label: [] for label in CONTROLLERS}

    def add(self, controller: str, message: Message) -> None:
        """Take a message; its answer is filled in later."""
        self.messages[controller].append(message)

    def lines(self, controller: str) -> list[str]:
        """The controller's trace."""
        return [message_line(message) for message in self.messages[controller]]


class Entry(NamedTuple):
    """A controller's trace of one scenario and seed, in short."""

    digest: str
    messages: int


class TraceKey(NamedTuple):
    """What a trace is of."""

    scenario: str
    seed: int
    controller: str

    def __str__(self) -> str:
        return f"{self.scenario}-{self.seed}-{self.controller}"


def digest(lines: Sequence[str]) -> str:
    """The shortened digest of a trace."""
    text = "\n".join(lines).encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARACTERS]


# -- users -------------------------------------------------------------------------------


@dataclass
class Users:
    """Users who submit, look at and cancel jobs at controllers drawn by lot."""

    region: SimulatedRegion
    draw: random.Random
    jobs: int
    span_s: float
    accepted: list[str] = field(default_factory=list)

    def _job(self, number: int) -> JobRequest:
        draw = self.draw
        needs = draw.sample(self.accepted[-6:], min(len(self.accepted[-6:]), number % 3))
        shape = draw.choice(["plain", "plain", "gang", "one zone", "spread", "service"])
        return JobRequest(
            name=f"wk-{400000 + number}",
            run_s=None if shape == "service" else draw.choice([1.0, 3.0, 8.0, 25.0]),
            tasks=draw.choice([2, 3]) if shape in ("gang", "spread") else draw.choice([1, 2, 5]),
            team=TEAMS[number % len(TEAMS)],
            priority=draw.choice(["idle", "idle", "standard", "high", "production"]),
            gpus=draw.choice([0.0, 1.0, 1.0, 2.0, 4.0]),
            needs=tuple(needs) if draw.random() < 0.5 else (),
            is_gang=shape == "gang",
            one_zone=shape == "one zone",
            spread=shape == "spread",
            may_use_spot=draw.random() < 0.4,
        )

    async def run(self) -> None:
        """Submit all jobs over the span."""
        await curio.spawn(self._look, daemon=True)
        for number in range(self.jobs):
            job = self._job(number)
            if job.needs:
                self.region.counts["jobs in pipelines"] += 1
            for name, is_so in (
                ("gangs", job.is_gang),
                ("one-zone jobs", job.one_zone),
                ("spread jobs", job.spread),
                ("jobs for spot machines", job.may_use_spot),
            ):
                self.region.counts[name] += is_so
            await curio.spawn(self._one, job, daemon=True)
            await curio.sleep(self.draw.uniform(0.2, 1.8) * self.span_s / self.jobs)

    async def _one(self, job: JobRequest) -> None:
        is_cancelled, wait_s = self.draw.random() < 0.25, self.draw.choice([0.0, 1.0, 4.0, 12.0])
        if not await self._until_answered(lambda label: self.region.submit(label, job)):
            return
        self.accepted.append(job.name)
        if is_cancelled:
            await curio.sleep(wait_s)
            done = await self._until_answered(lambda label: self.region.cancel(label, job.name))
            self.region.counts["cancellations answered"] += done

    async def _until_answered(self, ask: Callable[[str], Awaitable[int]]) -> bool:
        for _ in range(USER_PATIENCE):
            living = self.region.living()
            if living and await ask(self.draw.choice(living)) in (200, 201):
                return True
            await curio.sleep(1.0)
        return False

    async def _look(self) -> None:
        while True:
            living = self.region.living()
            if living and self.accepted:
                job = self.draw.choice(self.accepted[-30:])
                await self.region.show(self.draw.choice(living), job)
            await curio.sleep(0.5)


# -- troubles of ordinary regions --------------------------------------------------------


class Troubles:
    """Every kind of trouble once, in an order and with durations drawn by lot."""

    def __init__(self, region: SimulatedRegion, draw: random.Random) -> None:
        self.region, self.draw = region, draw

    async def run(self) -> None:
        """Play them, with pauses between."""
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
            self.region.counts[f"trouble: {name}"] += 1
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
        self.region.lose_answers(self.draw.choice([2, 3, 5]), True, 10.0)
        await curio.sleep(10.0)

    async def _transactions_late(self) -> None:
        self.region.lose_answers(self.draw.choice([2, 3, 5]), False, 10.0)
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


# -- scenarios ---------------------------------------------------------------------------


async def _add_workers(region: SimulatedRegion, each: int) -> None:
    for number in range(each * SHARDS):
        zone, is_spot = ZONES[number % len(ZONES)], number % 4 == 3
        await region.add_worker(f"n-9{number:05d}", zone, number % SHARDS, is_spot)


async def _under_trouble(region: SimulatedRegion, seed: int, jobs: int) -> None:
    users = Users(region, random.Random(seed + 1), jobs, 90.0)
    submitting = await curio.spawn(users.run)
    await Troubles(region, random.Random(seed)).run()
    await submitting.join()
    region.heal()
    await curio.sleep(SETTLE_S)
    _count_end(region)


def _count_end(region: SimulatedRegion) -> None:
    for verb, number in region.orders().items():
        region.counts[f"orders to workers: {verb}"] += number
    region.counts["complaints of the region's judge"] += len(region.broken_rules())


def play_rented(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """A region whose leader rents machines, with all ordinary troubles."""

    async def story(region: SimulatedRegion) -> None:
        await region.begin()
        await _add_workers(region, 1)
        await region.begin_leading()
        await _under_trouble(region, seed, 60)

    play_ordinary(recorder, counts, story)


def play_crowded(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """A region of few machines that nobody adds to, so that lesser work is preempted."""

    async def story(region: SimulatedRegion) -> None:
        await region.begin()
        await _add_workers(region, 3)
        await _under_trouble(region, seed, 70)

    play_ordinary(recorder, counts, story)


def play_quick(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """A short region without troubles but one controller's end, for tests of the trace itself."""

    async def story(region: SimulatedRegion) -> None:
        await region.begin()
        await _add_workers(region, 2)
        users = Users(region, random.Random(seed), QUICK_JOBS, QUICK_SPAN_S)
        submitting = await curio.spawn(users.run)
        await curio.sleep(QUICK_SPAN_S / 2)
        await region.end(CONTROLLERS[1])
        await submitting.join()

    play_ordinary(recorder, counts, story)


def play_replicas(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """Multi-machine replicas under troubles, with notices and a set of higher priority."""

    async def story(region: SimulatedMultihostRegion) -> None:
        draw = random.Random(seed)
        kinds = await region.begin_pool(seed)
        await curio.spawn(_look_at_sets, region, daemon=True)
        await curio.sleep(15.0)
        order = [*kinds, "spot notice", "owner frozen", "zone cut", "urgent set"]
        for name in draw.sample(order, len(order)):
            counts[f"replica trouble: {name}"] += 1
            if name in kinds:
                await kinds[name]()
            else:
                await _replica_trouble(region, draw, name)
            await curio.sleep(draw.uniform(0.0, 6.0))
        await region.mend()
        await curio.sleep(SETTLE_S)
        counts["replica generations at the end"] += region.generations()
        counts["complaints of the region's judge"] += len(region.broken_rules())

    play_multihost(recorder, counts, story)


async def _look_at_sets(region: SimulatedMultihostRegion) -> None:
    while True:
        await region.look()
        await curio.sleep(2.0)


async def _replica_trouble(
    region: SimulatedMultihostRegion, draw: random.Random, name: str
) -> None:
    if name == "spot notice":
        machines = region.member_machines()
        if machines:
            region.give_agent_notice(draw.choice(machines), 30.0)
    elif name == "owner frozen":
        owner = region.pool_owner()
        if owner is not None:
            region.freeze(owner, draw.choice([2.0, 8.0, 20.0]))
    elif name == "zone cut":
        zone = draw.choice(ZONES)
        region.lose_zone_heartbeats(zone, True)
        await curio.sleep(draw.uniform(4.0, 20.0))
        region.lose_zone_heartbeats(zone, False)
    else:
        while await region.declare("urgent", 4, 2, 9) not in (200, 201):
            await curio.sleep(1.0)


def play_recovered(recorder: TraceRecorder, counts: Counter[str], seed: int) -> None:
    """Controllers end together while work goes on, once with the state restored from a copy."""

    async def story(region: SimulatedRecoveryRegion) -> None:
        draw = random.Random(seed)
        await region.begin()
        await _add_workers(region, 4)
        users = Users(region, random.Random(seed + 1), 40, 70.0)
        submitting = await curio.spawn(users.run)
        await curio.sleep(25.0)
        copy = region.remember_state()
        await _restart_all(region, draw)
        await curio.sleep(25.0)
        silent = draw.choice(region.workers())
        region.lose_heartbeats(silent, True)
        for label in CONTROLLERS:
            await region.end(label)
        await region.restore_state(copy)
        await _restart_all(region, draw)
        await _approve_until_steady(region)
        region.lose_heartbeats(silent, False)
        await submitting.join()
        region.heal()
        await curio.sleep(SETTLE_S)
        _count_end(region)

    play_recovery(recorder, counts, story)


async def _restart_all(region: SimulatedRecoveryRegion, draw: random.Random) -> None:
    for label in CONTROLLERS:
        await region.end(label)
    await curio.sleep(draw.uniform(1.0, 5.0))
    for label in CONTROLLERS:
        await region.start(label)
        await curio.sleep(draw.uniform(0.0, 1.0))
    region.counts["restarts of all controllers"] += 1


async def _approve_until_steady(region: SimulatedRecoveryRegion) -> None:
    for _ in range(APPROVAL_ROUNDS):
        await curio.sleep(2.0)
        for label in region.living():
            region.counts["approvals of held back differences"] += await region.approve_all(label)
        if region.is_steady():
            region.counts["recoveries that became steady"] += 1
            return


class Scenario(NamedTuple):
    """A story that is drawn from a seed."""

    play: Callable[[TraceRecorder, Counter[str], int], None]
    seeds: tuple[int, ...]


SCENARIOS = {
    "rented": Scenario(play_rented, (0, 1, 2, 3)),
    "crowded": Scenario(play_crowded, (0, 1, 2, 3)),
    "replicas": Scenario(play_replicas, (0, 1, 2)),
    "recovery": Scenario(play_recovered, (0, 1, 2)),
}


# -- comparing ---------------------------------------------------------------------------


class Difference(NamedTuple):
    """The first line in which two traces of one controller differ; None where one has ended."""

    file: str
    line: int
    before: str | None
    after: str | None

    def time(self) -> float:
        """The earlier of the two lines' times."""
        return min(float(t.partition("\t")[0]) for t in (self.before, self.after) if t is not None)


def first_difference_of(
    file: str, before: Sequence[str], after: Sequence[str]
) -> Difference | None:
    """The first line in which two traces differ."""
    for number, (one, other) in enumerate(zip_longest(before, after), start=1):
        if one != other:
            return Difference(file, number, one, other)
    return None


def _lines(path: Path) -> list[str]:
    return path.read_text().splitlines() if path.exists() else []


def first_difference(before: Path, after: Path) -> Difference | None:
    """The earliest difference, by virtual time, of the first scenario and seed that differ."""
    names = sorted({path.name for top in (before, after) for path in top.glob("*.txt")})
    found: dict[str, list[Difference]] = {}
    for name in names:
        difference = first_difference_of(name, _lines(before / name), _lines(after / name))
        if difference is not None:
            run = "-".join(name.split("-")[:2])
            found.setdefault(run, []).append(difference)
    if not found:
        return None
    return min(found[min(found)], key=Difference.time)


def compare(stored: dict[str, Entry], taken: dict[str, Entry]) -> Iterator[str]:
    """A sentence for each digest that was taken and is not the stored one."""
    for key, entry in taken.items():
        if key not in stored:
            yield f"{key}: not stored"
        elif stored[key] != entry:
            yield f"{key}: stored {stored[key]}, taken {entry}"


# -- the command -------------------------------------------------------------------------


def take(scenario: str, seed: int, counts: Counter[str]) -> dict[TraceKey, list[str]]:
    """The lines of every controller's trace."""
    recorder = TraceRecorder()
    SCENARIOS[scenario].play(recorder, counts, seed)
    return {TraceKey(scenario, seed, label): recorder.lines(label) for label in CONTROLLERS}


def _arguments() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tests.behavior_trace", description=__doc__)
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument("--seeds", type=int, nargs="+", help="in place of each scenario's own")
    parser.add_argument("--scenario", choices=SCENARIOS, nargs="+", default=list(SCENARIOS))
    parser.add_argument("--text", type=Path, metavar="DIR", help="write the full traces")
    parser.add_argument("--check", type=Path, metavar="FILE", help="compare with stored digests")
    parser.add_argument("--write", type=Path, metavar="FILE", help="store the digests")
    parser.add_argument("--counts", action="store_true", help="print what occurred")
    parser.add_argument(
        "--difference", type=Path, nargs=2, metavar="DIR", help="the first one of two --text DIRs"
    )
    return parser


def _print_difference(before: Path, after: Path) -> int:
    difference = first_difference(before, after)
    if difference is None:
        print("no difference")
        return 0
    print(f"{difference.file}, line {difference.line}")
    print(f"< {difference.before}")
    print(f"> {difference.after}")
    return 1


def _read(path: Path) -> dict[str, Entry]:
    rows = orjson.loads(path.read_bytes())
    return {key: Entry(row["digest"], row["messages"]) for key, row in rows.items()}


def _write(path: Path, taken: dict[str, Entry]) -> None:
    rows = {key: entry._asdict() for key, entry in taken.items()}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))


def _write_text(top: Path, key: TraceKey, lines: Sequence[str]) -> None:
    top.mkdir(parents=True, exist_ok=True)
    (top / f"{key}.txt").write_text("\n".join(lines) + "\n")


def _take_all(args: argparse.Namespace, counts: Counter[str]) -> dict[str, Entry]:
    taken: dict[str, Entry] = {}
    for scenario in args.scenario:
        for seed in args.seeds or SCENARIOS[scenario].seeds:
            for key, lines in take(scenario, seed, counts).items():
                entry = taken[str(key)] = Entry(digest(lines), len(lines))
                print(f"{key} {entry.digest} {entry.messages}", flush=True)
                if args.text is not None:
                    _write_text(args.text, key, lines)
    return taken


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; the exit code."""
    args = _arguments().parse_args(argv)
    if args.difference is not None:
        return _print_difference(*args.difference)
    counts: Counter[str] = Counter()
    taken = _take_all(args, counts)
    if args.counts:
        for name, number in sorted(counts.items()):
            print(f"{number:8d} {name}")
    if args.write is not None:
        _write(args.write, taken)
    differences = list(compare(_read(args.check), taken)) if args.check is not None else []
    for difference in differences:
        print(f"DIFFERS {difference}")
    return 1 if differences else 0


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        os.environ["PYTHONHASHSEED"] = HASH_SEED
        os.execv(sys.executable, [sys.executable, "-m", "tests.behavior_trace", *sys.argv[1:]])
    sys.exit(main())
