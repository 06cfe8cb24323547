"""Jobs, plans, machines and shards as the stored records describe them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..wire.users import JobSpec


class JobEnd(StrEnum):
    """Whether and how a job has ended, spelled as in stored records."""

    ACTIVE = ""
    DONE = "done"
    CANCELLED = "cancelled"

    @classmethod
    def _missing_(cls, value: object) -> "JobEnd":
        """Read an end that only a later version knows: the job has ended, in an unknown way."""
        end = str.__new__(cls, value)
        end._name_ = "OTHER"
        end._value_ = str(value)
        return end


# a job that failed on this many machines is suspected to be the cause of its failures
SUSPECT_MACHINES = 2
# a job that failed on this many machines and never succeeded is considered the cause
JOB_AT_FAULT_MACHINES = 3
NO_MACHINES: frozenset[str] = frozenset()

# aliases, because the ends are compared in many places
ACTIVE, DONE, CANCELLED = JobEnd.ACTIVE, JobEnd.DONE, JobEnd.CANCELLED


class AttemptId(NamedTuple):
    """The identity of an attempt: its job, its task and its number among the task's attempts."""

    job: str
    task_index: int
    number: int


@dataclass(slots=True)
class PlannedAttempt:
    """An attempt of a task that a durable plan assigns to a machine.

    The attempt may or may not be running there: it uses the machine's capacity until it is proved
    to have ended. `session` is the worker session that the attempt was planned for.
    """

    job: str
    index: int
    number: int
    machine: str
    session: int

    @property
    def id(self) -> AttemptId:
        """The attempt's identity."""
        return AttemptId(self.job, self.index, self.number)


@dataclass(slots=True)
class PlanChunk:
    """The plan of consecutive tasks of a job, starting at the index `first_task`.

    `done_bitmap` has a bit for each task that is done, and `attempts` holds the planned attempts
    by task index. `failed_at` holds the wall-clock time of the last failure of a task on each
    machine, by machine ID, for the machines where tasks failed last. `has_run` is set if the job
    failed and an attempt has nevertheless run for long.
    """

    next_attempt_number: int = 1
    done_bitmap: int = 0
    attempts: dict[int, PlannedAttempt] = field(default_factory=dict)
    version: int = 0
    first_task: int = 0
    failed_at: dict[str, float] = field(default_factory=dict)
    has_run: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job.

    `end` is the end that every controller derives from all stored records. `recorded_end` is the
    end in the job's own record, which is written later if `end` was derived from another job's.
    """

    id: str
    version: int = 0
    end: JobEnd = ACTIVE
    recorded_end: JobEnd = ACTIVE
    spec: JobSpec | None = None
    submitted_at: float = 0.0
    ended_at: float = 0.0
    acceptance_order: int = 0
    shard: int = -1
    # IDs of the dependencies that were not done at acceptance, and of those that are still not done
    dependencies: tuple[str, ...] = ()
    unmet_dependencies: set[str] = field(default_factory=set)
    # wall-clock time at which the last dependency was done, or at which the job was submitted
    ready_at: float = 0.0
    chunks: dict[str, PlanChunk] = field(default_factory=dict)
    # segments copied from a legacy chunk, by name; they take effect when that chunk is deleted
    staged: dict[str, PlanChunk] = field(default_factory=dict)
    # totals over all chunks, kept up to date because each scheduling round reads them for all jobs
    done_tasks: int = 0
    planned_tasks: int = 0
    # wall-clock times of the last failure on each machine over all chunks, by machine ID
    failed_at: dict[str, float] = field(default_factory=dict)
    # whether an attempt of the job has run for long although others failed
    has_run: bool = False

    @property
    def has_record(self) -> bool:
        """Whether the job's record is known.

        Without a record, it is unknown whether the job is to run and whether it has ended.
        """
        return self.spec is not None

    @property
    def is_active(self) -> bool:
        """Whether the job has a record and is neither done nor cancelled."""
        return self.has_record and self.end == ACTIVE

    @property
    def has_ended(self) -> bool:
        """Whether the job is done or cancelled, by its record or, without one, by the archive."""
        return self.end != ACTIVE

    @property
    def is_blocked(self) -> bool:
        """Whether any dependency of the job is not done."""
        return bool(self.unmet_dependencies)

    def done_task_count(self) -> int:
        """Return the number of tasks that are done."""
        if self.end == DONE:
            return self.spec.tasks if self.spec else 0
        return self.done_tasks

    def planned_task_count(self) -> int:
        """Return the number of tasks that are planned onto machines."""
        return self.planned_tasks

    def attempts(self) -> Iterator[PlannedAttempt]:
        """Yield all planned attempts."""
        for chunk in self.chunks.values():
            yield from chunk.attempts.values()

    def waiting_task_count(self) -> int:
        """Return the number of tasks that wait for capacity; 0 while dependencies block the job."""
        if self.spec is None or self.end != ACTIVE or self.unmet_dependencies:
            return 0
        return self.spec.tasks - self.done_task_count() - self.planned_task_count()

    @property
    def has_succeeded(self) -> bool:
        """Whether any task is done or has run for long, which shows that the job can run."""
        return self.has_run or self.done_task_count() > 0

    @property
    def is_suspect(self) -> bool:
        """Whether the job itself may be the cause of its failures."""
        return len(self.failed_at) >= SUSPECT_MACHINES and not self.has_succeeded

    @property
    def is_at_fault(self) -> bool:
        """Whether the job is considered the cause of its failures, wherever it fails."""
        return len(self.failed_at) >= JOB_AT_FAULT_MACHINES and not self.has_succeeded

    def blames_machines(self, since: float) -> bool:
        """Return whether the job's failures count against the machines where they occurred.

        A job that has run for long, but of which no task is done, may still be the cause: it blames
        no machine if it failed on several after the wall-clock time `since`.
        """
        if self.done_task_count() > 0:
            return True
        times = self.failed_at.values()
        machines = sum(at > since for at in times) if self.has_run else len(times)
        return machines < JOB_AT_FAULT_MACHINES

    def avoided_machines(self, since: float) -> frozenset[str]:
        """Return the IDs of the machines where the job failed after the wall-clock time `since`.

        A job at fault would avoid one machine after the other, so it avoids none.
        """
        if not self.failed_at or self.is_at_fault:
            return NO_MACHINES
        return frozenset(machine_id for machine_id, at in self.failed_at.items() if at > since)

    def placeable_task_count(self) -> int:
        """Return how many waiting tasks may be placed now, as far as the job's failures decide.

        Of a job that may itself be the cause, one task is tried at a time; a gang, whose tasks
        start together, is tried as a whole.
        """
        tasks = self.waiting_task_count()
        if not self.failed_at or not self.is_suspect:
            return tasks
        if self.planned_task_count() > 0:
            return 0
        return tasks if self.spec is not None and self.spec.is_gang else min(tasks, 1)


class Resources(NamedTuple):
    """An amount of CPUs, GPUs and memory in GB that tasks need, or that a machine has or lends."""

    cpus: float
    gpus: float
    memory_gb: float

    def add(self, other: "Resources") -> "Resources":
        """Return the sum of the two amounts."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Return the difference of the two amounts, which may be negative."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def can_fit(self, other: "Resources") -> bool:
        """Return whether the other amount fits into this one."""
        return (
            self.cpus >= other.cpus
            and self.gpus >= other.gpus
            and self.memory_gb >= other.memory_gb
        )


NO_RESOURCES = Resources(0.0, 0.0, 0.0)


class CapacityLoan(NamedTuple):
    """Resources of a machine on which another shard's owner may plan tasks of its own jobs.

    The machine's own owner sends all commands, whoever planned the tasks. `resources` is the total
    for the borrowing shard's tasks, including those already planned on the machine. A loan without
    resources is closed: nothing new is planned under it, and it remains until the machine has no
    task of the borrowing shard. `session` is the worker session for which tasks are planned.
    """

    shard: int
    session: int
    resources: Resources

    @property
    def is_closed(self) -> bool:
        """Whether nothing may be planned under the loan any more."""
        return self.resources == NO_RESOURCES

    def closed(self) -> "CapacityLoan":
        """Return the loan without resources."""
        return self._replace(resources=NO_RESOURCES)

    def grants_less_than(self, other: "CapacityLoan") -> bool:
        """Return whether the loan grants less than the other one, or something else."""
        if (self.shard, self.session) != (other.shard, other.session):
            return True
        return not self.resources.can_fit(other.resources)


@dataclass(slots=True, eq=False)
class Machine:
    """A rented machine: its stored record, the attempts planned onto it and their usage.

    `rented_at` is in wall-clock time. `retirement_reason` is the reason why the machine is to be
    released, or empty. `is_up` is set once the machine has sent a heartbeat. Until the wall-clock
    time `cordoned_until` the machine counts as faulty and gets no tasks.
    """

    id: str
    type: str
    zone: str
    spot: bool
    shard: int
    rented_at: float
    retirement_reason: str
    is_up: bool
    # a machine transferred from another shard gets a token higher than any that its worker can have
    # seen, and than the token of any command still in flight
    token: int = 0
    version: int = 0
    # seconds from the rental to the first heartbeat that the shard's owner received, if known
    boot_s: float | None = None
    cordoned_until: float = 0.0
    # resources lent to other shards, and the version of the record that last reduced a loan
    loans: tuple[CapacityLoan, ...] = ()
    loan_reduced_at: int = 0
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory_gb: float = 0.0
    attempts: dict[tuple[str, int], PlannedAttempt] = field(default_factory=dict)
    # sizes in GB of the images expected in the machine's cache, by image; most recently used last
    images: dict[str, float] = field(default_factory=dict)
    # the number of changes of usage and images, used to invalidate values cached elsewhere
    change_count: int = 0

    def loan_to(self, shard: int) -> CapacityLoan | None:
        """Return the machine's loan to the shard, or None."""
        for loan in self.loans:
            if loan.shard == shard:
                return loan
        return None

    def is_cordoned(self, wall_time: float) -> bool:
        """Return whether the machine counts as faulty, so that no task may be placed on it."""
        return self.cordoned_until > wall_time


class ShardAssignment(NamedTuple):
    """The shard that a machine is transferred to, and the machine's new fencing token."""

    shard: int
    token: int


class OwnershipRecord(NamedTuple):
    """A shard's owner and fencing token, and the version of the shard's key."""

    owner: str
    token: int
    version: int


class ControllerRecord(NamedTuple):
    """The status that a controller publishes under its lease.

    `newest_read_note` is the version of the newest cancellation note that the controller has read.
    """

    lease_id: int | None
    is_unreachable_by_workers: bool = False
    newest_read_note: int = 0


class Level(NamedTuple):
    """The raised feature level, with the sizes in tasks of stored plan chunks from then on."""

    number: int
    legacy_tasks: int
    segment_tasks: int


class FeatureNote(NamedTuple):
    """A controller's note of the highest feature level it supports, and its key's version."""

    level: int
    version: int


class CancellationNote(NamedTuple):
    """The note that a job is to be cancelled: the version of its key and its wall-clock time."""

    version: int
    written_at: float
