"""The transitions between a replica's phases, and those that begin a new generation."""

import itertools

import pytest

from crossmill.multihost.phases import (
    GENERATION_RAISING_TRANSITIONS,
    TRANSITIONS,
    IllegalPhaseTransitionError,
    ReplicaPhase,
    next_generation,
)


@pytest.mark.parametrize(("old", "new"), itertools.product(ReplicaPhase, ReplicaPhase))
def test_transitions_outside_the_table_are_illegal(old: ReplicaPhase, new: ReplicaPhase) -> None:
    if new in TRANSITIONS[old]:
        is_raised = (old, new) in GENERATION_RAISING_TRANSITIONS
        assert next_generation(3, old, new) == 3 + is_raised
    else:
        with pytest.raises(IllegalPhaseTransitionError):
            next_generation(3, old, new)


def test_transitions_that_end_service_or_begin_a_start_raise_the_generation() -> None:
    ends = {(ReplicaPhase.READY, new) for new in TRANSITIONS[ReplicaPhase.READY]}
    begins = {
        (ReplicaPhase.PENDING, ReplicaPhase.STARTING),
        (ReplicaPhase.PENDING, ReplicaPhase.RESERVING),
    }
    assert ends | begins <= GENERATION_RAISING_TRANSITIONS
