"""The states of a replica and the transitions between them."""

from enum import StrEnum


class ReplicaPhase(StrEnum):
    """Where a replica is in its life."""

    # it has no machines and waits for room
    PENDING = "pending"
    # its machines are being reserved in several transactions
    RESERVING = "reserving"
    # all its machines are reserved, its members load and meet
    STARTING = "starting"
    # every member has confirmed the generation: the front member may be granted a serving lease
    READY = "ready"
    # a member was lost: the generation is over, machines for the next one are being reserved
    REPAIRING = "repairing"
    # its members are being stopped for good
    DRAINING = "draining"
    STOPPED = "stopped"
    # it was restarted too often; an operator, or time, lets it try again
    FAILED = "failed"


class IllegalPhaseTransitionError(ValueError):
    """A replica can't go from the one phase to the other."""

    def __init__(self, old: ReplicaPhase, new: ReplicaPhase) -> None:
        super().__init__(f"a replica that is {old} can't become {new}")
        self.old = old
        self.new = new


TRANSITIONS: dict[ReplicaPhase, frozenset[ReplicaPhase]] = {
    ReplicaPhase.PENDING: frozenset(
        {ReplicaPhase.RESERVING, ReplicaPhase.STARTING, ReplicaPhase.STOPPED}
    ),
    ReplicaPhase.RESERVING: frozenset(
        {ReplicaPhase.STARTING, ReplicaPhase.PENDING, ReplicaPhase.DRAINING}
    ),
    ReplicaPhase.STARTING: frozenset(
        {ReplicaPhase.READY, ReplicaPhase.REPAIRING, ReplicaPhase.DRAINING, ReplicaPhase.FAILED}
    ),
    ReplicaPhase.READY: frozenset(
        {ReplicaPhase.REPAIRING, ReplicaPhase.DRAINING, ReplicaPhase.FAILED}
    ),
    ReplicaPhase.REPAIRING: frozenset(
        {ReplicaPhase.STARTING, ReplicaPhase.PENDING, ReplicaPhase.DRAINING, ReplicaPhase.FAILED}
    ),
    ReplicaPhase.DRAINING: frozenset({ReplicaPhase.STOPPED}),
    ReplicaPhase.STOPPED: frozenset(),
    ReplicaPhase.FAILED: frozenset({ReplicaPhase.PENDING, ReplicaPhase.DRAINING}),
}

# a step into one of these begins a new generation: whatever belongs to an older one is fenced off
RAISES_GENERATION = frozenset(
    {
        (ReplicaPhase.PENDING, ReplicaPhase.RESERVING),
        (ReplicaPhase.PENDING, ReplicaPhase.STARTING),
        (ReplicaPhase.STARTING, ReplicaPhase.REPAIRING),
        (ReplicaPhase.READY, ReplicaPhase.REPAIRING),
        (ReplicaPhase.STARTING, ReplicaPhase.FAILED),
        (ReplicaPhase.READY, ReplicaPhase.FAILED),
        (ReplicaPhase.READY, ReplicaPhase.DRAINING),
        (ReplicaPhase.STARTING, ReplicaPhase.DRAINING),
    }
)

# members of the current generation are to run
RUNNING_PHASES = frozenset({ReplicaPhase.STARTING, ReplicaPhase.READY})
# machines are being reserved, and what is reserved counts against the bound on holding it
PLACING_PHASES = frozenset({ReplicaPhase.RESERVING, ReplicaPhase.REPAIRING})
ENDED_PHASES = frozenset({ReplicaPhase.DRAINING, ReplicaPhase.STOPPED})


def check_transition(old: ReplicaPhase, new: ReplicaPhase) -> None:
    """Raises IllegalPhaseTransitionError unless a replica may go from the one phase to the
    other.
    """
    if new not in TRANSITIONS[old]:
        raise IllegalPhaseTransitionError(old, new)


def next_generation(generation: int, old: ReplicaPhase, new: ReplicaPhase) -> int:
    """The generation after the transition."""
    check_transition(old, new)
    return generation + 1 if (old, new) in RAISES_GENERATION else generation
