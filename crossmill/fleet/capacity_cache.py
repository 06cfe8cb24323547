"""Rooms kept from one look at the fleet to the next.

Most machines are as they were at the last look, so what is free on them is not worked out anew. A
room is used again only while its machine is unchanged and nothing was planned into it; whoever
gets one may change it until the next look.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..cluster.model import Machine
from ..planning.free_capacity import FreeCapacity
from ..wire.cloud import MachineType

# so many more rooms than machines are kept before those of machines that have gone are dropped
SPARE_ENTRIES = 64


@dataclass(slots=True, eq=False)
class _Entry:
    """A room, and the state of the machine that it was made of."""

    machine: Machine
    changes: int
    kind: MachineType
    capacity: FreeCapacity

    def is_valid(self, machine: Machine, kind: MachineType) -> bool:
        return (
            self.machine is machine
            and self.changes == machine.changes
            and self.kind is kind
            and not self.capacity.taken
        )


class CapacityCache:
    """The rooms of machines, by machine."""

    def __init__(
        self, machines: dict[str, Machine], build: Callable[[Machine, MachineType], FreeCapacity]
    ) -> None:
        self._machines = machines
        self._build = build
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def capacity(self, machine: Machine, kind: MachineType) -> FreeCapacity:
        """What is free on the machine now."""
        entry = self._entries.get(machine.id)
        if entry is None or not entry.is_valid(machine, kind):
            capacity = self._build(machine, kind)
            self._entries[machine.id] = _Entry(machine, machine.changes, kind, capacity)
            self._drop_gone()
            return capacity
        entry.capacity.used = bool(machine.attempts)
        return entry.capacity

    def _drop_gone(self) -> None:
        if len(self._entries) <= len(self._machines) + SPARE_ENTRIES:
            return
        for machine_id in [m for m in self._entries if m not in self._machines]:
            del self._entries[machine_id]
