"""The differences of a shard that are not settled, and what is asked of all of them.

Everything is kept as it changes: a report costs what it brings, however many differ elsewhere.
"""

from collections import Counter
from collections.abc import Iterator

from ..cluster.model import AttemptId
from .brake import Impact
from .classification import Action, Proof, TaskClass
from .differences import Difference, TaskKey

# tasks that run though no plan holds them: they are not placed elsewhere meanwhile
CLAIMING = frozenset({TaskClass.NEVER_STORED, TaskClass.OTHER_ATTEMPT})

Found = dict[AttemptId, Difference]


class OpenDifferences:
    """By machine, what differs still; and what the brake counts, which also holds what was done."""

    def __init__(self) -> None:
        self._by_machine: dict[str, Found] = {}
        self.count = 0
        self._claims: Counter[TaskKey] = Counter()
        # by attempt that needs a fresh read: when it was first reported
        self._seen_at: dict[AttemptId, float] = {}
        # what the brake counts: differences that are open, or were settled by an order
        self._counted: set[Difference] = set()
        self._actions: Counter[Action] = Counter()
        self._ordered: set[Difference] = set()
        self._approved: set[Difference] = set()

    def __iter__(self) -> Iterator[Difference]:
        for found in self._by_machine.values():
            yield from found.values()

    def machines(self) -> list[str]:
        """The machines that differ."""
        return list(self._by_machine)

    def of(self, machine_id: str) -> Found:
        """What differs on a machine."""
        return self._by_machine.get(machine_id, {})

    def first(self, machine_id: str, found: list[Difference], now: float) -> None:
        """What a machine's first report shows."""
        for difference in found:
            self._add(machine_id, difference, now)

    def keep(self, machine_id: str, still: list[Difference], now: float) -> None:
        """A later report: whatever it does not show any more is settled, and what a difference
        means may have changed: its job was cancelled.
        """
        left = {_attempt(difference): difference for difference in still}
        for attempt, difference in list(self.of(machine_id).items()):
            present = left.get(attempt)
            if present == difference:
                continue
            self._remove(machine_id, difference)
            if present is not None:
                self._add(machine_id, present, now)

    def drop(self, machine_id: str) -> None:
        """The machine is gone, or another shard's."""
        for difference in list(self.of(machine_id).values()):
            self._remove(machine_id, difference)

    def _add(self, machine_id: str, difference: Difference, now: float) -> None:
        self._by_machine.setdefault(machine_id, {})[_attempt(difference)] = difference
        self.count += 1
        if difference.task_class in CLAIMING:
            self._claims[difference.key] += 1
        if difference.rule.proof is Proof.FRESH_READ:
            self._seen_at[_attempt(difference)] = now
        if difference.rule.is_braked:
            self._counted.add(difference)
            self._actions[difference.rule.action] += 1

    def _remove(self, machine_id: str, difference: Difference) -> None:
        found = self._by_machine[machine_id]
        del found[_attempt(difference)]
        if not found:
            del self._by_machine[machine_id]
        self.count -= 1
        if difference.task_class in CLAIMING:
            self._claims[difference.key] -= 1
        self._seen_at.pop(_attempt(difference), None)
        if difference not in self._ordered:
            self._uncount(difference)

    def _uncount(self, difference: Difference) -> None:
        if difference in self._counted:
            self._counted.discard(difference)
            self._actions[difference.rule.action] -= 1

    # -- reads -----------------------------------------------------------------------

    def needs_read(self, read_at: float | None) -> bool:
        """Whether a report has come that no read is newer than, and that an order rests on."""
        return any(read_at is None or seen_at >= read_at for seen_at in self._seen_at.values())

    def is_read(self, difference: Difference, read_at: float | None) -> bool:
        """Whether the read is newer than the report that first showed the difference."""
        seen_at = self._seen_at.get(_attempt(difference))
        return seen_at is not None and read_at is not None and read_at > seen_at

    def is_claimed(self, key: TaskKey) -> bool:
        """Whether some machine runs the task though no plan holds it."""
        return self._claims[key] > 0

    # -- the brake -------------------------------------------------------------------

    def ordered(self, difference: Difference) -> None:
        """An order for it was sent: the brake counts it also when it is settled."""
        self._ordered.add(difference)

    def approve(self) -> None:
        """What the brake counts now is approved, and counts no more."""
        self._approved |= self._counted
        for difference in list(self._counted):
            self._uncount(difference)

    def held_back(self) -> list[Difference]:
        """What is open and counts."""
        return [difference for difference in self if difference in self._counted]

    def impact(self, releases: int, tasks_known: int, machines_known: int) -> Impact:
        """What would be done, and was, without an approval."""
        stops, restarts = self._actions[Action.STOP], self._actions[Action.START]
        return Impact(stops, restarts, releases, tasks_known, machines_known)


def _attempt(difference: Difference) -> AttemptId:
    return AttemptId(difference.job, difference.index, difference.attempt)
