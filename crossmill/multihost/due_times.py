"""When replicas are to be looked at again though nothing has changed."""

import heapq
from itertools import count

from .model import ReplicaId


class DueTimes:
    """The earliest time for each replica."""

    def __init__(self) -> None:
        # with a number that keeps replicas due at the same time in the order of their coming
        self._heap: list[tuple[float, int, ReplicaId]] = []
        self._due_at: dict[ReplicaId, float] = {}
        self._numbers = count()

    def add(self, replica_id: ReplicaId, at: float) -> None:
        """The replica is due at this time, or sooner if it was already."""
        known = self._due_at.get(replica_id)
        if known is None or at < known:
            self._due_at[replica_id] = at
            heapq.heappush(self._heap, (at, next(self._numbers), replica_id))

    def take(self, now: float) -> set[ReplicaId]:
        """The replicas that are due by now; they are no longer after this."""
        due: set[ReplicaId] = set()
        while self._heap and self._heap[0][0] <= now:
            at, _, replica_id = heapq.heappop(self._heap)
            if self._due_at.get(replica_id) == at:
                del self._due_at[replica_id]
                due.add(replica_id)
        return due

    def next_at(self) -> float | None:
        """When something is due next; now and then too early."""
        return self._heap[0][0] if self._heap else None

    def clear(self) -> None:
        """Nothing is due."""
        self._heap.clear()
        self._due_at.clear()
