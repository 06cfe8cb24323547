"""Ownership of the pool: the owner of the pool's shard manages all multi-machine replicas.

`PoolOwnership` applies the controllers' membership to this one shard. It is stateless.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..cluster.membership import shard_intent
from ..cluster.ownership import ShardOwnership
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Txn

if TYPE_CHECKING:
    from .context import ControllerContext


class PoolOwnership:
    """Reports the authority with which this controller may act for the pool."""

    def __init__(self, controller: "ControllerContext", shard: int) -> None:
        self._membership = controller.membership
        self._cluster = controller.cluster
        self._watcher = controller.watcher
        self._settings = controller.settings
        self.shard = shard

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
        """Return the label of the pool's owner; None if it is this controller or unknown.

        With old records the owner is unknown: two controllers that are cut off would send an agent
        to each other, and it would never try the third.
        """
        if not self._watcher.is_current_within(self._settings.controller_lease_ttl_s):
            return None
        owner = self.owner()
        return None if owner == self._settings.label else owner

    def write_intent(self, ownership: ShardOwnership, rank: WriteRank, txn: Txn) -> WriteIntent:
        """Return a write intent that fails once another controller owns the pool."""
        return shard_intent(self._membership, self.shard, ownership, rank, txn)
