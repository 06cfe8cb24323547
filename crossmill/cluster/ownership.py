"""The shards that this controller owns: kept by the membership, read by all who act for them."""

from dataclasses import dataclass, field
from typing import NamedTuple


@dataclass(slots=True, eq=False)
class ShardOwnership:
    """A shard this incarnation acts for. `ready` once all earlier owners' writes are known.
    `term` is the token under which this ownership began: it stays when the token is raised, and
    whatever was concluded under another term is void.
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


@dataclass(slots=True, eq=False)
class OwnedShards:
    """The shards owned, and those that are being taken right now."""

    ownerships: dict[int, ShardOwnership] = field(default_factory=dict)
    acquiring: set[int] = field(default_factory=set)

    def owned_or_acquiring(self) -> set[int]:
        """The shards that this controller acts for, or may be about to: a transaction under way
        can't be called back.
        """
        return {*self.ownerships, *self.acquiring}
