"""Builds the transactions of the pool's owner that create, change and delete records.

The conditions of each transaction include the version of the shard's key, so that it fails once
another controller owns the pool, and the versions of the records that the decision is based on.
Reservations of machines are in `reservations`.
"""

from collections.abc import Sequence
from dataclasses import replace

from ..cluster import keys as cluster_keys
from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .model import PhaseChange, PoolMachine, Replica, ReplicaId, ReplicaSet
from .phases import ReplicaPhase, next_generation
from .pool import PoolState
from .pool_ownership import PoolOwnership
from .records import (
    HISTORY_LENGTH,
    encode_machine,
    encode_replica,
    encode_set,
    unreserved_record,
)

CREATION_REASON = "declared"
# a transition into any other phase may stop a replica from serving: it is written with priority
NOT_URGENT_PHASES = frozenset({ReplicaPhase.PENDING, ReplicaPhase.STOPPED})


def after_transition(
    replica: Replica, phase: ReplicaPhase, wall_time: float, reason: str
) -> Replica:
    """Return a copy of the replica after a transition at the given wall-clock time.

    Raises:
        IllegalPhaseTransitionError: The replica can't enter the phase from its current one.
    """
    change = PhaseChange(phase, wall_time, reason)
    return replace(
        replica,
        phase=phase,
        generation=next_generation(replica.generation, replica.phase, phase),
        since=wall_time,
        reason=reason,
        history=(*replica.history, change)[-HISTORY_LENGTH:],
    )


class PoolWriter:
    """Writes the pool's records for the pool's owner, and counts the transactions."""

    def __init__(self, ownership: PoolOwnership, writer: Writer, pool: PoolState) -> None:
        self._ownership = ownership
        self._writer = writer
        self._pool = pool
        # the number of transactions since the process started
        self.transactions = 0

    @property
    def max_operations(self) -> int:
        """The maximum number of records in one transaction, not counting the replica's own."""
        return self._writer.limits.txn_ops - 1

    @property
    def max_record_bytes(self) -> int:
        """The maximum length of a record that the state service accepts, in bytes."""
        return self._writer.limits.max_record_bytes

    @property
    def max_machines(self) -> int:
        """The maximum number of machines in the conditions of one transaction."""
        return self._writer.limits.max_machines_per_txn

    async def commit(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> bool:
        """Write a transaction and return whether it was committed."""
        return await self._writer.commit(self._intent(ownership, rank, txn)) == WriteResult.OK

    async def submit(self, intents: Sequence[WriteIntent]) -> list[bool]:
        """Submit all intents, wait for all, and return for each whether it was committed."""
        for intent in intents:
            await self._writer.submit(intent)
        return [await intent.future.wait() == WriteResult.OK for intent in intents]

    def _intent(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> WriteIntent:
        self.transactions += 1
        return self._ownership.write_intent(ownership, rank, txn)

    def transition(
        self, ownership: ShardOwnership, replica: Replica, after: Replica
    ) -> WriteIntent:
        """Return the write that changes a replica's record."""
        key = keys.replica(replica.id)
        is_urgent = after.phase not in NOT_URGENT_PHASES
        rank = WriteRank.URGENT if is_urgent else WriteRank.PLACEMENT
        txn = Txn({key: replica.version}, [Put(key, encode_replica(after))])
        return self._intent(ownership, rank, txn)

    async def delete_members(self, ownership: ShardOwnership, replica: Replica) -> bool:
        """Delete the records of a replica's members and return whether all are deleted."""
        return await self._delete_members(ownership, replica, ())

    async def delete_replica(self, ownership: ShardOwnership, replica: Replica) -> bool:
        """Delete a replica's record and its members' and return whether all are deleted."""
        key = keys.replica(replica.id)
        if replica.chunks:
            return await self._delete_members(ownership, replica, (key,))
        txn = Txn({key: replica.version}, [], [key])
        return await self.commit(ownership, WriteRank.PLACEMENT, txn)

    async def _delete_members(
        self, ownership: ShardOwnership, replica: Replica, keys_with_last_chunk: tuple[str, ...]
    ) -> bool:
        """Delete the members' records, and the given keys in the last transaction."""
        max_chunks = max(1, self.max_operations)
        chunks = sorted(replica.chunks)
        for first in range(0, len(chunks), max_chunks):
            txn = Txn({keys.replica(replica.id): replica.version})
            for number in chunks[first : first + max_chunks]:
                key = keys.members(replica.id, number)
                txn.conditions[key] = replica.chunks[number].version
                txn.deletes.append(key)
            if first + max_chunks >= len(chunks):
                txn.deletes.extend(keys_with_last_chunk)
            if not await self.commit(ownership, WriteRank.PLACEMENT, txn):
                return False
        return True

    def creation(
        self, ownership: ShardOwnership, replica_set: ReplicaSet, count: int, wall_time: float
    ) -> WriteIntent:
        """Return the write that creates new replicas of a set and advances its counter.

        The size of a transaction is limited; later passes create the remaining replicas.
        """
        count = min(count, self.max_operations)
        set_key = keys.replica_set(replica_set.spec.name)
        after = ReplicaSet(
            replica_set.spec, replica_set.is_removed, replica_set.next_number + count
        )
        txn = Txn({set_key: replica_set.version}, [Put(set_key, encode_set(after))])
        for number in range(replica_set.next_number, after.next_number):
            replica_id = ReplicaId(replica_set.spec.name, number)
            history = (PhaseChange(ReplicaPhase.PENDING, wall_time, CREATION_REASON),)
            replica = Replica(replica_id, since=wall_time, reason=CREATION_REASON, history=history)
            key = keys.replica(replica_id)
            txn.conditions[key] = 0
            txn.puts.append(Put(key, encode_replica(replica)))
        return self._intent(ownership, WriteRank.PLACEMENT, txn)

    def deletion_of_set(self, ownership: ShardOwnership, replica_set: ReplicaSet) -> WriteIntent:
        """Return the write that deletes the record of a removed set that has no replicas left."""
        key = keys.replica_set(replica_set.spec.name)
        return self._intent(
            ownership, WriteRank.PLACEMENT, Txn({key: replica_set.version}, [], [key])
        )

    def deletion_of_machine(self, ownership: ShardOwnership, machine_id: str) -> WriteIntent:
        """Return the write that deletes the pool record of a machine returned to the cloud.

        The write is conditional on the machine's ordinary record having been deleted.
        """
        key = keys.machine(machine_id)
        version = self._pool.machines[machine_id].version
        conditions = {key: version, cluster_keys.machine(machine_id): 0}
        return self._intent(ownership, WriteRank.PLACEMENT, Txn(conditions, [], [key]))

    def removal_of_machine(self, ownership: ShardOwnership, machine: PoolMachine) -> WriteIntent:
        """Return the write that removes an idle machine from the pool.

        The write restores the machine type in the ordinary record. The pool record is kept until
        the machine is returned to the cloud, so that its agent is not admitted again.
        """
        key, ordinary = keys.machine(machine.id), cluster_keys.machine(machine.id)
        value = encode_machine(replace(machine, has_left=True))
        record = unreserved_record(self._pool.ordinary_record(machine.id))
        txn = Txn({key: machine.version, ordinary: self._pool.record_version(machine.id)})
        txn.puts += [Put(key, value), Put(ordinary, record)]
        return self._intent(ownership, WriteRank.PLACEMENT, txn)
