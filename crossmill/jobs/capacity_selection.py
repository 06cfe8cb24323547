"""Selection of the machines for one job's waiting tasks, by free capacity and by preemption.

Placement calls it for each job in queue order. It owns, for one round, the attempts to be stopped
and the task shapes that fit on no machine.
"""

from ..cluster.model import NO_MACHINES, Job, PlannedAttempt
from ..planning.free_capacity import (
    FreeCapacity,
    TaskAssignment,
    TaskShape,
    ZoneAllowance,
    assign_tasks,
    is_allowed,
)
from ..wire.users import JobSpec
from .context import SchedulingContext
from .failures import JobFailures
from .preemption import Preemption
from .team_quotas import UsageByTeam

# largest share of a service's start objective, the time in which its replicas should start, that
# the image fetch may take
MAX_IMAGE_DELAY_SHARE = 0.75


class PlacementRequest:
    """The tasks of one job that this round tries to place."""

    __slots__ = ("job", "may_preempt", "spec", "tasks", "usage", "zones")

    def __init__(
        self, job: Job, spec: JobSpec, tasks: int, zones: ZoneAllowance, usage: UsageByTeam
    ) -> None:
        self.job = job
        self.spec = spec
        # number of tasks that have no machine yet and are not covered by a preemption
        self.tasks = tasks
        self.zones = zones
        self.usage = usage
        # whether other tasks may be stopped for these tasks
        self.may_preempt = False


class CapacitySelection:
    """Assignment of free capacity to tasks, and preemption for tasks that find none."""

    def __init__(self, context: SchedulingContext, preemption: Preemption) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._preemption = preemption
        # attempts to be stopped, chosen in this round, and task shapes that fit on no machine for
        # the rest of the round, since free capacity only shrinks during a round
        self._stops: list[PlannedAttempt] = []
        self._shapes_without_capacity: set[TaskShape] = set()

    def start_round(self) -> list[PlannedAttempt]:
        """Start a round, and return the list that collects its attempts to be stopped."""
        self._stops = []
        self._preemption.start_round()
        self._shapes_without_capacity.clear()
        return self._stops

    def assign_capacity(
        self,
        request: PlacementRequest,
        failures: JobFailures | None,
        capacities: list[FreeCapacity],
    ) -> list[TaskAssignment]:
        """Assign free capacity to the request's tasks, and request preemptions for the rest.

        Returns the capacities with the number of tasks placed on each. Tasks covered by a
        preemption are placed in a later round.
        """
        job, spec = request.job, request.spec
        free = self._available_to(job, self._fitting(spec, capacities))
        if spec.is_gang and not self._fits_whole_gang(request, free):
            return []
        request.may_preempt = self._may_preempt(request, failures)
        if request.may_preempt:
            preemptible = self._available_to(job, capacities)
            return self._assign_or_preempt(request, free, preemptible)
        return self._assign_or_preempt(request, free, free) if free else []

    def _fitting(self, spec: JobSpec, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
        """Return the capacities where at least one such task fits.

        Many waiting jobs share a shape, and most machines are full, so a shape that fits on no
        machine is not checked again in the same round.
        """
        shape = TaskShape.of(spec)
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

    def _available_to(self, job: Job, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
        """Return the capacities that are not reserved for other jobs and that the job may use."""
        excluded = self._avoided_machines(job)
        return [
            capacity
            for capacity in capacities
            if capacity.machine not in excluded and self._preemption.is_available_to(capacity, job)
        ]

    def _avoided_machines(self, job: Job) -> frozenset[str]:
        """Return the IDs of the machines where the job failed lately."""
        if not job.failed_at:
            return NO_MACHINES
        return job.avoided_machines(self._clock.wall_time() - self._settings.failure_memory_s)

    def _fits_whole_gang(self, request: PlacementRequest, capacities: list[FreeCapacity]) -> bool:
        """Return whether all tasks of the gang fit, as they are placed together or not at all."""
        job, spec = request.job, request.spec
        if job.planned_task_count():
            return False
        trial = [capacity.copy() for capacity in capacities]
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        assignments = assign_tasks(spec, request.tasks, trial, zones)
        return sum(task_count for _, task_count in assignments) == job.waiting_task_count()

    def _may_preempt(self, request: PlacementRequest, failures: JobFailures | None) -> bool:
        """Return whether other tasks may be stopped for the job.

        A service may not preempt while it avoids a machine or is suspected, since the replica that
        others would be stopped for may fail again; a replica that ended with its machine does not
        count. Any other job may preempt only until its first task has ended. If an array could
        preempt again for each task, two arrays would stop each other's tasks alternately.
        """
        job = request.job
        if request.spec.is_service:
            is_barred = job.is_suspect or bool(self._avoided_machines(job))
        else:
            is_barred = failures is not None
        return not is_barred and self._preemption.can_preempt_for(job, request.usage)

    def _assign_or_preempt(
        self,
        request: PlacementRequest,
        free: list[FreeCapacity],
        preemptible: list[FreeCapacity],
    ) -> list[TaskAssignment]:
        """Assign capacity and request preemptions, in the order that suits the job.

        For a job class with a start objective, capacity of preempted tasks on a machine that has
        the image is preferred to free capacity on a machine that must first fetch it.
        """
        job, spec = request.job, request.spec
        start_objective_s = (
            self._settings.start_objective_s(spec.job_class) if spec.is_service else None
        )
        # after a failed claim there is no further preemption, and any free capacity is accepted
        has_failed_claim = self._preemption.has_failed_claim(job)
        assignments: list[TaskAssignment] = []
        if start_objective_s is not None and not has_failed_claim:
            max_delay_s = MAX_IMAGE_DELAY_SHARE * start_objective_s

            def starts_in_time(capacity: FreeCapacity) -> bool:
                # capacity reserved for the job is accepted even without the image; otherwise it
                # would stay unused until the claim expires
                return capacity.image_delay_s(
                    spec
                ) < max_delay_s or self._preemption.is_reserved_for(capacity, job)

            assignments = self._assign(request, list(filter(starts_in_time, free)))
            if request.tasks and request.may_preempt:
                if self._preemption.has_claim(job):
                    return assignments
                self._preempt(request, list(filter(starts_in_time, preemptible)))
        if request.tasks:
            assignments += self._assign(request, free)
        if request.tasks and request.may_preempt and not has_failed_claim:
            self._preempt(request, preemptible)
        return assignments

    def _assign(
        self, request: PlacementRequest, capacities: list[FreeCapacity]
    ) -> list[TaskAssignment]:
        """Assign free capacity to as many of the tasks as fit."""
        assignments = assign_tasks(
            request.spec,
            request.tasks,
            capacities,
            request.zones,
            self._settings.max_replica_share_per_machine,
        )
        request.tasks -= sum(task_count for _, task_count in assignments)
        return assignments

    def _preempt(self, request: PlacementRequest, capacities: list[FreeCapacity]) -> None:
        """Request stops of other tasks for the remaining tasks."""
        preempted = self._preemption.preempt(
            request.job, request.tasks, capacities, request.zones, request.usage
        )
        self._stops.extend(preempted.attempts)
        request.tasks -= preempted.tasks_covered
