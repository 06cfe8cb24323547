"""Placement of waiting tasks on eligible machines, in queue order.

The scheduling loop calls it once per round and shard. It owns the queue position at which the next
round continues after a round exceeded its time budget. Its decisions are added to the round's plan
edits. Each reason why a machine is not eligible ends: docs/safety.md ("Exclusions of machines and
jobs") says with what.
"""

import logging
from enum import StrEnum

from ..cluster.model import Job, Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..planning.free_capacity import FreeCapacity, TaskAssignment, ZoneAllowance
from ..wire.users import JobSpec
from .capacity_selection import CapacitySelection, PlacementRequest
from .context import SchedulingContext
from .failures import JobFailures, TaskFailures
from .machine_drain import MachineDrain
from .machine_transfer import MachineTransfer
from .plan_writer import PlanEdits, get_or_create_edit
from .team_quotas import ResourceUsage, TeamQuotas, UsageByTeam

log = logging.getLogger(__name__)


class MachineExclusion(StrEnum):
    """The reason why a machine gets no tasks at present."""

    # its record marks it as retiring
    RETIRING = "retiring"
    # no recent heartbeat with this owner's token was received
    NO_HEARTBEAT = "no-heartbeat"
    # the cloud has announced that it will terminate the machine
    TERMINATION_NOTICE = "termination-notice"
    # tasks of several jobs failed on it, as this owner or an earlier one saw
    FAULTY = "faulty"
    # its replicas are being moved to other machines
    DRAINING = "draining"
    # it is being transferred to another shard
    TRANSFERRING = "transferring"
    # a loan of its capacity has just been reduced: not all tasks planned under it may be known
    LOAN_REDUCED = "loan-reduced"


class MachineEligibility:
    """The decision whether tasks may be placed on a machine now."""

    def __init__(
        self,
        context: SchedulingContext,
        machine_drain: MachineDrain,
        machine_transfer: MachineTransfer,
        failures: TaskFailures,
    ) -> None:
        self._settings = context.settings
        self._mirror = context.cluster.mirror
        self._heartbeats = context.heartbeats
        self._machine_drain = machine_drain
        self._machine_transfer = machine_transfer
        self._failures = failures

    def exclusion(self, machine: Machine, now: float) -> MachineExclusion | None:
        """Return why no task may be placed on the machine, or None if tasks may be placed.

        `now` is in seconds of the controller's monotonic clock.
        """
        if machine.retirement_reason:
            return MachineExclusion.RETIRING
        view = self._heartbeats.find_view(machine.id)
        if view is None or not view.is_fresh(now, self._settings.heartbeat_timeout_s):
            return MachineExclusion.NO_HEARTBEAT
        if view.termination_at is not None:
            return MachineExclusion.TERMINATION_NOTICE
        if self._failures.is_unusable(machine):
            return MachineExclusion.FAULTY
        return self._exclusion_by_owners(machine)

    def _exclusion_by_owners(self, machine: Machine) -> MachineExclusion | None:
        """Return the exclusion that follows from what owners have decided on the machine."""
        if self._machine_drain.is_draining(machine.id):
            return MachineExclusion.DRAINING
        if self._machine_transfer.has_planned_transfer(
            machine.id
        ) or self._heartbeats.is_transferring(machine.id):
            return MachineExclusion.TRANSFERRING
        is_reduced = machine.loan_reduced_at > self._mirror.revision
        return MachineExclusion.LOAN_REDUCED if is_reduced else None


def _assigned_machines(assignments: list[TaskAssignment]) -> list[str]:
    """Return the machine ID for each assigned task."""
    return [capacity.machine for capacity, task_count in assignments for _ in range(task_count)]


class TaskPlacement:
    """Placement of waiting tasks within a time budget per round.

    A round that exceeds its budget is continued by the next one.
    """

    def __init__(
        self,
        context: SchedulingContext,
        quotas: TeamQuotas,
        selection: CapacitySelection,
        machine_drain: MachineDrain,
        eligibility: MachineEligibility,
        failures: TaskFailures,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._quotas = quotas
        self._selection = selection
        self._machine_drain = machine_drain
        self._eligibility = eligibility
        self._failures = failures
        self._capacity_cache = context.forecast.capacity.new_cache()
        # ID of the job with which the next round begins, by shard
        self._resume_at: dict[int, str] = {}
        # whether a round exceeded its time budget; cleared by `start_rounds`
        self._has_unfinished_round = False
        # resource usage in this round, including the tasks it has placed
        self._usage: UsageByTeam = {}

    @property
    def has_unfinished_round(self) -> bool:
        """Whether a round exceeded its time budget, so that the next should follow immediately."""
        return self._has_unfinished_round

    def start_rounds(self) -> None:
        """Begin new rounds for all shards, and reset `has_unfinished_round`."""
        self._has_unfinished_round = False

    def place(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[PlannedAttempt]:
        """Add starts of the shard's waiting tasks to `edits`.

        Returns the attempts to be stopped, either for waiting tasks or to drain a machine.
        """
        stops = self._selection.start_round()
        self._quotas.start_round(shard)
        queue = self._forecast.waiting_jobs(shard)
        if not queue:
            return list(
                self._machine_drain.drain(
                    shard, ownership, lambda: self._schedulable_capacities(machines)
                )
            )
        started_at = self._clock.now()
        capacities = self._schedulable_capacities(machines)
        capacities += self._forecast.capacity.borrowed_capacities(shard)
        self._usage = self._quotas.usage(shard)
        for job in self._rotated_queue(shard, queue):
            if self._clock.now() - started_at > self._settings.scheduling_time_budget_s:
                self._resume_at[shard] = job.id
                self._has_unfinished_round = True
                break
            if job.spec is not None:
                self._place_job(job, job.spec, capacities, edits)
        return stops

    def _rotated_queue(self, shard: int, queue: list[Job]) -> list[Job]:
        """Return the queue, rotated to the job where the last round exceeded its time budget."""
        resume_at = self._resume_at.pop(shard, None)
        if resume_at is None:
            return queue
        start = next((i for i, job in enumerate(queue) if job.id == resume_at), 0)
        return queue[start:] + queue[:start]

    def _schedulable_capacities(self, machines: list[Machine]) -> list[FreeCapacity]:
        now = self._clock.now()
        schedulable = [
            (machine, machine_type)
            for machine in machines
            if (machine_type := self._cluster.catalog.get(machine.type)) is not None
            and self._eligibility.exclusion(machine, now) is None
        ]
        return self._forecast.capacity.cached_capacities(self._capacity_cache, schedulable)

    def _place_job(
        self, job: Job, spec: JobSpec, capacities: list[FreeCapacity], edits: PlanEdits
    ) -> None:
        if job.failed_at and job.is_suspect:
            self._record_long_run(job, edits)
        usage = self._usage.setdefault(spec.team, ResourceUsage())
        failures = self._failures.for_job(job.id)
        tasks = self._tasks_to_place(job, spec, failures, usage)
        if tasks <= 0:
            return
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        request = PlacementRequest(job, spec, tasks, zones, self._usage)
        machine_ids = _assigned_machines(
            self._selection.assign_capacity(request, failures, capacities)
        )
        if not machine_ids:
            return
        for index, machine_id in zip(self._placeable_tasks(job, spec), machine_ids, strict=False):
            self._plan_start(job, index, machine_id, edits)
        usage.add(spec, len(machine_ids))

    def _tasks_to_place(
        self, job: Job, spec: JobSpec, failures: JobFailures | None, usage: ResourceUsage
    ) -> int:
        """Return the number of tasks that team limits and earlier failures allow to place now."""
        if failures is not None and failures.not_before > self._clock.now():
            return 0
        return min(job.placeable_task_count(), self._quotas.tasks_within_limit(spec, usage))

    def _record_long_run(self, job: Job, edits: PlanEdits) -> None:
        """Record in the plan that an attempt of the suspected job has run for long, if one has.

        The replicas of a service never end by themselves, and an array's tasks may run for hours.
        """
        for attempt in job.attempts():
            view = self._heartbeats.find_view(attempt.machine)
            since = view.running_since.get((attempt.job, attempt.index)) if view else None
            if view is None or since is None or view.last_heartbeat_at is None:
                continue
            if view.last_heartbeat_at - since >= self._settings.trial_run_s:
                name = self._cluster.layout.chunk_of(attempt.index, job.chunks).name
                get_or_create_edit(edits, job, name).has_run = True
                log.info("job cleared job=%s task=%d", job.id, attempt.index)
                return

    def _waiting_tasks(self, job: Job, spec: JobSpec) -> list[int]:
        """Return a bounded list of the lowest indexes of tasks without an attempt or a result."""
        layout = self._cluster.layout
        indexes: list[int] = []
        for chunk_range in layout.chunks(spec.tasks, job.chunks):
            chunk = job.chunks.get(chunk_range.name)
            first = chunk_range.first
            indexes.extend(
                index
                for index in range(first, chunk_range.end)
                if chunk is None
                or (index not in chunk.attempts and not chunk.done_bitmap >> (index - first) & 1)
            )
            if len(indexes) >= layout.legacy_tasks:
                break
        return indexes

    def _placeable_tasks(self, job: Job, spec: JobSpec) -> list[int]:
        """Return the waiting tasks, except those that a worker already runs without a plan."""
        gate = self._heartbeats.gate
        waiting = self._waiting_tasks(job, spec)
        if gate is None:
            return waiting
        return [index for index in waiting if not gate.is_running_unplanned(job.id, index)]

    def _plan_start(self, job: Job, index: int, machine_id: str, edits: PlanEdits) -> None:
        """Add the task's start to the edits, if the chunk's transaction has space for it."""
        machine = self._cluster.machines[machine_id]
        session = self._session_for(machine, job)
        name = self._cluster.layout.chunk_of(index, job.chunks).name
        edit = get_or_create_edit(edits, job, name)
        max_machines = self._cluster.limits.max_machines_per_txn
        if session is None or len({start.machine for start in edit.starts}) >= max_machines:
            return
        number = edit.base.next_attempt_number if edit.base else 1
        if job.spec is not None and not job.spec.is_gang:
            # a gang's tasks find one another by their common attempt number
            number += len(edit.starts)
        edit.start(PlannedAttempt(job.id, index, number, machine_id, session), machine)
        is_cached = job.spec is not None and job.spec.image in machine.images
        log.info(
            "task placed job=%s task=%d attempt=%d machine=%s cached=%s",
            job.id,
            index,
            number,
            machine_id,
            is_cached,
        )

    def _session_for(self, machine: Machine, job: Job) -> int | None:
        """Return the worker session for which a task is planned; None if it is unknown.

        Of a machine that another shard lends, only that shard's owner receives the heartbeats.
        """
        if machine.shard != job.shard:
            loan = machine.loan_to(job.shard)
            return loan.session if loan is not None else None
        view = self._heartbeats.find_view(machine.id)
        return view.session if view is not None else None
