"""The phases of a shard's recovery and the transitions between them."""

from enum import StrEnum


class Phase(StrEnum):
    """Where the recovery of a shard is."""

    # the shard is taken, the writes of earlier owners are being read
    LOADING = "loading"
    # workers are answered; those that were up are waited for, within a bound
    OBSERVING = "observing"
    # what differs is known; the brake decides whether it may be settled
    CLASSIFYING = "classifying"
    # differences are settled, in batches and at a bounded rate
    SETTLING = "settling"
    # nothing differs any more: the ordinary path alone
    STEADY = "steady"


class IllegalTransition(ValueError):
    """A recovery can't go from the one phase to the other."""

    def __init__(self, old: Phase, new: Phase) -> None:
        super().__init__(f"a recovery that is {old} can't become {new}")
        self.old = old
        self.new = new


TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.LOADING: frozenset({Phase.OBSERVING}),
    Phase.OBSERVING: frozenset({Phase.CLASSIFYING}),
    Phase.CLASSIFYING: frozenset({Phase.SETTLING}),
    # machines that come late may bring so many differences that the brake decides again
    Phase.SETTLING: frozenset({Phase.CLASSIFYING, Phase.STEADY}),
    Phase.STEADY: frozenset(),
}

# until then nothing is placed: tasks that no plan holds may be on machines not heard yet
BEFORE_PLACING = frozenset({Phase.LOADING, Phase.OBSERVING, Phase.CLASSIFYING})


def check_transition(old: Phase, new: Phase) -> None:
    """Raises IllegalTransition unless a recovery may go from the one phase to the other."""
    if new not in TRANSITIONS[old]:
        raise IllegalTransition(old, new)
