"""Selection of the machines for one job's waiting tasks, by free capacity and by preemption.

Called by placement for each job in the order of the queue. Owns, for one round, the attempts to be
stopped and the task shapes that fit nowhere.
"""

from typing import NamedTuple

from ..cluster.model import Job, PlannedAttempt
from ..planning.free_capacity import (
    FreeCapacity,
    TaskAssignment,
    ZoneAllowance,
    assign_tasks,
    is_allowed,
)
from ..wire.users import JobSpec
from .context import SchedulingContext
from .failures import JobFailures
from .preemption import Preemption
from .team_quotas import UsageByTeam

# the image fetch may take this share of the time in which a service's replicas should start
MAX_IMAGE_DELAY_SHARE = 0.75


class _TaskShape(NamedTuple):
    """What decides on which machines a task fits."""

    cpus: float
    gpus: float
    memory_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    spot: bool


class PlacementRequest:
    """The tasks of one job that this round tries to place."""

    __slots__ = ("job", "may_preempt", "spec", "tasks", "usage", "zones")

    def __init__(
        self, job: Job, spec: JobSpec, tasks: int, zones: ZoneAllowance, usage: UsageByTeam
    ) -> None:
        self.job = job
        self.spec = spec
        # how many tasks neither have a machine yet nor are covered by a preemption
        self.tasks = tasks
        self.zones = zones
        self.usage = usage
        # whether other tasks may be stopped for these
        self.may_preempt = False


class CapacitySelection:
    """Takes free capacity for tasks, and requests preemptions for those that find none."""

    def __init__(self, context: SchedulingContext, preemption: Preemption) -> None:
        self._settings = context.settings
        self._cluster = context.cluster
        self._preemption = preemption
        # of this round: attempts to be stopped, and shapes that fit nowhere any more (capacity
        # only shrinks during a round)
        self._stops: list[PlannedAttempt] = []
        self._shapes_without_capacity: set[_TaskShape] = set()

    def start_round(self) -> list[PlannedAttempt]:
        """Starts a round; returns the list to which its attempts to be stopped are added."""
        self._stops = []
        self._preemption.drop_expired_claims()
        self._shapes_without_capacity.clear()
        return self._stops

    def take(
        self,
        request: PlacementRequest,
        failures: JobFailures | None,
        capacities: list[FreeCapacity],
    ) -> list[TaskAssignment]:
        """Takes free capacity for the request's tasks, and requests preemptions for the others.

        Returns the capacities with the number of tasks placed on each. Tasks for which others are
        stopped are placed in a later round.
        """
        job, spec = request.job, request.spec
        free = self._available_to(job, failures, self._fitting(spec, capacities))
        if spec.is_gang and not self._fits_whole_gang(request, free):
            return []
        request.may_preempt = self._may_preempt(request, failures)
        if request.may_preempt:
            preemptible = self._available_to(job, failures, capacities)
            return self._take_or_preempt(request, free, preemptible)
        return self._take_or_preempt(request, free, free) if free else []

    def _fitting(self, spec: JobSpec, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
        """Returns the capacities where at least one such task fits.

        Most waiting jobs have the same shape as others, and most machines are full: shapes that
        fit nowhere are not checked again in the same round.
        """
        shape = _TaskShape(spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
        if shape in self._shapes_without_capacity:
            return []
        fitting = [
            capacity
            for capacity in capacities
            if capacity.count_fitting(spec)
            and is_allowed(spec, capacity.type, capacity.zone, capacity.spot)
        ]
        if not fitting:
            self._shapes_without_capacity.add(shape)
        return fitting

    def _available_to(
        self, job: Job, failures: JobFailures | None, capacities: list[FreeCapacity]
    ) -> list[FreeCapacity]:
        """Returns the capacities not reserved for other jobs, where the job has not failed yet."""
        excluded = failures.machines if failures is not None else ()
        return [
            capacity
            for capacity in capacities
            if capacity.machine not in excluded and self._preemption.is_available_to(capacity, job)
        ]

    def _fits_whole_gang(self, request: PlacementRequest, capacities: list[FreeCapacity]) -> bool:
        """Whether all tasks of the gang fit: they are placed together or not at all."""
        job, spec = request.job, request.spec
        if job.planned_task_count():
            return False
        trial = [capacity.copy() for capacity in capacities]
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        taken = assign_tasks(spec, request.tasks, trial, zones)
        return sum(task_count for _, task_count in taken) == job.waiting_task_count()

    def _may_preempt(self, request: PlacementRequest, failures: JobFailures | None) -> bool:
        """Whether other tasks may be stopped for the job.

        A replica that ended with its machine is no failure of the job: only failures of its own
        bar a service from preemption. An array preempts only until its first task has ended: for
        each task again, two arrays would stop one another's tasks in turn.
        """
        is_service = request.spec.is_service
        has_own_failures = failures is not None and (not is_service or failures.failures != 0)
        return not has_own_failures and self._preemption.can_preempt_for(request.job, request.usage)

    def _take_or_preempt(
        self,
        request: PlacementRequest,
        free: list[FreeCapacity],
        preemptible: list[FreeCapacity],
    ) -> list[TaskAssignment]:
        """Takes capacity and requests preemptions, in the order that suits the job.

        A class that must start soon is rather given the capacity of preempted tasks on a machine
        that has its image than free capacity where it would wait for the image.
        """
        job, spec = request.job, request.spec
        start_objective_s = (
            self._settings.start_objective_s(spec.job_class) if spec.is_service else None
        )
        # a failed claim is not repeated: then any capacity will do
        has_failed_claim = self._preemption.has_failed_claim(job)
        taken: list[TaskAssignment] = []
        if start_objective_s is not None and not has_failed_claim:
            max_delay_s = MAX_IMAGE_DELAY_SHARE * start_objective_s

            def starts_in_time(capacity: FreeCapacity) -> bool:
                # reserved capacity counts wherever it is, or it would stay unused until the
                # claim ends
                return capacity.image_delay_s(
                    spec
                ) < max_delay_s or self._preemption.is_reserved_for(capacity, job)

            taken = self._assign(request, list(filter(starts_in_time, free)))
            if request.tasks and request.may_preempt:
                if self._preemption.has_claim(job):
                    return taken
                self._preempt(request, list(filter(starts_in_time, preemptible)))
        if request.tasks:
            taken += self._assign(request, free)
        if request.tasks and request.may_preempt and not has_failed_claim:
            self._preempt(request, preemptible)
        return taken

    def _assign(
        self, request: PlacementRequest, capacities: list[FreeCapacity]
    ) -> list[TaskAssignment]:
        """Takes free capacity for as many of the tasks as fit."""
        taken = assign_tasks(
            request.spec,
            request.tasks,
            capacities,
            request.zones,
            self._settings.max_replica_share_per_machine,
        )
        request.tasks -= sum(task_count for _, task_count in taken)
        return taken

    def _preempt(self, request: PlacementRequest, capacities: list[FreeCapacity]) -> None:
        """Requests stops of other tasks for the tasks left."""
        preempted = self._preemption.preempt(
            request.job, request.tasks, capacities, request.zones, request.usage
        )
        self._stops.extend(preempted.attempts)
        request.tasks -= preempted.tasks_covered
