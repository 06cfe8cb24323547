"""Jobs, plans, machines and shards as the durable facts describe them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from ..wire.users import JobSpec

ACTIVE, DONE, CANCELLED = "", "done", "cancelled"


class AttemptId(NamedTuple):
    """What tells one attempt of a task from all others."""

    job: str
    task_index: int
    number: int


@dataclass(slots=True)
class PlannedAttempt:
    """An attempt of a task that a durable plan puts on a machine.

    It may or may not run there: it holds its place until it is proved to have ended.
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
    """A stretch of a job's tasks, `first` its lowest index: `done` is a bitmap of those that are
    done, `next` the next attempt number.
    """

    next: int = 1
    done: int = 0
    attempts: dict[int, PlannedAttempt] = field(default_factory=dict)
    version: int = 0
    first: int = 0


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job. `end` is what every controller derives from the durable facts; `recorded`
    is what the job's own record says, which follows later when the end was derived.
    """

    id: str
    version: int = 0
    end: str = ACTIVE
    recorded: str = ACTIVE
    spec: JobSpec | None = None
    submitted: float = 0.0
    ended_at: float = 0.0
    order: int = 0
    shard: int = -1
    # the jobs that had to be waited for when this one was accepted, and those not done yet
    dependencies: tuple[str, ...] = ()
    unmet_dependencies: set[str] = field(default_factory=set)
    # when the last job that it needs was done; the submission if it needs none
    ready_at: float = 0.0
    chunks: dict[str, PlanChunk] = field(default_factory=dict)
    # copies of larger chunks in smaller ones, in force once the larger chunk is deleted
    staged: dict[str, PlanChunk] = field(default_factory=dict)
    # of all chunks, kept as they change: every round asks for them of every job
    done_tasks: int = 0
    planned_tasks: int = 0

    @property
    def has_record(self) -> bool:
        """Whether the job's record is at hand. Of a job without one nothing can be concluded:
        neither that it is to run, nor that it is over.
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
        """Whether a job that this one needs is not done."""
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
        """All planned tasks."""
        for chunk in self.chunks.values():
            yield from chunk.attempts.values()

    def waiting_task_count(self) -> int:
        """Tasks that wait for room; those of a job that waits for other jobs do not."""
        if self.spec is None or self.end != ACTIVE or self.unmet_dependencies:
            return 0
        return self.spec.tasks - self.done_task_count() - self.planned_task_count()


@dataclass(slots=True, eq=False)
class Machine:
    """A rented machine, and what the plans put on it."""

    id: str
    type: str
    zone: str
    spot: bool
    shard: int
    rented: float
    retiring: str
    up: bool
    # a machine that came from another shard has a token of its own: it is higher than any that
    # its worker can have seen, and than any that a command still under way can carry
    token: int = 0
    version: int = 0
    # seconds from the rental to the first report, as the shard's owner saw it; None: not known
    boot_s: float | None = None
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    attempts: dict[tuple[str, int], PlannedAttempt] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)
    # raised with each change of what its tasks use and of its images
    changes: int = 0

    def encode(
        self,
        retiring: str | None = None,
        up: bool | None = None,
        moved: tuple[int, int] | None = None,
        boot_s: float | None = None,
    ) -> dict[str, Any]:
        """Its record, changed; `moved` is the shard that gets it and its new token."""
        shard, token = moved or (self.shard, self.token)
        record = {
            "type": self.type,
            "zone": self.zone,
            "spot": self.spot,
            "shard": shard,
            "token": token,
            "at": self.rented,
            "retiring": self.retiring if retiring is None else retiring,
            "up": self.up if up is None else up,
        }
        if boot_s is not None or self.boot_s is not None:
            record["boot_s"] = self.boot_s if boot_s is None else boot_s
        return record


class OwnershipRecord(NamedTuple):
    """Which controller owns a shard, and under which fencing token."""

    owner: str
    token: int
    version: int


class ControllerRecord(NamedTuple):
    """What a controller says of itself under its lease.

    `seen_note` is the version of the newest cancellation note that it has read.
    """

    lease_id: int | None
    is_unreachable_by_workers: bool = False
    seen_note: int = 0


class CancellationNote(NamedTuple):
    """The note that a job is to be cancelled: its key's version, and when it was written (wall
    clock).
    """

    version: int
    written_at: float
