"""Plans the changes of a replica set: which replicas to create and which to stop.

Pure functions over the set's replicas, called by `set_reconciler`. They enforce the disruption
budget: no voluntary stop leaves fewer ready replicas than the declaration's `min_ready`.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .model import Replica, ReplicaId, ReplicaSet
from .phases import ENDED_PHASES, ReplicaPhase

REMOVED_REASON = "the set was removed"
SURPLUS_REASON = "more replicas than declared"
# prefix of the stop reason of a preempted replica, which stops without waiting for a replacement
PREEMPTED_REASON_PREFIX = "preempted for"


class SetPlan(NamedTuple):
    """The changes that bring a replica set to its declared state.

    Attributes:
        create_count: The number of replicas to create.
        stop_reasons: The reasons of the replicas to mark as stopping, by replica ID.
        may_stop: The ready replicas marked as stopping that may stop within the disruption budget.
        delete_set: Whether to delete the set's own record.
    """

    create_count: int
    stop_reasons: dict[ReplicaId, str]
    may_stop: frozenset[ReplicaId]
    delete_set: bool


class _SurplusRank(NamedTuple):
    """The sort key of surplus replicas: those that are not ready stop first, then the newest."""

    is_ready: bool
    negative_number: int


def plan_set(
    replica_set: ReplicaSet,
    replicas: Mapping[int, Replica],
    evacuation_reasons: Mapping[ReplicaId, str],
    is_placement_overdue: bool,
) -> SetPlan:
    """Return the changes that the set needs now.

    Args:
        replica_set: The stored set.
        replicas: The set's replicas, by number.
        evacuation_reasons: The stop reasons of replicas on machines to be evacuated, by replica ID.
        is_placement_overdue: Whether a replica of the set has waited too long for machines.
    """
    alive = [r for r in replicas.values() if r.version and r.phase not in ENDED_PHASES]
    stop_reasons = {
        r.id: evacuation_reasons[r.id]
        for r in alive
        if not r.stop_reason and r.id in evacuation_reasons
    }
    if replica_set.is_removed:
        stop_reasons = {r.id: REMOVED_REASON for r in alive if not r.stop_reason}
    remaining = [r for r in alive if not r.stop_reason and r.id not in stop_reasons]
    desired = 0 if replica_set.is_removed else replica_set.spec.replicas
    for replica in _surplus_replicas(remaining, desired):
        stop_reasons[replica.id] = SURPLUS_REASON
        remaining.remove(replica)
    return SetPlan(
        create_count=max(0, desired - len(remaining)),
        stop_reasons=stop_reasons,
        may_stop=_may_stop(replica_set, alive, stop_reasons, is_placement_overdue),
        delete_set=replica_set.is_removed and not replicas,
    )


def _surplus_replicas(remaining: list[Replica], desired: int) -> list[Replica]:
    """Return the replicas in excess of the desired number."""

    def rank(replica: Replica) -> _SurplusRank:
        return _SurplusRank(replica.phase is ReplicaPhase.READY, -replica.id.number)

    return sorted(remaining, key=rank)[: max(0, len(remaining) - desired)]


def _may_stop(
    replica_set: ReplicaSet,
    alive: list[Replica],
    stop_reasons: Mapping[ReplicaId, str],
    is_placement_overdue: bool,
) -> frozenset[ReplicaId]:
    """Return the ready replicas marked as stopping that may stop within the disruption budget.

    A replica stops only once its replacement is ready, unless it is preempted or a replica of the
    set has waited too long for machines. All replicas of a removed set may stop.
    """
    ready = [r for r in alive if r.phase is ReplicaPhase.READY]
    stopping = [r for r in ready if r.stop_reason or r.id in stop_reasons]
    if replica_set.is_removed:
        return frozenset(r.id for r in stopping)
    desired = replica_set.spec.replicas
    is_replaced = len(ready) - len(stopping) >= desired
    allowed: list[ReplicaId] = []
    for replica in sorted(stopping, key=lambda r: r.id):
        ready_after_stop = len(ready) - len(allowed) - 1
        if ready_after_stop < replica_set.spec.min_ready:
            continue
        reason = replica.stop_reason or stop_reasons[replica.id]
        needs_no_replacement = is_placement_overdue or reason.startswith(PREEMPTED_REASON_PREFIX)
        if ready_after_stop >= desired or is_replaced or needs_no_replacement:
            allowed.append(replica.id)
    return frozenset(allowed)
