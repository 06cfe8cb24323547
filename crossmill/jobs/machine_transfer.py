"""Transfers of machines to another shard whose tasks find no capacity while the cloud has none.

Every controller sees the same durable facts, so each works out by itself what the other shards lack
and which shard can spare most; only a machine's present owner transfers it (docs/safety.md). Called
by the scheduling loop; owns which machines are to leave their shard.
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
    """The shard that a machine goes to once it is empty, and until when that is tried."""

    __slots__ = ("shard", "until")

    def __init__(self, shard: int, until: float) -> None:
        self.shard = shard
        self.until = until


class MachineTransfer:
    """Chooses machines for shards whose jobs find no capacity, and writes their transfers."""

    def __init__(self, context: SchedulingContext, membership: Membership) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._membership = membership
        # by machine
        self._leaving: dict[str, PlannedTransfer] = {}
        # by job, until when the machines chosen for it are waited for
        self._pending_until: dict[str, float] = {}
        # by shard
        self._checked_at: dict[int, float] = {}

    def is_leaving(self, machine_id: str) -> bool:
        """Whether the machine goes to another shard once it is empty."""
        return machine_id in self._leaving

    def target(self, machine: Machine) -> int | None:
        """Returns the shard that the machine may go to now.

        None if it stays, a task is on it, or a start sent to it may still arrive.
        """
        planned = self._leaving.get(machine.id)
        view = self._heartbeats.find_view(machine.id)
        if planned is None or view is None or machine.attempts or view.tasks or machine.retiring:
            return None
        return None if self._heartbeats.has_unacknowledged_starts(machine.id) else planned.shard

    def writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> dict[str, WriteIntent]:
        """Returns the write that transfers a machine, by the machine's id; empty if none is due.

        The machine gets a fencing token of its own, higher than all before, so that its worker
        obeys no command of this shard's owner afterwards. One machine at a time: each write raises
        the counter that all tokens come from.
        """
        for machine in machines if self._leaving else ():
            target = self.target(machine)
            if target is not None:
                token, version = self._membership.next_token()
                key = keys.machine(machine.id)
                record = encode_machine(machine, assignment=ShardAssignment(target, token))
                txn = Txn({key: machine.version}, [Put(key, record)])
                intent = shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
                intent.txn.conditions[keys.TOKEN] = version
                intent.txn.puts.append(Put(keys.TOKEN, {"n": token}))
                return {machine.id: intent}
        return {}

    def forget_transferred(self, machine_id: str) -> None:
        """Drops the machine, whose transfer is durable."""
        self._leaving.pop(machine_id, None)

    def choose_machines(self, shard: int) -> Iterator[PlannedAttempt]:
        """Chooses machines of the shard for other shards; yields the attempts to be stopped."""
        now = self._clock.now()
        self._drop_finished(now)
        if now - self._checked_at.get(shard, 0.0) < self._settings.machine_transfer_interval_s:
            return
        self._checked_at[shard] = now
        wall = self._clock.wall()
        for other in range(self._settings.shard_count):
            if other == shard or other not in self._cluster.shard_owners:
                continue
            for demand in self._forecast.unplaced_demands(other, wall):
                yield from self._choose_for(demand, shard, other, wall)

    def _drop_finished(self, now: float) -> None:
        for machine_id, planned in list(self._leaving.items()):
            machine = self._cluster.machines.get(machine_id)
            if (
                machine is None
                or machine.shard == planned.shard
                or machine.retiring
                or now > planned.until
            ):
                del self._leaving[machine_id]

    def _choose_for(
        self, demand: TaskDemand, shard: int, other: int, wall: float
    ) -> Iterator[PlannedAttempt]:
        """Chooses machines for a demand of the other shard, if this shard can spare most."""
        now, job = self._clock.now(), self._cluster.jobs[demand.spec.id]
        if self._pending_until.get(job.id, 0.0) > now:
            return
        # transferring an idle machine is better than renting one; running tasks are stopped only
        # for replicas, and only after the cloud had its time
        may_stop = demand.spec.is_service and wall - job.ready_at > self._settings.worker_lease_s
        for is_busy in (False, True) if may_stop else (False,):
            candidates = self._candidates(shard, demand, is_busy)
            if not candidates or self._has_better_donor(
                demand, is_busy, len(candidates), shard, other
            ):
                continue
            chosen = self._select(candidates, demand, is_busy)
            until = now + self._settings.worker_lease_s
            for machine in chosen:
                yield from self._begin(machine, PlannedTransfer(other, until), job)
            if chosen:
                self._pending_until[job.id] = until
                return

    def _has_better_donor(
        self, demand: TaskDemand, is_busy: bool, own_count: int, shard: int, other: int
    ) -> bool:
        """Whether a third shard has more candidates, or as many and a lower number."""
        return any(
            (-len(self._candidates(third, demand, is_busy)), third) < (-own_count, shard)
            for third in range(self._settings.shard_count)
            if third not in (shard, other)
        )

    def _select(
        self, candidates: list[Machine], demand: TaskDemand, is_busy: bool
    ) -> list[Machine]:
        """Returns enough of the candidates for the demand's tasks, within the limit."""
        selected: list[Machine] = []
        tasks_left = demand.tasks
        for machine in candidates[: self._settings.max_machines_per_transfer]:
            if tasks_left <= 0:
                break
            if machine.id not in self._leaving and self._is_ready(machine, is_busy):
                tasks_left -= slots_per_machine(demand.spec, self._cluster.catalog[machine.type])
                selected.append(machine)
        return selected

    def _begin(
        self, machine: Machine, planned: PlannedTransfer, job: Job
    ) -> Iterator[PlannedAttempt]:
        """Plans the machine's transfer; yields its attempts, which are to be stopped."""
        self._leaving[machine.id] = planned
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
        """Whether the machine is healthy and, unless its tasks are to be stopped, idle long enough.

        Two heartbeats without a task show that no start is on its way.
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
        """Returns the shard's machines that suit the demand, those with fewest attempts first.

        Empty machines or, if `is_busy`, those whose tasks are all preemptible by the demand.
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
        kind = self._cluster.catalog.get(machine.type)
        if kind is None or machine.retiring or not machine.up:
            return False
        if bool(machine.attempts) is not is_busy or demand.zones.remaining(machine.zone) <= 0:
            return False
        if not is_allowed(spec, machine.type, machine.zone, machine.spot):
            return False
        return slots_per_machine(spec, kind) > 0 and all(
            self._is_preemptible_by(demand, attempt) for attempt in machine.attempts.values()
        )

    def _is_preemptible_by(self, demand: TaskDemand, attempt: PlannedAttempt) -> bool:
        """Whether the attempt is of lower priority, and is no replica."""
        job = self._cluster.jobs.get(attempt.job)
        if job is None or job.spec is None or job.spec.is_service:
            return False
        return self._forecast.priority(job) > self._forecast.priority(
            self._cluster.jobs[demand.spec.id]
        )
