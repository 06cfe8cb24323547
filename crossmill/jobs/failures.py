"""Failures of tasks: which jobs are tried more rarely, and which machines are suspected."""

from dataclasses import dataclass, field

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job
from ..net.clock import Clock
from ..settings import Settings
from ..workers.attempt_outcomes import AttemptOutcome, EndReason

# failing on so many machines, a job itself is at fault, or at least suspected
SUSPECT_MACHINES = 2
FAULTY_MACHINES = 3
# so many jobs that failed on a machine, and on hardly any other, make it a faulty one
FAULTY_JOBS = 2
# doublings of the wait before a failed job is tried again
MOST_DOUBLINGS = 8


@dataclass(slots=True, eq=False)
class JobFailures:
    """A job whose tasks failed: where, and when the next may be tried."""

    machines: set[str] = field(default_factory=set)
    failures: int = 0
    succeeded: bool = False
    not_before: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether only one of its tasks is tried at a time."""
        return len(self.machines) >= SUSPECT_MACHINES and not self.succeeded


class TaskFailures:
    """What failed since this process began; forgotten with the jobs."""

    def __init__(self, settings: Settings, clock: Clock, cluster: ClusterState) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._by_job: dict[str, JobFailures] = {}
        # the jobs that failed on a machine, and on hardly any other
        self._by_machine: dict[str, set[str]] = {}

    def of(self, job_id: str) -> JobFailures | None:
        """The job's failures, if any of its tasks was over."""
        return self._by_job.get(job_id)

    def is_faulty(self, machine_id: str) -> bool:
        """Whether several jobs failed on the machine."""
        return len(self._by_machine.get(machine_id, ())) >= FAULTY_JOBS

    def record(self, job: Job, outcome: AttemptOutcome) -> None:
        """An attempt of the job is over."""
        entry = self._by_job.setdefault(job.id, JobFailures())
        machine = outcome.attempt.machine
        if outcome.reason == EndReason.DONE:
            entry.succeeded = True
            self._by_machine.pop(machine, None)
        elif outcome.reason in (EndReason.ERROR, EndReason.UNKNOWN):
            self._failed(job, entry, machine, outcome.reason == EndReason.UNKNOWN)

    def _failed(self, job: Job, entry: JobFailures, machine: str, is_unknown: bool) -> None:
        entry.failures += 1
        entry.machines.add(machine)
        # a job that fails on several machines is itself at fault, and is tried ever more
        # rarely; it says nothing against the machines
        if len(entry.machines) >= SUSPECT_MACHINES or is_unknown:
            wait_s = self._settings.heartbeat_interval_s * 2 ** min(entry.failures, MOST_DOUBLINGS)
            entry.not_before = self._clock.now() + min(wait_s, self._settings.max_retry_backoff_s)
        if len(entry.machines) < FAULTY_MACHINES or entry.succeeded:
            self._by_machine.setdefault(machine, set()).add(job.id)
        else:
            for suspected in entry.machines:
                self._by_machine.get(suspected, set()).discard(job.id)

    def forget_ended(self, shard: int) -> None:
        """Drops what is kept of the shard's jobs that are no longer unfinished."""
        active = self._cluster.jobs.active[shard]
        self._by_job = {
            job_id: entry
            for job_id, entry in self._by_job.items()
            if job_id in active
            or ((job := self._cluster.jobs.get(job_id)) is not None and job.shard != shard)
        }
