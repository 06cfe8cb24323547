"""Admits machines to the pool when their agents send heartbeats.

The heartbeat handler stores the requests in `Registration`, and the coordinator admits the machines
in its next pass. Requests are kept only in memory: an agent that isn't admitted repeats its
heartbeat.
"""

import logging

from ..cluster import keys as cluster_keys
from ..cluster.cluster_state import ClusterState
from ..cluster.model import Resources
from ..cluster.ownership import ShardOwnership
from ..net.clock import Clock
from ..state.writer import WriteIntent, Writer, WriteRank
from ..wire.multihost import AgentHeartbeat
from ..wire.state import Put, Txn
from . import keys
from .model import PoolMachine
from .pool import PoolState
from .pool_ownership import PoolOwnership
from .records import encode_machine, is_reserved_type, reservation_record

log = logging.getLogger(__name__)


class Registration:
    """Writes the records of machines that join the pool.

    A machine that runs single-machine tasks, is being returned to the cloud, or belongs to another
    shard is not admitted.
    """

    def __init__(
        self,
        clock: Clock,
        cluster: ClusterState,
        ownership: PoolOwnership,
        writer: Writer,
        pool: PoolState,
    ) -> None:
        self._clock = clock
        self._cluster = cluster
        self._ownership = ownership
        self._writer = writer
        self._pool = pool
        # the latest heartbeat of each machine that requests admission, by machine ID
        self._requests: dict[str, AgentHeartbeat] = {}

    def request_admission(self, heartbeat: AgentHeartbeat) -> None:
        """Store the request for admission of a machine that isn't in the pool."""
        self._requests[heartbeat.machine] = heartbeat

    async def admit(self, ownership: ShardOwnership) -> None:
        """Write the records of the machines that have requested admission since the last call."""
        if not self._requests:
            return
        requests, self._requests = self._requests, {}
        intents = [
            intent
            for heartbeat in requests.values()
            if (intent := self._intent(ownership, heartbeat)) is not None
        ]
        for intent in intents:
            await self._writer.submit(intent)
        for intent in intents:
            await intent.future.wait()

    def _intent(self, ownership: ShardOwnership, heartbeat: AgentHeartbeat) -> WriteIntent | None:
        """Return the write that admits a machine; None if it can't join."""
        machine_id, offer = heartbeat.machine, heartbeat.offer
        if machine_id in self._pool.machines or not self._can_join(machine_id):
            return None
        capacity = Resources(offer.cpus, offer.gpus, offer.memory_gb)
        machine = PoolMachine(machine_id, offer.zone, capacity, offer.fetch_gb_per_s)
        ordinary, pooled = cluster_keys.machine(machine_id), keys.machine(machine_id)
        txn = Txn({pooled: 0, ordinary: self._pool.record_version(machine_id)})
        txn.puts.append(Put(pooled, encode_machine(machine)))
        fleet_machine = self._cluster.machines.get(machine_id)
        if fleet_machine is None or not is_reserved_type(fleet_machine.type):
            rented_at = (
                self._clock.wall_time() if fleet_machine is None else fleet_machine.rented_at
            )
            record = reservation_record(
                offer.type, offer.zone, offer.spot, self._ownership.shard, rented_at
            )
            txn.puts.append(Put(ordinary, record))
        log.info("machine joins the pool machine=%s zone=%s", machine_id, offer.zone)
        return self._ownership.write_intent(ownership, WriteRank.PLACEMENT, txn)

    def _can_join(self, machine_id: str) -> bool:
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            return True
        is_in_use = machine.attempts or machine.loans
        if machine.retirement_reason or is_in_use or machine.shard != self._ownership.shard:
            log.debug("machine not yet admitted to the pool machine=%s", machine_id)
            return False
        return True
