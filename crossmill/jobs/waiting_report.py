"""Log lines that explain why jobs wait although machines of their shard have room.

The scheduling loop calls it at the end of each round. It owns the time since which each waiting job
has made no progress. It decides nothing: it compares the machines on which a task would fit with
those that placement may use and with those whose room the demand forecast counts. A machine that is
counted but excluded is neither used nor replaced, so operators look for that first.
"""

import logging
from collections import Counter

from ..cluster.model import Job, Machine
from ..planning.demand import idle_capacity
from ..planning.free_capacity import ZoneAllowance, is_allowed
from ..wire.users import JobSpec
from .context import SchedulingContext
from .placement import MachineEligibility
from .waiting_times import WaitingTimes

log = logging.getLogger(__name__)

# log lines per shard and report; the first jobs of the queue are reported
MAX_JOBS_REPORTED = 8


class WaitingReport:
    """Reports the jobs that have waited for long, with the machines that fit and their state."""

    def __init__(
        self,
        context: SchedulingContext,
        eligibility: MachineEligibility,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._forecast = context.forecast
        self._eligibility = eligibility
        # times of the last reports in seconds, by shard
        self._reported_at: dict[int, float] = {}
        self._waiting_times = WaitingTimes()

    def report(self, shard: int, machines: list[Machine]) -> None:
        """Log the shard's jobs that have waited for longer than the report interval."""
        now = self._clock.now()
        interval_s = self._settings.waiting_report_interval_s
        if now - self._reported_at.get(shard, 0.0) < interval_s:
            return
        self._reported_at[shard] = now
        queue = self._forecast.waiting_jobs(shard)
        since = self._waiting_times.update(shard, queue, now)
        overdue = [job for job in queue if now - since[job.id] >= interval_s]
        if overdue:
            counted = self._forecast.counted_machines(shard)
            for job in overdue[:MAX_JOBS_REPORTED]:
                self._report_job(job, now - since[job.id], machines, counted)

    def _report_job(
        self, job: Job, waited_s: float, machines: list[Machine], counted: set[str]
    ) -> None:
        if job.spec is None:
            return
        fitting = self._fitting_machines(job, job.spec, machines)
        states = Counter(self._state(job, machine) for machine in fitting)
        log.info(
            "job waiting job=%s tasks=%d waited_s=%.0f machines=%s counted=%d suspect=%s "
            "other_shards=%d",
            job.id,
            job.waiting_task_count(),
            waited_s,
            ",".join(f"{state}:{number}" for state, number in sorted(states.items())) or "none",
            sum(machine.id in counted for machine in fitting),
            job.is_suspect,
            len(self._fitting_machines(job, job.spec, self._machines_of_other_shards(job.shard))),
        )

    def _machines_of_other_shards(self, shard: int) -> list[Machine]:
        """Return the machines that may get tasks by their records, except those of the shard."""
        wall_time = self._clock.wall_time()
        return [
            machine
            for machine in self._cluster.machines.values()
            if machine.shard != shard
            and machine.is_up
            and not machine.retirement_reason
            and not machine.is_cordoned(wall_time)
        ]

    def _fitting_machines(self, job: Job, spec: JobSpec, machines: list[Machine]) -> list[Machine]:
        """Return the machines with room for a task of the job, by the durable plans."""
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        return [
            machine
            for machine in machines
            if is_allowed(spec, machine.type, machine.zone, machine.spot)
            and zones.remaining(machine.zone) > 0
            and self._has_room(spec, machine)
        ]

    def _has_room(self, spec: JobSpec, machine: Machine) -> bool:
        machine_type = self._cluster.catalog.get(machine.type)
        if machine_type is None:
            return False
        capacity = idle_capacity(machine.id, machine_type, machine.zone, machine.spot)
        capacity.cpus -= machine.used_cpus
        capacity.gpus -= machine.used_gpus
        capacity.memory_gb -= machine.used_memory_gb
        return capacity.count_fitting(spec) > 0

    def _state(self, job: Job, machine: Machine) -> str:
        """Return why the job is not placed on the machine; "eligible" if nothing excludes it."""
        exclusion = self._eligibility.exclusion(machine, self._clock.now())
        if exclusion is not None:
            return exclusion
        failures_since = self._clock.wall_time() - self._settings.failure_memory_s
        avoided = job.avoided_machines(failures_since)
        return "failed-here" if machine.id in avoided else "eligible"
