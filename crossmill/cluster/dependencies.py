"""Dependencies between jobs, and what a job's end means for the jobs that depend on it.

A job starts only when all its dependencies are durably done, so a job with an unfinished dependency
has never started: as soon as a cancellation is durable, every controller derives from the same
records that all jobs that depend on it, directly or not, are cancelled too. Nothing has to be
written for that.
"""

from collections.abc import Iterator, Mapping

from .model import ACTIVE, CANCELLED, DONE, Job


class DependencyGraph:
    """The dependencies between known jobs.

    It alone sets what a job derives from its dependencies: `unmet_dependencies`, `ready_at` and an
    `end` that is not in the job's own record. `JobIndex` tells it of each change of a record.
    """

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        self._dependents: dict[str, dict[str, None]] = {}
        # jobs whose position in their pipeline may have changed since they were last taken
        self._changed: set[str] = set()

    def add(self, job: Job) -> list[Job]:
        """Adds an accepted job; returns the jobs that are cancelled by what is known, if any."""
        job.ready_at = job.submitted_at
        if not job.dependencies or job.end != ACTIVE:
            return []
        job.unmet_dependencies = set(job.dependencies)
        for dependency in job.dependencies:
            self._dependents.setdefault(dependency, {})[job.id] = None
        self._changed.update((job.id, *job.dependencies))
        is_cancelled = False
        for dependency in job.dependencies:
            required = self._jobs.get(dependency)
            if required is None or required.spec is None:
                continue
            if required.end == DONE:
                self._mark_met(job, required)
            is_cancelled = is_cancelled or required.end == CANCELLED
        return self._cancel(job) if is_cancelled else []

    def remove_dependencies(self, job: Job, remaining: tuple[str, ...]) -> None:
        """Removes all dependencies but these: the job's record was rewritten with them."""
        for dependency in set(job.dependencies) - set(remaining):
            job.unmet_dependencies.discard(dependency)
            self._remove_edge(dependency, job)
        job.dependencies = remaining
        self._changed.add(job.id)

    def apply_end(self, job: Job) -> list[Job]:
        """Applies a job's durable end; returns the jobs that are cancelled by it."""
        cancelled: list[Job] = []
        for dependent in self.dependents(job.id):
            self._changed.add(dependent.id)
            if job.end == DONE:
                self._mark_met(dependent, job)
            elif dependent.end == ACTIVE:
                cancelled += self._cancel(dependent)
        self._changed.update((job.id, *job.unmet_dependencies))
        return cancelled

    def remove(self, job: Job) -> None:
        """Removes a job whose record was deleted because it was archived."""
        for dependency in job.dependencies:
            self._remove_edge(dependency, job)
        self._changed.discard(job.id)

    def _remove_edge(self, dependency: str, job: Job) -> None:
        known = self._dependents.get(dependency)
        if known is not None:
            known.pop(job.id, None)
            if not known:
                del self._dependents[dependency]

    def take_changed(self) -> set[str]:
        """Returns the jobs whose pipeline may have changed since the last call."""
        changed, self._changed = self._changed, set()
        return changed

    def dependents(self, job_id: str) -> Iterator[Job]:
        """The known jobs that depend directly on this one."""
        for name in self._dependents.get(job_id, ()):
            job = self._jobs.get(name)
            if job is not None:
                yield job

    def unfinished_dependents(self, job_id: str) -> Iterator[Job]:
        """The direct dependents that are neither done nor cancelled."""
        return (job for job in self.dependents(job_id) if job.end == ACTIVE)

    def unfinished_dependencies(self, job: Job) -> Iterator[Job]:
        """The known jobs that this one still waits for."""
        for name in job.unmet_dependencies:
            required = self._jobs.get(name)
            if required is not None and required.spec is not None:
                yield required

    def is_standalone(self, job: Job) -> bool:
        """Whether the job is part of no pipeline: it waits for no job, and none depends on it."""
        return not job.unmet_dependencies and job.id not in self._dependents

    def is_depended_on(self, job_id: str) -> bool:
        """Whether a job that its record says is unfinished depends on this one."""
        return any(job.recorded_end == ACTIVE for job in self.dependents(job_id))

    def _mark_met(self, job: Job, required: Job) -> None:
        job.unmet_dependencies.discard(required.id)
        job.ready_at = max(job.ready_at, required.ended_at)

    def _cancel(self, job: Job) -> list[Job]:
        """Cancels the job and all that depend on it, directly or not; returns them.

        Not recursive, since chains may be longer than the recursion limit.
        """
        cancelled: list[Job] = []
        pending = [job]
        while pending:
            current = pending.pop()
            if current.end != ACTIVE:
                continue
            current.end = CANCELLED
            self._changed.update((current.id, *current.unmet_dependencies))
            cancelled.append(current)
            pending.extend(self.dependents(current.id))
        return cancelled
