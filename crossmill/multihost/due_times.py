"""The times at which replicas are to be reconciled again even if nothing has changed."""

import heapq
from itertools import count
from typing import NamedTuple

from .model import ReplicaId


class _DueEntry(NamedTuple):
    """A heap entry; `sequence` keeps entries of the same time in insertion order."""

    at: float
    sequence: int
    replica_id: ReplicaId


class DueTimes:
    """The earliest due time of each replica, by the controller's monotonic clock.

    The replica reconciler owns the due times and clears them when it loses the pool.
    """

    def __init__(self) -> None:
        self._heap: list[_DueEntry] = []
        self._due_at: dict[ReplicaId, float] = {}
        self._sequences = count()

    def add(self, replica_id: ReplicaId, at: float) -> None:
        """Make the replica due at this time, unless it is already due earlier."""
        due_at = self._due_at.get(replica_id)
        if due_at is None or at < due_at:
            self._due_at[replica_id] = at
            heapq.heappush(self._heap, _DueEntry(at, next(self._sequences), replica_id))

    def pop_due(self, now: float) -> set[ReplicaId]:
        """Remove and return the replicas that are due by now."""
        due: set[ReplicaId] = set()
        while self._heap and self._heap[0].at <= now:
            entry = heapq.heappop(self._heap)
            # entries replaced by an earlier one stay in the heap and are skipped here
            if self._due_at.get(entry.replica_id) == entry.at:
                del self._due_at[entry.replica_id]
                due.add(entry.replica_id)
        return due

    def next_at(self) -> float | None:
        """Return a time before which no replica is due; None if there are no due times."""
        return self._heap[0].at if self._heap else None

    def clear(self) -> None:
        """Remove all due times."""
        self._heap.clear()
        self._due_at.clear()
