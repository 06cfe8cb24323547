"""Leader election: one controller at a time scales the fleet and raises the feature level.

The leader's key is attached to the leader's lease, so it is deleted when that lease expires. The
leader's writes are conditional on the key's version.
"""

import logging
from typing import NamedTuple

from ..wire.state import Put, Txn
from . import keys
from .cluster_state import ClusterState
from .owner_selection import AcquisitionPolicy
from .state_access import OwnershipWriter

log = logging.getLogger(__name__)


class LeadershipTerm(NamedTuple):
    """The lease epoch in which leadership was acquired, and the version of the leader's key."""

    epoch: int
    key_version: int


class Leadership:
    """This controller's candidacy for the leader's key and its current leadership."""

    def __init__(
        self, cluster: ClusterState, policy: AcquisitionPolicy, writer: OwnershipWriter
    ) -> None:
        self._cluster = cluster
        self._policy = policy
        self._writer = writer
        self._term: LeadershipTerm | None = None

    def version(self) -> int | None:
        """Return the version of the leader's key while this controller is the leader, else None."""
        if self._term is None or self._term.epoch != self._writer.epoch:
            return None
        return self._term.key_version if self._writer.is_lease_held() else None

    async def step(self) -> None:
        """Drop leadership that was lost, and acquire it if this controller may."""
        key_version = self._cluster.mirror.version(keys.LEADER)
        if self._term is not None:
            if self._term == (self._writer.epoch, key_version):
                return
            log.info("leadership lost")
            self._term = None
        if self._may_acquire():
            await self._acquire(key_version)

    def _may_acquire(self) -> bool:
        leader = self._cluster.controllers.leader
        if leader is None:
            return self._policy.is_acquisition_due(keys.LEADER)
        if leader != self._writer.label:
            self._policy.reset_unowned_time(keys.LEADER)
            return False
        # the key was written by an earlier process under this label, or in an earlier lease epoch
        return True

    async def _acquire(self, key_version: int) -> None:
        epoch = self._writer.epoch
        put = Put(keys.LEADER, {"owner": self._writer.label}, self._writer.lease_id)
        if not await self._writer.commit(Txn({keys.LEADER: key_version}, [put])):
            await self._writer.sync()
            return
        self._term = LeadershipTerm(epoch, self._cluster.mirror.version(keys.LEADER))
        self._policy.reset_unowned_time(keys.LEADER)
        log.info("leadership acquired lease_epoch=%d", epoch)
