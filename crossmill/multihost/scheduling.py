"""The queue of replicas that wait for machines, and who gets which.

All wait in one total order. A replica gets all of its machines or none. The first that finds too
few keeps free machines from those behind it, up to a stated part of the pool.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from .agents import Agents
from .declaration import UnplaceableError, check_placeable
from .failure_scores import FailureScores
from .lifecycle import DecisionTime, is_heartbeat_overdue
from .model import Member, PoolMachine, Replica, ReplicaId, ReplicaSetSpec
from .phases import PLACING_PHASES, ReplicaPhase
from .placement import (
    Candidate,
    QueuePosition,
    ReplicaPlacement,
    Victim,
    choose,
    choose_victims,
    earmark,
)
from .pool import PoolState
from .settings import MultihostSettings


@dataclass(slots=True, eq=False)
class PlacementChoice:
    """What a replica that waits gets: machines, or the promise of others' machines."""

    replica_id: ReplicaId
    reason: str
    placement: ReplicaPlacement | None = None
    victims: tuple[ReplicaId, ...] = ()


@dataclass(slots=True, eq=False)
class _QueueEntry:
    """A replica in the queue."""

    since: float
    # since when it has found no room
    unplaced_since: float | None = None


@dataclass(slots=True, eq=False)
class _QueuePass:
    """One pass over the queue: the candidates as earlier choices leave them."""

    candidates: dict[str, Candidate]
    earmarked: set[str] = field(default_factory=set)


class Scheduler:
    """Chooses machines for the replicas that wait."""

    def __init__(
        self,
        settings: MultihostSettings,
        pool: PoolState,
        agents: Agents,
        failures: FailureScores,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._agents = agents
        self._failures = failures
        self._queue: dict[ReplicaId, _QueueEntry] = {}
        # machines kept free for the first in the queue, at the last pass
        self.earmarked = 0

    def clear(self) -> None:
        """The ownership has ended."""
        self._queue.clear()
        self.earmarked = 0

    def add(self, replica_id: ReplicaId, now: float) -> None:
        """The replica needs machines."""
        self._queue.setdefault(replica_id, _QueueEntry(now))

    def remove(self, replica_id: ReplicaId) -> None:
        """The replica needs no machines, or has got them."""
        self._queue.pop(replica_id, None)

    def waiting_sets(self) -> set[str]:
        """The sets of the replicas that wait."""
        return {replica_id.set_name for replica_id in self._queue}

    def has_open_reservation(self) -> bool:
        """Whether a reservation in steps was begun and is neither finished nor undone."""
        known = (self._pool.replicas.get(replica_id) for replica_id in self._queue)
        return any(r is not None and r.phase is ReplicaPhase.RESERVING for r in known)

    def has_overdue_placement(self, set_name: str, now: float) -> bool:
        """Whether a replica of the set has found no room for a while."""
        return any(
            entry.unplaced_since is not None
            and now - entry.unplaced_since >= self._settings.preempt_after_s
            for replica_id, entry in self._queue.items()
            if replica_id.set_name == set_name
        )

    # -- one pass --------------------------------------------------------------------

    def choose(
        self, moment: DecisionTime, suspects: Mapping[ReplicaId, frozenset[int]]
    ) -> Iterator[PlacementChoice]:
        """What each that waits gets, in order. Costs nothing while nobody waits."""
        if not self._queue:
            self.earmarked = 0
            return
        state = _QueuePass({c.machine: c for c in self._candidates(moment)})
        for replica_id in self._order():
            # choices are carried out one by one, and the ownership may end meanwhile
            if not self._is_waiting(replica_id):
                continue
            choice = self._choose_one(replica_id, moment, suspects.get(replica_id), state)
            if choice is not None:
                yield choice
        self.earmarked = len(state.earmarked)

    def _order(self) -> list[ReplicaId]:
        """Reservations already begun go first: only one is ever left open, and finished or undone
        before another is begun. Then repairs, which hold machines; then the total order.
        """

        def key(replica_id: ReplicaId) -> tuple[int, tuple[int, float, str, int]]:
            replica = self._pool.replicas[replica_id]
            spec = self._pool.sets[replica_id.set_name].spec
            waiting = QueuePosition(spec.priority, self._queue[replica_id].since, *replica_id)
            rank = {ReplicaPhase.RESERVING: 0, ReplicaPhase.REPAIRING: 1}.get(replica.phase, 2)
            return rank, waiting.order

        return sorted(filter(self._is_waiting, self._queue), key=key)

    def _is_waiting(self, replica_id: ReplicaId) -> bool:
        """Whether the replica is in the queue, and known with its set."""
        has_records = replica_id in self._pool.replicas and replica_id.set_name in self._pool.sets
        return replica_id in self._queue and has_records

    def _choose_one(
        self,
        replica_id: ReplicaId,
        moment: DecisionTime,
        suspects: frozenset[int] | None,
        state: _QueuePass,
    ) -> PlacementChoice | None:
        replica = self._pool.replicas[replica_id]
        spec = self._pool.sets[replica_id.set_name].spec
        entry = self._queue[replica_id]
        kept = self._kept(replica, suspects or frozenset(), state)
        excluded = self._excluded(replica, suspects or frozenset()) | state.earmarked
        replicas_by_zone = self._replicas_by_zone(replica)
        ownership = {m.machine for m in replica.all_members()}
        candidates = [
            c._replace(free=c.free.plus(spec.resources)) if c.machine in ownership else c
            for c in state.candidates.values()
        ]
        placement = choose(spec, kept, candidates, replicas_by_zone, excluded)
        if placement is None and len(excluded) > len(state.earmarked):
            # better a machine that failed just now than none
            placement = choose(spec, kept, candidates, replicas_by_zone, state.earmarked)
        if placement is not None:
            entry.unplaced_since = None
            self._take(spec, placement, ownership, state)
            reason = "repaired" if replica.phase is ReplicaPhase.REPAIRING else "placed"
            return PlacementChoice(replica_id, reason, placement)
        if entry.unplaced_since is None:
            entry.unplaced_since = moment.now
        self._earmark(spec, replicas_by_zone, state)
        return self._preempt(replica, spec, entry, moment, replicas_by_zone, candidates)

    def _candidates(self, moment: DecisionTime) -> Iterator[Candidate]:
        for machine in self._pool.machines.values():
            candidate = self._candidate(machine, moment)
            if candidate is not None:
                yield candidate

    def _candidate(self, machine: PoolMachine, moment: DecisionTime) -> Candidate | None:
        view = self._agents.get(machine.id)
        if (
            view is None
            or not view.is_trusted
            or is_heartbeat_overdue(view, moment, self._settings)
        ):
            return None
        if (
            machine.draining
            or machine.leaving
            or view.notice_at is not None
            or self._pool.is_retiring(machine.id)
        ):
            return None
        free = self._pool.free(machine)
        for name in view.members:
            # a member that is not planned here takes room until its agent has stopped it
            replica_id = ReplicaId.parse(name)
            if replica_id is not None and replica_id not in machine.planned:
                free = free.minus(self._pool.member_resources(replica_id))
        score = self._failures.score(machine.id, moment.now)
        return Candidate(
            machine.id,
            machine.zone,
            view.session,
            free,
            machine.fetch_gb_per_s,
            view.images,
            score > self._settings.max_failure_score,
        )

    def _kept(
        self, replica: Replica, suspects: frozenset[int], state: _QueuePass
    ) -> dict[int, str]:
        """Survivors, by rank: members whose machines can be counted on."""
        if replica.phase not in PLACING_PHASES:
            return {}
        return {
            m.rank: m.machine
            for m in replica.all_members()
            if m.machine in state.candidates and not self._is_suspect(m, replica, suspects)
        }

    @staticmethod
    def _is_suspect(member: Member, replica: Replica, suspects: frozenset[int]) -> bool:
        """Whether the member's machine was at fault; one that was chosen since was not."""
        reserved = {m.rank: m.machine for m in replica.members()}
        is_new = reserved.get(member.rank) == member.machine
        return member.rank in suspects and not is_new

    def _excluded(self, replica: Replica, suspects: frozenset[int]) -> set[str]:
        return {m.machine for m in replica.all_members() if self._is_suspect(m, replica, suspects)}

    def _replicas_by_zone(self, replica: Replica) -> dict[str, int]:
        """How many other replicas of the set stand in each zone."""
        replicas_by_zone: dict[str, int] = {}
        for other in self._pool.replicas_of[replica.id.set_name].values():
            members = other.all_members()
            if other.id == replica.id or other.leaving or not members:
                continue
            machine = self._pool.machines.get(members[0].machine)
            if machine is not None:
                replicas_by_zone[machine.zone] = replicas_by_zone.get(machine.zone, 0) + 1
        return replicas_by_zone

    @staticmethod
    def _take(
        spec: ReplicaSetSpec, placement: ReplicaPlacement, ownership: set[str], state: _QueuePass
    ) -> None:
        """What the placement takes is no longer free in this pass. Where the replica stood before,
        its room is counted as its own already.
        """
        for _, machine, _ in placement.members:
            if machine not in ownership:
                candidate = state.candidates[machine]
                room = candidate.free.minus(spec.resources)
                state.candidates[machine] = candidate._replace(free=room)

    def _earmark(
        self, spec: ReplicaSetSpec, replicas_by_zone: Mapping[str, int], state: _QueuePass
    ) -> None:
        """Keeps free machines for the first that waits in vain, and for it alone; none if the pool
        as it stands could not hold it even empty.
        """
        if state.earmarked:
            return
        try:
            check_placeable(spec, (self._pool.machines[m] for m in state.candidates))
        except UnplaceableError:
            return
        most = int(self._settings.idle_ratio * len(state.candidates))
        state.earmarked |= earmark(spec, state.candidates.values(), replicas_by_zone, most)

    # -- preemption ------------------------------------------------------------------

    def _preempt(
        self,
        replica: Replica,
        spec: ReplicaSetSpec,
        entry: _QueueEntry,
        moment: DecisionTime,
        replicas_by_zone: Mapping[str, int],
        candidates: list[Candidate],
    ) -> PlacementChoice | None:
        """Lesser replicas that are to leave for one that has waited in vain."""
        since = entry.unplaced_since
        if since is None or moment.now - since < self._settings.preempt_after_s:
            return None
        victims = self._victims(spec)
        if any(v.leaving for v in self._lesser(spec)):
            # some are on their way out already
            return None
        chosen = choose_victims(spec, candidates, victims, replicas_by_zone)
        ids = tuple(i for v in chosen if (i := ReplicaId.parse(v.name)) is not None)
        return PlacementChoice(replica.id, "", None, ids) if ids else None

    def _lesser(self, spec: ReplicaSetSpec) -> Iterator[Replica]:
        for name, replicas in self._pool.replicas_of.items():
            stored = self._pool.sets.get(name)
            if stored is None or stored.spec.priority >= spec.priority:
                continue
            yield from (r for r in replicas.values() if r.all_members())

    def _victims(self, spec: ReplicaSetSpec) -> list[Victim]:
        victims: list[Victim] = []
        budget: dict[str, int] = {}
        for replica in self._lesser(spec):
            stored = self._pool.sets[replica.id.set_name]
            name = stored.spec.name
            if replica.phase is ReplicaPhase.READY:
                ready = sum(
                    r.phase is ReplicaPhase.READY for r in self._pool.replicas_of[name].values()
                )
                left = budget.setdefault(name, ready - stored.spec.min_ready)
                if left <= 0:
                    continue
                budget[name] = left - 1
            victims.append(
                Victim(
                    str(replica.id),
                    stored.spec.priority,
                    replica.since,
                    tuple(m.machine for m in replica.all_members()),
                    stored.spec.resources,
                )
            )
        return victims
