"""Acquires and releases shards: the writes to their keys and to the token counter.

`Membership` decides when; this module makes the writes and keeps `OwnedShards` in step with them.
Each acquisition takes the next fencing token, so that workers ignore commands of earlier owners.
"""

import logging
from typing import NamedTuple

from ..net.clock import Clock
from ..wire.state import Put, Txn
from . import keys
from .cluster_state import ClusterState
from .ownership import OwnedShards, ShardOwnership
from .state_access import OwnershipWriter

log = logging.getLogger(__name__)


class NextToken(NamedTuple):
    """The next fencing token, and the counter's version that a write of it is conditional on."""

    token: int
    counter_version: int


class ShardAcquisition:
    """Acquires, re-acquires under a higher token, and releases shards."""

    def __init__(
        self, clock: Clock, cluster: ClusterState, shards: OwnedShards, writer: OwnershipWriter
    ) -> None:
        self._clock = clock
        self._cluster = cluster
        self._shards = shards
        self._writer = writer

    def next_token(self, above: int = 0) -> NextToken:
        """Returns the next token, which is also higher than `above`."""
        counter = self._cluster.mirror.value(keys.TOKEN) or {"n": 0}
        token = max(int(counter["n"]), above) + 1
        return NextToken(token, self._cluster.mirror.version(keys.TOKEN))

    def drop_if_lost(self, shard: int, ownership: ShardOwnership) -> bool:
        """Drops the shard if it is no longer owned by what is known; returns whether it was."""
        reason = self._loss_reason(shard, ownership)
        if reason is None:
            return False
        self._shards.drop(shard, reason)
        return True

    def _loss_reason(self, shard: int, ownership: ShardOwnership) -> str | None:
        known = self._cluster.shard_owners.get(shard)
        if ownership.epoch != self._writer.epoch:
            return "lease ended"
        if known is None:
            return "key gone"
        if known.version > ownership.version:
            return f"taken by {known.owner}"
        return None

    async def acquire(self, shard: int, above: int = 0) -> bool:
        """Writes the shard's key with a new token, which is higher than `above`.

        Returns whether the shard is owned under it. If not, what is durable has been read again.
        """
        with self._shards.acquiring(shard):
            return await self._acquire(shard, above)

    async def _acquire(self, shard: int, above: int) -> bool:
        known = self._cluster.shard_owners.get(shard)
        next_token = self.next_token(above)
        token, epoch, key = next_token.token, self._writer.epoch, keys.shard(shard)
        txn = Txn(
            {key: known.version if known else 0, keys.TOKEN: next_token.counter_version},
            [
                Put(key, {"owner": self._writer.label, "token": token}, self._writer.lease_id),
                Put(keys.TOKEN, {"n": token}),
            ],
        )
        if not await self._writer.commit(txn):
            await self._writer.sync()
            return False
        version = self._cluster.mirror.version(key)
        self._shards.add(shard, self._new_ownership(shard, token, version, epoch))
        log.info("shard acquired shard=%d token=%d", shard, token)
        return True

    def _new_ownership(self, shard: int, token: int, version: int, epoch: int) -> ShardOwnership:
        before = self._shards.ownerships.get(shard)
        if before is None or before.epoch != epoch:
            return ShardOwnership(token, version, self._clock.now(), epoch, token)
        # only the token is raised: nobody else wrote in between
        return ShardOwnership(
            token, version, before.acquired_at, epoch, before.term, ready=before.ready
        )

    async def release(self, shard: int, ownership: ShardOwnership, reason: str) -> None:
        """Stops acting for the shard and deletes its key; the reason is for the log."""
        self._shards.drop(shard, reason)
        key = keys.shard(shard)
        await self._writer.commit(Txn({key: ownership.version}, [], [key]))
