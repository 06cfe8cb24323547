"""Ownership of the pool: the owner of the pool's shard manages all multi-machine replicas.

`PoolOwnership` applies the controllers' membership to this one shard. It is stateless.
"""

from collections.abc import Callable

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership, shard_intent
from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Txn


class PoolOwnership:
    """Reports the authority with which this controller may act for the pool."""

    def __init__(
        self, membership: Membership, cluster: ClusterState, shard: int, own_label: str
    ) -> None:
        self._membership = membership
        self._cluster = cluster
        self.shard = shard
        self._own_label = own_label

    def on_lost(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called whenever this controller loses the pool."""

        def on_shard_lost(shard: int) -> None:
            if shard == self.shard:
                listener()

        self._membership.subscribe_lost(on_shard_lost)

    def command_ownership(self) -> ShardOwnership | None:
        """Return the ownership if this controller may start and stop members; None otherwise."""
        return self._membership.command_ownership(self.shard)

    def heartbeat_authority(self) -> tuple[ShardOwnership, bool] | None:
        """Return the ownership and whether members may be started and stopped.

        Without the authority to respond to agents, return None.
        """
        return self._membership.heartbeat_authority(self.shard)

    def request_higher_token(self) -> None:
        """Request a higher fencing token, because an agent has seen one above this owner's."""
        self._membership.request_higher_token(self.shard)

    def owner(self) -> str | None:
        """Return the label of the pool's owner, possibly this controller; None if unknown."""
        shard_owner = self._cluster.shard_owners.get(self.shard)
        return None if shard_owner is None else shard_owner.owner

    def other_owner(self) -> str | None:
        """Return the label of the pool's owner; None if it is this controller or unknown."""
        owner = self.owner()
        return None if owner == self._own_label else owner

    def write_intent(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> WriteIntent:
        """Return a write intent that fails once another controller owns the pool."""
        return shard_intent(self._membership, self.shard, ownership, rank, txn)
