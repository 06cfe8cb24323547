"""Assigns the waiting tasks of one shard to free machines of all shards.

Pure except that it modifies the capacities and the zone allowance that the caller passes in.
Machine lending calls it to find the machines that another shard's tasks need.
"""

from .demand import TaskDemand
from .free_capacity import FreeCapacity, TaskAssignment, assign_tasks


def assign_demand(demand: TaskDemand, capacities: list[FreeCapacity]) -> list[TaskAssignment]:
    """Assign as many of the demand's tasks as fit; all tasks of a gang or none."""
    usable = demand.usable(capacities)
    if demand.spec.is_gang and not _fits_whole(demand, usable):
        return []
    return assign_tasks(demand.spec, demand.tasks, usable, demand.zones)


def _fits_whole(demand: TaskDemand, capacities: list[FreeCapacity]) -> bool:
    trial = [capacity.copy() for capacity in capacities]
    assignments = assign_tasks(demand.spec, demand.tasks, trial, demand.zones.copy())
    return sum(assignment.tasks for assignment in assignments) == demand.tasks
