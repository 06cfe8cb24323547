"""Messages to and from workers: heartbeats, and the commands that answer them.

This module maps the wire's names of fields and values to the code's; PROTOCOL has the spelling. It
keeps no state. The heartbeat handler, the command sender and the cluster's partition keepalive
use it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache
from typing import Any, NamedTuple

import orjson

from . import checks

HEARTBEAT_PATH = "/agent/beat"
COMMANDS_PATH = "/commands"

MAX_MESSAGE_BYTES = 64 * 1024
MAX_COMMAND_BYTES = 128
# the space of so many commands is left to the other fields of a message
RESERVED_COMMANDS = 8
MAX_COMMANDS = MAX_MESSAGE_BYTES // MAX_COMMAND_BYTES - RESERVED_COMMANDS

# a job's id and the index of one of its tasks
TaskKey = tuple[str, int]


class TaskState(StrEnum):
    """The state of a task on its worker."""

    FETCHING = "fetching"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class CommandKind(StrEnum):
    """What a worker is told to do with an attempt of a task."""

    START = "start"
    STOP = "stop"
    FORGET = "forget"


# by the wire's spelling; a gang's task that has its image and waits for its peers has not started
_TASK_STATES: dict[str, str] = {
    "fetching": TaskState.FETCHING,
    "gathering": TaskState.FETCHING,
    "running": TaskState.RUNNING,
    "saving": TaskState.SAVING,
    "exited": TaskState.EXITED,
}
_EXIT_REASONS = {
    "done": "done",
    "halted": "stopped",
    "error": "error",
    "full": "no_room",
    "in_use": "busy",
    "no_such": "unknown",
    "peers": "peers",
    "incomplete": "peers",
}
_COMMAND_WIRE_NAMES = {
    CommandKind.START: "start",
    CommandKind.STOP: "kill",
    CommandKind.FORGET: "reap",
}


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """One task in a worker's heartbeat.

    Attributes:
        job: The job's id.
        index: The task's index within the job.
        attempt: The number of the attempt.
        state: The attempt's state.
        exit_reason: Why an exited attempt has ended (a value of `workers.EndReason`), else "".
        saved: Whether the attempt has saved a checkpoint.
    """

    job: str
    index: int
    attempt: int
    state: TaskState
    exit_reason: str
    saved: bool


class WorkerHeartbeat(NamedTuple):
    """A worker's heartbeat: its machine, its session and all its tasks.

    Attributes:
        machine: The machine's id.
        address: The worker's own address, `host:port`, for direct commands.
        type: The machine's type in the catalog.
        zone: The machine's zone.
        spot: Whether the cloud may terminate the machine at short notice.
        session: The worker's incarnation; a higher one has lost all tasks of those before.
        seq: The number of the heartbeat within the session.
        token: The highest fencing token that the worker has seen.
        notice_s: In how many seconds the cloud terminates the machine, if it said so.
        tasks: All tasks that the worker has.
    """

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
    """What a worker is told to do with one attempt of a task.

    Attributes:
        op: What to do.
        task: The job's id and the task's index, separated by a slash.
        attempt: The number of the attempt.
        grace_s: How long a stopped task may take to save, in seconds.
    """

    op: CommandKind
    task: str
    attempt: int
    grace_s: float = 0.0


# reads one task of a heartbeat from its fields on the wire
TaskStatusReader = Callable[[Any, Any, Any, Any, Any], TaskStatus]


def read_task_status(sack: Any, turn: Any, stage: Any, cause: Any, kept: Any) -> TaskStatus:
    """Returns a task of a heartbeat; raises MalformedMessageError."""
    data = {"sack": sack, "turn": turn, "stage": stage}
    job, _, index = checks.text(data, "sack").rpartition("/")
    if not job or not index.isdigit():
        raise checks.MalformedMessageError("sack: not a task")
    state = TaskState(checks.one_of(data, "stage", _TASK_STATES))
    return TaskStatus(
        job=job,
        index=int(index),
        attempt=checks.count(data, "turn"),
        state=state,
        exit_reason=_EXIT_REASONS.get(cause or "", "error") if state is TaskState.EXITED else "",
        saved=kept is True,
    )


def cached_task_status_reader(max_entries: int) -> TaskStatusReader:
    """Returns a reader with a cache, as most tasks are the same in heartbeat after heartbeat."""
    return lru_cache(maxsize=max_entries, typed=True)(read_task_status)


def _read_tasks(tasks: list[dict[str, Any]], read: TaskStatusReader) -> list[TaskStatus]:
    try:
        return [
            read(
                task.get("sack"),
                task.get("turn"),
                task.get("stage"),
                task.get("cause"),
                task.get("kept"),
            )
            for task in tasks
        ]
    except TypeError as exc:
        # a list or an object where a plain value belongs
        raise checks.MalformedMessageError("sacks: a task's fields are plain values") from exc


def parse_heartbeat(
    data: dict[str, Any], read: TaskStatusReader = read_task_status
) -> WorkerHeartbeat:
    """Returns a worker's heartbeat; raises MalformedMessageError."""
    tasks = data.get("sacks")
    if type(tasks) is not list or not all(type(task) is dict for task in tasks):
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
        tasks=_read_tasks(tasks, read),
    )


def _encode_command(command: Command) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "verb": _COMMAND_WIRE_NAMES[command.op],
        "sack": command.task,
        "turn": command.attempt,
    }
    if command.op is CommandKind.STOP:
        encoded["windDownS"] = command.grace_s
    return encoded


def answer_body(token: int, commands: list[Command]) -> bytes:
    """Returns the answer to a heartbeat."""
    orders = [_encode_command(command) for command in commands]
    return orjson.dumps({"warrant": token, "orders": orders})


def commands_body(token: int, session: int, commands: list[Command]) -> bytes:
    """Returns the request that sends commands straight to a worker."""
    orders = [_encode_command(command) for command in commands]
    return orjson.dumps({"warrant": token, "shift": session, "orders": orders})


def redirect_body(label: str | None) -> bytes:
    """Returns the answer that names the controller to which a worker should turn, if known."""
    return orjson.dumps({} if label is None else {"foreman": label})
