"""The states of a replica and the transitions between them."""

from enum import StrEnum


class Phase(StrEnum):
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


class IllegalTransition(ValueError):
    """A replica can't go from the one phase to the other."""

    def __init__(self, old: Phase, new: Phase) -> None:
        super().__init__(f"a replica that is {old} can't become {new}")
        self.old = old
        self.new = new


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.PENDING: frozenset({Phase.RESERVING, Phase.STARTING, Phase.STOPPED}),
    Phase.RESERVING: frozenset({Phase.STARTING, Phase.PENDING, Phase.DRAINING}),
    Phase.STARTING: frozenset({Phase.READY, Phase.REPAIRING, Phase.DRAINING, Phase.FAILED}),
    Phase.READY: frozenset({Phase.REPAIRING, Phase.DRAINING, Phase.FAILED}),
    Phase.REPAIRING: frozenset({Phase.STARTING, Phase.PENDING, Phase.DRAINING, Phase.FAILED}),
    Phase.DRAINING: frozenset({Phase.STOPPED}),
    Phase.STOPPED: frozenset(),
    Phase.FAILED: frozenset({Phase.PENDING, Phase.DRAINING}),
}

# a step into one of these begins a new generation: whatever belongs to an older one is fenced off
RAISES_GENERATION = frozenset(
    {
        (Phase.PENDING, Phase.RESERVING),
        (Phase.PENDING, Phase.STARTING),
        (Phase.STARTING, Phase.REPAIRING),
        (Phase.READY, Phase.REPAIRING),
        (Phase.STARTING, Phase.FAILED),
        (Phase.READY, Phase.FAILED),
        (Phase.READY, Phase.DRAINING),
        (Phase.STARTING, Phase.DRAINING),
    }
)

# members of the current generation are to run
RUNNING_PHASES = frozenset({Phase.STARTING, Phase.READY})
# machines are being reserved, and what is reserved counts against the bound on holding it
PLACING_PHASES = frozenset({Phase.RESERVING, Phase.REPAIRING})
ENDED_PHASES = frozenset({Phase.DRAINING, Phase.STOPPED})


def check_transition(old: Phase, new: Phase) -> None:
    """Raises IllegalTransition unless a replica may go from the one phase to the other."""
    if new not in TRANSITIONS[old]:
        raise IllegalTransition(old, new)


def next_generation(generation: int, old: Phase, new: Phase) -> int:
    """The generation after the transition."""
    check_transition(old, new)
    return generation + 1 if (old, new) in RAISES_GENERATION else generation
