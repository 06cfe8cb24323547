"""The shards that this controller owns, and the authority to respond to their workers.

`ShardAcquisition` modifies the ownerships, `Membership` makes them available to code that acts for
a shard, and `LeaseExtensions` reports the owned shards to peers.
"""

import logging
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, replace
from enum import Enum
from types import MappingProxyType
from typing import NamedTuple

log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class ShardOwnership:
    """This controller's ownership of a shard under a fencing token.

    Attributes:
        token: The fencing token of the shard's key, the first of a block that no other ownership
            or machine has. Workers are commanded under this token, or a higher one of the block.
        version: The version of the shard's key.
        acquired_at: The monotonic time at which the ownership began.
        epoch: The lease epoch in which the shard was acquired.
        term: The token under which the ownership began. It does not change when the token is
            raised. Results obtained under another term are invalid.
        last_token: The last token of the block.
        is_ready: Whether all writes of earlier owners have been read.
    """

    token: int
    version: int
    acquired_at: float
    epoch: int
    term: int
    last_token: int
    is_ready: bool = False

    def with_token(self, token: int, version: int, last_token: int) -> "ShardOwnership":
        """Return this ownership under another block of tokens and another version of the key."""
        return replace(self, token=token, version=version, last_token=last_token)


class HeartbeatAuthority(NamedTuple):
    """The authority to respond to heartbeats of a shard's workers.

    Without `may_command` the controller only renews the workers' leases: it starts no tasks, and
    stops only tasks of jobs that have ended.
    """

    ownership: ShardOwnership
    may_command: bool


class ResponseBasis(Enum):
    """Why the owner of a shard may respond to its workers, or why not; the values are logged."""

    # the controller lease, and a read recent enough for commands
    LEASE = "lease"
    # the controller lease alone: the last read is too old for commands
    LEASE_WITH_OLD_READ = "lease-old-read"
    # lease extensions of all peers
    EXTENSION = "lease-extension"
    # no response: a cancellation may have been confirmed too long ago without being read
    OLD_READ = "none-old-read"
    # no response: neither the controller lease nor extensions of all peers
    NO_LEASE = "none-no-lease"


class OwnedShards:
    """The shards that this controller owns or is acquiring."""

    __slots__ = ("_acquiring", "_lost_listeners", "_ownerships", "ownerships")

    def __init__(self) -> None:
        self._ownerships: dict[int, ShardOwnership] = {}
        self._acquiring: set[int] = set()
        self._lost_listeners: list[Callable[[int], None]] = []
        # read-only live view of the ownerships, by shard
        self.ownerships: Mapping[int, ShardOwnership] = MappingProxyType(self._ownerships)

    def subscribe_lost(self, listener: Callable[[int], None]) -> None:
        """Register a listener that is called with each shard whose ownership ends."""
        self._lost_listeners.append(listener)

    def owned_or_acquiring(self) -> set[int]:
        """Return the shards that this controller owns or is acquiring.

        Acquisitions count because a transaction that was sent can't be cancelled.
        """
        return {*self._ownerships, *self._acquiring}

    @contextmanager
    def acquiring(self, shard: int) -> Iterator[None]:
        """Mark the shard as being acquired until the context exits."""
        self._acquiring.add(shard)
        try:
            yield
        finally:
            self._acquiring.discard(shard)

    def add(self, shard: int, ownership: ShardOwnership) -> None:
        """Set the shard's ownership, replacing any earlier one."""
        self._ownerships[shard] = ownership

    def drop(self, shard: int, reason: str) -> None:
        """End the ownership, log the reason and notify all subscribers."""
        ownership = self._ownerships.pop(shard)
        log.info("shard lost shard=%d token=%d reason=%s", shard, ownership.token, reason)
        for listener in self._lost_listeners:
            listener(shard)
