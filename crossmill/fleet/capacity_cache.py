"""Keeps the free capacity of machines from one scheduling round to the next.

Most machines are unchanged since the last round, so their free capacity is not computed anew. An
entry is used again only while its machine is unchanged and no task was assigned to it. Whoever gets
a `FreeCapacity` may change it until the cache is asked again.
"""

from collections.abc import Callable

from ..cluster.model import Machine
from ..planning.free_capacity import FreeCapacity
from ..wire.cloud import MachineType

# how many more entries than machines there may be before those of deleted machines are dropped
SPARE_ENTRIES = 64


class _Entry:
    """The free capacity of a machine, and the state of the machine for which it was computed."""

    __slots__ = ("capacity", "changes", "machine", "machine_type")

    def __init__(self, machine: Machine, machine_type: MachineType, capacity: FreeCapacity) -> None:
        self.machine = machine
        self.changes = machine.changes
        self.machine_type = machine_type
        self.capacity = capacity

    def is_valid(self, machine: Machine, machine_type: MachineType) -> bool:
        """Return whether the machine is as it was, and no task was assigned to the capacity."""
        return (
            self.machine is machine
            and self.changes == machine.changes
            and self.machine_type is machine_type
            and not self.capacity.has_new_tasks
        )


class CapacityCache:
    """The free capacity of machines, by machine id; `build` computes that of one machine."""

    def __init__(
        self, machines: dict[str, Machine], build: Callable[[Machine, MachineType], FreeCapacity]
    ) -> None:
        self._machines = machines
        self._build = build
        self._entries: dict[str, _Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def capacity(self, machine: Machine, machine_type: MachineType) -> FreeCapacity:
        """Return what is free on the machine now."""
        entry = self._entries.get(machine.id)
        if entry is None or not entry.is_valid(machine, machine_type):
            capacity = self._build(machine, machine_type)
            self._entries[machine.id] = _Entry(machine, machine_type, capacity)
            self._drop_deleted()
            return capacity
        entry.capacity.is_used = bool(machine.attempts)
        return entry.capacity

    def _drop_deleted(self) -> None:
        if len(self._entries) <= len(self._machines) + SPARE_ENTRIES:
            return
        deleted = [machine_id for machine_id in self._entries if machine_id not in self._machines]
        for machine_id in deleted:
            del self._entries[machine_id]
