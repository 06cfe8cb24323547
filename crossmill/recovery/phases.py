"""The phases of a shard's recovery, and the transitions between them."""

from enum import StrEnum

from ..net.clock import Clock


class RecoveryPhase(StrEnum):
    """A phase in the recovery of a shard; the values appear in records and log lines."""

    # the shard was acquired; the writes of earlier owners are being read
    LOADING = "loading"
    # workers are answered; machines that were up may report, within a time limit
    OBSERVING = "observing"
    # the differences are known; the circuit breaker decides whether they may be resolved
    CLASSIFYING = "classifying"
    # differences are resolved, in batches and at a limited rate
    RESOLVING = "settling"
    # no differences are left; the scheduler works without restrictions
    STEADY = "steady"


class RecoveryError(Exception):
    """The base class of the errors that recovery raises."""


class RecoveryTransitionError(RecoveryError):
    """A recovery can't go from the old phase to the new one."""

    def __init__(self, old: RecoveryPhase, new: RecoveryPhase) -> None:
        super().__init__(f"a recovery that is {old} can't become {new}")
        self.old = old
        self.new = new


TRANSITIONS: dict[RecoveryPhase, frozenset[RecoveryPhase]] = {
    RecoveryPhase.LOADING: frozenset({RecoveryPhase.OBSERVING}),
    RecoveryPhase.OBSERVING: frozenset({RecoveryPhase.CLASSIFYING}),
    RecoveryPhase.CLASSIFYING: frozenset({RecoveryPhase.RESOLVING}),
    # machines that report late may bring so many differences that the breaker trips again
    RecoveryPhase.RESOLVING: frozenset({RecoveryPhase.CLASSIFYING, RecoveryPhase.STEADY}),
    RecoveryPhase.STEADY: frozenset(),
}

# In these phases nothing is placed: machines that have not reported yet may run tasks that no plan
# contains.
PHASES_BEFORE_PLACEMENT = frozenset(
    {RecoveryPhase.LOADING, RecoveryPhase.OBSERVING, RecoveryPhase.CLASSIFYING}
)
# In these phases differences are resolved.
RESOLVING_PHASES = frozenset({RecoveryPhase.RESOLVING, RecoveryPhase.STEADY})


def check_transition(old: RecoveryPhase, new: RecoveryPhase) -> None:
    """Raises RecoveryTransitionError unless a recovery may go from the old phase to the new one."""
    if new not in TRANSITIONS[old]:
        raise RecoveryTransitionError(old, new)


class PhaseTracker:
    """The present phase of a shard's recovery, and the time spent in the earlier ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entered_at = clock.now()
        self.current = RecoveryPhase.LOADING
        # seconds spent in each phase that was left; a phase may be entered more than once
        self.durations_s: dict[RecoveryPhase, float] = {}

    def enter(self, phase: RecoveryPhase) -> float:
        """Enters a phase and returns the seconds spent in the one before.

        Raises:
            RecoveryTransitionError: if the phase can't follow the present one.
        """
        check_transition(self.current, phase)
        now = self._clock.now()
        spent_s = now - self._entered_at
        self.durations_s[self.current] = self.durations_s.get(self.current, 0.0) + spent_s
        self.current = phase
        self._entered_at = now
        return spent_s

    def elapsed_s(self) -> float:
        """Seconds since the present phase was entered."""
        return self._clock.now() - self._entered_at
