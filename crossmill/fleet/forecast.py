"""What a shard needs of the fleet, worked out from durable facts: every controller that looks
sees nearly the same. The leader rents by it, a shard's owner returns machines by it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import inf

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job, Machine
from ..net.clock import Clock
from ..planning.demand import (
    CapacityPlan,
    MachineSource,
    TaskDemand,
    empty_capacity,
    plan_capacity,
    slots_on,
)
from ..planning.estimates import Estimates
from ..planning.free_capacity import FreeCapacity, ZoneAllowance, assign_tasks, is_allowed
from ..planning.gpu_footprints import GpuFootprints, gpu_footprints
from ..planning.queue import PRIORITY
from ..settings import Settings
from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from .boot_times import BootTimes
from .capacity_cache import CapacityCache
from .pipelines import PipelineBudgets


@dataclass(slots=True, eq=False)
class _Arrivals:
    """Recent submissions of a class to a shard."""

    times: list[tuple[float, int]] = field(default_factory=list)
    work_s: list[tuple[float, float]] = field(default_factory=list)
    spec: JobSpec | None = None


class DemandForecast:
    """What the shards need of the fleet now and soon."""

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self.estimates = Estimates()
        self.boot_times = BootTimes(settings, cluster.mirror)
        self._pipelines = PipelineBudgets(settings, clock, cluster, self.estimates)
        self.blocked: dict[tuple[str, str, bool], float] = {}
        self._arrivals: dict[tuple[int, str], _Arrivals] = {}
        self._seen_order = 0
        self._catalog: object = None
        self._narrow: dict[str, bool] = {}
        self._sources: list[MachineSource] = []
        self._shares = GpuFootprints(None, {})
        self._shares_at = -inf
        self._capacity_cache = self.new_cache()

    def _counted_on(self, machine: Machine, wall: float) -> MachineType | None:
        """The machine's type, if it is there or may be expected."""
        kind = self._cluster.catalog.get(machine.type)
        if kind is None or machine.retiring:
            return None
        if not machine.up and not self.boot_times.is_expected(machine, kind, wall):
            # late: it may still come, but nobody counts on it
            return None
        return kind

    def has_few_types(self, zone: str) -> bool:
        """Whether the zone offers fewer of the types than another does, so that replicas that
        are spread find least there.
        """
        self._note_catalog()
        return self._narrow.get(zone, False)

    def _note_catalog(self) -> None:
        """What follows from the catalog alone is worked out once for each: asked for every
        machine and task, it took most of a controller's time on a large fleet.
        """
        catalog = self._cluster.catalog
        if catalog is self._catalog:
            return
        self._catalog = catalog
        offered = {z: 0 for z in self._settings.zones}
        for kind in catalog.values():
            for name in kind.zones:
                offered[name] = offered.get(name, 0) + 1
        most = max(offered.values(), default=0)
        self._narrow = {zone: number < most for zone, number in offered.items()}
        # ties between zones go to the one that offers more
        self._sources = [
            MachineSource(kind, zone, spot)
            for kind in catalog.values()
            for zone in sorted(kind.zones, key=lambda z: self._narrow[z])
            for spot in (False, True)
        ]

    def new_cache(self) -> CapacityCache:
        """A cache of rooms, for one that looks at the fleet again and again."""
        return CapacityCache(self._cluster.machines, self.free_capacity)

    def cached_capacities(
        self, cache: CapacityCache, machines: Iterable[tuple[Machine, MachineType]]
    ) -> list[FreeCapacity]:
        """What the plan leaves free on the machines, for use until the cache's next look."""
        self._note_catalog()
        shares = self._gpu_footprints()
        capacities = [cache.capacity(machine, kind) for machine, kind in machines]
        for capacity in capacities:
            capacity.typical, capacity.bound = shares.typical, shares.bound_to(capacity)
        return capacities

    def free_capacity(self, machine: Machine, kind: MachineType) -> FreeCapacity:
        """What the plan leaves free on a machine."""
        capacity = empty_capacity(machine.id, kind, machine.zone, machine.spot)
        capacity.cpus -= machine.used_cpus
        capacity.gpus -= machine.used_gpus
        capacity.memory_gb -= machine.used_memory_gb
        capacity.images = dict(machine.images)
        capacity.used = bool(machine.attempts)
        capacity.narrow = self.has_few_types(machine.zone)
        shares = self._gpu_footprints()
        capacity.typical, capacity.bound = shares.typical, shares.bound_to(capacity)
        return capacity

    def _gpu_footprints(self) -> GpuFootprints:
        """What tasks on GPUs take, looked at now and then."""
        now = self._clock.now()
        if now - self._shares_at > self._settings.worker_lease_s:
            self._shares_at = now
            active = (job for jobs in self._cluster.jobs.active.values() for job in jobs.values())
            specs = [job.spec for job in active if job.spec is not None and job.spec.gpus > 0]
            if specs:
                self._shares = gpu_footprints(specs, self._cluster.catalog.values())
        return self._shares

    def _note_arrivals(self, wall: float) -> None:
        newest = self._seen_order
        for shard, jobs in self._cluster.jobs.active.items():
            for job in jobs.values():
                if job.order <= self._seen_order or job.spec is None:
                    continue
                newest = max(newest, job.order)
                entry = self._arrivals.setdefault((shard, job.spec.job_class), _Arrivals())
                entry.times.append((job.submitted, job.spec.tasks))
                entry.work_s.append((job.submitted, job.spec.tasks * job.spec.estimate_s))
                entry.spec = job.spec
        self._seen_order = newest
        horizon = wall - self._settings.arrival_window_s
        for entry in self._arrivals.values():
            entry.times = [t for t in entry.times if t[0] >= horizon]
            entry.work_s = [t for t in entry.work_s if t[0] >= horizon]

    def _expected(self, shard: int, wall: float) -> list[TaskDemand]:
        """Replicas likely to come while a machine boots, for which room is kept."""
        demands: list[TaskDemand] = []
        for (where, _), entry in self._arrivals.items():
            spec = entry.spec
            if where != shard or spec is None or spec.kind != "service":
                continue
            kinds = [
                k for n, k in self._cluster.catalog.items() if spec.types is None or n in spec.types
            ]
            if not kinds:
                continue
            boot_s = min(k.boot_s for k in kinds)
            tasks = sum(n for _, n in entry.times)
            number = round(
                tasks / self._settings.arrival_window_s * boot_s * self._settings.headroom + 0.5
            )
            if number > 0:
                demands.append(TaskDemand(spec, number, ZoneAllowance(spec, {}), inf, 0.0))
        return demands

    def _ahead(self, shard: int) -> list[TaskDemand]:
        """Arrays' tasks that run at a time on average. Arrays that find no room can't wait for
        a cheap machine's boot, so a base of spot machines is rented ahead and kept.
        """
        demands: list[TaskDemand] = []
        for (where, job_class), entry in self._arrivals.items():
            spec = entry.spec
            if where != shard or spec is None or spec.kind == "service" or not spec.spot:
                continue
            work_s = self.estimates.task_s(job_class, sum(work for _, work in entry.work_s))
            number = round(
                work_s / self._settings.arrival_window_s * self._settings.spot_baseline_ratio
            )
            if number > 0:
                # any image may be asked for, and the cheapest place is kept
                anyone = replace(spec, image="", image_gb=0.0, one_zone=False, tasks=number)
                zones = ZoneAllowance(anyone, {})
                demands.append(TaskDemand(anyone, number, zones, inf, 0.0, spot_only=True))
        return demands

    def _base(self, shard: int, wall: float, capacity_plan: CapacityPlan) -> None:
        """Adds what the base of spot machines needs, each machine counted as if empty."""
        demands = self._ahead(shard)
        if not demands:
            return
        capacities = [
            empty_capacity(m.id, kind, m.zone, True)
            for m in self._cluster.machines.by_shard[shard].values()
            if m.spot and (kind := self._counted_on(m, wall)) is not None
        ]
        base = plan_capacity(demands, capacities, self.sources(), self._limit)
        kept = {m.id for m in self._cluster.machines.by_shard[shard].values() if m.spot}
        capacity_plan.spare_machines -= kept - base.spare_machines
        for key, need in base.machine_requests.items():
            known = capacity_plan.machine_requests.setdefault(key, need)
            known.number = max(known.number, need.number)

    def queue_place(self, job: Job) -> tuple[tuple[int, float], int]:
        """Priority, then budget end, then order of acceptance."""
        place = self._pipelines.place(job)
        return (place.priority, place.budget_end), job.order

    def priority(self, job: Job) -> int:
        """The job's priority, or a higher one of a job that needs it; 0 is the highest."""
        return self._pipelines.priority(job)

    def priority_of(self, job_id: str) -> int:
        """The priority of a job by its id; one that is not known comes after all others."""
        job = self._cluster.jobs.get(job_id)
        return len(PRIORITY) if job is None or not job.has_record else self.priority(job)

    def waiting(self, shard: int) -> list[Job]:
        """Jobs with tasks to be placed, in the queue's order."""
        jobs = [
            job
            for job in self._cluster.jobs.active[shard].values()
            if job.spec is not None and job.waiting_task_count() > 0
        ]
        jobs.sort(key=self.queue_place)
        return jobs

    def is_out_of_capacity(self, spec: JobSpec) -> bool:
        """Whether the cloud has nothing at present that the job may use."""
        return not any(
            self._limit(source) > 0
            for source in self.sources()
            if is_allowed(spec, source.type.name, source.zone, source.spot)
            and slots_on(spec, source.type) > 0
        )

    def _waiting_demands(self, shard: int, wall: float) -> list[TaskDemand]:
        demands: list[TaskDemand] = []
        coming, promised = self._coming_free(shard), 0
        for job in self.waiting(shard):
            spec, place = job.spec, self._pipelines.place(job)
            assert spec is not None
            zones = self._cluster.machines.task_counts_by_zone(job)
            task_s = self.estimates.task_s(spec.job_class, spec.estimate_s)
            # the fixed wait is a place in the queue; without a deadline no option is too slow
            budget_s = place.budget_end - wall if place.has_deadline else inf
            demand = TaskDemand(
                spec, job.waiting_task_count(), ZoneAllowance(spec, zones), budget_s, task_s
            )
            if spec.kind == "array" and task_s > 0:
                # slots of running arrays come free one after the other, and again; those that
                # do by the time the last task has to be there go to the jobs in their order.
                # A slot is taken for the image's fetch as well, unless it is there by chance
                turn_s = task_s + self._fetch_s(spec)
                span_s = min(max(0.0, demand.budget_s - turn_s), self._settings.arrival_window_s)
                by_then = int(coming * span_s / turn_s)
                demand.covered = max(0, min(demand.tasks, by_then - promised))
                promised += demand.covered
            demands.append(demand)
        return demands

    def _fetch_s(self, spec: JobSpec) -> float:
        """How long the image takes where it is fetched soonest."""
        rates = [
            k.fetch_gb_per_s
            for n, k in self._cluster.catalog.items()
            if spec.types is None or n in spec.types
        ]
        return spec.image_gb / max(rates) if rates else 0.0

    def _coming_free(self, shard: int) -> int:
        return sum(
            job.planned_task_count()
            for job in self._cluster.jobs.active[shard].values()
            if job.spec is not None and job.spec.kind == "array"
        )

    def sources(self) -> list[MachineSource]:
        """All types, zones and kinds of machines that can be rented."""
        self._note_catalog()
        return self._sources

    def _limit(self, source: MachineSource) -> int:
        key = (source.type.name, source.zone, source.spot)
        return 0 if self.blocked.get(key, 0.0) > self._clock.now() else 50

    def _capacities(self, shard: int, wall: float) -> list[FreeCapacity]:
        machines = [
            (machine, kind)
            for machine in self._cluster.machines.by_shard[shard].values()
            if (kind := self._counted_on(machine, wall)) is not None
        ]
        return self.cached_capacities(self._capacity_cache, machines)

    def plan(self, shard: int) -> CapacityPlan:
        """What a shard needs, and which of its machines it can spare."""
        wall = self._clock.wall()
        self._note_arrivals(wall)
        demands = self._waiting_demands(shard, wall) + self._expected(shard, wall)
        capacity_plan = plan_capacity(
            demands, self._capacities(shard, wall), self.sources(), self._limit
        )
        self._base(shard, wall, capacity_plan)
        return capacity_plan

    def unplaced_demands(self, shard: int, wall: float) -> list[TaskDemand]:
        """What has waited a while and finds no room in the shard, machines that still boot and
        slots that come free counted in.
        """
        old = wall - self._settings.machine_transfer_interval_s
        waiting = self._cluster.jobs.active[shard].values()
        if not any(j.ready_at < old and j.waiting_task_count() > 0 for j in waiting):
            return []
        capacities = self._capacities(shard, wall)
        result: list[TaskDemand] = []
        for demand in self._waiting_demands(shard, wall):
            taken = assign_tasks(demand.spec, demand.tasks, capacities, demand.zones)
            left = demand.tasks - sum(number for _, number in taken) - demand.covered
            if left > 0 and self._cluster.jobs[demand.spec.id].ready_at < old:
                result.append(replace(demand, tasks=left, covered=0))
        return result

    def _quick(self, spec: JobSpec, capacity: FreeCapacity) -> bool:
        """Whether the image is there as soon as the machine's next report."""
        kind = self._cluster.catalog[capacity.type]
        return spec.image_gb < kind.fetch_gb_per_s * self._settings.heartbeat_interval_s

    def is_redundant(self, shard: int, machine: Machine, capacities: list[FreeCapacity]) -> bool:
        """Whether all on this machine would fit where its images are, on machines in use or
        cheaper, with room left for what is expected.
        """
        kind = self._cluster.catalog.get(machine.type)
        if kind is None:
            return False
        own = empty_capacity(machine.id, kind, machine.zone, machine.spot)
        capacities = [
            replace(r, images=dict(r.images))
            for r in capacities
            if r.machine != machine.id and (r.used or r.price / r.size < own.price / own.size)
        ]
        moving: dict[str, int] = {}
        for attempt in machine.attempts.values():
            moving[attempt.job] = moving.get(attempt.job, 0) + 1
        jobs = [self._cluster.jobs[job_id] for job_id in moving]
        # in the order in which the round after the stops will place them
        for job in sorted(jobs, key=self.queue_place):
            spec = job.spec
            if spec is None or spec.kind != "service":
                return False
            zones = self._cluster.machines.task_counts_by_zone(job)
            zones[machine.zone] -= moving[job.id]
            near = [r for r in capacities if spec.image in r.images or self._quick(spec, r)]
            taken = assign_tasks(
                spec,
                moving[job.id],
                near,
                ZoneAllowance(spec, zones),
                self._settings.max_replica_share_per_machine,
            )
            if sum(number for _, number in taken) < moving[job.id]:
                return False
        capacity_plan = plan_capacity(
            self._expected(shard, self._clock.wall()), capacities, [], self._limit
        )
        return capacity_plan.unplaced_tasks == 0
