"""Resources that GPU tasks need on a machine, so that other tasks leave capacity for them.

The functions are pure. `fleet.capacity` calls `gpu_footprints` for the active jobs of all shards.
"""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .demand import slots_per_machine
from .free_capacity import FreeCapacity, TaskFootprint


class ExclusiveFootprint(NamedTuple):
    """The footprint of a class that fits on only one type, and whether it may use spot machines."""

    footprint: TaskFootprint
    spot: bool


class GpuFootprints(NamedTuple):
    """Footprints of the job classes that use GPUs.

    Attributes:
        typical: The footprint of the class with the most tasks; None if there is no class.
        exclusive: By machine type, the footprint of the class with the most tasks among the classes
            that fit on this type only. Empty if the class with the most tasks of all fits on only
            one type.
    """

    typical: TaskFootprint | None
    exclusive: dict[str, ExclusiveFootprint]

    def exclusive_footprint(self, capacity: FreeCapacity) -> TaskFootprint | None:
        """Return the footprint of the class that can use only machines of this type, if any."""
        found = self.exclusive.get(capacity.type)
        if found is None or (capacity.spot and not found.spot):
            return None
        return found.footprint


def gpu_footprints(specs: Iterable[JobSpec], catalog: Collection[MachineType]) -> GpuFootprints:
    """Return the footprints of the classes of the given jobs, all of which use GPUs."""
    tasks: dict[str, int] = {}
    newest: dict[str, JobSpec] = {}
    for spec in specs:
        tasks[spec.job_class] = tasks.get(spec.job_class, 0) + spec.tasks
        newest[spec.job_class] = spec
    classes = sorted(tasks, key=lambda name: (-tasks[name], name))
    largest = max(tasks, key=lambda name: (tasks[name], name))
    exclusive: dict[str, ExclusiveFootprint] = {}
    types = {name: _fitting_types(newest[name], catalog) for name in classes}
    if len(types[largest]) > 1:
        for name in classes:
            if len(types[name]) == 1:
                spec = newest[name]
                exclusive.setdefault(
                    types[name][0], ExclusiveFootprint(_footprint(spec), spec.spot)
                )
    return GpuFootprints(_footprint(newest[largest]), exclusive)


def _footprint(spec: JobSpec) -> TaskFootprint:
    return TaskFootprint(spec.cpus, spec.gpus, spec.memory_gb)


def _fitting_types(spec: JobSpec, catalog: Collection[MachineType]) -> list[str]:
    """Return the names of the machine types that a task of the job fits on."""
    return [
        machine_type.name
        for machine_type in catalog
        if (spec.types is None or machine_type.name in spec.types)
        and slots_per_machine(spec, machine_type) > 0
    ]
