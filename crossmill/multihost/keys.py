"""Names of the keys of multi-machine replicas in the state service.

They lie under the controllers' common prefix, so that one watch brings them too; versions of the
program that do not know them ignore them.
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
    """A stored key under the prefix of replicas does not name a replica."""

    def __init__(self, name: str) -> None:
        super().__init__(f"not a replica: {name}")
        self.name = name


class ChunkKey(NamedTuple):
    """The replica and the number of a chunk of members."""

    replica_id: ReplicaId
    chunk: int


def replica_set(name: str) -> str:
    """Return the key of the declaration of a set."""
    return SET + name


def replica(replica_id: ReplicaId) -> str:
    """Return the key of a replica's record."""
    return f"{REPLICA}{replica_id}"


def members(replica_id: ReplicaId, chunk: int) -> str:
    """Return the key of a chunk of a replica's members."""
    return f"{MEMBERS}{replica_id}/{chunk}"


def machine(machine_id: str) -> str:
    """Return the key of a machine of the pool."""
    return MACHINE + machine_id


def parse_replica(name: str) -> ReplicaId:
    """Return the replica of a key without its prefix.

    Raises:
        MalformedKeyError: The name is not that of a replica.
    """
    replica_id = ReplicaId.parse(name)
    if replica_id is None:
        raise MalformedKeyError(name)
    return replica_id


def parse_members(name: str) -> ChunkKey:
    """Return the replica and the chunk's number of a key without its prefix.

    Raises:
        MalformedKeyError: The name is not that of a chunk of a replica's members.
    """
    replica_name, _, chunk = name.rpartition("/")
    if not chunk.isdecimal():
        raise MalformedKeyError(name)
    return ChunkKey(parse_replica(replica_name), int(chunk))
