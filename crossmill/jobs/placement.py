"""Placement of waiting tasks on machines, in the order of the queue.

Called by the scheduling loop once per round and shard. Owns where a round that ran out of its time
budget continues; what it decides goes into the round's plan edits.
"""

import logging

from ..cluster.model import Job, Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..planning.free_capacity import FreeCapacity, TaskAssignment, ZoneAllowance
from ..wire.users import JobSpec
from .capacity_selection import CapacitySelection, PlacementRequest
from .context import SchedulingContext
from .failures import JobFailures, TaskFailures
from .machine_drain import MachineDrain
from .machine_transfer import MachineTransfer
from .plan_writer import PlanEdits, edit_of
from .team_quotas import LIMIT_TOLERANCE, ResourceUsage, TeamQuotas, UsageByTeam

log = logging.getLogger(__name__)


def _slots(taken: list[TaskAssignment]) -> list[str]:
    """Returns the machine for each of the tasks."""
    return [capacity.machine for capacity, task_count in taken for _ in range(task_count)]


class TaskPlacement:
    """Places waiting tasks within a time budget; the next round continues where one stopped."""

    def __init__(
        self,
        context: SchedulingContext,
        quotas: TeamQuotas,
        selection: CapacitySelection,
        machine_drain: MachineDrain,
        machine_transfer: MachineTransfer,
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
        self._machine_transfer = machine_transfer
        self._failures = failures
        self._capacity_cache = context.forecast.capacity.new_cache()
        # by shard, the job with which the next round begins
        self._resume_at: dict[int, str] = {}
        # whether a round ran out of time; cleared by `start_rounds`
        self._is_unfinished = False
        # of this round, with what it has placed
        self._usage: UsageByTeam = {}

    @property
    def is_unfinished(self) -> bool:
        """Whether a round ran out of time, so that the next ones should follow at once."""
        return self._is_unfinished

    def start_rounds(self) -> None:
        """Starts the rounds of all shards: `is_unfinished` refers to these from now on."""
        self._is_unfinished = False

    def place(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[PlannedAttempt]:
        """Adds starts of the shard's waiting tasks to `edits`.

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
        self._usage = self._quotas.usage(shard)
        for job in self._resumed(shard, queue):
            if self._clock.now() - started_at > self._settings.scheduling_time_budget_s:
                self._resume_at[shard] = job.id
                self._is_unfinished = True
                break
            if job.spec is not None:
                self._place_job(job, job.spec, capacities, edits)
        return stops

    def _resumed(self, shard: int, queue: list[Job]) -> list[Job]:
        """Returns the queue, rotated to where the last round ran out of time."""
        resume_at = self._resume_at.pop(shard, None)
        if resume_at is None:
            return queue
        start = next((i for i, job in enumerate(queue) if job.id == resume_at), 0)
        return queue[start:] + queue[:start]

    # -- which machines --------------------------------------------------------------

    def _is_schedulable(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine."""
        view = self._heartbeats.find_view(machine.id)
        return (
            view is not None
            and not machine.retiring
            and view.is_fresh(now, self._settings.heartbeat_timeout_s)
            and view.termination_at is None
            and not self._failures.is_faulty(machine.id)
            and not self._machine_drain.is_draining(machine.id)
            and not self._machine_transfer.is_leaving(machine.id)
            and not self._heartbeats.is_transferring(machine.id)
        )

    def _schedulable_capacities(self, machines: list[Machine]) -> list[FreeCapacity]:
        now = self._clock.now()
        schedulable = [
            (machine, kind)
            for machine in machines
            if (kind := self._cluster.catalog.get(machine.type)) is not None
            and self._is_schedulable(machine, now)
        ]
        return self._forecast.capacity.cached_capacities(self._capacity_cache, schedulable)

    # -- one job ---------------------------------------------------------------------

    def _place_job(
        self, job: Job, spec: JobSpec, capacities: list[FreeCapacity], edits: PlanEdits
    ) -> None:
        usage = self._usage.setdefault(spec.team, ResourceUsage())
        failures = self._failures.of(job.id)
        tasks = self._tasks_to_place(job, spec, failures, usage)
        if tasks <= 0:
            return
        zones = ZoneAllowance(spec, self._cluster.machines.task_counts_by_zone(job))
        request = PlacementRequest(job, spec, tasks, zones, self._usage)
        slots = _slots(self._selection.take(request, failures, capacities))
        if not slots:
            return
        for index, machine_id in zip(self._placeable_tasks(job, spec), slots, strict=False):
            self._plan_start(job, index, machine_id, edits)
        usage.add(spec, len(slots))

    def _tasks_to_place(
        self, job: Job, spec: JobSpec, failures: JobFailures | None, usage: ResourceUsage
    ) -> int:
        """Returns how many tasks may be placed now, within limits and after failures."""
        tasks = min(job.waiting_task_count(), self._tasks_within_limit(spec, usage))
        if failures is None:
            return tasks
        if failures.not_before > self._clock.now():
            return 0
        return min(tasks, 1 - job.planned_task_count()) if failures.is_suspect else tasks

    def _tasks_within_limit(self, spec: JobSpec, usage: ResourceUsage) -> int:
        """Returns how many more tasks of the job the team's limits allow."""
        team = self._settings.team(spec.team)
        if team is None:
            return 0
        tasks = spec.tasks
        for limit, used, per_task in (
            (team.cpus_max, usage.cpus, spec.cpus),
            (team.gpus_max, usage.gpus, spec.gpus),
        ):
            if limit > 0 and per_task > 0:
                tasks = min(tasks, int((limit - used + LIMIT_TOLERANCE) / per_task))
        return max(0, tasks)

    # -- its tasks -------------------------------------------------------------------

    def _waiting_tasks(self, job: Job, spec: JobSpec) -> list[int]:
        """Returns indexes of tasks with neither an attempt nor a result, lowest first, bounded."""
        layout = self._cluster.layout
        indexes: list[int] = []
        for chunk_range in layout.chunks(spec.tasks, job.chunks):
            chunk = job.chunks.get(chunk_range.name)
            first = chunk_range.first
            indexes.extend(
                index
                for index in range(first, chunk_range.end)
                if chunk is None
                or (index not in chunk.attempts and not chunk.done >> (index - first) & 1)
            )
            if len(indexes) >= layout.legacy_tasks:
                break
        return indexes

    def _placeable_tasks(self, job: Job, spec: JobSpec) -> list[int]:
        """Returns those waiting tasks that no worker runs without a plan."""
        gate = self._heartbeats.gate
        waiting = self._waiting_tasks(job, spec)
        if gate is None:
            return waiting
        return [index for index in waiting if not gate.is_claimed(job.id, index)]

    def _plan_start(self, job: Job, index: int, machine_id: str, edits: PlanEdits) -> None:
        """Adds the start of the task on the machine to the edits, if the write has space for it."""
        view = self._heartbeats.find_view(machine_id)
        name = self._cluster.layout.chunk_of(index, job.chunks).name
        edit = edit_of(edits, job, name)
        max_machines = self._cluster.limits.max_machines_per_txn
        if view is None or len({start.machine for start in edit.starts}) >= max_machines:
            return
        number = edit.base.next if edit.base else 1
        if job.spec is not None and not job.spec.is_gang:
            # a gang's tasks find one another by a common attempt number
            number += len(edit.starts)
        machine = self._cluster.machines[machine_id]
        edit.start(PlannedAttempt(job.id, index, number, machine_id, view.session), machine)
        is_cached = job.spec is not None and job.spec.image in machine.images
        log.info(
            "task placed job=%s task=%d attempt=%d machine=%s cached=%s",
            job.id,
            index,
            number,
            machine_id,
            is_cached,
        )
