"""Plans what a replica set needs as a whole: replicas to be created, or to be stopped.

Pure functions over the set's replicas, called by `set_reconciler`. The disruption budget is
enforced here: no voluntary stop leaves fewer ready replicas than the declaration's `min_ready`.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .model import Replica, ReplicaId, ReplicaSet
from .phases import ENDED_PHASES, ReplicaPhase

REMOVED_REASON = "the set was removed"
SURPLUS_REASON = "more replicas than declared"
# a replica that is stopped for this reason does not wait for a replacement
PREEMPTED_REASON_PREFIX = "preempted for"


class SetPlan(NamedTuple):
    """Changes of a set's replicas.

    Attributes:
        create_count: How many replicas are to be created.
        stop_reasons: The replicas that are to be marked as stopping, with the reason.
        may_stop: The replicas marked as stopping that may be stopped now.
        delete_set: Whether the set's record itself is to be deleted.
    """

    create_count: int
    stop_reasons: dict[ReplicaId, str]
    may_stop: frozenset[ReplicaId]
    delete_set: bool


class _SurplusRank(NamedTuple):
    """The order in which surplus replicas are stopped: those not ready, then the newest."""

    is_ready: bool
    negative_number: int


def plan_set(
    stored: ReplicaSet,
    replicas: Mapping[int, Replica],
    evacuated: Mapping[ReplicaId, str],
    is_placement_overdue: bool,
) -> SetPlan:
    """Return what the set needs now.

    Args:
        stored: The set.
        replicas: Its replicas by number.
        evacuated: Replicas with a member on a machine that is to be emptied, with the reason.
        is_placement_overdue: Whether a replica of the set has waited too long for machines.
    """
    alive = [r for r in replicas.values() if r.version and r.phase not in ENDED_PHASES]
    stop_reasons = {r.id: evacuated[r.id] for r in alive if not r.stop_reason and r.id in evacuated}
    if stored.is_removed:
        stop_reasons = {r.id: REMOVED_REASON for r in alive if not r.stop_reason}
    remaining = [r for r in alive if not r.stop_reason and r.id not in stop_reasons]
    desired = 0 if stored.is_removed else stored.spec.replicas
    for replica in _surplus_replicas(remaining, desired):
        stop_reasons[replica.id] = SURPLUS_REASON
        remaining.remove(replica)
    return SetPlan(
        create_count=max(0, desired - len(remaining)),
        stop_reasons=stop_reasons,
        may_stop=_may_stop(stored, alive, stop_reasons, is_placement_overdue),
        delete_set=stored.is_removed and not replicas,
    )


def _surplus_replicas(remaining: list[Replica], desired: int) -> list[Replica]:
    """Return the replicas that are more than wanted."""

    def rank(replica: Replica) -> _SurplusRank:
        return _SurplusRank(replica.phase is ReplicaPhase.READY, -replica.id.number)

    return sorted(remaining, key=rank)[: max(0, len(remaining) - desired)]


def _may_stop(
    stored: ReplicaSet,
    alive: list[Replica],
    stop_reasons: Mapping[ReplicaId, str],
    is_placement_overdue: bool,
) -> frozenset[ReplicaId]:
    """Return the ready replicas whose stop keeps the set at its minimum.

    A replacement is waited for, unless it finds no machines.
    """
    ready = [r for r in alive if r.phase is ReplicaPhase.READY]
    stopping = [r for r in ready if r.stop_reason or r.id in stop_reasons]
    if stored.is_removed:
        return frozenset(r.id for r in stopping)
    desired = stored.spec.replicas
    is_replaced = len(ready) - len(stopping) >= desired
    allowed: list[ReplicaId] = []
    for replica in sorted(stopping, key=lambda r: r.id):
        left = len(ready) - len(allowed) - 1
        if left < stored.spec.min_ready:
            continue
        reason = replica.stop_reason or stop_reasons[replica.id]
        needs_no_replacement = is_placement_overdue or reason.startswith(PREEMPTED_REASON_PREFIX)
        if left >= desired or is_replaced or needs_no_replacement:
            allowed.append(replica.id)
    return frozenset(allowed)
