"""Takes machines whose agents ask for it into the pool."""

import logging

from ..cluster import keys as cluster_keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.ownership import ShardOwnership
from ..jobs.shard_writes import shard_intent
from ..net.clock import Clock
from ..state.writer import WriteIntent, Writer, WriteRank
from ..wire.multihost import AgentHeartbeat
from ..wire.state import Put, Txn
from . import keys
from .heartbeats import AgentHeartbeatHandler
from .model import PoolMachine, Resources
from .pool import PoolState, is_reserved_type
from .records import encode_machine, reservation_record

log = logging.getLogger(__name__)


class Registration:
    """Writes the records of machines that join. A machine that runs ordinary tasks, or belongs to
    another shard, is left alone; its agent asks again.
    """

    def __init__(
        self,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        writer: Writer,
        pool: PoolState,
        heartbeats: AgentHeartbeatHandler,
        pool_shard: int,
    ) -> None:
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._writer = writer
        self._pool = pool
        self._heartbeats = heartbeats
        self._shard = pool_shard

    async def admit(self, ownership: ShardOwnership) -> None:
        """Records all machines that have asked since the last round."""
        if not self._heartbeats.joining:
            return
        joining, self._heartbeats.joining = self._heartbeats.joining, {}
        intents = [
            i
            for heartbeat in joining.values()
            if (i := self._intent(ownership, heartbeat)) is not None
        ]
        for intent in intents:
            await self._writer.submit(intent)
        for intent in intents:
            await intent.future.wait()

    def _intent(self, ownership: ShardOwnership, heartbeat: AgentHeartbeat) -> WriteIntent | None:
        if heartbeat.machine in self._pool.machines or not self._may_join(heartbeat):
            return None
        offer = heartbeat.offer
        machine = PoolMachine(
            heartbeat.machine,
            offer.zone,
            Resources(offer.cpus, offer.gpus, offer.memory_gb),
            offer.fetch_gb_per_s,
        )
        ordinary, pooled = cluster_keys.machine(heartbeat.machine), keys.machine(heartbeat.machine)
        txn = Txn({pooled: 0, ordinary: self._pool.record_version(heartbeat.machine)})
        txn.puts.append(Put(pooled, encode_machine(machine)))
        known = self._cluster.machines.get(heartbeat.machine)
        if known is None or not is_reserved_type(known.type):
            rented = self._clock.wall() if known is None else known.rented
            record = reservation_record(offer.type, offer.zone, offer.spot, self._shard, rented)
            txn.puts.append(Put(ordinary, record))
        log.info("machine joins the pool machine=%s zone=%s", heartbeat.machine, offer.zone)
        return shard_intent(self._membership, self._shard, ownership, WriteRank.PLACEMENT, txn)

    def _may_join(self, heartbeat: AgentHeartbeat) -> bool:
        known = self._cluster.machines.get(heartbeat.machine)
        if known is None:
            return True
        if known.retiring or known.attempts or known.shard != self._shard:
            log.debug("machine may not join yet machine=%s", heartbeat.machine)
            return False
        return True
