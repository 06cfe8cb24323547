"""Which machines take a replica's members: all of them, or none.

Pure functions. Members of one replica stand on different machines; survivors of an earlier
generation stay where they are, unless the whole replica is back sooner elsewhere.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from .model import ReplicaSetSpec, Resources


class Candidate(NamedTuple):
    """A machine that can be counted on now, and what is free on it."""

    machine: str
    zone: str
    session: int
    free: Resources
    fetch_gb_per_s: float
    images: frozenset[str] = frozenset()
    # it has failed often of late
    avoided: bool = False

    def load_s(self, spec: ReplicaSetSpec) -> float:
        """How long a member waits here for its weights."""
        if spec.image in self.images:
            return 0.0
        return spec.image_gb / max(self.fetch_gb_per_s, 1e-3)


class MemberPlacement(NamedTuple):
    """The machine chosen for a rank."""

    rank: int
    machine: str
    session: int


class ReplicaPlacement(NamedTuple):
    """Machines for all members of a replica."""

    members: tuple[MemberPlacement, ...]
    # when the last member has its weights
    ready_s: float
    kept: int

    @property
    def machines(self) -> frozenset[str]:
        """All machines that it takes."""
        return frozenset(p.machine for p in self.members)


def zone_limit(spec: ReplicaSetSpec) -> int:
    """How many replicas of a set that is spread may stand in one zone."""
    return (spec.replicas + 1) // 2 if spec.spread else spec.replicas


def choose(
    spec: ReplicaSetSpec,
    kept: Mapping[int, str],
    candidates: Iterable[Candidate],
    replicas_by_zone: Mapping[str, int],
    excluded: Collection[str] = (),
) -> ReplicaPlacement | None:
    """Machines for every rank, or None. `kept` names the machines of ranks that may stay; their
    room is counted as free for them in `candidates`. `replicas_by_zone` counts the set's other
    replicas by
    zone; a machine that is excluded takes no new member.
    """
    by_zone: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        if spec.allows_zone(candidate.zone):
            by_zone.setdefault(candidate.zone, []).append(candidate)
    if not spec.one_zone:
        everywhere = [c for group in by_zone.values() for c in group]
        return _fill(spec, kept, everywhere, excluded)
    best: tuple[tuple[float, float, int, str], ReplicaPlacement] | None = None
    for zone, group in by_zone.items():
        if spec.spread and replicas_by_zone.get(zone, 0) >= zone_limit(spec):
            continue
        placement = _fill(spec, kept, group, excluded)
        if placement is None:
            continue
        # sooner back first; among equals the zone with fewer of the set's replicas, fewer moves
        others = replicas_by_zone.get(zone, 0) if spec.spread else 0
        order = (round(placement.ready_s, 3), float(others), -placement.kept, zone)
        if best is None or order < best[0]:
            best = (order, placement)
    return best[1] if best is not None else None


def _fill(
    spec: ReplicaSetSpec,
    kept: Mapping[int, str],
    candidates: list[Candidate],
    excluded: Collection[str],
) -> ReplicaPlacement | None:
    here = {c.machine: c for c in candidates}
    staying = {rank: here[m] for rank, m in kept.items() if m in here}
    taken = {c.machine for c in staying.values()}
    missing = [rank for rank in range(spec.members) if rank not in staying]
    free = [
        c
        for c in candidates
        if c.machine not in taken and c.machine not in excluded and c.free.can_fit(spec.resources)
    ]
    if len(free) < len(missing):
        return None
    # weights at hand first, then the tightest room, so that large rooms stay for large members
    free.sort(key=lambda c: (c.avoided, c.load_s(spec), c.free, c.machine))
    chosen = {**staying, **dict(zip(missing, free, strict=False))}
    members = tuple(
        MemberPlacement(rank, c.machine, c.session) for rank, c in sorted(chosen.items())
    )
    ready_s = max((c.load_s(spec) for c in chosen.values()), default=0.0)
    return ReplicaPlacement(members, ready_s, len(staying))


class QueuePosition(NamedTuple):
    """A replica that waits for room, in the total order in which all are served."""

    priority: int
    since: float
    set_name: str
    number: int

    @property
    def order(self) -> tuple[int, float, str, int]:
        """Higher priority first, then the one that has waited longer, then its name."""
        return (-self.priority, self.since, self.set_name, self.number)


def earmark(
    spec: ReplicaSetSpec,
    candidates: Iterable[Candidate],
    replicas_by_zone: Mapping[str, int],
    most: int,
) -> frozenset[str]:
    """Free machines kept for a replica that finds too few: in the zone that has most of them, up
    to `most`. Those behind it in the queue do not get these machines.
    """
    by_zone: dict[str, list[Candidate]] = {}
    for c in candidates:
        if spec.allows_zone(c.zone) and c.free.can_fit(spec.resources):
            by_zone.setdefault(c.zone if spec.one_zone else "", []).append(c)
    open_zones = {
        zone: group
        for zone, group in by_zone.items()
        if not spec.spread or replicas_by_zone.get(zone, 0) < zone_limit(spec)
    }
    if not open_zones:
        return frozenset()
    largest = max(open_zones.values(), key=lambda group: (len(group), group[0].zone))
    largest.sort(key=lambda c: (c.avoided, c.load_s(spec), c.free, c.machine))
    return frozenset(c.machine for c in largest[: min(most, spec.members)])


class Victim(NamedTuple):
    """A whole replica that may be stopped for one of higher priority."""

    name: str
    priority: int
    # when it began to serve: the youngest has least to lose
    since: float
    machines: tuple[str, ...]
    resources: Resources


def choose_victims(
    spec: ReplicaSetSpec,
    candidates: Iterable[Candidate],
    victims: Iterable[Victim],
    replicas_by_zone: Mapping[str, int],
) -> tuple[Victim, ...]:
    """Whole replicas whose machines, with what is free, hold the replica: of the lowest priority,
    the fewest members lost, the youngest. Empty if there are none.
    """
    pool = list(candidates)
    lesser = sorted(
        (v for v in victims if v.priority < spec.priority),
        key=lambda v: (v.priority, len(v.machines), -v.since, v.name),
    )
    chosen: list[Victim] = []
    for victim in lesser:
        chosen.append(victim)
        if choose(spec, {}, _freed(pool, chosen), replicas_by_zone) is not None:
            break
    else:
        return ()
    # those that turned out not to be needed stay
    for victim in list(chosen[:-1]):
        fewer = [v for v in chosen if v is not victim]
        if choose(spec, {}, _freed(pool, fewer), replicas_by_zone) is not None:
            chosen = fewer
    return tuple(chosen)


def _freed(pool: list[Candidate], victims: list[Victim]) -> list[Candidate]:
    freed: dict[str, Resources] = {}
    for victim in victims:
        for machine in victim.machines:
            known = freed.get(machine)
            freed[machine] = victim.resources if known is None else known.plus(victim.resources)
    return [
        c._replace(free=c.free.plus(freed[c.machine])) if c.machine in freed else c for c in pool
    ]
