"""The queue of replicas that wait for machines.

The queue has one total order for all replicas. It exists only in the memory of the pool's owner.
The replica reconciler adds and removes replicas, the scheduler chooses machines for them.
"""

from typing import NamedTuple

from .model import ReplicaId
from .phases import ReplicaPhase
from .pool import PoolState
from .settings import MultihostSettings

# The stage decides first on a replica's position. Reservations in steps are first: at most one is
# open, and it is finished or undone before the next begins. Repairs follow, since they hold
# reserved machines, then all other replicas.
STAGE_BY_PHASE = {ReplicaPhase.RESERVING: 0, ReplicaPhase.REPAIRING: 1}
DEFAULT_STAGE = 2


class _QueueEntry:
    """A replica in the queue. Times are read from the controller's monotonic clock."""

    __slots__ = ("unplaced_since", "waiting_since")

    def __init__(self, waiting_since: float) -> None:
        self.waiting_since = waiting_since
        # when the scheduler first found too few machines; None once it has found enough
        self.unplaced_since: float | None = None


class QueuePosition(NamedTuple):
    """The sort key of a replica in the queue; the smallest is served first.

    Within a stage the replica of higher priority is served first, then the one that has waited
    longer.
    """

    stage: int
    negative_priority: int
    waiting_since: float
    set_name: str
    number: int


class PlacementQueue:
    """The replicas that wait for machines, in the order in which they are served."""

    def __init__(self, settings: MultihostSettings, pool: PoolState) -> None:
        self._settings = settings
        self._pool = pool
        self._entries: dict[ReplicaId, _QueueEntry] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no replica waits."""
        return not self._entries

    def clear(self) -> None:
        """Remove all replicas; called when the ownership of the pool ends."""
        self._entries.clear()

    def add(self, replica_id: ReplicaId, now: float) -> None:
        """Add a replica that needs machines; one already in the queue keeps its waiting time."""
        self._entries.setdefault(replica_id, _QueueEntry(now))

    def remove(self, replica_id: ReplicaId) -> None:
        """Remove a replica that has its machines or no longer needs any."""
        self._entries.pop(replica_id, None)

    def mark_placed(self, replica_id: ReplicaId) -> None:
        """Record that the scheduler has found machines for a replica."""
        self._entries[replica_id].unplaced_since = None

    def mark_unplaced(self, replica_id: ReplicaId, now: float) -> None:
        """Record that the scheduler has found too few machines for a replica."""
        entry = self._entries[replica_id]
        if entry.unplaced_since is None:
            entry.unplaced_since = now

    def is_overdue(self, replica_id: ReplicaId, now: float) -> bool:
        """Return whether the replica has been unplaceable for so long that it may preempt."""
        unplaced_since = self._entries[replica_id].unplaced_since
        if unplaced_since is None:
            return False
        return now - unplaced_since >= self._settings.preempt_after_s

    def has_overdue_replica(self, set_name: str, now: float) -> bool:
        """Return whether a replica of the set has been unplaceable for too long."""
        return any(
            self.is_overdue(replica_id, now)
            for replica_id in self._entries
            if replica_id.set_name == set_name
        )

    def set_names(self) -> set[str]:
        """Return the names of the sets with a replica in the queue."""
        return {replica_id.set_name for replica_id in self._entries}

    def has_open_reservation(self) -> bool:
        """Return whether a reservation in steps has begun and is neither finished nor undone."""
        known_replicas = (self._pool.replicas.get(replica_id) for replica_id in self._entries)
        return any(r is not None and r.phase is ReplicaPhase.RESERVING for r in known_replicas)

    def is_waiting(self, replica_id: ReplicaId) -> bool:
        """Return whether the replica is in the queue, and both it and its set have records."""
        has_records = replica_id in self._pool.replicas and replica_id.set_name in self._pool.sets
        return replica_id in self._entries and has_records

    def in_order(self) -> list[ReplicaId]:
        """Return the waiting replicas in the order in which they are served."""
        return sorted(filter(self.is_waiting, self._entries), key=self._position)

    def _position(self, replica_id: ReplicaId) -> QueuePosition:
        replica = self._pool.replicas[replica_id]
        spec = self._pool.sets[replica_id.set_name].spec
        return QueuePosition(
            STAGE_BY_PHASE.get(replica.phase, DEFAULT_STAGE),
            -spec.priority,
            self._entries[replica_id].waiting_since,
            replica_id.set_name,
            replica_id.number,
        )
