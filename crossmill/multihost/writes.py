"""Transactions of the pool's owner: transitions, reservations, deletions.

Each rests on the shard's key, so that it does nothing once another controller owns the pool, and on
the versions of the records that it was decided on.
"""

import logging
from collections.abc import Sequence
from dataclasses import replace

from ..cluster import keys as cluster_keys
from ..cluster.membership import Membership
from ..cluster.ownership import ShardOwnership
from ..jobs.shard_writes import shard_intent
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .model import Member, PhaseChange, PoolMachine, Replica, ReplicaId, ReplicaSet
from .phases import ReplicaPhase, next_generation
from .placement import ReplicaPlacement
from .pool import PoolState
from .records import (
    HISTORY_LENGTH,
    encode_chunk,
    encode_machine,
    encode_replica,
    encode_set,
    returned_record,
)

log = logging.getLogger(__name__)

# the longest encoding of a member in a record
MAX_MEMBER_RECORD_BYTES = 96


def after_transition(replica: Replica, phase: ReplicaPhase, wall: float, reason: str) -> Replica:
    """The replica after a transition; raises IllegalPhaseTransitionError."""
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
    """Writes for the owner of the pool, counted."""

    def __init__(
        self, membership: Membership, writer: Writer, pool: PoolState, pool_shard: int
    ) -> None:
        self._membership = membership
        self._writer = writer
        self._pool = pool
        self._shard = pool_shard
        self.transactions = 0

    def _intent(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> WriteIntent:
        self.transactions += 1
        return shard_intent(self._membership, self._shard, ownership, rank, txn)

    async def _commit(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> bool:
        return await self._writer.commit(self._intent(ownership, rank, txn)) == WriteResult.OK

    async def submit(self, intents: Sequence[WriteIntent]) -> list[bool]:
        """Sends all, then waits for all."""
        for intent in intents:
            await self._writer.submit(intent)
        return [await intent.future.wait() == WriteResult.OK for intent in intents]

    # -- single records --------------------------------------------------------------

    def transition(
        self, ownership: ShardOwnership, replica: Replica, after: Replica
    ) -> WriteIntent:
        """A replica's record, changed. What ends service is urgent."""
        key = keys.replica(replica.id)
        rank = (
            WriteRank.PLACEMENT
            if after.phase in (ReplicaPhase.PENDING, ReplicaPhase.STOPPED)
            else WriteRank.URGENT
        )
        return self._intent(
            ownership, rank, Txn({key: replica.version}, [Put(key, encode_replica(after))])
        )

    def creation(
        self, ownership: ShardOwnership, stored: ReplicaSet, number: int, wall: float
    ) -> WriteIntent:
        """New replicas of a set, and its counter of their numbers. As many as one transaction
        takes; the rest follows.
        """
        number = min(number, self._writer.limits.txn_ops - 1)
        set_key = keys.replica_set(stored.spec.name)
        after = ReplicaSet(stored.spec, stored.removed, stored.next_index + number)
        txn = Txn({set_key: stored.version}, [Put(set_key, encode_set(after))])
        for index in range(stored.next_index, after.next_index):
            replica_id = ReplicaId(stored.spec.name, index)
            history = (PhaseChange(ReplicaPhase.PENDING, wall, "declared"),)
            replica = Replica(replica_id, since=wall, reason="declared", history=history)
            key = keys.replica(replica_id)
            txn.conditions[key] = 0
            txn.puts.append(Put(key, encode_replica(replica)))
        return self._intent(ownership, WriteRank.PLACEMENT, txn)

    def deletion_of_set(self, ownership: ShardOwnership, stored: ReplicaSet) -> WriteIntent:
        """The record of a removed set without replicas."""
        key = keys.replica_set(stored.spec.name)
        return self._intent(ownership, WriteRank.PLACEMENT, Txn({key: stored.version}, [], [key]))

    def deletion_of_machine(self, ownership: ShardOwnership, machine_id: str) -> WriteIntent:
        """The pool's record of a machine that was returned: its ordinary record is gone."""
        key = keys.machine(machine_id)
        version = self._pool.machines[machine_id].version
        conditions = {key: version, cluster_keys.machine(machine_id): 0}
        return self._intent(ownership, WriteRank.PLACEMENT, Txn(conditions, [], [key]))

    def departure_of_machine(self, ownership: ShardOwnership, machine: PoolMachine) -> WriteIntent:
        """An empty machine leaves the pool: its ordinary record names its own type again. The
        pool's record stays until the machine is gone, so that its agent is not taken in anew.
        """
        key, ordinary = keys.machine(machine.id), cluster_keys.machine(machine.id)
        value = encode_machine(replace(machine, has_left=True))
        record = returned_record(self._pool.mirror.value(ordinary))
        txn = Txn({key: machine.version, ordinary: self._pool.record_version(machine.id)})
        txn.puts += [Put(key, value), Put(ordinary, record)]
        return self._intent(ownership, WriteRank.PLACEMENT, txn)

    async def clear(self, ownership: ShardOwnership, replica: Replica, record_too: bool) -> bool:
        """Deletes the members' records, and at last the replica's own if it is to go."""
        most = max(1, self._writer.limits.txn_ops - 1)
        chunks = sorted(replica.chunks)
        for first in range(0, len(chunks), most):
            txn = Txn({keys.replica(replica.id): replica.version})
            for number in chunks[first : first + most]:
                key = keys.members(replica.id, number)
                txn.conditions[key] = replica.chunks[number].version
                txn.deletes.append(key)
            if record_too and first + most >= len(chunks):
                txn.deletes.append(keys.replica(replica.id))
            if not await self._commit(ownership, WriteRank.PLACEMENT, txn):
                return False
        if record_too and not chunks:
            key = keys.replica(replica.id)
            return await self._commit(
                ownership, WriteRank.PLACEMENT, Txn({key: replica.version}, [], [key])
            )
        return True

    # -- reservations ----------------------------------------------------------------

    def members_per_chunk(self) -> int:
        """How many members one transaction reserves, with a condition on each machine."""
        limits = self._writer.limits
        by_size = limits.record_bytes // MAX_MEMBER_RECORD_BYTES
        return max(1, min(limits.machines_per_txn, by_size))

    def _split(self, replica: Replica, members: Sequence[Member]) -> list[tuple[Member, ...]]:
        """The members' records. A reservation under way keeps their number: limits may differ
        from those that it was begun under.
        """
        size = self.members_per_chunk()
        return [tuple(members[i : i + size]) for i in range(0, len(members), size)]

    def _reservation(
        self, replica: Replica, number: int, generation: int, members: tuple[Member, ...]
    ) -> Txn:
        """Reserves the machines of some members: none of them may be on its way out."""
        key = keys.members(replica.id, number)
        known = replica.chunks.get(number)
        txn = Txn({key: known.version if known else 0})
        txn.conditions[keys.replica(replica.id)] = replica.version
        for member in members:
            machine_key = cluster_keys.machine(member.machine)
            txn.conditions[machine_key] = self._pool.record_version(member.machine)
        txn.puts.append(Put(key, encode_chunk(generation, members)))
        return txn

    async def reserve(
        self,
        ownership: ShardOwnership,
        replica: Replica,
        placement: ReplicaPlacement,
        wall: float,
        reason: str,
    ) -> bool:
        """Reserves all machines and begins the start. In one transaction if it takes them all;
        else in steps under a durable intent (the phase), which this owner or the next goes on
        with or undoes.
        """
        members = self._members(replica, placement)
        chunks = self._split(replica, members)
        if len(chunks) == 1 and replica.chunk_count <= 1:
            return await self._reserve_at_once(ownership, replica, chunks[0], wall, reason)
        return await self._reserve_in_steps(ownership, replica, chunks, wall, reason)

    @staticmethod
    def _members(replica: Replica, placement: ReplicaPlacement) -> list[Member]:
        before = {m.rank: m for m in replica.all_members()}
        members = []
        for rank, machine, session in placement.members:
            old = before.get(rank)
            attempt = 1 if old is None else old.attempt + (old.machine != machine)
            members.append(Member(rank, machine, session, attempt))
        return members

    async def _reserve_at_once(
        self,
        ownership: ShardOwnership,
        replica: Replica,
        members: tuple[Member, ...],
        wall: float,
        reason: str,
    ) -> bool:
        after = after_transition(replica, ReplicaPhase.STARTING, wall, reason)
        after.chunk_count = 1
        txn = self._reservation(replica, 0, after.generation, members)
        txn.puts.append(Put(keys.replica(replica.id), encode_replica(after)))
        return await self._commit(ownership, WriteRank.PLACEMENT, txn)

    async def _reserve_in_steps(
        self,
        ownership: ShardOwnership,
        replica: Replica,
        chunks: list[tuple[Member, ...]],
        wall: float,
        reason: str,
    ) -> bool:
        if replica.phase is ReplicaPhase.PENDING:
            after = after_transition(replica, ReplicaPhase.RESERVING, wall, reason)
            after.chunk_count = len(chunks)
            if not all(await self.submit([self.transition(ownership, replica, after)])):
                return False
            replica = self._pool.replicas[replica.id]
        for number, members in enumerate(chunks):
            known = replica.chunks.get(number)
            done = known is not None and known.generation == replica.generation
            if done and known is not None and known.members == members:
                continue
            txn = self._reservation(replica, number, replica.generation, members)
            if not await self._commit(ownership, WriteRank.PLACEMENT, txn):
                return False
        replica = self._pool.replicas[replica.id]
        after = after_transition(replica, ReplicaPhase.STARTING, wall, reason)
        after.chunk_count = len(chunks)
        key = keys.replica(replica.id)
        txn = Txn({key: replica.version}, [Put(key, encode_replica(after))])
        for number in [n for n in replica.chunks if n >= len(chunks)]:
            txn.deletes.append(keys.members(replica.id, number))
        return await self._commit(ownership, WriteRank.PLACEMENT, txn)
