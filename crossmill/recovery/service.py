"""Recovery on one controller: a `ShardRecovery` for each shard that it owns.

The service is the gate that heartbeat handler, placement and machine maintenance ask before they
act. Its loop advances the recoveries, and writes their records and open circuit breakers.
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
from .records import RecordIndex, StoredNotes, encode_breaker, encode_record
from .shard_recovery import ShardRecovery
from .statistics import RELEASE_ORDER

log = logging.getLogger(__name__)


class RecoveryService:
    """Holds back commands, placements and releases of shards that recover, and advances them."""

    def __init__(
        self,
        context: RecoveryContext,
        membership: Membership,
        priority_of: Callable[[str], int],
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._recovery = context.recovery
        self._clock = context.clock
        self._mirror = context.cluster.mirror
        self._membership = membership
        self._priority_of = priority_of
        self._shards: dict[int, ShardRecovery] = {}
        # the shards whose record was written
        self._recorded: set[int] = set()
        self.records = RecordIndex(self._mirror)
        self.notes = StoredNotes(self._mirror)
        membership.subscribe_lost(self._forget)

    def _forget(self, shard: int) -> None:
        # the next owner starts again from the stored state and the workers' heartbeats
        if self._shards.pop(shard, None) is not None:
            self._recorded.discard(shard)

    # -- the gate --------------------------------------------------------------------

    def filter_commands(
        self, machine: Machine, view: WorkerView, ownership: ShardOwnership, commands: list[Command]
    ) -> list[Command]:
        """Returns the commands that may answer a heartbeat now, the most urgent ones first."""
        recovery = self._recovery_of(machine.shard, ownership)
        recovery.note_heartbeat(machine, view)
        if not commands:
            return commands
        admitted = [command for command in commands if recovery.admit(machine, command)]
        if self._recovery.dry_run:
            recovery.statistics.note_withheld_in_dry_run(
                command.op.value for command in commands if command not in admitted
            )
            return commands
        # an answer has a maximum length, and only commands that stop a task may be urgent
        return sorted(admitted, key=lambda command: command.op is not CommandKind.STOP)

    def may_place(self, shard: int) -> bool:
        """Whether waiting tasks of the shard may be placed."""
        recovery = self._shards.get(shard)
        return recovery is None or recovery.may_place or self._recovery.dry_run

    def is_running_unplanned(self, job: str, index: int) -> bool:
        """Whether a worker runs the task although no plan contains it."""
        if self._recovery.dry_run:
            return False
        return any(r.is_running_unplanned((job, index)) for r in self._shards.values())

    def may_retire(self, machine: Machine, reason: str) -> bool:  # noqa: ARG002 (the gate's interface)
        """Whether the machine may be marked for return to the cloud."""
        recovery = self._shards.get(machine.shard)
        if recovery is None or recovery.admit_release(machine):
            return True
        if self._recovery.dry_run:
            recovery.statistics.note_withheld_in_dry_run([RELEASE_ORDER])
        return self._recovery.dry_run

    def _recovery_of(self, shard: int, ownership: ShardOwnership) -> ShardRecovery:
        """Returns the shard's recovery; begins it if the ownership is new."""
        recovery = self._shards.get(shard)
        if recovery is None or recovery.term != ownership.term:
            recovery = ShardRecovery(shard, ownership, self._context, self._priority_of)
            self._shards[shard] = recovery
            self._recorded.discard(shard)
            recovery.advance(ownership)
        return recovery

    # -- the loop --------------------------------------------------------------------

    async def run(self) -> None:
        """Advances the recoveries until the controller ends.

        While none is in progress it only checks for newly acquired shards, as often as a lease is
        renewed.
        """
        while True:
            await self.step()
            pause_s = (
                self._recovery.read_s
                if self.recoveries()
                else self._settings.lease_renewal_interval_s
            )
            await curio.sleep(pause_s)

    async def step(self) -> None:
        """Advances the recovery of each shard that this controller owns."""
        for shard, ownership in list(self._membership.ownerships.items()):
            recovery = self._recovery_of(shard, ownership)
            is_done = recovery.has_ended and shard in self._recorded
            if is_done or self._membership.active_ownership(shard) is None:
                continue
            recovery.advance(ownership)
            await self._process(recovery, ownership)

    async def _process(self, recovery: ShardRecovery, ownership: ShardOwnership) -> None:
        """Does the reads and writes that a recovery needs now."""
        if recovery.admission.needs_read:
            sent_at = self._clock.now()
            if await self._context.watcher.sync(self._settings.lease_renewal_interval_s):
                recovery.admission.note_read(sent_at)
        self._apply_approval(recovery)
        await self._store_breaker(recovery, ownership)
        if recovery.is_settled and recovery.shard not in self._recorded:
            self._recorded.add(recovery.shard)
            await self._write_record(recovery, ownership)

    def _apply_approval(self, recovery: ShardRecovery) -> None:
        if not recovery.breaker.is_open or self._recovery.dry_run:
            return
        if self._is_approved(recovery):
            recovery.approve()

    def _is_approved(self, recovery: ShardRecovery) -> bool:
        """Whether a valid approval covers exactly what is held back under this ownership."""
        approval = self.notes.approval(recovery.shard)
        if approval is None or approval.token != recovery.term:
            return False
        return (
            approval.digest == recovery.breaker.digest()
            and self._clock.wall_time() < approval.until
        )

    async def _store_breaker(self, recovery: ShardRecovery, ownership: ShardOwnership) -> None:
        """Stores what the breaker holds back, so that operators can ask any controller."""
        shard = recovery.shard
        key = keys.breaker(shard)
        stored = self._mirror.value(key)
        is_open = recovery.breaker.is_open and not self._recovery.dry_run
        present = encode_breaker(recovery) if is_open else None
        # warns if another version wrote the stored value
        self.notes.breaker(shard)
        if stored == present or (present is None and self.notes.is_unreadable(key)):
            return
        conditions = {key: self._mirror.version(key)}
        if present is None:
            log.info("recovery brake released shard=%d token=%d", shard, ownership.term)
            txn = Txn(conditions, [], [key, *self._stored_approval_keys(shard)])
        else:
            self._log_open_breaker(recovery, ownership, present)
            txn = Txn(conditions, [Put(key, present)])
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
            *recovery.breaker.impact(),
        )

    def _stored_approval_keys(self, shard: int) -> list[str]:
        key = keys.approval(shard)
        return [key] if self._mirror.value(key) is not None else []

    async def _write_record(self, recovery: ShardRecovery, ownership: ShardOwnership) -> None:
        """Writes the record of a finished recovery and deletes surplus ones."""
        shard, dry_run = recovery.shard, self._recovery.dry_run
        record = encode_record(recovery, self._settings.label, self._clock.wall_time(), dry_run)
        log.info(
            "recovery finished shard=%d token=%d after_s=%.2f machines=%d tasks=%d orders=%d "
            "dry_run=%s let_through=%d",
            shard,
            ownership.term,
            self._clock.now() - recovery.begun_at,
            recovery.statistics.machines_known,
            recovery.statistics.tasks_known,
            recovery.statistics.orders.total(),
            dry_run,
            recovery.statistics.withheld_in_dry_run.total(),
        )
        surplus = self.records.surplus(shard, self._recovery.kept_records - 1)
        txn = Txn({}, [Put(keys.record(shard, ownership.term), record)], surplus)
        await self._commit(shard, ownership, txn)

    async def _commit(self, shard: int, ownership: ShardOwnership, txn: Txn) -> None:
        """Commits a write under the ownership.

        A failure is not reported: the next step stores the breaker again, and a record may be lost.
        """
        intent = shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
        await self._context.writer.commit(intent)

    # -- state -----------------------------------------------------------------------

    def is_steady(self, shard: int) -> bool:
        """Whether this controller acts for the shard and its recovery has ended."""
        ownership = self._membership.active_ownership(shard)
        recovery = self._shards.get(shard)
        if ownership is None or recovery is None or recovery.term != ownership.term:
            return False
        return recovery.has_ended and shard in self._recorded

    def recoveries(self) -> list[ShardRecovery]:
        """Returns the recoveries in progress."""
        return [recovery for recovery in self._shards.values() if not recovery.has_ended]

    def phases(self) -> list[PhaseReport]:
        """Returns the phases of the recoveries in progress, by shard, for operators."""
        dry_run = self._recovery.dry_run
        return [
            PhaseReport(r.shard, r.term, str(r.phase), r.waits_for(), r.breaker.is_open, dry_run)
            for r in sorted(self.recoveries(), key=lambda recovery: recovery.shard)
        ]
