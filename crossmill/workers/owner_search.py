"""Redirects of workers whose owner this controller can't know.

While the controller's lease can't be renewed, its records may be old: another controller may own a
machine by now. Each redirect names another controller in turn. Without that, a worker would be sent
back and forth between two controllers with old records, and never try the third.
"""

from ..cluster.owner_selection import OwnerSelection
from ..settings import Settings


class OwnerSearch:
    """Names the controllers to each worker one after the other."""

    def __init__(self, settings: Settings, owner_selection: OwnerSelection) -> None:
        self._owner_selection = owner_selection
        label = settings.next_controller(settings.label)
        self._peers: list[str] = []
        while label != settings.label:
            self._peers.append(label)
            label = settings.next_controller(label)
        # the controllers that were named last, by machine ID
        self._named: dict[str, str] = {}

    def next_target(self, machine_id: str) -> str | None:
        """Return the controller after the one that was named last; None without peers.

        Controllers without a record, or not reached by workers, are named only if all are.
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
