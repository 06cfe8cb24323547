"""Stopping tasks: to make room for jobs of higher priority, and to empty machines that the
rest of the fleet can do without. Only intentions are kept here; reports carry them out.
"""

import logging
from collections.abc import Callable, Iterator
from math import inf

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job, Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..planning.free_capacity import FreeCapacity, ZoneAllowance, is_allowed
from ..settings import Settings
from ..wire.users import JobSpec
from ..workers.attempt_outcomes import StopReason
from ..workers.heartbeat_handler import HeartbeatHandler
from .team_quotas import ResourceUsage, TeamQuotas

log = logging.getLogger(__name__)


class Preemption:
    """Stops lesser work for jobs that find no room, and empties machines that can be spared."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        heartbeats: HeartbeatHandler,
        forecast: DemandForecast,
        quotas: TeamQuotas,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._heartbeats = heartbeats
        self._forecast = forecast
        self._quotas = quotas
        # jobs for which room is being made, until when it is waited for
        self._claims: dict[str, float] = {}
        # what is freed piece by piece would go to small tasks before the large one fits
        self._reserved: dict[str, tuple[str, float]] = {}
        self.draining: dict[str, float] = {}
        self._drained_at: dict[int, float] = {}
        # of this round: what may be stopped for jobs that are alike in this
        self._stoppable: dict[tuple[int, int, str, bool], dict[str, str]] = {}

    # -- preemption ------------------------------------------------------------------

    def has_claim(self, job: Job) -> bool:
        """Whether room is being made for the job."""
        return self._claims.get(job.id, 0.0) > self._clock.now()

    def has_failed_claim(self, job: Job) -> bool:
        """Whether room was made for the job of late and it still waits."""
        since = self._clock.now() - self._claims.get(job.id, -inf)
        return 0 <= since < self._settings.default_queue_wait_s

    def drop_expired_claims(self) -> None:
        """Claims end with their jobs' waiting, reservations also with their time."""
        now = self._clock.now()
        self._stoppable.clear()
        for job_id in list(self._claims):
            job = self._cluster.jobs.get(job_id)
            if job is None or job.waiting_task_count() == 0:
                del self._claims[job_id]
        for machine, (job_id, until) in list(self._reserved.items()):
            if job_id not in self._claims or now > until:
                del self._reserved[machine]

    def is_available_to(self, capacity: FreeCapacity, job: Job) -> bool:
        """Whether the room is not reserved for another job."""
        holder = self._reserved.get(capacity.machine)
        return holder is None or holder[0] == job.id

    def is_reserved_for(self, capacity: FreeCapacity, job: Job) -> bool:
        """Whether the room was made for this job."""
        holder = self._reserved.get(capacity.machine)
        return holder is not None and holder[0] == job.id

    def can_preempt_for(self, job: Job, usage: ResourceUsage) -> bool:
        """Whether room is being made for the job, or there is work that may be stopped for it."""
        return self.has_claim(job) or bool(self._stoppable_jobs(job, usage))

    def preempt(
        self,
        job: Job,
        tasks: int,
        capacities: list[FreeCapacity],
        zones: ZoneAllowance,
        usage: ResourceUsage,
    ) -> tuple[list[PlannedAttempt], int]:
        """Rows to be stopped so that up to this many tasks of the job find room, and how many
        tasks they make room for. `zones` counts what this round has placed already, and takes
        what room is made for.
        """
        spec, now = job.spec, self._clock.now()
        if spec is None or self.has_claim(job):
            return [], 0
        stoppable = self._stoppable_jobs(job, usage)
        if not stoppable:
            return [], 0
        beyond = {
            name: self._quotas.gpus_over_quota(name, usage) for name in set(stoppable.values())
        }
        best: list[tuple[int, bool, float, FreeCapacity, list[PlannedAttempt]]] = []
        for capacity in capacities:
            if not is_allowed(spec, capacity.type, capacity.zone, capacity.spot):
                continue
            if not self.is_available_to(capacity, job):
                continue
            victims = self._victims(spec, capacity, stoppable)
            if victims is not None:
                lost = sum(self._lost_s(attempt) for attempt in victims)
                best.append(
                    (
                        capacity.contention_cost(spec),
                        spec.image not in capacity.images,
                        lost,
                        capacity,
                        victims,
                    )
                )
        best.sort(key=lambda entry: entry[:3])
        chosen: list[PlannedAttempt] = []
        machines: list[str] = []
        covered = 0
        for _, _, _, capacity, victims in best:
            if covered >= tasks:
                break
            if zones.remaining(capacity.zone) <= 0 or not self._draw(victims, stoppable, beyond):
                continue
            zones.reserve(capacity.zone, 1)
            covered += 1
            chosen.extend(victims)
            machines.append(capacity.machine)
        if chosen:
            self._claims[job.id] = (
                now
                + 2 * self._settings.heartbeat_interval_s
                + 2 * max((self._spec(attempt).save_s for attempt in chosen), default=0.0)
            )
            for machine in machines:
                self._reserved[machine] = (job.id, self._claims[job.id])
        for attempt in chosen:
            log.info(
                "task preempted job=%s task=%d machine=%s for_job=%s",
                attempt.job,
                attempt.index,
                attempt.machine,
                job.id,
            )
            self._heartbeats.request_stop(attempt, StopReason.PREEMPTED)
        return chosen, covered

    def _spec(self, attempt: PlannedAttempt) -> JobSpec:
        spec = self._cluster.jobs[attempt.job].spec
        assert spec is not None
        return spec

    def _lost_s(self, attempt: PlannedAttempt) -> float:
        """Run time that stopping this attempt throws away, counting its image anew."""
        view = self._heartbeats.find_view(attempt.machine)
        since = view.running_since.get((attempt.job, attempt.index)) if view is not None else None
        ran = 0.0 if since is None else self._clock.now() - since
        spec = self._spec(attempt)
        lost = spec.save_s if 0 < spec.checkpoint_s < ran else ran
        # a start that is stopped this soon was in vain altogether
        return lost + (
            self._settings.min_useful_runtime_s
            if ran < self._settings.min_useful_runtime_s
            else 0.0
        )

    def _stoppable_jobs(self, job: Job, usage: ResourceUsage) -> dict[str, str]:
        """The jobs whose tasks may be stopped for this one, each with the team from whose use
        beyond its guarantee that is drawn ("" for lesser work). Asked once for jobs that are
        alike, not for each task on each machine: that took two thirds of a controller's time on
        a large fleet.
        """
        spec = job.spec
        assert spec is not None
        # a replica stopped costs as much as one started late, while machines can be had
        replicas = spec.kind == "service" and self._forecast.is_out_of_capacity(spec)
        within = self._quotas.is_within_quota(job)
        rank = self._forecast.priority(job)
        key = (job.shard, rank, spec.team if within else "", replicas)
        if key in self._stoppable:
            return self._stoppable[key]
        result = self._stoppable[key] = {}
        for other in self._cluster.jobs.active[job.shard].values():
            victim = other.spec
            if victim is None or not other.chunks or (victim.kind == "service" and not replicas):
                continue
            if self._forecast.priority(other) > rank:
                result[other.id] = ""
            elif (
                within
                and victim.team != spec.team
                and self._quotas.gpus_over_quota(victim.team, usage) > 0
            ):
                result[other.id] = victim.team
        return result

    def _draw(
        self, victims: list[PlannedAttempt], stoppable: dict[str, str], beyond: dict[str, float]
    ) -> bool:
        """Takes the victims' GPUs off what their teams use beyond their guarantees; false if
        a team would be left with less than its guarantee.
        """
        drawn: dict[str, float] = {}
        for attempt in victims:
            team = stoppable[attempt.job]
            if team:
                drawn[team] = drawn.get(team, 0.0) + self._spec(attempt).gpus
        if any(gpus > beyond[team] for team, gpus in drawn.items()):
            return False
        for team, gpus in drawn.items():
            beyond[team] -= gpus
        return True

    def _victims(
        self, spec: JobSpec, capacity: FreeCapacity, stoppable: dict[str, str]
    ) -> list[PlannedAttempt] | None:
        """The rows whose end lets one task in, least work lost first; None if there are none."""
        machine = self._cluster.machines.get(capacity.machine)
        if machine is None:
            return None
        attempts = [
            r
            for r in machine.attempts.values()
            if r.job in stoppable and not self._heartbeats.is_stopping(r)
        ]
        if not attempts:
            return None
        attempts.sort(key=self._lost_s)
        cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory_gb
        chosen: list[PlannedAttempt] = []
        for attempt in attempts:
            victim = self._spec(attempt)
            cpus, gpus = cpus + victim.cpus, gpus + victim.gpus
            memory += victim.memory_gb
            chosen.append(attempt)
            if cpus >= spec.cpus and gpus >= spec.gpus and memory >= spec.memory_gb:
                return chosen
        return None

    # -- emptying machines -----------------------------------------------------------

    def drain(
        self, shard: int, ownership: ShardOwnership, capacities: Callable[[], list[FreeCapacity]]
    ) -> Iterator[PlannedAttempt]:
        """At most one machine at a time is emptied, when its replicas would stand within a
        moment on machines that are kept anyway.
        """
        now = self._clock.now()
        for machine_id in list(self.draining):
            machine = self._cluster.machines.get(machine_id)
            if machine is None or machine.retiring or now > self.draining[machine_id]:
                del self.draining[machine_id]
        if self.draining or now - max(ownership.acquired_at, self._drained_at.get(shard, 0.0)) < (
            self._settings.drain_interval_s
        ):
            return
        self._drained_at[shard] = now
        machine = self._emptiest(shard, capacities())
        if machine is None:
            return
        self.draining[machine.id] = now + 2 * self._settings.worker_lease_s
        log.info("machine drained machine=%s tasks=%d", machine.id, len(machine.attempts))
        for attempt in machine.attempts.values():
            self._heartbeats.request_stop(attempt, StopReason.DRAINED)
            yield attempt

    def _emptiest(self, shard: int, capacities: list[FreeCapacity]) -> Machine | None:
        """The machine whose going saves most for each replica moved."""
        by_gain: list[tuple[float, Machine]] = []
        for capacity in capacities:
            machine = self._cluster.machines[capacity.machine]
            kind = self._cluster.catalog.get(machine.type)
            if (
                kind is None
                or not machine.attempts
                or len(machine.attempts) > self._settings.max_tasks_to_drain
            ):
                continue
            if all(self._settled(attempt) for attempt in machine.attempts.values()):
                by_gain.append((kind.price / len(machine.attempts), machine))
        by_gain.sort(key=lambda entry: -entry[0])
        for _, machine in by_gain[:8]:
            if self._forecast.is_redundant(shard, machine, capacities):
                return machine
        return None

    def _settled(self, attempt: PlannedAttempt) -> bool:
        """A replica that has run for a while; one just begun would count as not started."""
        view = self._heartbeats.find_view(attempt.machine)
        since = view.running_since.get((attempt.job, attempt.index)) if view is not None else None
        job = self._cluster.jobs.get(attempt.job)
        if since is None or job is None or job.spec is None or job.spec.kind != "service":
            return False
        return self._clock.now() - since > self._settings.replica_settle_time_s
