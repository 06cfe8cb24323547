"""Reconciles replica sets: creates replicas and marks others as stopping.

The coordinator calls `SetReconciler` in each pass, the placement executor calls it for preemption.
The reconciler is stateless.
"""

import logging
from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent
from .context import PoolContext
from .member_status import DecisionTime
from .model import Replica, ReplicaId
from .placement_queue import PlacementQueue
from .sets import plan_set

log = logging.getLogger(__name__)


class SetChanges(NamedTuple):
    """The changes from a pass over sets.

    Attributes:
        intents: The writes, in the order in which they are submitted.
        may_stop: The ready replicas marked as stopping that may stop within the disruption budget.
    """

    intents: list[WriteIntent]
    may_stop: set[ReplicaId]


class SetReconciler:
    """Turns the plans of sets into writes."""

    def __init__(self, context: PoolContext, queue: PlacementQueue) -> None:
        self._pool = context.pool
        self._agents = context.agents
        self._writer = context.writer
        self._queue = queue

    def reconcile(
        self, ownership: ShardOwnership, time: DecisionTime, names: Iterable[str]
    ) -> SetChanges:
        """Return the changes that the sets with these names need."""
        changes = SetChanges([], set())
        for name in sorted(names):
            self._reconcile_set(ownership, time, name, changes)
        return changes

    def _reconcile_set(
        self, ownership: ShardOwnership, time: DecisionTime, name: str, changes: SetChanges
    ) -> None:
        replica_set = self._pool.sets.get(name)
        if replica_set is None:
            return
        replicas = self._pool.replicas_of.get(name, {})
        is_overdue = self._queue.has_overdue_replica(name, time.now)
        plan = plan_set(
            replica_set, replicas, self._evacuation_reasons(replicas.values()), is_overdue
        )
        changes.may_stop.update(plan.may_stop)
        for replica_id, reason in plan.stop_reasons.items():
            changes.intents.append(self.mark_stopping(ownership, replica_id, reason))
        if plan.create_count:
            changes.intents.append(
                self._writer.creation(ownership, replica_set, plan.create_count, time.wall_time)
            )
        if plan.delete_set:
            changes.intents.append(self._writer.deletion_of_set(ownership, replica_set))

    def mark_stopping(
        self, ownership: ShardOwnership, replica_id: ReplicaId, reason: str
    ) -> WriteIntent:
        """Return the write that marks a replica as stopping, with the reason."""
        replica = self._pool.replicas[replica_id]
        log.info("replica leaves replica=%s reason=%s", replica_id, reason)
        return self._writer.transition(ownership, replica, replace(replica, stop_reason=reason))

    def _evacuation_reasons(self, replicas: Iterable[Replica]) -> dict[ReplicaId, str]:
        """Return the stop reasons of replicas on machines to be evacuated, by replica ID."""
        evacuation_reasons: dict[ReplicaId, str] = {}
        for replica in replicas:
            for member in replica.all_members():
                reason = self._evacuation_reason(member.machine)
                if reason:
                    evacuation_reasons[replica.id] = reason
        return evacuation_reasons

    def _evacuation_reason(self, machine_id: str) -> str:
        """Return the reason to evacuate the machine; empty if there is none."""
        machine = self._pool.machines.get(machine_id)
        view = self._agents.get(machine_id)
        if machine is not None and machine.drain_reason:
            return f"machine {machine_id} is drained: {machine.drain_reason}"
        if view is not None and view.reclaim_at is not None:
            return f"machine {machine_id} is taken away soon"
        return ""
