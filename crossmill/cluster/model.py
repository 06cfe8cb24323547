"""Jobs, plans, machines and shards as the stored records describe them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..wire.users import JobSpec


class JobEnd(StrEnum):
    """Whether and how a job has ended, as it is spelled in stored records."""

    ACTIVE = ""
    DONE = "done"
    CANCELLED = "cancelled"

    @classmethod
    def _missing_(cls, value: object) -> "JobEnd":
        """Reads an end that a later version may have written: the job has ended, somehow."""
        end = str.__new__(cls, value)
        end._name_ = "OTHER"
        end._value_ = str(value)
        return end


# short names of the ends, which are compared in many places
ACTIVE, DONE, CANCELLED = JobEnd.ACTIVE, JobEnd.DONE, JobEnd.CANCELLED


class AttemptId(NamedTuple):
    """The identity of an attempt: its job, its task and its number among the task's attempts."""

    job: str
    task_index: int
    number: int


@dataclass(slots=True)
class PlannedAttempt:
    """An attempt of a task that a durable plan puts on a machine.

    It may or may not run there: it uses the machine's capacity until it is proved to have ended.
    `session` is the worker's session that it was planned for.
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
    """The plan of consecutive tasks of a job, from the index `first` on.

    `done` is a bitmap of the tasks that are done, `next` is the next attempt number, and `attempts`
    are the planned ones by task index.
    """

    next_attempt_number: int = 1
    done_bitmap: int = 0
    attempts: dict[int, PlannedAttempt] = field(default_factory=dict)
    version: int = 0
    first_task: int = 0


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job.

    `end` is what every controller derives from all stored records; `recorded` is what the job's own
    record says, which follows later if the end was derived from another job's.
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
    # the jobs that were not done when this one was accepted, and those that are not done yet
    dependencies: tuple[str, ...] = ()
    unmet_dependencies: set[str] = field(default_factory=set)
    # when the last job that it depends on was done, or when it was submitted (wall clock)
    ready_at: float = 0.0
    chunks: dict[str, PlanChunk] = field(default_factory=dict)
    # segments copied from a legacy chunk, in force once that chunk is deleted
    staged: dict[str, PlanChunk] = field(default_factory=dict)
    # sums over all chunks, kept up to date because each scheduling round reads them for all jobs
    done_tasks: int = 0
    planned_tasks: int = 0

    @property
    def has_record(self) -> bool:
        """Whether the job's record is known.

        Nothing can be concluded about a job without one: neither that it is to run nor that it has
        ended.
        """
        return self.spec is not None

    @property
    def is_active(self) -> bool:
        """Whether the job is known, and neither done nor cancelled."""
        return self.has_record and self.end == ACTIVE

    @property
    def has_ended(self) -> bool:
        """Whether the job is done or cancelled, by its record or, without one, by the archive."""
        return self.end != ACTIVE

    @property
    def is_blocked(self) -> bool:
        """Whether a job that this one depends on is not done."""
        return bool(self.unmet_dependencies)

    def done_task_count(self) -> int:
        """How many tasks are done."""
        if self.end == DONE:
            return self.spec.tasks if self.spec else 0
        return self.done_tasks

    def planned_task_count(self) -> int:
        """How many tasks are planned onto machines."""
        return self.planned_tasks

    def attempts(self) -> Iterator[PlannedAttempt]:
        """All planned attempts."""
        for chunk in self.chunks.values():
            yield from chunk.attempts.values()

    def waiting_task_count(self) -> int:
        """How many tasks wait for capacity; none while the job is blocked by its dependencies."""
        if self.spec is None or self.end != ACTIVE or self.unmet_dependencies:
            return 0
        return self.spec.tasks - self.done_task_count() - self.planned_task_count()


@dataclass(slots=True, eq=False)
class Machine:
    """A rented machine, its stored record, and the attempts planned onto it with their usage.

    `rented` is on the wall clock; `retiring` is the reason why the machine is to be released, or
    empty; `up` is set once it has sent a heartbeat.
    """

    id: str
    type: str
    zone: str
    spot: bool
    shard: int
    rented_at: float
    retirement_reason: str
    is_up: bool
    # a machine that came from another shard has a token of its own, which is higher than any that
    # its worker can have seen and than that of any command still on its way
    token: int = 0
    version: int = 0
    # seconds from the rental to the first heartbeat that the shard's owner saw; None: not known
    boot_s: float | None = None
    used_cpus: float = 0.0
    used_gpus: float = 0.0
    used_memory_gb: float = 0.0
    attempts: dict[tuple[str, int], PlannedAttempt] = field(default_factory=dict)
    # images expected in its cache with their sizes in GB, the most recently used last
    images: dict[str, float] = field(default_factory=dict)
    # counts changes of its usage and its images, so that others can cache what they derive
    change_count: int = 0


class ShardAssignment(NamedTuple):
    """The shard that a machine is moved to, and its new fencing token."""

    shard: int
    token: int


class OwnershipRecord(NamedTuple):
    """Which controller owns a shard, and under which fencing token."""

    owner: str
    token: int
    version: int


class ControllerRecord(NamedTuple):
    """What a controller announces about itself under its lease.

    `seen_note` is the version of the newest cancellation note that it has read.
    """

    lease_id: int | None
    is_unreachable_by_workers: bool = False
    seen_note: int = 0


class Level(NamedTuple):
    """The raised feature level, with the sizes of chunks that stored plans have from then on."""

    number: int
    legacy_tasks: int
    segment_tasks: int


class CancellationNote(NamedTuple):
    """The note that a job is to be cancelled: its key's version and its time (wall clock)."""

    version: int
    written_at: float
