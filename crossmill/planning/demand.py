"""Which machines waiting and expected tasks need beyond those there are."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from math import isinf
from typing import NamedTuple

from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .fill import MachineOffer, fill
from .free_capacity import FreeCapacity, ZoneAllowance, assign_tasks, is_allowed, tasks_fitting
from .split import MachineOption, Stage, split


@dataclass(slots=True, eq=False)
class TaskDemand:
    """Tasks that need room: how long until their budget ends, and how many of them running
    tasks will make room for in time.
    """

    spec: JobSpec
    tasks: int
    zones: ZoneAllowance
    budget_s: float
    task_s: float
    covered: int = 0
    spot_only: bool = False


class MachineSource(NamedTuple):
    """A kind of machine that can be asked for."""

    type: MachineType
    zone: str
    spot: bool

    def price(self) -> float:
        """Spot takes its steady type's weight in the split; money decides among sources."""
        return self.type.spot_price if self.spot else self.type.price


@dataclass(slots=True, eq=False)
class MachineRequest:
    """How many machines of a source are asked for."""

    source: MachineSource
    number: int = 0


@dataclass(slots=True, eq=False)
class CapacityPlan:
    """What the tasks need beyond the machines there are, and what they leave unused."""

    machine_requests: dict[tuple[str, str, bool], MachineRequest] = field(default_factory=dict)
    spare_machines: set[str] = field(default_factory=set)
    unplaced_tasks: int = 0


def empty_capacity(machine: str, kind: MachineType, zone: str, spot: bool) -> FreeCapacity:
    """An empty machine's room."""
    return FreeCapacity(
        machine,
        kind.name,
        zone,
        spot,
        kind.cpus,
        kind.gpus,
        kind.memory_gb,
        kind.price,
        max(kind.gpus, kind.cpus / 8),
        kind.gpus > 0,
        kind.fetch_gb_per_s,
        slots=partial(slots_on, kind=kind),
    )


def slots_on(spec: JobSpec, kind: MachineType) -> int:
    """How many tasks like this fit on an empty machine of the type."""
    return tasks_fitting(spec, kind.cpus, kind.gpus, kind.memory_gb)


def plan_capacity(
    demands: Sequence[TaskDemand],
    capacities: list[FreeCapacity],
    sources: Sequence[MachineSource],
    limit: Callable[[MachineSource], int],
) -> CapacityPlan:
    """Wants in queue order are fitted into the rooms there are (those still booting included);
    what does not fit asks for whole machines in the design's fill order.
    """
    capacity_plan = CapacityPlan()
    for capacity in capacities:
        capacity.used = False
    real = {capacity.machine for capacity in capacities}
    asked: dict[tuple[str, str, bool], int] = {}
    plain = [source for source in sources if source.type.gpus == 0]
    for demand in demands:
        left = demand.tasks - demand.covered
        if demand.spec.gpus == 0 and plain:
            # these are started wherever there is room; a machine without GPUs must be asked
            # for as soon as they would take GPU tasks' places, or it never is
            left -= _fit(demand, left, capacities, only_beside_gpu_tasks=True)
            left = _ask(demand, left, capacities, plain, asked, limit, capacity_plan)
        left -= _fit(demand, left, capacities)
        capacity_plan.unplaced_tasks += max(
            0, _ask(demand, left, capacities, sources, asked, limit, capacity_plan)
        )
    capacity_plan.spare_machines = {
        r.machine for r in capacities if r.machine in real and not r.used
    }
    return capacity_plan


def _fit(
    demand: TaskDemand,
    tasks: int,
    capacities: list[FreeCapacity],
    only_beside_gpu_tasks: bool = False,
) -> int:
    if tasks <= 0:
        return 0
    taken = assign_tasks(
        demand.spec, tasks, capacities, demand.zones, only_beside_gpu_tasks=only_beside_gpu_tasks
    )
    return sum(number for _, number in taken)


def _ask(
    demand: TaskDemand,
    left: int,
    capacities: list[FreeCapacity],
    sources: Sequence[MachineSource],
    asked: dict[tuple[str, str, bool], int],
    limit: Callable[[MachineSource], int],
    capacity_plan: CapacityPlan,
) -> int:
    """Adds to the needs what these tasks take; how many of them find no source."""
    turns = 0
    while left > 0 and turns < 64:
        turns += 1
        picked = _pick(demand, left, sources, asked, limit)
        if picked is None:
            break
        source, number = picked
        key = (source.type.name, source.zone, source.spot)
        need = capacity_plan.machine_requests.setdefault(key, MachineRequest(source))
        before = left
        for _ in range(number):
            need.number += 1
            asked[key] = asked.get(key, 0) + 1
            capacity = empty_capacity(
                f"new/{len(capacities)}", source.type, source.zone, source.spot
            )
            capacities.append(capacity)
            placed = _fit(demand, left, [capacity])
            left -= placed * _rounds(demand, source)
            if left <= 0:
                break
        if left == before:
            break
    return left


def _setup_s(demand: TaskDemand, source: MachineSource) -> float:
    return source.type.boot_s + demand.spec.image_gb / source.type.fetch_gb_per_s


def _rounds(demand: TaskDemand, source: MachineSource) -> int:
    if isinf(demand.budget_s):
        return 1
    if demand.spec.kind == "service" or demand.task_s <= 0:
        return 1
    return max(1, int((demand.budget_s - _setup_s(demand, source)) / demand.task_s))


def _pick(
    demand: TaskDemand,
    left: int,
    sources: Sequence[MachineSource],
    asked: dict[tuple[str, str, bool], int],
    limit: Callable[[MachineSource], int],
) -> tuple[MachineSource, int] | None:
    """The split names the option a stage aims at; the fill order takes it from there."""
    spec = demand.spec
    options: dict[str, MachineOption] = {}
    offers: dict[str, tuple[MachineOffer, MachineSource]] = {}
    for source in sources:
        open_tasks = demand.zones.open(source.zone)
        if demand.spot_only and not source.spot:
            continue
        if open_tasks <= 0 or not is_allowed(spec, source.type.name, source.zone, source.spot):
            continue
        key = (source.type.name, source.zone, source.spot)
        capacity = limit(source) - asked.get(key, 0)
        slots = slots_on(spec, source.type)
        if capacity <= 0 or slots <= 0:
            continue
        task_s = demand.task_s if spec.kind == "array" else 1.0
        setup_s = _setup_s(demand, source)
        name = "/".join(map(str, key))
        # "its fill's rounds": one whole machine's worth at a time is the shortest fill
        finish_s = setup_s + (demand.task_s if spec.kind == "array" else 0.0)
        options[name] = MachineOption(name, source.type.price, slots / max(task_s, 1e-3), finish_s)
        offers[name] = (
            MachineOffer(name, source.price(), slots, setup_s, task_s, min(capacity, open_tasks)),
            source,
        )
    if not options:
        return None
    share = split([Stage(left, tuple(options.values()))], demand.budget_s)[0]
    aimed = share.option
    meeting = [
        offer
        for name, (offer, _) in offers.items()
        if options[name].finish_s <= max(share.budget_s, aimed.finish_s)
    ]
    plan = fill(left, meeting, max(demand.budget_s, aimed.finish_s + 1e-6))
    if not plan:
        return None
    offer, number = plan[0]
    return offers[offer.name][1], number
