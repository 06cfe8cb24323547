"""Replica sets, replicas, members and the machines of the pool, as the durable records say."""

from dataclasses import dataclass, field
from typing import NamedTuple

from .phases import ReplicaPhase


class Resources(NamedTuple):
    """What a member takes of a machine, or what a machine has."""

    cpus: float
    gpus: float
    memory_gb: float

    def plus(self, other: "Resources") -> "Resources":
        """Both together."""
        return Resources(
            self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb
        )

    def minus(self, other: "Resources") -> "Resources":
        """What is left of this without the other."""
        return Resources(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )

    def can_fit(self, other: "Resources") -> bool:
        """Whether the other fits into this."""
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
        """The replica of this name; None if it is no replica's name."""
        set_name, _, number = name.rpartition("/")
        if not set_name or not number.isdecimal():
            return None
        return cls(set_name, int(number))


class ReplicaSetSpec(NamedTuple):
    """What an operator declares: how many replicas, of how many members each, and where."""

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
        """Whether members may stand in the zone."""
        return not self.zones or zone in self.zones


@dataclass(slots=True, eq=False)
class ReplicaSet:
    """A stored declaration; `removed` once all its replicas are to be stopped."""

    spec: ReplicaSetSpec
    removed: bool = False
    next_index: int = 0
    version: int = 0


class Member(NamedTuple):
    """One machine's part of a replica. It belongs to one session of the machine's agent: an agent
    that begins a new session has lost it.
    """

    rank: int
    machine: str
    session: int
    # how many machines the rank has been on
    attempt: int


class PhaseChange(NamedTuple):
    """An entry of a replica's history."""

    phase: ReplicaPhase
    at: float
    reason: str


@dataclass(slots=True, eq=False)
class MemberChunk:
    """A stored stretch of a replica's members, reserved for one generation."""

    generation: int
    members: tuple[Member, ...]
    version: int = 0


@dataclass(slots=True, eq=False)
class Replica:
    """A replica as its records say. `since` is when it entered its phase, in wall time."""

    id: ReplicaId
    phase: ReplicaPhase = ReplicaPhase.PENDING
    generation: int = 0
    chunk_count: int = 0
    since: float = 0.0
    reason: str = ""
    # why it is to be stopped once a replacement serves or the disruption budget allows it
    leaving: str = ""
    # wall times of the restarts that count against the budget
    restarts: tuple[float, ...] = ()
    history: tuple[PhaseChange, ...] = ()
    chunks: dict[int, MemberChunk] = field(default_factory=dict)
    version: int = 0

    def members(self) -> list[Member]:
        """All members reserved for the current generation, by rank."""
        current = [c for c in self.chunks.values() if c.generation == self.generation]
        return sorted((m for c in current for m in c.members), key=lambda m: m.rank)

    def all_members(self) -> list[Member]:
        """All members of any generation whose reservation stands."""
        return [m for c in self.chunks.values() for m in c.members]


@dataclass(slots=True, eq=False)
class PoolMachine:
    """A machine whose agent has registered. `draining` says why it is to be emptied."""

    id: str
    zone: str
    capacity: Resources
    fetch_gb_per_s: float
    draining: str = ""
    # it is to leave the pool once it is empty, and has left it
    leaving: bool = False
    has_left: bool = False
    version: int = 0
    planned: dict[ReplicaId, Member] = field(default_factory=dict)
