"""SchedulingLoop of decisions for the shards this controller acts for.

A round turns findings into plan changes, places waiting tasks, and makes both durable in
transactions that carry the stamps of all they rest on. Starts are sent only from durable plans.
"""

import logging

import curio

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.lease_expiry_proof import LeaseExpiryProof
from ..cluster.membership import Membership
from ..cluster.model import Job, Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import WriteIntent, Writer, WriteResult
from ..workers.attempt_outcomes import AttemptOutcome, EndReason
from ..workers.command_sender import CommandSender
from ..workers.heartbeat_handler import HeartbeatHandler
from .cleanup import Cleanup
from .failures import TaskFailures
from .machine_maintenance import MachineMaintenance
from .machine_transfer import MachineTransfer
from .outcome_batch import collect, select
from .placement import TaskPlacement
from .plan_migration import PlanMigration
from .plan_writer import PlanEdits, PlanWriter, edit_of
from .preemption import Preemption
from .team_quotas import TeamQuotas

log = logging.getLogger(__name__)


class SchedulingLoop:
    """Runs rounds for each shard, and carries out what they decide."""

    def __init__(
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
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._heartbeats = heartbeats
        self._writer = writer
        self._forecast = forecast
        self._command_sender = command_sender
        self.estimates = forecast.estimates
        self._failures = TaskFailures(settings, clock, cluster)
        self._quotas = TeamQuotas(settings, cluster)
        self._preemption = Preemption(settings, clock, cluster, heartbeats, forecast, self._quotas)
        self._machine_transfer = MachineTransfer(settings, clock, cluster, heartbeats, forecast)
        self._migration = PlanMigration(cluster, membership)
        self._plan_writer = PlanWriter(clock, cluster, membership, self._migration)
        self._cleanup = Cleanup(settings, clock, cluster, membership)
        # by shard: the writes for ended jobs that are under way
        self._cleaning: dict[int, list[WriteIntent]] = {}
        self._maintenance = MachineMaintenance(
            settings,
            clock,
            cluster,
            membership,
            heartbeats,
            forecast,
            expiry_proof,
            self._preemption,
            self._machine_transfer,
            self._failures,
        )
        self._placement = TaskPlacement(
            settings,
            clock,
            cluster,
            heartbeats,
            forecast,
            self._quotas,
            self._preemption,
            self._machine_transfer,
            self._failures,
        )
        self.wake = curio.Event()

    async def run(self) -> None:
        """SchedulingLoop for all shards that this controller acts for, when something has
        changed.
        """
        while True:
            if not self._placement.is_unfinished:
                await curio.ignore_after(self._settings.heartbeat_interval_s / 2, self.wake.wait)
            self._placement.is_unfinished = False
            self.wake.clear()
            for shard in range(self._settings.shard_count):
                ownership = self._membership.active_ownership(shard)
                if ownership is not None:
                    await self.run_round(shard, ownership)
            await curio.sleep(self._settings.scheduling_interval_s)

    # -- one round -------------------------------------------------------------------

    async def run_round(self, shard: int, ownership: ShardOwnership) -> None:
        """One round for a shard: findings, placing, upkeep, and the writes that follow."""
        edits: PlanEdits = {}
        machines = list(self._cluster.machines.by_shard[shard].values())
        for machine in machines:
            self._heartbeats.expire_lease(machine, ownership)
        self._find_released(shard, ownership)
        self._gather(shard, ownership, edits)
        stops = self._place(shard, ownership, machines, edits)
        if stops:
            await self._command_sender.send([], stops)
        intents, starts = self._plan_writes(shard, ownership, edits)
        if await self._clean_up(shard, ownership):
            self._failures.forget_ended(shard)
        intents += self._maintenance.maintenance_writes(shard, ownership, machines)
        moves = self._maintenance.transfer_writes(shard, ownership, machines)
        intents += moves.values()
        await self._submit(intents, moves)
        await self._follow_up(intents, starts)

    def _place(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine], edits: PlanEdits
    ) -> list[PlannedAttempt]:
        """Plans starts into `edits`; returns the attempts to be stopped. Machines to be given are
        chosen before tasks are placed: a start planned in the same round would follow its
        machine to a shard that knows nothing of the job.
        """
        gate = self._heartbeats.gate
        if gate is not None and not gate.may_place(shard):
            return []
        stops = list(self._machine_transfer.choose_machines(shard, machines))
        return stops + self._placement.place(shard, ownership, machines, edits)

    def _plan_writes(
        self, shard: int, ownership: ShardOwnership, edits: PlanEdits
    ) -> tuple[list[WriteIntent], dict[int, list[PlannedAttempt]]]:
        """The writes of edited plans and finished jobs, and by write the starts that follow it."""
        starts: dict[int, list[PlannedAttempt]] = {}
        intents: list[WriteIntent] = []
        for edit in edits.values():
            intent = self._plan_writer.intent(edit, shard, ownership)
            if intent is not None:
                intents.append(intent)
                starts[id(intent)] = edit.starts
        intents += self._plan_writer.finish(shard, ownership)
        intents += self._migration.steps(shard, ownership)
        return intents, starts

    async def _submit(self, intents: list[WriteIntent], moves: dict[str, WriteIntent]) -> None:
        """Queues the writes, and waits for those that move machines: until its fate is known, a
        machine that moves is not answered.
        """
        self._heartbeats.begin_transfers(moves)
        try:
            for intent in intents:
                await self._writer.submit(intent)
            for machine_id, intent in moves.items():
                if await intent.future.wait() == WriteResult.OK:
                    self._heartbeats.forget_machine(machine_id)
                    self._machine_transfer.forget_transferred(machine_id)
                    log.info("machine transferred machine=%s", machine_id)
        finally:
            self._heartbeats.end_transfers(moves)

    async def _follow_up(
        self, intents: list[WriteIntent], starts: dict[int, list[PlannedAttempt]]
    ) -> None:
        """Sends the starts of plans that are durable now, and logs the jobs that are done."""
        for intent in intents:
            if await intent.future.wait() != WriteResult.OK:
                continue
            await self._command_sender.send(starts.get(id(intent), []), [])
            for put in intent.txn.puts:
                if put.key.startswith(keys.JOB):
                    log.info("job done job=%s", put.key[len(keys.JOB) :])

    async def _clean_up(self, shard: int, ownership: ShardOwnership) -> bool:
        """Sends what is due for ended jobs, once all that was sent before is settled. No round
        waits for it. Returns whether there was anything.
        """
        if not all(intent.future.settled for intent in self._cleaning.get(shard, ())):
            return False
        intents = self._cleaning[shard] = self._cleanup.intents(shard, ownership)
        for intent in intents:
            await self._writer.submit(intent)
        return bool(intents)

    def _find_released(self, shard: int, ownership: ShardOwnership) -> None:
        """The machine's record goes only after its release was confirmed; the write of what
        follows rests on its absence.
        """
        for attempt in list(self._cluster.machines.orphaned_attempts()):
            job = self._cluster.jobs.get(attempt.job)
            if job is not None and job.shard == shard:
                preconditions = {keys.machine(attempt.machine): 0}
                outcome = AttemptOutcome(
                    attempt, EndReason.RELEASED, ownership.term, preconditions=preconditions
                )
                self._heartbeats.outcomes.record(outcome)

    def _gather(self, shard: int, ownership: ShardOwnership, edits: PlanEdits) -> None:
        outcomes = self._heartbeats.outcomes
        news = collect(self._cluster, outcomes, shard, ownership.term)
        wanted = {(f.attempt.job, f.attempt.index) for entry in news for f in entry.outcomes}
        for key in [key for key in outcomes if key not in wanted]:
            job = self._cluster.jobs.get(key[0])
            if (
                job is None
                or job.shard == shard
                or self._membership.active_ownership(job.shard) is None
            ):
                del outcomes[key]
        for entry in select(news, self._writer.writes_within(self._settings.heartbeat_interval_s)):
            edit = edit_of(edits, entry.job, entry.name)
            for outcome in entry.outcomes:
                del outcomes[outcome.attempt.job, outcome.attempt.index]
                self._learn(entry.job, outcome)
                edit.over.append(outcome)

    def _learn(self, job: Job, outcome: AttemptOutcome) -> None:
        spec, attempt = job.spec, outcome.attempt
        log.info(
            "task ended job=%s task=%d attempt=%d machine=%s reason=%s",
            job.id,
            attempt.index,
            attempt.number,
            attempt.machine,
            outcome.reason.replace(" ", "-"),
        )
        if spec is None:
            return
        self._heartbeats.forget_stop(attempt)
        self._failures.record(job, outcome)
        if outcome.reason == EndReason.DONE and outcome.run_s is not None:
            self.estimates.record_run(spec.job_class, spec.estimate_s, outcome.run_s)
