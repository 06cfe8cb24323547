"""Placing waiting tasks: which machine takes which, in the queue's order."""

import logging

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job, Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..planning.free_capacity import (
    FreeCapacity,
    TaskAssignment,
    ZoneAllowance,
    assign_tasks,
    is_allowed,
)
from ..settings import Settings
from ..wire.users import JobSpec
from ..workers.heartbeat_handler import HeartbeatHandler
from .failures import TaskFailures
from .machine_transfer import MachineTransfer
from .plan_writer import PlanEdits, edit_of
from .preemption import Preemption
from .team_quotas import ResourceUsage, TeamQuotas

log = logging.getLogger(__name__)


class TaskPlacement:
    """One round's placing, within its time budget; the next goes on where it stopped."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        heartbeats: HeartbeatHandler,
        forecast: DemandForecast,
        quotas: TeamQuotas,
        preemption: Preemption,
        machine_transfer: MachineTransfer,
        failures: TaskFailures,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._heartbeats = heartbeats
        self._forecast = forecast
        self._quotas = quotas
        self._preemption = preemption
        self._machine_transfer = machine_transfer
        self._failures = failures
        self._capacity_cache = forecast.capacity.new_cache()
        self._resume: dict[int, str] = {}
        # set when a round ran out of time, cleared by whoever begins the next
        self.is_unfinished = False
        # of this round: kinds of tasks for which no room is left; rooms only fill up meanwhile
        self._full: set[tuple[object, ...]] = set()
        self._stops: list[PlannedAttempt] = []

    def _usable(self, machine: Machine, own_now: float) -> bool:
        view = self._heartbeats.find_view(machine.id)
        return (
            view is not None
            and not machine.retiring
            and view.is_fresh(own_now, self._settings.heartbeat_timeout_s)
            and view.notice_at is None
            and not self._failures.is_faulty(machine.id)
            and machine.id not in self._preemption.draining
            and not self._machine_transfer.is_leaving(machine.id)
            and not self._heartbeats.is_transferring(machine.id)
        )

    def _capacities(self, machines: list[Machine]) -> list[FreeCapacity]:
        now = self._clock.now()
        usable = [
            (machine, kind)
            for machine in machines
            if (kind := self._cluster.catalog.get(machine.type)) is not None
            and self._usable(machine, now)
        ]
        return self._forecast.capacity.cached_capacities(self._capacity_cache, usable)

    def place(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[PlannedAttempt]:
        """Plans starts of the shard's waiting tasks into `edits`; returns the attempts to be
        stopped to make room, or to empty a machine.
        """
        self._stops = []
        self._preemption.drop_expired_claims()
        self._quotas.start_round(shard)
        self._full.clear()
        queue = self._forecast.waiting_jobs(shard)
        if not queue:
            return list(
                self._preemption.drain(shard, ownership, lambda: self._capacities(machines))
            )
        started = self._clock.now()
        capacities = self._capacities(machines)
        usage = self._quotas.usage(shard)
        # a round that ran out of time goes on where it stopped
        resume = self._resume.pop(shard, None)
        if resume is not None:
            start = next((i for i, job in enumerate(queue) if job.id == resume), 0)
            queue = queue[start:] + queue[:start]
        for job in queue:
            if self._clock.now() - started > self._settings.scheduling_time_budget_s:
                self._resume[shard] = job.id
                self.is_unfinished = True
                break
            self._place_job(job, capacities, usage, edits)
        return self._stops

    def _within_limit(self, spec: JobSpec, usage: ResourceUsage) -> int:
        team = self._settings.team(spec.team)
        now = usage.setdefault(spec.team, [0.0, 0.0])
        count = spec.tasks
        if team is None:
            return 0
        for most, held, each in (
            (team.cpus_max, now[0], spec.cpus),
            (team.gpus_max, now[1], spec.gpus),
        ):
            if most > 0 and each > 0:
                count = min(count, int((most - held + 1e-6) / each))
        return max(0, count)

    def _place_job(
        self,
        job: Job,
        capacities: list[FreeCapacity],
        usage: ResourceUsage,
        edits: PlanEdits,
    ) -> None:
        spec = job.spec
        assert spec is not None
        failures = self._failures.of(job.id)
        wanted = min(job.waiting_task_count(), self._within_limit(spec, usage))
        if failures is not None and failures.not_before > self._clock.now():
            return
        if failures is not None and failures.is_suspect:
            wanted = min(wanted, 1 - job.planned_task_count())
        if wanted <= 0:
            return
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        bad = failures.machines if failures is not None else set()
        free = self._free(spec, capacities)
        free = [
            r for r in free if r.machine not in bad and self._preemption.is_available_to(r, job)
        ]
        if spec.kind == "gang" and not self._whole(job, spec, wanted, free):
            return
        # a replica that ended with its machine says nothing against the job: only failures of
        # its own keep it from taking others' room. Arrays take it once, for their guarantee:
        # for each task anew they would stop one another's work over and over
        blameless = failures is None or (spec.kind == "service" and failures.failures == 0)
        if blameless and self._preemption.can_preempt_for(job, usage):
            capacities = [
                r
                for r in capacities
                if r.machine not in bad and self._preemption.is_available_to(r, job)
            ]
        else:
            blameless, capacities = False, free
            if not free:
                return
        taken = self._find_capacity(job, spec, wanted, free, capacities, zones, usage, blameless)
        if not taken:
            return
        slots = [capacity.machine for capacity, number in taken for _ in range(number)]
        for index, machine_id in zip(self._unclaimed(job), slots, strict=False):
            self._start(job, index, machine_id, edits)
        usage[spec.team][0] += len(slots) * spec.cpus
        usage[spec.team][1] += len(slots) * spec.gpus

    def _free(self, spec: JobSpec, capacities: list[FreeCapacity]) -> list[FreeCapacity]:
        """Rooms where at least one such task fits. Most jobs that wait are like others that
        wait, and most rooms are full: it is asked once for all that are alike.
        """
        kind = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
        if kind in self._full:
            return []
        free = [
            capacity
            for capacity in capacities
            if capacity.fits(spec) and is_allowed(spec, capacity.type, capacity.zone, capacity.spot)
        ]
        if not free:
            self._full.add(kind)
        return free

    def _whole(self, job: Job, spec: JobSpec, wanted: int, capacities: list[FreeCapacity]) -> bool:
        """A gang's tasks wait for one another, so they are placed together or not at all."""
        if job.planned_task_count():
            return False
        trial = [capacity.copy() for capacity in capacities]
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        found = sum(n for _, n in assign_tasks(spec, wanted, trial, zones))
        return found == job.waiting_task_count()

    def _find_capacity(
        self,
        job: Job,
        spec: JobSpec,
        wanted: int,
        free: list[FreeCapacity],
        capacities: list[FreeCapacity],
        zones: ZoneAllowance,
        usage: ResourceUsage,
        may_preempt: bool,
    ) -> list[TaskAssignment]:
        """FreeCapacity that is free; but a class that must start soon rather gets the place of
        lesser
        work where its image is than a free one where it would wait for the image.
        """
        start_objective_s = (
            self._settings.start_objective_s(spec.job_class) if spec.kind == "service" else None
        )
        taken: list[TaskAssignment] = []
        # a claim that came to nothing is not repeated: then any room will do
        again = self._preemption.has_failed_claim(job)
        if start_objective_s is not None and not again:
            # room made for the job counts wherever it is, or it would stand empty until the
            # claim ends
            def near(capacity: FreeCapacity) -> bool:
                return capacity.image_delay_s(
                    spec
                ) < 0.75 * start_objective_s or self._preemption.is_reserved_for(capacity, job)

            taken = assign_tasks(
                spec,
                wanted,
                list(filter(near, free)),
                zones,
                self._settings.max_replica_share_per_machine,
            )
            wanted -= sum(number for _, number in taken)
            if wanted and may_preempt:
                if self._preemption.has_claim(job):
                    return taken
                stops, covered = self._preemption.preempt(
                    job, wanted, list(filter(near, capacities)), zones, usage
                )
                self._stops.extend(stops)
                wanted -= covered
        more = (
            assign_tasks(spec, wanted, free, zones, self._settings.max_replica_share_per_machine)
            if wanted
            else []
        )
        wanted -= sum(number for _, number in more)
        if wanted and may_preempt and not again:
            stops, _ = self._preemption.preempt(job, wanted, capacities, zones, usage)
            self._stops.extend(stops)
        return taken + more

    def _waiting(self, job: Job) -> list[int]:
        """Tasks with no attempt in the plan and no outcome, lowest first, bounded."""
        assert job.spec is not None
        layout = self._cluster.layout
        result: list[int] = []
        for where in layout.chunks(job.spec.tasks, job.chunks):
            chunk = job.chunks.get(where.name)
            for index in range(where.first, where.end):
                if chunk is None or (
                    index not in chunk.attempts and not chunk.done >> (index - where.first) & 1
                ):
                    result.append(index)
            if len(result) >= layout.legacy_tasks:
                break
        return result

    def _unclaimed(self, job: Job) -> list[int]:
        """Those of the waiting tasks that no worker runs without a plan."""
        gate = self._heartbeats.gate
        waiting = self._waiting(job)
        return waiting if gate is None else [i for i in waiting if not gate.is_claimed(job.id, i)]

    def _start(self, job: Job, index: int, machine_id: str, edits: PlanEdits) -> None:
        view = self._heartbeats.find_view(machine_id)
        name = self._cluster.layout.chunk_of(index, job.chunks).name
        edit = edit_of(edits, job, name)
        most = self._cluster.limits.machines_per_txn
        if view is None or len({r.machine for r in edit.starts}) >= most:
            return
        attempt = edit.base.next if edit.base else 1
        if job.spec is not None and job.spec.kind != "gang":
            # a gang's tasks find one another by a common attempt number
            attempt += len(edit.starts)
        machine = self._cluster.machines[machine_id]
        edit.start(PlannedAttempt(job.id, index, attempt, machine_id, view.session), machine)
        cached = job.spec is not None and job.spec.image in machine.images
        log.info(
            "task placed job=%s task=%d attempt=%d machine=%s cached=%s",
            job.id,
            index,
            attempt,
            machine_id,
            cached,
        )
