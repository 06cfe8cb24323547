"""All jobs with a stored record or plan, also grouped by state for components that scan jobs."""

from collections.abc import Iterable

from ..settings import Settings
from .dependencies import DependencyGraph
from .model import ACTIVE, Job
from .records import JobRecord

# jobs by ID, in insertion order
Jobs = dict[str, Job]


class JobIndex(dict[str, Job]):
    """Every job with a known record or plan, by ID, and sets of these jobs by shard.

    Only `ClusterState` modifies it, when keys of the state service change.
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self.graph = DependencyGraph(self)
        # jobs that are neither done nor cancelled
        self.active = self._by_shard()
        # unfinished jobs all of whose tasks are durably done
        self.all_tasks_done = self._by_shard()
        # jobs cancelled because of a dependency, whose own records do not show it yet
        self.unrecorded_cancellations = self._by_shard()
        # ended jobs whose plans have not been deleted yet
        self.ended = self._by_shard()
        # ended jobs whose plans have been deleted, oldest first
        self.archivable = self._by_shard()
        # jobs of which only a plan is known
        self.without_record: Jobs = {}

    def _by_shard(self) -> dict[int, Jobs]:
        return {shard: {} for shard in range(self._settings.shard_count)}

    def get_or_add(self, job_id: str) -> Job:
        """Return the job; add it without a record if it is unknown."""
        return self.setdefault(job_id, Job(job_id))

    def apply_record(self, job: Job, record: JobRecord, version: int) -> bool:
        """Apply the job's record; return whether it is the first known record of the job."""
        job.version, job.recorded_end, job.ended_at = version, record.end, record.ended_at
        is_new = job.spec is None
        if is_new:
            self.without_record.pop(job.id, None)
            job.spec = record.spec
            job.submitted_at = record.submitted_at
            job.dependencies = record.dependencies
            job.acceptance_order = version
            job.shard = self._settings.shard_of_team(job.spec.team)
        return is_new

    def apply_end(self, job: Job, record: JobRecord, is_new: bool) -> None:
        """Apply the end in the record to the job and to its dependents."""
        if record.end != ACTIVE:
            job.end = record.end
            self.unrecorded_cancellations[job.shard].pop(job.id, None)
        cancelled = self.graph.add(job) if is_new else []
        if not is_new and record.end == ACTIVE and record.dependencies != job.dependencies:
            self.graph.remove_dependencies(job, record.dependencies)
        if record.end != ACTIVE:
            cancelled += self.graph.apply_end(job)
        self.update_sets(job)
        self._add_cancelled(cancelled)

    def _add_cancelled(self, cancelled: Iterable[Job]) -> None:
        for job in cancelled:
            self.unrecorded_cancellations[job.shard][job.id] = job
            self.update_sets(job)

    def remove_record(self, job: Job) -> None:
        """Remove the job from all sets by state; a remaining plan stays under the job's ID."""
        self.graph.remove(job)
        for jobs in (
            self.active,
            self.ended,
            self.archivable,
            self.unrecorded_cancellations,
            self.all_tasks_done,
        ):
            jobs[job.shard].pop(job.id, None)

    def keep_plan_only(self, job: Job) -> Job:
        """Replace a job whose record was deleted by one with only its plan; return the new job."""
        plan_only = Job(
            job.id,
            chunks=job.chunks,
            staged=job.staged,
            done_tasks=job.done_tasks,
            planned_tasks=job.planned_tasks,
            failed_at=job.failed_at,
            has_run=job.has_run,
        )
        self[job.id] = plan_only
        self.without_record[job.id] = plan_only
        return plan_only

    def drop_if_empty(self, job: Job) -> None:
        """Remove a job that has neither a record nor a plan."""
        if job.has_record or job.chunks or job.staged:
            return
        self.pop(job.id, None)
        self.without_record.pop(job.id, None)
        if job.has_ended:
            self.ended[job.shard].pop(job.id, None)
            self.archivable[job.shard].pop(job.id, None)

    def update_sets(self, job: Job) -> None:
        """Move the job into the sets that match its state."""
        if not job.has_record and not job.has_ended:
            return
        self.all_tasks_done[job.shard].pop(job.id, None)
        if job.end == ACTIVE:
            self.active[job.shard][job.id] = job
            if job.spec and job.spec.kind != "service" and job.done_tasks == job.spec.tasks:
                self.all_tasks_done[job.shard][job.id] = job
            return
        self.active[job.shard].pop(job.id, None)
        if job.chunks or job.staged:
            self.ended[job.shard][job.id] = job
            # a full read delivers a record before its plan, so the job may already be archivable
            self.archivable[job.shard].pop(job.id, None)
        else:
            self.ended[job.shard].pop(job.id, None)
            self.archivable[job.shard].setdefault(job.id, job)
