"""Carries out the scheduler's choices: reserves machines and marks preempted replicas.

The coordinator calls `PlacementExecutor` at the end of each pass. Choices are carried out one after
the other, in the order of the queue. The executor is stateless.
"""

import logging
from collections.abc import Callable

from ..cluster.ownership import ShardOwnership
from .member_status import DecisionTime
from .model import Replica, ReplicaId
from .phases import ReplicaPhase
from .placement import ReplicaPlacement
from .placement_queue import PlacementQueue
from .pool import PoolState
from .reservations import Reservation, ReservationWriter
from .scheduling import PlacementChoice, Scheduler
from .set_reconciler import SetReconciler
from .sets import PREEMPTED_REASON_PREFIX
from .writes import PoolWriter

log = logging.getLogger(__name__)


class PlacementExecutor:
    """Reserves machines for the replicas in the placement queue."""

    def __init__(
        self,
        pool: PoolState,
        writer: PoolWriter,
        queue: PlacementQueue,
        scheduler: Scheduler,
        sets: SetReconciler,
    ) -> None:
        self._pool = pool
        self._writer = writer
        self._reservations = ReservationWriter(writer, pool)
        self._queue = queue
        self._scheduler = scheduler
        self._sets = sets

    async def place(
        self,
        ownership: ShardOwnership,
        time: DecisionTime,
        suspects_of: Callable[[ReplicaId], frozenset[int]],
        is_still_owner: Callable[[], bool],
    ) -> None:
        """Place the replicas in the queue, or preempt others for them.

        Args:
            ownership: The ownership of the pool.
            time: The time of the decisions.
            suspects_of: Returns the ranks whose machines caused a replica's restart.
            is_still_owner: Returns whether the ownership still holds; called before each choice
                is carried out.
        """
        for choice in self._scheduler.choose(time, suspects_of):
            if not is_still_owner():
                return
            if choice.victims:
                await self._preempt(ownership, choice)
            if choice.placement is not None:
                await self._reserve(ownership, time, choice, choice.placement)

    async def _preempt(self, ownership: ShardOwnership, choice: PlacementChoice) -> None:
        """Mark the replicas to be preempted as stopping."""
        reason = f"{PREEMPTED_REASON_PREFIX} {choice.replica_id}"
        intents = [self._sets.mark_stopping(ownership, v, reason) for v in choice.victims]
        await self._writer.submit(intents)

    async def _reserve(
        self,
        ownership: ShardOwnership,
        time: DecisionTime,
        choice: PlacementChoice,
        placement: ReplicaPlacement,
    ) -> None:
        """Reserve the chosen machines, unless another reservation must be finished first."""
        replica = self._pool.replicas.get(choice.replica_id)
        if replica is None or self._must_wait_for_open_reservation(replica):
            return
        reservation = Reservation(ownership, replica, placement, time.wall_time, choice.reason)
        if await self._reservations.reserve(reservation):
            self._queue.remove(choice.replica_id)
            log.info(
                "replica placed replica=%s generation=%d members=%d kept=%d load_s=%.1f",
                choice.replica_id,
                self._pool.replicas[choice.replica_id].generation,
                len(placement.members),
                placement.survivor_count,
                placement.load_s,
            )

    def _must_wait_for_open_reservation(self, replica: Replica) -> bool:
        """Return whether the replica needs a reservation in steps while another one is open."""
        if replica.phase is not ReplicaPhase.PENDING:
            return False
        members = self._pool.sets[replica.id.set_name].spec.members
        needs_steps = members > self._reservations.members_per_chunk()
        return needs_steps and self._queue.has_open_reservation()
