"""Writes the records of machines and of the catalog, fenced by the leader key.

Every write is conditional on the version of the leader key, so that a controller that is no longer
the leader changes nothing. The fleet provisioner calls these methods; they write nothing while
another controller leads.
"""

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import Machine
from ..cluster.records import encode_machine
from ..planning.demand import MachineSourceKey
from ..state.writer import Authority, WriteIntent, Writer, WriteRank
from ..wire.cloud import MachineType
from ..wire.state import Put, Txn
from .cloud import stored_catalog


class MachineRecords:
    """Conditional writes of machine records and of the catalog by the leader."""

    def __init__(self, cluster: ClusterState, membership: Membership, writer: Writer) -> None:
        self._cluster = cluster
        self._membership = membership
        self._writer = writer

    def is_leader(self) -> bool:
        """Return whether this controller is the leader now."""
        return self._membership.leadership_version() is not None

    async def store_catalog(self, catalog: dict[str, MachineType]) -> None:
        """Write the catalog if it differs from the stored one."""
        version = self._membership.leadership_version()
        if version is None:
            return
        value = stored_catalog(catalog)
        if value == self._cluster.mirror.value(keys.CATALOG):
            return
        txn = Txn({keys.LEADER: version}, [Put(keys.CATALOG, value)])
        await self._commit([self._intent(txn, WriteRank.BACKGROUND)])

    async def add(
        self, machine_ids: list[str], source: MachineSourceKey, shard: int, rented_at: float
    ) -> None:
        """Create the records of rented machines; `rented_at` is a wall-clock time in seconds."""
        version = self._membership.leadership_version()
        if version is None:
            return
        intents = []
        for machine_id in machine_ids:
            key = keys.machine(machine_id)
            value = {
                "type": source.type_name,
                "zone": source.zone,
                "spot": source.spot,
                "shard": shard,
                "at": rented_at,
                "retiring": "",
                "up": False,
            }
            txn = Txn({keys.LEADER: version, key: 0}, [Put(key, value)])
            intents.append(self._intent(txn, WriteRank.PLACEMENT))
        await self._commit(intents)

    async def retire(self, machine: Machine, reason: str) -> None:
        """Mark a machine as retiring, so that it is returned to the cloud."""
        version = self._membership.leadership_version()
        if version is None:
            return
        key = keys.machine(machine.id)
        conditions = {keys.LEADER: version, key: machine.version}
        txn = Txn(conditions, [Put(key, encode_machine(machine, retirement_reason=reason))])
        await self._commit([self._intent(txn, WriteRank.BACKGROUND)])

    async def remove(self, machines: list[Machine]) -> None:
        """Delete the records of machines that were returned to the cloud."""
        version = self._membership.leadership_version()
        if version is None:
            return
        intents = []
        for machine in machines:
            key = keys.machine(machine.id)
            txn = Txn({keys.LEADER: version, key: machine.version}, [], [key])
            intents.append(self._intent(txn, WriteRank.BACKGROUND))
        await self._commit(intents)

    def _intent(self, txn: Txn, rank: WriteRank) -> WriteIntent:
        return WriteIntent(txn, rank, authority=self._write_authority)

    def _write_authority(self) -> Authority:
        return Authority.HELD if self.is_leader() else Authority.LOST

    async def _commit(self, intents: list[WriteIntent]) -> None:
        """Submit the writes and wait until each has succeeded or failed."""
        for intent in intents:
            await self._writer.submit(intent)
        for intent in intents:
            await intent.future.wait()
