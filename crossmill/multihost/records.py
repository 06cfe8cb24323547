"""Stored formats of replica sets, replicas, members and pool machines, field by field.

Pure functions: `pool` decodes, the writers encode. Other versions of the program read the records,
so the spelling of the stored fields stays whatever the code calls them; unknown fields are ignored.
"""

from typing import Any

from .model import (
    Member,
    MemberChunk,
    PhaseChange,
    PoolMachine,
    Replica,
    ReplicaId,
    ReplicaSet,
    ReplicaSetSpec,
    Resources,
)
from .phases import ReplicaPhase

# entries of a replica's history that are kept
HISTORY_LENGTH = 8
# versions of the program that don't know multi-machine replicas read this as a machine type that no
# catalog has: they place nothing on such a machine and never return it
RESERVED_TYPE_PREFIX = "multihost/"


def encode_set(stored: ReplicaSet) -> dict[str, Any]:
    """Return the record of a declaration."""
    spec = stored.spec
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
        "removed": stored.is_removed,
        "next": stored.next_index,
    }


def decode_set(value: dict[str, Any], version: int) -> ReplicaSet:
    """Return the declaration of a record."""
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
    """Return the replica of a record; its members have records of their own."""
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
    """Return the chunk of members of a record."""
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
    """Return the pool machine of a record."""
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


def returned_record(record: dict[str, Any]) -> dict[str, Any]:
    """Return the ordinary record of a machine that has left the pool.

    Single-machine tasks may use the machine again, and it is returned if nobody does.
    """
    return record | {"type": str(record["type"]).removeprefix(RESERVED_TYPE_PREFIX)}


def is_reserved_type(machine_type: str) -> bool:
    """Return whether an ordinary machine record is that of a machine of the pool."""
    return machine_type.startswith(RESERVED_TYPE_PREFIX)


def reservation_record(
    machine_type: str, zone: str, spot: bool, shard: int, rented: float
) -> dict[str, Any]:
    """Return the ordinary record of a pool machine, in the format that every version reads.

    Its type keeps single-machine tasks and the return of idle machines away. It is never counted as
    up, so that missing heartbeats to the ordinary interface say nothing about its zone.
    """
    return {
        "type": RESERVED_TYPE_PREFIX + machine_type,
        "zone": zone,
        "spot": spot,
        "shard": shard,
        "token": 0,
        "at": rented,
        "retiring": "",
        "up": False,
    }
