"""Preemption: stops tasks so that waiting jobs of higher priority, or within quota, can start.

Placement calls it for jobs that find no free capacity. It owns the claims of jobs for which tasks
are being stopped, and the reservations of the machines concerned. Both exist only in memory. The
stops are sent to workers in the responses to their heartbeats.
"""

import logging
from math import inf
from operator import attrgetter
from typing import NamedTuple

from ..cluster.model import Job, PlannedAttempt
from ..planning.free_capacity import FreeCapacity, ZoneAllowance, is_allowed
from ..wire.users import JobSpec
from ..workers.attempt_outcomes import StopReason
from .context import SchedulingContext
from .team_quotas import TeamQuotas, UsageByTeam

log = logging.getLogger(__name__)


class StoppableJob:
    """A job whose tasks may be stopped for another job."""

    __slots__ = ("over_quota_team", "spec")

    def __init__(self, spec: JobSpec, over_quota_team: str | None = None) -> None:
        self.spec = spec
        # the team over its quota whose excess the stops reduce; None if the job may be stopped for
        # its lower priority
        self.over_quota_team = over_quota_team


class PreemptionResult:
    """The attempts that one preemption stops, and the number of tasks that can then start."""

    __slots__ = ("attempts", "tasks_covered")

    def __init__(self, attempts: list[PlannedAttempt], tasks_covered: int) -> None:
        self.attempts = attempts
        self.tasks_covered = tasks_covered


class _Reservation:
    """A machine reserved for the job for which its tasks were stopped."""

    __slots__ = ("expires_at", "job_id")

    def __init__(self, job_id: str, expires_at: float) -> None:
        self.job_id = job_id
        self.expires_at = expires_at


class _PreemptorKey(NamedTuple):
    """Properties of a preempting job that determine which other jobs may be stopped for it."""

    shard: int
    priority: int
    # the team of a job within its team's quota; None for other jobs
    team: str | None
    may_stop_replicas: bool


class _PreemptionOption:
    """Attempts whose stops let one task start on a machine, with the costs that rank options."""

    __slots__ = ("capacity", "contention_cost", "lost_runtime_s", "needs_image_fetch", "victims")

    def __init__(
        self,
        spec: JobSpec,
        capacity: FreeCapacity,
        victims: list[PlannedAttempt],
        lost_runtime_s: float,
    ) -> None:
        self.contention_cost = capacity.contention_cost(spec)
        self.needs_image_fetch = spec.image not in capacity.images
        self.lost_runtime_s = lost_runtime_s
        self.capacity = capacity
        self.victims = victims


_option_cost = attrgetter("contention_cost", "needs_image_fetch", "lost_runtime_s")

StoppableJobs = dict[str, StoppableJob]


class Preemption:
    """Preemption of running tasks for jobs that find no free capacity."""

    def __init__(self, context: SchedulingContext, quotas: TeamQuotas) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._quotas = quotas
        # expiry times in seconds of preemption claims, by ID of the job for which tasks are stopped
        self._claims: dict[str, float] = {}
        # reservations by machine ID. Without them, small tasks would occupy the freed capacity
        # piece by piece before the large task fits
        self._reservations: dict[str, _Reservation] = {}
        # jobs that may be stopped, by preemptor, computed in this round
        self._stoppable: dict[_PreemptorKey, StoppableJobs] = {}

    def has_claim(self, job: Job) -> bool:
        """Return whether tasks are being stopped for the job."""
        return self._claims.get(job.id, 0.0) > self._clock.now()

    def has_failed_claim(self, job: Job) -> bool:
        """Return whether a claim of the job expired recently while the job still waits."""
        since = self._clock.now() - self._claims.get(job.id, -inf)
        return 0 <= since < self._settings.default_queue_time_s

    def start_round(self) -> None:
        """Start a round: drop cached results, claims of jobs that no longer wait, and reservations.

        A reservation is dropped when it has expired or when its job has no claim any more.
        """
        now = self._clock.now()
        self._stoppable.clear()
        for job_id in list(self._claims):
            job = self._cluster.jobs.get(job_id)
            if job is None or job.waiting_task_count() == 0:
                del self._claims[job_id]
        for machine_id, reservation in list(self._reservations.items()):
            if reservation.job_id not in self._claims or now > reservation.expires_at:
                del self._reservations[machine_id]

    def is_available_to(self, capacity: FreeCapacity, job: Job) -> bool:
        """Return whether the machine is not reserved for another job."""
        reservation = self._reservations.get(capacity.machine)
        return reservation is None or reservation.job_id == job.id

    def is_reserved(self, machine_id: str) -> bool:
        """Return whether the machine is reserved for any job."""
        return machine_id in self._reservations

    def is_reserved_for(self, capacity: FreeCapacity, job: Job) -> bool:
        """Return whether the machine is reserved for this job."""
        reservation = self._reservations.get(capacity.machine)
        return reservation is not None and reservation.job_id == job.id

    def can_preempt_for(self, job: Job, usage: UsageByTeam) -> bool:
        """Return whether tasks are being stopped for the job or may be stopped for it."""
        return self.has_claim(job) or bool(self._stoppable_jobs(job, usage))

    def preempt(
        self,
        job: Job,
        tasks: int,
        capacities: list[FreeCapacity],
        zones: ZoneAllowance,
        usage: UsageByTeam,
    ) -> PreemptionResult:
        """Request the stops that let up to this many tasks of the job start on the machines.

        `zones` counts the tasks of the job placed so far; the tasks covered here are added to it.
        Nothing is stopped while an earlier claim of the job is pending.
        """
        now = self._clock.now()
        if job.spec is None or self.has_claim(job):
            return PreemptionResult([], 0)
        stoppable = self._stoppable_jobs(job, usage)
        if not stoppable:
            return PreemptionResult([], 0)
        options = self._preemption_options(job, job.spec, capacities, stoppable)
        chosen = self._select_options(options, tasks, zones, stoppable, usage)
        attempts = [attempt for option in chosen for attempt in option.victims]
        if attempts:
            self._claim(job, chosen, stoppable, now)
        for attempt in attempts:
            log.info(
                "task preempted job=%s task=%d machine=%s for_job=%s",
                attempt.job,
                attempt.index,
                attempt.machine,
                job.id,
            )
            self._heartbeats.request_stop(attempt, StopReason.PREEMPTED)
        return PreemptionResult(attempts, len(chosen))

    def _preemption_options(
        self, job: Job, spec: JobSpec, capacities: list[FreeCapacity], stoppable: StoppableJobs
    ) -> list[_PreemptionOption]:
        """Return an option for each machine where stops let a task start, cheapest first."""
        options: list[_PreemptionOption] = []
        for capacity in capacities:
            if not is_allowed(spec, capacity.type, capacity.zone, capacity.spot):
                continue
            # only the owner of a machine may stop tasks on it
            if capacity.is_borrowed or not self.is_available_to(capacity, job):
                continue
            victims = self._victims(spec, capacity, stoppable)
            if victims is not None:
                lost_s = sum(self._lost_runtime_s(victim, stoppable) for victim in victims)
                options.append(_PreemptionOption(spec, capacity, victims, lost_s))
        options.sort(key=_option_cost)
        return options

    def _select_options(
        self,
        options: list[_PreemptionOption],
        tasks: int,
        zones: ZoneAllowance,
        stoppable: StoppableJobs,
        usage: UsageByTeam,
    ) -> list[_PreemptionOption]:
        """Return the options to be executed, one for each task that can then start."""
        teams = {entry.over_quota_team for entry in stoppable.values()}
        excess_gpus = {
            team: self._quotas.gpus_over_quota(team, usage) for team in teams if team is not None
        }
        chosen: list[_PreemptionOption] = []
        for option in options:
            if len(chosen) >= tasks:
                break
            zone = option.capacity.zone
            if zones.remaining(zone) > 0 and deduct_excess_gpus(
                option.victims, stoppable, excess_gpus
            ):
                zones.reserve(zone, 1)
                chosen.append(option)
        return chosen

    def _claim(
        self, job: Job, chosen: list[_PreemptionOption], stoppable: StoppableJobs, now: float
    ) -> None:
        """Reserve the machines for the job until the stops should have taken effect."""
        save_s = max(
            stoppable[victim.job].spec.save_s for option in chosen for victim in option.victims
        )
        expires_at = now + 2 * self._settings.heartbeat_interval_s + 2 * save_s
        self._claims[job.id] = expires_at
        for option in chosen:
            self._reservations[option.capacity.machine] = _Reservation(job.id, expires_at)

    def _lost_runtime_s(self, attempt: PlannedAttempt, stoppable: StoppableJobs) -> float:
        """Return the run time in seconds that is lost if this attempt is stopped."""
        view = self._heartbeats.find_view(attempt.machine)
        since = view.running_since.get((attempt.job, attempt.index)) if view is not None else None
        runtime_s = 0.0 if since is None else self._clock.now() - since
        spec = stoppable[attempt.job].spec
        has_checkpoint = 0 < spec.checkpoint_s < runtime_s
        lost_s = spec.save_s if has_checkpoint else runtime_s
        if runtime_s < self._settings.min_useful_runtime_s:
            # an attempt stopped this early also wastes its start and image fetch
            lost_s += self._settings.min_useful_runtime_s
        return lost_s

    def _stoppable_jobs(self, job: Job, usage: UsageByTeam) -> StoppableJobs:
        """Return the jobs whose tasks may be stopped for this one, by ID.

        The result is cached for the round, and jobs with equal `_PreemptorKey`s share it. Computing
        it for each task on each machine took two thirds of a controller's CPU time on a large
        fleet.
        """
        spec = job.spec
        if spec is None:
            return {}
        # while the cloud has machines, stopping a replica costs as much as starting one late
        may_stop_replicas = spec.is_service and self._forecast.is_out_of_capacity(spec)
        is_within_quota = self._quotas.is_within_quota(job)
        priority = self._forecast.priority(job)
        team = spec.team if is_within_quota else None
        preemptor = _PreemptorKey(job.shard, priority, team, may_stop_replicas)
        stoppable = self._stoppable.get(preemptor)
        if stoppable is not None:
            return stoppable
        result = self._stoppable[preemptor] = {}
        guests = [g for g in self._cluster.machines.guest_jobs(job.shard) if g.is_active]
        for other in (*self._cluster.jobs.active[job.shard].values(), *guests):
            victim = other.spec
            if victim is None or not other.chunks:
                continue
            if victim.is_service and not may_stop_replicas:
                continue
            if self._forecast.priority(other) > priority:
                result[other.id] = StoppableJob(victim)
            elif (
                is_within_quota
                and victim.team != spec.team
                and self._quotas.gpus_over_quota(victim.team, usage) > 0
            ):
                result[other.id] = StoppableJob(victim, victim.team)
        return result

    def _victims(
        self, spec: JobSpec, capacity: FreeCapacity, stoppable: StoppableJobs
    ) -> list[PlannedAttempt] | None:
        """Return the attempts whose end lets one task start, least lost run time first.

        None if stopping every attempt that may be stopped would not free enough capacity.
        """
        machine = self._cluster.machines.get(capacity.machine)
        if machine is None:
            return None
        attempts = [
            attempt
            for attempt in machine.attempts.values()
            if attempt.job in stoppable and not self._heartbeats.is_stopping(attempt)
        ]
        if not attempts:
            return None
        attempts.sort(key=lambda attempt: self._lost_runtime_s(attempt, stoppable))
        cpus, gpus, memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
        chosen: list[PlannedAttempt] = []
        for attempt in attempts:
            victim = stoppable[attempt.job].spec
            cpus += victim.cpus
            gpus += victim.gpus
            memory_gb += victim.memory_gb
            chosen.append(attempt)
            if cpus >= spec.cpus and gpus >= spec.gpus and memory_gb >= spec.memory_gb:
                return chosen
        return None


def deduct_excess_gpus(
    victims: list[PlannedAttempt], stoppable: StoppableJobs, excess_gpus: dict[str, float]
) -> bool:
    """Deduct the victims' GPUs from their teams' usage in excess of their quotas.

    Returns False, without a deduction, if a team would be left with less than its quota.
    """
    gpus_by_team: dict[str, float] = {}
    for attempt in victims:
        entry = stoppable[attempt.job]
        if entry.over_quota_team is not None:
            charged = gpus_by_team.get(entry.over_quota_team, 0.0)
            gpus_by_team[entry.over_quota_team] = charged + entry.spec.gpus
    if any(gpus > excess_gpus[team] for team, gpus in gpus_by_team.items()):
        return False
    for team, gpus in gpus_by_team.items():
        excess_gpus[team] -= gpus
    return True
