"""A controller's access to the state service, and the writes that rest on its lease.

`StateAccess` is made once at the start and handed to every part that reads and writes durable
state. `OwnershipWriter` makes the writes with which a controller claims something: its record, its
shards and the leadership.
"""

from typing import NamedTuple

from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire.state import Txn
from .cluster_state import ClusterState
from .controller_lease import ControllerLease


class StateAccess(NamedTuple):
    """What has been read from the state service, how to read and write it, and the lease."""

    cluster: ClusterState
    watcher: StateWatcher
    writer: Writer
    controller_lease: ControllerLease


class OwnershipWriter:
    """Commits what this controller claims under its lease, before all other writes."""

    def __init__(self, settings: Settings, state: StateAccess) -> None:
        self.label = settings.label
        self._sync_timeout_s = settings.lease_renewal_interval_s
        self._watcher = state.watcher
        self._writer = state.writer
        self._controller_lease = state.controller_lease

    @property
    def lease_id(self) -> int | None:
        """The lease that claims are written under; None if there is none."""
        return self._controller_lease.lease_id

    @property
    def epoch(self) -> int:
        """The lease's epoch: a claim made in an older one is void."""
        return self._controller_lease.epoch

    def is_lease_held(self) -> bool:
        """Whether the lease has certainly not expired."""
        return self._controller_lease.is_held()

    async def commit(self, txn: Txn) -> bool:
        """Commits the transaction unless the lease epoch changes; returns whether it took place."""
        epoch = self._controller_lease.epoch
        intent = WriteIntent(
            txn,
            WriteRank.OWNERSHIP,
            authority=lambda: self._controller_lease.write_authority(epoch),
        )
        return await self._writer.commit(intent) == WriteResult.OK

    async def sync(self) -> bool:
        """Reads all that is durable; returns whether that succeeded within a renewal interval."""
        return await self._watcher.sync(self._sync_timeout_s)
