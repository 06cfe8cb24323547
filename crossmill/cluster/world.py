"""The mirror's keys read as jobs, plans, machines and shards; only durable facts stand here."""

from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

from ..settings import Settings
from ..state.mirror import Mirror
from ..wire.cloud import MachineType
from ..wire.users import JobSpec
from . import keys

ACTIVE, DONE, CANCELLED = "", "done", "cancelled"


@dataclass(slots=True)
class Row:
    """A task planned onto a machine: perhaps there, until proved gone."""

    job: str
    index: int
    attempt: int
    machine: str
    session: int


@dataclass(slots=True)
class Chunk:
    """A stretch of a job's tasks: `done` is a bitmap, `next` the next attempt number."""

    next: int = 1
    done: int = 0
    rows: dict[int, Row] = field(default_factory=dict)
    version: int = 0

    def encode(self) -> dict[str, Any]:
        rows = [[r.index, r.attempt, r.machine, r.session] for r in self.rows.values()]
        return {"next": self.next, "done": f"{self.done:x}", "rows": rows}


def decode_chunk(job_id: str, value: dict[str, Any], version: int) -> Chunk:
    rows = {r[0]: Row(job_id, *r) for r in value["rows"]}
    return Chunk(value["next"], int(value["done"], 16), rows, version)


@dataclass(slots=True)
class Job:
    id: str
    version: int = 0
    end: str = ACTIVE
    spec: JobSpec | None = None
    submitted: float = 0.0
    order: int = 0
    shard: int = -1
    chunks: dict[int, Chunk] = field(default_factory=dict)
    # of all chunks, kept as they change: every round asks for them of every job
    finished: int = 0
    planned: int = 0

    def done_count(self) -> int:
        if self.end == DONE:
            return self.spec.tasks if self.spec else 0
        return self.finished

    def row_count(self) -> int:
        return self.planned

    def rows(self) -> Iterator[Row]:
        for chunk in self.chunks.values():
            yield from chunk.rows.values()

    def waiting_count(self) -> int:
        if self.spec is None or self.end != ACTIVE:
            return 0
        return self.spec.tasks - self.done_count() - self.row_count()


def encode_job(spec: JobSpec, submitted: float) -> dict[str, Any]:
    return {"end": ACTIVE, "at": submitted, "spec": asdict(spec)}


def encode_end(end: str, spec: JobSpec) -> dict[str, Any]:
    """The spec stays: a withdrawn job's tasks hold room until they are proved gone."""
    return {"end": end, "spec": asdict(spec)}


def encode_archived(job: Job) -> dict[str, Any]:
    return {"end": job.end, "done": job.done_count()}


def decode_spec(value: dict[str, Any]) -> JobSpec:
    types = value["types"]
    return JobSpec(**{**value, "types": None if types is None else tuple(types)})


@dataclass(slots=True)
class Machine:
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
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    rows: dict[tuple[str, int], Row] = field(default_factory=dict)
    images: dict[str, float] = field(default_factory=dict)

    def encode(
        self,
        retiring: str | None = None,
        up: bool | None = None,
        moved: tuple[int, int] | None = None,
    ) -> dict[str, Any]:
        """Its record, changed; `moved` is the shard that gets it and its new token."""
        shard, token = moved or (self.shard, self.token)
        return {
            "type": self.type,
            "zone": self.zone,
            "spot": self.spot,
            "shard": shard,
            "token": token,
            "at": self.rented,
            "retiring": self.retiring if retiring is None else retiring,
            "up": self.up if up is None else up,
        }


@dataclass(frozen=True, slots=True)
class Shard:
    owner: str
    token: int
    version: int


class World:
    def __init__(self, mirror: Mirror, settings: Settings) -> None:
        self._settings = settings
        self.mirror = mirror
        self.jobs: dict[str, Job] = {}
        self.active: dict[int, dict[str, Job]] = {k: {} for k in range(settings.nodes)}
        # ended jobs whose plans are not yet cleared away
        self.ended: dict[int, dict[str, Job]] = {k: {} for k in range(settings.nodes)}
        # ended jobs with nothing left to clear, oldest first
        self.over: dict[int, dict[str, Job]] = {k: {} for k in range(settings.nodes)}
        self.machines: dict[str, Machine] = {}
        self.machines_of: dict[int, dict[str, Machine]] = {k: {} for k in range(settings.nodes)}
        self.shards: dict[int, Shard] = {}
        self.nodes: dict[str, Any] = {}
        # how often each controller's key was written or went
        self.node_changes: dict[str, int] = {}
        # jobs to be withdrawn: the note's version, and when it was written
        self.ending: dict[str, tuple[int, float]] = {}
        self.leader: str | None = None
        self.catalog: dict[str, MachineType] = {}
        self._orphans: dict[str, dict[tuple[str, int], Row]] = {}
        self.changed_jobs: set[int] = set()
        mirror.listen(self._on_key)

    def _on_key(self, key: str, value: Any, version: int) -> None:
        if key.startswith(keys.JOB):
            self._on_job(key[len(keys.JOB) :], value, version)
        elif key.startswith(keys.PLAN):
            job_id, _, chunk = key[len(keys.PLAN) :].rpartition("/")
            self._on_plan(job_id, int(chunk), value, version)
        elif key.startswith(keys.MACHINE):
            self._on_machine(key[len(keys.MACHINE) :], value, version)
        elif key.startswith(keys.SHARD):
            index = int(key[len(keys.SHARD) :])
            if value is None:
                self.shards.pop(index, None)
            else:
                self.shards[index] = Shard(value["owner"], value["token"], version)
        elif key.startswith(keys.NODE):
            label = key[len(keys.NODE) :]
            self.node_changes[label] = self.node_changes.get(label, 0) + 1
            if value is None:
                self.nodes.pop(label, None)
            else:
                self.nodes[label] = value
        elif key.startswith(keys.ENDING):
            job_id = key[len(keys.ENDING) :]
            if value is None:
                self.ending.pop(job_id, None)
            else:
                self.ending[job_id] = version, value["at"]
        elif key == keys.LEADER:
            self.leader = value["owner"] if value else None
        elif key == keys.CATALOG and value:
            self.catalog = {
                t["name"]: MachineType(**{**t, "zones": tuple(t["zones"])}) for t in value
            }

    def _job(self, job_id: str) -> Job:
        return self.jobs.setdefault(job_id, Job(job_id))

    def _on_job(self, job_id: str, value: Any, version: int) -> None:
        if value is None:
            gone = self.jobs.pop(job_id, None)
            if gone is not None and gone.shard >= 0:
                for index in (self.active, self.ended, self.over):
                    index[gone.shard].pop(job_id, None)
            return
        job = self._job(job_id)
        job.version, job.end = version, value["end"]
        if job.spec is None:
            job.spec = decode_spec(value["spec"])
            job.submitted = value.get("at", 0.0)
            job.order = version
            job.shard = self._settings.shard_of_team(job.spec.team)
            self._recount(job, 1)
        self._file(job)

    def _file(self, job: Job) -> None:
        if job.spec is None:
            return
        active, ended = self.active[job.shard], self.ended[job.shard]
        if job.end == ACTIVE:
            active[job.id] = job
        else:
            active.pop(job.id, None)
            if job.chunks:
                ended[job.id] = job
            else:
                ended.pop(job.id, None)
                self.over[job.shard].setdefault(job.id, job)
        self.changed_jobs.add(job.shard)

    def _recount(self, job: Job, sign: int) -> None:
        for row in job.rows():
            self._use(job, row, sign)

    def _use(self, job: Job, row: Row, sign: int) -> None:
        machine = self.machines.get(row.machine)
        if machine is None or job.spec is None:
            return
        machine.cpus += sign * job.spec.cpus
        machine.gpus += sign * job.spec.gpus
        machine.memory_gb += sign * job.spec.memory_gb
        machine.images.pop(job.spec.image, None)
        machine.images[job.spec.image] = job.spec.image_gb
        self._trim(machine)

    def _trim(self, machine: Machine) -> None:
        """Only the most recently used images are still cached; to count on one that has gone
        would cost its fetch when a replica is moved there."""
        kind = self.catalog.get(machine.type)
        if kind is None:
            return
        size = sum(machine.images.values())
        if size <= kind.cache_gb:
            return
        used = {
            job.spec.image
            for row in machine.rows.values()
            if (job := self.jobs.get(row.job)) is not None and job.spec is not None
        }
        newest = next(reversed(machine.images))
        for image in list(machine.images):
            if size <= kind.cache_gb:
                break
            if image not in used and image != newest:
                size -= machine.images.pop(image)

    def _on_plan(self, job_id: str, index: int, value: Any, version: int) -> None:
        job = self._job(job_id)
        old = job.chunks.get(index)
        new = decode_chunk(job_id, value, version) if value is not None else None
        old_rows = old.rows if old else {}
        new_rows = new.rows if new else {}
        job.planned += len(new_rows) - len(old_rows)
        job.finished += (new.done if new else 0).bit_count() - (old.done if old else 0).bit_count()
        for task, row in old_rows.items():
            if new_rows.get(task) != row:
                self._use(job, row, -1)
                self._place(row, False)
        for task, row in new_rows.items():
            if old_rows.get(task) != row:
                self._place(row, True)
                self._use(job, row, 1)
        if new is None:
            job.chunks.pop(index, None)
        else:
            job.chunks[index] = new
        self._file(job)

    def _place(self, row: Row, on: bool) -> None:
        machine = self.machines.get(row.machine)
        rows = machine.rows if machine else self._orphans.setdefault(row.machine, {})
        if on:
            rows[row.job, row.index] = row
        else:
            rows.pop((row.job, row.index), None)
            if machine is None and not rows:
                del self._orphans[row.machine]

    def orphans(self) -> Iterator[Row]:
        """Rows whose machine's record is gone: it was released, with all that was on it."""
        for rows in self._orphans.values():
            yield from rows.values()

    def zones_of(self, job: Job) -> dict[str, int]:
        """Where the job's tasks are, those in doubt included."""
        zones: dict[str, int] = {}
        for row in job.rows():
            machine = self.machines.get(row.machine)
            if machine is not None:
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
        return zones

    def _on_machine(self, machine_id: str, value: Any, version: int) -> None:
        old = self.machines.pop(machine_id, None)
        if old is not None:
            self.machines_of[old.shard].pop(machine_id, None)
        if value is None:
            if old is not None and old.rows:
                self._orphans[machine_id] = old.rows
            return
        machine = Machine(
            machine_id,
            value["type"],
            value["zone"],
            value["spot"],
            value["shard"],
            value["at"],
            value["retiring"],
            value["up"],
            value.get("token", 0),
            version,
        )
        if old is not None:
            machine.images = old.images
        self.machines[machine_id] = machine
        self.machines_of[machine.shard][machine_id] = machine
        machine.rows = old.rows if old else self._orphans.pop(machine_id, {})
        for row in machine.rows.values():
            self._use(self._job(row.job), row, 1)
