"""The phases of a replica's life cycle and the transitions between them.

Tables and pure functions. `lifecycle` decides on transitions, `writes` stores them. Replica records
contain the enum values of the phases, so these values must not change.
"""

from enum import StrEnum

from .errors import MultihostError


class ReplicaPhase(StrEnum):
    """The phase of a replica in its life cycle."""

    # the replica has no machines and waits until enough of them are free
    PENDING = "pending"
    # the replica's machines are being reserved in several transactions
    RESERVING = "reserving"
    # all machines are reserved; the members load their weights and connect to one another
    STARTING = "starting"
    # every member has confirmed the generation: the front member may be granted a serving lease
    READY = "ready"
    # a member was lost: the generation has ended, machines for the next one are being reserved
    REPAIRING = "repairing"
    # the members are being stopped permanently
    DRAINING = "draining"
    STOPPED = "stopped"
    # the restart budget is used up; the replica is retried after the restart window, or when an
    # operator restarts it
    FAILED = "failed"


class IllegalPhaseTransitionError(MultihostError):
    """A transition is not in the table of transitions."""

    def __init__(self, old: ReplicaPhase, new: ReplicaPhase) -> None:
        super().__init__(f"illegal replica phase transition from {old} to {new}")
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

# transitions that begin a new generation; members and serving leases of older ones are fenced off
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

# phases in which the members of the current generation should run
RUNNING_PHASES = frozenset({ReplicaPhase.STARTING, ReplicaPhase.READY})
# phases in which machines are being reserved, for at most the `hold_s` of the set's declaration
RESERVING_PHASES = frozenset({ReplicaPhase.RESERVING, ReplicaPhase.REPAIRING})
# phases in which a replica no longer counts towards the replicas of its set
ENDED_PHASES = frozenset({ReplicaPhase.DRAINING, ReplicaPhase.STOPPED})


def check_transition(old: ReplicaPhase, new: ReplicaPhase) -> None:
    """Check that a replica may change from one phase to the other.

    Raises:
        IllegalPhaseTransitionError: The transition is not in the table.
    """
    if new not in TRANSITIONS[old]:
        raise IllegalPhaseTransitionError(old, new)


def next_generation(generation: int, old: ReplicaPhase, new: ReplicaPhase) -> int:
    """Return the replica's generation after a transition.

    Raises:
        IllegalPhaseTransitionError: The transition is not in the table.
    """
    check_transition(old, new)
    return generation + 1 if (old, new) in GENERATION_RAISING_TRANSITIONS else generation
