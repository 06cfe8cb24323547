"""The part of a round that is about replica sets: replicas are created, and marked as leaving."""

import logging
from collections.abc import Iterable
from dataclasses import replace

from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent
from .agents import Agents
from .lifecycle import DecisionTime
from .model import Replica, ReplicaId
from .pool import PoolState
from .scheduling import Scheduler
from .sets import plan_set
from .writes import PoolWriter

log = logging.getLogger(__name__)


class SetReconciler:
    """Turns the plans of sets into writes."""

    def __init__(
        self, pool: PoolState, agents: Agents, scheduler: Scheduler, writes: PoolWriter
    ) -> None:
        self._pool = pool
        self._agents = agents
        self._scheduler = scheduler
        self._writes = writes

    def look(
        self,
        ownership: ShardOwnership,
        moment: DecisionTime,
        names: Iterable[str],
        intents: list[WriteIntent],
    ) -> set[ReplicaId]:
        """Adds the writes that the sets need to `intents`; returns the replicas that leave and that
        the disruption budget lets stop now.
        """
        allowed: set[ReplicaId] = set()
        for name in sorted(names):
            stored = self._pool.sets.get(name)
            if stored is None:
                continue
            replicas = self._pool.replicas_of.get(name, {})
            in_vain = self._scheduler.has_overdue_placement(name, moment.now)
            plan = plan_set(stored, replicas, self._evacuated(replicas.values()), in_vain)
            allowed |= plan.may_stop
            for replica_id, reason in plan.leaving.items():
                self.mark_leaving(ownership, replica_id, reason, intents)
            if plan.create:
                intents.append(self._writes.creation(ownership, stored, plan.create, moment.wall))
            if plan.delete_set:
                intents.append(self._writes.deletion_of_set(ownership, stored))
        return allowed

    def mark_leaving(
        self,
        ownership: ShardOwnership,
        replica_id: ReplicaId,
        reason: str,
        intents: list[WriteIntent],
    ) -> None:
        """Adds the write that marks a replica as leaving."""
        replica = self._pool.replicas[replica_id]
        log.info("replica leaves replica=%s reason=%s", replica_id, reason)
        intents.append(
            self._writes.transition(ownership, replica, replace(replica, leaving=reason))
        )

    def _evacuated(self, replicas: Iterable[Replica]) -> dict[ReplicaId, str]:
        """Replicas with a member on a machine that is to be emptied or will be taken away."""
        evacuated: dict[ReplicaId, str] = {}
        for replica in replicas:
            for member in replica.all_members():
                reason = self._leaving_reason(member.machine)
                if reason:
                    evacuated[replica.id] = reason
        return evacuated

    def _leaving_reason(self, machine_id: str) -> str:
        machine = self._pool.machines.get(machine_id)
        view = self._agents.get(machine_id)
        if machine is not None and machine.draining:
            return f"machine {machine_id} is drained: {machine.draining}"
        if view is not None and view.notice_at is not None:
            return f"machine {machine_id} is taken away soon"
        return ""
