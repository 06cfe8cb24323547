"""Decides which waiting replicas are placed on which machines.

The placement executor calls `Scheduler` in each pass of the coordinator. A replica gets all of its
machines or none. For the first replica that can't be placed, machines are kept free, up to a
configured share of the pool, so that replicas later in the queue don't occupy them. The scheduler
keeps no state between passes.
"""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from .candidates import CandidateFinder
from .declaration import UnplaceableError, check_placeable
from .member_status import DecisionTime
from .model import Member, Replica, ReplicaId, ReplicaSetSpec
from .phases import RESERVING_PHASES, ReplicaPhase
from .placement import Candidate, ReplicaPlacement, choose_placement, machines_to_keep_free
from .placement_queue import PlacementQueue
from .pool import PoolState
from .preemption import PreemptionPlanner
from .settings import MultihostSettings

REPAIRED_REASON = "repaired"
PLACED_REASON = "placed"


class PlacementChoice(NamedTuple):
    """The decision on a waiting replica: a placement, or the replicas to preempt for it."""

    replica_id: ReplicaId
    reason: str = ""
    placement: ReplicaPlacement | None = None
    victims: tuple[ReplicaId, ...] = ()


class _SchedulingPass(NamedTuple):
    """One pass over the queue, with the candidates that remain after the choices so far."""

    time: DecisionTime
    candidates: dict[str, Candidate]
    # machines kept free for the first replica that could not be placed
    kept_free: set[str]


class _PlacementRequest(NamedTuple):
    """The input for choosing the machines of one replica.

    Attributes:
        replica: The waiting replica.
        spec: The declaration of its set.
        own_machines: The machines on which the replica has members.
        survivors: The machines of the members that may stay, by rank.
        suspects: The machines that caused the replica's restart.
        candidates: The candidates, with the resources that the replica itself uses counted as free.
        replicas_by_zone: The number of other replicas of the set in each zone.
    """

    replica: Replica
    spec: ReplicaSetSpec
    own_machines: set[str]
    survivors: dict[int, str]
    suspects: set[str]
    candidates: list[Candidate]
    replicas_by_zone: dict[str, int]


class Scheduler:
    """Chooses machines for the waiting replicas."""

    def __init__(
        self,
        settings: MultihostSettings,
        pool: PoolState,
        queue: PlacementQueue,
        finder: CandidateFinder,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._queue = queue
        self._finder = finder
        self._preemption = PreemptionPlanner(pool)

    def choose(
        self, time: DecisionTime, suspects_of: Callable[[ReplicaId], frozenset[int]]
    ) -> Iterator[PlacementChoice]:
        """Iterate over the choices for the waiting replicas, in the order of the queue.

        The caller carries out each choice before it requests the next, and the ownership may end in
        between. No machine is examined while the queue is empty.

        Args:
            time: The time of the decision.
            suspects_of: Returns the ranks whose machines caused a replica's restart.
        """
        if self._queue.is_empty:
            return
        candidates = {c.machine: c for c in self._finder.candidates(time)}
        scheduling_pass = _SchedulingPass(time, candidates, set())
        for replica_id in self._queue.in_order():
            if not self._queue.is_waiting(replica_id):
                continue
            choice = self._choose_for_replica(replica_id, suspects_of(replica_id), scheduling_pass)
            if choice is not None:
                yield choice

    def _choose_for_replica(
        self, replica_id: ReplicaId, suspects: frozenset[int], scheduling_pass: _SchedulingPass
    ) -> PlacementChoice | None:
        request = self._build_request(replica_id, suspects, scheduling_pass)
        placement = _choose_machines(request, scheduling_pass)
        if placement is not None:
            self._queue.mark_placed(replica_id)
            _subtract_placement(request, placement, scheduling_pass)
            is_repair = request.replica.phase is ReplicaPhase.REPAIRING
            return PlacementChoice(
                replica_id, REPAIRED_REASON if is_repair else PLACED_REASON, placement
            )
        self._queue.mark_unplaced(replica_id, scheduling_pass.time.now)
        self._keep_machines_free(request, scheduling_pass)
        if not self._queue.is_overdue(replica_id, scheduling_pass.time.now):
            return None
        victims = self._preemption.choose(
            request.spec, request.candidates, request.replicas_by_zone
        )
        return PlacementChoice(replica_id, victims=victims) if victims else None

    def _build_request(
        self, replica_id: ReplicaId, suspects: frozenset[int], scheduling_pass: _SchedulingPass
    ) -> _PlacementRequest:
        replica = self._pool.replicas[replica_id]
        spec = self._pool.sets[replica_id.set_name].spec
        own_machines = {m.machine for m in replica.all_members()}
        return _PlacementRequest(
            replica=replica,
            spec=spec,
            own_machines=own_machines,
            survivors=_survivors(replica, suspects, scheduling_pass),
            suspects=_suspected_machines(replica, suspects),
            candidates=[
                c._replace(free=c.free.add(spec.resources)) if c.machine in own_machines else c
                for c in scheduling_pass.candidates.values()
            ],
            replicas_by_zone=self._replicas_by_zone(replica),
        )

    def _replicas_by_zone(self, replica: Replica) -> dict[str, int]:
        """Return the number of other replicas of the set in each zone."""
        by_zone: dict[str, int] = {}
        for other in self._pool.replicas_of[replica.id.set_name].values():
            members = other.all_members()
            if other.id == replica.id or other.stop_reason or not members:
                continue
            machine = self._pool.machines.get(members[0].machine)
            if machine is not None:
                by_zone[machine.zone] = by_zone.get(machine.zone, 0) + 1
        return by_zone

    def _keep_machines_free(
        self, request: _PlacementRequest, scheduling_pass: _SchedulingPass
    ) -> None:
        """Keep machines free for the first replica of the pass that can't be placed.

        No machines are kept if the candidates could not hold the replica even if all were idle.
        """
        if scheduling_pass.kept_free:
            return
        machines = (self._pool.machines[m] for m in scheduling_pass.candidates)
        try:
            check_placeable(request.spec, machines)
        except UnplaceableError:
            return
        max_machines = int(self._settings.idle_ratio * len(scheduling_pass.candidates))
        kept_free = machines_to_keep_free(
            request.spec,
            scheduling_pass.candidates.values(),
            request.replicas_by_zone,
            max_machines,
        )
        scheduling_pass.kept_free.update(kept_free)


def _choose_machines(
    request: _PlacementRequest, scheduling_pass: _SchedulingPass
) -> ReplicaPlacement | None:
    """Choose machines for the replica; suspects only if there are too few others."""

    def choose_without(excluded: set[str]) -> ReplicaPlacement | None:
        return choose_placement(
            request.spec,
            request.survivors,
            request.candidates,
            request.replicas_by_zone,
            excluded,
        )

    placement = choose_without(request.suspects | scheduling_pass.kept_free)
    has_other_suspects = not request.suspects <= scheduling_pass.kept_free
    if placement is None and has_other_suspects:
        placement = choose_without(scheduling_pass.kept_free)
    return placement


def _survivors(
    replica: Replica, suspects: frozenset[int], scheduling_pass: _SchedulingPass
) -> dict[int, str]:
    """Return the machines of the members that may stay, by rank."""
    if replica.phase not in RESERVING_PHASES:
        return {}
    return {
        m.rank: m.machine
        for m in replica.all_members()
        if m.machine in scheduling_pass.candidates and not _is_suspect(m, replica, suspects)
    }


def _is_suspect(member: Member, replica: Replica, suspects: frozenset[int]) -> bool:
    """Return whether the member's machine caused the restart; one reserved since then did not."""
    reserved = {m.rank: m.machine for m in replica.members()}
    is_new = reserved.get(member.rank) == member.machine
    return member.rank in suspects and not is_new


def _suspected_machines(replica: Replica, suspects: frozenset[int]) -> set[str]:
    return {m.machine for m in replica.all_members() if _is_suspect(m, replica, suspects)}


def _subtract_placement(
    request: _PlacementRequest, placement: ReplicaPlacement, scheduling_pass: _SchedulingPass
) -> None:
    """Subtract the resources of the placement from the candidates of this pass.

    Machines on which the replica already has members are left out: its records already count there.
    """
    for _, machine, _ in placement.members:
        if machine not in request.own_machines:
            candidate = scheduling_pass.candidates[machine]
            free = candidate.free.subtract(request.spec.resources)
            scheduling_pass.candidates[machine] = candidate._replace(free=free)
