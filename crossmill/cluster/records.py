"""Encodes and decodes the stored records of jobs, plans, machines and controllers.

Other versions of the program read these records, so each field is spelled out here, and renaming a
field of a class never changes a format. Unknown fields are ignored. Until the feature level is
raised, the version named `production` in deploy/service.toml can read everything written here.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple

import orjson

from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .model import (
    ACTIVE,
    CapacityLoan,
    ControllerRecord,
    Job,
    JobEnd,
    Level,
    Machine,
    PlanChunk,
    PlannedAttempt,
    Resources,
    ShardAssignment,
)


class JobRecord(NamedTuple):
    """A job's stored record."""

    end: JobEnd
    spec: JobSpec
    submitted_at: float
    ended_at: float
    dependencies: tuple[str, ...]


def _encode_spec(spec: JobSpec) -> dict[str, Any]:
    return {
        "id": spec.id,
        "job_class": spec.job_class,
        "team": spec.team,
        "kind": spec.kind,
        "priority": spec.priority,
        "tasks": spec.tasks,
        "cpus": spec.cpus,
        "gpus": spec.gpus,
        "memory_gb": spec.memory_gb,
        "image": spec.image,
        "image_gb": spec.image_gb,
        "types": None if spec.types is None else list(spec.types),
        "zone": spec.zone,
        "one_zone": spec.one_zone,
        "spread": spec.spread,
        "spot": spec.spot,
        "estimate_s": spec.estimate_s,
        "checkpoint_s": spec.checkpoint_s,
        "save_s": spec.save_s,
        "deadline_s": spec.deadline_s,
    }


def _decode_spec(value: dict[str, Any]) -> JobSpec:
    types = value["types"]
    return JobSpec(
        id=value["id"],
        job_class=value["job_class"],
        team=value["team"],
        kind=value["kind"],
        priority=value["priority"],
        tasks=value["tasks"],
        cpus=value["cpus"],
        gpus=value["gpus"],
        memory_gb=value["memory_gb"],
        image=value["image"],
        image_gb=value["image_gb"],
        types=None if types is None else tuple(types),
        zone=value["zone"],
        one_zone=value["one_zone"],
        spread=value["spread"],
        spot=value["spot"],
        estimate_s=value["estimate_s"],
        checkpoint_s=value["checkpoint_s"],
        save_s=value["save_s"],
        deadline_s=value["deadline_s"],
    )


def encode_job(
    spec: JobSpec, submitted_at: float, dependencies: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Encode a newly accepted job; `dependencies` are the IDs of the jobs that it waits for."""
    value: dict[str, Any] = {"end": ACTIVE, "at": submitted_at, "spec": _encode_spec(spec)}
    if dependencies:
        value["needs"] = list(dependencies)
    return value


def encode_end(end: JobEnd, spec: JobSpec, ended_at: float, max_bytes: int) -> dict[str, Any]:
    """Encode an ended job.

    The spec is kept, because a cancelled job's tasks use capacity until they are proved to have
    ended. If the record is larger than `max_bytes`, because the job was accepted under larger
    limits, the spec is reduced to the fields that are needed for that.
    """
    value = {"end": end, "spec": _encode_spec(spec), "ended": ended_at}
    if len(orjson.dumps(value)) > max_bytes:
        value["spec"] = _encode_spec(replace(spec, job_class="", image="", types=None, zone=None))
    return value


def decode_job(value: dict[str, Any]) -> JobRecord:
    """Decode a job's record in any version's format."""
    return JobRecord(
        JobEnd(value["end"]),
        _decode_spec(value["spec"]),
        value.get("at", 0.0),
        value.get("ended", 0.0),
        tuple(value.get("needs", ())),
    )


def encode_archived(job: Job) -> dict[str, Any]:
    """Encode the archived record of an ended job."""
    return {"end": job.end, "done": job.done_task_count()}


def encode_chunk(chunk: PlanChunk) -> dict[str, Any]:
    """Encode a chunk of a job's plan."""
    rows = [
        [attempt.index, attempt.number, attempt.machine, attempt.session]
        for attempt in chunk.attempts.values()
    ]
    value = {"next": chunk.next_attempt_number, "done": f"{chunk.done_bitmap:x}", "rows": rows}
    if chunk.failed_at:
        value["failed"] = [[machine, round(at, 1)] for machine, at in chunk.failed_at.items()]
    if chunk.has_run:
        value["ran"] = True
    return value


def decode_chunk(job_id: str, value: dict[str, Any], version: int, first: int) -> PlanChunk:
    """Decode a chunk of a job's plan whose first task index is `first`."""
    attempts = {row[0]: PlannedAttempt(job_id, *row) for row in value["rows"]}
    failed_at = {row[0]: row[1] for row in value.get("failed", ())}
    return PlanChunk(
        value["next"],
        int(value["done"], 16),
        attempts,
        version,
        first,
        failed_at,
        bool(value.get("ran")),
    )


def encode_machine(
    machine: Machine,
    retirement_reason: str | None = None,
    is_up: bool | None = None,
    assignment: ShardAssignment | None = None,
    boot_s: float | None = None,
    cordoned_until: float | None = None,
) -> dict[str, Any]:
    """Encode a machine's record with the given changes; None keeps a field unchanged."""
    shard, token = assignment or (machine.shard, machine.token)
    record = {
        "type": machine.type,
        "zone": machine.zone,
        "spot": machine.spot,
        "shard": shard,
        "token": token,
        "at": machine.rented_at,
        "retiring": machine.retirement_reason if retirement_reason is None else retirement_reason,
        "up": machine.is_up if is_up is None else is_up,
    }
    if boot_s is not None or machine.boot_s is not None:
        record["boot_s"] = machine.boot_s if boot_s is None else boot_s
    until = machine.cordoned_until if cordoned_until is None else cordoned_until
    if until:
        record["cordoned_until"] = until
    # a transfer and a retirement end the machine's loans
    if machine.loans and assignment is None and not record["retiring"]:
        record["lent"] = _encode_loans(machine.loans)
    return record


def encode_machine_with_loans(machine: Machine, loans: Iterable[CapacityLoan]) -> dict[str, Any]:
    """Encode a machine's record with its loans replaced.

    Versions below feature level 2 ignore loans and drop them with their next write of the record.
    """
    record = encode_machine(machine)
    record.pop("lent", None)
    if rows := _encode_loans(loans):
        record["lent"] = rows
    return record


def _encode_loans(loans: Iterable[CapacityLoan]) -> list[list[float]]:
    return [[loan.shard, loan.session, *loan.resources] for loan in loans]


def _decode_loans(rows: list[list[Any]]) -> tuple[CapacityLoan, ...]:
    return tuple(CapacityLoan(row[0], row[1], Resources(*row[2:])) for row in rows)


def decode_machine(machine_id: str, value: dict[str, Any], version: int) -> Machine:
    """Decode a machine's record in any version's format."""
    return Machine(
        machine_id,
        value["type"],
        value["zone"],
        value["spot"],
        value["shard"],
        value["at"],
        value["retiring"],
        value["up"],
        value.get("token", 0),
        version,
        value.get("boot_s"),
        value.get("cordoned_until", 0.0),
        _decode_loans(value.get("lent", [])),
    )


def encode_controller(record: ControllerRecord) -> dict[str, Any]:
    """Encode a controller's record."""
    return {
        "lease": record.lease_id,
        "deaf": record.is_unreachable_by_workers,
        "seen": record.newest_read_note,
    }


def decode_controller(value: dict[str, Any]) -> ControllerRecord:
    """Decode a controller's record in any version's format."""
    return ControllerRecord(value["lease"], bool(value.get("deaf")), value.get("seen", 0))


def decode_catalog(value: list[dict[str, Any]]) -> dict[str, MachineType]:
    """Decode the stored catalog into machine types by name."""
    types = (MachineType(**{**entry, "zones": tuple(entry["zones"])}) for entry in value)
    return {machine_type.name: machine_type for machine_type in types}


def encode_level(level: Level) -> dict[str, Any]:
    """Encode the raised feature level."""
    return {
        "level": level.number,
        "legacy_tasks": level.legacy_tasks,
        "segment_tasks": level.segment_tasks,
    }


def decode_level(value: dict[str, Any]) -> Level:
    """Decode the raised feature level."""
    return Level(value["level"], value["legacy_tasks"], value["segment_tasks"])
