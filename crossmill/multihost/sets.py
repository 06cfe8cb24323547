"""What a replica set needs as a whole: replicas to be created, marked as leaving, or stopped.

Pure functions over the set's replicas; the disruption budget is kept here.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .model import Replica, ReplicaId, ReplicaSet
from .phases import ENDED_PHASES, ReplicaPhase

REMOVED = "the set was removed"
SURPLUS = "more replicas than declared"
# a replica that leaves for this reason is not waited for by a replacement
PREEMPTED = "preempted for"


class SetPlan(NamedTuple):
    """Changes of a set's replicas."""

    create: int
    leaving: dict[ReplicaId, str]
    # replicas that leave and may be stopped now
    may_stop: frozenset[ReplicaId]
    # the set's record itself is to be deleted
    delete_set: bool


def plan_set(
    stored: ReplicaSet,
    replicas: Mapping[int, Replica],
    evacuated: Mapping[ReplicaId, str],
    is_placement_overdue: bool,
) -> SetPlan:
    """What the set needs now. `evacuated` are replicas with a member on a machine that is to be
    emptied, with the reason; `is_placement_overdue` says that a replica of the set waits for room
    in vain.
    """
    spec = stored.spec
    alive = [r for r in replicas.values() if r.version and r.phase not in ENDED_PHASES]
    leaving = {r.id: evacuated[r.id] for r in alive if not r.leaving and r.id in evacuated}
    if stored.removed:
        leaving = {r.id: REMOVED for r in alive if not r.leaving}
    staying = [r for r in alive if not r.leaving and r.id not in leaving]
    wanted = 0 if stored.removed else spec.replicas
    for replica in _surplus(staying, wanted):
        leaving[replica.id] = SURPLUS
        staying.remove(replica)
    return SetPlan(
        create=max(0, wanted - len(staying)),
        leaving=leaving,
        may_stop=_may_stop(stored, alive, leaving, wanted, is_placement_overdue),
        delete_set=stored.removed and not replicas,
    )


def _surplus(staying: list[Replica], wanted: int) -> list[Replica]:
    """The replicas too many: those that do not serve first, then the newest."""
    order = sorted(staying, key=lambda r: (r.phase is ReplicaPhase.READY, -r.id.number))
    return order[: max(0, len(staying) - wanted)]


def _may_stop(
    stored: ReplicaSet,
    alive: list[Replica],
    leaving: Mapping[ReplicaId, str],
    wanted: int,
    is_placement_overdue: bool,
) -> frozenset[ReplicaId]:
    """The replicas that leave and whose stop keeps the set at its minimum. A replacement is
    waited for, unless it finds no room.
    """
    ready = [r for r in alive if r.phase is ReplicaPhase.READY]
    going = [r for r in ready if r.leaving or r.id in leaving]
    if stored.removed:
        return frozenset(r.id for r in going)
    staying = len(ready) - len(going)
    allowed: list[ReplicaId] = []
    for replica in sorted(going, key=lambda r: r.id):
        left = len(ready) - len(allowed) - 1
        reason = replica.leaving or leaving[replica.id]
        at_once = is_placement_overdue or reason.startswith(PREEMPTED)
        if left >= stored.spec.min_ready and (left >= wanted or staying >= wanted or at_once):
            allowed.append(replica.id)
    return frozenset(allowed)
