"""A small region: three controllers as processes, and stand-ins for everything around them."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
from collections.abc import Callable, Sequence
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

from .cloud import Cloud, Offer
from .http import Answer, Connection, NoReplyError
from .record import Record
from .state import StateService
from .worker import MachineKind, Run, Task, Worker

ROOT = Path(__file__).resolve().parent.parent.parent
# `run` of deploy/service.toml
RUN = ("python3", "-S", "-E", "run.py", "--config")
# lease_s, and some seconds for a hand-over
SETTLED_S = 14.0
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S, USER_RETRY_S, USER_GIVES_UP_S = 5.0, 2.0, 1.0, 60.0
STATUSES_OF_SUBMISSION = (HTTPStatus.OK, HTTPStatus.CREATED)

SETTINGS = """\
label = "{label}"
site = "{zone}"
bind = "{bind}"
peer_listen = "{peer}"
{members}
[external]
cloud = "{cloud}"
state = "{state}"

[settings]
nodes = 3
zones = ["suva-east", "viti-west"]
time_bound_ms = 100.0
{teams}
[settings.workers]
report_s = 1.0
lease_s = 11.0
gang_wait_s = 30.0
gang_peer_s = 8.0
cancel_s = 41.0

[settings.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 20

[settings.cloud]
rps = 2.0
list_lag_s = 4.0

[settings.resources]
cores = 0.288
ram_mb = 106.0
fd_limit = 500
"""
MEMBER = '\n[[members]]\nlabel = "{label}"\nsite = "{zone}"\nendpoint = "{peer}"\n'
TEAM = """
[[settings.teams]]
name = "{name}"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
"""
TEAMS = ("counter-desk", "airport-liaison", "records-room", "fleet-ops")
ZONES = ("viti-west", "suva-east", "viti-west")

REEF = MachineKind("reef-48g", 48.0, 4.0, 384.0, 1.7)
REEF_OFFER = Offer(REEF, ("suva-east", "viti-west"), 13.42, 5.2, 25.0, 24)


class _Node(NamedTuple):
    label: str
    zone: str
    bind: str
    peer: str


def _random_host() -> str:
    """Return a random loopback address, on which no other program's connections take ports."""
    return f"127.{random.randrange(1, 255)}.{random.randrange(256)}.{random.randrange(1, 255)}"


def _free_address(host: str) -> str:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


class Region:
    """Three controllers with the settings of the smaller deployment of the brief, and stand-ins.

    Attributes:
        run_plan: What an attempt does once it has its image; by default it is done after `grindS`.
        jobs: The descriptions that users have uploaded, by job.
    """

    def __init__(self, record: Record, extra: Sequence[str] = ()) -> None:
        self.record = record
        self._extra = list(extra)
        self._folder = Path(tempfile.mkdtemp(prefix="crossmill-review-"))
        host = _random_host()
        self.nodes = [
            _Node(f"millhand-{i}", zone, _free_address(host), _free_address(host))
            for i, zone in enumerate(ZONES)
        ]
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_plan: Callable[[str, dict[str, Any], Task], Run] = done_after_grind
        self.state = StateService()
        self.cloud = Cloud([REEF_OFFER], self._make_worker, record)
        self._state_loop: asyncio.Task[None] | None = None

    def _make_worker(self, identity: dict[str, Any], kind: MachineKind) -> Worker:
        binds = {node.label: node.bind for node in self.nodes}

        def plan(worker: str, spec: dict[str, Any], task: Task) -> Run:
            return self.run_plan(worker, spec, task)

        return Worker(identity, kind, binds, self.jobs, plan, self.record)

    # -- processes -------------------------------------------------------------------

    async def start(self) -> None:
        """Start the stand-ins and the controllers, and wait until all controllers are healthy."""
        await self.cloud.server.start()
        self._state_loop = asyncio.create_task(self.state.run())
        for node in self.nodes:
            self._write_settings(node, await self.state.serve(node.label))
            self.start_node(node.label)
        for node in self.nodes:
            await self.wait_healthy(node.label)

    def _write_settings(self, node: _Node, state: str) -> None:
        others = [other for other in self.nodes if other is not node]
        text = SETTINGS.format(
            **node._asdict(),
            members="".join(MEMBER.format(label=o.label, zone=o.zone, peer=o.peer) for o in others),
            cloud=self.cloud.server.address,
            state=state,
            teams="".join(TEAM.format(name=name) for name in TEAMS),
        )
        self._config(node.label).write_text(text, encoding="utf-8")

    def _config(self, label: str) -> Path:
        return self._folder / f"{label}.toml"

    def start_node(self, label: str) -> None:
        """Start a controller's process."""
        command = [*RUN, str(self._config(label)), *self._extra]
        log = (self._folder / f"{label}.log").open("ab")
        self._processes[label] = subprocess.Popen(
            command, cwd=ROOT, stderr=log, stdout=log, env=os.environ | {"LOG_LEVEL": "info"}
        )
        log.close()
        self.record.note(f"controller {label} started: {' '.join(RUN)}")

    def signal_node(self, label: str, number: signal.Signals) -> None:
        """Send a signal to a controller's process."""
        self._processes[label].send_signal(number)
        if number is signal.SIGKILL:
            self._processes[label].wait()
        self.record.note(f"controller {label}: {number.name}")

    async def wait_healthy(self, label: str, within_s: float = 20.0) -> None:
        """Wait until GET /healthz of a controller returns 200."""
        bind = next(node.bind for node in self.nodes if node.label == label)
        async with asyncio.timeout(within_s):
            while True:
                connection = Connection(bind)
                try:
                    answer = await connection.call("GET", "/healthz", timeout_s=1.0)
                    if answer.status == HTTPStatus.OK:
                        return
                except NoReplyError:
                    pass
                finally:
                    connection.close()
                await asyncio.sleep(0.1)

    async def settle(self) -> None:
        """Wait until the controllers have run for longer than a worker's lease.

        By then each shard is with its preferred owner (docs/architecture.md, "Failover").
        """
        await asyncio.sleep(max(0.0, SETTLED_S - self.record.elapsed()))

    def end(self) -> None:
        """End all processes and stand-ins; keep the controllers' logs in the record's folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for worker in self.cloud.workers:
            worker.stop()
        self.state.close()
        self.cloud.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    def running(self, job: str) -> int:
        """Return how many tasks of a job run."""
        return sum(len(worker.running(job)) for worker in self.cloud.workers)

    async def wait_running(self, job: str, tasks: int, within_s: float = 15.0) -> bool:
        """Wait until so many tasks of a job run; return whether they do in time."""
        until = self.record.elapsed() + within_s
        while self.running(job) != tasks:
            if self.record.elapsed() > until:
                return False
            await asyncio.sleep(0.1)
        return True

    # -- users -----------------------------------------------------------------------

    async def _ask(
        self, method: str, path: str, body: Any, timeout_s: float, first: int
    ) -> Answer | None:
        """Send a user's request to a node, or to the next one if it does not accept it."""
        for offset in range(len(self.nodes)):
            node = self.nodes[(first + offset) % len(self.nodes)]
            connection = Connection(node.bind)
            try:
                return await connection.call(method, path, body, timeout_s)
            except NoReplyError:
                continue
            finally:
                connection.close()
        return None

    async def submit(self, job: dict[str, Any], first: int = 0) -> bool:
        """Submit a job as a user does, with repeats; return whether it was accepted."""
        name = job["nameId"]
        self.jobs[name] = job
        until = self.record.elapsed() + USER_GIVES_UP_S
        while self.record.elapsed() < until:
            answer = await self._ask("POST", "/v1/jobs", job, SUBMIT_TIMEOUT_S, first)
            status = answer.status if answer is not None else None
            self.record.note(f"user: submit {name}: {status} {answer.body if answer else ''}")
            if status in STATUSES_OF_SUBMISSION:
                return True
            first += 1
            await asyncio.sleep(USER_RETRY_S)
        return False

    async def stage(self, name: str, first: int = 0) -> str | None:
        """Ask for a job's state; None if there was no answer of 200."""
        answer = await self._ask("GET", f"/v1/jobs/{name}", None, POLL_TIMEOUT_S, first)
        if answer is None or answer.status != HTTPStatus.OK:
            self.record.note(f"user: poll {name}: {answer.status if answer else None}")
            return None
        self.record.note(f"user: poll {name}: {answer.body}")
        return str(answer.body["stage"])

    async def withdraw(self, name: str, first: int = 0) -> str | None:
        """Cancel a job as a user does, with repeats; return the stage that the answer names."""
        until = self.record.elapsed() + USER_GIVES_UP_S
        while self.record.elapsed() < until:
            path = f"/v1/jobs/{name}/withdraw"
            answer = await self._ask("POST", path, None, SUBMIT_TIMEOUT_S, first)
            status = answer.status if answer is not None else None
            self.record.note(f"user: withdraw {name}: {status} {answer.body if answer else ''}")
            if answer is not None and status == HTTPStatus.OK:
                return str(answer.body["stage"])
            first += 1
            await asyncio.sleep(USER_RETRY_S)
        return None


def done_after_grind(_worker: str, spec: dict[str, Any], _task: Task) -> Run:
    """Return the run of a healthy task: a replica runs on, others are done after `grindS`."""
    if spec["cut"] == "service":
        return Run(3600.0)
    return Run(spec["grindS"])


def service_job(name: str, tasks: int, crew: str = TEAMS[0]) -> dict[str, Any]:
    """Return a service whose replicas take 8 CPUs, 2 GPUs and 40 GB each."""
    return array_job(name, tasks, 0.0, crew) | {
        "grist": "reply-drafter",
        "cut": "service",
        "precedence": "production",
        "cpus": 8.0,
        "cards": 2.0,
        "ramGb": 40.0,
    }


def array_job(
    name: str, tasks: int = 1, grind_s: float = 3.0, crew: str = TEAMS[0]
) -> dict[str, Any]:
    """Return an array whose tasks take 4 CPUs, 1 GPU and 20 GB each."""
    return {
        "nameId": name,
        "grist": "claim-reread",
        "crew": crew,
        "cut": "array",
        "precedence": "standard",
        "sacks": tasks,
        "cpus": 4.0,
        "cards": 1.0,
        "ramGb": 20.0,
        "recipe": "img-01",
        "pullGb": 1.0,
        "frames": None,
        "yard": None,
        "oneZone": False,
        "spread": False,
        "loaners": False,
        "grindS": grind_s,
        "baggingS": 0.0,
        "sealS": 0.0,
        "dueS": None,
    }
