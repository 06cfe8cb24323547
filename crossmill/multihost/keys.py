"""Names of the keys of multi-machine replicas in the state service.

They lie under the controllers' common prefix, so one watch brings them too; versions that do not
know them ignore them.
"""

from ..cluster import keys as cluster_keys
from .model import ReplicaId

PREFIX = cluster_keys.ROOT + "g/"
SET = PREFIX + "s/"
REPLICA = PREFIX + "r/"
MEMBERS = PREFIX + "m/"
MACHINE = PREFIX + "h/"


def replica_set(name: str) -> str:
    """The declaration of a set."""
    return SET + name


def replica(replica_id: ReplicaId) -> str:
    """The record of a replica."""
    return f"{REPLICA}{replica_id}"


def members(replica_id: ReplicaId, chunk: int) -> str:
    """A stretch of a replica's members."""
    return f"{MEMBERS}{replica_id}/{chunk}"


def machine(machine_id: str) -> str:
    """A machine of the pool."""
    return MACHINE + machine_id


def parse_replica(name: str) -> ReplicaId:
    """The replica of a key without its prefix."""
    replica_id = ReplicaId.parse(name)
    if replica_id is None:
        raise ValueError(f"not a replica: {name}")
    return replica_id


def parse_members(name: str) -> tuple[ReplicaId, int]:
    """The replica and the chunk's number of a key without its prefix."""
    replica_name, _, chunk = name.rpartition("/")
    return parse_replica(replica_name), int(chunk)
