"""Recovery on one controller, with a `ShardRecovery` for each shard that the controller owns.

The service implements `CommandGate`, which the heartbeat handler, the placement and the machine
maintenance query before they act. Its loop advances the recoveries, and writes their records and
the reports of open circuit breakers.
"""

import logging
from collections.abc import Callable
from typing import Any

import curio

from ..cluster.membership import Membership, shard_intent
from ..cluster.model import Machine
from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteRank
from ..wire.recovery import PhaseReport
from ..wire.state import Put, Txn
from ..wire.workers import Command, CommandKind
from ..workers.views import WorkerView
from . import keys
from .context import RecoveryContext
from .records import BreakerStateReader, RecordIndex, encode_breaker, encode_record
from .shard_recovery import ShardRecovery
from .statistics import RELEASE_ORDER

log = logging.getLogger(__name__)


class RecoveryService:
    """Advances the recoveries, and delays the shards' commands, placements and releases."""

    def __init__(
        self,
        context: RecoveryContext,
        membership: Membership,
        priority_of: Callable[[str], int],
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._recovery_settings = context.recovery_settings
        self._clock = context.clock
        self._mirror = context.cluster.mirror
        self._membership = membership
        self._priority_of = priority_of
        self._recoveries: dict[int, ShardRecovery] = {}
        # the shards whose record is written or being written
        self._recorded: set[int] = set()
        self.records = RecordIndex(self._mirror)
        self.breaker_state = BreakerStateReader(self._mirror)
        membership.subscribe_lost(self._drop_recovery)

    def _drop_recovery(self, shard: int) -> None:
        # the next owner begins a new recovery from the stored state and the workers' heartbeats
        if self._recoveries.pop(shard, None) is not None:
            self._recorded.discard(shard)

    # -- command gate ----------------------------------------------------------------

    def filter_commands(
        self, machine: Machine, view: WorkerView, ownership: ShardOwnership, commands: list[Command]
    ) -> list[Command]:
        """Return the commands that may be sent in the heartbeat's response, most urgent first."""
        recovery = self._recovery_of(machine.shard, ownership)
        recovery.handle_heartbeat(machine, view)
        if not commands:
            return commands
        admitted = [command for command in commands if recovery.admit(machine, command)]
        if self._recovery_settings.dry_run:
            recovery.statistics.count_dry_run_admissions(
                command.op.value for command in commands if command not in admitted
            )
            return commands
        # a response has a maximum length, and only commands that stop a task may be urgent
        return sorted(admitted, key=lambda command: command.op is not CommandKind.STOP)

    def may_place(self, shard: int) -> bool:
        """Return whether waiting tasks of the shard may be placed."""
        recovery = self._recoveries.get(shard)
        return recovery is None or recovery.may_place or self._recovery_settings.dry_run

    def is_running_unplanned(self, job: str, index: int) -> bool:
        """Return whether a worker runs the task although no plan contains it."""
        if self._recovery_settings.dry_run:
            return False
        return any(r.is_running_unplanned((job, index)) for r in self._recoveries.values())

    def may_retire(self, machine: Machine, reason: str) -> bool:  # noqa: ARG002 (the gate's interface)
        """Return whether the machine may be marked for release to the cloud."""
        recovery = self._recoveries.get(machine.shard)
        if recovery is None or recovery.admit_release(machine):
            return True
        if self._recovery_settings.dry_run:
            recovery.statistics.count_dry_run_admissions([RELEASE_ORDER])
        return self._recovery_settings.dry_run

    def _recovery_of(self, shard: int, ownership: ShardOwnership) -> ShardRecovery:
        """Return the shard's recovery; begin it if the ownership is new."""
        recovery = self._recoveries.get(shard)
        if recovery is None or recovery.term != ownership.term:
            recovery = ShardRecovery(shard, ownership, self._context, self._priority_of)
            self._recoveries[shard] = recovery
            self._recorded.discard(shard)
            recovery.advance(ownership)
        return recovery

    # -- loop ------------------------------------------------------------------------

    async def run(self) -> None:
        """Advance the recoveries until the controller stops.

        While no recovery is in progress, the loop only checks for newly acquired shards, once in
        each lease renewal interval.
        """
        while True:
            await self.step()
            pause_s = (
                self._recovery_settings.step_interval_s
                if self.active_recoveries()
                else self._settings.lease_renewal_interval_s
            )
            await curio.sleep(pause_s)

    async def step(self) -> None:
        """Advance the recovery of each shard that this controller owns."""
        for shard, ownership in list(self._membership.ownerships.items()):
            recovery = self._recovery_of(shard, ownership)
            is_done = recovery.has_ended and shard in self._recorded
            if is_done or self._membership.active_ownership(shard) is None:
                continue
            recovery.advance(ownership)
            await self._process(recovery, ownership)

    async def _process(self, recovery: ShardRecovery, ownership: ShardOwnership) -> None:
        """Perform the reads and writes that a recovery needs now."""
        if recovery.admission.needs_read:
            sent_at = self._clock.now()
            if await self._context.watcher.sync(self._settings.lease_renewal_interval_s):
                recovery.admission.set_last_read(sent_at)
        self._apply_approval(recovery)
        await self._store_breaker(recovery, ownership)
        if recovery.has_reached_steady_phase and recovery.shard not in self._recorded:
            self._recorded.add(recovery.shard)
            await self._write_record(recovery, ownership)

    def _apply_approval(self, recovery: ShardRecovery) -> None:
        if not recovery.breaker.is_open or self._recovery_settings.dry_run:
            return
        if self._is_approved(recovery):
            recovery.approve()

    def _is_approved(self, recovery: ShardRecovery) -> bool:
        """Return whether a valid approval of this recovery covers exactly the blocked actions."""
        approval = self.breaker_state.approval(recovery.shard)
        if approval is None or approval.token != recovery.term:
            return False
        return (
            approval.digest == recovery.breaker.digest()
            and self._clock.wall_time() < approval.until
        )

    async def _store_breaker(self, recovery: ShardRecovery, ownership: ShardOwnership) -> None:
        """Store an open breaker's report, which any controller can show; delete a closed one's."""
        shard = recovery.shard
        key = keys.breaker(shard)
        stored = self._mirror.value(key)
        is_open = recovery.breaker.is_open and not self._recovery_settings.dry_run
        current = encode_breaker(recovery) if is_open else None
        # log a warning if another version wrote the stored value
        self.breaker_state.breaker_report(shard)
        if stored == current or (current is None and self.breaker_state.is_unreadable(key)):
            return
        conditions = {key: self._mirror.version(key)}
        if current is None:
            log.info("recovery brake released shard=%d token=%d", shard, ownership.term)
            txn = Txn(conditions, [], [key, *self._stored_approval_keys(shard)])
        else:
            self._log_open_breaker(recovery, ownership, current)
            txn = Txn(conditions, [Put(key, current)])
        await self._commit(shard, ownership, txn)

    def _log_open_breaker(
        self, recovery: ShardRecovery, ownership: ShardOwnership, stored: dict[str, Any]
    ) -> None:
        log.warning(
            "recovery braked shard=%d token=%d digest=%s stops=%d restarts=%d releases=%d "
            "tasks=%d machines=%d",
            recovery.shard,
            ownership.term,
            stored["digest"],
            *recovery.breaker.action_counts(),
        )

    def _stored_approval_keys(self, shard: int) -> list[str]:
        key = keys.approval(shard)
        return [key] if self._mirror.value(key) is not None else []

    async def _write_record(self, recovery: ShardRecovery, ownership: ShardOwnership) -> None:
        """Write the record of a finished recovery and delete surplus records."""
        shard, dry_run = recovery.shard, self._recovery_settings.dry_run
        record = encode_record(recovery, self._settings.label, self._clock.wall_time(), dry_run)
        log.info(
            "recovery finished shard=%d token=%d after_s=%.2f machines=%d tasks=%d orders=%d "
            "dry_run=%s let_through=%d",
            shard,
            ownership.term,
            self._clock.now() - recovery.started_at,
            recovery.statistics.machines_known,
            recovery.statistics.tasks_known,
            recovery.statistics.orders.total(),
            dry_run,
            recovery.statistics.admitted_by_dry_run.total(),
        )
        surplus_keys = self.records.surplus_keys(shard, self._recovery_settings.kept_records - 1)
        txn = Txn({}, [Put(keys.record(shard, ownership.term), record)], surplus_keys)
        await self._commit(shard, ownership, txn)

    async def _commit(self, shard: int, ownership: ShardOwnership, txn: Txn) -> None:
        """Commit a write under the ownership.

        A failure is ignored: the next step stores the breaker's report again, and a lost record is
        tolerated.
        """
        intent = shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
        await self._context.writer.commit(intent)

    # -- state -----------------------------------------------------------------------

    def has_recovered(self, shard: int) -> bool:
        """Return whether this controller acts for the shard and the shard's recovery has ended."""
        ownership = self._membership.active_ownership(shard)
        recovery = self._recoveries.get(shard)
        if ownership is None or recovery is None or recovery.term != ownership.term:
            return False
        return recovery.has_ended and shard in self._recorded

    def active_recoveries(self) -> list[ShardRecovery]:
        """Return the recoveries in progress."""
        return [recovery for recovery in self._recoveries.values() if not recovery.has_ended]

    def phases(self) -> list[PhaseReport]:
        """Return the phases of the recoveries in progress for operators, sorted by shard."""
        dry_run = self._recovery_settings.dry_run
        return [
            PhaseReport(r.shard, r.term, str(r.phase), r.waits_for(), r.breaker.is_open, dry_run)
            for r in sorted(self.active_recoveries(), key=lambda recovery: recovery.shard)
        ]
