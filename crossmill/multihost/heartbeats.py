"""Answers agents' heartbeats for the controller that owns the pool.

`AgentHeartbeatHandler` is called by the service for each heartbeat. It applies the heartbeat to the
agents' views, and answers with orders and a proof of liveness; it has no state of its own.
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
# the machine has left the pool: its agent ends
STATUS_GONE = 410
# another controller owns the pool
STATUS_NOT_OWNER = 421
# the agent is to ask again
STATUS_UNAVAILABLE = 503


class HeartbeatReply(NamedTuple):
    """How a heartbeat is answered.

    Attributes:
        status: The HTTP status.
        response: The response to an agent of the pool; None with any other status than 200.
        owner: The label of the controller that owns the pool, where this one doesn't.
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
        """How many reports contradicted the plan, since the start of the program."""
        return self._reports.rejected_reports

    def handle(self, heartbeat: AgentHeartbeat) -> HeartbeatReply:
        """Apply a heartbeat and return the reply."""
        authority = self._ownership.heartbeat_authority()
        if authority is None:
            return HeartbeatReply(STATUS_NOT_OWNER, owner=self._ownership.other_owner())
        ownership, may_order = authority
        if heartbeat.token > ownership.token:
            # the agent would drop an answer with a lower fencing token
            self._ownership.request_higher_token()
            return HeartbeatReply(STATUS_UNAVAILABLE)
        now = self._clock.now()
        machine = self._pool.machines.get(heartbeat.machine)
        if machine is None:
            self._registration.request(heartbeat)
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

        Without full authority the agent is kept alive, but no member is started or stopped.
        """
        known = self._agents.get(heartbeat.machine)
        had_notice = known is not None and known.reclaim_at is not None
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
        """Return the answer, and note the starts that it orders."""
        sent_at = self._clock.now()
        for order in orders:
            if order.op is OrderKind.START:
                self._agents.record_start_order(machine_id, order.replica, sent_at)
        proof = LivenessProof(self._agents.process, sent_at)
        return AgentHeartbeatResponse(ownership.token, proof, tuple(orders))
