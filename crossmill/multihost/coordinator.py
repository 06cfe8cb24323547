"""The reconciliation loop of the pool's owner.

A pass examines only replicas, sets and machines that have changed or are due. Every decision is
durable before an agent receives an order that follows from it. A controller may therefore stop at
any moment: the next owner continues each replica from its stored phase. `service` runs the loop,
and heartbeats wake it.
"""

import logging

import curio

from ..cluster.ownership import ShardOwnership
from .candidates import CandidateFinder
from .context import PoolContext
from .failure_scores import FailureScores
from .machine_reconciler import MachineReconciler
from .member_status import DecisionTime
from .placement_executor import PlacementExecutor
from .placement_queue import PlacementQueue
from .pool import PoolChanges
from .registration import Registration
from .replica_reconciler import ReplicaReconciler
from .scheduling import Scheduler
from .set_reconciler import SetReconciler

log = logging.getLogger(__name__)

# maximum number of passes in a heartbeat interval
MAX_PASSES_PER_HEARTBEAT = 20
# minimum number of passes in a heartbeat interval while agents report, so that an overdue heartbeat
# is detected soon
MIN_PASSES_PER_HEARTBEAT = 2


class Coordinator:
    """Runs passes while this controller owns the pool."""

    def __init__(self, context: PoolContext, registration: Registration) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._ownership = context.ownership
        self._pool = context.pool
        self._agents = context.agents
        self._leases = context.leases
        self._writer = context.writer
        self._registration = registration
        self._failures = FailureScores(context.settings.failure_half_life_s)
        self._queue = PlacementQueue(context.settings, context.pool)
        self._machines = MachineReconciler(context)
        self._sets = SetReconciler(context, self._queue)
        self._replicas = ReplicaReconciler(context, self._queue, self._failures)
        finder = CandidateFinder(context.settings, context.pool, context.agents, self._failures)
        scheduler = Scheduler(context.settings, context.pool, self._queue, finder)
        self._placements = PlacementExecutor(
            context.pool, context.writer, self._queue, scheduler, self._sets
        )
        self._wake = curio.Event()
        # the term of the ownership under which passes run (the fencing token with which it began);
        # None until the first pass under an ownership, and after its end
        self._term: int | None = None
        context.ownership.on_lost(self._on_ownership_lost)

    @property
    def replicas_examined(self) -> int:
        """The number of times that a replica was examined since the process started."""
        return self._replicas.examined_count

    async def wake_if_changed(self) -> None:
        """Start the next pass early if something has changed."""
        if self._pool.has_changes:
            await self._wake.set()

    async def run(self) -> None:
        """Run passes while this controller owns the pool: after changes and when one is due."""
        while True:
            ownership = self._ownership.command_ownership()
            if ownership is not None:
                await self.reconcile(ownership)
            await curio.sleep(self._settings.heartbeat_interval_s / MAX_PASSES_PER_HEARTBEAT)
            if ownership is None or not self._pool.has_changes:
                await curio.ignore_after(self._max_delay_s(), self._wake.wait)
            self._wake.clear()

    def _max_delay_s(self) -> float:
        """Return the maximum delay before the next pass, in seconds.

        While agents report, passes must be frequent enough to detect overdue heartbeats. Without
        agents no heartbeat can be overdue, and the first one wakes the loop.
        """
        longest_s = self._settings.heartbeat_interval_s / MIN_PASSES_PER_HEARTBEAT
        if len(self._agents) == 0:
            longest_s = self._settings.idle_poll_interval_s
        due_at = self._replicas.next_due_at()
        if due_at is None:
            return longest_s
        return max(0.0, min(longest_s, due_at - self._clock.now()))

    def _on_ownership_lost(self) -> None:
        """Discard all state of agents and replicas that is not in their records."""
        self._term = None
        self._agents.clear()
        self._leases.clear()
        self._failures.clear()
        self._queue.clear()
        self._machines.clear()
        self._replicas.clear()

    def _begin_term(self, ownership: ShardOwnership) -> None:
        """Mark everything as changed, so that the first pass of an ownership examines it.

        Agents' reports and the leases granted to them are kept: all of them date from this
        ownership, since the end of the previous one discarded the earlier ones.
        """
        self._term = ownership.term
        self._pool.mark_all_changed()
        log.info(
            "pool acquired machines=%d sets=%d replicas=%d",
            len(self._pool.machines),
            len(self._pool.sets),
            len(self._pool.replicas),
        )

    async def reconcile(self, ownership: ShardOwnership) -> None:
        """Run one pass: carry out the next step of everything that has changed or is due."""
        if self._term != ownership.term:
            self._begin_term(ownership)
        time = DecisionTime(self._clock.now(), self._clock.wall_time(), ownership.acquired_at)
        await self._registration.admit(ownership)
        self._machines.mark_affected_replicas(time)
        await self._reconcile_changes(ownership, time, self._pool.pop_changes())
        await self._placements.place(
            ownership,
            time,
            self._replicas.suspects_of,
            lambda: self._term == ownership.term,
        )

    async def _reconcile_changes(
        self, ownership: ShardOwnership, time: DecisionTime, changes: PoolChanges
    ) -> None:
        replica_ids = changes.replicas | self._replicas.pop_due(time.now)
        machine_intents = self._machines.reconcile(ownership, changes.machines)
        set_names = changes.sets | {r.set_name for r in replica_ids} | self._queue.set_names()
        sets = self._sets.reconcile(ownership, time, set_names)
        # a change of one replica can allow another replica of its set to be stopped
        replicas = self._replicas.reconcile(
            ownership, time, replica_ids | sets.may_stop, sets.may_stop
        )
        await self._writer.submit([*machine_intents, *sets.intents, *replicas.intents])
        for deletion in replicas.deletions:
            if deletion.includes_replica:
                await self._writer.delete_replica(ownership, deletion.replica)
            else:
                await self._writer.delete_members(ownership, deletion.replica)
