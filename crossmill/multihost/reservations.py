"""Reserves machines for all members of a replica or for none.

The placement executor calls `ReservationWriter`. A reservation that fits into one transaction is
atomic. A larger one is made in steps, one chunk of members per transaction, under a durable intent:
the replica's phase RESERVING or REPAIRING. If the controller stops between two steps, the next
owner finishes or undoes the reservation.
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..cluster import keys as cluster_keys
from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteRank
from ..wire.state import Put, Txn
from . import keys
from .model import Member, Replica
from .phases import ReplicaPhase
from .placement import ReplicaPlacement
from .pool import PoolState
from .records import encode_chunk, encode_replica
from .writes import PoolWriter, after_transition

# upper bound on the encoded size of a member in a record
MAX_MEMBER_RECORD_BYTES = 96


class Reservation(NamedTuple):
    """A decision to reserve machines for a replica, under an ownership of the pool."""

    ownership: ShardOwnership
    replica: Replica
    placement: ReplicaPlacement
    # wall-clock time of the decision, in seconds
    decided_at: float
    reason: str


class ReservationWriter:
    """Writes reservations for the owner of the pool."""

    def __init__(self, writer: PoolWriter, pool: PoolState) -> None:
        self._writer = writer
        self._pool = pool

    def members_per_chunk(self) -> int:
        """Return the maximum number of members per transaction, with a condition per machine."""
        members_in_a_record = self._writer.max_record_bytes // MAX_MEMBER_RECORD_BYTES
        return max(1, min(self._writer.max_machines, members_in_a_record))

    async def reserve(self, reservation: Reservation) -> bool:
        """Reserve all machines and move the replica to STARTING; return whether this succeeded."""
        replica = reservation.replica
        chunks = self._split(_members(replica, reservation.placement))
        if len(chunks) == 1 and replica.chunk_count <= 1:
            return await self._reserve_at_once(reservation, chunks[0])
        return await self._reserve_in_steps(reservation, chunks)

    def _split(self, members: Sequence[Member]) -> list[tuple[Member, ...]]:
        """Split the members into chunks that fit into one transaction and one record each."""
        size = self.members_per_chunk()
        return [tuple(members[i : i + size]) for i in range(0, len(members), size)]

    async def _reserve_at_once(self, reservation: Reservation, members: tuple[Member, ...]) -> bool:
        replica = reservation.replica
        after = after_transition(
            replica, ReplicaPhase.STARTING, reservation.decided_at, reservation.reason
        )
        after.chunk_count = 1
        txn = self._chunk_transaction(replica, 0, after.generation, members)
        txn.puts.append(Put(keys.replica(replica.id), encode_replica(after)))
        return await self._writer.commit(reservation.ownership, WriteRank.PLACEMENT, txn)

    async def _reserve_in_steps(
        self, reservation: Reservation, chunks: list[tuple[Member, ...]]
    ) -> bool:
        replica = reservation.replica
        if replica.phase is ReplicaPhase.PENDING:
            if not await self._begin(reservation, len(chunks)):
                return False
            replica = self._pool.replicas[replica.id]
        if not await self._reserve_chunks(reservation, replica, chunks):
            return False
        return await self._finish(reservation, len(chunks))

    async def _begin(self, reservation: Reservation, chunk_count: int) -> bool:
        """Write the intent to reserve the machines in this number of chunks."""
        replica = reservation.replica
        after = after_transition(
            replica, ReplicaPhase.RESERVING, reservation.decided_at, reservation.reason
        )
        after.chunk_count = chunk_count
        intent = self._writer.transition(reservation.ownership, replica, after)
        return all(await self._writer.submit([intent]))

    async def _reserve_chunks(
        self, reservation: Reservation, replica: Replica, chunks: list[tuple[Member, ...]]
    ) -> bool:
        """Reserve the machines of each chunk that is not yet reserved for this generation."""
        for number, members in enumerate(chunks):
            stored_chunk = replica.chunks.get(number)
            if (
                stored_chunk is not None
                and stored_chunk.generation == replica.generation
                and stored_chunk.members == members
            ):
                continue
            txn = self._chunk_transaction(replica, number, replica.generation, members)
            if not await self._writer.commit(reservation.ownership, WriteRank.PLACEMENT, txn):
                return False
        return True

    async def _finish(self, reservation: Reservation, chunk_count: int) -> bool:
        """Move a replica whose machines are all reserved to STARTING."""
        replica = self._pool.replicas[reservation.replica.id]
        after = after_transition(
            replica, ReplicaPhase.STARTING, reservation.decided_at, reservation.reason
        )
        after.chunk_count = chunk_count
        key = keys.replica(replica.id)
        txn = Txn({key: replica.version}, [Put(key, encode_replica(after))])
        # delete the remaining chunks of an earlier generation that had more of them
        for number in [n for n in replica.chunks if n >= chunk_count]:
            txn.deletes.append(keys.members(replica.id, number))
        return await self._writer.commit(reservation.ownership, WriteRank.PLACEMENT, txn)

    def _chunk_transaction(
        self, replica: Replica, number: int, generation: int, members: tuple[Member, ...]
    ) -> Txn:
        """Return the transaction that reserves the machines of one chunk.

        The transaction fails if the ordinary record of a machine has changed, since the machine may
        be about to be returned to the cloud.
        """
        key = keys.members(replica.id, number)
        stored_chunk = replica.chunks.get(number)
        txn = Txn({key: stored_chunk.version if stored_chunk else 0})
        txn.conditions[keys.replica(replica.id)] = replica.version
        for member in members:
            machine_key = cluster_keys.machine(member.machine)
            txn.conditions[machine_key] = self._pool.record_version(member.machine)
        txn.puts.append(Put(key, encode_chunk(generation, members)))
        return txn


def _members(replica: Replica, placement: ReplicaPlacement) -> list[Member]:
    """Return the placed members; a rank that moves to another machine begins a new attempt."""
    previous = {m.rank: m for m in replica.all_members()}
    members = []
    for rank, machine, session in placement.members:
        previous_member = previous.get(rank)
        attempt = (
            1
            if previous_member is None
            else previous_member.attempt + (previous_member.machine != machine)
        )
        members.append(Member(rank, machine, session, attempt))
    return members
