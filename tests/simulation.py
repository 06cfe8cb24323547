"""A small region under virtual time: real loops of several controllers, the stand-ins, workers and
users, and a judge who knows PROTOCOL's rules. Nothing here waits in real time: when every task
sleeps, the clock jumps to the next that wakes, so a story says the same on every machine."""

import logging
import selectors
import types
from collections.abc import Awaitable, Callable, Coroutine, Generator
from dataclasses import dataclass, field
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import curio
import curio.kernel
import orjson

from crossmill.cluster import keys
from crossmill.net.client import Unanswered, Unreached
from crossmill.net.server import Request, Response
from crossmill.settings import Peer
from crossmill.wire import peers
from crossmill.wire.checks import load_object
from crossmill.wire.workers import answer_body, parse_report

from .harness import Node, seed
from .standins import CloudService, FakeClock, StateService, beat, submission

HOP_S = 0.002


class VirtualTime(selectors.BaseSelector):
    """What curio's kernel asks for the time and waits with."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self._files: dict[Any, selectors.SelectorKey] = {}

    def monotonic(self) -> float:
        return self._clock.time

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        self._files[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self._files[fileobj]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._files.pop(fileobj)

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        return self._files[fileobj]

    def get_map(self) -> dict[Any, selectors.SelectorKey]:
        return self._files

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "every task waits for ever"
        # a little even when something is ready: a wait too short for the clock to show it would
        # otherwise never end
        self._clock.time += max(1e-7, timeout)
        return []


@types.coroutine
def standing_still(
    part: Coroutine[Any, Any, None], until: Callable[[], float], clock: FakeClock
) -> Generator[Any, Any, None]:
    """Runs a controller's part so that it can stand still between any two awaits: what it waited
    for has come, its clock runs on, and it goes on only then."""
    step: Callable[[], Any] = lambda: part.send(None)  # noqa: E731
    while True:
        try:
            trap = step()
        except StopIteration:
            return
        try:
            value = yield trap
        except GeneratorExit:
            part.close()
            raise
        except BaseException as exc:
            step = partial(part.throw, exc)
            continue
        while clock.now() < until():
            yield from curio.sleep(until() - clock.now()).__await__()
        step = partial(part.send, value)


class Crashes(logging.Handler):
    """A part that fails would otherwise only be logged."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.seen.append(record.getMessage())


class StateLine:
    """A controller's line to the state service: refused alone, cut, slow or late as scripted."""

    def __init__(self, region: "Region", label: str) -> None:
        self._region = region
        self._label = label

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        region = self._region
        until = region.clock.now() + timeout_s
        await curio.sleep(HOP_S + region.slow_s)
        if self._label in region.lost:
            await curio.sleep(max(0.0, until - region.clock.now()))
            raise Unanswered(path)
        refuses = region.refused.get(self._label)
        if region.state.down or (refuses is not None and refuses(method, path)):
            return 503, b"{}"
        fate = region.fate(self._label, method, path)
        if fate is not None:
            late_s, at_once = fate
            if at_once:
                await region.state.request(method, path, body)
            else:
                await curio.spawn(self._late, late_s, method, path, body, daemon=True)
            await curio.sleep(max(0.0, until - region.clock.now()))
            raise Unanswered(path)
        if path.startswith("/changes"):
            return await self._watch(method, path, body)
        status, data = await region.state.request(method, path, body)
        region.touch(method, path, body, status, data)
        slow = path == "/txn" and self._label in region.answer_s
        await curio.sleep(region.answer_s[self._label] if slow else HOP_S)
        return status, data

    async def _late(self, late_s: float, method: str, path: str, body: bytes) -> None:
        await curio.sleep(late_s)
        while self._region.state.down:
            await curio.sleep(0.1)
        await self._region.state.request(method, path, body)
        await self._region.ring()

    async def _watch(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        region = self._region
        query = parse_qs(urlsplit(path).query)
        end = region.clock.now() + int(query.get("holdMs", ["0"])[0]) / 1000
        while True:
            shut = region.state.down or self._label in region.refused or self._label in region.lost
            if not shut:
                status, data = await region.state.request(method, path, body)
                if status != 200 or orjson.loads(data)["log"] or region.clock.now() >= end:
                    await curio.sleep(HOP_S)
                    return status, data
            await curio.ignore_after(max(0.05, end - region.clock.now()), region.bell.wait)


class PeerRoad:
    """The line from one controller to another."""

    def __init__(self, region: "Region", source: str, label: str) -> None:
        self._region, self._source, self._label = region, source, label

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        region = self._region
        await curio.sleep(HOP_S)
        node = region.nodes.get(self._label)
        if node is None or {self._source, self._label} & region.apart:
            raise Unreached(self._label)
        if region.stands_still(self._label):
            await curio.sleep(timeout_s)
            raise Unanswered(path)
        asked = path in (peers.QUIET_PATH, peers.ENDING_PATH)
        handler = node.deputies if asked else node.promises
        response = handler.handle(Request(method, path, body))
        await curio.sleep(HOP_S)
        return response.status, response.body


class WorkerRoad:
    """The line from a controller to a worker's own address."""

    def __init__(self, worker: "Worker") -> None:
        self._worker = worker

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        worker = self._worker
        await curio.sleep(HOP_S)
        if worker.deaf or worker.hung:
            if worker.hung:
                # carried out when the machine goes on, if token and session still match
                worker.held.append(load_object(body))
            await curio.sleep(timeout_s)
            raise Unanswered(path)
        return worker.command(load_object(body))


@dataclass
class Task:
    attempt: int
    state: str
    since: float
    cause: str = ""


class Worker:
    """A machine as PROTOCOL describes it; images are there at once."""

    def __init__(self, region: "Region", machine: str, number: int, zone: str) -> None:
        self.region, self.machine, self.number, self.zone = region, machine, number, zone
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.answered = region.clock.now()
        self.deaf: bool = False
        self.mute: bool = False
        self.hung: bool = False
        self.gone: bool = False
        self.target = 0
        self.copies: list[bytes] = []
        self.held: list[dict[str, Any]] = []
        # the cloud will take the machine away; nothing is placed on it meanwhile
        self.notice_s: float | None = None
        # the orders that it got: when, in which session, what
        self.orders: list[tuple[float, int, dict[str, Any]]] = []

    def _report(self) -> bytes:
        self.seq += 1
        tasks = []
        for (job, index), task in self.tasks.items():
            row = {"sack": f"{job}/{index}", "turn": task.attempt, "stage": task.state}
            if task.cause:
                row["cause"] = task.cause
            tasks.append(row)
        report = load_object(beat(self.machine, self.session, self.seq, self.token, *tasks))
        address = f"127.0.0.1:{20000 + self.number}"
        report.update(address=address, yard=self.zone, recallS=self.notice_s)
        return orjson.dumps(report)

    def _tick(self) -> None:
        now, judge = self.region.clock.now(), self.region.judge
        if now - self.answered > self.region.lease_s:
            self.session += 1
            self.tasks.clear()
            self.answered = now
        for (job, _), task in self.tasks.items():
            run_s = judge.jobs[job].run_s
            if task.state == "running" and run_s is not None and now - task.since >= run_s:
                task.state, task.cause = "exited", "done"

    async def run(self) -> None:
        labels = list(self.region.lines)
        self.target = self.number % len(labels)
        while not self.gone:
            if self.hung:
                await curio.sleep(0.1)
                continue
            self._tick()
            while self.held:
                self.command(self.held.pop(0))
            wait_s = self.region.report_s
            label = labels[self.target]
            answer = await self._call(label)
            if answer is None or answer[0] != 200:
                named = str(answer[1].get("foreman")) if answer is not None else ""
                moves = named in labels and named != label
                self.target = labels.index(named) if moves else (self.target + 1) % len(labels)
                wait_s = 0.2 if moves else 1.0
            await curio.sleep(wait_s)

    async def _call(self, label: str) -> tuple[int, dict[str, Any]] | None:
        body, sent, session = self._report(), self.region.clock.now(), self.session
        self.copies = [*self.copies[-40:], body]
        await curio.sleep(HOP_S)
        if self.region.stands_still(label) or label in self.region.dark:
            await curio.sleep(4.0)
            return None
        if self.mute or not self.region.reaches(self, label):
            return None
        status, data = self.region.deliver(body, label)
        await curio.sleep(HOP_S)
        if self.deaf or self.hung or not self.region.reaches(self, label):
            await curio.sleep(4.0)
            return None
        answer = load_object(data)
        self._tick()
        if status == 200 and session == self.session and answer["warrant"] >= self.token:
            self.token, self.answered = answer["warrant"], sent
            self._obey(answer["orders"])
        return status, answer

    def command(self, data: dict[str, Any]) -> tuple[int, bytes]:
        self._tick()
        if data["warrant"] < self.token or data["shift"] != self.session:
            return 409, self._report()
        self.token = data["warrant"]
        self._obey(data["orders"])
        return 200, self._report()

    def _obey(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            self.orders.append((self.region.clock.now(), self.session, order))
            job, _, index = order["sack"].rpartition("/")
            key, attempt = (job, int(index)), order["turn"]
            task = self.tasks.get(key)
            if order["verb"] == "start":
                if task is None:
                    self.tasks[key] = Task(attempt, "running", self.region.clock.now())
                    self.region.judge.started(self, key)
            elif task is not None and task.attempt == attempt:
                if order["verb"] == "reap" and task.state == "exited":
                    del self.tasks[key]
                elif order["verb"] == "kill" and task.state == "running":
                    task.state, task.cause = "exited", "halted"


@dataclass
class JobFacts:
    spec: dict[str, Any]
    run_s: float | None
    submitted: float
    accepted: float | None = None
    cancel_asked: bool = False
    cancelled: float | None = None
    done: float | None = None
    finished: set[int] = field(default_factory=set)

    def needs(self) -> list[str]:
        """The jobs that it names."""
        return list(self.spec.get("awaits") or [])


class Judge:
    """PROTOCOL's rules, looked at on every start and every half second. Of its own it asks that
    each task on a machine is in a durable plan: it is started from one, and its row goes only
    when it is proved over."""

    def __init__(self, region: "Region") -> None:
        self._region = region
        self.jobs: dict[str, JobFacts] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.late_starts = 0
        self.broken: list[str] = []

    def blame(self, what: str) -> None:
        self.broken.append(f"{self._region.clock.now():.2f} {what}")

    def started(self, worker: Worker, key: tuple[str, int]) -> None:
        now, facts = self._region.clock.now(), self.jobs[key[0]]
        self.starts.append((now, *key, worker.machine))
        self._judge_order(key[0])
        for other in self._region.workers.values():
            task = other.tasks.get(key)
            alive = other is not worker and other.answered + self._region.lease_s >= now
            if alive and task is not None and task.state != "exited":
                self.blame(f"ran_twice {key} {worker.machine} {other.machine}")
        if facts.cancelled is not None:
            self.late_starts += 1
        self.look()

    def _judge_order(self, job: str) -> None:
        """A task starts only when all jobs that its job needs are done."""
        self.look()
        for need in self.jobs[job].needs():
            before = self.jobs[need]
            if len(before.finished) < before.spec["sacks"]:
                self.blame(f"too_early {job} before {need}")

    def _before(self, job: str) -> set[str]:
        """All jobs that this one needs, directly or through others."""
        found: set[str] = set()
        pending = [job]
        while pending:
            for need in self.jobs[pending.pop()].needs():
                if need not in found:
                    found.add(need)
                    pending.append(need)
        return found

    def _judge_orphans(self, job: str, stage: str, asked_at: float) -> None:
        """A job is not called queued or running long after one before it was cancelled."""
        for before in self._before(job):
            told = self.jobs[before].cancelled
            late = told is not None and asked_at - told > self._region.cancel_s
            if late and stage in ("queued", "running"):
                self.blame(f"orphaned {job}: {stage}, {before} is cancelled")

    def look(self) -> None:
        now, region = self._region.clock.now(), self._region
        used: dict[str, float] = {}
        for worker in region.workers.values():
            if worker.gone or worker.answered + region.lease_s < now:
                continue
            for (job, index), task in worker.tasks.items():
                facts = self.jobs[job]
                if task.state == "exited":
                    if task.cause == "done":
                        facts.finished.add(index)
                    continue
                team = facts.spec["crew"]
                used[team] = used.get(team, 0.0) + facts.spec["cards"]
                over = facts.cancelled is not None and now - facts.cancelled > region.cancel_s
                if over:
                    self.blame(f"ran_cancelled {job}/{index} {worker.machine}")
                if facts.spec["yard"] not in (None, worker.zone):
                    self.blame(f"wrong_place {job}/{index} {worker.machine}")
        self._judge_unplanned()
        for node in region.nodes.values():
            for team in node.settings.teams:
                if 0 < team.gpus_max < used.get(team.name, 0.0):
                    self.blame(f"quota {team.name} {used[team.name]}")

    def _planned(self) -> set[tuple[str, int, int, str]]:
        """Job, task, attempt and machine of every durable row, copies of chunks included."""
        return {
            (name[len(keys.PLAN) :].rpartition("/")[0], row[0], row[1], row[2])
            for name, (value, _, _) in self._region.state.keys.items()
            if name.startswith(keys.PLAN)
            for row in value["rows"]
        }

    def _judge_unplanned(self) -> None:
        """A task that runs and that no plan holds is known to nobody."""
        region, now = self._region, self._region.clock.now()
        planned = self._planned()
        for worker in region.workers.values():
            if worker.gone or worker.answered + region.lease_s < now:
                continue
            for (job, index), task in worker.tasks.items():
                row = (job, index, task.attempt, worker.machine)
                if task.state != "exited" and row not in planned:
                    self.blame(f"orphaned {job}/{index} {worker.machine}: in no plan")

    def told(self, job: str, response: Response, asked_at: float) -> None:
        """An answer arrived. It is compared with what had been told before it was asked for."""
        facts, now = self.jobs[job], self._region.clock.now()
        if response.status == 404 and facts.accepted is not None and facts.accepted < asked_at:
            self.blame(f"forgotten {job}")
        if response.status in (400, 422) and facts.accepted is not None:
            self.blame(f"forgotten {job}: {response.status}")
        if response.status not in (200, 201):
            return
        stage = load_object(response.body)["stage"]
        facts.accepted = facts.accepted if facts.accepted is not None else now
        self._judge_orphans(job, stage, asked_at)
        if facts.cancelled is not None and stage != "withdrawn":
            self.blame(f"went_back {job}: {stage} after withdrawn")
        if facts.done is not None and stage != "done":
            self.blame(f"went_back {job}: {stage} after done")
        if stage == "withdrawn":
            asked = any(self.jobs[x].cancel_asked for x in (job, *self._before(job)))
            if not asked:
                self.blame(f"went_back {job}: nobody cancelled it")
            facts.cancelled = facts.cancelled if facts.cancelled is not None else now
        elif stage == "done":
            self.look()
            if len(facts.finished) < facts.spec["sacks"]:
                self.blame(f"not_done {job}: {len(facts.finished)}")
            facts.done = facts.done if facts.done is not None else now


class Region:
    LABELS = ("node-0", "node-1", "node-2")

    def __init__(self, clock: FakeClock, state: StateService | None = None) -> None:
        self.clock = clock
        self.state = state or StateService()
        self.cloud = CloudService()
        self.nodes: dict[str, Node] = {}
        self.lines = {label: StateLine(self, label) for label in self.LABELS}
        self._tasks: dict[str, list[curio.Task]] = {}
        self.workers: dict[str, Worker] = {}
        self.judge = Judge(self)
        self.bell = curio.Event()
        self.slow_s = 0.0
        # by label: how long the answers to its transactions are held up
        self.answer_s: dict[str, float] = {}
        # by label: which requests the state service refuses; who gets no answer from it at all;
        # who reaches no other controller
        self.refused: dict[str, Callable[[str, str], bool]] = {}
        self.lost: set[str] = set()
        # by label: until when its process stands still
        self.still_until: dict[str, float] = {}
        self.apart: set[str] = set()
        # controllers whose machine has no power: connections to it hang
        self.dark: set[str] = set()
        # what becomes of a transaction: (seconds late, carried out at once), or nothing odd
        self.fate: Callable[[str, str, str], tuple[float, bool] | None] = lambda *_: None
        self._ends: dict[int, tuple[float, float]] = {}
        self._leads = False
        self._begun = 0
        self.reaches: Callable[[Worker, str], bool] = lambda worker, label: label in self.nodes

    # -- the state service's leases and watches --------------------------------------

    def touch(self, method: str, path: str, body: bytes, status: int, data: bytes) -> None:
        if method == "POST" and path == "/holds" and status == 200:
            ttl_s = load_object(body)["ttlMs"] / 1000
            self._ends[load_object(data)["tenure"]] = (self.clock.now() + ttl_s, ttl_s)
        elif path.endswith("/renew") and status == 200:
            lease = int(path.split("/")[2])
            ttl_s = self._ends[lease][1]
            self._ends[lease] = (self.clock.now() + ttl_s, ttl_s)

    async def ring(self) -> None:
        await self.bell.set()
        self.bell.clear()

    async def _state_runs(self) -> None:
        revision = -1
        while True:
            now = self.clock.now()
            for lease, (end, ttl_s) in list(self._ends.items()):
                if self.state.down:
                    self._ends[lease] = (now + ttl_s, ttl_s)
                elif now > end:
                    del self._ends[lease]
                    self.state.end_lease(lease)
            if self.state.revision != revision and not self.state.down:
                revision = self.state.revision
                await self.ring()
            await curio.sleep(0.02)

    async def _judge_looks(self) -> None:
        while True:
            self.judge.look()
            await curio.sleep(0.5)

    # -- who takes part --------------------------------------------------------------

    async def begin(self, machines: int = 2, zone: str = "north") -> None:
        seed(self.state, self.clock, machines=0)
        await curio.spawn(self._state_runs, daemon=True)
        await curio.spawn(self._judge_looks, daemon=True)
        for label in self.LABELS:
            await self.start(label)
        self.report_s = self.nodes["node-0"].settings.report_s
        self.lease_s = self.nodes["node-0"].settings.lease_s
        self.cancel_s = self.nodes["node-0"].settings.cancel_s
        await self.until(lambda: len(self.owners()) == 3)
        for number in range(machines):
            await self.add_worker(f"n-{number}", zone)

    async def add_worker(
        self, machine: str, zone: str = "north", shard: int = 0, record: bool = True
    ) -> Worker:
        if record:
            value = {"type": "g4", "zone": zone, "spot": False, "shard": shard}
            value |= {"at": self.clock.wall(), "retiring": "", "up": False}
            self.state.put(keys.machine(machine), value)
        worker = self.workers[machine] = Worker(self, machine, len(self.workers), zone)
        await curio.spawn(worker.run, daemon=True)
        return worker

    async def start(self, label: str) -> Node:
        def connect(peer: Peer) -> PeerRoad:
            return PeerRoad(self, label, peer.label)

        self._begun += 1
        unique = f"process-{self._begun}"
        node = Node(self.lines[label], self.clock, self.nodes, label, self.cloud, connect, unique)
        node.follower._pause_s = 4 / node.settings.requests_share
        node.direct.connect = lambda endpoint: WorkerRoad(
            next(w for w in self.workers.values() if 20000 + w.number == endpoint.port)
        )
        parts: list[Callable[[], Awaitable[None]]] = [
            node.keeper.run,
            node.follower.run,
            node.follower.run_syncs,
            node.writer.run,
            node.membership.run,
            node.feature_level.run,
            node.deputies.run,
            node.rounds.run,
            node.record_repair.run,
            *self.more_parts(node),
        ]
        if self._leads:
            parts.append(node.leader.run)
        self._tasks[label] = [
            await curio.spawn(self._run_part, label, p, daemon=True) for p in parts
        ]
        return node

    def more_parts(self, node: Node) -> list[Callable[[], Awaitable[None]]]:
        """Loops that a controller runs beside the ordinary ones, made before any of them runs."""
        return []

    async def _run_part(self, label: str, part: Callable[[], Awaitable[None]]) -> None:
        def until() -> float:
            return self.still_until.get(label, 0.0)

        await standing_still(part(), until, self.clock)  # type: ignore[arg-type]

    def stands_still(self, label: str) -> bool:
        """Whether the controller's process runs nothing now."""
        return self.clock.now() < self.still_until.get(label, 0.0)

    async def lead_everywhere(self) -> None:
        """The leaders' loops run too, and the cloud's machines are up a second after renting."""
        self._leads = True
        for label, node in self.nodes.items():
            self._tasks[label].append(await curio.spawn(node.leader.run, daemon=True))
        await curio.spawn(self._cloud_runs, daemon=True)

    async def _cloud_runs(self) -> None:
        while True:
            await curio.sleep(1.0)
            for machine, data in list(self.cloud.machines.items()):
                if machine not in self.workers and machine not in self.cloud.released:
                    await self.add_worker(machine, data["yard"], record=False)
            for machine in self.cloud.released:
                worker = self.workers.get(machine)
                if worker is not None:
                    worker.gone = True
                    worker.tasks.clear()
            self.cloud.listed = [
                {
                    "nameId": machine,
                    "address": "127.0.0.1:1",
                    "frame": data["frame"],
                    "yard": data["yard"],
                    "loaners": data["loaners"],
                    "stage": "running",
                    "heldS": 1000.0,
                }
                for machine, data in sorted(self.cloud.machines.items())
                if machine not in self.cloud.released
            ]

    def leader(self) -> str | None:
        row = self.state.keys.get(keys.LEADER)
        return None if row is None or row[0]["owner"] not in self.nodes else row[0]["owner"]

    async def kill(self, label: str) -> None:
        """Its process ends at once; its key and lease stand until they run out."""
        self.nodes.pop(label)
        for task in self._tasks.pop(label):
            await task.cancel(blocking=False)

    async def darken(self, label: str) -> None:
        """Its machine is without power until it is lit again."""
        self.dark.add(label)
        await self.kill(label)

    async def light(self, label: str) -> None:
        self.dark.discard(label)
        await self.start(label)

    async def restart(self, label: str, after_s: float) -> None:
        await self.kill(label)
        await curio.sleep(after_s)
        await self.start(label)

    def cut(self, label: str) -> None:
        """Neither the state service nor another controller; workers and users still come."""
        self.lost.add(label)
        self.apart.add(label)

    def mend(self) -> None:
        self.lost.clear()
        self.apart.clear()
        self.refused.clear()

    def owners(self) -> dict[int, str]:
        rows = {k: v for k, v in self.state.keys.items() if k.startswith(keys.SHARD)}
        return {int(k[len(keys.SHARD) :]): v[0]["owner"] for k, v in rows.items()}

    def deliver(self, body: bytes, label: str) -> tuple[int, bytes]:
        """A report reaches a controller, as its own handler would answer it."""
        answer = self.nodes[label].reports.handle(parse_report(load_object(body)))
        if answer.status == 200:
            return 200, answer_body(answer.token, list(answer.commands))
        return answer.status, orjson.dumps({"foreman": answer.redirect} if answer.redirect else {})

    # -- users -----------------------------------------------------------------------

    def expect(self, job: str, run_s: float | None = None, **fields: Any) -> dict[str, Any]:
        """The job as a user submits it; the judge knows of it from now on."""
        fields = {"cut": "service" if run_s is None else "array", "dueS": None} | fields
        spec = submission(**{"nameId": job, **fields})
        self.judge.jobs.setdefault(job, JobFacts(spec, run_s, self.clock.now()))
        return spec

    async def submit(self, label: str, job: str, run_s: float | None = None, **fields: Any) -> int:
        spec = self.expect(job, run_s, **fields)
        return await self._ask(label, job, "POST", "/v1/jobs", orjson.dumps(spec))

    def accepted(self, job: str) -> bool:
        return self.judge.jobs[job].accepted is not None

    def finished(self, job: str, tasks: int) -> bool:
        return len(self.judge.jobs[job].finished) >= tasks

    async def show(self, label: str, job: str) -> int:
        return await self._ask(label, job, "GET", f"/v1/jobs/{job}")

    async def cancel(self, label: str, job: str) -> int:
        self.judge.jobs[job].cancel_asked = True
        return await self._ask(label, job, "POST", f"/v1/jobs/{job}/withdraw")

    async def cancel_until_told(self, label: str, job: str, within_s: float) -> bool:
        end = self.clock.now() + within_s
        while self.clock.now() < end:
            if await self.cancel(label, job) == 200:
                return True
            await curio.sleep(0.5)
        return False

    async def _ask(self, label: str, job: str, method: str, path: str, body: bytes = b"") -> int:
        asked_at = self.clock.now()
        while self.stands_still(label):
            await curio.sleep(0.1)
        response = await self.nodes[label].ask(method, path, body)
        self.judge.told(job, response, asked_at)
        return response.status

    async def look_everywhere(self, job: str, times: int = 3) -> None:
        """Users ask at all controllers at once, again and again within milliseconds."""
        async with curio.TaskGroup() as group:
            for n in range(times):
                for label in list(self.nodes):
                    await group.spawn(self.show, label, job)
                await curio.sleep(0.003 * n)

    # -- time ------------------------------------------------------------------------

    async def until(self, what: Callable[[], bool], within_s: float = 60.0) -> None:
        end = self.clock.now() + within_s
        while not what():
            assert self.clock.now() < end, "it did not come about"
            await curio.sleep(0.05)

    def running(self, job: str) -> list[Worker]:
        """The workers with a task of the job, as far as their leases stand."""
        now = self.clock.now()
        return [
            worker
            for worker in self.workers.values()
            if worker.answered + self.lease_s >= now
            and any(k[0] == job and t.state == "running" for k, t in worker.tasks.items())
        ]


def run_under_virtual_time(
    clock: FakeClock, story: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Plays a story whose waits cost no time; parts that fail fail it."""
    virtual = VirtualTime(clock)
    kernel_time, crashes = curio.kernel.time, Crashes()
    logging.getLogger("curio").addHandler(crashes)
    curio.kernel.time = virtual
    try:
        curio.run(story, selector=virtual)
    finally:
        curio.kernel.time = kernel_time
        logging.getLogger("curio").removeHandler(crashes)
    assert not crashes.seen, crashes.seen[0]


def simulate(
    story: Callable[[Region], Awaitable[None]], state: StateService | None = None
) -> Region:
    """Play a story; parts that fail and rules that break fail it."""
    clock = FakeClock()
    regions: list[Region] = []

    async def begin() -> None:
        region = Region(clock, state)
        regions.append(region)
        await story(region)
        region.judge.look()

    run_under_virtual_time(clock, begin)
    assert not regions[0].judge.broken, regions[0].judge.broken[:5]
    return regions[0]
