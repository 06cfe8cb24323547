"""Whether loans are needed: by the shards that borrow, or by the shard that lends.

Machine lending calls it in its checks. It owns no state but a cache of free capacity.
"""

from collections.abc import Iterator

from ..cluster.model import NO_RESOURCES, CapacityLoan, Job, Machine, Resources
from ..planning.demand import TaskDemand
from ..planning.free_capacity import FreeCapacity, count_fitting_tasks, is_allowed
from ..planning.lending import DemandAssigner
from .context import SchedulingContext
from .failures import TaskFailures
from .placement import MachineEligibility
from .plan_writer import PlanEdits
from .team_quotas import ResourceUsage, TeamQuotas, UsageByTeam


class LoanNeeds:
    """Compares the unused parts of loans with the tasks that wait."""

    def __init__(
        self,
        context: SchedulingContext,
        quotas: TeamQuotas,
        eligibility: MachineEligibility,
        failures: TaskFailures,
    ) -> None:
        self._clock = context.clock
        self._cluster = context.cluster
        self._forecast = context.forecast
        self._quotas = quotas
        self._eligibility = eligibility
        self._failures = failures
        self._capacity_cache = context.forecast.capacity.new_cache()
        # of the borrowing shards, computed once a check, by shard
        self._demands: dict[int, list[TaskDemand]] = {}
        self._usage: dict[int, UsageByTeam] = {}

    def start_check(self) -> None:
        """Start a check, for which the borrowing shards' demand and usage are computed anew."""
        self._demands.clear()
        self._usage.clear()

    def is_needed(self, machine: Machine, loan: CapacityLoan) -> bool:
        """Return whether all of the loan is used, or a waiting job may use what is not.

        Gangs don't count: unless their tasks fit together, they use nothing.
        """
        unused = self._cluster.machines.unused_loan(machine, loan.shard)
        if unused == NO_RESOURCES:
            return True
        shard = loan.shard
        if shard not in self._demands:
            self._demands[shard] = [
                demand for demand in self._waiting_demands(shard) if not demand.spec.is_gang
            ]
            self._usage[shard] = self._quotas.usage(shard)
        return any(
            self._can_use(demand, machine, unused, self._usage[shard])
            for demand in self._demands[shard]
        )

    def _can_use(
        self, demand: TaskDemand, machine: Machine, unused: Resources, usage: UsageByTeam
    ) -> bool:
        spec = demand.spec
        team_usage = usage.get(spec.team, ResourceUsage())
        return (
            is_allowed(spec, machine.type, machine.zone, machine.spot)
            and machine.id not in demand.excluded_machines
            and demand.zones.remaining(machine.zone) > 0
            and count_fitting_tasks(spec, *unused) > 0
            and self._quotas.tasks_within_limit(spec, team_usage) > 0
        )

    def _waiting_demands(self, shard: int) -> Iterator[TaskDemand]:
        wall_time = self._clock.wall_time()
        for job in self._forecast.waiting_jobs(shard):
            demand = self._forecast.demand_of(job, wall_time)
            if demand is not None:
                yield demand

    def machines_needed_here(
        self, shard: int, machines: list[Machine], lent: list[Machine], edits: PlanEdits
    ) -> set[str]:
        """Return the lent machines whose unused loans the shard's own waiting tasks could use.

        `machines` are the shard's, `edits` this round's: tasks that they start don't wait.
        """
        unused = {
            machine.id: resources
            for machine in lent
            if (resources := self._cluster.machines.unused_loans(machine)) != NO_RESOURCES
        }
        if not unused:
            return set()
        without_loans = {capacity.machine: capacity for capacity in self._capacities(machines)}
        assigner = DemandAssigner(
            [
                _with_resources(capacity, unused.get(capacity.machine, NO_RESOURCES))
                for capacity in without_loans.values()
            ]
        )
        started = {edit.job.id for edit in edits.values() if edit.starts}
        usage = self._quotas.usage(shard)
        needed: set[str] = set()
        for demand in self._waiting_demands(shard):
            team_usage = usage.setdefault(demand.spec.team, ResourceUsage())
            job = self._cluster.jobs[demand.spec.id]
            if job.id in started or not self._may_place(job, demand, team_usage):
                continue
            for capacity, tasks in assigner.assign(demand):
                team_usage.add(demand.spec, tasks)
                free = without_loans[capacity.machine]
                if capacity.machine in unused and free.count_fitting(demand.spec) < tasks:
                    needed.add(capacity.machine)
                free.reserve(demand.spec, tasks)
        return needed

    def _capacities(self, machines: list[Machine]) -> list[FreeCapacity]:
        """Return copies of the free capacity of the machines that may get tasks."""
        now = self._clock.now()
        usable = [
            (machine, machine_type)
            for machine in machines
            if self._eligibility.exclusion(machine, now) is None
            and (machine_type := self._cluster.catalog.get(machine.type)) is not None
        ]
        capacities = self._forecast.capacity.cached_capacities(self._capacity_cache, usable)
        return [capacity.copy() for capacity in capacities]

    def _may_place(self, job: Job, demand: TaskDemand, usage: ResourceUsage) -> bool:
        failures = self._failures.for_job(job.id)
        if failures is not None and failures.not_before > self._clock.now():
            return False
        return self._quotas.limit_demand(demand, usage)


def _with_resources(capacity: FreeCapacity, resources: Resources) -> FreeCapacity:
    """Return a copy of the capacity with the resources added."""
    result = capacity.copy()
    result.cpus += resources.cpus
    result.gpus += resources.gpus
    result.memory_gb += resources.memory_gb
    return result
