"""Encodes and decodes the records of replica sets, replicas, members and pool machines.

Pure functions: `pool` decodes, the writers encode. Other versions of the program read the records
too, so the stored names never change, whatever the code calls the fields. Unknown fields are
ignored.

A pool machine has two records: one of the pool, and the ordinary machine record that every version
of the program knows and that single-machine tasks are scheduled by.
"""

from typing import Any

from ..cluster.model import Resources
from .model import (
    Member,
    MemberChunk,
    PhaseChange,
    PoolMachine,
    Replica,
    ReplicaId,
    ReplicaSet,
    ReplicaSetSpec,
)
from .phases import ReplicaPhase

# the number of phase transitions that a replica's record keeps
HISTORY_LENGTH = 8
# versions of the program without multi-machine replicas read a type with this prefix as one that no
# catalog lists: they place no task on such a machine and never return it to the cloud
RESERVED_TYPE_PREFIX = "multihost/"


def encode_set(replica_set: ReplicaSet) -> dict[str, Any]:
    """Return the record of a declaration."""
    spec = replica_set.spec
    return {
        "name": spec.name,
        "members": spec.members,
        "replicas": spec.replicas,
        "resources": list(spec.resources),
        "image": spec.image,
        "image_gb": spec.image_gb,
        "priority": spec.priority,
        "zones": list(spec.zones),
        "one_zone": spec.one_zone,
        "spread": spec.spread,
        "min_ready": spec.min_ready,
        "restart_budget": spec.restart_budget,
        "restart_window_s": spec.restart_window_s,
        "hold_s": spec.hold_s,
        "removed": replica_set.is_removed,
        "next": replica_set.next_number,
    }


def decode_set(value: dict[str, Any], version: int) -> ReplicaSet:
    """Return the declaration stored in a record."""
    spec = ReplicaSetSpec(
        name=value["name"],
        members=value["members"],
        replicas=value["replicas"],
        resources=Resources(*value["resources"]),
        image=value["image"],
        image_gb=value["image_gb"],
        priority=value["priority"],
        zones=tuple(value["zones"]),
        one_zone=value["one_zone"],
        spread=value["spread"],
        min_ready=value["min_ready"],
        restart_budget=value["restart_budget"],
        restart_window_s=value["restart_window_s"],
        hold_s=value["hold_s"],
    )
    return ReplicaSet(spec, value["removed"], value["next"], version)


def encode_replica(replica: Replica) -> dict[str, Any]:
    """Return the record of a replica, without its members."""
    return {
        "phase": replica.phase.value,
        "generation": replica.generation,
        "chunks": replica.chunk_count,
        "since": replica.since,
        "reason": replica.reason,
        "leaving": replica.stop_reason,
        "restarts": list(replica.restarts),
        "history": [[c.phase.value, c.at, c.reason] for c in replica.history[-HISTORY_LENGTH:]],
    }


def decode_replica(replica_id: ReplicaId, value: dict[str, Any], version: int) -> Replica:
    """Return the replica stored in a record; its members have separate records."""
    return Replica(
        replica_id,
        ReplicaPhase(value["phase"]),
        value["generation"],
        value["chunks"],
        value["since"],
        value["reason"],
        value["leaving"],
        tuple(value["restarts"]),
        tuple(PhaseChange(ReplicaPhase(p), at, reason) for p, at, reason in value["history"]),
        version=version,
    )


def encode_chunk(generation: int, members: tuple[Member, ...]) -> dict[str, Any]:
    """Return the record of a chunk of members."""
    return {"generation": generation, "members": [list(m) for m in members]}


def decode_chunk(value: dict[str, Any], version: int) -> MemberChunk:
    """Return the chunk of members stored in a record."""
    return MemberChunk(value["generation"], tuple(Member(*m) for m in value["members"]), version)


def encode_machine(machine: PoolMachine) -> dict[str, Any]:
    """Return the record of a pool machine."""
    return {
        "zone": machine.zone,
        "capacity": list(machine.capacity),
        "fetch_gb_per_s": machine.fetch_gb_per_s,
        "draining": machine.drain_reason,
        "leaving": machine.is_released,
        "left": machine.has_left,
    }


def decode_machine(machine_id: str, value: dict[str, Any], version: int) -> PoolMachine:
    """Return the pool machine stored in a record."""
    return PoolMachine(
        machine_id,
        value["zone"],
        Resources(*value["capacity"]),
        value["fetch_gb_per_s"],
        value["draining"],
        value.get("leaving", False),
        value.get("left", False),
        version,
    )


def unreserved_record(record: dict[str, Any]) -> dict[str, Any]:
    """Return the ordinary record of a machine that has left the pool.

    Single-machine tasks can use the machine again; if none does, it is returned to the cloud.
    """
    return record | {"type": str(record["type"]).removeprefix(RESERVED_TYPE_PREFIX)}


def is_reserved_type(machine_type: str) -> bool:
    """Return whether the type in an ordinary machine record marks a machine of the pool."""
    return machine_type.startswith(RESERVED_TYPE_PREFIX)


def reservation_record(
    machine_type: str, zone: str, spot: bool, shard: int, rented_at: float
) -> dict[str, Any]:
    """Return the ordinary record of a pool machine, in the format that every version reads.

    The reserved type excludes the machine from single-machine tasks and from the return of idle
    machines. The record does not count the machine as up, because a pool machine need not send
    heartbeats to the ordinary interface, and missing ones must not indicate a failure of its zone.
    """
    return {
        "type": RESERVED_TYPE_PREFIX + machine_type,
        "zone": zone,
        "spot": spot,
        "shard": shard,
        "token": 0,
        "at": rented_at,
        "retiring": "",
        "up": False,
    }
