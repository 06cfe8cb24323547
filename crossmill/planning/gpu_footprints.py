"""What tasks on GPUs take of a machine, so that tasks without GPUs leave them their place."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .demand import slots_on
from .free_capacity import FreeCapacity, TaskFootprint


class _Bound(NamedTuple):
    """The share of a class that fits on one type alone, and whether it may use spot machines."""

    share: TaskFootprint
    spot: bool


class GpuFootprints(NamedTuple):
    """The share of a task of the class with the most tasks; and by type that of the class with the
    most tasks among those that fit on this type alone, if that does not hold for all classes.
    """

    typical: TaskFootprint | None
    bound: dict[str, _Bound]

    def bound_to(self, capacity: FreeCapacity) -> TaskFootprint | None:
        """The share of the class that has only such machines."""
        bound = self.bound.get(capacity.type)
        return None if bound is None or (capacity.spot and not bound.spot) else bound.share


def gpu_footprints(specs: Iterable[JobSpec], catalog: Collection[MachineType]) -> GpuFootprints:
    """The shares of the classes of these jobs, all of which use GPUs."""
    tasks: dict[str, int] = {}
    newest: dict[str, JobSpec] = {}
    for spec in specs:
        tasks[spec.job_class] = tasks.get(spec.job_class, 0) + spec.tasks
        newest[spec.job_class] = spec
    order = sorted(tasks, key=lambda name: (-tasks[name], name))
    most = max(tasks, key=lambda name: (tasks[name], name))
    bound: dict[str, _Bound] = {}
    types = {name: _types_of(newest[name], catalog) for name in order}
    if len(types[most]) > 1:
        for name in order:
            if len(types[name]) == 1:
                spec = newest[name]
                bound.setdefault(types[name][0], _Bound(_share(spec), spec.spot))
    return GpuFootprints(_share(newest[most]), bound)


def _share(spec: JobSpec) -> TaskFootprint:
    return TaskFootprint(spec.cpus, spec.gpus, spec.memory_gb)


def _types_of(spec: JobSpec, catalog: Collection[MachineType]) -> list[str]:
    """The types that a task of the job fits on."""
    return [
        kind.name
        for kind in catalog
        if (spec.types is None or kind.name in spec.types) and slots_on(spec, kind) > 0
    ]
