"""The stored plans: chunks in effect, staged copies of legacy chunks, and the layout."""

from typing import Any

from .job_index import JobIndex
from .layout import ChunkRange, PlanLayout
from .machine_index import MachineIndex
from .model import Job, PlanChunk
from .records import decode_chunk


class PlanIndex:
    """Maintains the chunks in effect of each job's plan.

    A task is planned either in a legacy chunk or in a segment: while the legacy chunk exists,
    segments of its tasks are only staged copies (cluster/layout.py). Chunks are stored in their
    `Job`; the attempts of chunks in effect are also in `MachineIndex`. Only `ClusterState` modifies
    plans, when keys of the state service change.
    """

    def __init__(self, layout: PlanLayout, jobs: JobIndex, machines: MachineIndex) -> None:
        self.layout = layout
        self._jobs = jobs
        self._machines = machines
        # the jobs of existing legacy chunks, by job ID and chunk name
        self.legacy_chunks: dict[tuple[str, str], Job] = {}

    def apply(self, job_id: str, name: str, value: Any, version: int) -> None:
        """Apply a change of a chunk; a value of None means deleted."""
        if value is None and job_id not in self._jobs:
            return
        job = self._jobs.get_or_add(job_id)
        chunk_range = self.layout.parse(name)
        first = chunk_range.first
        chunk = None if value is None else decode_chunk(job_id, value, version, first)
        if chunk_range.is_segment and self.layout.legacy_chunk_of(first).name in job.chunks:
            self._stage(job, name, chunk)
        else:
            self._replace_chunk(job, name, chunk)
            if not chunk_range.is_segment:
                self._switch_layout(job, chunk_range, chunk is not None)
        if not job.has_record:
            self._jobs.without_record[job_id] = job
        self._jobs.update_sets(job)
        self._jobs.drop_if_empty(job)

    def move_plan(self, old_job: Job, new_job: Job) -> None:
        """Point the legacy chunks of a replaced job object to its replacement."""
        for name in old_job.chunks:
            if (old_job.id, name) in self.legacy_chunks:
                self.legacy_chunks[old_job.id, name] = new_job

    def _stage(self, job: Job, name: str, chunk: PlanChunk | None) -> None:
        """Set or remove a staged segment, which takes effect when its legacy chunk is deleted."""
        job.staged.pop(name, None)
        if chunk is not None:
            job.staged[name] = chunk

    def _switch_layout(self, job: Job, legacy: ChunkRange, is_present: bool) -> None:
        """Stage the segments of a written legacy chunk; put those of a deleted one into effect."""
        if is_present:
            self.legacy_chunks[job.id, legacy.name] = job
            for name, chunk in _segments_of(job.chunks, legacy):
                self._replace_chunk(job, name, None)
                job.staged[name] = chunk
            return
        self.legacy_chunks.pop((job.id, legacy.name), None)
        for name, chunk in _segments_of(job.staged, legacy):
            del job.staged[name]
            self._replace_chunk(job, name, chunk)

    def _replace_chunk(self, job: Job, name: str, new_chunk: PlanChunk | None) -> None:
        old_chunk = job.chunks.get(name)
        old_attempts = old_chunk.attempts if old_chunk else {}
        new_attempts = new_chunk.attempts if new_chunk else {}
        job.planned_tasks += len(new_attempts) - len(old_attempts)
        job.done_tasks += _done_count(new_chunk) - _done_count(old_chunk)
        for task, attempt in old_attempts.items():
            if new_attempts.get(task) != attempt:
                self._machines.add_usage(job, attempt, -1)
                self._machines.remove_attempt(attempt)
        for task, attempt in new_attempts.items():
            if old_attempts.get(task) != attempt:
                self._machines.add_attempt(attempt)
                self._machines.add_usage(job, attempt, 1)
        if new_chunk is None:
            job.chunks.pop(name, None)
        else:
            job.chunks[name] = new_chunk
        if _has_failures(old_chunk) or _has_failures(new_chunk):
            job.failed_at = _failures_of(job)
            job.has_run = any(chunk.has_run for chunk in job.chunks.values())


def _done_count(chunk: PlanChunk | None) -> int:
    return chunk.done_bitmap.bit_count() if chunk else 0


def _has_failures(chunk: PlanChunk | None) -> bool:
    return chunk is not None and (bool(chunk.failed_at) or chunk.has_run)


def _failures_of(job: Job) -> dict[str, float]:
    """Return the time of the job's last failure on each machine over all chunks in effect."""
    failed_at: dict[str, float] = {}
    for chunk in job.chunks.values():
        for machine_id, at in chunk.failed_at.items():
            failed_at[machine_id] = max(at, failed_at.get(machine_id, at))
    return failed_at


def _segments_of(chunks: dict[str, PlanChunk], legacy: ChunkRange) -> list[tuple[str, PlanChunk]]:
    return [
        (name, chunk)
        for name, chunk in chunks.items()
        if name != legacy.name and legacy.first <= chunk.first_task < legacy.end
    ]
