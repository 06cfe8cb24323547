"""Chooses the replicas to preempt for a replica of higher priority.

Replicas are preempted whole. The scheduler calls `PreemptionPlanner` for a replica that has waited
too long for machines. The planner only reads the pool; the placement executor marks the chosen
replicas as stopping.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from ..cluster.model import Resources
from .model import Replica, ReplicaId, ReplicaSet, ReplicaSetSpec
from .phases import ReplicaPhase
from .placement import Candidate, choose_placement
from .pool import PoolState


class Victim(NamedTuple):
    """A replica that may be preempted for one of higher priority."""

    name: str
    priority: int
    # wall-clock time at which the replica entered its phase: the latest loses the least work
    phase_entered_at: float
    machines: tuple[str, ...]
    resources: Resources


class _VictimRank(NamedTuple):
    """The sort key of victims: lowest priority first, then fewest members, then latest phase."""

    priority: int
    member_count: int
    negative_phase_entered_at: float
    name: str


def _victim_rank(victim: Victim) -> _VictimRank:
    return _VictimRank(victim.priority, len(victim.machines), -victim.phase_entered_at, victim.name)


def choose_victims(
    spec: ReplicaSetSpec,
    candidates: Iterable[Candidate],
    victims: Iterable[Victim],
    replicas_by_zone: Mapping[str, int],
) -> tuple[Victim, ...]:
    """Return the victims whose stop frees enough machines; empty if no choice does.

    Victims of the lowest priority are chosen first, then those with the fewest members, then those
    that entered their phase last.

    Args:
        spec: The declaration of the set whose replica is to be placed.
        candidates: The machines that can run more members, with their free resources.
        victims: The replicas that may be preempted.
        replicas_by_zone: The number of other replicas of the set in each zone.
    """
    machines = list(candidates)

    def frees_enough(stopped: list[Victim]) -> bool:
        freed = _with_freed_resources(machines, stopped)
        return choose_placement(spec, {}, freed, replicas_by_zone) is not None

    chosen: list[Victim] = []
    for victim in sorted((v for v in victims if v.priority < spec.priority), key=_victim_rank):
        chosen.append(victim)
        if frees_enough(chosen):
            break
    else:
        return ()
    # spare each earlier victim that a later one has made unnecessary
    for victim in list(chosen[:-1]):
        fewer = [v for v in chosen if v is not victim]
        if frees_enough(fewer):
            chosen = fewer
    return tuple(chosen)


def _with_freed_resources(candidates: list[Candidate], victims: list[Victim]) -> list[Candidate]:
    """Return the candidates with the resources that stopping the victims frees added."""
    freed: dict[str, Resources] = {}
    for victim in victims:
        for machine in victim.machines:
            freed_so_far = freed.get(machine)
            freed[machine] = (
                victim.resources if freed_so_far is None else freed_so_far.add(victim.resources)
            )
    return [
        c._replace(free=c.free.add(freed[c.machine])) if c.machine in freed else c
        for c in candidates
    ]


class PreemptionPlanner:
    """Finds the victims among the replicas of the pool."""

    def __init__(self, pool: PoolState) -> None:
        self._pool = pool

    def choose(
        self,
        spec: ReplicaSetSpec,
        candidates: list[Candidate],
        replicas_by_zone: Mapping[str, int],
    ) -> tuple[ReplicaId, ...]:
        """Return the replicas to preempt.

        Empty while a replica of lower priority is already being stopped, since its machines may be
        enough.
        """
        if any(r.stop_reason for r in self._lower_priority_replicas(spec)):
            return ()
        victims = choose_victims(spec, candidates, self._victims(spec), replicas_by_zone)
        return tuple(i for v in victims if (i := ReplicaId.parse(v.name)) is not None)

    def _lower_priority_replicas(self, spec: ReplicaSetSpec) -> Iterator[Replica]:
        """Iterate over the replicas of lower priority that have machines."""
        for name, replicas in self._pool.replicas_of.items():
            replica_set = self._pool.sets.get(name)
            if replica_set is None or replica_set.spec.priority >= spec.priority:
                continue
            yield from (r for r in replicas.values() if r.all_members())

    def _victims(self, spec: ReplicaSetSpec) -> list[Victim]:
        """Return the replicas that their sets' disruption budgets allow to be preempted."""
        victims: list[Victim] = []
        # number of ready replicas that may still be stopped, by set name
        budgets: dict[str, int] = {}
        for replica in self._lower_priority_replicas(spec):
            replica_set = self._pool.sets[replica.id.set_name]
            name = replica_set.spec.name
            if replica.phase is ReplicaPhase.READY:
                budget = budgets.setdefault(name, self._disruption_budget(replica_set))
                if budget <= 0:
                    continue
                budgets[name] = budget - 1
            victims.append(_victim(replica, replica_set))
        return victims

    def _disruption_budget(self, replica_set: ReplicaSet) -> int:
        """Return the number of ready replicas of the set that may be stopped."""
        replicas = self._pool.replicas_of[replica_set.spec.name].values()
        return sum(r.phase is ReplicaPhase.READY for r in replicas) - replica_set.spec.min_ready


def _victim(replica: Replica, replica_set: ReplicaSet) -> Victim:
    return Victim(
        str(replica.id),
        replica_set.spec.priority,
        replica.since,
        tuple(m.machine for m in replica.all_members()),
        replica_set.spec.resources,
    )
