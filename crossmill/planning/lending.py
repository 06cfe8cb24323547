"""Assigns the waiting tasks of one shard to free machines of all shards.

Pure except that it modifies the capacities and the zone allowances that the caller passes in.
Machine lending calls it to find the machines that another shard's tasks need.
"""

from collections.abc import Iterable
from math import inf

from ..wire.users import JobSpec
from .demand import TaskDemand
from .free_capacity import (
    TOLERANCE,
    FreeCapacity,
    TaskAssignment,
    TaskShape,
    assign_tasks,
    is_allowed,
)


class DemandAssigner:
    """Assigns demands one after the other to capacities, which only shrink.

    Many waiting jobs share a shape, and most machines are full, so a shape that fits on no machine
    is not looked for again.
    """

    def __init__(self, capacities: list[FreeCapacity]) -> None:
        self._capacities = capacities
        self._shapes_without_capacity: set[TaskShape] = set()

    def assign(self, demand: TaskDemand) -> list[TaskAssignment]:
        """Assign as many of the demand's tasks as fit; all tasks of a gang or none."""
        usable = demand.usable(self._fitting(demand))
        if not usable or (demand.spec.is_gang and not _fits_whole(demand, usable)):
            return []
        return assign_tasks(demand.spec, demand.tasks, usable, demand.zones)

    def _fitting(self, demand: TaskDemand) -> list[FreeCapacity]:
        """Return the capacities where at least one task fits."""
        spec = demand.spec
        shape = TaskShape.of(spec)
        if shape in self._shapes_without_capacity:
            return []
        fitting = [
            capacity
            for capacity in self._capacities
            if capacity.count_fitting(spec)
            and is_allowed(spec, capacity.type, capacity.zone, capacity.spot)
        ]
        if not fitting:
            self._shapes_without_capacity.add(shape)
        return fitting


def capacities_with_room(
    specs: Iterable[JobSpec], capacities: list[FreeCapacity]
) -> list[FreeCapacity]:
    """Return the capacities that have as much of each resource as the smallest task needs."""
    cpus, gpus, memory_gb = inf, inf, inf
    for spec in specs:
        cpus, gpus = min(cpus, spec.cpus), min(gpus, spec.gpus)
        memory_gb = min(memory_gb, spec.memory_gb)
    return [
        capacity
        for capacity in capacities
        if capacity.cpus + TOLERANCE >= cpus
        and capacity.gpus + TOLERANCE >= gpus
        and capacity.memory_gb + TOLERANCE >= memory_gb
    ]


def _fits_whole(demand: TaskDemand, capacities: list[FreeCapacity]) -> bool:
    trial = [capacity.copy() for capacity in capacities]
    assignments = assign_tasks(demand.spec, demand.tasks, trial, demand.zones.copy())
    return sum(assignment.tasks for assignment in assignments) == demand.tasks
