"""Which machine takes which task: free room, allowed types and zones, spread, images."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..wire.users import MAX_TASKS, JobSpec

EPS = 1e-6


def tasks_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks like this fit; not bounded by the job's own number, since a machine
    that one job fills in part is shared with others, and costs each its share.
    """
    cpus, gpus, memory_gb = cpus + EPS, gpus + EPS, memory_gb + EPS
    # most rooms asked about are full; this is asked of every room for every waiting job
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
    """What a typical task that uses GPUs takes of its machine."""

    cpus: float
    gpus: float
    memory_gb: float

    def fits(self, cpus: float, gpus: float, memory_gb: float) -> int:
        """How many of them a machine with this much free has room for."""
        count = MAX_TASKS
        for free, each in ((gpus, self.gpus), (cpus, self.cpus), (memory_gb, self.memory_gb)):
            if each > 0:
                count = min(count, int((free + EPS) / each))
        return max(0, count)


@dataclass(slots=True, eq=False)
class FreeCapacity:
    """What is free on a machine; `price` is its type's, whole, and `slots` tells how many
    tasks like the one given fit on an empty one.
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
    accelerated: bool = False
    fetch_gb_per_s: float = 1.0
    narrow: bool = False
    slots: Callable[[JobSpec], int] = lambda spec: 1
    images: dict[str, float] = field(default_factory=dict)
    used: bool = False
    typical: TaskFootprint | None = None
    # what a task takes that fits on this type alone; None if there is no such class
    bound: TaskFootprint | None = None
    # whether a task was planned into it
    taken: bool = False

    def fits_beside_gpu_tasks(self, spec: JobSpec) -> int:
        """How many tasks without GPUs fit beside the GPU tasks that the machine still has room
        for. Filled up with small tasks, its GPUs would be paid for and serve nobody.
        """
        if not self.accelerated or spec.gpus > 0:
            return MAX_TASKS
        shares = (share for share in (self.typical, self.bound) if share is not None)
        return min((self._beside(share, spec) for share in shares), default=MAX_TASKS)

    def _beside(self, share: TaskFootprint, spec: JobSpec) -> int:
        slots = share.fits(self.cpus, self.gpus, self.memory_gb)
        cpus, memory_gb = self.cpus - slots * share.cpus, self.memory_gb - slots * share.memory_gb
        return tasks_fitting(spec, cpus, 0.0, memory_gb)

    def contention_cost(self, spec: JobSpec) -> int:
        """How far a task would hold what others need: without GPUs, it would keep a GPU machine
        rented when all else on it has ended, and on the only type that some class fits on it
        would take that class's place.
        """
        return 0 if spec.gpus > 0 else self.accelerated + (self.bound is not None)

    def fits(self, spec: JobSpec) -> int:
        """How many tasks like this fit into what is free."""
        return tasks_fitting(spec, self.cpus, self.gpus, self.memory_gb)

    def delay_s(self, spec: JobSpec) -> float:
        """How long a task waits here for its image."""
        return 0.0 if spec.image in self.images else spec.image_gb / self.fetch_gb_per_s

    def price_for(self, spec: JobSpec) -> float:
        """The weight of one task's share: a type short of memory for it gives few slots."""
        return self.price / max(1, self.slots(spec))

    def take(self, spec: JobSpec, tasks: int = 1) -> None:
        """Takes the room of so many tasks."""
        self.cpus -= tasks * spec.cpus
        self.gpus -= tasks * spec.gpus
        self.memory_gb -= tasks * spec.memory_gb
        self.used = self.taken = True
        self.images[spec.image] = spec.image_gb


def is_allowed(spec: JobSpec, type_name: str, zone: str, spot: bool) -> bool:
    """Whether the job may run on this type, in this zone, on this kind of machine."""
    if spot and not spec.spot:
        return False
    if spec.types is not None and type_name not in spec.types:
        return False
    return spec.zone is None or spec.zone == zone


class ZoneAllowance:
    """How many of a job's tasks may yet go to a zone, given where the others are."""

    def __init__(self, spec: JobSpec, placed: dict[str, int]) -> None:
        self._spec = spec
        self._placed = dict(placed)
        self._most = (spec.tasks + 1) // 2

    def open(self, zone: str) -> int:
        """How many more tasks may go to the zone."""
        if self._spec.one_zone and any(n for z, n in self._placed.items() if z != zone):
            return 0
        if self._spec.spread:
            return self._most - self._placed.get(zone, 0)
        return self._spec.tasks

    def take(self, zone: str, tasks: int) -> None:
        """So many tasks go to the zone."""
        self._placed[zone] = self._placed.get(zone, 0) + tasks


def assign_tasks(
    spec: JobSpec,
    tasks: int,
    capacities: list[FreeCapacity],
    zones: ZoneAllowance,
    together: float = 1.0,
    only_beside_gpu_tasks: bool = False,
) -> list[tuple[FreeCapacity, int]]:
    """Machines for up to this many tasks. Cheapest room for the task first (throughput per
    price), machines that have the image, or fetch it sooner, before the others, full ones before
    empty ones. Services are dealt out, at most `together` of a job's tasks on one machine,
    so that one loss hurts little, as long as there is other room.
    """
    fitting = [
        (capacity, count)
        for capacity in capacities
        if (count := capacity.fits(spec)) > 0
        and is_allowed(spec, capacity.type, capacity.zone, capacity.spot)
    ]
    if spec.one_zone and not any(zones.open(r.zone) == 0 for r, _ in fitting):
        best = max({r.zone for r, _ in fitting}, default="", key=lambda z: _fit(fitting, z))
        fitting = [(r, c) for r, c in fitting if r.zone == best]

    prices: dict[str, float] = {}

    def rank(entry: tuple[FreeCapacity, int]) -> tuple[int, bool, float, bool, float, float]:
        capacity, _ = entry
        delay_s = round(capacity.delay_s(spec))
        price = prices.get(capacity.type)
        if price is None:
            price = prices[capacity.type] = capacity.price_for(spec)
        share = max(
            spec.gpus and capacity.gpus / capacity.size, spec.cpus and capacity.cpus / capacity.size
        )
        # a zone that offers fewer types is kept for the replicas that must go there
        pins = capacity.contention_cost(spec)
        if spec.kind == "service":
            return (pins, capacity.narrow, delay_s, not capacity.used, price, share)
        # spot room can't serve those who may not use it, so the others go there first
        return (pins, capacity.narrow, delay_s, not capacity.spot, price, share)

    fitting.sort(key=rank)
    result: list[tuple[FreeCapacity, int]] = []
    left = tasks
    cap = max(1, int(spec.tasks * together + 0.999)) if spec.kind == "service" else tasks
    limits = (cap, tasks) if cap < tasks else (tasks,)
    # tasks without GPUs first go where they take no GPU task's place
    passes = (True,) if only_beside_gpu_tasks else (True, False) if spec.gpus == 0 else (False,)
    for gentle in passes:
        for limit in limits:
            for capacity, _ in fitting:
                number = min(capacity.fits(spec), left, limit, max(0, zones.open(capacity.zone)))
                if gentle and number > 0:
                    number = min(number, capacity.fits_beside_gpu_tasks(spec))
                if number > 0:
                    capacity.take(spec, number)
                    zones.take(capacity.zone, number)
                    result.append((capacity, number))
                    left -= number
                if left <= 0:
                    return result
    return result


def _fit(fitting: list[tuple[FreeCapacity, int]], zone: str) -> int:
    return sum(count for capacity, count in fitting if capacity.zone == zone)
