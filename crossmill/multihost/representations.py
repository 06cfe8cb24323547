"""Converts replica sets, replicas and machines to the JSON objects of the operators' API.

Pure functions, called by `api`.
"""

from typing import Any

from .model import PoolMachine, Replica, ReplicaSet
from .phases import ReplicaPhase
from .pool import PoolState
from .records import encode_set

# number of decimals of the times in responses, which are in seconds
TIME_DECIMALS = 3


def describe_set(pool: PoolState, replica_set: ReplicaSet) -> dict[str, Any]:
    """Describe a set with its declaration and the number of its replicas."""
    replicas = pool.replicas_of.get(replica_set.spec.name, {})
    data = encode_set(replica_set)
    data["resources"] = replica_set.spec.resources._asdict()
    data["ready"] = sum(r.phase is ReplicaPhase.READY for r in replicas.values())
    data["known"] = len(replicas)
    return data


def describe_replica(replica: Replica, wall_time: float) -> dict[str, Any]:
    """Describe a replica with its members and its history, as of this wall-clock time."""
    return {
        "replica": str(replica.id),
        "phase": replica.phase.value,
        "generation": replica.generation,
        "reason": replica.reason,
        "leaving": replica.stop_reason,
        "in_phase_s": round(wall_time - replica.since, TIME_DECIMALS),
        "restarts": len(replica.restarts),
        "members": [m._asdict() for m in replica.members()],
        "history": _describe_history(replica, wall_time),
    }


def _describe_history(replica: Replica, wall_time: float) -> list[dict[str, Any]]:
    """Describe the latest phases with the time spent in each."""
    ends = [change.at for change in replica.history[1:]] + [wall_time]
    return [
        {
            "phase": change.phase.value,
            "at": change.at,
            "for_s": round(end - change.at, TIME_DECIMALS),
            "reason": change.reason,
        }
        for change, end in zip(replica.history, ends, strict=True)
    ]


def describe_machine(pool: PoolState, machine: PoolMachine) -> dict[str, Any]:
    """Describe a machine with its free resources and its replicas."""
    return {
        "machine": machine.id,
        "zone": machine.zone,
        "draining": machine.drain_reason,
        "has_left": machine.has_left,
        "capacity": machine.capacity._asdict(),
        "free": pool.free(machine)._asdict(),
        "replicas": sorted(str(r) for r in machine.planned),
    }
