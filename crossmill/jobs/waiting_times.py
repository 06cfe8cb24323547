"""The times since which waiting jobs have made no progress, as one component has observed them."""

from typing import NamedTuple

from ..cluster.model import Job


class _Progress(NamedTuple):
    """The number of a job's tasks that are planned or done, and since when it has not changed."""

    tasks: int
    since: float


class WaitingTimes:
    """The waiting jobs of each shard, and since when the number of their started tasks is the same.

    All times are in seconds of the controller's monotonic clock. They begin with this process: a
    job that has waited for longer counts from when it was first observed.
    """

    def __init__(self) -> None:
        # progress of the waiting jobs by shard and job ID
        self._progress: dict[int, dict[str, _Progress]] = {}

    def update(self, shard: int, queue: list[Job], now: float) -> dict[str, float]:
        """Observe the shard's queue, and return the start of each job's wait by job ID."""
        before = self._progress.get(shard, {})
        updated: dict[str, _Progress] = {}
        for job in queue:
            tasks = job.planned_task_count() + job.done_task_count()
            entry = before.get(job.id)
            is_unchanged = entry is not None and entry.tasks == tasks
            updated[job.id] = entry if entry and is_unchanged else _Progress(tasks, now)
        self._progress[shard] = updated
        return {job_id: progress.since for job_id, progress in updated.items()}
