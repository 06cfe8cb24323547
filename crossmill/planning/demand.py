"""Computes which machines to rent for waiting and expected tasks.

The functions are pure and own no state. The demand forecast calls `plan_capacity` for each shard;
the fleet provisioner rents the machines that the plan requests.
"""

from collections.abc import Callable, Sequence
from functools import partial
from math import inf, isinf
from typing import NamedTuple

from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .fill import MachineCount, MachineOffer, fill
from .free_capacity import (
    FreeCapacity,
    ZoneAllowance,
    assign_tasks,
    assign_tasks_alongside_gpu_tasks,
    count_fitting_tasks,
    is_allowed,
)
from .split import MachineOption, Stage, split

# the most times that a source is chosen for the tasks of one demand
MAX_SOURCE_CHOICES = 64
# a machine's size is the larger of its number of GPUs and its number of CPUs divided by this
CPUS_PER_SIZE_UNIT = 8
# keeps throughputs finite for tasks that are expected to take no time
MIN_TASK_S = 1e-3
# added to the chosen option's finish time, so that rounding does not exclude that option
BUDGET_TOLERANCE_S = 1e-6


class TaskDemand:
    """Tasks of one job that need capacity.

    Attributes:
        spec: The job.
        tasks: Number of its tasks that need capacity.
        zones: Number of these tasks that each zone may get.
        budget_s: Seconds until the job's budget ends; infinite without a deadline.
        task_s: Expected run time of a task in seconds; 0 if it does not affect the plan.
        covered_by_running: Number of the tasks that can use slots that running tasks free early
            enough.
        is_spot_only: Whether only spot machines are requested for the tasks.
        excluded_machines: IDs of the machines that the tasks avoid, since the job failed there.
    """

    __slots__ = (
        "budget_s",
        "covered_by_running",
        "excluded_machines",
        "is_spot_only",
        "spec",
        "task_s",
        "tasks",
        "zones",
    )

    def __init__(
        self,
        spec: JobSpec,
        tasks: int,
        zones: ZoneAllowance,
        budget_s: float = inf,
        task_s: float = 0.0,
    ) -> None:
        self.spec = spec
        self.tasks = tasks
        self.zones = zones
        self.budget_s = budget_s
        self.task_s = task_s
        self.covered_by_running = 0
        self.is_spot_only = False
        self.excluded_machines: frozenset[str] = frozenset()

    def usable(self, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
        """Return the capacities that the tasks may use."""
        if not self.excluded_machines:
            return capacities
        return [c for c in capacities if c.machine not in self.excluded_machines]


class MachineSourceKey(NamedTuple):
    """The identity of a machine source."""

    type_name: str
    zone: str
    spot: bool


class MachineSource:
    """A kind of machine that can be rented: its type, its zone and whether it is a spot machine.

    `key` and `name` identify it. They are built once, since every demand compares all sources.
    """

    __slots__ = ("key", "name", "spot", "type", "zone")

    def __init__(self, machine_type: MachineType, zone: str, spot: bool) -> None:
        self.type = machine_type
        self.zone = zone
        self.spot = spot
        self.key = MachineSourceKey(machine_type.name, zone, spot)
        self.name = f"{machine_type.name}/{zone}/{spot}"

    def price(self) -> float:
        """Return the price of one machine of the source.

        The latency split uses the on-demand price for spot machines as well. This price decides
        among the sources that meet the budget.
        """
        return self.type.spot_price if self.spot else self.type.price


class MachineRequest:
    """A request for a number of machines of one source."""

    __slots__ = ("number", "source")

    def __init__(self, source: MachineSource, number: int = 0) -> None:
        self.source = source
        self.number = number


class CapacityPlan:
    """The machines that the tasks need in addition to the existing ones, and the unused machines.

    Attributes:
        machine_requests: The machines to rent, by source.
        spare_machines: IDs of the existing machines that no task uses.
        unplaced_tasks: Number of tasks for which there is neither a machine nor a source.
    """

    __slots__ = ("machine_requests", "spare_machines", "unplaced_tasks")

    def __init__(self) -> None:
        self.machine_requests: dict[MachineSourceKey, MachineRequest] = {}
        self.spare_machines: set[str] = set()
        self.unplaced_tasks = 0


def idle_capacity(machine: str, machine_type: MachineType, zone: str, spot: bool) -> FreeCapacity:
    """Return the free capacity of an idle machine."""
    return FreeCapacity(
        machine,
        machine_type.name,
        zone,
        spot,
        machine_type.cpus,
        machine_type.gpus,
        machine_type.memory_gb,
        machine_type.price,
        max(machine_type.gpus, machine_type.cpus / CPUS_PER_SIZE_UNIT),
        machine_type.gpus > 0,
        machine_type.fetch_gb_per_s,
        slots_when_idle=partial(slots_per_machine, machine_type=machine_type),
    )


def slots_per_machine(spec: JobSpec, machine_type: MachineType) -> int:
    """Return how many tasks of the job fit on an idle machine of the type."""
    return count_fitting_tasks(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


def plan_capacity(
    demands: Sequence[TaskDemand],
    capacities: list[FreeCapacity],
    sources: Sequence[MachineSource],
    limit: Callable[[MachineSource], int],
) -> CapacityPlan:
    """Assign demands, given in queue order, to machines and request the missing machines.

    `capacities` includes booting machines. It is modified: tasks reserve resources, and requested
    machines are appended. `limit` returns the most machines that may be requested of a source.
    `fill` defines the order in which whole machines are requested.
    """
    planner = _CapacityPlanner(capacities, sources, limit)
    for demand in demands:
        planner.add(demand)
    return planner.finish()


class _SourceCandidate:
    """A source that could serve a demand, described for the latency split and for `fill`."""

    __slots__ = ("offer", "option", "source")

    def __init__(self, source: MachineSource, option: MachineOption, offer: MachineOffer) -> None:
        self.source = source
        self.option = option
        self.offer = offer


class _CapacityPlanner:
    """Builds a capacity plan from demands that are added one after the other."""

    def __init__(
        self,
        capacities: list[FreeCapacity],
        sources: Sequence[MachineSource],
        limit: Callable[[MachineSource], int],
    ) -> None:
        self._capacities = capacities
        self._sources = sources
        self._sources_without_gpus = [source for source in sources if source.type.gpus == 0]
        self._limit = limit
        self._plan = CapacityPlan()
        self._existing = {capacity.machine for capacity in capacities}
        for capacity in capacities:
            capacity.is_used = False

    def add(self, demand: TaskDemand) -> None:
        """Assign the demand's tasks to machines, and request machines for the remaining tasks."""
        remaining = demand.tasks - demand.covered_by_running
        if demand.spec.gpus == 0 and self._sources_without_gpus:
            # these tasks start on any machine that they fit on. Unless a machine without GPUs is
            # requested as soon as they would displace GPU tasks, none is ever requested
            remaining -= self._assign_alongside_gpu_tasks(demand, remaining)
            remaining = self._request(demand, remaining, self._sources_without_gpus)
        remaining -= _assign(demand, remaining, self._capacities)
        remaining = self._request(demand, remaining, self._sources)
        self._plan.unplaced_tasks += max(0, remaining)
        if remaining > 0 and demand.excluded_machines:
            # no other machine can be had: these are kept until the job may use them again
            excluded = [c for c in self._capacities if c.machine in demand.excluded_machines]
            assign_tasks(demand.spec, remaining, excluded, demand.zones)

    def finish(self) -> CapacityPlan:
        """Return the plan, including the machines that no demand uses."""
        self._plan.spare_machines = {
            capacity.machine
            for capacity in self._capacities
            if capacity.machine in self._existing and not capacity.is_used
        }
        return self._plan

    def _assign_alongside_gpu_tasks(self, demand: TaskDemand, tasks: int) -> int:
        if tasks <= 0:
            return 0
        assignments = assign_tasks_alongside_gpu_tasks(
            demand.spec, tasks, demand.usable(self._capacities), demand.zones
        )
        return sum(assignment.tasks for assignment in assignments)

    def _request(self, demand: TaskDemand, remaining: int, sources: Sequence[MachineSource]) -> int:
        """Request machines for the tasks; return the number of tasks without a source."""
        for _ in range(MAX_SOURCE_CHOICES):
            if remaining <= 0:
                break
            choice = self._choose_source(demand, remaining, sources)
            if choice is None:
                break
            before = remaining
            remaining = self._add_machines(demand, remaining, choice)
            if remaining == before:
                break
        return remaining

    def _add_machines(self, demand: TaskDemand, remaining: int, choice: MachineRequest) -> int:
        """Request machines one by one until the tasks fit; return the number that do not fit."""
        source = choice.source
        request = self._plan.machine_requests.setdefault(source.key, MachineRequest(source))
        for _ in range(choice.number):
            request.number += 1
            machine = f"new/{len(self._capacities)}"
            capacity = idle_capacity(machine, source.type, source.zone, source.spot)
            self._capacities.append(capacity)
            placed = _assign(demand, remaining, [capacity])
            remaining -= placed * _tasks_per_slot(demand, source)
            if remaining <= 0:
                break
        return remaining

    def _choose_source(
        self, demand: TaskDemand, remaining: int, sources: Sequence[MachineSource]
    ) -> MachineRequest | None:
        """Choose the source to request next and the most machines to request of it.

        The latency split chooses the stage's option and budget. `fill` then chooses among the
        sources that are as fast as that option or finish within the budget.
        """
        candidates = {
            source.name: c for source in sources if (c := self._candidate(demand, source))
        }
        if not candidates:
            return None
        options = tuple(candidate.option for candidate in candidates.values())
        stage = split([Stage(remaining, options)], demand.budget_s)[0]
        longest_s = max(stage.budget_s, stage.option.finish_s)
        offers = [c.offer for c in candidates.values() if c.option.finish_s <= longest_s]
        budget_s = max(demand.budget_s, stage.option.finish_s + BUDGET_TOLERANCE_S)
        filled: list[MachineCount] = fill(remaining, offers, budget_s)
        if not filled:
            return None
        return MachineRequest(candidates[filled[0].offer.name].source, filled[0].number)

    def _candidate(self, demand: TaskDemand, source: MachineSource) -> _SourceCandidate | None:
        """Return the source as a candidate for the demand; None if it is not usable."""
        spec = demand.spec
        zone_limit = demand.zones.remaining(source.zone)
        if demand.is_spot_only and not source.spot:
            return None
        if zone_limit <= 0 or not is_allowed(spec, source.type.name, source.zone, source.spot):
            return None
        request = self._plan.machine_requests.get(source.key)
        available = self._limit(source) - (request.number if request is not None else 0)
        slots = slots_per_machine(spec, source.type)
        if available <= 0 or slots <= 0:
            return None
        is_array = spec.kind == "array"
        task_s = demand.task_s if is_array else 1.0
        setup_s = _setup_s(demand, source)
        # the shortest possible run: every slot of a machine runs one task
        finish_s = setup_s + (demand.task_s if is_array else 0.0)
        throughput = slots / max(task_s, MIN_TASK_S)
        return _SourceCandidate(
            source,
            MachineOption(source.name, source.type.price, throughput, finish_s),
            MachineOffer(
                source.name, source.price(), slots, setup_s, task_s, min(available, zone_limit)
            ),
        )


def _assign(demand: TaskDemand, tasks: int, capacities: list[FreeCapacity]) -> int:
    """Assign up to the given number of tasks to the machines; return how many fit."""
    if tasks <= 0:
        return 0
    assignments = assign_tasks(demand.spec, tasks, demand.usable(capacities), demand.zones)
    return sum(assignment.tasks for assignment in assignments)


def _setup_s(demand: TaskDemand, source: MachineSource) -> float:
    """Return the seconds from rental until a task can run: boot and image fetch."""
    return source.type.boot_s + demand.spec.image_gb / source.type.fetch_gb_per_s


def _tasks_per_slot(demand: TaskDemand, source: MachineSource) -> int:
    """Return how many tasks one slot of a new machine runs in sequence within the budget."""
    if isinf(demand.budget_s) or demand.spec.kind == "service" or demand.task_s <= 0:
        return 1
    return max(1, int((demand.budget_s - _setup_s(demand, source)) / demand.task_s))
