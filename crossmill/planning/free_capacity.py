"""Assigns tasks to machines: free capacity, allowed types and zones, spread, cached images.

The functions are pure except that they modify the `FreeCapacity` and `ZoneAllowance` objects that
the caller passes in. Placement calls them to plan attempts, the demand forecast to determine how
many machines are missing, and preemption to determine how much capacity it would free.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from ..wire.users import MAX_TASKS, JobSpec

# tolerance for rounding errors in sums of fractional resources
TOLERANCE = 1e-6
# added before truncation, to round a share of a job's tasks up to whole tasks
ROUND_UP_OFFSET = 0.999


def count_fitting_tasks(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Return how many tasks of the job fit into the given resources.

    The count is not bounded by the job's number of tasks: a machine that the job fills only in part
    is shared with other jobs, and each job pays for its share.
    """
    cpus, gpus, memory_gb = cpus + TOLERANCE, gpus + TOLERANCE, memory_gb + TOLERANCE
    # return early: this runs for every machine and waiting job, and most machines are full
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


class TaskShape(NamedTuple):
    """The properties of a task that determine the machines on which it fits."""

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool

    @classmethod
    def of(cls, spec: JobSpec) -> "TaskShape":
        """Return the shape of the job's tasks."""
        return cls(spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)


class TaskFootprint(NamedTuple):
    """The resources that a GPU task occupies on its machine."""

    cpus: float
    gpus: float
    memory_gb: float

    def count_fitting(self, cpus: float, gpus: float, memory_gb: float) -> int:
        """Return how many such tasks fit into the given resources."""
        count = MAX_TASKS
        for free, each in ((gpus, self.gpus), (cpus, self.cpus), (memory_gb, self.memory_gb)):
            if each > 0:
                count = min(count, int((free + TOLERANCE) / each))
        return max(0, count)


def _one_slot(_spec: JobSpec) -> int:
    return 1


@dataclass(slots=True, eq=False)
class FreeCapacity:
    """The free resources of one machine, and the properties by which machines are ranked.

    Attributes:
        machine: ID of the machine.
        type: Name of its machine type.
        zone: Its zone.
        spot: Whether it is a spot machine.
        cpus: Free CPUs.
        gpus: Free GPUs.
        memory_gb: Free memory in GB.
        price: Price of a whole machine of the type.
        size: Number of GPUs of the machine, or its CPUs divided by 8 if that is larger.
        has_gpus: Whether the machine type has GPUs.
        fetch_gb_per_s: Rate at which the machine fetches images.
        in_limited_zone: Whether the zone offers fewer machine types than another one.
        slots_when_idle: Function that returns how many tasks of a job fit on the idle machine.
        images: Size in GB of each image that the machine has cached or is fetching, by name.
        is_used: Whether any task is planned on the machine.
        typical_gpu_task: Footprint of a typical GPU task; None if there are no GPU tasks.
        exclusive_gpu_task: Footprint of a job class that fits on only this machine type; None if
            there is no such class.
        has_new_tasks: Whether tasks were assigned since the object was created.
        is_borrowed: Whether the machine belongs to another shard, whose owner lends the resources.
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
    slots_when_idle: Callable[[JobSpec], int] = _one_slot
    images: dict[str, float] = field(default_factory=dict)
    is_used: bool = False
    typical_gpu_task: TaskFootprint | None = None
    exclusive_gpu_task: TaskFootprint | None = None
    has_new_tasks: bool = False
    is_borrowed: bool = False

    def copy(self) -> "FreeCapacity":
        """Return a copy whose resources and images can be modified independently."""
        return replace(self, images=dict(self.images))

    def count_fitting_alongside_gpu_tasks(self, spec: JobSpec) -> int:
        """Return how many tasks fit without displacing a GPU task.

        Otherwise tasks without GPUs could fill a GPU machine, whose GPUs would be paid for but
        unused.
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
        """Return a rating from 0 to 2 of how much a task occupies resources that other jobs need.

        A task without GPUs keeps a GPU machine rented after all GPU tasks on it have ended. If some
        job class fits on only this machine type, the task displaces that class as well.
        """
        return 0 if spec.gpus > 0 else self.has_gpus + (self.exclusive_gpu_task is not None)

    def count_fitting(self, spec: JobSpec) -> int:
        """Return how many tasks of the job fit into the free resources."""
        return count_fitting_tasks(spec, self.cpus, self.gpus, self.memory_gb)

    def image_delay_s(self, spec: JobSpec) -> float:
        """Return the estimated seconds that a task waits for its image on this machine."""
        return 0.0 if spec.image in self.images else spec.image_gb / self.fetch_gb_per_s

    def price_per_task(self, spec: JobSpec) -> float:
        """Return one task's share of the machine's price.

        A machine type with little memory for the task has few slots, hence a high price per task.
        """
        return self.price / max(1, self.slots_when_idle(spec))

    def reserve(self, spec: JobSpec, tasks: int = 1) -> None:
        """Reserve the resources of the given number of tasks."""
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus
        self.memory_gb -= tasks * spec.memory_gb
        self.is_used = self.has_new_tasks = True
        self.images[spec.image] = spec.image_gb


def is_allowed(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Return whether the job may run on this machine type, in this zone, on spot or not."""
    if spot and not spec.spot:
        return False
    if spec.types is not None and type_name not in spec.types:
        return False
    return spec.zone is None or spec.zone == zone


class ZoneAllowance:
    """The number of tasks of a job that each zone may still get, given its placed tasks."""

    def __init__(self, spec: JobSpec, placed: dict[str, int]) -> None:
        self._spec = spec
        self._placed = dict(placed)
        # at most half of the tasks of a spread job go to one zone
        self._max_tasks_per_zone = (spec.tasks + 1) // 2

    def copy(self) -> "ZoneAllowance":
        """Return a copy that counts placed tasks independently."""
        return ZoneAllowance(self._spec, self._placed)

    def remaining(self, zone: str) -> int:
        """Return how many more tasks the zone may get; zero or less means none."""
        if self._spec.one_zone and any(n for z, n in self._placed.items() if z != zone):
            return 0
        if self._spec.spread:
            return self._max_tasks_per_zone - self._placed.get(zone, 0)
        return self._spec.tasks

    def reserve(self, zone: str, tasks: int) -> None:
        """Count the given number of tasks as placed in the zone."""
        self._placed[zone] = self._placed.get(zone, 0) + tasks


class TaskAssignment(NamedTuple):
    """A number of tasks assigned to a machine."""

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
        """Make one pass with at most `limit` tasks per machine; return whether all are assigned."""
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
    """Assign up to the given number of tasks to machines and reserve their resources.

    Machines are used in the order of `_sort_key`. At most `max_share_per_machine` of a service's
    tasks go to one machine as long as others have free capacity, which limits the effect of losing
    a machine. Tasks without GPUs go first to capacity where they displace no GPU task.
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
    """Assign up to the given number of tasks, none of which displaces a GPU task."""
    ranked = _ranked_capacities(spec, capacities, zones)
    assigner = _TaskAssigner(spec, tasks, zones)
    for limit in _limits_per_machine(spec, tasks, 1.0):
        if assigner.assign(ranked, limit, alongside_gpu_tasks=True):
            break
    return assigner.assignments


def _limits_per_machine(spec: JobSpec, tasks: int, max_share_per_machine: float) -> tuple[int, ...]:
    """Return for each pass the most tasks that one machine may get."""
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
        # no task of the job is placed yet: choose the zone where most of its tasks fit
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
    """Return the sort key that ranks machines for tasks of the job; the lowest ranks first.

    The key is a plain tuple, since tuples of a subclass sort more slowly and this runs for every
    fitting machine of every waiting job. Its elements are, in this order:

    - the contention cost;
    - whether the zone offers few machine types: such a zone is kept for replicas that need it;
    - the delay for the image in whole seconds;
    - for a service whether the machine is idle, for an array whether it is an on-demand machine,
      since jobs that may not use spot machines need these;
    - the price per task;
    - the free share of the machine.
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
