"""Dependencies between jobs, and the effect of a job's end on its dependents.

A job starts only when all its dependencies are durably done, so a job with an unfinished dependency
has never started. As soon as a cancellation is durable, every controller derives from the same
records that all direct and indirect dependents are cancelled too, without any further write.
"""

from collections.abc import Iterator, Mapping

from .model import ACTIVE, CANCELLED, DONE, Job


class DependencyGraph:
    """The dependencies between known jobs.

    Only this class sets the fields of a job that are derived from its dependencies:
    `unmet_dependencies`, `ready_at` and an `end` that is not in the job's own record. `JobIndex`
    notifies it of each change of a record.
    """

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        self._dependents: dict[str, dict[str, None]] = {}
        # IDs of jobs whose pipeline position may have changed since the last call of take_changed
        self._changed: set[str] = set()

    def add(self, job: Job) -> list[Job]:
        """Add an accepted job; return the job and its dependents if a dependency is cancelled."""
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
        """Remove all dependencies except `remaining`, as the job's rewritten record lists them."""
        for dependency in set(job.dependencies) - set(remaining):
            job.unmet_dependencies.discard(dependency)
            self._remove_edge(dependency, job)
        job.dependencies = remaining
        self._changed.add(job.id)

    def apply_end(self, job: Job) -> list[Job]:
        """Apply a job's durable end; return the jobs that are cancelled by it."""
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
        """Remove an archived job, whose record was deleted."""
        for dependency in job.dependencies:
            self._remove_edge(dependency, job)
        self._changed.discard(job.id)

    def _remove_edge(self, dependency: str, job: Job) -> None:
        dependents = self._dependents.get(dependency)
        if dependents is not None:
            dependents.pop(job.id, None)
            if not dependents:
                del self._dependents[dependency]

    def take_changed(self) -> set[str]:
        """Return and clear the IDs of jobs whose pipeline position may have changed."""
        changed, self._changed = self._changed, set()
        return changed

    def dependents(self, job_id: str) -> Iterator[Job]:
        """Yield the known direct dependents of a job."""
        for name in self._dependents.get(job_id, ()):
            job = self._jobs.get(name)
            if job is not None:
                yield job

    def unfinished_dependents(self, job_id: str) -> Iterator[Job]:
        """Return an iterator over the direct dependents that are neither done nor cancelled."""
        return (job for job in self.dependents(job_id) if job.end == ACTIVE)

    def unfinished_dependencies(self, job: Job) -> Iterator[Job]:
        """Yield the known jobs that a job still waits for."""
        for name in job.unmet_dependencies:
            required = self._jobs.get(name)
            if required is not None and required.spec is not None:
                yield required

    def is_standalone(self, job: Job) -> bool:
        """Return whether the job is in no pipeline: it waits for no job and has no dependents."""
        return not job.unmet_dependencies and job.id not in self._dependents

    def is_depended_on(self, job_id: str) -> bool:
        """Return whether a job that is unfinished by its own record depends on this one."""
        return any(job.recorded_end == ACTIVE for job in self.dependents(job_id))

    def _mark_met(self, job: Job, required: Job) -> None:
        job.unmet_dependencies.discard(required.id)
        job.ready_at = max(job.ready_at, required.ended_at)

    def _cancel(self, job: Job) -> list[Job]:
        """Cancel the job and all its direct and indirect dependents; return the cancelled jobs.

        The traversal is iterative, because chains may exceed the recursion limit.
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
