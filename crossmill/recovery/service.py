"""Recovery on one controller: a `ShardRecovery` for each shard that it has taken, their reads and
their records.
"""

import logging
from collections.abc import Callable

import curio

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import Machine
from ..cluster.ownership import ShardOwnership
from ..jobs.shard_writes import shard_intent
from ..net.clock import Clock
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import Writer, WriteRank, WriteResult
from ..wire.recovery import PhaseReport
from ..wire.state import Put, Txn
from ..wire.workers import Command
from ..workers.views import WorkerView
from . import keys
from .records import RecordIndex, StoredNotes, encode_braked, encode_record
from .settings import RecoverySettings
from .shard_recovery import RELEASE, ShardRecovery

log = logging.getLogger(__name__)


class RecoveryService:
    """The gate that reports, rounds and upkeep ask, and the loop that moves recoveries on."""

    def __init__(
        self,
        settings: Settings,
        recovery: RecoverySettings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        watcher: StateWatcher,
        writer: Writer,
        priority: Callable[[str], int],
    ) -> None:
        self._settings = settings
        self._recovery = recovery
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._watcher = watcher
        self._writer = writer
        self._priority = priority
        self._shards: dict[int, ShardRecovery] = {}
        self._recorded: set[int] = set()
        self.records = RecordIndex(cluster.mirror)
        self.notes = StoredNotes(cluster.mirror)
        membership.subscribe_lost(self._forget)

    def _forget(self, shard: int) -> None:
        """The next owner begins anew, from durable facts and reports."""
        if self._shards.pop(shard, None) is not None:
            self._recorded.discard(shard)

    # -- the gate --------------------------------------------------------------------

    def screen(
        self, machine: Machine, view: WorkerView, ownership: ShardOwnership, orders: list[Command]
    ) -> list[Command]:
        """Which of the orders that answer a report may be sent now."""
        recovery = self._recovery_of(machine.shard, ownership)
        recovery.note(machine, view)
        if not orders:
            return orders
        admitted = [order for order in orders if recovery.admits(machine, order)]
        if self._recovery.dry_run:
            recovery.let_through.update(order.op.value for order in orders if order not in admitted)
            return orders
        # an answer may not have room for all: what stops a task is what may be urgent
        return sorted(admitted, key=lambda order: order.op != "stop")

    def may_place(self, shard: int) -> bool:
        """Whether waiting tasks of the shard may be placed."""
        recovery = self._shards.get(shard)
        return recovery is None or recovery.may_place or self._recovery.dry_run

    def is_claimed(self, job: str, index: int) -> bool:
        """Whether a worker runs the task though no plan holds it."""
        if self._recovery.dry_run:
            return False
        return any(recovery.is_claimed((job, index)) for recovery in self._shards.values())

    def may_give_up(self, machine: Machine, why: str) -> bool:
        """Whether the machine may be marked to be returned."""
        recovery = self._shards.get(machine.shard)
        if recovery is None or recovery.may_give_up(machine):
            return True
        if self._recovery.dry_run:
            recovery.let_through[RELEASE] += 1
        return self._recovery.dry_run

    def _recovery_of(self, shard: int, ownership: ShardOwnership) -> ShardRecovery:
        recovery = self._shards.get(shard)
        if recovery is None or recovery.term != ownership.term:
            recovery = ShardRecovery(
                shard, ownership, self._recovery, self._clock, self._cluster, self._priority
            )
            self._shards[shard] = recovery
            self._recorded.discard(shard)
            recovery.advance(ownership)
        return recovery

    # -- the loop --------------------------------------------------------------------

    async def run(self) -> None:
        """Moves the recoveries on until the controller ends. Between them it looks as often as a
        lease is renewed for shards that were taken and of which no machine has reported yet.
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
        """One look at all shards that this controller owns."""
        for shard, ownership in list(self._membership.ownerships.items()):
            recovery = self._recovery_of(shard, ownership)
            is_done = recovery.has_ended and shard in self._recorded
            if is_done or self._membership.active_ownership(shard) is None:
                continue
            recovery.advance(ownership)
            await self._look(recovery, shard, ownership)

    async def _look(self, recovery: ShardRecovery, shard: int, ownership: ShardOwnership) -> None:
        if recovery.needs_read:
            sent = self._clock.now()
            if await self._watcher.sync(self._settings.lease_renewal_interval_s):
                recovery.read_at = sent
        self._take_approval(recovery)
        await self._note_brake(recovery, shard, ownership)
        if recovery.is_settled and shard not in self._recorded:
            self._recorded.add(shard)
            await self._write_record(recovery, shard, ownership)

    def _take_approval(self, recovery: ShardRecovery) -> None:
        if not recovery.is_braked or self._recovery.dry_run:
            return
        approval = self.notes.approval(recovery.shard)
        if (
            approval is not None
            and approval.token == recovery.term
            and approval.digest == recovery.digest()
            and self._clock.wall() < approval.until
        ):
            recovery.approve()

    async def _note_brake(
        self, recovery: ShardRecovery, shard: int, ownership: ShardOwnership
    ) -> None:
        """What the brake holds back is durable, so that an operator can ask any controller."""
        key = keys.braked(shard)
        stored = self._cluster.mirror.value(key)
        is_braked = recovery.is_braked and not self._recovery.dry_run
        wanted = encode_braked(recovery) if is_braked else None
        self.notes.braked(shard)
        if stored == wanted or (wanted is None and self.notes.is_foreign(key)):
            return
        version = self._cluster.mirror.version(key)
        if wanted is None:
            log.info("recovery brake released shard=%d token=%d", shard, ownership.term)
            txn = Txn({key: version}, [], [key, *self._stale_approval(shard)])
        else:
            log.warning(
                "recovery braked shard=%d token=%d digest=%s stops=%d restarts=%d releases=%d "
                "tasks=%d machines=%d",
                shard,
                ownership.term,
                wanted["digest"],
                *recovery.impact(),
            )
            txn = Txn({key: version}, [Put(key, wanted)])
        await self._commit(shard, ownership, txn)

    def _stale_approval(self, shard: int) -> list[str]:
        key = keys.approval(shard)
        return [key] if self._cluster.mirror.value(key) is not None else []

    async def _write_record(
        self, recovery: ShardRecovery, shard: int, ownership: ShardOwnership
    ) -> None:
        controller, wall = self._settings.label, self._clock.wall()
        record = encode_record(recovery, controller, wall, self._recovery.dry_run)
        log.info(
            "recovery finished shard=%d token=%d after_s=%.2f machines=%d tasks=%d orders=%d "
            "dry_run=%s let_through=%d",
            shard,
            ownership.term,
            self._clock.now() - recovery.begun_at,
            recovery.machines_known,
            recovery.tasks_known,
            recovery.orders.total(),
            self._recovery.dry_run,
            recovery.let_through.total(),
        )
        surplus = self.records.surplus(shard, self._recovery.kept_records - 1)
        txn = Txn({}, [Put(keys.record(shard, ownership.term), record)], surplus)
        await self._commit(shard, ownership, txn)

    async def _commit(self, shard: int, ownership: ShardOwnership, txn: Txn) -> bool:
        intent = shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
        return await self._writer.commit(intent) == WriteResult.OK

    def is_steady(self, shard: int) -> bool:
        """Whether this controller acts for the shard, and its recovery is over."""
        ownership = self._membership.active_ownership(shard)
        recovery = self._shards.get(shard)
        return (
            ownership is not None
            and recovery is not None
            and recovery.term == ownership.term
            and recovery.has_ended
            and shard in self._recorded
        )

    def recoveries(self) -> list[ShardRecovery]:
        """Those that go on."""
        return [recovery for recovery in self._shards.values() if not recovery.has_ended]

    # -- for operators ---------------------------------------------------------------

    def phases(self) -> list[PhaseReport]:
        """Where the recoveries of this controller's shards are."""
        dry_run = self._recovery.dry_run
        return [
            PhaseReport(r.shard, r.term, str(r.phase), r.waits_for(), r.is_braked, dry_run)
            for r in sorted(self.recoveries(), key=lambda recovery: recovery.shard)
        ]
