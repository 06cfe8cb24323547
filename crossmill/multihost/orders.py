"""Plans orders to agents by comparing their reports with the durable plan.

The heartbeat handler calls `OrderPlanner`, which is stateless. Orders are idempotent and are sent
only in responses to heartbeats; an agent drops a response that arrives late.
"""

from typing import NamedTuple

from ..wire.multihost import (
    AgentHeartbeat,
    MemberReport,
    MemberState,
    Order,
    OrderKind,
    PeerAddress,
)
from .agents import AgentView
from .context import PoolContext
from .model import FRONT_RANK, Member, Replica, ReplicaSetSpec
from .phases import RUNNING_PHASES, ReplicaPhase
from .serving import all_alive_at

# the length of a lease that isn't granted
NO_LEASE_S = 0.0


class _PlannedMember(NamedTuple):
    """A member that is planned to run on a machine."""

    replica: Replica
    member: Member

    def matches(self, report: MemberReport, session: int) -> bool:
        """Return whether a report from the agent's session describes exactly this member."""
        return (
            report.generation == self.replica.generation
            and report.rank == self.member.rank
            and session == self.member.session
        )

    def needs_start(self, report: MemberReport | None, session: int) -> bool:
        """Return whether the agent needs an order to start the member."""
        if self.replica.phase is not ReplicaPhase.STARTING or self.member.session != session:
            return False
        if report is None or report.generation != self.replica.generation:
            return True
        return report.state is MemberState.REFUSED


class OrderPlanner:
    """Plans the orders in the response to one agent's heartbeat."""

    def __init__(self, context: PoolContext) -> None:
        self._settings = context.settings
        self._pool = context.pool
        self._agents = context.agents
        self._leases = context.leases

    def member_orders(self, heartbeat: AgentHeartbeat, view: AgentView) -> list[Order]:
        """Return the orders that stop and start members so that the machine matches the plan."""
        planned = self._planned(heartbeat.machine)
        orders = [
            Order(OrderKind.STOP, report.replica, report.rank, report.generation)
            for report in heartbeat.members
            if _needs_stop(report, planned.get(report.replica), view.session)
        ]
        for name, entry in planned.items():
            if entry.needs_start(view.members.get(name), view.session):
                order = self._start(entry.replica, entry.member)
                if order is not None:
                    orders.append(order)
        return orders

    def _planned(self, machine_id: str) -> dict[str, _PlannedMember]:
        """Return the members that are planned to run on the machine, by replica name."""
        planned: dict[str, _PlannedMember] = {}
        for replica_id, member in self._pool.machines[machine_id].planned.items():
            replica = self._pool.replicas.get(replica_id)
            if replica is not None and replica.phase in RUNNING_PHASES:
                planned[str(replica_id)] = _PlannedMember(replica, member)
        return planned

    def _start(self, replica: Replica, member: Member) -> Order | None:
        """Return the order to start a member; None while a member's address is unknown."""
        replica_set = self._pool.sets.get(replica.id.set_name)
        peers = self._peer_addresses(replica)
        if replica_set is None or peers is None:
            return None
        return self._start_order(replica_set.spec, replica, member, peers)

    def _peer_addresses(self, replica: Replica) -> tuple[PeerAddress, ...] | None:
        """Return the addresses of a replica's members; None while one of them is unknown."""
        peers: list[PeerAddress] = []
        for member in replica.members():
            view = self._agents.get(member.machine)
            if view is None or not view.address:
                return None
            peers.append(PeerAddress(member.rank, view.address))
        return tuple(peers)

    def _start_order(
        self,
        spec: ReplicaSetSpec,
        replica: Replica,
        member: Member,
        peers: tuple[PeerAddress, ...],
    ) -> Order:
        resources = spec.resources
        return Order(
            OrderKind.START,
            str(replica.id),
            member.rank,
            replica.generation,
            image=spec.image,
            image_gb=spec.image_gb,
            resources=(resources.cpus, resources.gpus, resources.memory_gb),
            peers=peers,
            lease_s=self._settings.serving_lease_s,
        )

    def serving_orders(self, view: AgentView, now: float) -> list[Order]:
        """Grant leases to the machine's front members and return the orders that contain them."""
        orders: list[Order] = []
        for replica_id, member in self._pool.machines[view.machine].planned.items():
            replica = self._pool.replicas.get(replica_id)
            if member.rank != FRONT_RANK or replica is None:
                continue
            if replica.phase is not ReplicaPhase.READY:
                continue
            lease_s = self._grant(replica, member, now)
            if lease_s > NO_LEASE_S:
                order = Order(
                    OrderKind.SERVE,
                    str(replica_id),
                    FRONT_RANK,
                    replica.generation,
                    lease_s=lease_s,
                )
                orders.append(order)
        return orders

    def _grant(self, replica: Replica, front: Member, now: float) -> float:
        """Return the length of the front member's new serving lease, in seconds.

        No lease is granted unless every member runs the current generation.
        """
        members = replica.members()
        views = [self._agents.get(m.machine) for m in members]
        for member, view in zip(members, views, strict=True):
            if view is None or not _runs(view, replica, member):
                return NO_LEASE_S
        alive_at = all_alive_at(members, views)
        if alive_at is None:
            return NO_LEASE_S
        return self._leases.grant(replica, front, alive_at, now)


def _needs_stop(report: MemberReport, planned: _PlannedMember | None, session: int) -> bool:
    """Return whether the agent needs an order to stop a member that it reports.

    A planned member of an earlier generation needs none: starting the current generation replaces
    it.
    """
    if planned is None:
        return True
    is_older = report.generation < planned.replica.generation
    return not is_older and not planned.matches(report, session)


def _runs(view: AgentView, replica: Replica, member: Member) -> bool:
    """Return whether the machine runs the member in the current generation, weights loaded."""
    report = view.members.get(str(replica.id))
    return (
        report is not None
        and report.state is MemberState.LOADED
        and report.generation == replica.generation
        and report.rank == member.rank
    )
