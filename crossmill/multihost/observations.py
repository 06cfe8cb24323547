"""Gathers what a decision about a replica rests on, from the records and the agents' views."""

from collections.abc import Mapping

from .agents import Agents
from .lifecycle import DecisionTime, MemberStatus, ReplicaObservation, member_status, start_limit_s
from .model import Member, Replica, ReplicaSet
from .phases import ReplicaPhase
from .pool import PoolState
from .rendezvous import Rendezvous
from .serving import ServingLeases
from .settings import MultihostSettings

# an agent counts its lease by its own clock, and answers to it may have been on their way
AGENT_LEASE_MARGIN = 1.1


class ReplicaObserver:
    """Knows which replicas' members have all confirmed; all else is looked up."""

    def __init__(
        self,
        settings: MultihostSettings,
        pool: PoolState,
        agents: Agents,
        leases: ServingLeases,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._agents = agents
        self._leases = leases
        self._rendezvous = Rendezvous()

    def clear(self) -> None:
        """The ownership has ended."""
        self._rendezvous.clear()

    def of(
        self, replica: Replica, stored: ReplicaSet, moment: DecisionTime, may_stop: bool
    ) -> ReplicaObservation:
        """The situation of a replica; `may_stop` is what its set's disruption budget says."""
        members = replica.members()
        statuses = {m.rank: self._status(m, replica, moment) for m in members}
        front = next((m for m in members if m.rank == 0), None)
        front_view = self._agents.get(front.machine) if front is not None else None
        unreachable: frozenset[int] = frozenset()
        if front_view is not None and statuses.get(0) is MemberStatus.LOADED:
            unreachable = frozenset(front_view.members[str(replica.id)].unreachable)
        granted = self._leases.granted_machine(replica.id)
        granted_view = self._agents.get(granted) if granted is not None else None
        slowest = min(
            (
                self._pool.machines[m.machine].fetch_gb_per_s
                for m in members
                if m.machine in self._pool.machines
            ),
            default=1.0,
        )
        return ReplicaObservation(
            statuses,
            unreachable & statuses.keys(),
            self._have_met(replica, members, statuses, moment),
            self._leases.fenced_at(replica, moment.owned_since, granted_view),
            start_limit_s(stored.spec, slowest, self._settings),
            may_stop,
            self._all_gone(replica, moment),
        )

    def _have_met(
        self,
        replica: Replica,
        members: list[Member],
        statuses: Mapping[int, MemberStatus],
        moment: DecisionTime,
    ) -> bool:
        is_starting = replica.phase is ReplicaPhase.STARTING
        if not is_starting or any(s is not MemberStatus.LOADED for s in statuses.values()):
            self._rendezvous.forget(replica.id)
            return False
        views = [self._agents.get(m.machine) for m in members]
        return self._rendezvous.is_rendezvous_complete(replica, members, views, moment.now)

    def _status(self, member: Member, replica: Replica, moment: DecisionTime) -> MemberStatus:
        if member.machine not in self._pool.machines:
            return MemberStatus.LOST
        view = self._agents.get(member.machine)
        return member_status(member, replica, view, moment, self._settings)

    def _all_gone(self, replica: Replica, moment: DecisionTime) -> bool:
        """Whether no agent can still run a member: it says so, or must have stopped it."""
        for member in replica.all_members():
            if member.machine not in self._pool.machines:
                continue
            view = self._agents.get(member.machine)
            last = moment.owned_since
            if view is not None and view.is_trusted:
                if view.runs_no_member_of(str(replica.id)):
                    continue
                last = max(last, view.last_heartbeat_at)
            if moment.now - last <= self._settings.agent_lease_s * AGENT_LEASE_MARGIN:
                return False
        return True
