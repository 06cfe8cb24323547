"""Handles agents' heartbeats on the controller that owns the pool.

The service calls `AgentHeartbeatHandler` for each heartbeat. The handler applies the heartbeat to
the agents' views and responds with orders and a proof of liveness. The handler is stateless.
"""

from typing import NamedTuple

from ..cluster.ownership import ShardOwnership
from ..wire.multihost import (
    AgentHeartbeat,
    AgentHeartbeatResponse,
    LivenessProof,
    Order,
    OrderKind,
)
from .agents import Freshness
from .context import PoolContext
from .member_reports import MemberReports
from .orders import OrderPlanner
from .registration import Registration

STATUS_OK = 200
# the machine has left the pool: its agent exits
STATUS_GONE = 410
# another controller owns the pool
STATUS_NOT_OWNER = 421
# the agent repeats its heartbeat later
STATUS_UNAVAILABLE = 503


class HeartbeatReply(NamedTuple):
    """The reply to a heartbeat.

    Attributes:
        status: The HTTP status.
        response: The response to an agent of the pool; None unless the status is 200.
        owner: The label of the pool's owner, if another controller is known to own the pool.
    """

    status: int
    response: AgentHeartbeatResponse | None = None
    owner: str | None = None


class AgentHeartbeatHandler:
    """Handles the heartbeats of the pool's agents."""

    def __init__(self, context: PoolContext, registration: Registration) -> None:
        self._clock = context.clock
        self._ownership = context.ownership
        self._pool = context.pool
        self._agents = context.agents
        self._registration = registration
        self._reports = MemberReports(context.pool)
        self._planner = OrderPlanner(context)

    @property
    def rejected_reports(self) -> int:
        """The number of reports about members rejected since the process started."""
        return self._reports.rejected_reports

    def handle(self, heartbeat: AgentHeartbeat) -> HeartbeatReply:
        """Apply a heartbeat and return the reply."""
        authority = self._ownership.heartbeat_authority()
        if authority is None:
            return HeartbeatReply(STATUS_NOT_OWNER, owner=self._ownership.other_owner())
        ownership, may_order = authority
        if heartbeat.token > ownership.token:
            # the agent would drop a response with a lower fencing token
            self._ownership.request_higher_token()
            return HeartbeatReply(STATUS_UNAVAILABLE)
        now = self._clock.now()
        machine = self._pool.machines.get(heartbeat.machine)
        if machine is None:
            self._registration.request_admission(heartbeat)
            self._pool.mark_machine_changed(heartbeat.machine)
            return HeartbeatReply(STATUS_UNAVAILABLE)
        if machine.has_left:
            return HeartbeatReply(STATUS_GONE)
        orders = self._apply(heartbeat, ownership, may_order, now)
        return HeartbeatReply(STATUS_OK, self._response(heartbeat.machine, ownership, orders))

    def _apply(
        self, heartbeat: AgentHeartbeat, ownership: ShardOwnership, may_order: bool, now: float
    ) -> list[Order]:
        """Apply a heartbeat to the view of its machine and return the orders to its agent.

        If `may_order` is false, the response extends leases, but no member is started or stopped.
        """
        earlier_view = self._agents.get(heartbeat.machine)
        had_notice = earlier_view is not None and earlier_view.reclaim_at is not None
        freshness = self._agents.apply_heartbeat(heartbeat, ownership.token, now)
        if freshness is not Freshness.NEW:
            return []
        view = self._agents.view(heartbeat.machine)
        self._reports.apply(heartbeat, view)
        if (view.reclaim_at is not None) != had_notice:
            self._pool.mark_machine_changed(heartbeat.machine)
            self._pool.mark_replicas_changed(self._pool.machines[heartbeat.machine].planned)
        orders = self._planner.member_orders(heartbeat, view) if may_order else []
        return orders + self._planner.serving_orders(view, now)

    def _response(
        self, machine_id: str, ownership: ShardOwnership, orders: list[Order]
    ) -> AgentHeartbeatResponse:
        """Return the response and record the start orders that it contains."""
        sent_at = self._clock.now()
        for order in orders:
            if order.op is OrderKind.START:
                self._agents.record_start_order(machine_id, order.replica, sent_at)
        proof = LivenessProof(self._agents.process, sent_at)
        return AgentHeartbeatResponse(ownership.token, proof, tuple(orders))
