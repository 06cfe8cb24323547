"""Task failures: delays the retries of failing jobs, and decides which machines are faulty.

Owns the failures recorded since this process started, which are not stored: the retry backoff of
each job, and by which jobs each machine is judged. The plans record on which machines a job failed
(`Job.failed_at`), and the records of machines until when they are cordoned: these every controller
knows. The scheduling loop records outcomes; placement and machine maintenance query them.
"""

import logging

from ..cluster.cluster_state import ClusterState
from ..cluster.model import CANCELLED, JOB_AT_FAULT_MACHINES, SUSPECT_MACHINES, Job, Machine
from ..net.clock import Clock
from ..settings import Settings
from ..workers.attempt_outcomes import AttemptOutcome, EndReason
from .context import SchedulingContext

log = logging.getLogger(__name__)

# a machine is faulty if this many jobs failed on it lately that are not the cause themselves
FAULTY_MACHINE_JOBS = 2
# the value of `Machine.cordoned_until` that ends a cordon
NOT_CORDONED = 0.0
# bounds the exponent of the retry backoff
MAX_BACKOFF_DOUBLINGS = 8


class JobFailures:
    """The failures of a job since this process started, and the delay of its retry."""

    __slots__ = ("failure_count", "machines", "not_before")

    def __init__(self) -> None:
        self.failure_count = 0
        # IDs of the machines where the job failed; the plan records the last ones a round later
        self.machines: set[str] = set()
        # the earliest time for placing the job's next task, in seconds on the controller's clock
        self.not_before = 0.0


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

    def is_faulty(self, machine_id: str) -> bool:
        """Return whether enough jobs failed on the machine to consider the machine faulty.

        The judgement ends when the failures are older than `failure_memory_s`, when a task succeeds
        on the machine, or when its jobs turn out to be the cause.
        """
        failed_at = self._by_machine.get(machine_id)
        return failed_at is not None and len(self._blaming_jobs(failed_at)) >= FAULTY_MACHINE_JOBS

    def is_unusable(self, machine: Machine) -> bool:
        """Return whether the machine is faulty, as this owner judges or an earlier one recorded."""
        # the record is checked first for any cordon, as this is called for each machine and round
        if machine.cordoned_until and machine.is_cordoned(self._clock.wall_time()):
            return True
        return self.is_faulty(machine.id)

    def _blaming_jobs(self, failed_at: dict[str, float]) -> list[str]:
        """Return the jobs whose failures count against the machine."""
        since = self._clock.now() - self._settings.failure_memory_s
        return [job_id for job_id, at in failed_at.items() if at > since and self._blames(job_id)]

    def _blames(self, job_id: str) -> bool:
        """Return whether the job's failures count against the machines where they occurred.

        Users cancel jobs that were submitted with a mistake. A cancelled job of which no task ever
        succeeded is therefore taken for the cause of its failures.
        """
        job = self._cluster.jobs.get(job_id)
        since = self._clock.wall_time() - self._settings.failure_memory_s
        if job is None or not job.blames_machines(since) or self._is_at_fault(job):
            return False
        return job.end != CANCELLED or job.has_succeeded

    def _is_at_fault(self, job: Job) -> bool:
        """Return whether the job is at fault, with the failures that its plan does not show yet."""
        return not job.has_succeeded and len(self._failed_on(job)) >= JOB_AT_FAULT_MACHINES

    def _failed_on(self, job: Job) -> set[str]:
        entry = self._by_job.get(job.id)
        return {*job.failed_at, *(entry.machines if entry is not None else ())}

    def record(self, job: Job, outcome: AttemptOutcome) -> None:
        """Record that an attempt of the job has ended."""
        entry = self._by_job.setdefault(job.id, JobFailures())
        if outcome.reason == EndReason.DONE:
            self._by_machine.pop(outcome.attempt.machine, None)
        elif outcome.reason.is_failure:
            self._record_failure(job, entry, outcome)

    def _record_failure(self, job: Job, entry: JobFailures, outcome: AttemptOutcome) -> None:
        machine = outcome.attempt.machine
        was_faulty, machines_before = self.is_faulty(machine), len(self._failed_on(job))
        entry.failure_count += 1
        entry.machines.add(machine)
        self._by_machine.setdefault(machine, {})[job.id] = self._clock.now()
        machine_count = len(self._failed_on(job))
        # a job that fails on several machines is probably the cause itself: it is retried with
        # exponential backoff
        if machine_count >= SUSPECT_MACHINES or outcome.reason == EndReason.TASK_UNKNOWN:
            entry.not_before = self._clock.now() + self._backoff_s(entry)
        is_suspect = machine_count >= SUSPECT_MACHINES and not job.has_succeeded
        if is_suspect and machine_count > machines_before:
            log.info("job suspected job=%s machines=%d", job.id, machine_count)
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


class MachineCordon:
    """The decision when to cordon a faulty machine, and when to end a cordon before its time.

    A cordon is a time in the machine's record until which no task is placed on the machine and no
    forecast counts its room. Machine maintenance writes the changes. The object owns the IDs of the
    machines that this process has cordoned.
    """

    def __init__(self, context: SchedulingContext, failures: TaskFailures) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._failures = failures
        self._cordoned: set[str] = set()

    def change(self, machine: Machine) -> float | None:
        """Return the wall-clock time until which to cordon the machine; None for no change.

        A cordon ends by itself. It is ended before only by the process that wrote it: another owner
        does not know by which failures the machine was judged.
        """
        is_faulty = self._failures.is_faulty(machine.id)
        if not is_faulty and machine.id not in self._cordoned:
            return None
        wall_time = self._clock.wall_time()
        is_cordoned = machine.is_cordoned(wall_time)
        if is_faulty:
            return None if is_cordoned else self._begin(machine, wall_time)
        self._cordoned.discard(machine.id)
        if not is_cordoned:
            return None
        log.info("machine uncordoned machine=%s", machine.id)
        return NOT_CORDONED

    def _begin(self, machine: Machine, wall_time: float) -> float:
        log.info("machine cordoned machine=%s tasks=%d", machine.id, len(machine.attempts))
        self._cordoned &= self._cluster.machines.keys()
        self._cordoned.add(machine.id)
        return wall_time + self._settings.failure_memory_s
