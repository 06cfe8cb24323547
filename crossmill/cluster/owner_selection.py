"""Which controller should own a shard.

Each shard has a home, which owns it when all are well. A worker whose controller stops answering
waits for it as long as a request may take, and then tries the next controller in its order; if that
one is down as well, the worker's lease ends on the way to the third. So a controller is *exposed*
while the next one after it is missing, and as long as there is another that is not exposed, that
one should own the shard.
"""

from ..net.clock import Clock
from ..settings import Settings
from .cluster_state import ClusterState


class OwnerSelection:
    """Who should own a shard, from the controllers' keys in the state service and from how long
    each of them has been there or been missing, as seen by this process.
    """

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._labels = settings.labels
        self._present_since: dict[str, float] = {}
        self._absent_since: dict[str, float] = {}

    def observe(self) -> None:
        """Notes which controllers are there; called at each look at the shards."""
        now = self._clock.now()
        for label in self._labels:
            noted, ended = self._present_since, self._absent_since
            if not self.is_reachable(label):
                noted, ended = ended, noted
            ended.pop(label, None)
            noted.setdefault(label, now)

    def preferred_owner(self, shard: int) -> str:
        """The controller that owns the shard when all are well."""
        return self._labels[shard % len(self._labels)]

    def is_unreachable_by_workers(self, label: str) -> bool:
        """Whether the controller says that no worker reaches it; said by all, it says nothing."""
        controllers = self._cluster.controllers
        record = controllers.get(label)
        if record is None or not record.is_unreachable_by_workers:
            return False
        return not all(other.is_unreachable_by_workers for other in controllers.values())

    def is_reachable(self, label: str) -> bool:
        """Whether the controller's lease stands, and workers reach it."""
        return label in self._cluster.controllers and not self.is_unreachable_by_workers(label)

    def is_steady(self, label: str) -> bool:
        """Whether the controller has been there for a worker's lease."""
        return self._lasts(self._present_since, label)

    def is_exposed(self, label: str) -> bool:
        """Whether workers of this controller would find nobody at the next one after it. One that
        is only begun again is not missing for so long.
        """
        return self._lasts(self._absent_since, self._settings.next_controller(label))

    def reachable_alternative(self) -> str | None:
        """Where a worker whose owner is not known is sent: None if the controller that it tries
        next by itself is there, else the first one after it that is. Left to itself it waits
        for a request's time at each that is missing, and with two of them in a row its lease ends
        on the way.
        """
        label = self._settings.next_controller(self._settings.label)
        if self.is_reachable(label):
            return None
        while label != self._settings.label:
            if self.is_reachable(label):
                return label
            label = self._settings.next_controller(label)
        return None

    def _lasts(self, since: dict[str, float], label: str) -> bool:
        begun = since.get(label)
        return begun is not None and self._clock.now() - begun > self._settings.worker_lease_s

    def rank(self) -> int:
        """How many controllers come before this one in taking what has no owner: those that are
        not exposed first, then those with fewer shards.
        """
        load = {
            label: 0
            for label in self._cluster.controllers
            if not self.is_unreachable_by_workers(label)
        }
        load.setdefault(self._settings.label, 0)
        for shard in self._cluster.shard_owners.values():
            if shard.owner in load:
                load[shard.owner] += 1
        order = sorted(load, key=lambda label: (self.is_exposed(label), load[label], label))
        return order.index(self._settings.label)

    def should_yield(self, label: str) -> bool:
        """Whether the controller is exposed and another one is there for good that is not."""
        return self.is_exposed(label) and any(
            other != label and self.is_steady(other) and not self.is_exposed(other)
            for other in self._labels
        )

    def is_better_elsewhere(self, shard: int) -> bool:
        """Whether this controller, which owns the shard, should hand it to another."""
        home, mine = self.preferred_owner(shard), self._settings.label
        if self.should_yield(mine):
            return True
        return home != mine and self.is_steady(home) and not self.should_yield(home)
