"""The phases of a shard's recovery, and the transitions between them."""

from enum import StrEnum

from ..net.clock import Clock


class RecoveryPhase(StrEnum):
    """A phase of a shard's recovery; the values appear in records and log lines."""

    # the shard was acquired; the controller reads the writes of earlier owners
    LOADING = "loading"
    # the controller responds to heartbeats; within a time limit, it waits for heartbeats of the
    # machines that may run tasks
    OBSERVING = "observing"
    # the differences are known; the circuit breaker decides whether they may be resolved
    CLASSIFYING = "classifying"
    # differences are resolved, in batches and at a limited rate
    RESOLVING = "settling"
    # no differences are left, or resolving them has timed out; batches no longer apply
    STEADY = "steady"


class RecoveryError(Exception):
    """The base class of the errors that recovery raises."""


class RecoveryTransitionError(RecoveryError):
    """A phase transition that is not in TRANSITIONS."""

    def __init__(self, old: RecoveryPhase, new: RecoveryPhase) -> None:
        super().__init__(f"invalid recovery phase transition from {old} to {new}")
        self.old = old
        self.new = new


TRANSITIONS: dict[RecoveryPhase, frozenset[RecoveryPhase]] = {
    RecoveryPhase.LOADING: frozenset({RecoveryPhase.OBSERVING}),
    RecoveryPhase.OBSERVING: frozenset({RecoveryPhase.CLASSIFYING}),
    RecoveryPhase.CLASSIFYING: frozenset({RecoveryPhase.RESOLVING}),
    # machines that report late may have so many differences that the breaker opens again
    RecoveryPhase.RESOLVING: frozenset({RecoveryPhase.CLASSIFYING, RecoveryPhase.STEADY}),
    RecoveryPhase.STEADY: frozenset(),
}

# The phases in which nothing is placed, since machines that have not reported yet may run tasks
# that no plan contains.
PHASES_BEFORE_PLACEMENT = frozenset(
    {RecoveryPhase.LOADING, RecoveryPhase.OBSERVING, RecoveryPhase.CLASSIFYING}
)
# The phases in which differences are resolved.
RESOLVING_PHASES = frozenset({RecoveryPhase.RESOLVING, RecoveryPhase.STEADY})


def check_transition(old: RecoveryPhase, new: RecoveryPhase) -> None:
    """Raise RecoveryTransitionError unless the new phase may follow the old one."""
    if new not in TRANSITIONS[old]:
        raise RecoveryTransitionError(old, new)


class PhaseTracker:
    """The current phase of a shard's recovery, and the time spent in the earlier ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entered_at = clock.now()
        self.current = RecoveryPhase.LOADING
        # seconds spent in each phase that has ended; a phase may be entered more than once
        self.durations_s: dict[RecoveryPhase, float] = {}

    def enter(self, phase: RecoveryPhase) -> float:
        """Enter a phase and return the seconds spent in the previous one.

        Raises:
            RecoveryTransitionError: if the phase can't follow the current one.
        """
        check_transition(self.current, phase)
        now = self._clock.now()
        spent_s = now - self._entered_at
        self.durations_s[self.current] = self.durations_s.get(self.current, 0.0) + spent_s
        self.current = phase
        self._entered_at = now
        return spent_s

    def elapsed_s(self) -> float:
        """Return the seconds since the current phase was entered."""
        return self._clock.now() - self._entered_at
