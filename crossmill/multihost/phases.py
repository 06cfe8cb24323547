"""The phases of a replica's life cycle and the transitions between them.

Pure tables and functions without state. The records of replicas store the phases' values, so these
don't change. Used by `lifecycle`, which decides on transitions, and by `writes`, which stores them.
"""

from enum import StrEnum

from .errors import MultihostError


class ReplicaPhase(StrEnum):
    """Where a replica is in its life cycle."""

    # it has no machines and waits until enough of them are free
    PENDING = "pending"
    # its machines are being reserved in several transactions
    RESERVING = "reserving"
    # all its machines are reserved; its members load their weights and find one another
    STARTING = "starting"
    # every member has confirmed the generation: the front member may be granted a serving lease
    READY = "ready"
    # a member was lost: the generation has ended, machines for the next one are being reserved
    REPAIRING = "repairing"
    # its members are being stopped for good
    DRAINING = "draining"
    STOPPED = "stopped"
    # it was restarted too often; it is retried by an operator or after the restart window
    FAILED = "failed"


class IllegalPhaseTransitionError(MultihostError):
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
        {
            ReplicaPhase.READY,
            ReplicaPhase.REPAIRING,
            ReplicaPhase.DRAINING,
            ReplicaPhase.FAILED,
        }
    ),
    ReplicaPhase.READY: frozenset(
        {ReplicaPhase.REPAIRING, ReplicaPhase.DRAINING, ReplicaPhase.FAILED}
    ),
    ReplicaPhase.REPAIRING: frozenset(
        {
            ReplicaPhase.STARTING,
            ReplicaPhase.PENDING,
            ReplicaPhase.DRAINING,
            ReplicaPhase.FAILED,
        }
    ),
    ReplicaPhase.DRAINING: frozenset({ReplicaPhase.STOPPED}),
    ReplicaPhase.STOPPED: frozenset(),
    ReplicaPhase.FAILED: frozenset({ReplicaPhase.PENDING, ReplicaPhase.DRAINING}),
}

# these transitions begin a new generation: whatever belongs to an older one is fenced off
GENERATION_RAISING_TRANSITIONS = frozenset(
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
# machines are being reserved, for at most the time that the set's declaration allows
RESERVING_PHASES = frozenset({ReplicaPhase.RESERVING, ReplicaPhase.REPAIRING})
ENDED_PHASES = frozenset({ReplicaPhase.DRAINING, ReplicaPhase.STOPPED})


def check_transition(old: ReplicaPhase, new: ReplicaPhase) -> None:
    """Check that a replica may go from one phase to the other.

    Raises:
        IllegalPhaseTransitionError: the table of transitions doesn't have this one.
    """
    if new not in TRANSITIONS[old]:
        raise IllegalPhaseTransitionError(old, new)


def next_generation(generation: int, old: ReplicaPhase, new: ReplicaPhase) -> int:
    """Return the replica's generation after a transition.

    Raises:
        IllegalPhaseTransitionError: the table of transitions doesn't have this one.
    """
    check_transition(old, new)
    return generation + 1 if (old, new) in GENERATION_RAISING_TRANSITIONS else generation
