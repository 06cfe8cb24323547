"""Assigns tasks to machines: free capacity, allowed types and zones, spread, cached images.

The functions are pure: they change only the `FreeCapacity` and `ZoneAllowance` objects that the
caller passes in. Placement calls them to plan attempts, the demand forecast to find out how many
machines are missing, and preemption to find out what it would free.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from ..wire.users import MAX_TASKS, JobSpec

# tolerance for sums of fractional resources
RESOURCE_TOLERANCE = 1e-6
# rounds a share of a job's tasks up to whole tasks
ROUND_UP_OFFSET = 0.999


def count_fitting_tasks(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Count how many tasks like this fit into the given resources.

    The count is not bounded by the number of tasks of the job: a machine that one job fills in
    part is shared with others, and each pays for its share.
    """
    cpus, gpus, memory_gb = (
        cpus + RESOURCE_TOLERANCE,
        gpus + RESOURCE_TOLERANCE,
        memory_gb + RESOURCE_TOLERANCE,
    )
    # this is asked for every machine and waiting job, and most machines are full
    if gpus < spec.gpus or cpus < spec.cpus or memory_gb < spec.memory_gb:
        return 0
    count = MAX_TASKS
    if spec.gpus > 0:
        count = min(count, int(gpus / spec.gpus))
    if spec.cpus > 0:
        count = min(count, int(cpus / spec.cpus))
    if spec.memory_gb > 0:
        count = min(count, int(memory_gb / spec.memory_gb))
    return count


class TaskFootprint(NamedTuple):
    """The resources that a typical GPU task takes of its machine."""

    cpus: float
    gpus: float
    memory_gb: float

    def count_fitting(self, cpus: float, gpus: float, memory_gb: float) -> int:
        """Count how many such tasks fit into the given resources."""
        count = MAX_TASKS
        for free, each in ((gpus, self.gpus), (cpus, self.cpus), (memory_gb, self.memory_gb)):
            if each > 0:
                count = min(count, int((free + RESOURCE_TOLERANCE) / each))
        return max(0, count)


def _one_slot(_spec: JobSpec) -> int:
    return 1


@dataclass(slots=True, eq=False)
class FreeCapacity:
    """The resources that are free on one machine, and what ranks it among others.

    Attributes:
        machine: Id of the machine.
        type: Name of its machine type.
        zone: Its zone.
        spot: Whether it is a spot machine.
        cpus: Free CPUs.
        gpus: Free GPUs.
        memory_gb: Free memory.
        price: Price of a whole machine of the type.
        size: Size of an empty machine in GPUs, or in units of 8 CPUs if that is more.
        has_gpus: Whether an empty machine of the type has GPUs.
        fetch_gb_per_s: Rate at which the machine fetches images.
        in_limited_zone: Whether the zone offers fewer machine types than another one.
        slots_when_empty: How many tasks like the one given fit on an empty machine.
        images: Size in GB of each image that the machine has or fetches.
        is_used: Whether any task is planned on the machine.
        typical_gpu_task: Footprint of a typical GPU task of the shard, if there is any.
        exclusive_gpu_task: Footprint of a job class that fits on this machine type only; None if
            there is no such class.
        has_new_tasks: Whether tasks were assigned since the object was made.
    """

    machine: str
    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    price: float
    size: float
    has_gpus: bool = False
    fetch_gb_per_s: float = 1.0
    in_limited_zone: bool = False
    slots_when_empty: Callable[[JobSpec], int] = _one_slot
    images: dict[str, float] = field(default_factory=dict)
    is_used: bool = False
    typical_gpu_task: TaskFootprint | None = None
    exclusive_gpu_task: TaskFootprint | None = None
    has_new_tasks: bool = False

    def copy(self) -> "FreeCapacity":
        """Return a copy whose resources and images can be changed independently."""
        return replace(self, images=dict(self.images))

    def count_fitting_alongside_gpu_tasks(self, spec: JobSpec) -> int:
        """Count how many tasks fit without taking the place of a GPU task.

        Tasks without GPUs could fill a GPU machine up, and its GPUs would be paid for but unused.
        """
        if not self.has_gpus or spec.gpus > 0:
            return MAX_TASKS
        footprints = (self.typical_gpu_task, self.exclusive_gpu_task)
        return min(
            (
                self._count_fitting_alongside(footprint, spec)
                for footprint in footprints
                if footprint is not None
            ),
            default=MAX_TASKS,
        )

    def _count_fitting_alongside(self, footprint: TaskFootprint, spec: JobSpec) -> int:
        slots = footprint.count_fitting(self.cpus, self.gpus, self.memory_gb)
        cpus = self.cpus - slots * footprint.cpus
        memory_gb = self.memory_gb - slots * footprint.memory_gb
        return count_fitting_tasks(spec, cpus, 0.0, memory_gb)

    def contention_cost(self, spec: JobSpec) -> int:
        """Rate from 0 to 2 how far a task would occupy resources that other jobs need.

        A task without GPUs keeps a GPU machine rented when all else on it has ended. If some job
        class fits on this machine type only, the task takes that class's place as well.
        """
        return 0 if spec.gpus > 0 else self.has_gpus + (self.exclusive_gpu_task is not None)

    def count_fitting(self, spec: JobSpec) -> int:
        """Count how many tasks like this fit into what is free."""
        return count_fitting_tasks(spec, self.cpus, self.gpus, self.memory_gb)

    def image_delay_s(self, spec: JobSpec) -> float:
        """Estimate how many seconds a task waits here for its image."""
        return 0.0 if spec.image in self.images else spec.image_gb / self.fetch_gb_per_s

    def price_per_task(self, spec: JobSpec) -> float:
        """Return one task's part of the machine's price.

        A machine type that is short of memory for the task has few slots, hence a high price.
        """
        return self.price / max(1, self.slots_when_empty(spec))

    def reserve(self, spec: JobSpec, tasks: int = 1) -> None:
        """Reserve the resources of so many tasks."""
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus
        self.memory_gb -= tasks * spec.memory_gb
        self.is_used = self.has_new_tasks = True
        self.images[spec.image] = spec.image_gb


def is_allowed(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Return whether the job may run on this type, in this zone, on spot or not."""
    if spot and not spec.spot:
        return False
    if spec.types is not None and type_name not in spec.types:
        return False
    return spec.zone is None or spec.zone == zone


class ZoneAllowance:
    """How many more tasks of a job each zone may get, given where its other tasks are."""

    def __init__(self, spec: JobSpec, placed: dict[str, int]) -> None:
        self._spec = spec
        self._placed = dict(placed)
        # a spread job puts at most half of its tasks into one zone
        self._max_tasks_per_zone = (spec.tasks + 1) // 2

    def remaining(self, zone: str) -> int:
        """Return how many more tasks may go to the zone; zero or less means none."""
        if self._spec.one_zone and any(n for z, n in self._placed.items() if z != zone):
            return 0
        if self._spec.spread:
            return self._max_tasks_per_zone - self._placed.get(zone, 0)
        return self._spec.tasks

    def reserve(self, zone: str, tasks: int) -> None:
        """Count so many more tasks in the zone."""
        self._placed[zone] = self._placed.get(zone, 0) + tasks


class TaskAssignment(NamedTuple):
    """How many tasks a machine gets."""

    capacity: FreeCapacity
    tasks: int


class _TaskAssigner:
    """Assigns the tasks of one job in several passes over the ranked machines."""

    def __init__(self, spec: JobSpec, tasks: int, zones: ZoneAllowance) -> None:
        self._spec = spec
        self._zones = zones
        self.unassigned = tasks
        self.assignments: list[TaskAssignment] = []

    def assign(self, ranked: list[FreeCapacity], limit: int, alongside_gpu_tasks: bool) -> bool:
        """Make one pass with at most `limit` tasks a machine; return whether none is left."""
        spec, zones = self._spec, self._zones
        for capacity in ranked:
            zone_limit = max(0, zones.remaining(capacity.zone))
            number = min(capacity.count_fitting(spec), self.unassigned, limit, zone_limit)
            if alongside_gpu_tasks and number > 0:
                number = min(number, capacity.count_fitting_alongside_gpu_tasks(spec))
            if number > 0:
                capacity.reserve(spec, number)
                zones.reserve(capacity.zone, number)
                self.assignments.append(TaskAssignment(capacity, number))
                self.unassigned -= number
            if self.unassigned <= 0:
                return True
        return False


def assign_tasks(
    spec: JobSpec,
    tasks: int,
    capacities: Sequence[FreeCapacity],
    zones: ZoneAllowance,
    max_share_per_machine: float = 1.0,
) -> list[TaskAssignment]:
    """Assign up to this many tasks to machines and reserve their resources.

    The machines are taken in the order of `_sort_key`. At most `max_share_per_machine` of a
    service's tasks go to one machine as long as others have room, so that the loss of a machine
    hurts little. Tasks without GPUs first go where they take no GPU task's place.
    """
    ranked = _ranked_capacities(spec, capacities, zones)
    assigner = _TaskAssigner(spec, tasks, zones)
    limits = _limits_per_machine(spec, tasks, max_share_per_machine)
    passes = (True, False) if spec.gpus == 0 else (False,)
    for alongside_gpu_tasks in passes:
        for limit in limits:
            if assigner.assign(ranked, limit, alongside_gpu_tasks):
                return assigner.assignments
    return assigner.assignments


def assign_tasks_alongside_gpu_tasks(
    spec: JobSpec, tasks: int, capacities: Sequence[FreeCapacity], zones: ZoneAllowance
) -> list[TaskAssignment]:
    """Assign up to this many tasks, none of which takes the place of a GPU task."""
    ranked = _ranked_capacities(spec, capacities, zones)
    assigner = _TaskAssigner(spec, tasks, zones)
    for limit in _limits_per_machine(spec, tasks, 1.0):
        if assigner.assign(ranked, limit, alongside_gpu_tasks=True):
            break
    return assigner.assignments


def _limits_per_machine(spec: JobSpec, tasks: int, max_share_per_machine: float) -> tuple[int, ...]:
    """Return the most tasks that a machine may get in each pass."""
    if spec.kind != "service":
        return (tasks,)
    limit = max(1, int(spec.tasks * max_share_per_machine + ROUND_UP_OFFSET))
    return (limit, tasks) if limit < tasks else (tasks,)


def _ranked_capacities(
    spec: JobSpec, capacities: Sequence[FreeCapacity], zones: ZoneAllowance
) -> list[FreeCapacity]:
    """Return the machines that a task of the job may use and fits on, best first."""
    fitting = [
        capacity
        for capacity in capacities
        if capacity.count_fitting(spec) > 0
        and is_allowed(spec, capacity.type, capacity.zone, capacity.spot)
    ]
    if spec.one_zone and not any(zones.remaining(c.zone) == 0 for c in fitting):
        # no task of the job runs yet: take the zone that has room for most of them
        zone = max(
            {capacity.zone for capacity in fitting},
            default="",
            key=lambda zone: sum(c.count_fitting(spec) for c in fitting if c.zone == zone),
        )
        fitting = [capacity for capacity in fitting if capacity.zone == zone]
    fitting.sort(key=_sort_key(spec))
    return fitting


def _sort_key(
    spec: JobSpec,
) -> Callable[[FreeCapacity], tuple[int, bool, int, bool, float, float]]:
    """Return the sort key of machines for tasks of the job, lowest first.

    The key is a plain tuple, since tuples of a subclass sort more slowly and this runs for every
    fitting machine of every waiting job. Its elements are: contention cost; whether the zone
    offers few machine types, since it is kept for the replicas that must go there; the wait for
    the image in whole seconds; for a service whether the machine is empty, for an array whether
    it is not a spot machine (spot machines can't serve jobs that may not use them); the price per
    task; and the free share of the machine.
    """
    prices: dict[str, float] = {}
    is_service = spec.kind == "service"

    def key(capacity: FreeCapacity) -> tuple[int, bool, int, bool, float, float]:
        price = prices.get(capacity.type)
        if price is None:
            price = prices[capacity.type] = capacity.price_per_task(spec)
        free_share = max(
            spec.gpus and capacity.gpus / capacity.size, spec.cpus and capacity.cpus / capacity.size
        )
        return (
            capacity.contention_cost(spec),
            capacity.in_limited_zone,
            round(capacity.image_delay_s(spec)),
            not (capacity.is_used if is_service else capacity.spot),
            price,
            free_share,
        )

    return key
