"""The waiting tasks for which a shard has no capacity and gets no machine from the cloud.

Machine lending calls it for the shards whose tasks it may lend capacity to. It owns the times since
which their jobs wait.
"""

from typing import NamedTuple

from ..cluster.model import Job
from ..planning.demand import TaskDemand
from .context import SchedulingContext
from .machine_transfer import MachineTransfer
from .waiting_times import WaitingTimes


class OverdueDemand(NamedTuple):
    """Tasks of one job that need capacity of other shards, and the job's shard."""

    shard: int
    job: Job
    demand: TaskDemand


class OverdueDemands:
    """Finds the demand of other shards that their own machines and the cloud leave unmet."""

    def __init__(self, context: SchedulingContext, machine_transfer: MachineTransfer) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._forecast = context.forecast
        self._machine_transfer = machine_transfer
        self._waiting_times = WaitingTimes()

    def of_other_shards(self, shard: int) -> list[OverdueDemand]:
        """Return the overdue demand of all owned shards but this one, in queue order."""
        overdue = [
            entry
            for other in range(self._settings.shard_count)
            if other != shard and other in self._cluster.shard_owners
            for entry in self._of_shard(other)
        ]
        overdue.sort(key=lambda entry: self._forecast.queue_rank(entry.job))
        return overdue

    def _of_shard(self, shard: int) -> list[OverdueDemand]:
        """Return the shard's demand that has waited for long.

        The cloud has had the time of a worker lease to provide machines. After the longer wait the
        demand counts also if a machine is booting for it or if running tasks should soon end.
        """
        now = self._clock.now()
        queue = self._forecast.waiting_jobs(shard)
        since = self._waiting_times.update(shard, queue, now)
        overdue = [job for job in queue if now - since[job.id] >= self._settings.worker_lease_s]
        if not overdue:
            return []
        wall_time = self._clock.wall_time()
        unplaced = self._machine_transfer.unplaced_tasks(shard)
        result: list[OverdueDemand] = []
        for job in overdue:
            demand = self._forecast.demand_of(job, wall_time)
            if demand is None:
                continue
            if now - since[job.id] < self._settings.default_queue_time_s:
                if job.id not in unplaced:
                    continue
                if not demand.spec.is_gang:
                    demand.tasks = min(demand.tasks, unplaced[job.id])
            result.append(OverdueDemand(shard, job, demand))
        return result
