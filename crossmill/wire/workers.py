"""Messages to and from workers: heartbeats, and commands in responses or in separate requests.

This module maps the names of fields and values on the wire, which PROTOCOL defines, to those used
in the code. It is stateless.
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
# space for the other fields of a message, as a number of commands of maximum size
RESERVED_COMMANDS = 8
MAX_COMMANDS = MAX_MESSAGE_BYTES // MAX_COMMAND_BYTES - RESERVED_COMMANDS

# a job's ID and the index of one of its tasks
TaskKey = tuple[str, int]


class TaskState(StrEnum):
    """The state of a task on its worker."""

    FETCHING = "fetching"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "exited"


class CommandKind(StrEnum):
    """The actions that a worker is commanded to take on an attempt of a task."""

    START = "start"
    STOP = "stop"
    FORGET = "forget"


# task states by wire name; a task of a gang that has its image and waits for the other tasks of the
# gang ("gathering") has not started
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
        job: The job's ID.
        index: The task's index within the job.
        attempt: The number of the attempt.
        state: The attempt's state.
        exit_reason: The reason why an exited attempt has ended (a value of `workers.EndReason`);
            empty if it has not exited.
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
        machine: The machine's ID.
        address: The worker's own address, `host:port`, to which commands are sent directly.
        type: The machine's type in the catalog.
        zone: The machine's zone.
        spot: Whether the cloud may terminate the machine at short notice.
        session: The number of the worker's session; a new session has a higher number and none of
            the tasks of earlier sessions.
        seq: The sequence number of the heartbeat within the session.
        token: The highest fencing token that the worker has seen.
        notice_s: The seconds until the cloud terminates the machine; None without such a notice.
        tasks: All tasks on the worker.
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
    """A command to a worker about one attempt of a task.

    Attributes:
        op: The action to take.
        task: The job's ID and the task's index, separated by a slash.
        attempt: The number of the attempt.
        grace_s: The time that a stopped task has to save a checkpoint, in seconds.
    """

    op: CommandKind
    task: str
    attempt: int
    grace_s: float = 0.0

    @property
    def job(self) -> str:
        """The task's job ID."""
        return self.task.rpartition("/")[0]


# parses one task of a heartbeat from the values of its wire fields
TaskStatusReader = Callable[[Any, Any, Any, Any, Any], TaskStatus]


def read_task_status(sack: Any, turn: Any, stage: Any, cause: Any, kept: Any) -> TaskStatus:
    """Parse a task of a heartbeat from the values of the wire fields of the same names.

    Raises:
        MalformedMessageError: A value is invalid.
    """
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
    """Return a parser with a cache, since most tasks do not change between heartbeats."""
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
        # the cache can't hash a list or an object, which is not valid for any of the fields
        raise checks.MalformedMessageError("sacks: a task's fields are plain values") from exc


def parse_heartbeat(
    data: dict[str, Any], read: TaskStatusReader = read_task_status
) -> WorkerHeartbeat:
    """Parse a worker's heartbeat; raise MalformedMessageError if it is invalid."""
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


def heartbeat_response_body(token: int, commands: list[Command]) -> bytes:
    """Encode the response to a heartbeat.

    PROTOCOL limits the length of a line, not of a response: one of more than `MAX_COMMANDS` is
    written on several lines.
    """
    orders = [_encode_command(command) for command in commands]
    option = orjson.OPT_INDENT_2 if len(commands) > MAX_COMMANDS else None
    return orjson.dumps({"warrant": token, "orders": orders}, option=option)


def commands_body(token: int, session: int, commands: list[Command]) -> bytes:
    """Encode a request that sends commands directly to a worker."""
    orders = [_encode_command(command) for command in commands]
    return orjson.dumps({"warrant": token, "shift": session, "orders": orders})


def redirect_body(label: str | None) -> bytes:
    """Encode the response that refers a worker to another controller, if its label is known."""
    return orjson.dumps({} if label is None else {"foreman": label})
