"""Transactions of the pool's owner on single records: transitions, creations and deletions.

Each has the version of the shard's key among its conditions, so that it fails once another
controller owns the pool, and the versions of the records that it was decided on. Reservations of
machines are in `reservations`.
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
    returned_record,
)

CREATION_REASON = "declared"
# a transition into any other phase may end service, and is written before these
NOT_URGENT_PHASES = frozenset({ReplicaPhase.PENDING, ReplicaPhase.STOPPED})


def after_transition(replica: Replica, phase: ReplicaPhase, wall: float, reason: str) -> Replica:
    """Return the replica as it is after a transition at this wall time.

    Raises:
        IllegalPhaseTransitionError: The replica can't enter the phase from its present one.
    """
    change = PhaseChange(phase, wall, reason)
    return replace(
        replica,
        phase=phase,
        generation=next_generation(replica.generation, replica.phase, phase),
        since=wall,
        reason=reason,
        history=(*replica.history, change)[-HISTORY_LENGTH:],
    )


class PoolWriter:
    """Writes the pool's records for its owner, and counts the transactions."""

    def __init__(self, ownership: PoolOwnership, writer: Writer, pool: PoolState) -> None:
        self._ownership = ownership
        self._writer = writer
        self._pool = pool
        # since the start of the program
        self.transactions = 0

    @property
    def max_operations(self) -> int:
        """How many records one transaction may write or delete beside the replica's own."""
        return self._writer.limits.txn_ops - 1

    @property
    def max_record_bytes(self) -> int:
        """The longest record that the state service takes."""
        return self._writer.limits.max_record_bytes

    @property
    def max_machines(self) -> int:
        """How many machines one transaction may have among its conditions."""
        return self._writer.limits.max_machines_per_txn

    async def commit(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> bool:
        """Write a transaction and return whether it was committed."""
        return await self._writer.commit(self._intent(ownership, rank, txn)) == WriteResult.OK

    async def submit(self, intents: Sequence[WriteIntent]) -> list[bool]:
        """Submit all, then wait for all; return for each whether it was committed."""
        for intent in intents:
            await self._writer.submit(intent)
        return [await intent.future.wait() == WriteResult.OK for intent in intents]

    def _intent(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> WriteIntent:
        self.transactions += 1
        return self._ownership.write_intent(ownership, rank, txn)

    # -- replicas --------------------------------------------------------------------

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
        """Delete the records of a replica's members; return whether all are deleted."""
        return await self._delete_members(ownership, replica, ())

    async def delete_replica(self, ownership: ShardOwnership, replica: Replica) -> bool:
        """Delete the records of a replica's members and its own; return whether all are deleted."""
        key = keys.replica(replica.id)
        if replica.chunks:
            return await self._delete_members(ownership, replica, (key,))
        txn = Txn({key: replica.version}, [], [key])
        return await self.commit(ownership, WriteRank.PLACEMENT, txn)

    async def _delete_members(
        self, ownership: ShardOwnership, replica: Replica, with_the_last: tuple[str, ...]
    ) -> bool:
        """Delete the members' records, and other keys together with the last of them."""
        most = max(1, self.max_operations)
        chunks = sorted(replica.chunks)
        for first in range(0, len(chunks), most):
            txn = Txn({keys.replica(replica.id): replica.version})
            for number in chunks[first : first + most]:
                key = keys.members(replica.id, number)
                txn.conditions[key] = replica.chunks[number].version
                txn.deletes.append(key)
            if first + most >= len(chunks):
                txn.deletes.extend(with_the_last)
            if not await self.commit(ownership, WriteRank.PLACEMENT, txn):
                return False
        return True

    # -- sets ------------------------------------------------------------------------

    def creation(
        self, ownership: ShardOwnership, stored: ReplicaSet, count: int, wall: float
    ) -> WriteIntent:
        """Return the write that creates new replicas of a set and advances its counter.

        One transaction takes only so many; the rest is created by later passes.
        """
        count = min(count, self.max_operations)
        set_key = keys.replica_set(stored.spec.name)
        after = ReplicaSet(stored.spec, stored.is_removed, stored.next_index + count)
        txn = Txn({set_key: stored.version}, [Put(set_key, encode_set(after))])
        for index in range(stored.next_index, after.next_index):
            replica_id = ReplicaId(stored.spec.name, index)
            history = (PhaseChange(ReplicaPhase.PENDING, wall, CREATION_REASON),)
            replica = Replica(replica_id, since=wall, reason=CREATION_REASON, history=history)
            key = keys.replica(replica_id)
            txn.conditions[key] = 0
            txn.puts.append(Put(key, encode_replica(replica)))
        return self._intent(ownership, WriteRank.PLACEMENT, txn)

    def deletion_of_set(self, ownership: ShardOwnership, stored: ReplicaSet) -> WriteIntent:
        """Return the write that deletes the record of a removed set without replicas."""
        key = keys.replica_set(stored.spec.name)
        return self._intent(ownership, WriteRank.PLACEMENT, Txn({key: stored.version}, [], [key]))

    # -- machines --------------------------------------------------------------------

    def deletion_of_machine(self, ownership: ShardOwnership, machine_id: str) -> WriteIntent:
        """Return the write that deletes the pool's record of a machine that was returned.

        Its ordinary record is gone already, which is a condition of the write.
        """
        key = keys.machine(machine_id)
        version = self._pool.machines[machine_id].version
        conditions = {key: version, cluster_keys.machine(machine_id): 0}
        return self._intent(ownership, WriteRank.PLACEMENT, Txn(conditions, [], [key]))

    def departure_of_machine(self, ownership: ShardOwnership, machine: PoolMachine) -> WriteIntent:
        """Return the write by which an empty machine leaves the pool.

        Its ordinary record names its own type again. The pool's record stays until the machine is
        returned, so that its agent is not admitted again.
        """
        key, ordinary = keys.machine(machine.id), cluster_keys.machine(machine.id)
        value = encode_machine(replace(machine, has_left=True))
        record = returned_record(self._pool.ordinary_record(machine.id))
        txn = Txn({key: machine.version, ordinary: self._pool.record_version(machine.id)})
        txn.puts += [Put(key, value), Put(ordinary, record)]
        return self._intent(ownership, WriteRank.PLACEMENT, txn)
