"""Preemption: stops tasks so that waiting jobs of higher priority, or within quota, can start.

Called by placement for jobs that find no free capacity. Owns the claims of jobs for which tasks are
being stopped, and the reservations of the machines concerned. Both are only in memory: the answers
to heartbeats carry the stops out.
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

    __slots__ = ("charged_team", "spec")

    def __init__(self, spec: JobSpec, charged_team: str | None = None) -> None:
        self.spec = spec
        # the team whose use in excess of its quota the stops reduce; None for work of lower
        # priority
        self.charged_team = charged_team


class Preempted:
    """The result of one preemption: attempts to be stopped, and how many tasks fit after that."""

    __slots__ = ("attempts", "tasks_covered")

    def __init__(self, attempts: list[PlannedAttempt], tasks_covered: int) -> None:
        self.attempts = attempts
        self.tasks_covered = tasks_covered


class _Reservation:
    """A machine reserved for the job for which its tasks were stopped."""

    __slots__ = ("job_id", "until")

    def __init__(self, job_id: str, until: float) -> None:
        self.job_id = job_id
        self.until = until


class _PreemptorClass(NamedTuple):
    """What jobs have in common for which the same jobs may be stopped."""

    shard: int
    priority: int
    # of jobs within their team's quota
    team: str | None
    may_stop_replicas: bool


class _Option:
    """Attempts whose stops let one task start on a machine, with what decides among options."""

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


_cost = attrgetter("contention_cost", "needs_image_fetch", "lost_runtime_s")

StoppableJobs = dict[str, StoppableJob]


class Preemption:
    """Stops tasks for jobs that find no free capacity."""

    def __init__(self, context: SchedulingContext, quotas: TeamQuotas) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._quotas = quotas
        # by job for which tasks are being stopped, until when their end is waited for
        self._claims: dict[str, float] = {}
        # by machine; without reservations small tasks would take what is freed piece by piece
        # before the large one fits
        self._reservations: dict[str, _Reservation] = {}
        # of this round
        self._stoppable: dict[_PreemptorClass, StoppableJobs] = {}

    def has_claim(self, job: Job) -> bool:
        """Whether tasks are being stopped for the job."""
        return self._claims.get(job.id, 0.0) > self._clock.now()

    def has_failed_claim(self, job: Job) -> bool:
        """Whether tasks were recently stopped for the job and it still waits."""
        since = self._clock.now() - self._claims.get(job.id, -inf)
        return 0 <= since < self._settings.default_queue_time_s

    def drop_expired_claims(self) -> None:
        """Starts a round: drops claims of jobs that no longer wait, and expired reservations."""
        now = self._clock.now()
        self._stoppable.clear()
        for job_id in list(self._claims):
            job = self._cluster.jobs.get(job_id)
            if job is None or job.waiting_task_count() == 0:
                del self._claims[job_id]
        for machine_id, reservation in list(self._reservations.items()):
            if reservation.job_id not in self._claims or now > reservation.until:
                del self._reservations[machine_id]

    def is_available_to(self, capacity: FreeCapacity, job: Job) -> bool:
        """Whether the machine is not reserved for another job."""
        reservation = self._reservations.get(capacity.machine)
        return reservation is None or reservation.job_id == job.id

    def is_reserved_for(self, capacity: FreeCapacity, job: Job) -> bool:
        """Whether the machine is reserved for this job."""
        reservation = self._reservations.get(capacity.machine)
        return reservation is not None and reservation.job_id == job.id

    def can_preempt_for(self, job: Job, usage: UsageByTeam) -> bool:
        """Whether tasks are being stopped for the job, or there are any that may be stopped."""
        return self.has_claim(job) or bool(self._stoppable_jobs(job, usage))

    def preempt(
        self,
        job: Job,
        tasks: int,
        capacities: list[FreeCapacity],
        zones: ZoneAllowance,
        usage: UsageByTeam,
    ) -> Preempted:
        """Requests the stops that let up to this many tasks of the job start on the machines.

        `zones` counts the tasks of the job placed so far, and is charged for those covered here.
        Nothing is stopped while an earlier claim of the job is pending.
        """
        now = self._clock.now()
        if job.spec is None or self.has_claim(job):
            return Preempted([], 0)
        stoppable = self._stoppable_jobs(job, usage)
        if not stoppable:
            return Preempted([], 0)
        options = self._options(job, job.spec, capacities, stoppable)
        chosen = self._choose(options, tasks, zones, stoppable, usage)
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
        return Preempted(attempts, len(chosen))

    def _options(
        self, job: Job, spec: JobSpec, capacities: list[FreeCapacity], stoppable: StoppableJobs
    ) -> list[_Option]:
        """Returns an option for each machine where stops let a task start, cheapest first."""
        options: list[_Option] = []
        for capacity in capacities:
            if not is_allowed(spec, capacity.type, capacity.zone, capacity.spot):
                continue
            if not self.is_available_to(capacity, job):
                continue
            victims = self._victims(spec, capacity, stoppable)
            if victims is not None:
                lost_s = sum(self._lost_runtime_s(victim, stoppable) for victim in victims)
                options.append(_Option(spec, capacity, victims, lost_s))
        options.sort(key=_cost)
        return options

    def _choose(
        self,
        options: list[_Option],
        tasks: int,
        zones: ZoneAllowance,
        stoppable: StoppableJobs,
        usage: UsageByTeam,
    ) -> list[_Option]:
        """Returns the options to be carried out, one for each task that they let start."""
        teams = {entry.charged_team for entry in stoppable.values()}
        excess_gpus = {
            team: self._quotas.gpus_over_quota(team, usage) for team in teams if team is not None
        }
        chosen: list[_Option] = []
        for option in options:
            if len(chosen) >= tasks:
                break
            zone = option.capacity.zone
            if zones.remaining(zone) > 0 and charge_excess(option.victims, stoppable, excess_gpus):
                zones.reserve(zone, 1)
                chosen.append(option)
        return chosen

    def _claim(self, job: Job, chosen: list[_Option], stoppable: StoppableJobs, now: float) -> None:
        """Reserves the machines for the job until the stops should have been carried out."""
        save_s = max(
            stoppable[victim.job].spec.save_s for option in chosen for victim in option.victims
        )
        until = now + 2 * self._settings.heartbeat_interval_s + 2 * save_s
        self._claims[job.id] = until
        for option in chosen:
            self._reservations[option.capacity.machine] = _Reservation(job.id, until)

    def _lost_runtime_s(self, attempt: PlannedAttempt, stoppable: StoppableJobs) -> float:
        """Returns the run time that stopping this attempt throws away."""
        view = self._heartbeats.find_view(attempt.machine)
        since = view.running_since.get((attempt.job, attempt.index)) if view is not None else None
        runtime_s = 0.0 if since is None else self._clock.now() - since
        spec = stoppable[attempt.job].spec
        has_checkpoint = 0 < spec.checkpoint_s < runtime_s
        lost_s = spec.save_s if has_checkpoint else runtime_s
        if runtime_s < self._settings.min_useful_runtime_s:
            # stopped this soon, the start with its image fetch was wasted altogether
            lost_s += self._settings.min_useful_runtime_s
        return lost_s

    def _stoppable_jobs(self, job: Job, usage: UsageByTeam) -> StoppableJobs:
        """Returns the jobs whose tasks may be stopped for this one, by id.

        Worked out once in a round for jobs that are alike, not for each task on each machine: that
        took two thirds of a controller's CPU time on a large fleet.
        """
        spec = job.spec
        if spec is None:
            return {}
        # stopping a replica costs as much as starting one late, as long as the cloud has machines
        may_stop_replicas = spec.is_service and self._forecast.is_out_of_capacity(spec)
        is_within_quota = self._quotas.is_within_quota(job)
        priority = self._forecast.priority(job)
        team = spec.team if is_within_quota else None
        preemptor = _PreemptorClass(job.shard, priority, team, may_stop_replicas)
        known = self._stoppable.get(preemptor)
        if known is not None:
            return known
        result = self._stoppable[preemptor] = {}
        for other in self._cluster.jobs.active[job.shard].values():
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
        """Returns the attempts whose end lets one task start, those that lose least first.

        None if stopping all that may be stopped would not suffice.
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


def charge_excess(
    victims: list[PlannedAttempt], stoppable: StoppableJobs, excess_gpus: dict[str, float]
) -> bool:
    """Takes the victims' GPUs off what their teams use in excess of their quotas.

    False, and nothing is taken, if a team would be left with less than its quota.
    """
    charges: dict[str, float] = {}
    for attempt in victims:
        entry = stoppable[attempt.job]
        if entry.charged_team is not None:
            charged = charges.get(entry.charged_team, 0.0)
            charges[entry.charged_team] = charged + entry.spec.gpus
    if any(gpus > excess_gpus[team] for team, gpus in charges.items()):
        return False
    for team, gpus in charges.items():
        excess_gpus[team] -= gpus
    return True
