"""Each job's position in the queue, as a stage of its pipeline.

`PipelineBudgets` keeps the plans of pipelines in memory. A plan is valid until the pipeline
changes: a stage is added, done, cancelled or late. Budgets count from the durable time of the last
change, so that every controller that owns a stage of the pipeline computes the same plan. The
demand forecast derives the order of the queue from it.
"""

from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.model import ACTIVE, Job
from ..net.clock import Clock
from ..planning.demand import slots_per_machine
from ..planning.estimates import Estimates
from ..planning.pipelines import (
    PRIORITY,
    PipelineStage,
    QueuePosition,
    StagePlan,
    budget_end,
    plan_pipeline,
    queue_position,
)
from ..planning.split import MachineOption
from ..settings import Settings
from ..wire.users import JobSpec
from . import FleetError

# a replica runs until it is cancelled; its stage is done as soon as it has started
REPLICA_S = 1.0
# keeps throughputs finite for tasks that are expected to take no time
MIN_TASK_S = 1e-3
# the option of a stage whose tasks can use no machine type of the catalog
UNKNOWN_TYPE = "unknown"


class MissingSpecError(FleetError):
    """A job without a known record has no position in the queue."""

    def __init__(self, job_id: str) -> None:
        super().__init__(f"{job_id}: the record of the job is not known")
        self.job_id = job_id


class _PipelinePlan(NamedTuple):
    """The plans of a pipeline's stages by job ID, and the wall-clock time of planning."""

    stages: dict[str, StagePlan]
    planned_at: float


class PipelineBudgets:
    """Positions of jobs in the queue; a pipeline is planned again when it changes."""

    def __init__(
        self, settings: Settings, clock: Clock, cluster: ClusterState, estimates: Estimates
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._estimates = estimates
        self._plans: dict[str, _PipelinePlan] = {}

    def position(self, job: Job) -> QueuePosition:
        """Return the job's current position in the queue."""
        if self._cluster.jobs.graph.is_standalone(job):
            return self._single_job_position(job)
        self._drop_changed()
        plan = self._plans.get(job.id)
        if plan is None or self._is_late(job, plan):
            members = self._members(job)
            if len(members) == 1:
                return self._single_job_position(job)
            plan = self._plan(members)
        stage = plan.stages[job.id]
        if stage.budget_end is None:
            return QueuePosition(
                stage.priority, job.ready_at + self._settings.default_queue_time_s, False
            )
        return QueuePosition(stage.priority, stage.budget_end, True)

    def priority(self, job: Job) -> int:
        """Return the highest priority of the job and the unfinished jobs that depend on it."""
        if job.spec is not None and self._cluster.jobs.graph.is_standalone(job):
            return PRIORITY[job.spec.priority]
        return self.position(job).priority

    def _drop_changed(self) -> None:
        changed = self._cluster.jobs.graph.take_changed()
        while changed:
            plan = self._plans.pop(changed.pop(), None)
            if plan is not None:
                for name in plan.stages:
                    self._plans.pop(name, None)

    def _is_late(self, job: Job, plan: _PipelinePlan) -> bool:
        """Return whether the stage is past its budget and the plan is old enough to be replaced."""
        end = plan.stages[job.id].budget_end
        wall_time = self._clock.wall_time()
        return (
            end is not None
            and wall_time > end
            and wall_time - plan.planned_at > self._settings.replan_interval_s
        )

    def _single_job_position(self, job: Job) -> QueuePosition:
        """Return the position of a job outside any pipeline."""
        spec = _spec(job)
        margin_s = self._estimates.margin_s(spec.job_class, spec.estimate_s)
        end = budget_end(
            spec, job.submitted_at, job.ready_at, margin_s, self._settings.default_queue_time_s
        )
        return queue_position(spec, end)

    def _members(self, job: Job) -> dict[str, Job]:
        """Return the unfinished jobs of the job's pipeline, by ID."""
        graph = self._cluster.jobs.graph
        members = {job.id: job}
        pending = [job]
        while pending:
            current = pending.pop()
            dependencies = graph.unfinished_dependencies(current)
            for other in (*dependencies, *graph.unfinished_dependents(current.id)):
                if other.id not in members and other.end == ACTIVE:
                    members[other.id] = other
                    pending.append(other)
        return members

    def _plan(self, members: dict[str, Job]) -> _PipelinePlan:
        """Plan a pipeline, as of the last durable time at which one of its stages became ready.

        If a stage is late, the plan is made as of the start of the current replanning interval.
        """
        ready_at = max(job.ready_at for job in members.values())
        wall_time = self._clock.wall_time()
        interval_start = wall_time - wall_time % self._settings.replan_interval_s
        stages = {name: self._stage(job) for name, job in members.items()}
        planned = plan_pipeline(stages, ready_at)
        ends = [stage.budget_end for stage in planned.values() if stage.budget_end is not None]
        if any(wall_time > end for end in ends):
            planned = plan_pipeline(stages, max(ready_at, interval_start))
        result = _PipelinePlan(planned, wall_time)
        for name in members:
            self._plans[name] = result
        return result

    def _stage(self, job: Job) -> PipelineStage:
        spec = _spec(job)
        deadline = None if spec.deadline_s is None else job.submitted_at + spec.deadline_s
        return PipelineStage(
            job.id,
            PRIORITY[spec.priority],
            spec.tasks,
            self._options(spec),
            self._estimates.margin_s(spec.job_class, spec.estimate_s),
            tuple(job.id for job in self._cluster.jobs.graph.unfinished_dependencies(job)),
            deadline,
        )

    def _options(self, spec: JobSpec) -> tuple[MachineOption, ...]:
        """Return the stage's machine types; the finish time covers image fetch and one task."""
        estimate_s = spec.estimate_s if spec.kind == "array" else REPLICA_S
        task_s = max(self._estimates.task_s(spec.job_class, estimate_s), MIN_TASK_S)
        options: list[MachineOption] = []
        for machine_type in self._cluster.catalog.values():
            slots = slots_per_machine(spec, machine_type)
            if slots and (spec.types is None or machine_type.name in spec.types):
                finish_s = spec.image_gb / machine_type.fetch_gb_per_s + task_s
                options.append(
                    MachineOption(machine_type.name, machine_type.price, slots / task_s, finish_s)
                )
        return tuple(options) or (MachineOption(UNKNOWN_TYPE, 1.0, 1.0 / task_s, task_s),)


def _spec(job: Job) -> JobSpec:
    if job.spec is None:
        raise MissingSpecError(job.id)
    return job.spec
