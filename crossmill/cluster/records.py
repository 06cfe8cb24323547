"""Stored formats of jobs and plans, spelled out field by field.

Records are read by other versions of the program, so a format changes only here, and never by
renaming a field of a class. Unknown fields are ignored. `production` in deploy/service.toml reads
everything written here as long as the cluster's feature level is not raised.
"""

from dataclasses import replace
from typing import Any, NamedTuple

import orjson

from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .model import ACTIVE, ControllerRecord, Job, Machine, PlanChunk, PlannedAttempt


class JobRecord(NamedTuple):
    """A job's stored record."""

    end: str
    spec: JobSpec
    submitted: float
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
    spec: JobSpec, submitted: float, dependencies: tuple[str, ...] = ()
) -> dict[str, Any]:
    """A job just accepted; `needs` are the jobs before it that are not done."""
    value: dict[str, Any] = {"end": ACTIVE, "at": submitted, "spec": _encode_spec(spec)}
    if dependencies:
        value["needs"] = list(dependencies)
    return value


def encode_end(end: str, spec: JobSpec, ended_at: float, most_bytes: int) -> dict[str, Any]:
    """An ended job. The spec stays: a cancelled job's tasks hold room until they are proved
    gone. Of a record that was accepted under larger limits only what that takes is kept.
    """
    value = {"end": end, "spec": _encode_spec(spec), "ended": ended_at}
    if len(orjson.dumps(value)) > most_bytes:
        value["spec"] = _encode_spec(replace(spec, job_class="", image="", types=None, zone=None))
    return value


def decode_job(value: dict[str, Any]) -> JobRecord:
    """A job's record in any version's format."""
    return JobRecord(
        value["end"],
        _decode_spec(value["spec"]),
        value.get("at", 0.0),
        value.get("ended", 0.0),
        tuple(value.get("needs", ())),
    )


def encode_archived(job: Job) -> dict[str, Any]:
    """What is kept of a job that was over long ago."""
    return {"end": job.end, "done": job.done_task_count()}


def encode_chunk(chunk: PlanChunk) -> dict[str, Any]:
    """A chunk of a job's plan."""
    rows = [[r.index, r.number, r.machine, r.session] for r in chunk.attempts.values()]
    return {"next": chunk.next, "done": f"{chunk.done:x}", "rows": rows}


def decode_chunk(job_id: str, value: dict[str, Any], version: int, first: int) -> PlanChunk:
    """A chunk whose lowest task is `first`."""
    rows = {r[0]: PlannedAttempt(job_id, *r) for r in value["rows"]}
    return PlanChunk(value["next"], int(value["done"], 16), rows, version, first)


def decode_machine(machine_id: str, value: dict[str, Any], version: int) -> Machine:
    """A machine's record in any version's format."""
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
    )


def encode_controller(record: ControllerRecord) -> dict[str, Any]:
    """What a controller says of itself."""
    return {
        "lease": record.lease_id,
        "deaf": record.is_unreachable_by_workers,
        "seen": record.seen_note,
    }


def decode_controller(value: dict[str, Any]) -> ControllerRecord:
    """A controller's record in any version's format."""
    return ControllerRecord(value["lease"], bool(value.get("deaf")), value.get("seen", 0))


def decode_catalog(value: list[dict[str, Any]]) -> dict[str, MachineType]:
    """The stored catalog of machine types, by name."""
    types = (MachineType(**{**entry, "zones": tuple(entry["zones"])}) for entry in value)
    return {machine_type.name: machine_type for machine_type in types}
