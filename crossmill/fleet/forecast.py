"""The demand forecast: the order of waiting jobs, and the machines that each shard needs.

The forecast is derived from durable records, so that every controller obtains nearly the same
result. The leader's fleet provisioner rents the machines that it plans, and a shard's owner returns
the spare ones. Placement, preemption and machine transfer read the queue and the demand without
capacity from it.
"""

from collections import Counter
from math import inf

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job, Machine
from ..net.clock import Clock
from ..planning.demand import CapacityPlan, TaskDemand, idle_capacity, plan_capacity
from ..planning.estimates import Estimates
from ..planning.free_capacity import FreeCapacity, ZoneAllowance, assign_tasks
from ..planning.pipelines import PRIORITY
from ..settings import Settings
from ..wire.users import JobSpec
from .arrivals import Arrivals
from .capacity import FleetCapacity
from .pipelines import PipelineBudgets


class DemandForecast:
    """The current and expected demand of the shards for machines.

    Attributes:
        estimates: Observed run times by job class; the scheduling loop records runs there.
        capacity: The fleet's free capacity, and what the cloud can provide.
    """

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self.estimates = Estimates()
        self.capacity = FleetCapacity(settings, clock, cluster)
        self._pipelines = PipelineBudgets(settings, clock, cluster, self.estimates)
        self._arrivals = Arrivals(settings, cluster, self.capacity, self.estimates)

    # -- queue -----------------------------------------------------------------------

    def queue_rank(self, job: Job) -> tuple[int, float, int]:
        """Return the sort key of the queue: priority, budget end, order of acceptance.

        The key is a plain tuple, since tuples of a subclass sort more slowly.
        """
        position = self._pipelines.position(job)
        return position.priority, position.budget_end, job.acceptance_order

    def priority(self, job: Job) -> int:
        """Return the highest priority of the job and its dependents; 0 is the highest."""
        return self._pipelines.priority(job)

    def priority_of(self, job_id: str) -> int:
        """Return the priority of a job by its ID; an unknown job gets the lowest rank."""
        job = self._cluster.jobs.get(job_id)
        return len(PRIORITY) if job is None or not job.has_record else self.priority(job)

    def waiting_jobs(self, shard: int) -> list[Job]:
        """Return the shard's jobs with tasks to place, in queue order."""
        jobs = [
            job
            for job in self._cluster.jobs.active[shard].values()
            if job.spec is not None and job.waiting_task_count() > 0
        ]
        jobs.sort(key=self.queue_rank)
        return jobs

    def counted_machines(self, shard: int) -> set[str]:
        """Return the IDs of the shard's machines whose free capacity the forecast counts."""
        capacities = self.capacity.shard_capacities(shard, self._clock.wall_time())
        return {capacity.machine for capacity in capacities}

    # -- capacity plans --------------------------------------------------------------

    def plan(self, shard: int) -> CapacityPlan:
        """Plan which machines a shard needs and which of its machines are spare."""
        wall_time = self._clock.wall_time()
        self._arrivals.record(wall_time)
        demands = self._waiting_demands(shard, wall_time) + self._arrivals.replica_demands(shard)
        capacity_plan = plan_capacity(
            demands,
            self.capacity.shard_capacities(shard, wall_time),
            self.capacity.sources(),
            self.capacity.limit,
        )
        self._add_spot_baseline(shard, wall_time, capacity_plan)
        return capacity_plan

    def _add_spot_baseline(self, shard: int, wall_time: float, capacity_plan: CapacityPlan) -> None:
        """Add the baseline of spot machines, with each existing one counted as idle."""
        demands = self._arrivals.spot_baseline_demands(shard)
        if not demands:
            return
        baseline = plan_capacity(
            demands,
            self.capacity.idle_spot_capacities(shard, wall_time),
            self.capacity.sources(),
            self.capacity.limit,
        )
        machines = self._cluster.machines.by_shard[shard].values()
        spot_machines = {machine.id for machine in machines if machine.spot}
        capacity_plan.spare_machines -= spot_machines - baseline.spare_machines
        for key, needed in baseline.machine_requests.items():
            request = capacity_plan.machine_requests.setdefault(key, needed)
            request.number = max(request.number, needed.number)

    def _waiting_demands(self, shard: int, wall_time: float) -> list[TaskDemand]:
        """Return the demand of the waiting jobs, in queue order."""
        demands: list[TaskDemand] = []
        running, reserved = self._running_array_tasks(shard), 0
        for job in self.waiting_jobs(shard):
            demand = self.demand_of(job, wall_time)
            if demand is None:
                continue
            if demand.spec.kind == "array" and demand.task_s > 0:
                freed = self._slots_freed_in_time(demand, running)
                demand.covered_by_running = max(0, min(demand.tasks, freed - reserved))
                reserved += demand.covered_by_running
            demands.append(demand)
        return demands

    def demand_of(self, job: Job, wall_time: float) -> TaskDemand | None:
        """Return the demand of the job's waiting tasks, or None if none may be placed now."""
        spec, tasks = job.spec, job.placeable_task_count()
        if spec is None or tasks <= 0:
            return None
        position = self._pipelines.position(job)
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        task_s = self.estimates.task_s(spec.job_class, spec.estimate_s)
        # without a deadline the budget end only orders the queue, and no option is too slow
        budget_s = position.budget_end - wall_time if position.has_deadline else inf
        demand = TaskDemand(spec, tasks, zones, budget_s, task_s)
        if job.failed_at:
            failures_since = wall_time - self._settings.failure_memory_s
            demand.excluded_machines = job.avoided_machines(failures_since)
        return demand

    def _slots_freed_in_time(self, demand: TaskDemand, running: int) -> int:
        """Estimate how many slots running arrays free until the demand's last task must start.

        The slots become free repeatedly, one after the other, and go to the waiting jobs in queue
        order. A task occupies its slot also while its image is fetched.
        """
        occupied_s = demand.task_s + self._fetch_s(demand.spec)
        available_s = max(0.0, demand.budget_s - occupied_s)
        span_s = min(available_s, self._settings.arrival_window_s)
        return int(running * span_s / occupied_s)

    def _fetch_s(self, spec: JobSpec) -> float:
        """Return the seconds that the image takes on the machine type with the fastest fetch."""
        rates = [machine_type.fetch_gb_per_s for machine_type in self.capacity.allowed_types(spec)]
        return spec.image_gb / max(rates) if rates else 0.0

    def _running_array_tasks(self, shard: int) -> int:
        return sum(
            job.planned_task_count()
            for job in self._cluster.jobs.active[shard].values()
            if job.spec is not None and job.spec.kind == "array"
        )

    # -- unplaced demand and redundant machines --------------------------------------

    def is_out_of_capacity(self, spec: JobSpec) -> bool:
        """Return whether the cloud currently has no machine that the job may use."""
        return self.capacity.is_out_of_capacity(spec)

    def unplaced_demands(self, shard: int, wall_time: float) -> list[TaskDemand]:
        """Return the demand that has waited for a while and has no capacity in the shard.

        Booting machines and slots that running tasks will free early enough count as capacity.
        """
        ready_before = wall_time - self._settings.machine_transfer_interval_s
        active = self._cluster.jobs.active[shard].values()
        if not any(job.ready_at < ready_before and job.waiting_task_count() > 0 for job in active):
            return []
        capacities = self.capacity.shard_capacities(shard, wall_time)
        unplaced: list[TaskDemand] = []
        for demand in self._waiting_demands(shard, wall_time):
            usable = demand.usable(capacities)
            assignments = assign_tasks(demand.spec, demand.tasks, usable, demand.zones)
            placed = sum(assignment.tasks for assignment in assignments)
            remaining = demand.tasks - placed - demand.covered_by_running
            if remaining > 0 and self._cluster.jobs[demand.spec.id].ready_at < ready_before:
                demand.tasks, demand.covered_by_running = remaining, 0
                unplaced.append(demand)
        return unplaced

    def is_redundant(self, shard: int, machine: Machine, capacities: list[FreeCapacity]) -> bool:
        """Return whether all tasks of the machine would fit on other machines of the shard.

        The other machines must be in use or cheaper, must have the tasks' images or fetch them
        quickly, and must keep capacity for the expected replicas.
        """
        machine_type = self._cluster.catalog.get(machine.type)
        if machine_type is None:
            return False
        machine_capacity = idle_capacity(machine.id, machine_type, machine.zone, machine.spot)
        price_per_size = machine_capacity.price / machine_capacity.size
        others = [
            capacity.copy()
            for capacity in capacities
            if capacity.machine != machine.id
            and (capacity.is_used or capacity.price / capacity.size < price_per_size)
        ]
        if not self._can_move_tasks(machine, others):
            return False
        expected = self._arrivals.replica_demands(shard)
        return plan_capacity(expected, others, [], self.capacity.limit).unplaced_tasks == 0

    def _can_move_tasks(self, machine: Machine, capacities: list[FreeCapacity]) -> bool:
        """Assign the machine's tasks to the given capacities; return whether all of them fit."""
        moving = Counter(attempt.job for attempt in machine.attempts.values())
        jobs = [self._cluster.jobs[job_id] for job_id in moving]
        # in the order in which the next scheduling round places them after they are stopped
        for job in sorted(jobs, key=self.queue_rank):
            spec, tasks = job.spec, moving[job.id]
            if spec is None or spec.kind != "service" or job.shard != machine.shard:
                return False
            zones = self._cluster.machines.task_counts_by_zone(job)
            zones[machine.zone] -= tasks
            assignments = assign_tasks(
                spec,
                tasks,
                [c for c in capacities if spec.image in c.images or self._is_fetch_quick(spec, c)],
                ZoneAllowance(spec, zones),
                self._settings.max_replica_share_per_machine,
            )
            if sum(assignment.tasks for assignment in assignments) < tasks:
                return False
        return True

    def _is_fetch_quick(self, spec: JobSpec, capacity: FreeCapacity) -> bool:
        """Return whether the image is fetched within a heartbeat interval."""
        machine_type = self._cluster.catalog[capacity.type]
        return spec.image_gb < machine_type.fetch_gb_per_s * self._settings.heartbeat_interval_s
