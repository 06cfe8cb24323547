"""The demand forecast: the order of waiting jobs, and what each shard needs of the fleet.

It is derived from the durable records, so that every controller comes to nearly the same result.
The leader's fleet provisioner rents by it, a shard's owner returns machines by it, and placement,
preemption and machine transfer ask it for the queue and for demand that finds no capacity.
"""

from collections import Counter
from math import inf

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job, Machine
from ..net.clock import Clock
from ..planning.demand import CapacityPlan, TaskDemand, empty_capacity, plan_capacity
from ..planning.estimates import Estimates
from ..planning.free_capacity import FreeCapacity, ZoneAllowance, assign_tasks
from ..planning.pipelines import PRIORITY
from ..settings import Settings
from ..wire.users import JobSpec
from .arrivals import Arrivals
from .capacity import FleetCapacity
from .pipelines import PipelineBudgets


class DemandForecast:
    """What the shards need of the fleet now and soon.

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

        It is a plain tuple, since those of a subclass sort more slowly.
        """
        place = self._pipelines.place(job)
        return place.priority, place.budget_end, job.order

    def priority(self, job: Job) -> int:
        """Return the highest priority of the job and those that depend on it; 0 is the highest."""
        return self._pipelines.priority(job)

    def priority_of(self, job_id: str) -> int:
        """Return the priority of a job by its id; an unknown one comes after all others."""
        job = self._cluster.jobs.get(job_id)
        return len(PRIORITY) if job is None or not job.has_record else self.priority(job)

    def waiting_jobs(self, shard: int) -> list[Job]:
        """Return the shard's jobs with tasks to be placed, in queue order."""
        jobs = [
            job
            for job in self._cluster.jobs.active[shard].values()
            if job.spec is not None and job.waiting_task_count() > 0
        ]
        jobs.sort(key=self.queue_rank)
        return jobs

    # -- capacity plans --------------------------------------------------------------

    def plan(self, shard: int) -> CapacityPlan:
        """Plan which machines a shard needs, and which of its machines it can spare."""
        wall = self._clock.wall_time()
        self._arrivals.record(wall)
        demands = self._waiting_demands(shard, wall) + self._arrivals.expected_replicas(shard)
        capacity_plan = plan_capacity(
            demands,
            self.capacity.shard_capacities(shard, wall),
            self.capacity.sources(),
            self.capacity.limit,
        )
        self._add_spot_baseline(shard, wall, capacity_plan)
        return capacity_plan

    def _add_spot_baseline(self, shard: int, wall: float, capacity_plan: CapacityPlan) -> None:
        """Add the baseline of spot machines, each existing one counted as if it were empty."""
        demands = self._arrivals.baseline_arrays(shard)
        if not demands:
            return
        baseline = plan_capacity(
            demands,
            self.capacity.empty_spot_capacities(shard, wall),
            self.capacity.sources(),
            self.capacity.limit,
        )
        machines = self._cluster.machines.by_shard[shard].values()
        spot_machines = {machine.id for machine in machines if machine.spot}
        capacity_plan.spare_machines -= spot_machines - baseline.spare_machines
        for key, needed in baseline.machine_requests.items():
            request = capacity_plan.machine_requests.setdefault(key, needed)
            request.number = max(request.number, needed.number)

    def _waiting_demands(self, shard: int, wall: float) -> list[TaskDemand]:
        """Return the demand of the waiting jobs, in queue order."""
        demands: list[TaskDemand] = []
        running, reserved = self._running_array_tasks(shard), 0
        for job in self.waiting_jobs(shard):
            demand = self._waiting_demand(job, wall)
            if demand is None:
                continue
            if demand.spec.kind == "array" and demand.task_s > 0:
                freed = self._slots_freed_in_time(demand, running)
                demand.covered_by_running = max(0, min(demand.tasks, freed - reserved))
                reserved += demand.covered_by_running
            demands.append(demand)
        return demands

    def _waiting_demand(self, job: Job, wall: float) -> TaskDemand | None:
        spec = job.spec
        if spec is None:
            return None
        place = self._pipelines.place(job)
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        task_s = self.estimates.task_s(spec.job_class, spec.estimate_s)
        # without a deadline the budget end is a place in the queue, and no option is too slow
        budget_s = place.budget_end - wall if place.has_deadline else inf
        return TaskDemand(spec, job.waiting_task_count(), zones, budget_s, task_s)

    def _slots_freed_in_time(self, demand: TaskDemand, running: int) -> int:
        """Estimate how many slots running arrays free until the demand's last task must start.

        The slots become free one after the other and repeatedly, and go to the waiting jobs in
        queue order. A task occupies its slot while its image is fetched as well.
        """
        occupied_s = demand.task_s + self._fetch_s(demand.spec)
        available_s = max(0.0, demand.budget_s - occupied_s)
        span_s = min(available_s, self._settings.arrival_window_s)
        return int(running * span_s / occupied_s)

    def _fetch_s(self, spec: JobSpec) -> float:
        """Return how many seconds the image takes on the type that fetches it fastest."""
        rates = [machine_type.fetch_gb_per_s for machine_type in self.capacity.allowed_types(spec)]
        return spec.image_gb / max(rates) if rates else 0.0

    def _running_array_tasks(self, shard: int) -> int:
        return sum(
            job.planned_task_count()
            for job in self._cluster.jobs.active[shard].values()
            if job.spec is not None and job.spec.kind == "array"
        )

    # -- demand without capacity, machines without use -------------------------------

    def is_out_of_capacity(self, spec: JobSpec) -> bool:
        """Return whether the cloud has no machine at present that the job may use."""
        return self.capacity.is_exhausted_for(spec)

    def unplaced_demands(self, shard: int, wall: float) -> list[TaskDemand]:
        """Return the demand that has waited a while and finds no capacity in the shard.

        Machines that still boot and slots that running tasks will free count as capacity.
        """
        ready_before = wall - self._settings.machine_transfer_interval_s
        active = self._cluster.jobs.active[shard].values()
        if not any(job.ready_at < ready_before and job.waiting_task_count() > 0 for job in active):
            return []
        capacities = self.capacity.shard_capacities(shard, wall)
        unplaced: list[TaskDemand] = []
        for demand in self._waiting_demands(shard, wall):
            assignments = assign_tasks(demand.spec, demand.tasks, capacities, demand.zones)
            placed = sum(assignment.tasks for assignment in assignments)
            remaining = demand.tasks - placed - demand.covered_by_running
            if remaining > 0 and self._cluster.jobs[demand.spec.id].ready_at < ready_before:
                demand.tasks, demand.covered_by_running = remaining, 0
                unplaced.append(demand)
        return unplaced

    def is_redundant(self, shard: int, machine: Machine, capacities: list[FreeCapacity]) -> bool:
        """Return whether all tasks of the machine would fit on other machines of the shard.

        Those are machines in use or cheaper ones where the tasks' images are or are fetched
        quickly, with capacity left for the expected replicas.
        """
        machine_type = self._cluster.catalog.get(machine.type)
        if machine_type is None:
            return False
        own = empty_capacity(machine.id, machine_type, machine.zone, machine.spot)
        own_price = own.price / own.size
        others = [
            capacity.copy()
            for capacity in capacities
            if capacity.machine != machine.id
            and (capacity.is_used or capacity.price / capacity.size < own_price)
        ]
        if not self._can_move_tasks(machine, others):
            return False
        expected = self._arrivals.expected_replicas(shard)
        return plan_capacity(expected, others, [], self.capacity.limit).unplaced_tasks == 0

    def _can_move_tasks(self, machine: Machine, capacities: list[FreeCapacity]) -> bool:
        """Assign the machine's tasks to the others; return whether all of them fit."""
        moving = Counter(attempt.job for attempt in machine.attempts.values())
        jobs = [self._cluster.jobs[job_id] for job_id in moving]
        # in the order in which the scheduling round after the stops will place them
        for job in sorted(jobs, key=self.queue_rank):
            spec, tasks = job.spec, moving[job.id]
            if spec is None or spec.kind != "service":
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
        """Return whether the image arrives before the machine's next heartbeat."""
        machine_type = self._cluster.catalog[capacity.type]
        return spec.image_gb < machine_type.fetch_gb_per_s * self._settings.heartbeat_interval_s
