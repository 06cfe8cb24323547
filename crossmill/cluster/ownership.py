"""The shards that this controller owns.

`ShardAcquisition` changes them; all who act for a shard read them through `Membership`, and
`LeaseExtensions` tells peers of them.
"""

import logging
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from types import MappingProxyType
from typing import NamedTuple

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class ShardOwnership:
    """A shard that this controller owns under a fencing token.

    `ready` once all writes of earlier owners are known. `term` is the token under which this
    ownership began: it stays when the token is raised, and whatever was concluded under another
    term is void. `acquired_at` is on the steady clock.
    """

    token: int
    version: int
    acquired_at: float
    epoch: int
    term: int
    ready: bool = False


class HeartbeatAuthority(NamedTuple):
    """The authority to answer heartbeats of a shard's workers.

    Without `may_command` the workers are only kept alive: nothing is started, and nothing stopped
    but tasks of jobs that have ended.
    """

    ownership: ShardOwnership
    may_command: bool


class OwnedShards:
    """The shards that are owned, and those that are being acquired right now."""

    __slots__ = ("_acquiring", "_lost_listeners", "_ownerships", "ownerships")

    def __init__(self) -> None:
        self._ownerships: dict[int, ShardOwnership] = {}
        self._acquiring: set[int] = set()
        self._lost_listeners: list[Callable[[int], None]] = []
        # a live view that can't be written to
        self.ownerships: Mapping[int, ShardOwnership] = MappingProxyType(self._ownerships)

    def subscribe_lost(self, listener: Callable[[int], None]) -> None:
        """Calls the listener with each shard that is no longer owned from now on."""
        self._lost_listeners.append(listener)

    def owned_or_acquiring(self) -> set[int]:
        """The shards that this controller acts for, or may be about to.

        A transaction under way can't be called back.
        """
        return {*self._ownerships, *self._acquiring}

    @contextmanager
    def acquiring(self, shard: int) -> Iterator[None]:
        """Counts the shard as being acquired while the context lasts."""
        self._acquiring.add(shard)
        try:
            yield
        finally:
            self._acquiring.discard(shard)

    def add(self, shard: int, ownership: ShardOwnership) -> None:
        """Puts the shard's new ownership in place of the one before, if any."""
        self._ownerships[shard] = ownership

    def drop(self, shard: int, reason: str) -> None:
        """Ends the ownership and tells all subscribers; the reason is for the log."""
        ownership = self._ownerships.pop(shard)
        log.info("shard lost shard=%d token=%d reason=%s", shard, ownership.token, reason)
        for listener in self._lost_listeners:
            listener(shard)
