"""Loans of free capacity on machines to shards whose tasks find none while the cloud has none.

A loan is a part of a machine's record. The owner of the machine's shard writes it, and remains the
only one that commands the machine: it starts what the borrowing shard's owner plans within the
loan, and records how the attempts end (docs/safety.md). The scheduling loop calls this module in
each round, after placement. It owns the times of its checks; the loans are stored.
"""

import logging
from enum import StrEnum

from ..cluster import keys
from ..cluster.feature_level import LENDING_LEVEL
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import CapacityLoan, Machine, Resources
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_machine_with_loans
from ..planning.demand import TaskDemand, idle_capacity, slots_per_machine
from ..planning.free_capacity import FreeCapacity, assign_tasks, is_allowed
from ..planning.lending import DemandAssigner, capacities_with_room
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from .context import SchedulingContext
from .failures import TaskFailures
from .loan_changes import LoanAssignment, LoanChanges, LoanGrant, LoanGrants
from .loan_needs import LoanNeeds
from .machine_transfer import MachineTransfer
from .overdue_demands import OverdueDemand, OverdueDemands
from .placement import MachineEligibility, MachineExclusion
from .plan_writer import PlanEdits
from .preemption import Preemption
from .team_quotas import ResourceUsage, TeamQuotas

log = logging.getLogger(__name__)


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


class MachineLending:
    """Decides on the loans of a shard's machines, and writes them."""

    def __init__(  # noqa: PLR0913 - wired by the scheduling loop
        self,
        context: SchedulingContext,
        membership: Membership,
        quotas: TeamQuotas,
        preemption: Preemption,
        eligibility: MachineEligibility,
        failures: TaskFailures,
        machine_transfer: MachineTransfer,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._capacity = context.forecast.capacity
        self._membership = membership
        self._machine_transfer = machine_transfer
        self._quotas = quotas
        self._preemption = preemption
        self._eligibility = eligibility
        self._overdue = OverdueDemands(context, machine_transfer)
        self._needs = LoanNeeds(context, quotas, eligibility, failures)
        self._capacity_cache = self._capacity.new_cache()
        # times in seconds of the searches for transfers that the last checks used, by shard
        self._checked_at: dict[int, float] = {}
        # the jobs of other shards with overdue tasks that their teams' limits allow and that fit on
        # machines of the region if these are idle, as of the last check, by shard
        self._overdue_specs: dict[int, list[JobSpec]] = {}

    def writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[WriteIntent]:
        """Return the writes that begin, change or end loans of the shard's machines.

        `edits` are this round's. A machine on which the round starts a task is left alone: the
        start rests on the version of the machine's record.
        """
        if not self._cluster.has_level(LENDING_LEVEL):
            return []
        used = {machine for edit in edits.values() for machine in edit.machine_versions}
        with_loans = self._cluster.machines.with_loans.values()
        lent = [m for m in with_loans if m.shard == shard and m.id not in used]
        changes = LoanChanges()
        ended = self._end_forced(lent, ownership, changes)
        # a check uses what a search for machines to transfer has found in the same round
        searched_at = self._machine_transfer.checked_at(shard)
        if searched_at > self._checked_at.get(shard, 0.0):
            self._checked_at[shard] = searched_at
            # recovery looks for unplanned tasks of a shard's jobs on that shard's machines only
            has_gate = self._heartbeats.gate is not None
            overdue = [] if has_gate else self._overdue.of_other_shards(shard)
            assignment = self._assign(shard, overdue, used | ended)
            self._overdue_specs[shard] = assignment.overdue_specs
            self._needs.start_check()
            unended = [machine for machine in lent if machine.id not in ended]
            needed_here = self._needs.machines_needed_here(shard, machines, unended, edits)
            self._end_unneeded(unended, assignment, needed_here, changes)
            self._grant(assignment.grants, needed_here, changes)
        return [
            self._intent(shard, ownership, self._cluster.machines[machine_id], loans)
            for machine_id, loans in changes.by_machine().items()
        ]

    def is_needed_elsewhere(self, machine: Machine) -> bool:
        """Return whether overdue tasks of other shards could use the machine if it were idle."""
        specs = self._overdue_specs.get(machine.shard)
        machine_type = self._cluster.catalog.get(machine.type)
        if not specs or machine_type is None:
            return False
        return any(
            is_allowed(spec, machine.type, machine.zone, machine.spot)
            and slots_per_machine(spec, machine_type) > 0
            for spec in specs
        )

    def _intent(
        self, shard: int, ownership: ShardOwnership, machine: Machine, loans: list[CapacityLoan]
    ) -> WriteIntent:
        key = keys.machine(machine.id)
        txn = Txn({key: machine.version}, [Put(key, encode_machine_with_loans(machine, loans))])
        return shard_intent(self._membership, shard, ownership, WriteRank.PLACEMENT, txn)

    # -- ends of loans ---------------------------------------------------------------

    def _end_forced(
        self, lent: list[Machine], ownership: ShardOwnership, changes: LoanChanges
    ) -> set[str]:
        """End the loans under which nothing more must be planned, whoever needs them.

        Returns the IDs of the machines on which a loan was ended.
        """
        ended: set[str] = set()
        for machine in lent:
            for loan in machine.loans:
                reason = None if loan.is_closed else self._end_reason(machine, loan, ownership)
                if reason is not None:
                    self._end(machine, loan, reason, changes)
                    ended.add(machine.id)
        return ended

    def _end_reason(
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

    def _end(
        self, machine: Machine, loan: CapacityLoan, reason: LoanEnd, changes: LoanChanges
    ) -> None:
        """End a loan: it is closed while tasks of its shard remain, and else removed."""
        log.info("loan ended machine=%s shard=%d reason=%s", machine.id, loan.shard, reason.value)
        if self._has_tasks_of(machine, loan.shard):
            changes.set(machine, loan.closed())
        else:
            changes.remove(machine, loan.shard)

    def _has_tasks_of(self, machine: Machine, shard: int) -> bool:
        return self._cluster.machines.has_tasks_of(machine, shard)

    def _end_unneeded(
        self,
        lent: list[Machine],
        assignment: LoanAssignment,
        needed_here: set[str],
        changes: LoanChanges,
    ) -> None:
        """End the loans that nobody needs or that the shard itself needs; remove closed ones."""
        for machine in lent:
            for loan in machine.loans:
                entry = (machine.id, loan.shard)
                if entry in assignment.grants and machine.id not in needed_here:
                    continue
                if loan.is_closed:
                    if not self._has_tasks_of(machine, loan.shard):
                        changes.remove(machine, loan.shard)
                elif machine.id in needed_here:
                    self._end(machine, loan, LoanEnd.NEEDED_HERE, changes)
                elif entry not in assignment.needed_loans and not self._needs.is_needed(
                    machine, loan
                ):
                    self._end(machine, loan, LoanEnd.UNNEEDED, changes)

    # -- new loans -------------------------------------------------------------------

    def _assign(
        self, shard: int, overdue: list[OverdueDemand], excluded: set[str]
    ) -> LoanAssignment:
        """Assign the overdue tasks to the free capacity of all shards' machines.

        Every owner assigns them alike, from durable facts and within their teams' limits, and lends
        what falls on its machines.
        """
        result = LoanAssignment()
        if not overdue:
            return result
        capacities = self._free_capacities(shard, overdue, excluded)
        assigners = {
            borrower: DemandAssigner(capacities + self._capacity.borrowed_capacities(borrower))
            for borrower in {entry.shard for entry in overdue}
        }
        usage = {entry.shard: self._quotas.usage(entry.shard) for entry in overdue}
        for entry in overdue:
            team = entry.demand.spec.team
            team_usage = usage[entry.shard].setdefault(team, ResourceUsage())
            if not self._quotas.limit_demand(entry.demand, team_usage):
                continue
            if not entry.demand.spec.is_gang or self._fits_on_idle_machines(entry.demand):
                result.overdue_specs.append(entry.demand.spec)
            for capacity, tasks in assigners[entry.shard].assign(entry.demand):
                team_usage.add(entry.demand.spec, tasks)
                lender = self._cluster.machines[capacity.machine].shard
                loan = (capacity.machine, entry.shard)
                if capacity.is_borrowed:
                    result.needed_loans.add(loan)
                elif lender == shard != entry.shard:
                    grant = result.grants.setdefault(loan, LoanGrant(entry.job.id))
                    spec = entry.demand.spec
                    grant.resources = grant.resources.add(
                        Resources(tasks * spec.cpus, tasks * spec.gpus, tasks * spec.memory_gb)
                    )
        return result

    def _fits_on_idle_machines(self, demand: TaskDemand) -> bool:
        """Return whether all tasks of the demand would fit if every machine were idle."""
        capacities = [
            idle_capacity(machine.id, machine_type, machine.zone, machine.spot)
            for machine in self._cluster.machines.values()
            if machine.is_up
            and not machine.retirement_reason
            and (machine_type := self._cluster.catalog.get(machine.type)) is not None
        ]
        tasks = assign_tasks(demand.spec, demand.tasks, capacities, demand.zones.copy())
        return sum(assignment.tasks for assignment in tasks) == demand.tasks

    def _free_capacities(
        self, shard: int, overdue: list[OverdueDemand], excluded: set[str]
    ) -> list[FreeCapacity]:
        """Return copies of the free capacity of machines that may get some of the tasks.

        Of other shards' machines only the records are known.
        """
        wall_time = self._clock.wall_time()
        usable = [
            (machine, machine_type)
            for machine in self._cluster.machines.values()
            if machine.is_up
            and not machine.retirement_reason
            and not machine.is_cordoned(wall_time)
            and (machine_type := self._cluster.catalog.get(machine.type)) is not None
        ]
        capacities = self._capacity.cached_capacities(self._capacity_cache, usable)
        # most machines are full, and a copy takes longer than the comparison
        with_room = capacities_with_room([entry.demand.spec for entry in overdue], capacities)
        now = self._clock.now()
        return [
            capacity.copy()
            for capacity in with_room
            if (machine := self._cluster.machines[capacity.machine]).shard != shard
            or self._may_lend(machine, excluded, now)
        ]

    def _may_lend(self, machine: Machine, excluded: set[str], now: float) -> bool:
        if machine.id in excluded or self._preemption.is_reserved(machine.id):
            return False
        return self._eligibility.exclusion(machine, now) is None

    def _grant(self, grants: LoanGrants, needed_here: set[str], changes: LoanChanges) -> None:
        """Begin or enlarge loans, on a bounded number of machines."""
        machine_ids = list(dict.fromkeys(machine_id for machine_id, _ in grants))
        allowed = set(machine_ids[: self._settings.max_loans_per_check]) - needed_here
        for (machine_id, shard), grant in grants.items():
            view = self._heartbeats.find_view(machine_id)
            if machine_id not in allowed or view is None:
                continue
            machine = self._cluster.machines[machine_id]
            base = self._lent_or_used(machine, shard, view.session)
            changes.set(machine, CapacityLoan(shard, view.session, base.add(grant.resources)))
            log.info(
                "capacity lent machine=%s shard=%d for_job=%s cpus=%g gpus=%g memory_gb=%g",
                machine_id,
                shard,
                grant.job_id,
                *grant.resources,
            )

    def _lent_or_used(self, machine: Machine, shard: int, session: int) -> Resources:
        """Return what the shard has on the machine: its loan for the session, or what it uses."""
        loan = machine.loan_to(shard)
        if loan is not None and loan.session == session and not loan.is_closed:
            return loan.resources
        return self._cluster.machines.usage_by_shard(machine, shard)
