"""HeartbeatHandler of workers and the commands that answer them."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, NamedTuple

import orjson

from . import checks

HEARTBEAT_PATH = "/agent/beat"
# an order takes at most 128 bytes, and a line or body at most 64 KiB
MAX_ORDERS = 64 * 1024 // 128 - 8
COMMANDS_PATH = "/commands"
STATES = {s: s for s in ("fetching", "running", "saving", "exited")}
# a gang's task that has its image and waits for the others
STATES["gathering"] = "fetching"
CAUSES = {
    "done": "done",
    "halted": "stopped",
    "error": "error",
    "full": "no_room",
    "in_use": "busy",
    "no_such": "unknown",
    "peers": "peers",
    "incomplete": "peers",
}


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """One task in a worker's report."""

    job: str
    index: int
    attempt: int
    state: str
    why: str
    saved: bool


@dataclass(slots=True, eq=False)
class WorkerHeartbeat:
    """A worker's report: its machine, its session and all its tasks."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    seq: int
    token: int
    notice_s: float | None
    tasks: list[TaskStatus]


class Command(NamedTuple):
    """What a worker is told to do with one attempt of a task."""

    op: str
    task: str
    attempt: int
    grace_s: float = 0.0


# reads one task of a report from its fields on the wire
TaskStatusReader = Callable[[Any, Any, Any, Any, Any], TaskStatus]


def read_task_status(sack: Any, turn: Any, stage: Any, cause: Any, kept: Any) -> TaskStatus:
    """A task as reported, checked."""
    data = {"sack": sack, "turn": turn, "stage": stage}
    job, _, index = checks.text(data, "sack").rpartition("/")
    if not job or not index.isdigit():
        raise checks.MalformedMessageError("sack: not a task")
    state = checks.one_of(data, "stage", STATES)
    return TaskStatus(
        job=job,
        index=int(index),
        attempt=checks.count(data, "turn"),
        state=state,
        why=CAUSES.get(cause or "", "error") if state == "exited" else "",
        saved=kept is True,
    )


def cached_task_status_reader(most: int) -> TaskStatusReader:
    """A reader that keeps up to so many tasks: nearly all are as in the report before."""
    return lru_cache(maxsize=most, typed=True)(read_task_status)


def _tasks(tasks: list[dict[str, Any]], read: TaskStatusReader) -> list[TaskStatus]:
    try:
        return [
            read(t.get("sack"), t.get("turn"), t.get("stage"), t.get("cause"), t.get("kept"))
            for t in tasks
        ]
    except TypeError as exc:
        # a list or an object where a plain value belongs
        raise checks.MalformedMessageError("sacks: a task's fields are plain values") from exc


def parse_heartbeat(
    data: dict[str, Any], read: TaskStatusReader = read_task_status
) -> WorkerHeartbeat:
    """A worker's report, checked; raises MalformedMessageError."""
    tasks = data.get("sacks")
    if type(tasks) is not list or not all(type(t) is dict for t in tasks):
        raise checks.MalformedMessageError("sacks: a list is needed")
    return WorkerHeartbeat(
        machine=checks.text(data, "stone"),
        address=checks.text(data, "address"),
        type=checks.text(data, "frame"),
        zone=checks.text(data, "yard"),
        spot=checks.flag(data, "loaners"),
        session=checks.count(data, "shift"),
        seq=checks.count(data, "tally"),
        token=checks.count(data, "warrant"),
        notice_s=checks.optional_amount(data, "recallS"),
        tasks=_tasks(tasks, read),
    )


_OPS = {"start": "start", "stop": "kill", "forget": "reap"}


def _order(command: Command) -> dict[str, Any]:
    order: dict[str, Any] = {
        "verb": _OPS[command.op],
        "sack": command.task,
        "turn": command.attempt,
    }
    if command.op == "stop":
        order["windDownS"] = command.grace_s
    return order


def answer_body(token: int, commands: list[Command]) -> bytes:
    """The answer to a report."""
    return orjson.dumps({"warrant": token, "orders": [_order(c) for c in commands]})


def commands_body(token: int, session: int, commands: list[Command]) -> bytes:
    """Commands sent straight to a worker."""
    return orjson.dumps(
        {"warrant": token, "shift": session, "orders": [_order(c) for c in commands]}
    )


def redirect_body(label: str | None) -> bytes:
    """Names the controller that a worker should report to, if it is known."""
    return orjson.dumps({} if label is None else {"foreman": label})
