"""The durable records of multi-machine replicas, kept in sync with the state service's mirror.

`PoolState` owns the decoded records: replica sets, replicas with their members, and machines. They
are modified only when keys in the state service change. `PoolState` also collects the changes that
the coordinator of the pool's owner processes in its next pass.
"""

from collections.abc import Iterable
from typing import Any

from ..cluster import keys as cluster_keys
from ..cluster.model import NO_RESOURCES, Resources
from ..state.mirror import Mirror
from . import keys
from .model import Member, MemberChunk, PoolMachine, Replica, ReplicaId, ReplicaSet
from .records import (
    decode_chunk,
    decode_machine,
    decode_replica,
    decode_set,
)


class PoolChanges:
    """The sets, replicas and machines whose records or reports have changed since the last pass."""

    __slots__ = ("machines", "replicas", "sets")

    def __init__(self) -> None:
        self.sets: set[str] = set()
        self.replicas: set[ReplicaId] = set()
        self.machines: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self.sets or self.replicas or self.machines)


class PoolState:
    """Replica sets, replicas with their members, and machines, as stored in the state service."""

    def __init__(self, mirror: Mirror) -> None:
        self._mirror = mirror
        self.sets: dict[str, ReplicaSet] = {}
        self.replicas: dict[ReplicaId, Replica] = {}
        self.replicas_of: dict[str, dict[int, Replica]] = {}
        self.machines: dict[str, PoolMachine] = {}
        # planned members by machine ID, for machines whose record is deleted or not yet read
        self._members_without_machine: dict[str, dict[ReplicaId, Member]] = {}
        self._changes = PoolChanges()
        mirror.add_listener(self._on_key)

    # -- reading ---------------------------------------------------------------------

    def member_resources(self, replica_id: ReplicaId) -> Resources:
        """Return the resources that a member requires; zero if the replica's set is unknown."""
        replica_set = self.sets.get(replica_id.set_name)
        return replica_set.spec.resources if replica_set is not None else NO_RESOURCES

    def free(self, machine: PoolMachine) -> Resources:
        """Return the machine's capacity minus the resources of its planned members."""
        free = machine.capacity
        for replica_id in machine.planned:
            free = free.subtract(self.member_resources(replica_id))
        return free

    def present_machines(self) -> list[PoolMachine]:
        """Return the machines that have not left the pool."""
        return [m for m in self.machines.values() if not m.has_left]

    def is_retiring(self, machine_id: str) -> bool:
        """Return whether the machine is being returned to the cloud, or has been."""
        record = self.ordinary_record(machine_id)
        return record is None or bool(record["retiring"])

    def ordinary_record(self, machine_id: str) -> Any:
        """Return the machine's ordinary record, which all versions know; None if it is deleted."""
        return self._mirror.value(cluster_keys.machine(machine_id))

    def record_version(self, machine_id: str) -> int:
        """Return the version of the machine's ordinary record, a condition of reservations."""
        return self._mirror.version(cluster_keys.machine(machine_id))

    # -- changes ---------------------------------------------------------------------

    @property
    def has_changes(self) -> bool:
        """Whether anything has changed since the last pass."""
        return bool(self._changes)

    def changed_machines(self) -> tuple[str, ...]:
        """Return the machines that have changed since the last pass."""
        return tuple(self._changes.machines)

    def pop_changes(self) -> PoolChanges:
        """Return the changes since the last call and reset them."""
        changes, self._changes = self._changes, PoolChanges()
        return changes

    def mark_machine_changed(self, machine_id: str) -> None:
        """Mark a machine to be examined by the next pass."""
        self._changes.machines.add(machine_id)

    def mark_replicas_changed(self, replica_ids: Iterable[ReplicaId]) -> None:
        """Mark replicas to be examined by the next pass."""
        self._changes.replicas.update(replica_ids)

    def mark_all_changed(self) -> None:
        """Mark all sets, replicas and machines to be examined by the next pass."""
        self._changes.replicas |= set(self.replicas)
        self._changes.sets |= set(self.sets) | set(self.replicas_of)
        self._changes.machines |= set(self.machines)

    # -- changes of keys -------------------------------------------------------------

    def _on_key(self, key: str, value: Any, version: int) -> None:
        if key.startswith(cluster_keys.MACHINE):
            machine_id = key[len(cluster_keys.MACHINE) :]
            if machine_id in self.machines:
                self._changes.machines.add(machine_id)
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
        self._changes.sets.add(name)
        if value is None:
            self.sets.pop(name, None)
        else:
            self.sets[name] = decode_set(value, version)

    def _on_replica(self, replica_id: ReplicaId, value: Any, version: int) -> None:
        self._changes.replicas.add(replica_id)
        self._changes.sets.add(replica_id.set_name)
        old_replica = self.replicas.get(replica_id)
        chunks = old_replica.chunks if old_replica is not None else {}
        if value is None:
            # its members' records may be deleted later: until then the members stay planned
            self._store(Replica(replica_id, chunks=chunks))
        else:
            replica = decode_replica(replica_id, value, version)
            replica.chunks = chunks
            self._store(replica)

    def _store(self, replica: Replica) -> None:
        """Index a replica, or remove it if it has no records left."""
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
        self._changes.replicas.add(replica_id)
        replica = self.replicas.get(replica_id) or Replica(replica_id)
        old_chunk = replica.chunks.pop(chunk, None)
        if old_chunk is not None:
            self._unplan(replica_id, old_chunk)
        if value is not None:
            replica.chunks[chunk] = decode_chunk(value, version)
        self._store(replica)
        # a member may have moved to a machine that another chunk names too: index all chunks again
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
                self._changes.machines.add(machine.id)
            elif member.machine in self._members_without_machine:
                self._members_without_machine[member.machine].pop(replica_id, None)
                if not self._members_without_machine[member.machine]:
                    del self._members_without_machine[member.machine]

    def _on_machine(self, machine_id: str, value: Any, version: int) -> None:
        self._changes.machines.add(machine_id)
        old_machine = self.machines.pop(machine_id, None)
        if value is None:
            if old_machine is not None and old_machine.planned:
                self._members_without_machine[machine_id] = old_machine.planned
            return
        machine = decode_machine(machine_id, value, version)
        machine.planned = (
            old_machine.planned
            if old_machine is not None
            else self._members_without_machine.pop(machine_id, {})
        )
        self.machines[machine_id] = machine
