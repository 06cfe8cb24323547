"""The unresolved differences of a shard, and totals over all of them.

The totals are updated with each change, so the cost of a heartbeat does not depend on the number of
differences that other machines have.
"""

from collections import Counter
from collections.abc import Callable

from ..cluster.model import AttemptId
from .classification import ActionEvidence, RecoveryAction, TaskClass
from .differences import Difference, TaskKey

# classes of tasks that run without a plan and must not be placed elsewhere while they run
RUNNING_UNPLANNED_CLASSES = frozenset({TaskClass.NEVER_STORED, TaskClass.OTHER_ATTEMPT})

AttemptDifferences = dict[AttemptId, Difference]


class UnresolvedDifferences:
    """The unresolved differences by machine, and those that the circuit breaker counts.

    The breaker also counts differences that recovery's own orders have resolved.
    """

    def __init__(self) -> None:
        self._by_machine: dict[str, AttemptDifferences] = {}
        self.count = 0
        self._running_unplanned: Counter[TaskKey] = Counter()
        # monotonic time in seconds at which a difference was first reported, by attempt; only for
        # differences whose order requires a fresh read
        self._reported_at: dict[AttemptId, float] = {}
        # differences that the breaker counts: unresolved ones, and those resolved by an order
        self._counted: set[Difference] = set()
        self._actions: Counter[RecoveryAction] = Counter()
        # differences for which an order was sent
        self._ordered: set[Difference] = set()

    def machines(self) -> list[str]:
        """Return the machines with differences."""
        return list(self._by_machine)

    def machines_by_urgency(self, priority_of: Callable[[str], int]) -> list[str]:
        """Return the machines, sorted by their most urgent difference and its job's priority."""
        ranks = {
            machine_id: min(
                (difference.rule.urgency, priority_of(difference.job))
                for difference in differences.values()
            )
            for machine_id, differences in self._by_machine.items()
        }
        return sorted(ranks, key=lambda machine_id: (ranks[machine_id], machine_id))

    def of_machine(self, machine_id: str) -> AttemptDifferences:
        """Return the differences of a machine by attempt."""
        return self._by_machine.get(machine_id, {})

    def add_all(self, machine_id: str, found: list[Difference], now: float) -> None:
        """Add the differences that a machine's first heartbeat shows."""
        for difference in found:
            self._add(machine_id, difference, now)

    def update(self, machine_id: str, found: list[Difference], now: float) -> None:
        """Update a machine's differences from a later heartbeat.

        A difference that the heartbeat no longer shows is resolved. The class of a remaining
        difference may have changed, for example because its job was cancelled. New differences are
        not added: only those of a machine's first heartbeat belong to the recovery.
        """
        remaining = {_attempt_id(difference): difference for difference in found}
        for attempt, difference in list(self.of_machine(machine_id).items()):
            current = remaining.get(attempt)
            if current == difference:
                continue
            self._remove(machine_id, difference)
            if current is not None:
                self._add(machine_id, current, now)

    def drop_machine(self, machine_id: str) -> None:
        """Drop the differences of a machine that has departed or belongs to another shard."""
        for difference in list(self.of_machine(machine_id).values()):
            self._remove(machine_id, difference)

    def _add(self, machine_id: str, difference: Difference, now: float) -> None:
        attempt = _attempt_id(difference)
        self._by_machine.setdefault(machine_id, {})[attempt] = difference
        self.count += 1
        if difference.task_class in RUNNING_UNPLANNED_CLASSES:
            self._running_unplanned[difference.key] += 1
        if difference.rule.evidence is ActionEvidence.FRESH_READ:
            self._reported_at[attempt] = now
        if difference.rule.counts_toward_breaker:
            self._counted.add(difference)
            self._actions[difference.rule.action] += 1

    def _remove(self, machine_id: str, difference: Difference) -> None:
        attempt = _attempt_id(difference)
        differences = self._by_machine[machine_id]
        del differences[attempt]
        if not differences:
            del self._by_machine[machine_id]
        self.count -= 1
        if difference.task_class in RUNNING_UNPLANNED_CLASSES:
            self._running_unplanned[difference.key] -= 1
        self._reported_at.pop(attempt, None)
        if difference not in self._ordered:
            self._stop_counting(difference)

    def _stop_counting(self, difference: Difference) -> None:
        if difference in self._counted:
            self._counted.discard(difference)
            self._actions[difference.rule.action] -= 1

    def needs_read(self, last_read_sent_at: float | None) -> bool:
        """Return whether an order waits for a read sent after its difference was first reported."""
        return any(
            last_read_sent_at is None or reported_at >= last_read_sent_at
            for reported_at in self._reported_at.values()
        )

    def has_fresh_read(self, difference: Difference, last_read_sent_at: float | None) -> bool:
        """Return whether the last read was sent after the difference was first reported."""
        reported_at = self._reported_at.get(_attempt_id(difference))
        if reported_at is None or last_read_sent_at is None:
            return False
        return last_read_sent_at > reported_at

    def is_running_unplanned(self, key: TaskKey) -> bool:
        """Return whether any machine runs the task although no plan contains it."""
        return self._running_unplanned[key] > 0

    def mark_ordered(self, difference: Difference) -> None:
        """Record that an order was sent, so that the breaker keeps counting the difference."""
        self._ordered.add(difference)

    def approve(self) -> None:
        """Stop counting all currently counted differences, since an operator approved them."""
        for difference in list(self._counted):
            self._stop_counting(difference)

    def blocked(self) -> list[Difference]:
        """Return the unresolved differences that the breaker counts."""
        return [
            difference
            for differences in self._by_machine.values()
            for difference in differences.values()
            if difference in self._counted
        ]

    def count_unapproved(self, action: RecoveryAction) -> int:
        """Return the number of differences with this action that the breaker counts."""
        return self._actions[action]


def _attempt_id(difference: Difference) -> AttemptId:
    return AttemptId(difference.job, difference.index, difference.attempt)
