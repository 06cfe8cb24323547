"""The scheduling loop: reconciles the durable plans of the shards that this controller owns.

A round turns task outcomes into plan changes, places waiting tasks and maintains the machines. It
writes its decisions in transactions that are conditional on the versions on which they are based.
Starts are sent to workers only from durable plans. The loop runs in every controller
(crossmill/app.py); changes in the state service and outcomes in heartbeats wake it.
"""

import logging
from typing import TYPE_CHECKING

import curio

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.lease_expiry_proof import LeaseExpiryProof
from ..cluster.membership import Membership
from ..cluster.model import Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import WriteIntent, Writer, WriteResult
from ..workers.command_sender import CommandSender
from ..workers.heartbeat_handler import HeartbeatHandler
from .capacity_selection import CapacitySelection
from .cleanup import EndedJobCleanup
from .context import SchedulingContext
from .failures import TaskFailures
from .machine_drain import MachineDrain
from .machine_maintenance import MachineMaintenance
from .machine_transfer import MachineTransfer
from .outcomes import OutcomeRecorder
from .placement import MachineEligibility, TaskPlacement
from .plan_migration import PlanMigration
from .plan_writer import PlanEdits, PlanWriter
from .preemption import Preemption
from .team_quotas import TeamQuotas

if TYPE_CHECKING:
    from .machine_lending import MachineLending
    from .waiting_report import WaitingReport

log = logging.getLogger(__name__)


class _RoundWrite:
    """A write of a round, with the starts that may be sent once the write is durable."""

    __slots__ = ("intent", "starts")

    def __init__(self, intent: WriteIntent, starts: list[PlannedAttempt]) -> None:
        self.intent = intent
        self.starts = starts


class SchedulingLoop:
    """Scheduling rounds for each owned shard, and the execution of their decisions."""

    def __init__(  # noqa: PLR0913 - wired by the application; grouped below for the components
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        heartbeats: HeartbeatHandler,
        writer: Writer,
        forecast: DemandForecast,
        command_sender: CommandSender,
        expiry_proof: LeaseExpiryProof,
        wake: curio.Event,
    ) -> None:
        self._settings = settings
        self._cluster = cluster
        self._membership = membership
        self._heartbeats = heartbeats
        self._writer = writer
        self._command_sender = command_sender
        context = SchedulingContext(settings, clock, cluster, heartbeats, forecast)
        self._failures = TaskFailures(settings, clock, cluster)
        self._outcome_recorder = OutcomeRecorder(context, membership, writer, self._failures)
        self._quotas = TeamQuotas(settings, cluster)
        preemption = Preemption(context, self._quotas)
        self._machine_transfer = MachineTransfer(context, membership)
        self._migration = PlanMigration(cluster, membership)
        self._plan_writer = PlanWriter(clock, cluster, membership, self._migration)
        self._cleanup = EndedJobCleanup(settings, clock, cluster, membership)
        # the last writes for ended jobs, by shard
        self._cleanup_writes: dict[int, list[WriteIntent]] = {}
        machine_drain = MachineDrain(context, self._is_needed_elsewhere)
        self._maintenance = MachineMaintenance(
            context, membership, expiry_proof, machine_drain, self._failures
        )
        self._context = context
        self._eligibility = MachineEligibility(
            context, machine_drain, self._machine_transfer, self._failures
        )
        self._preemption = preemption
        self._lending: MachineLending | None = None
        self._placement = TaskPlacement(
            context,
            self._quotas,
            CapacitySelection(context, preemption),
            machine_drain,
            self._eligibility,
            self._failures,
        )
        self._started_at = clock.now()
        self._waiting_report: WaitingReport | None = None
        self._wake = wake

    async def run(self) -> None:
        """Run rounds for all shards that this controller owns, until cancelled.

        The next rounds begin when something has changed or half a heartbeat interval has passed. If
        a round exceeded its time budget, they begin without waiting for either.
        """
        while True:
            if not self._placement.has_unfinished_round:
                await curio.ignore_after(self._settings.heartbeat_interval_s / 2, self._wake.wait)
            self._placement.start_rounds()
            self._wake.clear()
            for shard in range(self._settings.shard_count):
                ownership = self._membership.active_ownership(shard)
                if ownership is not None:
                    await self.run_round(shard, ownership)
            await curio.sleep(self._settings.scheduling_interval_s)

    async def wait_for_cleanup(self, shard: int) -> None:
        """Wait until the results of the shard's last writes for ended jobs are known.

        Rounds don't wait for these writes.
        """
        for intent in self._cleanup_writes.get(shard, ()):
            await intent.future.wait()

    # -- one round -------------------------------------------------------------------

    async def run_round(self, shard: int, ownership: ShardOwnership) -> None:
        """Run one round for a shard, and wait until its writes are settled."""
        edits: PlanEdits = {}
        machines = list(self._cluster.machines.by_shard[shard].values())
        for machine in machines:
            self._heartbeats.expire_lease(machine, ownership)
        self._outcome_recorder.record_released(shard, ownership)
        self._outcome_recorder.add_to_edits(shard, ownership, edits)
        stops = self._place(shard, ownership, machines, edits)
        if stops:
            await self._command_sender.send([], stops)
        writes = self._plan_writes(shard, ownership, edits)
        if await self._clean_up(shard, ownership):
            self._failures.forget_ended(shard)
        maintenance = self._maintenance.writes(shard, ownership, machines)
        transfers = self._machine_transfer.writes(shard, ownership, machines)
        loans = self._loan_writes(shard, ownership, machines, edits)
        others = (*maintenance, *transfers.values(), *loans)
        writes += [_RoundWrite(intent, []) for intent in others]
        await self._submit(writes, transfers)
        await self._send_durable_starts(writes)
        self._report_waiting_jobs(shard, machines)

    def _place(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[PlannedAttempt]:
        """Add starts to `edits`, and return the attempts to be stopped.

        Machines to transfer to other shards are chosen before tasks are placed: a start planned on
        such a machine in the same round would move with it to a shard that does not know the job.
        """
        gate = self._heartbeats.gate
        if gate is not None and not gate.may_place(shard):
            return []
        stops = list(self._machine_transfer.choose_machines(shard))
        return stops + self._placement.place(shard, ownership, machines, edits)

    def _is_needed_elsewhere(self, machine: Machine) -> bool:
        """Return whether overdue tasks of other shards could use the machine."""
        return self._lending is not None and self._lending.is_needed_elsewhere(machine)

    def _loan_writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[WriteIntent]:
        """Return the writes of loans; lending is loaded late, as each import delays the start."""
        if self._lending is None:
            started_for_s = self._context.clock.now() - self._started_at
            is_needed = started_for_s >= self._settings.machine_transfer_interval_s
            if not (is_needed or self._cluster.machines.with_loans):
                return []
            from .machine_lending import MachineLending

            self._lending = MachineLending(
                self._context,
                self._membership,
                self._quotas,
                self._preemption,
                self._eligibility,
                self._failures,
                self._machine_transfer,
            )
        return self._lending.writes(shard, ownership, machines, edits)

    def _report_waiting_jobs(self, shard: int, machines: list[Machine]) -> None:
        """Log why jobs wait; the report is loaded late, as each import at the start delays it."""
        if self._waiting_report is None:
            started_for_s = self._context.clock.now() - self._started_at
            if started_for_s < self._settings.waiting_report_interval_s:
                return
            from .waiting_report import WaitingReport

            self._waiting_report = WaitingReport(self._context, self._eligibility)
        self._waiting_report.report(shard, machines)

    def _plan_writes(
        self, shard: int, ownership: ShardOwnership, edits: PlanEdits
    ) -> list[_RoundWrite]:
        """Return the writes for edited chunks, finished jobs and plan migrations."""
        writes: list[_RoundWrite] = []
        for edit in edits.values():
            intent = self._plan_writer.intent(edit, shard, ownership)
            if intent is not None:
                writes.append(_RoundWrite(intent, edit.starts))
        finished = self._plan_writer.job_end_intents(shard, ownership)
        migrations = self._migration.intents(shard, ownership)
        writes += [_RoundWrite(intent, []) for intent in (*finished, *migrations)]
        return writes

    async def _submit(self, writes: list[_RoundWrite], transfers: dict[str, WriteIntent]) -> None:
        """Submit the writes, and wait for those that transfer machines.

        Until the result of its transfer is known, a machine's heartbeats are redirected, because
        its new owner counts the worker's lease from the transfer.
        """
        self._heartbeats.begin_transfers(transfers)
        try:
            for write in writes:
                await self._writer.submit(write.intent)
            for machine_id, intent in transfers.items():
                if await intent.future.wait() == WriteResult.OK:
                    self._heartbeats.forget_machine(machine_id)
                    self._machine_transfer.forget_transferred(machine_id)
                    log.info("machine transferred machine=%s", machine_id)
        finally:
            self._heartbeats.end_transfers(transfers)

    async def _send_durable_starts(self, writes: list[_RoundWrite]) -> None:
        """Send the starts whose plans have become durable, and log the jobs that are done."""
        for write in writes:
            if await write.intent.future.wait() != WriteResult.OK:
                continue
            await self._command_sender.send(write.starts, [])
            for put in write.intent.txn.puts:
                if put.key.startswith(keys.JOB):
                    log.info("job done job=%s", put.key[len(keys.JOB) :])

    async def _clean_up(self, shard: int, ownership: ShardOwnership) -> bool:
        """Submit the due writes for ended jobs, once all earlier ones are settled.

        Returns:
            Whether there was anything to write.
        """
        if not all(intent.future.is_settled for intent in self._cleanup_writes.get(shard, ())):
            return False
        intents = self._cleanup_writes[shard] = self._cleanup.intents(shard, ownership)
        for intent in intents:
            await self._writer.submit(intent)
        return bool(intents)
