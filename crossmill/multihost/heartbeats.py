"""Answers agents' heartbeats: the orders follow from comparing them with the durable plan.

Orders need no memory and can be repeated. They go out only in answers, which an agent drops when
they come late.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from ..cluster.membership import Membership
from ..net.clock import Clock
from ..wire.multihost import (
    AgentHeartbeat,
    AgentHeartbeatResponse,
    LivenessProof,
    MemberReport,
    MemberState,
    Order,
    OrderKind,
    PeerAddress,
)
from .agents import Agents, AgentView, Freshness
from .model import Member, Replica, ReplicaId
from .phases import RUNNING_PHASES, ReplicaPhase
from .pool import PoolState
from .serving import ServingLeases, all_alive_at
from .settings import MultihostSettings

log = logging.getLogger(__name__)

FRONT_RANK = 0


class HeartbeatReply(NamedTuple):
    """How a heartbeat is answered: with orders, or with a status and the pool's owner."""

    status: int
    answer: AgentHeartbeatResponse | None = None
    owner: str | None = None


class AgentHeartbeatHandler:
    """Speaks to the agents for the controller that owns the pool."""

    def __init__(
        self,
        settings: MultihostSettings,
        clock: Clock,
        membership: Membership,
        pool: PoolState,
        agents: Agents,
        leases: ServingLeases,
        owner_of: Callable[[int], str | None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._membership = membership
        self._pool = pool
        self._agents = agents
        self._leases = leases
        self._owner_of = owner_of
        # machines whose agents ask to join the pool
        self.joining: dict[str, AgentHeartbeat] = {}
        # reports that contradict the plan, since the start
        self.rejected = 0

    def handle(self, heartbeat: AgentHeartbeat) -> HeartbeatReply:
        """The answer to a heartbeat."""
        shard = self._settings.pool_shard
        standing = self._membership.heartbeat_authority(shard)
        if standing is None:
            return HeartbeatReply(421, owner=self._owner_of(shard))
        ownership, may_order = standing
        if heartbeat.token > ownership.token:
            # the agent would drop an answer of ours
            self._membership.request_higher_token(shard)
            return HeartbeatReply(503)
        now = self._clock.now()
        if heartbeat.machine not in self._pool.machines:
            self.joining[heartbeat.machine] = heartbeat
            self._pool.note_agent_change(heartbeat.machine, ())
            return HeartbeatReply(503)
        known = self._agents.get(heartbeat.machine)
        had_notice = known is not None and known.notice_at is not None
        if self._pool.machines[heartbeat.machine].has_left:
            return HeartbeatReply(410)
        freshness = self._agents.note(heartbeat, ownership.token, now)
        orders: list[Order] = []
        if freshness is Freshness.NEW:
            view = self._agents.get(heartbeat.machine)
            assert view is not None
            self._compare(heartbeat, view)
            if (view.notice_at is not None) != had_notice:
                self._pool.note_agent_change(
                    heartbeat.machine, self._pool.machines[heartbeat.machine].planned
                )
            if may_order:
                orders += self._orders(heartbeat, view)
            orders += self._grants(view, now)
        sent_at = self._clock.now()
        for order in orders:
            if order.op is OrderKind.START:
                self._agents.note_start(heartbeat.machine, order.replica, sent_at)
        proof = LivenessProof(self._agents.process, sent_at)
        return HeartbeatReply(200, AgentHeartbeatResponse(ownership.token, proof, tuple(orders)))

    # -- what is reported ------------------------------------------------------------

    def _compare(self, heartbeat: AgentHeartbeat, view: AgentView) -> None:
        """Takes over what the agent says of its members; what can't be true is left out."""
        members: dict[str, MemberReport] = {}
        view.rejected = 0
        for report in heartbeat.members:
            problem = self._problem(heartbeat.machine, report, members)
            if problem:
                view.rejected += 1
                self.rejected += 1
                log.info(
                    "member report rejected replica=%s rank=%d generation=%d machine=%s reason=%s",
                    report.replica,
                    report.rank,
                    report.generation,
                    heartbeat.machine,
                    problem,
                )
                # it takes room all the same, and is to be stopped
                report = report._replace(state=MemberState.REFUSED, generation=0)
            members[report.replica] = report
        news = {
            replica_id
            for name in members.keys() | view.members.keys()
            if members.get(name) != view.members.get(name)
            and (replica_id := ReplicaId.parse(name)) is not None
        }
        view.members = members
        if news:
            self._pool.note_agent_change(heartbeat.machine, news)

    def _problem(self, machine_id: str, report: MemberReport, seen: dict[str, MemberReport]) -> str:
        if report.replica in seen:
            return "reported twice"
        replica_id = ReplicaId.parse(report.replica)
        if replica_id is None:
            return "no replica's name"
        replica = self._pool.replicas.get(replica_id)
        if replica is None:
            return "unknown replica"
        if report.generation > replica.generation:
            return "unknown generation"
        if report.generation < replica.generation:
            # one that is to be stopped or replaced; nothing else is concluded from it
            return ""
        member = self._pool.machines[machine_id].planned.get(replica_id)
        if member is None:
            return "not planned on this machine"
        return "" if member.rank == report.rank else "wrong rank"

    # -- what is ordered -------------------------------------------------------------

    def _wanted(self, machine_id: str) -> dict[str, tuple[Replica, Member]]:
        """The members that are to run on the machine, in its agent's present session."""
        wanted: dict[str, tuple[Replica, Member]] = {}
        for replica_id, member in self._pool.machines[machine_id].planned.items():
            replica = self._pool.replicas.get(replica_id)
            if replica is not None and replica.phase in RUNNING_PHASES:
                wanted[str(replica_id)] = (replica, member)
        return wanted

    def _orders(self, heartbeat: AgentHeartbeat, view: AgentView) -> list[Order]:
        wanted = self._wanted(heartbeat.machine)
        orders: list[Order] = []
        for report in heartbeat.members:
            entry = wanted.get(report.replica)
            is_right = entry is not None and (
                (entry[0].generation, entry[1].rank, entry[1].session)
                == (report.generation, report.rank, view.session)
            )
            is_older = entry is not None and report.generation < entry[0].generation
            if not is_right and not is_older:
                orders.append(Order(OrderKind.STOP, report.replica, report.rank, report.generation))
        for name, (replica, member) in wanted.items():
            reported = view.members.get(name)
            runs = reported is not None and reported.generation == replica.generation
            refused = reported is not None and reported.state is MemberState.REFUSED
            is_starting = replica.phase is ReplicaPhase.STARTING and member.session == view.session
            if is_starting and (not runs or refused):
                order = self._start(replica, member)
                if order is not None:
                    orders.append(order)
        return orders

    def _start(self, replica: Replica, member: Member) -> Order | None:
        """The order to start a member, with the addresses of all; None while one is not known."""
        stored = self._pool.sets.get(replica.id.set_name)
        if stored is None:
            return None
        peers: list[PeerAddress] = []
        for other in replica.members():
            view = self._agents.get(other.machine)
            if view is None or not view.address:
                return None
            peers.append(PeerAddress(other.rank, view.address))
        spec = stored.spec
        return Order(
            OrderKind.START,
            str(replica.id),
            member.rank,
            replica.generation,
            image=spec.image,
            image_gb=spec.image_gb,
            resources=(spec.resources.cpus, spec.resources.gpus, spec.resources.memory_gb),
            peers=tuple(peers),
            lease_s=self._settings.serving_lease_s,
        )

    # -- who may serve ---------------------------------------------------------------

    def _grants(self, view: AgentView, now: float) -> list[Order]:
        orders: list[Order] = []
        for replica_id, member in self._pool.machines[view.machine].planned.items():
            replica = self._pool.replicas.get(replica_id)
            if (
                member.rank != FRONT_RANK
                or replica is None
                or replica.phase is not ReplicaPhase.READY
            ):
                continue
            lease_s = self._grant(replica, member, now)
            if lease_s > 0:
                orders.append(
                    Order(
                        OrderKind.SERVE,
                        str(replica_id),
                        FRONT_RANK,
                        replica.generation,
                        lease_s=lease_s,
                    )
                )
        return orders

    def _grant(self, replica: Replica, front: Member, now: float) -> float:
        """How long the front member may serve; 0 unless every member runs this generation."""
        members = replica.members()
        views = [self._agents.get(m.machine) for m in members]
        for member, view in zip(members, views, strict=True):
            report = None if view is None else view.members.get(str(replica.id))
            if report is None or report.state is not MemberState.LOADED:
                return 0.0
            if (report.generation, report.rank) != (replica.generation, member.rank):
                return 0.0
        alive_at = all_alive_at(members, views)
        if alive_at is None:
            return 0.0
        return self._leases.grant(replica, front, alive_at, now)
