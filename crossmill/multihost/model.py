"""Replica sets, replicas, members and the machines of the pool, as their durable records say.

Plain types without behaviour of their own. `pool` keeps the objects up to date with the state
service; everybody else only reads them.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from .phases import ReplicaPhase

# the rank of the front member, which answers requests for the whole replica
FRONT_RANK = 0


class Resources(NamedTuple):
    """What a member needs of a machine, or what a machine has."""

    cpus: float
    gpus: float
    memory_gb: float

    def add(self, other: "Resources") -> "Resources":
        """Return the sum of both."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def subtract(self, other: "Resources") -> "Resources":
        """Return what is left of this without the other; amounts may become negative."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def can_fit(self, other: "Resources") -> bool:
        """Return whether the other fits into this."""
        return (
            self.cpus >= other.cpus
            and self.gpus >= other.gpus
            and self.memory_gb >= other.memory_gb
        )


NO_RESOURCES = Resources(0.0, 0.0, 0.0)


class ReplicaId(NamedTuple):
    """A replica of a set: the set's name and a number that is never used again."""

    set_name: str
    number: int

    def __str__(self) -> str:
        return f"{self.set_name}/{self.number}"

    @classmethod
    def parse(cls, name: str) -> "ReplicaId | None":
        """Return the replica of this name; None if it is not the name of a replica."""
        set_name, _, number = name.rpartition("/")
        if not set_name or not number.isdecimal():
            return None
        return cls(set_name, int(number))


class ReplicaSetSpec(NamedTuple):
    """What an operator declares: how many replicas, of how many members each, and where.

    The fields are spelled as in the declaration. `hold_s` is how long a replica may keep a part of
    its machines reserved while it waits for the rest; `min_ready` is the disruption budget, the
    number of ready replicas that no voluntary stop goes below.
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
    """A stored declaration; `is_removed` once all its replicas are to be stopped."""

    spec: ReplicaSetSpec
    is_removed: bool = False
    # the number of the next replica that is created
    next_index: int = 0
    version: int = 0


class Member(NamedTuple):
    """One machine's part of a replica.

    It belongs to one session of the machine's agent: an agent that begins a new session has lost
    it. Stored by position, and shown to operators by its fields' names.
    """

    rank: int
    machine: str
    session: int
    # how many machines the rank has been on
    attempt: int


class PhaseChange(NamedTuple):
    """An entry of a replica's history; `at` is a wall time."""

    phase: ReplicaPhase
    at: float
    reason: str


@dataclass(slots=True, eq=False)
class MemberChunk:
    """Some of a replica's members, stored in one record and reserved for one generation."""

    generation: int
    members: tuple[Member, ...]
    version: int = 0


@dataclass(slots=True, eq=False)
class Replica:
    """A replica as its records say; `since` is the wall time at which it entered its phase."""

    id: ReplicaId
    phase: ReplicaPhase = ReplicaPhase.PENDING
    generation: int = 0
    chunk_count: int = 0
    since: float = 0.0
    reason: str = ""
    # if not empty it is to be stopped, once a replacement serves or the disruption budget allows it
    stop_reason: str = ""
    # wall times of the restarts that count against the budget
    restarts: tuple[float, ...] = ()
    history: tuple[PhaseChange, ...] = ()
    chunks: dict[int, MemberChunk] = field(default_factory=dict)
    version: int = 0

    def members(self) -> list[Member]:
        """Return all members reserved for the current generation, by rank."""
        current = [c for c in self.chunks.values() if c.generation == self.generation]
        return sorted((m for c in current for m in c.members), key=lambda m: m.rank)

    def all_members(self) -> list[Member]:
        """Return the members of all generations whose machines are still reserved."""
        return [m for c in self.chunks.values() for m in c.members]


@dataclass(slots=True, eq=False)
class PoolMachine:
    """A machine whose agent has registered."""

    id: str
    zone: str
    capacity: Resources
    fetch_gb_per_s: float
    # if not empty, replicas with a member here are to be replaced elsewhere
    drain_reason: str = ""
    # it is to leave the pool once it is empty, and has left it
    is_released: bool = False
    has_left: bool = False
    version: int = 0
    planned: dict[ReplicaId, Member] = field(default_factory=dict)
