"""Data types of replica sets, replicas, members and pool machines, as stored in their records.

The types have no behaviour of their own. `pool` keeps the objects up to date with the state
service; all other modules only read them.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from ..cluster.model import Resources
from .phases import ReplicaPhase

# the rank of the front member, which serves requests for the whole replica
FRONT_RANK = 0


class ReplicaId(NamedTuple):
    """The ID of a replica: its set's name and a number that is never reused in the set."""

    set_name: str
    number: int

    def __str__(self) -> str:
        return f"{self.set_name}/{self.number}"

    @classmethod
    def parse(cls, name: str) -> "ReplicaId | None":
        """Return the ID that the name spells; None if it is not the name of a replica."""
        set_name, _, number = name.rpartition("/")
        if not set_name or not number.isdecimal():
            return None
        return cls(set_name, int(number))


class ReplicaSetSpec(NamedTuple):
    """An operator's declaration of a replica set: its size, its resources and its zones.

    The fields are spelled as in the declaration. `hold_s` is the time for which a replica may keep
    some of its machines reserved while it waits for the others. `min_ready` is the disruption
    budget: no voluntary stop reduces the number of ready replicas below it.
    """

    name: str
    members: int
    replicas: int
    resources: Resources
    image: str
    image_gb: float
    priority: int = 0
    zones: tuple[str, ...] = ()
    one_zone: bool = True
    spread: bool = False
    min_ready: int = 0
    restart_budget: int = 5
    restart_window_s: float = 600.0
    hold_s: float = 30.0

    def allows_zone(self, zone: str) -> bool:
        """Return whether members may run in the zone."""
        return not self.zones or zone in self.zones


@dataclass(slots=True, eq=False)
class ReplicaSet:
    """A stored declaration; `is_removed` means that all its replicas are to be stopped."""

    spec: ReplicaSetSpec
    is_removed: bool = False
    # the number of the next replica to be created
    next_number: int = 0
    version: int = 0


class Member(NamedTuple):
    """The part of a replica that runs on one machine.

    It belongs to one session of the machine's agent and is lost when the agent starts a new one.
    The records store the fields by position; the operators' API shows them under their names.
    """

    rank: int
    machine: str
    session: int
    # the number of machines that the rank has been placed on so far
    attempt: int


class PhaseChange(NamedTuple):
    """A phase transition in a replica's history; `at` is its wall-clock time."""

    phase: ReplicaPhase
    at: float
    reason: str


@dataclass(slots=True, eq=False)
class MemberChunk:
    """A group of a replica's members, stored in one record and reserved for one generation."""

    generation: int
    members: tuple[Member, ...]
    version: int = 0


@dataclass(slots=True, eq=False)
class Replica:
    """A replica as stored; `since` is the wall-clock time at which it entered its phase."""

    id: ReplicaId
    phase: ReplicaPhase = ReplicaPhase.PENDING
    generation: int = 0
    chunk_count: int = 0
    since: float = 0.0
    reason: str = ""
    # if not empty, the replica is to be stopped for this reason, as soon as a replacement serves or
    # the disruption budget allows it
    stop_reason: str = ""
    # wall-clock times of the restarts that count against the restart budget
    restarts: tuple[float, ...] = ()
    history: tuple[PhaseChange, ...] = ()
    chunks: dict[int, MemberChunk] = field(default_factory=dict)
    version: int = 0

    def members(self) -> list[Member]:
        """Return the members reserved for the current generation, sorted by rank."""
        current = [c for c in self.chunks.values() if c.generation == self.generation]
        return sorted((m for c in current for m in c.members), key=lambda m: m.rank)

    def all_members(self) -> list[Member]:
        """Return the members of all generations whose machines are still reserved."""
        return [m for c in self.chunks.values() for m in c.members]


@dataclass(slots=True, eq=False)
class PoolMachine:
    """A machine of the pool; its agent has registered it."""

    id: str
    zone: str
    capacity: Resources
    fetch_gb_per_s: float
    # if not empty, the reason to replace the replicas that have a member here
    drain_reason: str = ""
    # whether the machine is to leave the pool once it runs no member
    is_released: bool = False
    # whether the machine has left the pool
    has_left: bool = False
    version: int = 0
    planned: dict[ReplicaId, Member] = field(default_factory=dict)
