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
    """The kinds of jobs; the values are the names on the wire and in stored records."""

    # a job array: independent tasks, each of which runs to completion once
    ARRAY = "array"
    # a service: replicas that run until the job is cancelled
    SERVICE = "service"
    # gang-scheduled tasks, which start together or not at all; the wire tables list this kind, but
    # the text of PROTOCOL does not: see docs/questions.md
    GANG = "gang"


KINDS: dict[str, str] = {kind.value: kind.value for kind in JobKind}


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted (POST /v1/jobs); resources are per task, time spans in seconds."""

    id: str
    job_class: str
    team: str
    # the value of a `JobKind`; the properties `is_...` below test it
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
        """Whether the job is a service, whose tasks are replicas that never complete."""
        return self.kind == JobKind.SERVICE

    @property
    def is_gang(self) -> bool:
        """Whether the job's tasks are gang-scheduled."""
        return self.kind == JobKind.GANG


class Submission(NamedTuple):
    """A submitted job, with the jobs that must be done before it starts (POST /v1/jobs)."""

    spec: JobSpec
    dependencies: tuple[str, ...] = ()


def is_job_id(value: str) -> bool:
    """Return whether the value has the form of a job ID."""
    return JOB_ID.match(value) is not None


def parse_submission(data: dict[str, Any]) -> Submission:
    """Parse a submission (POST /v1/jobs); raise MalformedMessageError if it is invalid."""
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
    """Parse the fields of a submitted job; raise MalformedMessageError if one is invalid."""
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
    """Return the ID of a submitted job; raise MalformedMessageError if it is invalid."""
    job_id = checks.text(data, "nameId")
    if not is_job_id(job_id):
        raise MalformedMessageError("nameId: not in the form of a job id")
    return job_id


def status_body(job_id: str, state: str, done: int | None = None, running: int = 0) -> bytes:
    """Encode a job's state, and its task counts if `done` is given (GET /v1/jobs/{id})."""
    body: dict[str, Any] = {
        "nameId": job_id,
        "stage": "withdrawn" if state == "cancelled" else state,
    }
    if done is not None:
        body["done"] = done
        body["running"] = running
    return orjson.dumps(body)


def error_body(reason: str) -> bytes:
    """Encode the reason for which a request was refused."""
    return orjson.dumps({"error": reason})
