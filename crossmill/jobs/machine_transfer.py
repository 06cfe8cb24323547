"""Transfers of machines to shards whose tasks find no capacity while the cloud has none.

Every controller reads the same durable state, so each one computes which capacity the other shards
lack and which shard can spare the most machines. Only a machine's current owner transfers it
(docs/safety.md). The scheduling loop calls this module, which owns the planned transfers.
"""

import logging
from collections.abc import Iterator

from ..cluster import keys
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import Job, Machine, PlannedAttempt, ShardAssignment
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_machine
from ..planning.demand import TaskDemand, slots_per_machine
from ..planning.free_capacity import is_allowed
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from ..workers.attempt_outcomes import StopReason
from .context import SchedulingContext

log = logging.getLogger(__name__)


class PlannedTransfer:
    """The shard to which a machine is transferred once it is idle, and the expiry of the plan."""

    __slots__ = ("expires_at", "shard")

    def __init__(self, shard: int, expires_at: float) -> None:
        self.shard = shard
        self.expires_at = expires_at


class MachineTransfer:
    """Selection of machines for shards whose jobs find no capacity, and writes of transfers."""

    def __init__(self, context: SchedulingContext, membership: Membership) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._membership = membership
        # planned transfers by machine ID
        self._planned_transfers: dict[str, PlannedTransfer] = {}
        # expiry times in seconds of the transfers planned for a job, by job ID
        self._pending_until: dict[str, float] = {}
        # times of the last searches for machines to transfer, in seconds, by shard
        self._checked_at: dict[int, float] = {}
        # tasks without capacity that the last search found, by shard and job ID
        self._unplaced_tasks: dict[int, dict[str, int]] = {}

    def checked_at(self, shard: int) -> float:
        """Return the time of the shard's last search for machines to transfer, in seconds."""
        return self._checked_at.get(shard, 0.0)

    def unplaced_tasks(self, shard: int) -> dict[str, int]:
        """Return how many tasks of each job had no capacity in the shard at the last search."""
        return self._unplaced_tasks.get(shard, {})

    def has_planned_transfer(self, machine_id: str) -> bool:
        """Return whether the machine is to be transferred to another shard once it is idle."""
        return machine_id in self._planned_transfers

    def target_shard(self, machine: Machine) -> int | None:
        """Return the shard to which the machine may be transferred now.

        None if no transfer is planned, if the machine is retiring or has a task, or if its worker
        may still execute a start that was sent to it.
        """
        planned = self._planned_transfers.get(machine.id)
        view = self._heartbeats.find_view(machine.id)
        if (
            planned is None
            or view is None
            or machine.attempts
            or view.tasks
            or machine.retirement_reason
        ):
            return None
        return None if view.may_execute_direct_start else planned.shard

    def writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> dict[str, WriteIntent]:
        """Return the write that transfers a machine, by machine ID; empty if none is due.

        The machine gets its own fencing token, higher than all earlier ones, so that its worker
        rejects later commands of this shard's owner. Machines are transferred one at a time, since
        each write increments the counter from which all tokens are taken.
        """
        for machine in machines if self._planned_transfers else ():
            target_shard = self.target_shard(machine)
            if target_shard is not None:
                token, version = self._membership.next_token()
                key = keys.machine(machine.id)
                record = encode_machine(machine, assignment=ShardAssignment(target_shard, token))
                txn = Txn({key: machine.version}, [Put(key, record)])
                intent = shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
                intent.txn.conditions[keys.TOKEN] = version
                intent.txn.puts.append(Put(keys.TOKEN, {"n": token}))
                return {machine.id: intent}
        return {}

    def forget_transferred(self, machine_id: str) -> None:
        """Drop the planned transfer of the machine after the transfer has become durable."""
        self._planned_transfers.pop(machine_id, None)

    def choose_machines(self, shard: int) -> Iterator[PlannedAttempt]:
        """Choose machines of the shard for other shards, and yield the attempts to be stopped."""
        now = self._clock.now()
        self._drop_finished_transfers(now)
        if now - self._checked_at.get(shard, 0.0) < self._settings.machine_transfer_interval_s:
            return
        self._checked_at[shard] = now
        wall_time = self._clock.wall_time()
        for other in range(self._settings.shard_count):
            if other == shard or other not in self._cluster.shard_owners:
                continue
            demands = self._forecast.unplaced_demands(other, wall_time)
            self._unplaced_tasks[other] = {demand.spec.id: demand.tasks for demand in demands}
            for demand in demands:
                yield from self._choose_for(demand, shard, other, wall_time)

    def _drop_finished_transfers(self, now: float) -> None:
        for machine_id, planned in list(self._planned_transfers.items()):
            machine = self._cluster.machines.get(machine_id)
            if (
                machine is None
                or machine.shard == planned.shard
                or machine.retirement_reason
                or now > planned.expires_at
            ):
                del self._planned_transfers[machine_id]

    def _choose_for(
        self, demand: TaskDemand, shard: int, other: int, wall_time: float
    ) -> Iterator[PlannedAttempt]:
        """Choose machines for a demand of the other shard, if this shard can spare the most."""
        now, job = self._clock.now(), self._cluster.jobs[demand.spec.id]
        if self._pending_until.get(job.id, 0.0) > now:
            return
        # transferring an idle machine is better than renting one. Running tasks are stopped only
        # for replicas, and only after the cloud had time to provide a machine
        may_stop = (
            demand.spec.is_service and wall_time - job.ready_at > self._settings.worker_lease_s
        )
        for is_busy in (False, True) if may_stop else (False,):
            candidates = self._candidates(shard, demand, is_busy)
            if not candidates or self._has_better_donor(
                demand, is_busy, len(candidates), shard, other
            ):
                continue
            chosen = self._select_machines(candidates, demand, is_busy)
            expires_at = now + self._settings.worker_lease_s
            for machine in chosen:
                yield from self._plan_transfer(machine, PlannedTransfer(other, expires_at), job)
            if chosen:
                self._pending_until[job.id] = expires_at
                return

    def _has_better_donor(
        self, demand: TaskDemand, is_busy: bool, own_count: int, shard: int, other: int
    ) -> bool:
        """Return whether a third shard has more candidates, or as many and a lower number."""
        return any(
            (-len(self._candidates(third, demand, is_busy)), third) < (-own_count, shard)
            for third in range(self._settings.shard_count)
            if third not in (shard, other)
        )

    def _select_machines(
        self, candidates: list[Machine], demand: TaskDemand, is_busy: bool
    ) -> list[Machine]:
        """Return enough of the candidates for the demand's tasks, within the transfer limit."""
        selected: list[Machine] = []
        tasks_left = demand.tasks
        for machine in candidates[: self._settings.max_machines_per_transfer]:
            if tasks_left <= 0:
                break
            if machine.id not in self._planned_transfers and self._is_ready(machine, is_busy):
                tasks_left -= slots_per_machine(demand.spec, self._cluster.catalog[machine.type])
                selected.append(machine)
        return selected

    def _plan_transfer(
        self, machine: Machine, planned: PlannedTransfer, job: Job
    ) -> Iterator[PlannedAttempt]:
        """Plan the machine's transfer, and yield its attempts, which are to be stopped."""
        self._planned_transfers[machine.id] = planned
        log.info(
            "machine transfer planned machine=%s shard=%d for_job=%s tasks=%d",
            machine.id,
            planned.shard,
            job.id,
            len(machine.attempts),
        )
        for attempt in machine.attempts.values():
            self._heartbeats.request_stop(attempt, StopReason.TRANSFERRED)
            yield attempt

    def _is_ready(self, machine: Machine, is_busy: bool) -> bool:
        """Return whether the machine is healthy and, unless `is_busy`, has been idle long enough.

        Two heartbeat intervals without a task show that no start is in flight.
        """
        now = self._clock.now()
        view = self._heartbeats.find_view(machine.id)
        if view is None or not view.is_fresh(now, self._settings.heartbeat_timeout_s):
            return False
        if view.termination_at is not None:
            return False
        since = view.idle_since
        min_idle_s = 2 * self._settings.heartbeat_interval_s
        return is_busy or (since is not None and now - since > min_idle_s)

    def _candidates(self, shard: int, demand: TaskDemand, is_busy: bool) -> list[Machine]:
        """Return the shard's machines that suit the demand, those with fewest attempts first.

        These are idle machines or, if `is_busy`, machines whose tasks the demand may all preempt.
        """
        result = [
            machine
            for machine in self._cluster.machines.by_shard[shard].values()
            if self._is_candidate(machine, demand, is_busy)
        ]
        result.sort(key=lambda machine: len(machine.attempts))
        return result

    def _is_candidate(self, machine: Machine, demand: TaskDemand, is_busy: bool) -> bool:
        spec = demand.spec
        machine_type = self._cluster.catalog.get(machine.type)
        if machine_type is None or machine.retirement_reason or not machine.is_up:
            return False
        if machine.is_cordoned(self._clock.wall_time()) or machine.id in demand.excluded_machines:
            return False
        if bool(machine.attempts) is not is_busy or demand.zones.remaining(machine.zone) <= 0:
            return False
        if not is_allowed(spec, machine.type, machine.zone, machine.spot):
            return False
        return slots_per_machine(spec, machine_type) > 0 and all(
            self._is_preemptible_by(demand, attempt) for attempt in machine.attempts.values()
        )

    def _is_preemptible_by(self, demand: TaskDemand, attempt: PlannedAttempt) -> bool:
        """Return whether the attempt has lower priority than the demand and is not a replica."""
        job = self._cluster.jobs.get(attempt.job)
        if job is None or job.spec is None or job.spec.is_service:
            return False
        return self._forecast.priority(job) > self._forecast.priority(
            self._cluster.jobs[demand.spec.id]
        )
