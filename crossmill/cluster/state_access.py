"""A controller's access to the state service, and the writes that rest on its lease.

`StateAccess` is made once at the start and handed to every part that reads and writes durable
state. `OwnershipWriter` makes the writes with which a controller claims something: its record, its
shards and the leadership. `write_share` says how much of the write rate this controller may use.
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


def write_share(settings: Settings, cluster: ClusterState) -> float:
    """This controller's share of the state service's write rate, in changes per second.

    Shares are weighted by the work to expect: the leader also writes every machine's record, shards
    with many running arrays have more outcomes to write, and a controller none of whose shards has
    a team takes submissions only. All controllers compute the shares from the same keys; while
    their views differ, the sum may exceed the rate and a write or two is refused and retried.
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
