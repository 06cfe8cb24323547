"""How replica sets, replicas and machines are shown to operators, as JSON objects.

Pure functions, called by the operators' interface.
"""

from typing import Any

from .model import PoolMachine, Replica, ReplicaSet
from .phases import ReplicaPhase
from .pool import PoolState
from .records import encode_set

# of times in the answers, in seconds
TIME_DECIMALS = 3


def describe_set(pool: PoolState, stored: ReplicaSet) -> dict[str, Any]:
    """Return a set with its declaration and the number of its replicas."""
    replicas = pool.replicas_of.get(stored.spec.name, {})
    data = encode_set(stored)
    data["resources"] = stored.spec.resources._asdict()
    data["ready"] = sum(r.phase is ReplicaPhase.READY for r in replicas.values())
    data["known"] = len(replicas)
    return data


def describe_replica(replica: Replica, wall_time: float) -> dict[str, Any]:
    """Return a replica with its members and its history, at this wall time."""
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
    """Return the last phases, with the time spent in each."""
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
    """Return a machine with what is free on it and its replicas."""
    return {
        "machine": machine.id,
        "zone": machine.zone,
        "draining": machine.drain_reason,
        "has_left": machine.has_left,
        "capacity": machine.capacity._asdict(),
        "free": pool.free(machine)._asdict(),
        "replicas": sorted(str(r) for r in machine.planned),
    }
