"""The cluster's feature level: what all controllers' versions can read.

Each controller of this version notes so under a key of its own, which no lease removes and which
the version before ignores. Once every configured controller has, the leader raises the level, in a
transaction that rests on all those notes. Until then nothing is written that the version before
could not read; the level is never lowered.
"""

import logging

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .cluster_state import ClusterState
from .level import Level, encode_level
from .membership import Membership

log = logging.getLogger(__name__)

# jobs that wait for others, plans in segments, the state service's next limits
DEPENDENCIES = 1


class FeatureLevel:
    """Notes this controller's version and, while it leads, raises the level."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        watcher: StateWatcher,
        writer: Writer,
        membership: Membership,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._watcher = watcher
        self._writer = writer
        self._membership = membership

    async def run(self) -> None:
        """Works until the level is raised, then waits for ever."""
        await self._watcher.ready.wait()
        while self._cluster.level is None:
            await self.step()
            await curio.sleep(self._settings.lease_renewal_interval_s)
        log.info("feature level raised level=%d", self._cluster.level.number)
        await curio.Event().wait()

    async def step(self) -> None:
        """One look; whatever fails is tried again at the next."""
        if self._cluster.level is not None:
            return
        if self._settings.label not in self._cluster.controllers.at_next_level:
            await self._note()
        missing = [
            label
            for label in self._settings.labels
            if label not in self._cluster.controllers.at_next_level
        ]
        if not missing and self._membership.leadership_version() is not None:
            await self._raise()

    async def _note(self) -> None:
        key = keys.feature(self._settings.label)
        await self._commit(Txn({key: 0}, [Put(key, {"level": DEPENDENCIES})]))

    async def _raise(self) -> None:
        level = Level(
            DEPENDENCIES,
            self._settings.state_limits.chunk_tasks,
            self._settings.lowest_state_limits.segment_tasks,
        )
        conditions = {
            keys.feature(x): self._cluster.controllers.at_next_level[x]
            for x in self._settings.labels
        }
        conditions[keys.LEVEL] = 0
        await self._commit(Txn(conditions, [Put(keys.LEVEL, encode_level(level))]))

    async def _commit(self, txn: Txn) -> None:
        until = self._clock.now() + self._settings.controller_lease_ttl_s
        intent = WriteIntent(txn, WriteRank.OWNERSHIP, until=until)
        if await self._writer.commit(intent) != WriteResult.OK:
            await self._watcher.sync(self._settings.lease_renewal_interval_s)
