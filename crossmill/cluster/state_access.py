"""A controller's access to the state service, and the writes that depend on its lease.

`StateAccess` is created once at the start and passed to every component that reads or writes
durable state. `OwnershipWriter` writes a controller's claims: its record, its shards and the
leadership. `ControllerAnnouncement` keeps the record up to date. `write_share` computes the share
of the write rate that this controller may use.
"""

from typing import NamedTuple

from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .cluster_state import ClusterState
from .controller_lease import ControllerLease
from .model import ControllerRecord
from .reachability import WorkerReachability
from .records import encode_controller


class StateAccess(NamedTuple):
    """The mirrored cluster state, its watcher and writer, and the controller lease."""

    cluster: ClusterState
    watcher: StateWatcher
    writer: Writer
    controller_lease: ControllerLease


class OwnershipWriter:
    """Writer of this controller's claims under its lease, which precede all other writes."""

    def __init__(self, settings: Settings, state: StateAccess) -> None:
        self.label = settings.label
        self._sync_timeout_s = settings.lease_renewal_interval_s
        self._watcher = state.watcher
        self._writer = state.writer
        self._controller_lease = state.controller_lease

    @property
    def lease_id(self) -> int | None:
        """The ID of the lease that claims are written under, or None without a lease."""
        return self._controller_lease.lease_id

    @property
    def epoch(self) -> int:
        """The current lease epoch; claims made in an earlier epoch are invalid."""
        return self._controller_lease.epoch

    def is_lease_held(self) -> bool:
        """Return whether the lease is certain not to have expired."""
        return self._controller_lease.is_held()

    async def commit(self, txn: Txn) -> bool:
        """Commit the transaction unless the lease epoch changes; return whether it succeeded."""
        epoch = self._controller_lease.epoch
        intent = WriteIntent(
            txn,
            WriteRank.OWNERSHIP,
            authority=lambda: self._controller_lease.write_authority(epoch),
        )
        return await self._writer.commit(intent) == WriteResult.OK

    async def sync(self) -> bool:
        """Bring the mirror up to date with the state service.

        Returns:
            Whether the mirror was up to date within one lease renewal interval.
        """
        return await self._watcher.sync(self._sync_timeout_s)


class ControllerAnnouncement:
    """Writer of this controller's record: its lease, reachability, and newest note read."""

    def __init__(
        self, cluster: ClusterState, reachability: WorkerReachability, writer: OwnershipWriter
    ) -> None:
        self._cluster = cluster
        self._reachability = reachability
        self._writer = writer
        # version of the newest cancellation note that this controller has read
        self._newest_read_note = 0

    async def publish(self) -> None:
        """Write the record if it differs from the stored one."""
        self._update_newest_read_note()
        lease_id = self._writer.lease_id
        record = ControllerRecord(
            lease_id, self._reachability.is_unreachable, self._newest_read_note
        )
        if lease_id is None or self._cluster.controllers.get(self._writer.label) == record:
            return
        # unconditional: replaces the key of an earlier process, whatever lease it was written under
        key = keys.controller(self._writer.label)
        await self._writer.commit(Txn({}, [Put(key, encode_controller(record), lease_id)]))

    def _update_newest_read_note(self) -> None:
        """Update the version of the newest cancellation note that this controller has read.

        Controllers that can't reach this one read the version in its record. A note that this
        controller wrote itself may be newer than the revision it has read; until it has read that
        revision, the note does not count.
        """
        read = self._cluster.mirror.revision
        notes = (note.version for note in self._cluster.cancellation_notes.values())
        self._newest_read_note = max(
            (self._newest_read_note, *(version for version in notes if version <= read))
        )


def write_share(settings: Settings, cluster: ClusterState) -> float:
    """Return this controller's share of the state service's write rate, in changes per second.

    Shares are weighted by the expected load: the leader also writes every machine's record, shards
    with many running arrays have more outcomes to write, and a controller whose shards have no
    team only accepts submissions. All controllers compute the shares from the same keys. While
    their mirrors differ, the sum may exceed the rate, and a few writes are refused and retried.
    """
    weights = _weights(settings, cluster)
    return settings.write_rate_for(weights[settings.label], sum(weights.values()), cluster.limits)


def _weights(settings: Settings, cluster: ClusterState) -> dict[str, float]:
    weights = dict.fromkeys(cluster.controllers, 1.0)
    if settings.label not in weights:
        weights = dict.fromkeys(settings.labels, 1.0)
    shards_with_teams = settings.shards_with_teams
    loads = {shard: cluster.write_load(shard) for shard in shards_with_teams}
    total_load = sum(loads.values())
    for shard, record in cluster.shard_owners.items():
        if record.owner in weights and shard in shards_with_teams:
            share = loads[shard] / total_load if total_load else 1 / len(shards_with_teams)
            weights[record.owner] += settings.shard_weight(share)
    leader = cluster.controllers.leader
    if leader in weights:
        weights[leader] += settings.leader_weight
    return weights
