"""Predicts demand from recent job submissions.

`Arrivals` keeps in memory the submissions of the last `arrival_window_s` seconds by shard and job
class. The demand forecast calls it to record them and adds the expected demand to its capacity
plans.
"""

from dataclasses import replace

from ..cluster.cluster_state import ClusterState
from ..planning.demand import TaskDemand
from ..planning.estimates import Estimates
from ..planning.free_capacity import ZoneAllowance
from ..settings import Settings
from ..wire.users import JobSpec
from .capacity import FleetCapacity

# added before rounding, so that at least one replica is expected of each class that arrived
ROUND_UP_OFFSET = 0.5


class _Arrival:
    """A submission: its wall-clock time, number of tasks and their total estimated run time."""

    __slots__ = ("submitted_at", "tasks", "work_s")

    def __init__(self, submitted_at: float, tasks: int, work_s: float) -> None:
        self.submitted_at = submitted_at
        self.tasks = tasks
        self.work_s = work_s


class _ClassArrivals:
    """Recent submissions of a job class to a shard, and the spec of the newest one."""

    __slots__ = ("arrivals", "shard", "spec")

    def __init__(self, shard: int, spec: JobSpec) -> None:
        self.shard = shard
        self.spec = spec
        self.arrivals: list[_Arrival] = []


class Arrivals:
    """Recent submissions and the demand expected from them."""

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        capacity: FleetCapacity,
        estimates: Estimates,
    ) -> None:
        self._settings = settings
        self._cluster = cluster
        self._capacity = capacity
        self._estimates = estimates
        self._classes: dict[tuple[int, str], _ClassArrivals] = {}
        # the acceptance order number of the newest recorded job
        self._newest_order = 0

    def record(self, wall_time: float) -> None:
        """Record the jobs that arrived since the last call; drop those from before the window."""
        newest = self._newest_order
        for shard, jobs in self._cluster.jobs.active.items():
            for job in jobs.values():
                spec = job.spec
                if job.acceptance_order <= self._newest_order or spec is None:
                    continue
                newest = max(newest, job.acceptance_order)
                entry = self._classes.setdefault(
                    (shard, spec.job_class), _ClassArrivals(shard, spec)
                )
                work_s = spec.tasks * spec.estimate_s
                entry.arrivals.append(_Arrival(job.submitted_at, spec.tasks, work_s))
                entry.spec = spec
        self._newest_order = newest
        window_start = wall_time - self._settings.arrival_window_s
        for entry in self._classes.values():
            entry.arrivals = [a for a in entry.arrivals if a.submitted_at >= window_start]

    def replica_demands(self, shard: int) -> list[TaskDemand]:
        """Return the demand of replicas that are likely to arrive while a machine boots.

        Capacity plans keep free capacity for them.
        """
        demands: list[TaskDemand] = []
        for entry in self._classes.values():
            spec = entry.spec
            if entry.shard != shard or spec.kind != "service":
                continue
            machine_types = self._capacity.allowed_types(spec)
            if not machine_types:
                continue
            boot_s = min(machine_type.boot_s for machine_type in machine_types)
            tasks = sum(arrival.tasks for arrival in entry.arrivals)
            arrivals_per_s = tasks / self._settings.arrival_window_s
            number = round(
                arrivals_per_s * boot_s * self._settings.replica_headroom_ratio + ROUND_UP_OFFSET
            )
            if number > 0:
                demands.append(TaskDemand(spec, number, ZoneAllowance(spec, {})))
        return demands

    def spot_baseline_demands(self, shard: int) -> list[TaskDemand]:
        """Return the average number of running array tasks, as demand for spot machines.

        Arrays without capacity cannot wait until a spot machine has booted, so a baseline of spot
        machines is rented in advance and kept.
        """
        demands: list[TaskDemand] = []
        for entry in self._classes.values():
            spec = entry.spec
            if entry.shard != shard or spec.kind == "service" or not spec.spot:
                continue
            estimated_s = sum(arrival.work_s for arrival in entry.arrivals)
            work_s = self._estimates.task_s(spec.job_class, estimated_s)
            running = work_s / self._settings.arrival_window_s
            number = round(running * self._settings.spot_baseline_ratio)
            if number > 0:
                # without an image, since any may be needed, and without the one-zone constraint, so
                # that the cheapest machines are kept
                generic = replace(spec, image="", image_gb=0.0, one_zone=False, tasks=number)
                demand = TaskDemand(generic, number, ZoneAllowance(generic, {}))
                demand.is_spot_only = True
                demands.append(demand)
        return demands
