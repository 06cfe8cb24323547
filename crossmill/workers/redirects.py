"""The controllers to which workers are redirected.

`HeartbeatHandler` redirects each worker whose machine this controller may not act for.
"""

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Machine
from ..cluster.owner_selection import OwnerSelection
from ..cluster.partition_detector import PartitionDetector
from ..settings import Settings


class WorkerRedirects:
    """Chooses the controller to which a worker should send its heartbeats."""

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        owner_selection: OwnerSelection,
        partition: PartitionDetector,
    ) -> None:
        self._own_label = settings.label
        self._cluster = cluster
        self._owner_selection = owner_selection
        self._partition = partition
        self._peers = _others_in_order(settings)
        # the controllers that were named last, by machine ID
        self._named: dict[str, str] = {}

    def for_unknown_owner(self) -> str | None:
        """Return the controller for a worker whose owner is unknown; None to try them in order."""
        return self._owner_selection.redirect_target()

    def for_machine(self, machine: Machine) -> str | None:
        """Return the controller for the machine's worker; None to try them in order.

        While this controller's lease can't be renewed, its records may be old, and the recorded
        owner is named only if it has responded since.
        """
        record = self._cluster.shard_owners.get(machine.shard)
        owner = None if record is None or record.owner == self._own_label else record.owner
        if not self._partition.is_lease_failing:
            return owner or self.for_unknown_owner()
        if owner is None or self._partition.is_silent(owner):
            return self._next_peer(machine.id)
        return owner

    def _next_peer(self, machine_id: str) -> str | None:
        """Return the controller after the one that was named last; None without peers.

        A worker would otherwise be sent back and forth between two controllers with old records,
        and never try the third. Controllers without a record, or not reached by workers, are named
        only if all are.
        """
        targets = [peer for peer in self._peers if self._owner_selection.is_reachable(peer)]
        targets = targets or self._peers
        if not targets:
            return None
        named = self._named.get(machine_id)
        position = targets.index(named) + 1 if named in targets else 0
        target = targets[position % len(targets)]
        self._named[machine_id] = target
        return target


def _others_in_order(settings: Settings) -> list[str]:
    """Return the other controllers in the order in which workers try them from this one."""
    others: list[str] = []
    label = settings.next_controller(settings.label)
    while label != settings.label:
        others.append(label)
        label = settings.next_controller(label)
    return others
