"""Collects the inputs of a decision about a replica from the records and the agents' views.

The replica reconciler calls `ReplicaObserver`. Its only state is the rendezvous of the members of
starting replicas; everything else is looked up.
"""

from collections.abc import Mapping

from .agents import Agents, AgentView
from .lifecycle import ReplicaObservation, start_limit_s
from .member_status import DecisionTime, MemberStatus, member_status
from .model import FRONT_RANK, Member, Replica, ReplicaSet
from .phases import ReplicaPhase
from .pool import PoolState
from .rendezvous import Rendezvous
from .serving import ServingLeases
from .settings import MultihostSettings

# factor on the agent lease that covers the drift of the agent's clock and responses that were still
# in transit to it
AGENT_LEASE_MARGIN = 1.1
# assumed while no member's machine is known
DEFAULT_FETCH_GB_PER_S = 1.0


class ReplicaObserver:
    """Collects observations of replicas for the pool's owner."""

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
        """Drop the observed rendezvous when the ownership of the pool ends."""
        self._rendezvous.clear()

    def observe(
        self, replica: Replica, replica_set: ReplicaSet, time: DecisionTime, may_stop: bool
    ) -> ReplicaObservation:
        """Return the observation of a replica.

        Args:
            replica: The replica.
            replica_set: The set that it belongs to.
            time: The time of the decision.
            may_stop: Whether the set's disruption budget allows the replica to be stopped.
        """
        members = replica.members()
        statuses = {m.rank: self._status(m, replica, time) for m in members}
        return ReplicaObservation(
            statuses=statuses,
            unreachable=self._unreachable(replica, members, statuses),
            is_rendezvous_complete=self._is_rendezvous_complete(replica, members, statuses, time),
            fenced_at=self._leases.fenced_at(replica, time.owned_since, self._grantee(replica)),
            start_limit_s=start_limit_s(
                replica_set.spec, self._slowest_fetch_gb_per_s(members), self._settings
            ),
            may_stop=may_stop,
            is_all_stopped=self._is_all_stopped(replica, time),
        )

    def _unreachable(
        self, replica: Replica, members: list[Member], statuses: Mapping[int, MemberStatus]
    ) -> frozenset[int]:
        """Return the current members' ranks that the front member reports as unreachable."""
        front = next((m for m in members if m.rank == FRONT_RANK), None)
        view = self._agents.get(front.machine) if front is not None else None
        if view is None or statuses.get(FRONT_RANK) is not MemberStatus.LOADED:
            return frozenset()
        return frozenset(view.members[str(replica.id)].unreachable) & statuses.keys()

    def _grantee(self, replica: Replica) -> AgentView | None:
        """Return the view of the machine to which the replica's last serving lease was granted."""
        machine = self._leases.granted_machine(replica.id)
        return self._agents.get(machine) if machine is not None else None

    def _slowest_fetch_gb_per_s(self, members: list[Member]) -> float:
        machines = (self._pool.machines.get(m.machine) for m in members)
        rates = (m.fetch_gb_per_s for m in machines if m is not None)
        return min(rates, default=DEFAULT_FETCH_GB_PER_S)

    def _is_rendezvous_complete(
        self,
        replica: Replica,
        members: list[Member],
        statuses: Mapping[int, MemberStatus],
        time: DecisionTime,
    ) -> bool:
        is_starting = replica.phase is ReplicaPhase.STARTING
        if not is_starting or any(s is not MemberStatus.LOADED for s in statuses.values()):
            self._rendezvous.forget(replica.id)
            return False
        views = [self._agents.get(m.machine) for m in members]
        return self._rendezvous.is_complete(replica, members, views, time.now)

    def _status(self, member: Member, replica: Replica, time: DecisionTime) -> MemberStatus:
        if member.machine not in self._pool.machines:
            return MemberStatus.LOST
        view = self._agents.get(member.machine)
        return member_status(member, replica, view, time, self._settings)

    def _is_all_stopped(self, replica: Replica, time: DecisionTime) -> bool:
        """Return whether no machine can still run a member of the replica."""
        machines = (m.machine for m in replica.all_members() if m.machine in self._pool.machines)
        return all(self._has_stopped(machine, replica, time) for machine in machines)

    def _has_stopped(self, machine: str, replica: Replica, time: DecisionTime) -> bool:
        """Return whether the agent runs no member of the replica or its lease must have expired."""
        view = self._agents.get(machine)
        last_contact_at = time.owned_since
        if view is not None and view.is_verified:
            if view.runs_no_member_of(str(replica.id)):
                return True
            last_contact_at = max(last_contact_at, view.last_heartbeat_at)
        lease_s = self._settings.agent_lease_s * AGENT_LEASE_MARGIN
        return time.now - last_contact_at > lease_s
