"""Each job's place in the queue, as a stage of its pipeline.

Budgets are kept until something of the pipeline changes: a stage is added, done, cancelled or
late. They are counted from the durable time of the last change, so that every controller that has
a stage of the pipeline works out the same.
"""

from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.model import ACTIVE, Job
from ..net.clock import Clock
from ..planning.demand import slots_on
from ..planning.estimates import Estimates
from ..planning.pipelines import PipelineStage, StagePlan, plan_pipeline
from ..planning.queue import PRIORITY, budget_end
from ..planning.split import MachineOption
from ..settings import Settings
from ..wire.users import JobSpec

# a replica runs until it is cancelled; its stage is over as soon as it has begun
REPLICA_S = 1.0
# the option of a stage whose allowed types are not in the catalog now
UNKNOWN_TYPE = "unknown"


class QueuePlace(NamedTuple):
    """Where a job stands in the queue: by priority (0 is the highest), then by budget end."""

    priority: int
    budget_end: float
    has_deadline: bool


class _Planned(NamedTuple):
    """A pipeline's plan, when it was made, and who is in it."""

    stages: dict[str, StagePlan]
    planned_at: float


class PipelineBudgets:
    """Plans pipelines when they change, and answers for single jobs directly."""

    def __init__(
        self, settings: Settings, clock: Clock, cluster: ClusterState, estimates: Estimates
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._estimates = estimates
        self._plans: dict[str, _Planned] = {}

    def place(self, job: Job) -> QueuePlace:
        """Where the job stands now."""
        if self._cluster.jobs.graph.is_single(job):
            return self._single(job)
        self._drop_changed()
        plan = self._plans.get(job.id)
        if plan is None or self._is_late(job, plan):
            members = self._members(job)
            if len(members) == 1:
                return self._single(job)
            plan = self._plan(members)
        stage = plan.stages[job.id]
        if stage.budget_end is None:
            return QueuePlace(
                stage.priority, job.ready_at + self._settings.default_queue_wait_s, False
            )
        return QueuePlace(stage.priority, stage.budget_end, True)

    def priority(self, job: Job) -> int:
        """The job's own priority, or a higher one of an unfinished job that needs it."""
        if job.spec is not None and self._cluster.jobs.graph.is_single(job):
            return PRIORITY[job.spec.priority]
        return self.place(job).priority

    def _drop_changed(self) -> None:
        changed = self._cluster.jobs.graph.take_changed()
        while changed:
            plan = self._plans.pop(changed.pop(), None)
            if plan is not None:
                for name in plan.stages:
                    self._plans.pop(name, None)

    def _is_late(self, job: Job, plan: _Planned) -> bool:
        """A stage past its budget is planned anew, at most once in a replanning interval."""
        end = plan.stages[job.id].budget_end
        now = self._clock.wall()
        return (
            end is not None
            and now > end
            and now - plan.planned_at > self._settings.replan_interval_s
        )

    def _single(self, job: Job) -> QueuePlace:
        spec = job.spec
        assert spec is not None
        margin_s = self._estimates.margin_s(spec.job_class, spec.estimate_s)
        end = budget_end(
            spec, job.submitted, job.ready_at, margin_s, self._settings.default_queue_wait_s
        )
        return QueuePlace(PRIORITY[spec.priority], end, spec.deadline_s is not None)

    def _members(self, job: Job) -> dict[str, Job]:
        """The unfinished jobs that are joined to this one."""
        graph = self._cluster.jobs.graph
        members = {job.id: job}
        pending = [job]
        while pending:
            current = pending.pop()
            for other in (
                *graph.unfinished_dependencies(current),
                *graph.unfinished_dependents(current.id),
            ):
                if other.id not in members and other.end == ACTIVE:
                    members[other.id] = other
                    pending.append(other)
        return members

    def _plan(self, members: dict[str, Job]) -> _Planned:
        # durable times only, and for late stages the interval that has begun
        base = max(job.ready_at for job in members.values())
        wall = self._clock.wall()
        last_interval = wall - wall % self._settings.replan_interval_s
        stages = {name: self._stage(job) for name, job in members.items()}
        planned = plan_pipeline(stages, base)
        if any(p.budget_end is not None and wall > p.budget_end for p in planned.values()):
            planned = plan_pipeline(stages, max(base, last_interval))
        result = _Planned(planned, wall)
        for name in members:
            self._plans[name] = result
        return result

    def _stage(self, job: Job) -> PipelineStage:
        spec = job.spec
        assert spec is not None
        deadline = None if spec.deadline_s is None else job.submitted + spec.deadline_s
        return PipelineStage(
            job.id,
            PRIORITY[spec.priority],
            spec.tasks,
            self._options(spec),
            self._estimates.margin_s(spec.job_class, spec.estimate_s),
            tuple(before.id for before in self._cluster.jobs.graph.unfinished_dependencies(job)),
            deadline,
        )

    def _options(self, spec: JobSpec) -> tuple[MachineOption, ...]:
        """The machine types that the stage may use: the image's fetch and one task's run."""
        estimate_s = spec.estimate_s if spec.kind == "array" else REPLICA_S
        task_s = max(self._estimates.task_s(spec.job_class, estimate_s), 1e-3)
        options: list[MachineOption] = []
        for kind in self._cluster.catalog.values():
            slots = slots_on(spec, kind)
            if slots and (spec.types is None or kind.name in spec.types):
                finish_s = spec.image_gb / kind.fetch_gb_per_s + task_s
                options.append(MachineOption(kind.name, kind.price, slots / task_s, finish_s))
        return tuple(options) or (MachineOption(UNKNOWN_TYPE, 1.0, 1.0 / task_s, task_s),)
