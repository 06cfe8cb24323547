"""The admission of a recovery's orders: which of them may be sent now.

A difference may be resolved once phase, batch, evidence and circuit breaker permit it and the rate
limits are not exhausted; differences of IMMEDIATE urgency need none of this. `ShardRecovery`
requests admission for each command that resolves one of its differences.
"""

from collections.abc import Callable

from .circuit_breaker import CircuitBreaker
from .classification import ActionEvidence, TaskClass, Urgency
from .context import RecoveryContext
from .differences import Difference
from .pacing import MachineBatches, OrderRateLimiter
from .phases import RESOLVING_PHASES, PhaseTracker, RecoveryPhase
from .statistics import RELEASE_ORDER, RecoveryStatistics
from .unresolved_differences import UnresolvedDifferences


class OrderAdmission:
    """Decides which of a shard's orders may be sent, and counts those.

    It owns the rate limits, the batches and the time of the last read.
    """

    def __init__(
        self,
        context: RecoveryContext,
        phases: PhaseTracker,
        differences: UnresolvedDifferences,
        breaker: CircuitBreaker,
        statistics: RecoveryStatistics,
    ) -> None:
        settings, clock = context.recovery_settings, context.clock
        self._phases = phases
        self._differences = differences
        self._breaker = breaker
        self._statistics = statistics
        self._rate_limiter = OrderRateLimiter(clock, settings)
        self._batches = MachineBatches(clock, settings.first_batch, settings.batch_timeout_s)
        # monotonic time when the newest read that showed all durable writes was sent, in seconds
        self._last_read_sent_at: float | None = None

    @property
    def needs_read(self) -> bool:
        """Whether an order waits for a read sent after its difference was first reported."""
        return self._differences.needs_read(self._last_read_sent_at)

    def set_last_read(self, sent_at: float) -> None:
        """Set the time at which the newest read that showed all durable writes was sent."""
        self._last_read_sent_at = sent_at

    def advance_batches(self, priority_of: Callable[[str], int]) -> None:
        """Start the next batch if it is due; `priority_of` returns the priority of a job."""
        if self._batches.is_next_due(set(self._differences.machines())):
            self._batches.start_next(self._differences.machines_by_urgency(priority_of))

    def admit(self, difference: Difference, kind: str) -> bool:
        """Return whether an order of this kind for the difference may be sent; if so, count it."""
        if difference.rule.urgency is not Urgency.IMMEDIATE and not self._try_charge(difference):
            return False
        self._statistics.orders[kind] += 1
        self._differences.mark_ordered(difference)
        return True

    def admit_release(self, machine_id: str) -> bool:
        """Return whether an unresponsive machine may be released; if so, count it once."""
        releases = self._breaker.releases
        releases.request(machine_id)
        if releases.is_permitted(machine_id):
            return True
        if self._breaker.is_open or not self._rate_limiter.try_take_for_shard():
            return False
        releases.permit(machine_id)
        self._statistics.orders[RELEASE_ORDER] += 1
        return True

    def _try_charge(self, difference: Difference) -> bool:
        """Return whether the difference may be resolved now; if so, charge the rate limits."""
        return self._is_allowed_now(difference) and self._rate_limiter.try_take_for_worker(
            difference.machine
        )

    def _is_allowed_now(self, difference: Difference) -> bool:
        """Return whether phase, batch, evidence and breaker permit an order for the difference."""
        if self._phases.current not in RESOLVING_PHASES or self._waits_for_batch(difference):
            return False
        if self._lacks_fresh_read(difference):
            return False
        if difference.rule.counts_toward_breaker and self._breaker.is_open:
            return False
        # The plan may be older than a move of the task: then the attempt that runs elsewhere has to
        # end before the planned one starts.
        is_start = difference.task_class is TaskClass.ABSENT
        return not (is_start and self._differences.is_running_unplanned(difference.key))

    def _waits_for_batch(self, difference: Difference) -> bool:
        is_batched = difference.rule.urgency is Urgency.CLEAN_UP
        if not is_batched or self._phases.current is not RecoveryPhase.RESOLVING:
            return False
        return difference.machine not in self._batches.current_batch

    def _lacks_fresh_read(self, difference: Difference) -> bool:
        if difference.rule.evidence is not ActionEvidence.FRESH_READ:
            return False
        return not self._differences.has_fresh_read(difference, self._last_read_sent_at)
