"""Keys of multi-machine replicas in the state service.

The keys share the controllers' common prefix, so that the controllers' single watch covers them.
Versions of the program without multi-machine replicas ignore them.
"""

from typing import NamedTuple

from ..cluster import keys as cluster_keys
from .errors import MultihostError
from .model import ReplicaId

PREFIX = cluster_keys.ROOT + "g/"
SET = PREFIX + "s/"
REPLICA = PREFIX + "r/"
MEMBERS = PREFIX + "m/"
MACHINE = PREFIX + "h/"


class MalformedKeyError(MultihostError):
    """A stored key under the prefix of replicas or members does not name a replica."""

    def __init__(self, name: str) -> None:
        super().__init__(f"key does not name a replica: {name}")
        self.name = name


class ChunkKey(NamedTuple):
    """The replica that a chunk of members belongs to, and the chunk's number."""

    replica_id: ReplicaId
    chunk: int


def replica_set(name: str) -> str:
    """Return the key of a replica set's declaration."""
    return SET + name


def replica(replica_id: ReplicaId) -> str:
    """Return the key of a replica's record."""
    return f"{REPLICA}{replica_id}"


def members(replica_id: ReplicaId, chunk: int) -> str:
    """Return the key of a chunk of a replica's members."""
    return f"{MEMBERS}{replica_id}/{chunk}"


def machine(machine_id: str) -> str:
    """Return the key of a machine's pool record."""
    return MACHINE + machine_id


def parse_replica(name: str) -> ReplicaId:
    """Return the ID of the replica that a key without its prefix names.

    Raises:
        MalformedKeyError: The name does not name a replica.
    """
    replica_id = ReplicaId.parse(name)
    if replica_id is None:
        raise MalformedKeyError(name)
    return replica_id


def parse_members(name: str) -> ChunkKey:
    """Return the chunk of members that a key without its prefix names.

    Raises:
        MalformedKeyError: The name does not name a chunk of members.
    """
    replica_name, _, chunk = name.rpartition("/")
    if not chunk.isdecimal():
        raise MalformedKeyError(name)
    return ChunkKey(parse_replica(replica_name), int(chunk))
