"""A region on loopback: real controllers, stand-ins of all else, and the checks of the rules."""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, BinaryIO

from .http import (
    BAD_REQUEST,
    CREATED,
    NOT_FOUND,
    OK,
    UNPROCESSABLE,
    Client,
    NoAnswerError,
    spawn,
)
from .services import Cloud, StateService
from .worker import Task, Worker

ROOT = Path(__file__).resolve().parents[2]
FRAMES = [
    {
        "sku": "reef-48g",
        "cpus": 48.0,
        "cards": 4.0,
        "ramGb": 384.0,
        "cacheGb": 400.0,
        "fetchGbPerS": 1.7,
        "rate": 13.42,
        "spotPrice": 5.2,
        "bootS": 2.0,
        "yards": ["viti-west", "suva-east"],
    },
    {
        "sku": "lagoon-48g",
        "cpus": 48.0,
        "cards": 8.0,
        "ramGb": 288.0,
        "cacheGb": 800.0,
        "fetchGbPerS": 1.7,
        "rate": 24.32,
        "spotPrice": 8.96,
        "bootS": 3.0,
        "yards": ["viti-west"],
    },
]
TEAMS = [{"name": n} for n in ("counter-desk", "airport-liaison", "records-room", "fleet-ops")]
SETTINGS: dict[str, Any] = {
    "report_s": 1.0,
    "lease_s": 11.0,
    "cancel_s": 41.0,
    "rps": 100.0,
    "write_rps": 25.0,
    "value_kb": 32.0,
    "txn_ops": 20,
    "cloud_rps": 2.0,
    "list_lag_s": 4.0,
    "cores": 0.288,
    "ram_mb": 106.0,
    "fd_limit": 500,
}

# v1, jobs and the job's ID
PARTS_WITH_JOB = 3


def free_port() -> int:
    """Return an unused loopback port below the system's own range, with a free one 10 above."""
    while True:
        port = random.randrange(12_000, 30_000)
        try:
            for number in (port, port + 10):
                with socket.socket() as sock:
                    sock.bind(("127.0.0.1", number))
        except OSError:
            continue
        return port


class Link:
    """A TCP proxy to one port, which can be cut: then bytes are held and connections hang."""

    def __init__(self, port: int) -> None:
        self.target, self.port, self.is_cut = port, 0, False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> "Link":
        """Begin to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while self.is_cut:
            await asyncio.sleep(0.05)
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, other_writer),
            self._pump(other_reader, writer),
            return_exceptions=True,
        )

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                while self.is_cut:
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()


class Controller:
    """One controller process."""

    def __init__(self, world: "World", label: str, site: str) -> None:
        self.world, self.label, self.site = world, label, site
        self.bind, self.peer = free_port(), free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.ends: list[int] = []
        self.is_stopped = False

    def start(self) -> None:
        """Start the process with the run line of the deploy file."""
        with open(self.world.folder / f"{self.label}.log", "ab") as log:
            self._start(log)

    def _start(self, log: BinaryIO) -> None:
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-S",
                "-E",
                "run.py",
                *self.world.serve_arguments,
                "--config",
                str(self.world.folder / f"{self.label}.toml"),
                *self.world.extra_arguments,
            ],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={**os.environ, "LOG_LEVEL": self.world.log_level},
        )

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None and not self.is_stopped

    def kill(self) -> None:
        """End the process without a signal that it could handle."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.process = None
        self.is_stopped = False

    def pause(self) -> None:
        """Make the process stand still."""
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.is_stopped = True

    def resume(self) -> None:
        """Let a paused process go on."""
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
        self.is_stopped = False


class World:
    """The region, its users and the facts by which the rules are judged."""

    def __init__(self, record: str | None = None, nodes: int = 3, **options: Any) -> None:
        self.settings = {**SETTINGS, **options.pop("settings", {})}
        self.teams = options.pop("teams", TEAMS)
        self.frames = options.pop("frames", FRAMES)
        self.zones = options.pop("zones", ["viti-west", "suva-east"])
        self.log_level = options.pop("log_level", "info")
        self.serve_arguments: list[str] = options.pop("serve_arguments", [])
        self.extra_arguments: list[str] = options.pop("extra_arguments", [])
        assert not options, options
        self.folder = Path(tempfile.mkdtemp(prefix="crossmill-review-"))
        self.record = Path(record) if record else None
        if self.record is not None:
            self.record.write_text("")
        self.report_s, self.lease_s = self.settings["report_s"], self.settings["lease_s"]
        self.cancel_s = self.settings["cancel_s"]
        self.labels = [f"millhand-{i}" for i in range(nodes)]
        self.controllers = {
            label: Controller(self, label, self.zones[i % len(self.zones)])
            for i, label in enumerate(self.labels)
        }
        self.state = StateService(self.settings)
        self.cloud = Cloud(
            self.frames, self.settings["cloud_rps"], self.settings["list_lag_s"], self
        )
        self.links: dict[tuple[str, str], Link] = {}
        self.cloud_links: dict[str, Link] = {}
        self.bind_links: dict[str, Link] = {}
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.runs: dict[str, float] = {}
        self.results: dict[str, bool] = {}
        self.progress: dict[str, float] = {}
        # machines on which a task is now, by task
        self.on: dict[str, set[str]] = {}
        self.starts = 0
        self.statuses: dict[int, int] = {}
        self.broken: list[str] = []
        # what users were told: times by job
        self.accepted: dict[str, float] = {}
        self.told_done: dict[str, float] = {}
        self.told_withdrawn: dict[str, float] = {}
        self.asked_withdraw: set[str] = set()
        self.last_answer: dict[str, float] = {}
        self.began = time.monotonic()
        self.started_at: dict[str, float] = {}
        self._users: list[asyncio.Task[Any]] = []

    # -- record ----------------------------------------------------------------------

    def note(self, text: str) -> None:
        """Write a line with its time."""
        if self.record is not None:
            with self.record.open("a") as file:
                file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def break_rule(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")

    # -- start and end ---------------------------------------------------------------

    async def start(self, wait_ready_s: float = 30.0) -> None:
        """Start the services and all controllers, and wait until all are healthy."""
        await self.state.start(self.labels)
        await self.cloud.start()
        for label in self.labels:
            self.cloud_links[label] = await Link(self.cloud.server.port).start()
            self.bind_links[label] = await Link(self.controllers[label].bind).start()
            for other in self.labels:
                if other != label:
                    self.links[label, other] = await Link(self.controllers[other].peer).start()
        for label in self.labels:
            (self.folder / f"{label}.toml").write_text(self._toml(label))
            self.controllers[label].start()
        spawn(self._watch())
        until = time.monotonic() + wait_ready_s
        while time.monotonic() < until:
            if all([await self.is_healthy(label) for label in self.labels]):
                self._check_ports()
                self.note("all controllers are healthy")
                return
            await asyncio.sleep(0.3)
        raise RuntimeError("controllers did not become healthy")

    def _check_ports(self) -> None:
        """Check that no other process took a port between its choice and its use."""
        for label in self.labels:
            if "Address already in use" in (self.folder / f"{label}.log").read_text():
                raise RuntimeError(f"a port of {label} was taken by another process")

    def _toml(self, label: str) -> str:
        s, c = self.settings, self.controllers[label]
        lines = [
            f'label = "{label}"',
            f'site = "{c.site}"',
            f'bind = "127.0.0.1:{c.bind}"',
            f'peer_listen = "127.0.0.1:{c.peer}"',
            "",
        ]
        for other in self.labels:
            if other != label:
                lines += [
                    "[[members]]",
                    f'label = "{other}"',
                    f'site = "{self.controllers[other].site}"',
                    f'endpoint = "127.0.0.1:{self.links[label, other].port}"',
                    "",
                ]
        zones = ", ".join(f'"{z}"' for z in sorted(self.zones))
        lines += [
            "[external]",
            f'cloud = "127.0.0.1:{self.cloud_links[label].port}"',
            f'state = "{self.state.address(label)}"',
            "",
            "[settings]",
            f"nodes = {len(self.labels)}",
            f"zones = [{zones}]",
            "time_bound_ms = 100.0",
            "",
        ]
        for team in self.teams:
            lines += ["[[settings.teams]]", f'name = "{team["name"]}"']
            lines += [
                f"{k} = {float(team.get(k, 0))}" for k in ("cpus", "cpus_max", "gpus", "gpus_max")
            ]
            lines.append("")
        lines += [
            "[settings.workers]",
            f"report_s = {s['report_s']}",
            f"lease_s = {s['lease_s']}",
            "gang_wait_s = 30.0",
            "gang_peer_s = 8.0",
            f"cancel_s = {s['cancel_s']}",
            "",
            "[settings.state]",
            f"rps = {s['rps']}",
            f"write_rps = {s['write_rps']}",
            f"value_kb = {s['value_kb']}",
            f"txn_ops = {s['txn_ops']}",
            "",
            "[settings.cloud]",
            f"rps = {s['cloud_rps']}",
            f"list_lag_s = {s['list_lag_s']}",
            "",
            "[settings.resources]",
            f"cores = {s['cores']}",
            f"ram_mb = {s['ram_mb']}",
            f"fd_limit = {s['fd_limit']}",
            "",
        ]
        return "\n".join(lines)

    async def is_healthy(self, label: str) -> bool:
        """Return whether the controller answers its health check with 200."""
        if not self.controllers[label].is_up:
            return False
        client = Client(self.bind_port(label))
        try:
            return (await client.request("GET", "/healthz", timeout_s=1.0))[0] == OK
        except NoAnswerError:
            return False
        finally:
            client.close()

    async def _watch(self) -> None:
        """Notice controllers that end by themselves."""
        while True:
            await asyncio.sleep(0.1)
            for controller in self.controllers.values():
                process = controller.process
                if process is not None and process.poll() is not None:
                    controller.ends.append(process.returncode)
                    self.break_rule("ended", f"{controller.label} ended: {process.returncode}")
                    controller.process = None

    def end(self) -> None:
        """End all processes and remove the folder."""
        for controller in self.controllers.values():
            controller.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def bind_port(self, label: str) -> int:
        """Return the port at which workers and users find a controller."""
        return self.bind_links[label].port

    # -- machines --------------------------------------------------------------------

    async def machine_up(self, name: str, data: dict[str, Any], frame: dict[str, Any]) -> str:
        """Start a machine's worker; return its address."""
        worker = self.workers[name] = Worker(self, name, data, frame)
        address = await worker.start()
        self.note(f"machine up {name} {data['frame']} {data['yard']} spot {data['loaners']}")
        return address

    def machine_gone(self, name: str) -> None:
        """End a machine that was returned or taken."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.note(f"machine gone {name} tasks {len(worker.tasks)}")
            worker.gone()

    def run_s(self, job: dict[str, Any]) -> float:
        """Return the run time of a job's tasks."""
        return self.runs.get(job["nameId"], job["grindS"])

    def task_on(self, worker: Worker, task: Task) -> None:
        """Check the rules as a task, which has its image, starts."""
        job, machines = task.job, self.on.setdefault(task.sack, set())
        self.starts += 1
        name = job["nameId"]
        self.started_at.setdefault(name, time.monotonic())
        self.note(f"on {task.sack} turn {task.turn} {worker.name} shift {worker.shift}")
        if machines:
            self.break_rule("ran_twice", f"{task.sack} starts on {worker.name}, is on {machines}")
        machines.add(worker.name)
        told = self.told_withdrawn.get(name)
        if told is not None and time.monotonic() - told > self.cancel_s:
            self.break_rule("ran_cancelled", f"{task.sack} starts after its cancellation")
        self._check_place(worker, job)
        self._check_quota(job["crew"])
        for needed in job.get("awaits") or ():
            sacks = self.jobs[needed]["sacks"]
            if not all(self.results.get(f"{needed}/{i}") for i in range(sacks)):
                self.break_rule("too_early", f"{task.sack} before {needed}")

    def task_off(self, worker: Worker, task: Task, why: str) -> None:
        """Note that a task is no longer on its machine."""
        self.note(f"off {task.sack} turn {task.turn} {worker.name} {why}")
        self.on.get(task.sack, set()).discard(worker.name)

    def _zones_of(self, job: dict[str, Any]) -> list[str]:
        prefix = job["nameId"] + "/"
        return [
            self.workers[m].data["yard"]
            for sack, machines in self.on.items()
            if sack.startswith(prefix)
            for m in machines
            if m in self.workers
        ]

    def _check_place(self, worker: Worker, job: dict[str, Any]) -> None:
        data, zones = worker.data, self._zones_of(job)
        wrong = (
            (job["frames"] is not None and data["frame"] not in job["frames"])
            or (job["yard"] is not None and data["yard"] != job["yard"])
            or (data["loaners"] and not job["loaners"])
            or (job["oneZone"] and len(set(zones)) > 1)
            or (job["spread"] and zones.count(data["yard"]) > (job["sacks"] + 1) // 2)
        )
        if wrong:
            self.break_rule("wrong_place", f"{job['nameId']} on {worker.name} zones {zones}")

    def _check_quota(self, crew: str) -> None:
        team = next(t for t in self.teams if t["name"] == crew)
        for field, limit in (("cpus", team.get("cpus_max", 0)), ("cards", team.get("gpus_max", 0))):
            if not limit:
                continue
            used = sum(
                len(machines) * self.jobs[sack.rpartition("/")[0]][field]
                for sack, machines in self.on.items()
                if machines and self.jobs[sack.rpartition("/")[0]]["crew"] == crew
            )
            if used > limit + 1e-6:
                self.break_rule("quota", f"{crew} uses {used} {field} of {limit}")

    # -- users -----------------------------------------------------------------------

    def job(self, number: int, **fields: Any) -> dict[str, Any]:
        """Return a submission."""
        return {
            "nameId": f"wk-{number:06d}",
            "grist": "claim-reread",
            "crew": "records-room",
            "cut": "array",
            "precedence": "standard",
            "sacks": 4,
            "cpus": 4.0,
            "cards": 1.0,
            "ramGb": 20.0,
            "recipe": "img-01",
            "pullGb": 0.5,
            "frames": None,
            "yard": None,
            "oneZone": False,
            "spread": False,
            "loaners": True,
            "grindS": 5.0,
            "baggingS": 0.0,
            "sealS": 0.0,
            "dueS": None,
            **fields,
        }

    def nodes_up(self) -> list[str]:
        """Return the labels of the controllers that accept connections."""
        return [label for label in self.labels if self.controllers[label].is_up]

    async def ask(
        self,
        method: str,
        path: str,
        value: Any = None,
        node: str | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, Any]:
        """Send one request to a controller; status 0 if no response came."""
        nodes = [node] if node is not None else self.nodes_up()
        if not nodes:
            return 0, None
        label = random.choice(nodes)
        client = Client(self.bind_port(label))
        sent = time.monotonic()
        try:
            status, data, _ = await client.request(method, path, value, timeout_s)
        except NoAnswerError:
            status, data = 0, None
        finally:
            client.close()
        self._heard(method, path, sent, status, data, label)
        return status, data

    def _heard(
        self, method: str, path: str, sent: float, status: int, data: Any, label: str
    ) -> None:
        parts = path.strip("/").split("/")
        stage = data.get("stage") if isinstance(data, dict) else None
        if method != "GET" or status not in (OK, 0):
            self.note(f"user {method} {path} at {label}: {status} {stage or data}")
        if len(parts) < PARTS_WITH_JOB or status == 0:
            return
        self.heard(parts[2], sent, status, stage, label)

    def heard(self, name: str, sent: float, status: int, stage: str | None, label: str) -> None:
        """Check an answer about a job against what users were told before it was asked."""
        now = time.monotonic()
        if status in (OK, NOT_FOUND):
            self.last_answer[name] = now
        if status == NOT_FOUND and self.accepted.get(name, now) < sent:
            self.break_rule("forgotten", f"{name} gets 404 at {label}")
        if status != OK:
            return
        if name not in self.jobs:
            self.break_rule("invented", f"{name} gets 200 at {label}")
            return
        if self.told_done.get(name, now) < sent and stage != "done":
            self.break_rule("went_back", f"{name} was done, is {stage} at {label}")
        if self.told_withdrawn.get(name, now) < sent and stage != "withdrawn":
            self.break_rule("went_back", f"{name} was withdrawn, is {stage} at {label}")
        if stage == "done":
            self._heard_done(name, now)
        if stage == "withdrawn":
            if not self._may_be_withdrawn(name):
                self.break_rule("went_back", f"{name} is called withdrawn, nobody cancelled it")
            self.told_withdrawn.setdefault(name, now)

    def _heard_done(self, name: str, now: float) -> None:
        if name not in self.told_done:
            self.note(f"user told done {name}")
        self.told_done.setdefault(name, now)
        sacks = self.jobs[name]["sacks"]
        missing = [i for i in range(sacks) if not self.results.get(f"{name}/{i}")]
        if missing:
            self.break_rule("not_done", f"{name} is called done, missing {missing[:5]}")

    def _may_be_withdrawn(self, name: str) -> bool:
        needed = self.jobs[name].get("awaits") or ()
        return name in self.asked_withdraw or any(self._may_be_withdrawn(n) for n in needed)

    async def submit(self, job: dict[str, Any], node: str | None = None) -> int:
        """Submit a job as a user does, with retries for 60 s; return the last status."""
        name = job["nameId"]
        self.jobs[name] = job
        until, status = time.monotonic() + 60, 0
        while time.monotonic() < until:
            sent = time.monotonic()
            status, data = await self.ask("POST", "/v1/jobs", job, node)
            if status in (OK, CREATED):
                self.accepted.setdefault(name, time.monotonic())
                self.heard(name, sent, 200, data.get("stage"), "any")
                return status
            if status in (BAD_REQUEST, UNPROCESSABLE):
                if name in self.accepted:
                    self.break_rule("forgotten", f"{name} submitted again gets {status}")
                return status
            await asyncio.sleep(1.0)
        return status

    async def withdraw(self, name: str, node: str | None = None) -> int:
        """Cancel a job as a user does, with retries for 60 s."""
        self.asked_withdraw.add(name)
        until, status = time.monotonic() + 60, 0
        while time.monotonic() < until:
            status, _ = await self.ask("POST", f"/v1/jobs/{name}/withdraw", {}, node)
            if status == OK:
                self.note(f"user told end {name}")
                return status
            await asyncio.sleep(1.0)
        return status

    async def poll(self, every_s: float = 5.0) -> None:
        """Ask about every accepted job, until cancelled."""
        while True:
            for name in list(self.accepted):
                if name not in self.told_done and name not in self.told_withdrawn:
                    await self.ask("GET", f"/v1/jobs/{name}", timeout_s=2.0)
            self.check_cancelled()
            await asyncio.sleep(every_s)

    def check_cancelled(self) -> None:
        """Check that no task is on a machine long after its user was told the job is cancelled."""
        now = time.monotonic()
        for sack, machines in self.on.items():
            told = self.told_withdrawn.get(sack.rpartition("/")[0])
            if machines and told is not None and now - told > self.cancel_s + 0.2:
                self.break_rule("ran_cancelled", f"{sack} on {machines} after {now - told:.1f} s")
                machines.clear()
