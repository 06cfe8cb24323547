"""Messages between users and controllers (PROTOCOL, "Users -> controller nodes")."""

import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

import orjson

from . import checks
from .checks import MalformedMessageError

MAX_TASKS = 100_000
JOB_ID = re.compile(r"wk-[0-9]{6,18}\Z")
PRIORITIES = {"production": "production", "high": "high", "standard": "normal", "idle": "low"}
JOBS_PATH = "/v1/jobs"
CANCEL_ACTION = "withdraw"
DEPENDENCIES_FIELD = "awaits"


class JobKind(StrEnum):
    """The kinds of jobs; the values are spelled as on the wire and in stored records."""

    # a job array: independent tasks, each run to its end once
    ARRAY = "array"
    # replicas that serve until the job is cancelled
    SERVICE = "service"
    # gang-scheduled tasks, which start together or not at all; the sites' wire tables have them,
    # though not the protocol's text: see questions.md
    GANG = "gang"


KINDS: dict[str, str] = {kind.value: kind.value for kind in JobKind}


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its user submitted it (POST /v1/jobs); resources are per task, spans in seconds."""

    id: str
    job_class: str
    team: str
    # the value of a `JobKind`; the properties below tell which
    kind: str
    priority: str
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None

    @property
    def is_array(self) -> bool:
        """Whether the job is a job array."""
        return self.kind == JobKind.ARRAY

    @property
    def is_service(self) -> bool:
        """Whether the job's tasks are replicas of a service, which are never done."""
        return self.kind == JobKind.SERVICE

    @property
    def is_gang(self) -> bool:
        """Whether the job's tasks are gang-scheduled."""
        return self.kind == JobKind.GANG


class Submission(NamedTuple):
    """A submitted job, with the jobs that have to be done before it starts (POST /v1/jobs)."""

    spec: JobSpec
    dependencies: tuple[str, ...] = ()


def is_job_id(value: str) -> bool:
    """Whether the value has the form of a job's id."""
    return JOB_ID.match(value) is not None


def parse_submission(data: dict[str, Any]) -> Submission:
    """Parses a submission (POST /v1/jobs); raises MalformedMessageError."""
    return Submission(parse_spec(data), _parse_dependencies(data))


def _parse_dependencies(data: dict[str, Any]) -> tuple[str, ...]:
    dependencies = data.get(DEPENDENCIES_FIELD)
    if dependencies is None:
        return ()
    if type(dependencies) is not list or not all(
        type(n) is str and is_job_id(n) for n in dependencies
    ):
        raise MalformedMessageError(f"{DEPENDENCIES_FIELD}: a list of job ids or null is needed")
    return tuple(dict.fromkeys(dependencies))


def parse_spec(data: dict[str, Any]) -> JobSpec:
    """Parses the fields of a submitted job; raises MalformedMessageError."""
    job_id = parse_id(data)
    types = data.get("frames")
    if types is not None and (
        type(types) is not list or not types or not all(type(t) is str and t for t in types)
    ):
        raise MalformedMessageError("frames: a list of machine types or null is needed")
    return JobSpec(
        id=job_id,
        job_class=checks.text(data, "grist"),
        team=checks.text(data, "crew"),
        kind=checks.one_of(data, "cut", KINDS),
        priority=checks.one_of(data, "precedence", PRIORITIES),
        tasks=checks.count(data, "sacks", 1, MAX_TASKS),
        cpus=checks.amount(data, "cpus"),
        gpus=checks.amount(data, "cards"),
        memory_gb=checks.amount(data, "ramGb"),
        image=checks.text(data, "recipe"),
        image_gb=checks.amount(data, "pullGb"),
        types=None if types is None else tuple(types),
        zone=checks.optional_text(data, "yard"),
        one_zone=checks.flag(data, "oneZone"),
        spread=checks.flag(data, "spread"),
        spot=checks.flag(data, "loaners"),
        estimate_s=checks.amount(data, "grindS"),
        checkpoint_s=checks.amount(data, "baggingS"),
        save_s=checks.amount(data, "sealS"),
        deadline_s=checks.optional_amount(data, "dueS"),
    )


def parse_id(data: dict[str, Any]) -> str:
    """Returns the id of a submitted job; raises MalformedMessageError."""
    job_id = checks.text(data, "nameId")
    if not is_job_id(job_id):
        raise MalformedMessageError("nameId: not in the form of a job id")
    return job_id


def status_body(job_id: str, state: str, done: int | None = None, running: int = 0) -> bytes:
    """Encodes a job's state, with its task counts if they are given (GET /v1/jobs/{id})."""
    body: dict[str, Any] = {
        "nameId": job_id,
        "stage": "withdrawn" if state == "cancelled" else state,
    }
    if done is not None:
        body["done"] = done
        body["running"] = running
    return orjson.dumps(body)


def error_body(why: str) -> bytes:
    """Encodes the reason why a request was refused."""
    return orjson.dumps({"error": why})
