"""Plans for replica sets: creating and stopping replicas within the disruption budget."""

from typing import Any

import pytest

from crossmill.multihost.model import (
    Replica,
    ReplicaId,
    ReplicaSet,
)
from crossmill.multihost.phases import (
    ReplicaPhase,
)
from crossmill.multihost.sets import PREEMPTED_REASON_PREFIX, plan_set

from .multihost_samples import SPEC


def _replica(
    number: int, phase: ReplicaPhase = ReplicaPhase.READY, stop_reason: str = ""
) -> Replica:
    return Replica(ReplicaId("chat", number), phase, 1, stop_reason=stop_reason, version=1)


def _plan(
    min_ready: int, *replicas: Replica, removed: bool = False, is_placement_overdue: bool = False
) -> Any:
    replica_set = ReplicaSet(SPEC._replace(min_ready=min_ready), removed)
    return plan_set(replica_set, {r.id.number: r for r in replicas}, {}, is_placement_overdue)


@pytest.mark.parametrize(
    ("others", "create", "may_stop"),
    [
        pytest.param([_replica(1)], 1, set(), id="no replacement yet"),
        pytest.param(
            [_replica(1), _replica(2, ReplicaPhase.STARTING)], 0, set(), id="replacement starts"
        ),
        pytest.param([_replica(1), _replica(2)], 0, {ReplicaId("chat", 0)}, id="replaced"),
    ],
)
def test_a_replica_may_stop_once_its_replacement_is_ready(
    others: list[Replica], create: int, may_stop: set[ReplicaId]
) -> None:
    plan = _plan(2, _replica(0, stop_reason="drained"), *others)
    assert plan.create_count == create
    assert plan.may_stop == may_stop


DRAINED = _replica(0, stop_reason="drained")
PREEMPTED_REPLICA = _replica(0, stop_reason=f"{PREEMPTED_REASON_PREFIX} x/0")


@pytest.mark.parametrize("stopping", [DRAINED, PREEMPTED_REPLICA])
def test_a_replica_that_lost_a_member_counts_against_the_disruption_budget(
    stopping: Replica,
) -> None:
    repairing = _replica(1, ReplicaPhase.REPAIRING)
    is_overdue = stopping is DRAINED
    assert not _plan(1, stopping, repairing, is_placement_overdue=is_overdue).may_stop


def test_a_preempted_replica_does_not_wait_for_a_replacement() -> None:
    assert _plan(1, PREEMPTED_REPLICA, _replica(1)).may_stop == {PREEMPTED_REPLICA.id}


def test_a_replica_whose_replacement_is_unplaceable_may_stop() -> None:
    plan = _plan(1, DRAINED, _replica(1), is_placement_overdue=True)
    assert plan.may_stop == {DRAINED.id}


def test_no_more_replicas_may_stop_than_the_minimum_allows() -> None:
    other = _replica(1, stop_reason="drained")
    assert len(_plan(1, DRAINED, other, is_placement_overdue=True).may_stop) == 1


def test_surplus_replicas_that_are_not_ready_stop_first() -> None:
    plan = _plan(0, _replica(0), _replica(1, ReplicaPhase.STARTING), _replica(2))
    assert set(plan.stop_reasons) == {ReplicaId("chat", 1)}


def test_all_replicas_of_a_removed_set_stop() -> None:
    plan = _plan(2, _replica(0), _replica(1), removed=True)
    assert len(plan.stop_reasons) == 2
    assert len(plan.may_stop) == 2
    assert plan.create_count == 0


def test_a_removed_set_without_replicas_is_deleted() -> None:
    assert _plan(0, removed=True).delete_set
