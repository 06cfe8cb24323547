"""The mirror's keys read as jobs, plans, machines and shards; only durable facts stand here."""

from collections.abc import Iterator
from typing import Any

from ..settings import Settings, StateLimits
from ..state.mirror import Mirror
from ..wire.cloud import MachineType
from . import keys
from .dependencies import DependencyGraph
from .layout import ChunkRange, PlanLayout
from .level import Level, decode_level
from .model import ACTIVE, Job, Machine, PlanChunk, PlannedAttempt, Shard
from .records import decode_chunk, decode_job


class ClusterState:
    """Jobs, plans, machines, shards and controllers as the mirror's keys describe them."""

    def __init__(self, mirror: Mirror, settings: Settings) -> None:
        self._settings = settings
        self.mirror = mirror
        self.jobs: dict[str, Job] = {}
        self.graph = DependencyGraph(self.jobs)
        # jobs cancelled with one that they need, whose records do not say so yet
        self.unrecorded: dict[int, dict[str, Job]] = {k: {} for k in range(settings.shard_count)}
        # unfinished jobs all of whose tasks are durably done
        self.complete: dict[int, dict[str, Job]] = {k: {} for k in range(settings.shard_count)}
        self.level: Level | None = None
        # the controllers that run a version of the next feature level, with their notes' versions
        self.upgraded: dict[str, int] = {}
        self.layout = PlanLayout(settings.state_limits.chunk_tasks)
        # the legacy chunks there are, by job and name
        self.legacy_chunks: dict[tuple[str, str], Job] = {}
        self.active: dict[int, dict[str, Job]] = {k: {} for k in range(settings.shard_count)}
        # ended jobs whose plans are not yet cleared away
        self.ended: dict[int, dict[str, Job]] = {k: {} for k in range(settings.shard_count)}
        # ended jobs with nothing left to clear, oldest first
        self.over: dict[int, dict[str, Job]] = {k: {} for k in range(settings.shard_count)}
        # jobs of which only a plan is at hand
        self.unknown: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.machines_of: dict[int, dict[str, Machine]] = {
            k: {} for k in range(settings.shard_count)
        }
        self.shards: dict[int, Shard] = {}
        self.nodes: dict[str, Any] = {}
        # how often each controller's key was written or went
        self.node_changes: dict[str, int] = {}
        # jobs to be withdrawn: the note's version, and when it was written
        self.ending: dict[str, tuple[int, float]] = {}
        self.leader: str | None = None
        self.catalog: dict[str, MachineType] = {}
        self._orphans: dict[str, dict[tuple[str, int], PlannedAttempt]] = {}
        mirror.listen(self._on_key)

    def _on_key(self, key: str, value: Any, version: int) -> None:
        if key.startswith(keys.JOB):
            self._on_job(key[len(keys.JOB) :], value, version)
        elif key.startswith(keys.PLAN):
            job_id, _, chunk = key[len(keys.PLAN) :].rpartition("/")
            self._on_plan(job_id, chunk, value, version)
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
        elif key.startswith(keys.FEATURE):
            self._on_feature(key[len(keys.FEATURE) :], value, version)
        elif key == keys.LEVEL and value:
            self._on_level(decode_level(value))
        elif key == keys.LEADER:
            self.leader = value["owner"] if value else None
        elif key == keys.CATALOG and value:
            self.catalog = {
                t["name"]: MachineType(**{**t, "zones": tuple(t["zones"])}) for t in value
            }

    def _job(self, job_id: str) -> Job:
        return self.jobs.setdefault(job_id, Job(job_id))

    @property
    def limits(self) -> StateLimits:
        """The state service's limits to keep to now."""
        s = self._settings
        return s.state_limits if self.level is None else s.lowest_state_limits

    def write_load(self, shard: int) -> int:
        """How many records of running arrays the shard's owner keeps up to date."""
        return sum(
            max(1, len(job.chunks))
            for job in self.active[shard].values()
            if job.spec is not None and job.spec.kind != "service" and not job.blocked
        )

    def _on_feature(self, label: str, value: Any, version: int) -> None:
        if value is None:
            self.upgraded.pop(label, None)
        else:
            self.upgraded[label] = version

    def _on_level(self, level: Level) -> None:
        self.level = level
        self.layout = PlanLayout(level.legacy_tasks, level.segment_tasks)

    def _on_job(self, job_id: str, value: Any, version: int) -> None:
        if value is None:
            self._forget_job(job_id)
            return
        job = self._job(job_id)
        record = decode_job(value)
        job.version, job.recorded, job.ended_at = version, record.end, record.ended_at
        is_new = job.spec is None
        if is_new:
            self.unknown.pop(job_id, None)
            job.spec = record.spec
            job.submitted = record.submitted
            job.needs = record.needs
            job.order = version
            job.shard = self._settings.shard_of_team(job.spec.team)
            self._recount(job, 1)
        if record.end != ACTIVE:
            job.end = record.end
            self.unrecorded[job.shard].pop(job.id, None)
        cancelled = self.graph.add(job) if is_new else []
        if not is_new and record.end == ACTIVE and record.needs != job.needs:
            self.graph.reduce(job, record.needs)
        if record.end != ACTIVE:
            cancelled += self.graph.ended(job)
        self._file(job)
        for other in cancelled:
            self.unrecorded[other.shard][other.id] = other
            self._file(other)

    def _forget_job(self, job_id: str) -> None:
        """The job's record is gone: it was archived, so its plan is cleared away too. Read anew
        after a gap, the two may be told of in any order, and the plan's rows stay indexed by
        machine until their own deletion is known; meanwhile the job is unknown."""
        gone = self.jobs.pop(job_id, None)
        if gone is None or gone.spec is None:
            return
        self.graph.remove(gone)
        for index in (self.active, self.ended, self.over, self.unrecorded, self.complete):
            index[gone.shard].pop(job_id, None)
        if gone.chunks or gone.staged:
            self._recount(gone, -1)
            self.jobs[job_id] = Job(
                job_id,
                chunks=gone.chunks,
                staged=gone.staged,
                finished=gone.finished,
                planned=gone.planned,
            )
            self.unknown[job_id] = self.jobs[job_id]
            for name in gone.chunks:
                if (job_id, name) in self.legacy_chunks:
                    self.legacy_chunks[job_id, name] = self.jobs[job_id]

    def _drop_if_empty(self, job: Job) -> None:
        """A job without a record is kept only as long as a plan of it is known."""
        if job.is_known or job.chunks or job.staged:
            return
        self.jobs.pop(job.id, None)
        self.unknown.pop(job.id, None)
        if job.is_over:
            self.ended[job.shard].pop(job.id, None)
            self.over[job.shard].pop(job.id, None)

    def note_archived(self, job: Job, end: str, shard: int) -> None:
        """The archive says how a job ended of which only a plan is at hand; the shard's owner
        ends its tasks and clears the plan away."""
        job.end, job.shard = end, shard
        self._file(job)

    def _file(self, job: Job) -> None:
        if not job.is_known and not job.is_over:
            return
        active, ended = self.active[job.shard], self.ended[job.shard]
        self.complete[job.shard].pop(job.id, None)
        if job.end == ACTIVE:
            active[job.id] = job
            if job.spec and job.spec.kind != "service" and job.finished == job.spec.tasks:
                self.complete[job.shard][job.id] = job
        else:
            active.pop(job.id, None)
            if job.chunks or job.staged:
                ended[job.id] = job
                # read anew, a record comes before its plan
                self.over[job.shard].pop(job.id, None)
            else:
                ended.pop(job.id, None)
                self.over[job.shard].setdefault(job.id, job)

    def _recount(self, job: Job, sign: int) -> None:
        for attempt in job.attempts():
            self._use(job, attempt, sign)

    def _use(self, job: Job, attempt: PlannedAttempt, sign: int) -> None:
        machine = self.machines.get(attempt.machine)
        if machine is None or job.spec is None:
            return
        machine.changes += 1
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
            for attempt in machine.attempts.values()
            if (job := self.jobs.get(attempt.job)) is not None and job.spec is not None
        }
        newest = next(reversed(machine.images))
        for image in list(machine.images):
            if size <= kind.cache_gb:
                break
            if image not in used and image != newest:
                size -= machine.images.pop(image)

    def _on_plan(self, job_id: str, name: str, value: Any, version: int) -> None:
        if value is None and job_id not in self.jobs:
            return
        job = self._job(job_id)
        where = self.layout.parse(name)
        new = None if value is None else decode_chunk(job_id, value, version, where.first)
        if where.is_segment and self.layout.legacy_of(where.first).name in job.chunks:
            # a copy, in force only when the chunk that it was taken from is deleted
            job.staged.pop(name, None)
            if new is not None:
                job.staged[name] = new
        else:
            self._replace_chunk(job, name, new)
            if not where.is_segment:
                self._switch_layout(job, where, new is not None)
        if not job.is_known:
            self.unknown[job_id] = job
        self._file(job)
        self._drop_if_empty(job)

    def _switch_layout(self, job: Job, legacy: ChunkRange, present: bool) -> None:
        """Segments are in force exactly where no legacy chunk is."""
        if present:
            self.legacy_chunks[job.id, legacy.name] = job
            for name, chunk in self._segments(job.chunks, legacy):
                self._replace_chunk(job, name, None)
                job.staged[name] = chunk
            return
        self.legacy_chunks.pop((job.id, legacy.name), None)
        for name, chunk in self._segments(job.staged, legacy):
            del job.staged[name]
            self._replace_chunk(job, name, chunk)

    def _segments(
        self, chunks: dict[str, PlanChunk], legacy: ChunkRange
    ) -> list[tuple[str, PlanChunk]]:
        return [
            (name, chunk)
            for name, chunk in chunks.items()
            if name != legacy.name and legacy.first <= chunk.first < legacy.end
        ]

    def _replace_chunk(self, job: Job, name: str, new: PlanChunk | None) -> None:
        old = job.chunks.get(name)
        old_attempts = old.attempts if old else {}
        new_attempts = new.attempts if new else {}
        job.planned += len(new_attempts) - len(old_attempts)
        job.finished += (new.done if new else 0).bit_count() - (old.done if old else 0).bit_count()
        for task, attempt in old_attempts.items():
            if new_attempts.get(task) != attempt:
                self._use(job, attempt, -1)
                self._place(attempt, False)
        for task, attempt in new_attempts.items():
            if old_attempts.get(task) != attempt:
                self._place(attempt, True)
                self._use(job, attempt, 1)
        if new is None:
            job.chunks.pop(name, None)
        else:
            job.chunks[name] = new

    def _place(self, attempt: PlannedAttempt, on: bool) -> None:
        machine = self.machines.get(attempt.machine)
        attempts = machine.attempts if machine else self._orphans.setdefault(attempt.machine, {})
        if on:
            attempts[attempt.job, attempt.index] = attempt
        else:
            attempts.pop((attempt.job, attempt.index), None)
            if machine is None and not attempts:
                del self._orphans[attempt.machine]

    def orphans(self) -> Iterator[PlannedAttempt]:
        """Rows whose machine's record is gone: it was released, with all that was on it."""
        for attempts in self._orphans.values():
            yield from attempts.values()

    def zones_of(self, job: Job) -> dict[str, int]:
        """Where the job's tasks are, those in doubt included."""
        zones: dict[str, int] = {}
        for attempt in job.attempts():
            machine = self.machines.get(attempt.machine)
            if machine is not None:
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
        return zones

    def _on_machine(self, machine_id: str, value: Any, version: int) -> None:
        old = self.machines.pop(machine_id, None)
        if old is not None:
            self.machines_of[old.shard].pop(machine_id, None)
        if value is None:
            if old is not None and old.attempts:
                self._orphans[machine_id] = old.attempts
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
            value.get("boot_s"),
        )
        if old is not None:
            machine.images = old.images
        self.machines[machine_id] = machine
        self.machines_of[machine.shard][machine_id] = machine
        machine.attempts = old.attempts if old else self._orphans.pop(machine_id, {})
        for attempt in machine.attempts.values():
            self._use(self._job(attempt.job), attempt, 1)
