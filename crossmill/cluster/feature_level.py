"""Raises the cluster's feature level once all controllers run a version that supports it.

Each controller notes the highest level that it supports under a separate key, which is attached to
no lease and which versions without feature levels ignore. Once every configured controller has
written its note, the leader raises the level to the lowest of them, in a transaction that is
conditional on all notes. Until then, nothing is written that a controller of an earlier version
could not read or act on. The level is never lowered.
"""

import logging

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import WriteIntent, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .membership import Membership
from .model import FeatureNote, Level
from .records import encode_level
from .state_access import StateAccess

log = logging.getLogger(__name__)

# the level that adds job dependencies, plans in segments and the lowest state service limits
DEPENDENCY_LEVEL = 1
# the level that adds loans of a machine's capacity to another shard, whose tasks the machine's
# owner then commands and whose ends it records
LENDING_LEVEL = 2
# the highest level that this version supports
SUPPORTED_LEVEL = LENDING_LEVEL


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
        while not self._cluster.has_level(SUPPORTED_LEVEL):
            await self.step()
            await curio.sleep(self._settings.lease_renewal_interval_s)
        log.info("feature level raised level=%d", SUPPORTED_LEVEL)
        await curio.Event().wait()

    async def step(self) -> None:
        """Write the note or the level if it is due; the next step retries a failed write."""
        if self._cluster.has_level(SUPPORTED_LEVEL):
            return
        notes = self._cluster.controllers.feature_notes
        own_note = notes.get(self._settings.label)
        if own_note is None or own_note.level < SUPPORTED_LEVEL:
            await self._write_note(own_note)
        is_complete = all(label in notes for label in self._settings.labels)
        if is_complete and self._membership.leadership_version() is not None:
            lowest_level = min(notes[label].level for label in self._settings.labels)
            number = min(lowest_level, SUPPORTED_LEVEL)
            if not self._cluster.has_level(number):
                await self._raise_level(number)

    async def _write_note(self, earlier: FeatureNote | None) -> None:
        """Write this controller's note, which may replace that of an earlier version."""
        key = keys.feature_note(self._settings.label)
        version = earlier.version if earlier is not None else 0
        await self._commit(Txn({key: version}, [Put(key, {"level": SUPPORTED_LEVEL})]))

    async def _raise_level(self, number: int) -> None:
        """Raise the level; the sizes of chunks stay as the first raise has fixed them."""
        current = self._cluster.level
        if current is not None:
            level = current._replace(number=number)
        else:
            level = Level(
                number,
                self._settings.state_limits.chunk_tasks,
                self._settings.lowest_state_limits.segment_tasks,
            )
        notes = self._cluster.controllers.feature_notes
        conditions = {
            keys.feature_note(label): notes[label].version for label in self._settings.labels
        }
        conditions[keys.LEVEL] = self._cluster.mirror.version(keys.LEVEL)
        await self._commit(Txn(conditions, [Put(keys.LEVEL, encode_level(level))]))

    async def _commit(self, txn: Txn) -> None:
        deadline = self._clock.now() + self._settings.controller_lease_ttl_s
        intent = WriteIntent(txn, WriteRank.OWNERSHIP, send_deadline=deadline)
        if await self._writer.commit(intent) != WriteResult.OK:
            await self._watcher.sync(self._settings.lease_renewal_interval_s)
