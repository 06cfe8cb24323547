"""Reconciles replicas: decides on each one that has changed or is due, and plans the writes.

The coordinator calls `ReplicaReconciler` in each pass. The reconciler keeps the due times of
replicas and the suspected members of replicas under repair; both are discarded when the ownership
of the pool ends.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent
from .context import PoolContext
from .due_times import DueTimes
from .failure_scores import FailureScores
from .lifecycle import (
    DecisionInput,
    ReplicaAction,
    ReplicaDecision,
    ReplicaObservation,
    decide,
    recent_restarts,
)
from .member_status import DecisionTime, MemberStatus, first_contact_timeout_s
from .model import Replica, ReplicaId, ReplicaSet
from .observations import ReplicaObserver
from .phases import ReplicaPhase
from .placement_queue import PlacementQueue
from .writes import after_transition

log = logging.getLogger(__name__)

# this fraction (1/20) of a heartbeat interval is added to the time allowed for an agent's first
# heartbeat, which may arrive right at its end
FIRST_CONTACT_MARGIN_DIVISOR = 20

# the phase that each action moves a replica to; the other actions keep the phase
PHASE_AFTER_ACTION = {
    ReplicaAction.CONFIRM: ReplicaPhase.READY,
    ReplicaAction.REPAIR: ReplicaPhase.REPAIRING,
    ReplicaAction.RELEASE: ReplicaPhase.PENDING,
    ReplicaAction.DRAIN: ReplicaPhase.DRAINING,
    ReplicaAction.STOP: ReplicaPhase.STOPPED,
    ReplicaAction.FAIL: ReplicaPhase.FAILED,
    ReplicaAction.RETRY: ReplicaPhase.PENDING,
}


class _ReconcilePass(NamedTuple):
    """One pass over replicas, under one ownership of the pool."""

    ownership: ShardOwnership
    time: DecisionTime


class RecordDeletion(NamedTuple):
    """The deletion of the records of a replica's members and, optionally, of its own record."""

    replica: Replica
    includes_replica: bool


class ReplicaChanges(NamedTuple):
    """The changes from a pass over replicas: the writes, then the deletions, in order."""

    intents: list[WriteIntent]
    deletions: list[RecordDeletion]


class ReplicaReconciler:
    """Plans the next step of each replica."""

    def __init__(
        self, context: PoolContext, queue: PlacementQueue, failures: FailureScores
    ) -> None:
        self._context = context
        self._pool = context.pool
        self._queue = queue
        self._failures = failures
        self._observer = ReplicaObserver(
            context.settings, context.pool, context.agents, context.leases
        )
        self._due = DueTimes()
        # ranks whose machines are avoided when the replica is repaired, by replica ID
        self._suspects: dict[ReplicaId, frozenset[int]] = {}
        # number of times that a replica was examined since the process started
        self.examined_count = 0

    def clear(self) -> None:
        """Discard all state; called when the ownership of the pool ends."""
        self._observer.clear()
        self._due.clear()
        self._suspects.clear()

    def next_due_at(self) -> float | None:
        """Return a monotonic time before which no replica is due; None if no due time is set."""
        return self._due.next_at()

    def pop_due(self, now: float) -> set[ReplicaId]:
        """Remove and return the replicas that are due."""
        return self._due.pop_due(now)

    def suspects_of(self, replica_id: ReplicaId) -> frozenset[int]:
        """Return the ranks whose machines caused the replica's restart."""
        return self._suspects.get(replica_id, frozenset())

    def reconcile(
        self,
        ownership: ShardOwnership,
        time: DecisionTime,
        replica_ids: Iterable[ReplicaId],
        may_stop: set[ReplicaId],
    ) -> ReplicaChanges:
        """Return the changes that these replicas need.

        Args:
            ownership: The ownership of the pool.
            time: The time of the decisions.
            replica_ids: The replicas that have changed or are due.
            may_stop: The replicas whose stop their sets' disruption budgets allow now.
        """
        changes = ReplicaChanges([], [])
        for replica_id in sorted(replica_ids):
            replica = self._pool.replicas.get(replica_id)
            if replica is not None:
                reconcile_pass = _ReconcilePass(ownership, time)
                self._reconcile_one(reconcile_pass, replica, replica_id in may_stop, changes)
        return changes

    def _reconcile_one(
        self,
        reconcile_pass: _ReconcilePass,
        replica: Replica,
        may_stop: bool,
        changes: ReplicaChanges,
    ) -> None:
        self.examined_count += 1
        replica_set = self._pool.sets.get(replica.id.set_name)
        if replica.version == 0 or replica_set is None:
            # the record of the replica or of its set was deleted or has not been read yet
            return
        time = reconcile_pass.time
        observation = self._observer.observe(replica, replica_set, time, may_stop)
        settings = self._context.settings
        decision = decide(DecisionInput(replica, replica_set.spec, observation, time, settings))
        self._schedule_recheck(replica.id, decision, observation, time)
        if decision.action is ReplicaAction.PLACE:
            self._queue.add(replica.id, time.now)
            return
        self._queue.remove(replica.id)
        match decision.action:
            case ReplicaAction.WAIT:
                return
            case ReplicaAction.CLEAR:
                changes.deletions.append(RecordDeletion(replica, includes_replica=False))
            case ReplicaAction.DELETE:
                self._forget(replica.id)
                changes.deletions.append(RecordDeletion(replica, includes_replica=True))
            case _:
                changes.intents.append(
                    self._transition(reconcile_pass, replica, replica_set, decision)
                )

    def _schedule_recheck(
        self,
        replica_id: ReplicaId,
        decision: ReplicaDecision,
        observation: ReplicaObservation,
        time: DecisionTime,
    ) -> None:
        """Schedule the next examination of the replica, for the case that nothing changes."""
        if decision.recheck_at is not None:
            self._due.add(replica_id, decision.recheck_at)
        if MemberStatus.UNKNOWN in observation.statuses.values():
            settings = self._context.settings
            first_contact_at = time.owned_since + first_contact_timeout_s(settings)
            margin_s = settings.heartbeat_interval_s / FIRST_CONTACT_MARGIN_DIVISOR
            self._due.add(replica_id, first_contact_at + margin_s)

    def _forget(self, replica_id: ReplicaId) -> None:
        self._context.leases.forget(replica_id)
        self._suspects.pop(replica_id, None)

    def _transition(
        self,
        reconcile_pass: _ReconcilePass,
        replica: Replica,
        replica_set: ReplicaSet,
        decision: ReplicaDecision,
    ) -> WriteIntent:
        """Return the write of the phase transition that the decision requires."""
        wall_time = reconcile_pass.time.wall_time
        after = after_transition(
            replica, PHASE_AFTER_ACTION[decision.action], wall_time, decision.reason
        )
        if decision.action is ReplicaAction.REPAIR:
            after.restarts = (*recent_restarts(replica, replica_set.spec, wall_time), wall_time)
        self._record_suspects(replica, decision, reconcile_pass.time.now)
        log.info(
            "replica phase replica=%s from=%s to=%s generation=%d reason=%s",
            replica.id,
            replica.phase,
            after.phase,
            after.generation,
            decision.reason,
        )
        return self._context.writer.transition(reconcile_pass.ownership, replica, after)

    def _record_suspects(self, replica: Replica, decision: ReplicaDecision, now: float) -> None:
        """Record suspected members and count their machines' failures.

        A replica that becomes ready has no suspects any more.
        """
        if decision.suspects:
            self._suspects[replica.id] = decision.suspects
            for member in replica.members():
                if member.rank in decision.suspects:
                    self._failures.record_failure(member.machine, now)
        elif decision.action is ReplicaAction.CONFIRM:
            self._suspects.pop(replica.id, None)
