"""Raises the cluster's feature level once all controllers run a version that supports it.

Each controller of this version writes a note under a separate key, which is attached to no lease
and which the previous version ignores. Once every configured controller has written its note, the
leader raises the level in a transaction that is conditional on all notes. Until then, no record is
written that the previous version could not read. The level is never lowered.
"""

import logging

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import WriteIntent, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .membership import Membership
from .model import Level
from .records import encode_level
from .state_access import StateAccess

log = logging.getLogger(__name__)

# the level that adds job dependencies, plans in segments and the lowest state service limits
DEPENDENCY_LEVEL = 1


class FeatureLevel:
    """Writes this controller's note and, while it is the leader, raises the level."""

    def __init__(
        self, settings: Settings, clock: Clock, state: StateAccess, membership: Membership
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = state.cluster
        self._watcher = state.watcher
        self._writer = state.writer
        self._membership = membership

    async def run(self) -> None:
        """Run steps until the level is raised, then wait until the controller stops."""
        await self._watcher.ready.wait()
        while self._cluster.level is None:
            await self.step()
            await curio.sleep(self._settings.lease_renewal_interval_s)
        log.info("feature level raised level=%d", self._cluster.level.number)
        await curio.Event().wait()

    async def step(self) -> None:
        """Write the note or the level if it is due; the next step retries a failed write."""
        if self._cluster.level is not None:
            return
        feature_note_versions = self._cluster.controllers.feature_note_versions
        if self._settings.label not in feature_note_versions:
            await self._write_note()
        is_complete = all(label in feature_note_versions for label in self._settings.labels)
        if is_complete and self._membership.leadership_version() is not None:
            await self._raise_level()

    async def _write_note(self) -> None:
        key = keys.feature_note(self._settings.label)
        await self._commit(Txn({key: 0}, [Put(key, {"level": DEPENDENCY_LEVEL})]))

    async def _raise_level(self) -> None:
        level = Level(
            DEPENDENCY_LEVEL,
            self._settings.state_limits.chunk_tasks,
            self._settings.lowest_state_limits.segment_tasks,
        )
        feature_note_versions = self._cluster.controllers.feature_note_versions
        conditions = {
            keys.feature_note(label): feature_note_versions[label]
            for label in self._settings.labels
        }
        conditions[keys.LEVEL] = 0
        await self._commit(Txn(conditions, [Put(keys.LEVEL, encode_level(level))]))

    async def _commit(self, txn: Txn) -> None:
        deadline = self._clock.now() + self._settings.controller_lease_ttl_s
        intent = WriteIntent(txn, WriteRank.OWNERSHIP, send_deadline=deadline)
        if await self._writer.commit(intent) != WriteResult.OK:
            await self._watcher.sync(self._settings.lease_renewal_interval_s)
