"""Reconciles pool machines: detects overdue heartbeats and removes machines from the pool.

The coordinator calls `MachineReconciler` in each pass. The reconciler remembers the machines whose
overdue heartbeats it has already logged, until the ownership of the pool ends.
"""

import logging
from collections.abc import Iterable

from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent
from .context import PoolContext
from .member_status import DecisionTime, is_heartbeat_overdue
from .model import PoolMachine, ReplicaId

log = logging.getLogger(__name__)


class MachineReconciler:
    """Detects overdue heartbeats and removes machines for the pool's owner."""

    def __init__(self, context: PoolContext) -> None:
        self._settings = context.settings
        self._pool = context.pool
        self._agents = context.agents
        self._writer = context.writer
        self._overdue: set[str] = set()

    def clear(self) -> None:
        """Drop the overdue machines when the ownership of the pool ends."""
        self._overdue.clear()

    def mark_affected_replicas(self, time: DecisionTime) -> None:
        """Mark the replicas of all changed machines as changed.

        A machine has changed if its records or its agent's reports have changed, or if its
        heartbeats have become overdue or have resumed.
        """
        self._detect_overdue(time)
        self._detect_resumed(time)
        for machine_id in self._pool.changed_machines():
            self._mark_replicas_changed(machine_id)

    def _detect_overdue(self, time: DecisionTime) -> None:
        for view in self._agents.views_without_heartbeat_since(
            time.now - self._settings.failure_detection_s
        ):
            is_new = view.machine not in self._overdue
            if is_new and is_heartbeat_overdue(view, time, self._settings):
                self._overdue.add(view.machine)
                log.info("agent heartbeats missed machine=%s", view.machine)
                self._mark_replicas_changed(view.machine)

    def _detect_resumed(self, time: DecisionTime) -> None:
        for machine_id in list(self._overdue):
            view = self._agents.get(machine_id)
            if view is None or not is_heartbeat_overdue(view, time, self._settings):
                self._overdue.discard(machine_id)
                log.info("agent heartbeats resumed machine=%s", machine_id)
                self._mark_replicas_changed(machine_id)

    def _mark_replicas_changed(self, machine_id: str) -> None:
        """Mark the replicas planned on the machine or reported by its agent as changed."""
        machine = self._pool.machines.get(machine_id)
        if machine is not None:
            self._pool.mark_replicas_changed(machine.planned.keys())
        view = self._agents.get(machine_id)
        if view is not None:
            reported = (ReplicaId.parse(name) for name in view.members)
            self._pool.mark_replicas_changed(
                r for r in reported if r is not None and r in self._pool.replicas
            )

    def reconcile(self, ownership: ShardOwnership, changed: Iterable[str]) -> list[WriteIntent]:
        """Return the writes for changed machines that leave the pool or have been returned."""
        returned = [m for m in changed if self._is_returned(m)]
        for machine_id in returned:
            self._agents.forget(machine_id)
            self._overdue.discard(machine_id)
            log.info("machine left the pool machine=%s", machine_id)
        intents = [self._writer.deletion_of_machine(ownership, m) for m in returned]
        for machine_id in set(changed) - set(returned):
            machine = self._pool.machines.get(machine_id)
            if machine is not None and self._can_leave(machine):
                log.info("removing idle machine from the pool machine=%s", machine_id)
                intents.append(self._writer.removal_of_machine(ownership, machine))
        return intents

    def _is_returned(self, machine_id: str) -> bool:
        """Return whether the machine's ordinary record is deleted: it was returned to the cloud."""
        return machine_id in self._pool.machines and self._pool.record_version(machine_id) == 0

    def _can_leave(self, machine: PoolMachine) -> bool:
        """Return whether the machine is released and has no member, planned or running."""
        if not machine.is_released or machine.has_left or machine.planned:
            return False
        view = self._agents.get(machine.id)
        return view is not None and view.is_idle
