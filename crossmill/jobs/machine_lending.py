"""Loans of free capacity on machines to shards whose tasks find none while the cloud has none.

A loan is a part of a machine's record. The owner of the machine's shard writes it, and remains the
only one that commands the machine: it starts what the borrowing shard's owner plans within the
loan, and records how the attempts end (docs/safety.md). The scheduling loop calls this module in
each round, after placement. It owns the times of its checks; the loans are stored.
"""

import logging
from collections.abc import Iterator
from enum import StrEnum
from math import inf

from ..cluster import keys
from ..cluster.feature_level import LENDING_LEVEL
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import NO_RESOURCES, CapacityLoan, Job, Machine, Resources
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_machine_with_loan
from ..planning.demand import TaskDemand
from ..planning.free_capacity import FreeCapacity, count_fitting_tasks, is_allowed
from ..planning.lending import assign_demand
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from .context import SchedulingContext
from .failures import TaskFailures
from .overdue_demands import OverdueDemand, OverdueDemands
from .placement import MachineEligibility, MachineExclusion
from .plan_writer import PlanEdits
from .preemption import Preemption
from .team_quotas import ResourceUsage, TeamQuotas

log = logging.getLogger(__name__)

# the changed loans of a check by machine ID; None removes the loan
LoanChanges = dict[str, CapacityLoan | None]


class LoanEnd(StrEnum):
    """The reason why nothing more may be planned under a loan."""

    # its machine gets no tasks at present, for a reason of `MachineExclusion`
    MACHINE_EXCLUDED = "machine-excluded"
    # the worker has begun a new session
    SESSION_ENDED = "session-ended"
    # tasks on the machine are being stopped for a job of the machine's own shard
    PREEMPTED = "preempted"
    # tasks of the machine's own shard wait for the capacity
    NEEDED_HERE = "needed-here"
    # no task of the borrowing shard waits for the capacity
    UNNEEDED = "unneeded"


def _add(resources: Resources, spec: JobSpec, tasks: int) -> Resources:
    return Resources(
        resources.cpus + tasks * spec.cpus,
        resources.gpus + tasks * spec.gpus,
        resources.memory_gb + tasks * spec.memory_gb,
    )


class _Grant:
    """The resources that a check lends to one shard on one machine, and the first job for it."""

    __slots__ = ("job_id", "resources", "shard")

    def __init__(self, shard: int, job_id: str) -> None:
        self.shard = shard
        self.job_id = job_id
        self.resources = NO_RESOURCES


class _CheckResult:
    """The loans that one check grants, and the existing ones that overdue tasks still need."""

    def __init__(self) -> None:
        self.grants: dict[str, _Grant] = {}
        self.needed_loans: set[str] = set()


class MachineLending:
    """Decides on the loans of a shard's machines, and writes them."""

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        quotas: TeamQuotas,
        preemption: Preemption,
        eligibility: MachineEligibility,
        failures: TaskFailures,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._membership = membership
        self._quotas = quotas
        self._preemption = preemption
        self._eligibility = eligibility
        self._failures = failures
        self._overdue = OverdueDemands(context, quotas)
        self._capacity_cache = context.forecast.capacity.new_cache()
        # times of the last checks in seconds, by shard
        self._checked_at: dict[int, float] = {}

    def writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[WriteIntent]:
        """Return the writes that begin, change or end loans of the shard's machines.

        `edits` are this round's. A machine on which the round starts a task is left alone: the
        start rests on the version of the machine's record.
        """
        if not self._cluster.has_level(LENDING_LEVEL):
            return []
        lent = [m for m in self._cluster.machines.with_loan.values() if m.shard == shard]
        changes = self._forced_ends(lent, ownership)
        now = self._clock.now()
        if now - self._checked_at.get(shard, -inf) >= self._settings.machine_transfer_interval_s:
            self._checked_at[shard] = now
            # recovery looks for unplanned tasks of a shard's jobs on that shard's machines only
            has_gate = self._heartbeats.gate is not None
            overdue = [] if has_gate else self._overdue.of_other_shards(shard)
            if overdue or lent:
                changes |= self._check(shard, machines, lent, overdue, edits, changes)
        used = {machine for edit in edits.values() for machine in edit.machine_versions}
        return [
            self._intent(shard, ownership, self._cluster.machines[machine_id], loan)
            for machine_id, loan in changes.items()
            if machine_id not in used
        ]

    def _intent(
        self, shard: int, ownership: ShardOwnership, machine: Machine, loan: CapacityLoan | None
    ) -> WriteIntent:
        key = keys.machine(machine.id)
        txn = Txn({key: machine.version}, [Put(key, encode_machine_with_loan(machine, loan))])
        return shard_intent(self._membership, shard, ownership, WriteRank.PLACEMENT, txn)

    # -- ends of loans ---------------------------------------------------------------

    def _forced_ends(self, lent: list[Machine], ownership: ShardOwnership) -> LoanChanges:
        """Return the ends of loans under which nothing more must be planned, whoever needs it."""
        changes: LoanChanges = {}
        for machine in lent:
            loan = machine.loan
            if loan is None or loan.is_closed:
                continue
            reason = self._reason_to_end(machine, loan, ownership)
            if reason is not None:
                changes[machine.id] = self._ended(machine, loan, reason)
        return changes

    def _reason_to_end(
        self, machine: Machine, loan: CapacityLoan, ownership: ShardOwnership
    ) -> LoanEnd | None:
        now = self._clock.now()
        exclusion = self._eligibility.exclusion(machine, now)
        # a new owner has not received the machine's heartbeats yet
        is_new_owner = now - ownership.acquired_at < self._settings.worker_lease_s
        is_awaited = exclusion is MachineExclusion.NO_HEARTBEAT and is_new_owner
        if exclusion not in (None, MachineExclusion.LOAN_REDUCED) and not is_awaited:
            return LoanEnd.MACHINE_EXCLUDED
        view = self._heartbeats.find_view(machine.id)
        if view is not None and view.has_confirmed_token and view.session != loan.session:
            return LoanEnd.SESSION_ENDED
        return LoanEnd.PREEMPTED if self._preemption.is_reserved(machine.id) else None

    def _ended(self, machine: Machine, loan: CapacityLoan, reason: LoanEnd) -> CapacityLoan | None:
        """Return what is left of an ended loan: a closed one while other shards' tasks remain."""
        log.info("loan ended machine=%s shard=%d reason=%s", machine.id, loan.shard, reason.value)
        if self._cluster.machines.has_guests(machine):
            return CapacityLoan(loan.shard, loan.session, NO_RESOURCES)
        return None

    # -- the regular check -----------------------------------------------------------

    def _check(
        self,
        shard: int,
        machines: list[Machine],
        lent: list[Machine],
        overdue: list[OverdueDemand],
        edits: PlanEdits,
        changes: LoanChanges,
    ) -> LoanChanges:
        """Return the loans to begin, enlarge, end and remove, besides the given changes."""
        result = self._assign(shard, overdue)
        needed_here = self._machines_needed_here(shard, machines, lent, edits)
        new_changes: LoanChanges = {}
        for machine in lent:
            loan = machine.loan
            if loan is None or machine.id in changes or machine.id in result.grants:
                continue
            if loan.is_closed:
                if not self._cluster.machines.has_guests(machine):
                    new_changes[machine.id] = None
            elif machine.id in needed_here:
                new_changes[machine.id] = self._ended(machine, loan, LoanEnd.NEEDED_HERE)
            elif machine.id not in result.needed_loans and not self._is_needed(machine, loan):
                new_changes[machine.id] = self._ended(machine, loan, LoanEnd.UNNEEDED)
        for machine_id, grant in list(result.grants.items())[: self._settings.max_loans_per_check]:
            if machine_id not in changes and machine_id not in needed_here:
                new_changes[machine_id] = self._granted(self._cluster.machines[machine_id], grant)
        return new_changes

    def _granted(self, machine: Machine, grant: _Grant) -> CapacityLoan:
        """Return the machine's loan with the grant added to what the shard uses or has there."""
        view, loan = self._heartbeats.find_view(machine.id), machine.loan
        session = view.session if view is not None else 0
        if loan is not None and (loan.shard, loan.session) == (grant.shard, session):
            base = loan.resources if not loan.is_closed else None
        else:
            base = None
        if base is None:
            base = self._cluster.machines.usage_by_shard(machine, grant.shard)
        total = Resources(*(a + b for a, b in zip(base, grant.resources, strict=True)))
        log.info(
            "capacity lent machine=%s shard=%d for_job=%s cpus=%g gpus=%g memory_gb=%g",
            machine.id,
            grant.shard,
            grant.job_id,
            *grant.resources,
        )
        return CapacityLoan(grant.shard, session, total)

    # -- what other shards need ------------------------------------------------------

    def _assign(self, shard: int, overdue: list[OverdueDemand]) -> _CheckResult:
        """Assign the overdue tasks to the free capacity of all shards' machines.

        Every owner assigns them alike, from durable facts, and lends what falls on its machines.
        A machine is lent to one shard at a time.
        """
        result = _CheckResult()
        if not overdue:
            return result
        capacities = self._free_capacities(shard)
        borrowed = {
            entry.shard: self._forecast.capacity.borrowed_capacities(entry.shard)
            for entry in overdue
        }
        borrowers = {
            machine.id: machine.loan.shard
            for machine in self._cluster.machines.with_loan.values()
            if machine.loan is not None and not machine.loan.is_closed
        }
        for entry in overdue:
            usable = [
                capacity
                for capacity in capacities
                if self._cluster.machines[capacity.machine].shard == entry.shard
                or borrowers.get(capacity.machine, entry.shard) == entry.shard
            ]
            for capacity, tasks in assign_demand(entry.demand, usable + borrowed[entry.shard]):
                lender = self._cluster.machines[capacity.machine].shard
                if capacity.is_borrowed:
                    result.needed_loans.add(capacity.machine)
                elif lender != entry.shard:
                    borrowers[capacity.machine] = entry.shard
                    if lender == shard:
                        grant = result.grants.setdefault(
                            capacity.machine, _Grant(entry.shard, entry.job.id)
                        )
                        grant.resources = _add(grant.resources, entry.demand.spec, tasks)
        return result

    def _free_capacities(self, shard: int) -> list[FreeCapacity]:
        """Return copies of the free capacity of all machines that may get tasks.

        Of other shards' machines only the records are known.
        """
        now, wall_time = self._clock.now(), self._clock.wall_time()
        usable = [
            (machine, machine_type)
            for machine in self._cluster.machines.values()
            if machine.is_up
            and not machine.retirement_reason
            and not machine.is_cordoned(wall_time)
            and (machine_type := self._cluster.catalog.get(machine.type)) is not None
            and (machine.shard != shard or self._may_lend(machine, now))
        ]
        capacities = self._forecast.capacity.cached_capacities(self._capacity_cache, usable)
        return [capacity.copy() for capacity in capacities]

    def _may_lend(self, machine: Machine, now: float) -> bool:
        is_reserved = self._preemption.is_reserved(machine.id)
        return not is_reserved and self._eligibility.exclusion(machine, now) is None

    def _is_needed(self, machine: Machine, loan: CapacityLoan) -> bool:
        """Return whether all of the loan is used, or a waiting job may use what is not."""
        unused = self._cluster.machines.unused_loan(machine)
        if unused == NO_RESOURCES:
            return True
        usage = self._quotas.usage(loan.shard)
        return any(
            self._can_use(demand, machine, unused, usage.get(demand.spec.team, ResourceUsage()))
            for demand in self._waiting_demands(loan.shard)
            if not demand.spec.is_gang
        )

    def _can_use(
        self, demand: TaskDemand, machine: Machine, unused: Resources, usage: ResourceUsage
    ) -> bool:
        spec = demand.spec
        return (
            is_allowed(spec, machine.type, machine.zone, machine.spot)
            and machine.id not in demand.excluded_machines
            and demand.zones.remaining(machine.zone) > 0
            and count_fitting_tasks(spec, *unused) > 0
            and self._quotas.tasks_within_limit(spec, usage) > 0
        )

    def _waiting_demands(self, shard: int) -> Iterator[TaskDemand]:
        wall_time = self._clock.wall_time()
        for job in self._forecast.waiting_jobs(shard):
            demand = self._forecast.demand_of(job, wall_time)
            if demand is not None:
                yield demand

    # -- what the shard itself needs -------------------------------------------------

    def _machines_needed_here(
        self, shard: int, machines: list[Machine], lent: list[Machine], edits: PlanEdits
    ) -> set[str]:
        """Return the lent machines whose unused loans the shard's own waiting tasks could use."""
        unused = {
            machine.id: resources
            for machine in lent
            if (resources := self._cluster.machines.unused_loan(machine)) != NO_RESOURCES
        }
        if not unused:
            return set()
        without_loans = {c.machine: c for c in self._own_capacities(machines)}
        with_loans = [capacity.copy() for capacity in without_loans.values()]
        for capacity in with_loans:
            resources = unused.get(capacity.machine, NO_RESOURCES)
            capacity.cpus += resources.cpus
            capacity.gpus += resources.gpus
            capacity.memory_gb += resources.memory_gb
        needed: set[str] = set()
        started = {edit.job.id for edit in edits.values() if edit.starts}
        usage = self._quotas.usage(shard)
        for demand in self._waiting_demands(shard):
            team_usage = usage.setdefault(demand.spec.team, ResourceUsage())
            job = self._cluster.jobs[demand.spec.id]
            if job.id in started or not self._may_place(job, demand, team_usage):
                continue
            for capacity, tasks in assign_demand(demand, with_loans):
                team_usage.add(demand.spec, tasks)
                plain = without_loans[capacity.machine]
                if capacity.machine in unused and plain.count_fitting(demand.spec) < tasks:
                    needed.add(capacity.machine)
                plain.reserve(demand.spec, tasks)
        return needed

    def _own_capacities(self, machines: list[Machine]) -> list[FreeCapacity]:
        now = self._clock.now()
        usable = [
            (machine, machine_type)
            for machine in machines
            if self._eligibility.exclusion(machine, now) is None
            and (machine_type := self._cluster.catalog.get(machine.type)) is not None
        ]
        capacities = self._forecast.capacity.cached_capacities(self._capacity_cache, usable)
        return [capacity.copy() for capacity in capacities]

    def _may_place(self, job: Job, demand: TaskDemand, usage: ResourceUsage) -> bool:
        failures = self._failures.for_job(job.id)
        if failures is not None and failures.not_before > self._clock.now():
            return False
        return self._overdue.limit_tasks(demand, usage)
