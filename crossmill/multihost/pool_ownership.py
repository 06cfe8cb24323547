"""Ownership of the pool: whoever owns the pool's shard acts for all multi-machine replicas.

`PoolOwnership` narrows the controllers' membership to this one shard. It has no state of its own.
"""

from collections.abc import Callable

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership, shard_intent
from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Txn


class PoolOwnership:
    """Says with which authority this controller may act for the pool."""

    def __init__(
        self, membership: Membership, cluster: ClusterState, shard: int, own_label: str
    ) -> None:
        self._membership = membership
        self._cluster = cluster
        self.shard = shard
        self._own_label = own_label

    def on_lost(self, listener: Callable[[], None]) -> None:
        """Have the listener called whenever this controller loses the pool."""

        def on_shard_lost(shard: int) -> None:
            if shard == self.shard:
                listener()

        self._membership.subscribe_lost(on_shard_lost)

    def command_ownership(self) -> ShardOwnership | None:
        """Return the ownership if members may be started and stopped; None otherwise."""
        return self._membership.command_ownership(self.shard)

    def heartbeat_authority(self) -> tuple[ShardOwnership, bool] | None:
        """Return the ownership if agents may be answered, and whether with orders."""
        return self._membership.heartbeat_authority(self.shard)

    def request_higher_token(self) -> None:
        """Ask for a higher fencing token, since an agent has seen one that is above ours."""
        self._membership.request_higher_token(self.shard)

    def owner(self) -> str | None:
        """Return the label of the pool's owner, which may be this controller, if it is known."""
        known = self._cluster.shard_owners.get(self.shard)
        return None if known is None else known.owner

    def other_owner(self) -> str | None:
        """Return the label of another controller that owns the pool, if one is known."""
        owner = self.owner()
        return None if owner == self._own_label else owner

    def write_intent(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> WriteIntent:
        """Return the transaction as an intent that fails once another controller owns the pool."""
        return shard_intent(self._membership, self.shard, ownership, rank, txn)
