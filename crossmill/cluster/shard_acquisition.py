"""Acquisition and release of shards: the writes to their keys and to the token counter.

`Membership` decides when to acquire or release a shard. This module sends the writes and updates
`OwnedShards` accordingly. Each acquisition takes the next block of fencing tokens, so that workers
ignore commands of earlier owners. The owner commands a worker under a higher token of its block
once the worker must refuse earlier direct calls (see `HeartbeatHandler`).
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

# fencing tokens of an ownership; a worker takes at most one for each heartbeat, so that they last
# for days
TOKENS_PER_OWNERSHIP = 1_000_000


class NextToken(NamedTuple):
    """The next fencing token, and the counter version that its write must be conditional on."""

    token: int
    counter_version: int


def last_token_of_block(first_token: int) -> int:
    """Return the last token of the block that an acquisition takes."""
    return first_token + TOKENS_PER_OWNERSHIP - 1


class ShardAcquisition:
    """Operations that acquire a shard, raise its token, or release it."""

    def __init__(
        self, clock: Clock, cluster: ClusterState, shards: OwnedShards, writer: OwnershipWriter
    ) -> None:
        self._clock = clock
        self._cluster = cluster
        self._shards = shards
        self._writer = writer

    def next_token(self, above: int = 0) -> NextToken:
        """Return the next fencing token, which is also higher than `above`."""
        token = max(self._cluster.token_counter(), above) + 1
        return NextToken(token, self._cluster.mirror.version(keys.TOKEN))

    def drop_if_lost(self, shard: int, ownership: ShardOwnership) -> bool:
        """Drop the shard if its ownership is known to have ended; return whether it was dropped."""
        reason = self._loss_reason(shard, ownership)
        if reason is None:
            return False
        self._shards.drop(shard, reason)
        return True

    def _loss_reason(self, shard: int, ownership: ShardOwnership) -> str | None:
        shard_owner = self._cluster.shard_owners.get(shard)
        if ownership.epoch != self._writer.epoch:
            return "lease ended"
        if shard_owner is None:
            return "key deleted"
        if shard_owner.version > ownership.version:
            return f"acquired by {shard_owner.owner}"
        return None

    async def acquire(self, shard: int, above: int = 0) -> bool:
        """Acquire the shard under a new block of tokens, which are higher than `above`.

        Returns:
            Whether this controller now owns the shard under the new token. If not, the mirror has
            been synced with the state service.
        """
        with self._shards.acquiring(shard):
            return await self._acquire(shard, above)

    async def _acquire(self, shard: int, above: int) -> bool:
        shard_owner = self._cluster.shard_owners.get(shard)
        next_token = self.next_token(above)
        token, epoch, key = next_token.token, self._writer.epoch, keys.shard(shard)
        txn = Txn(
            {
                key: shard_owner.version if shard_owner else 0,
                keys.TOKEN: next_token.counter_version,
            },
            [
                Put(key, {"owner": self._writer.label, "token": token}, self._writer.lease_id),
                Put(keys.TOKEN, {"n": last_token_of_block(token)}),
            ],
        )
        if not await self._writer.commit(txn):
            await self._writer.sync()
            return False
        version = self._cluster.mirror.version(key)
        ownership = self._new_ownership(shard, token, version, epoch)
        self._shards.add(shard, ownership)
        log.info("shard acquired shard=%d token=%d term=%d", shard, token, ownership.term)
        return True

    def _new_ownership(self, shard: int, token: int, version: int, epoch: int) -> ShardOwnership:
        before = self._shards.ownerships.get(shard)
        if before is None or before.epoch != epoch:
            return ShardOwnership(
                token, version, self._clock.now(), epoch, token, last_token_of_block(token)
            )
        # only the token is raised: no other controller owned the shard in between
        return before.with_token(token, version, last_token_of_block(token))

    async def release(self, shard: int, ownership: ShardOwnership, reason: str) -> None:
        """Release the shard: drop its ownership, log the reason, and delete its key."""
        self._shards.drop(shard, reason)
        key = keys.shard(shard)
        await self._writer.commit(Txn({key: ownership.version}, [], [key]))
