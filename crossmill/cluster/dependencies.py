"""Which jobs wait for which, and what follows from a job's end for those after it.

A job starts only when all that it needs is durably done, so one that needs an unfinished job has
never started: as soon as a cancellation is durable, every controller derives from the same
records that all jobs after it are cancelled. Nothing is written for that to hold.
"""

from collections.abc import Iterator, Mapping

from .model import ACTIVE, CANCELLED, DONE, Job


class DependencyGraph:
    """The edges between jobs at hand. It alone sets what a job derives from those before it:
    `unmet`, `ready_at` and a derived `end`.
    """

    def __init__(self, jobs: Mapping[str, Job]) -> None:
        self._jobs = jobs
        self._dependents: dict[str, dict[str, None]] = {}
        # jobs whose place in their pipeline may have changed, until somebody takes them
        self.changed: set[str] = set()

    def add(self, job: Job) -> list[Job]:
        """A job was accepted; returns the jobs that are cancelled by what is known."""
        job.ready_at = job.submitted
        if not job.dependencies or job.end != ACTIVE:
            return []
        job.unmet_dependencies = set(job.dependencies)
        for dependency in job.dependencies:
            self._dependents.setdefault(dependency, {})[job.id] = None
        self.changed.update((job.id, *job.dependencies))
        cancelled = False
        for dependency in job.dependencies:
            before = self._jobs.get(dependency)
            if before is None or before.spec is None:
                continue
            if before.end == DONE:
                self._met(job, before)
            cancelled = cancelled or before.end == CANCELLED
        return self._cancel(job) if cancelled else []

    def reduce(self, job: Job, dependencies: tuple[str, ...]) -> None:
        """The job's record was written anew, and names only these any more."""
        for dependency in set(job.dependencies) - set(dependencies):
            job.unmet_dependencies.discard(dependency)
            self._drop_edge(dependency, job)
        job.dependencies = dependencies
        self.changed.add(job.id)

    def ended(self, job: Job) -> list[Job]:
        """The job's end is durable; returns the jobs after it that are cancelled by it."""
        cancelled: list[Job] = []
        for dependent in self.dependents(job.id):
            self.changed.add(dependent.id)
            if job.end == DONE:
                self._met(dependent, job)
            elif dependent.end == ACTIVE:
                cancelled += self._cancel(dependent)
        self.changed.update((job.id, *job.unmet_dependencies))
        return cancelled

    def remove(self, job: Job) -> None:
        """The job's record is gone: it was archived."""
        for dependency in job.dependencies:
            self._drop_edge(dependency, job)
        self.changed.discard(job.id)

    def _drop_edge(self, dependency: str, job: Job) -> None:
        known = self._dependents.get(dependency)
        if known is not None:
            known.pop(job.id, None)
            if not known:
                del self._dependents[dependency]

    def dependents(self, job_id: str) -> Iterator[Job]:
        """The jobs at hand that name this one directly."""
        for name in self._dependents.get(job_id, ()):
            job = self._jobs.get(name)
            if job is not None:
                yield job

    def unfinished_dependents(self, job_id: str) -> Iterator[Job]:
        """Those of them that are neither done nor cancelled."""
        return (job for job in self.dependents(job_id) if job.end == ACTIVE)

    def unfinished_dependencies(self, job: Job) -> Iterator[Job]:
        """The jobs at hand that this one still waits for."""
        for name in job.unmet_dependencies:
            before = self._jobs.get(name)
            if before is not None and before.spec is not None:
                yield before

    def is_single(self, job: Job) -> bool:
        """Whether no other job bears on this one's place: it waits for none, and none names it."""
        return not job.unmet_dependencies and job.id not in self._dependents

    def is_depended_on(self, job_id: str) -> bool:
        """Whether a job's record, still called unfinished, rests on this one's."""
        return any(job.recorded == ACTIVE for job in self.dependents(job_id))

    def _met(self, job: Job, before: Job) -> None:
        job.unmet_dependencies.discard(before.id)
        job.ready_at = max(job.ready_at, before.ended_at)

    def _cancel(self, job: Job) -> list[Job]:
        """The job and all after it, whatever their number and depth."""
        cancelled: list[Job] = []
        pending = [job]
        while pending:
            current = pending.pop()
            if current.end != ACTIVE:
                continue
            current.end = CANCELLED
            self.changed.update((current.id, *current.unmet_dependencies))
            cancelled.append(current)
            pending.extend(self.dependents(current.id))
        return cancelled
