"""Chooses machines for a replica's members: for all of them or for none (gang scheduling).

Pure functions, called by `scheduling` and `preemption`. Members of one replica run on different
machines. Members that survive from an earlier generation stay on their machines, unless the whole
replica is ready sooner in another zone.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from ..cluster.model import Resources
from .model import ReplicaSetSpec

# lower bound on a machine's fetch rate, so that no load time is infinite
MIN_FETCH_GB_PER_S = 1e-3
# load times of zones are rounded to this many decimals before they are compared
LOAD_TIME_DECIMALS = 3
# the group key of all zones together, for a replica that may span zones
ALL_ZONES = ""


class Candidate(NamedTuple):
    """A machine that can run more members now, with its free resources."""

    machine: str
    zone: str
    session: int
    free: Resources
    fetch_gb_per_s: float
    images: frozenset[str] = frozenset()
    # whether the machine failed often recently, so that it is chosen only if no other is left
    is_avoided: bool = False

    def load_s(self, spec: ReplicaSetSpec) -> float:
        """Return the time in seconds to load a member's weights on this machine."""
        if spec.image in self.images:
            return 0.0
        return spec.image_gb / max(self.fetch_gb_per_s, MIN_FETCH_GB_PER_S)


class MemberPlacement(NamedTuple):
    """The machine chosen for a rank."""

    rank: int
    machine: str
    session: int


class ReplicaPlacement(NamedTuple):
    """Machines for all members of a replica.

    Attributes:
        members: The machine of each rank.
        load_s: The seconds until the last member has loaded its weights.
        survivor_count: The number of members that stay on their machines.
    """

    members: tuple[MemberPlacement, ...]
    load_s: float
    survivor_count: int

    @property
    def machines(self) -> frozenset[str]:
        """The machines of all members."""
        return frozenset(m.machine for m in self.members)


class _CandidateRank(NamedTuple):
    """The sort key of candidates; the smallest is chosen first.

    Machines that already have the weights are preferred, then those with the least free resources,
    so that machines with more remain available to large members (best fit).
    """

    is_avoided: bool
    load_s: float
    free: Resources
    machine: str


class _ZoneRank(NamedTuple):
    """The sort key of zones; the smallest is preferred.

    The zone with the shortest load time is preferred, then for a spread set the one with fewer of
    the set's replicas, then the one where fewer members move.
    """

    load_s: float
    other_replicas: int
    negative_survivors: int
    zone: str


class _RankedPlacement(NamedTuple):
    rank: _ZoneRank
    placement: ReplicaPlacement


def _candidate_rank(candidate: Candidate, spec: ReplicaSetSpec) -> _CandidateRank:
    return _CandidateRank(
        candidate.is_avoided, candidate.load_s(spec), candidate.free, candidate.machine
    )


def max_replicas_per_zone(spec: ReplicaSetSpec) -> int:
    """Return the maximum number of replicas per zone: half, rounded up, if the set is spread."""
    return (spec.replicas + 1) // 2 if spec.spread else spec.replicas


def _is_zone_full(spec: ReplicaSetSpec, zone: str, replicas_by_zone: Mapping[str, int]) -> bool:
    """Return whether a spread set has its maximum number of replicas in the zone."""
    return spec.spread and replicas_by_zone.get(zone, 0) >= max_replicas_per_zone(spec)


def choose_placement(
    spec: ReplicaSetSpec,
    survivors: Mapping[int, str],
    candidates: Iterable[Candidate],
    replicas_by_zone: Mapping[str, int],
    excluded: Collection[str] = (),
) -> ReplicaPlacement | None:
    """Return machines for every rank; None if there are too few.

    Args:
        spec: The set's declaration.
        survivors: The machines of the members that may stay, by rank. The resources that these
            members use are counted as free in `candidates`.
        candidates: The machines that can run more members.
        replicas_by_zone: The number of other replicas of the set in each zone.
        excluded: Machines on which no new member is placed.
    """
    by_zone: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        if spec.allows_zone(candidate.zone):
            by_zone.setdefault(candidate.zone, []).append(candidate)
    if not spec.one_zone:
        everywhere = [c for group in by_zone.values() for c in group]
        return _place_members(spec, survivors, everywhere, excluded)
    best: _RankedPlacement | None = None
    for zone, group in by_zone.items():
        if _is_zone_full(spec, zone, replicas_by_zone):
            continue
        placement = _place_members(spec, survivors, group, excluded)
        if placement is None:
            continue
        others = replicas_by_zone.get(zone, 0) if spec.spread else 0
        load_s = round(placement.load_s, LOAD_TIME_DECIMALS)
        rank = _ZoneRank(load_s, others, -placement.survivor_count, zone)
        if best is None or rank < best.rank:
            best = _RankedPlacement(rank, placement)
    return best.placement if best is not None else None


def _place_members(
    spec: ReplicaSetSpec,
    survivors: Mapping[int, str],
    candidates: list[Candidate],
    excluded: Collection[str],
) -> ReplicaPlacement | None:
    """Return a placement of all members on these candidates; None if there are too few."""
    by_machine = {c.machine: c for c in candidates}
    kept = {rank: by_machine[m] for rank, m in survivors.items() if m in by_machine}
    used_machines = {c.machine for c in kept.values()}
    missing = [rank for rank in range(spec.members) if rank not in kept]
    free = [
        c
        for c in candidates
        if c.machine not in used_machines
        and c.machine not in excluded
        and c.free.can_fit(spec.resources)
    ]
    if len(free) < len(missing):
        return None
    free.sort(key=lambda c: _candidate_rank(c, spec))
    chosen = {**kept, **dict(zip(missing, free, strict=False))}
    members = tuple(
        MemberPlacement(rank, c.machine, c.session) for rank, c in sorted(chosen.items())
    )
    load_s = max((c.load_s(spec) for c in chosen.values()), default=0.0)
    return ReplicaPlacement(members, load_s, len(kept))


def machines_to_keep_free(
    spec: ReplicaSetSpec,
    candidates: Iterable[Candidate],
    replicas_by_zone: Mapping[str, int],
    max_machines: int,
) -> frozenset[str]:
    """Return machines to keep free for a replica that has too few machines to be placed.

    The machines are in the zone with the most free ones. Replicas that are later in the queue are
    not placed on them.

    Args:
        spec: The declaration of the replica's set.
        candidates: The machines that can run more members.
        replicas_by_zone: The number of other replicas of the set in each zone.
        max_machines: The maximum number of machines to keep free.
    """
    by_zone: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        if spec.allows_zone(candidate.zone) and candidate.free.can_fit(spec.resources):
            zone = candidate.zone if spec.one_zone else ALL_ZONES
            by_zone.setdefault(zone, []).append(candidate)
    open_groups = [
        group for zone, group in by_zone.items() if not _is_zone_full(spec, zone, replicas_by_zone)
    ]
    if not open_groups:
        return frozenset()
    largest = max(open_groups, key=lambda group: (len(group), group[0].zone))
    largest.sort(key=lambda c: _candidate_rank(c, spec))
    return frozenset(c.machine for c in largest[: min(max_machines, spec.members)])
