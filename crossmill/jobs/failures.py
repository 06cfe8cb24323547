"""Task failures: decides which jobs are retried with backoff and which machines are faulty.

Owns the failures recorded since this process started; they are not stored. The scheduling loop
records outcomes; placement and machine maintenance query them.
"""

import logging

from ..cluster.cluster_state import ClusterState
from ..cluster.model import CANCELLED, Job
from ..net.clock import Clock
from ..settings import Settings
from ..workers.attempt_outcomes import AttemptOutcome, EndReason

log = logging.getLogger(__name__)

# a job that failed on this many machines is suspected to be the cause of its failures
SUSPECT_MACHINES = 2
# a job that failed on this many machines and never succeeded is considered the cause
JOB_AT_FAULT_MACHINES = 3
# a machine is faulty if this many jobs failed on it lately that are not the cause themselves
FAULTY_MACHINE_JOBS = 2
# bounds the exponent of the retry backoff
MAX_BACKOFF_DOUBLINGS = 8


class JobFailures:
    """Failures of the tasks of one job."""

    __slots__ = ("failure_count", "has_succeeded", "machines", "not_before")

    def __init__(self) -> None:
        # IDs of the machines on which tasks of the job failed
        self.machines: set[str] = set()
        self.failure_count = 0
        self.has_succeeded = False
        # the earliest time for placing the job's next task, in seconds on the controller's clock
        self.not_before = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the job itself may be the cause, so that one task is tried at a time."""
        return len(self.machines) >= SUSPECT_MACHINES and not self.has_succeeded

    @property
    def is_at_fault(self) -> bool:
        """Whether the job is considered the cause, so that its failures blame no machine."""
        return len(self.machines) >= JOB_AT_FAULT_MACHINES and not self.has_succeeded


class TaskFailures:
    """Task failures by job and by machine since this process started."""

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._by_job: dict[str, JobFailures] = {}
        # times in seconds of the last failure of each job since the last success on the machine, by
        # machine ID and job ID
        self._by_machine: dict[str, dict[str, float]] = {}

    def for_job(self, job_id: str) -> JobFailures | None:
        """Return the job's failures, or None if none of its tasks has ended yet."""
        return self._by_job.get(job_id)

    def is_suspect(self, job_id: str) -> bool:
        """Return whether the job itself may be the cause of its failures."""
        entry = self._by_job.get(job_id)
        return entry is not None and entry.is_suspect

    def has_failed_on(self, job_id: str, machine_id: str) -> bool:
        """Return whether the job is not placed on the machine because a task of it failed there."""
        entry = self._by_job.get(job_id)
        return entry is not None and machine_id in entry.machines

    def is_faulty(self, machine_id: str) -> bool:
        """Return whether enough jobs failed on the machine to consider the machine faulty.

        The judgement ends when the failures are older than `failure_memory_s`, when a task succeeds
        on the machine, or when its jobs turn out to be the cause.
        """
        failed_at = self._by_machine.get(machine_id)
        return failed_at is not None and len(self._blaming_jobs(failed_at)) >= FAULTY_MACHINE_JOBS

    def _blaming_jobs(self, failed_at: dict[str, float]) -> list[str]:
        """Return the jobs whose failures count against the machine."""
        since = self._clock.now() - self._settings.failure_memory_s
        return [job_id for job_id, at in failed_at.items() if at > since and self._blames(job_id)]

    def _blames(self, job_id: str) -> bool:
        """Return whether the job's failures count against the machines where they occurred.

        Users cancel jobs that were submitted with a mistake. A cancelled job of which no task ever
        succeeded is therefore taken for the cause of its failures.
        """
        job, entry = self._cluster.jobs.get(job_id), self._by_job.get(job_id)
        if job is None or (entry is not None and entry.is_at_fault):
            return False
        return job.end != CANCELLED or (entry is not None and entry.has_succeeded)

    def record(self, job: Job, outcome: AttemptOutcome) -> None:
        """Record that an attempt of the job has ended."""
        entry = self._by_job.setdefault(job.id, JobFailures())
        machine = outcome.attempt.machine
        if outcome.reason == EndReason.DONE:
            entry.has_succeeded = True
            self._by_machine.pop(machine, None)
        elif outcome.reason in (EndReason.ERROR, EndReason.TASK_UNKNOWN):
            self._record_failure(job, entry, outcome)

    def _record_failure(self, job: Job, entry: JobFailures, outcome: AttemptOutcome) -> None:
        machine = outcome.attempt.machine
        was_suspect, was_faulty = entry.is_suspect, self.is_faulty(machine)
        entry.failure_count += 1
        entry.machines.add(machine)
        self._by_machine.setdefault(machine, {})[job.id] = self._clock.now()
        # a job that fails on several machines is probably the cause itself: it is retried with
        # exponential backoff
        if len(entry.machines) >= SUSPECT_MACHINES or outcome.reason == EndReason.TASK_UNKNOWN:
            entry.not_before = self._clock.now() + self._backoff_s(entry)
        if entry.is_suspect and not was_suspect:
            log.info("job suspected job=%s machines=%d", job.id, len(entry.machines))
        if self.is_faulty(machine) and not was_faulty:
            jobs = ",".join(sorted(self._blaming_jobs(self._by_machine[machine])))
            log.info("machine judged faulty machine=%s jobs=%s", machine, jobs)

    def _backoff_s(self, entry: JobFailures) -> float:
        factor: int = 2 ** min(entry.failure_count, MAX_BACKOFF_DOUBLINGS)
        backoff_s = self._settings.heartbeat_interval_s * factor
        return min(backoff_s, self._settings.max_retry_backoff_s)

    def forget_ended(self, shard: int) -> None:
        """Drop the failures of the shard's jobs that are no longer active, and old ones."""
        active = self._cluster.jobs.active[shard]
        self._by_job = {
            job_id: entry
            for job_id, entry in self._by_job.items()
            if job_id in active
            or ((job := self._cluster.jobs.get(job_id)) is not None and job.shard != shard)
        }
        self._forget_old()

    def _forget_old(self) -> None:
        """Drop the machines whose failures are too old to count."""
        since = self._clock.now() - self._settings.failure_memory_s
        self._by_machine = {
            machine_id: failed_at
            for machine_id, failed_at in self._by_machine.items()
            if max(failed_at.values()) > since
        }
