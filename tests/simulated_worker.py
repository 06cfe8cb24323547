"""A simulated worker as PROTOCOL describes it, and the link through which controllers reach it.

A worker belongs to a `Region`, sends heartbeats to its controllers, and executes their commands.
"""

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

import curio
import orjson

from crossmill.net.client import NoResponseError
from crossmill.wire.checks import load_object

from .builders import heartbeat_body, reported_task
from .message_copies import RequestKind

if TYPE_CHECKING:
    from .simulated_region import Region

STATUS_OK = 200
# one-way delay of a message between two hosts
MESSAGE_DELAY_S = 0.002
# time after which a worker stops waiting for a response
RESPONSE_TIMEOUT_S = 4.0
RETRY_DELAY_S = 1.0
REDIRECT_DELAY_S = 0.2
FROZEN_POLL_INTERVAL_S = 0.1
KEPT_HEARTBEATS = 40
FIRST_PORT = 20000


class WorkerLink:
    """The link from a controller to a worker's own address."""

    def __init__(self, worker: "Worker") -> None:
        self._worker = worker

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Deliver commands; raise NoResponseError while the worker is frozen or unreachable.

        Copies of commands that the worker has executed may arrive later.
        """
        worker, data = self._worker, load_object(body)
        worker.record_sent_starts(data)
        await curio.sleep(MESSAGE_DELAY_S)
        if worker.inbound_lost or worker.is_frozen:
            if worker.is_frozen:
                # executed when the worker resumes, if token and session still match
                worker.delayed_commands.append(data)
            await curio.sleep(timeout_s)
            raise NoResponseError(path)
        status, report = worker.handle_commands(data)
        if status == STATUS_OK:
            worker.executed_commands.append(data)
            await worker.region.message_copies.deliver(
                RequestKind.DIRECT_COMMANDS, partial(worker.receive_copy, data)
            )
        return status, report


@dataclass
class Task:
    """A task on a worker.

    Attributes:
        attempt: The number of the attempt.
        state: The reported state, "running" or "exited".
        since: The time of the start, in seconds.
        cause: The cause of the end; empty while the task runs.
    """

    attempt: int
    state: str
    since: float
    cause: str = ""


class Worker:
    """A machine's worker; images load without delay and tasks run for their job's `run_s`."""

    def __init__(self, region: "Region", machine: str, number: int, zone: str) -> None:
        self.region, self.machine, self.number, self.zone = region, machine, number, zone
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], Task] = {}
        self.lease_renewed_at = region.clock.now()
        # faults: responses and commands to the worker are lost; its heartbeats are lost; its
        # process is frozen, and commands that arrive in the meantime are executed when it resumes
        self.inbound_lost: bool = False
        self.heartbeats_lost: bool = False
        self.is_frozen: bool = False
        # whether the machine was terminated, for example because it was released
        self.is_terminated: bool = False
        self.target_index = 0
        self.sent_heartbeats: list[bytes] = []
        self.delayed_commands: list[dict[str, Any]] = []
        # the session and token under which starts were sent directly, arrived or not, by task name
        # and attempt
        self.sent_starts: dict[tuple[str, int], set[tuple[int, int]]] = {}
        # the direct commands that were executed and answered, in their order
        self.executed_commands: list[dict[str, Any]] = []
        # seconds until the cloud reclaims the machine, as reported to controllers, which then place
        # nothing on it; None without a notice
        self.notice_s: float | None = None
        # received commands: time in seconds, session, decoded command
        self.received_commands: list[tuple[float, int, dict[str, Any]]] = []

    def terminate(self) -> None:
        """End the machine and all tasks on it."""
        self.is_terminated = True
        self.tasks.clear()

    def _report(self) -> bytes:
        self.seq += 1
        tasks = []
        for (job, index), task in self.tasks.items():
            tasks.append(reported_task(job, index, task.attempt, task.state, task.cause))
        report = load_object(
            heartbeat_body(self.machine, self.session, self.seq, self.token, *tasks)
        )
        address = f"127.0.0.1:{FIRST_PORT + self.number}"
        report.update(address=address, yard=self.zone, recallS=self.notice_s)
        return orjson.dumps(report)

    def _advance_tasks(self) -> None:
        """End tasks whose run time is over; after the lease expired, drop all in a new session."""
        now, checker = self.region.clock.now(), self.region.checker
        if now - self.lease_renewed_at > self.region.worker_lease_s:
            self.session += 1
            self.tasks.clear()
            self.lease_renewed_at = now
        for (job, index), task in self.tasks.items():
            if task.state != "running":
                continue
            failure_s = self.region.fails_after_s(self, job, index)
            run_s = checker.jobs[job].run_s
            if failure_s is not None and now - task.since >= failure_s:
                task.state, task.cause = "exited", "error"
            elif run_s is not None and now - task.since >= run_s:
                task.state, task.cause = "exited", "done"

    async def run(self) -> None:
        """Send heartbeats until the machine is terminated."""
        labels = list(self.region.state_links)
        self.target_index = self.number % len(labels)
        while not self.is_terminated:
            if self.is_frozen:
                await curio.sleep(FROZEN_POLL_INTERVAL_S)
                continue
            self._advance_tasks()
            while self.delayed_commands:
                self.handle_commands(self.delayed_commands.pop(0))
            wait_s = self.region.heartbeat_interval_s
            label = labels[self.target_index]
            response = await self._send_heartbeat(label)
            if response is None or response[0] != STATUS_OK:
                redirect = str(response[1].get("foreman")) if response is not None else ""
                is_redirected = redirect in labels and redirect != label
                self.target_index = (
                    labels.index(redirect)
                    if is_redirected
                    else (self.target_index + 1) % len(labels)
                )
                wait_s = REDIRECT_DELAY_S if is_redirected else RETRY_DELAY_S
            await curio.sleep(wait_s)

    async def _send_heartbeat(self, label: str) -> tuple[int, dict[str, Any]] | None:
        body, sent, session = self._report(), self.region.clock.now(), self.session
        self.sent_heartbeats = [*self.sent_heartbeats[-KEPT_HEARTBEATS:], body]
        await curio.sleep(MESSAGE_DELAY_S)
        if self.region.is_frozen(label) or label in self.region.powered_off:
            await curio.sleep(RESPONSE_TIMEOUT_S)
            return None
        if self.heartbeats_lost or not self.region.can_reach(self, label):
            return None
        status, data = self.region.deliver_worker_heartbeat(body, label)
        await self.region.message_copies.deliver(
            RequestKind.HEARTBEAT, partial(self._deliver_copy, body)
        )
        checker = self.region.checker
        omitted = checker.omitted_stops(label, body, data) if status == STATUS_OK else []
        await curio.sleep(MESSAGE_DELAY_S)
        if self.inbound_lost or self.is_frozen or not self.region.can_reach(self, label):
            await curio.sleep(RESPONSE_TIMEOUT_S)
            return None
        response = load_object(data)
        self._advance_tasks()
        if status == STATUS_OK and session == self.session and response["warrant"] >= self.token:
            checker.check_lease_renewal(self, label, omitted)
            self.token, self.lease_renewed_at = response["warrant"], sent
            self._execute_commands(response["orders"])
        return status, response

    async def _deliver_copy(self, heartbeat: bytes) -> None:
        """Deliver a copy of a heartbeat to every controller that runs."""
        for label in list(self.region.nodes):
            if not self.region.is_frozen(label):
                self.region.deliver_worker_heartbeat(heartbeat, label)

    def handle_commands(self, data: dict[str, Any]) -> tuple[int, bytes]:
        """Execute commands from a controller; respond 409 if token or session is outdated."""
        self._advance_tasks()
        if data["warrant"] < self.token or data["shift"] != self.session:
            return 409, self._report()
        self.token = data["warrant"]
        self._execute_commands(data["orders"])
        return STATUS_OK, self._report()

    def record_sent_starts(self, data: dict[str, Any]) -> None:
        """Record the starts of a direct call that is about to be sent."""
        for command in data["orders"]:
            if command["verb"] == "start":
                attempt = (command["sack"], command["turn"])
                sent_under = (data["shift"], data["warrant"])
                self.sent_starts.setdefault(attempt, set()).add(sent_under)

    def can_execute_start(self, task: str, attempt: int) -> bool:
        """Return whether a direct start of the attempt still matches token and session."""
        return any(
            session == self.session and token >= self.token
            for session, token in self.sent_starts.get((task, attempt), ())
        )

    async def receive_copy(self, data: dict[str, Any]) -> None:
        """Receive a copy of direct commands that were executed; nobody waits for the answer."""
        if self.is_terminated or self.inbound_lost:
            return
        if self.is_frozen:
            self.delayed_commands.append(data)
        else:
            self.handle_commands(data)

    def _execute_commands(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            self.received_commands.append((self.region.clock.now(), self.session, command))
            job, _, index = command["sack"].rpartition("/")
            key, attempt = (job, int(index)), command["turn"]
            task = self.tasks.get(key)
            if command["verb"] == "start":
                if task is None:
                    self.tasks[key] = Task(attempt, "running", self.region.clock.now())
                    self.region.checker.check_start(self, key)
            elif task is not None and task.attempt == attempt:
                if command["verb"] == "reap" and task.state == "exited":
                    self.region.checker.check_forget(self, command["sack"], attempt)
                    del self.tasks[key]
                elif command["verb"] == "kill" and task.state == "running":
                    task.state, task.cause = "exited", "halted"
