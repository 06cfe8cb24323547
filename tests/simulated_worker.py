"""A worker after PROTOCOL under virtual time, and the link on which controllers reach it."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio
import orjson

from crossmill.net.client import NoResponseError
from crossmill.wire.checks import load_object

from .fake_services import beat

if TYPE_CHECKING:
    from .simulated_region import Region

# how long a message takes from one host to another
HOP_S = 0.002


class WorkerLink:
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
            raise NoResponseError(path)
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
        now, checker = self.region.clock.now(), self.region.checker
        if now - self.answered > self.region.worker_lease_s:
            self.session += 1
            self.tasks.clear()
            self.answered = now
        for (job, _), task in self.tasks.items():
            run_s = checker.jobs[job].run_s
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
            wait_s = self.region.heartbeat_interval_s
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
                    self.region.checker.started(self, key)
            elif task is not None and task.attempt == attempt:
                if order["verb"] == "reap" and task.state == "exited":
                    del self.tasks[key]
                elif order["verb"] == "kill" and task.state == "running":
                    task.state, task.cause = "exited", "halted"
