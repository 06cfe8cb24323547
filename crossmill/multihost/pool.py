"""What the state service holds about multi-machine replicas, kept up with the mirror."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ..cluster import keys as cluster_keys
from ..state.mirror import Mirror
from . import keys
from .model import (
    NO_RESOURCES,
    MemberChunk,
    PoolMachine,
    Replica,
    ReplicaId,
    ReplicaSet,
    Resources,
)
from .records import (
    RESERVED_TYPE_PREFIX,
    decode_chunk,
    decode_machine,
    decode_replica,
    decode_set,
)


@dataclass(slots=True, eq=False)
class Changes:
    """What has changed in the records, or by heartbeats, since the pool's owner last looked; only
    it takes them away.
    """

    sets: set[str] = field(default_factory=set)
    replicas: set[ReplicaId] = field(default_factory=set)
    machines: set[str] = field(default_factory=set)

    def __bool__(self) -> bool:
        return bool(self.sets or self.replicas or self.machines)


class PoolState:
    """Replica sets, replicas with their members, and machines; only durable facts stand here."""

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.sets: dict[str, ReplicaSet] = {}
        self.replicas: dict[ReplicaId, Replica] = {}
        self.replicas_of: dict[str, dict[int, Replica]] = {}
        self.machines: dict[str, PoolMachine] = {}
        # members planned on machines that have no record, by machine
        self._members_without_machine: dict[str, dict[ReplicaId, Any]] = {}
        self.changes = Changes()
        mirror.listen(self._on_key)

    # -- reading ---------------------------------------------------------------------

    def member_resources(self, replica_id: ReplicaId) -> Resources:
        """What a member of the replica takes."""
        stored = self.sets.get(replica_id.set_name)
        return stored.spec.resources if stored is not None else NO_RESOURCES

    def free(self, machine: PoolMachine) -> Resources:
        """What the plan leaves free on the machine."""
        free = machine.capacity
        for replica_id in machine.planned:
            free = free.minus(self.member_resources(replica_id))
        return free

    def placeable(self) -> list[PoolMachine]:
        """The machines that have not left the pool."""
        return [m for m in self.machines.values() if not m.has_left]

    def is_retiring(self, machine_id: str) -> bool:
        """Whether the machine is about to be returned, or was."""
        value = self.mirror.value(cluster_keys.machine(machine_id))
        return value is None or bool(value["retiring"])

    def record_version(self, machine_id: str) -> int:
        """The version of the machine's ordinary record: a reservation rests on it."""
        return self.mirror.version(cluster_keys.machine(machine_id))

    def note_agent_change(self, machine: str, replicas: Iterable[ReplicaId]) -> None:
        """An agent's heartbeat brought something new about its machine and these replicas."""
        self.changes.machines.add(machine)
        self.changes.replicas.update(replicas)

    def take_changes(self) -> Changes:
        """What has changed since this was last called."""
        changes, self.changes = self.changes, Changes()
        return changes

    # -- changes of keys -------------------------------------------------------------

    def _on_key(self, key: str, value: Any, version: int) -> None:
        if key.startswith(cluster_keys.MACHINE):
            machine_id = key[len(cluster_keys.MACHINE) :]
            if machine_id in self.machines:
                self.changes.machines.add(machine_id)
            return
        if not key.startswith(keys.PREFIX):
            return
        if key.startswith(keys.REPLICA):
            self._on_replica(keys.parse_replica(key[len(keys.REPLICA) :]), value, version)
        elif key.startswith(keys.MEMBERS):
            replica_id, chunk = keys.parse_members(key[len(keys.MEMBERS) :])
            self._on_members(replica_id, chunk, value, version)
        elif key.startswith(keys.SET):
            self._on_set(key[len(keys.SET) :], value, version)
        elif key.startswith(keys.MACHINE):
            self._on_machine(key[len(keys.MACHINE) :], value, version)

    def _on_set(self, name: str, value: Any, version: int) -> None:
        self.changes.sets.add(name)
        if value is None:
            self.sets.pop(name, None)
        else:
            self.sets[name] = decode_set(value, version)

    def _on_replica(self, replica_id: ReplicaId, value: Any, version: int) -> None:
        self.changes.replicas.add(replica_id)
        self.changes.sets.add(replica_id.set_name)
        old = self.replicas.get(replica_id)
        chunks = old.chunks if old is not None else {}
        if value is None:
            # its members' records may be told of later; until then it is a replica without one
            self._store(Replica(replica_id, chunks=chunks))
        else:
            replica = decode_replica(replica_id, value, version)
            replica.chunks = chunks
            self._store(replica)

    def _store(self, replica: Replica) -> None:
        siblings = self.replicas_of.setdefault(replica.id.set_name, {})
        if replica.version == 0 and not replica.chunks:
            self.replicas.pop(replica.id, None)
            siblings.pop(replica.id.number, None)
            if not siblings:
                del self.replicas_of[replica.id.set_name]
            return
        self.replicas[replica.id] = replica
        siblings[replica.id.number] = replica

    def _on_members(self, replica_id: ReplicaId, chunk: int, value: Any, version: int) -> None:
        self.changes.replicas.add(replica_id)
        replica = self.replicas.get(replica_id) or Replica(replica_id)
        old = replica.chunks.pop(chunk, None)
        if old is not None:
            self._unplan(replica_id, old)
        if value is not None:
            replica.chunks[chunk] = decode_chunk(value, version)
        self._store(replica)
        # a member may have moved from one chunk's machine to another's: all are indexed anew
        for other in replica.chunks.values():
            self._plan(replica_id, other)

    def _plan(self, replica_id: ReplicaId, chunk: MemberChunk) -> None:
        for member in chunk.members:
            machine = self.machines.get(member.machine)
            if machine is not None:
                machine.planned[replica_id] = member
            else:
                self._members_without_machine.setdefault(member.machine, {})[replica_id] = member

    def _unplan(self, replica_id: ReplicaId, chunk: MemberChunk) -> None:
        for member in chunk.members:
            machine = self.machines.get(member.machine)
            if machine is not None:
                machine.planned.pop(replica_id, None)
                self.changes.machines.add(machine.id)
            elif member.machine in self._members_without_machine:
                self._members_without_machine[member.machine].pop(replica_id, None)
                if not self._members_without_machine[member.machine]:
                    del self._members_without_machine[member.machine]

    def _on_machine(self, machine_id: str, value: Any, version: int) -> None:
        self.changes.machines.add(machine_id)
        old = self.machines.pop(machine_id, None)
        if value is None:
            if old is not None and old.planned:
                self._members_without_machine[machine_id] = old.planned
            return
        machine = decode_machine(machine_id, value, version)
        machine.planned = (
            old.planned if old is not None else self._members_without_machine.pop(machine_id, {})
        )
        self.machines[machine_id] = machine


def is_reserved_type(machine_type: str) -> bool:
    """Whether an ordinary machine record stands for a machine of the pool."""
    return machine_type.startswith(RESERVED_TYPE_PREFIX)
