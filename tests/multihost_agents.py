"""Simulated agents of the multihost protocol, one per machine, under virtual time.

Each agent has its own monotonic clock, which drifts.
"""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio

from crossmill.multihost.heartbeats import STATUS_GONE, STATUS_NOT_OWNER, STATUS_OK
from crossmill.net.server import Request
from crossmill.wire.multihost import (
    HEARTBEAT_PATH,
    AgentHeartbeat,
    AgentHeartbeatResponse,
    AgentOffer,
    LivenessProof,
    MemberReport,
    MemberState,
    Order,
    OrderKind,
    PeerAddress,
    Ping,
    heartbeat_body,
    parse_heartbeat_response,
    parse_ping,
    parse_redirect,
    ping_body,
)

from .simulated_worker import MESSAGE_DELAY_S

if TYPE_CHECKING:
    from .multihost_region import MultihostRegion

# PROTOCOL: the maximum drift rate of a monotonic clock
CLOCK_DRIFT = 0.0005
# the shortest time between two heartbeats
MIN_HEARTBEAT_GAP_S = 0.2


@dataclass
class AgentMember:
    """A member on a machine. Times are read from the agent's clock."""

    rank: int
    generation: int
    resources: tuple[float, float, float]
    peers: tuple[PeerAddress, ...]
    peer_lease_s: float
    loaded_at: float
    is_refused: bool = False
    serve_until: float = 0.0
    # time at which the last ping that received a response was sent, by rank
    peer_alive_at: dict[int, float] = field(default_factory=dict)


class Agent:
    """A machine's agent.

    `counts_lease_from_receipt` injects a protocol violation: leases are counted from the receipt of
    a response instead of from the sending of its heartbeat.
    """

    def __init__(self, region: "MultihostRegion", machine: str, number: int, zone: str) -> None:
        self.region, self.machine, self.number, self.zone = region, machine, number, zone
        self.address = f"127.0.0.1:{30000 + number}"
        # the clocks of neighbouring machines drift in opposite directions
        self._rate = 1.0 + (CLOCK_DRIFT if number % 2 else -CLOCK_DRIFT)
        self.capacity = (32.0, 4.0, 256.0)
        self.fetch_gb_per_s = 1.0
        self.session, self.sequence, self.token = 1, 0, 0
        self.proof: LivenessProof | None = None
        self.members: dict[str, AgentMember] = {}
        self.highest_generations: dict[str, int] = {}
        self.images: dict[str, float] = {}
        self.lease_renewed_at = self.now()
        self.is_dead, self.has_left = False, False
        self.is_frozen = False
        self.notice_s: float | None = None
        # one-way cuts: heartbeats don't reach controllers, or responses don't reach the agent
        self.drops_heartbeats, self.drops_responses = False, False
        self.counts_lease_from_receipt = False
        self.sent_heartbeats: list[bytes] = []
        self.orders: list[tuple[float, Order]] = []
        # reports sent instead of those of the running members, unless empty
        self.forged_reports: list[MemberReport] = []
        self._target = 0

    def now(self) -> float:
        """Return this machine's monotonic time."""
        return self.region.clock.now() * self._rate

    # -- members ---------------------------------------------------------------------

    def state(self, member: AgentMember) -> MemberState:
        """Return the state that the agent reports of the member."""
        if member.is_refused:
            return MemberState.REFUSED
        return MemberState.LOADED if self.now() >= member.loaded_at else MemberState.LOADING

    def runs(self, replica: str, generation: int) -> bool:
        """Return whether a member of this generation runs and has loaded its weights."""
        member = self.members.get(replica)
        if self.is_dead or self.is_frozen or member is None or member.generation != generation:
            return False
        return self.state(member) is MemberState.LOADED

    def serves(self, replica: str) -> int | None:
        """Return the generation in which the front member can serve requests now; None if none."""
        member = self.members.get(replica)
        if self.is_dead or self.is_frozen or member is None or member.rank != 0:
            return None
        now = self.now()
        if self._is_lease_expired() or now >= member.serve_until:
            return None
        for peer in member.peers:
            alive_at = member.peer_alive_at.get(peer.rank)
            if peer.rank != 0 and (alive_at is None or now >= alive_at + member.peer_lease_s):
                return None
        return member.generation

    def _unreachable(self, member: AgentMember) -> tuple[int, ...]:
        if member.rank != 0 or self.state(member) is not MemberState.LOADED:
            return ()
        since = {p.rank: member.peer_alive_at.get(p.rank, member.loaded_at) for p in member.peers}
        # a peer may load longer than this member; only one that was reached before can be lost
        return tuple(
            rank
            for rank, at in since.items()
            if rank in member.peer_alive_at and self.now() - at > member.peer_lease_s
        )

    def restart(self) -> None:
        """Restart the agent's process, which keeps only its session number."""
        self.session += 1
        self.members.clear()
        self.highest_generations.clear()
        self.proof, self.lease_renewed_at = None, self.now()

    def _is_lease_expired(self) -> bool:
        return self.now() - self.lease_renewed_at > self.region.multihost.agent_lease_s

    def _end_session_if_lease_expired(self) -> None:
        if self._is_lease_expired():
            self.session += 1
            self.members.clear()
            self.proof, self.lease_renewed_at = None, self.now()

    def apply_response(self, response: AgentHeartbeatResponse, sent: float) -> None:
        """Carry out the orders of a heartbeat response."""
        for order in response.orders:
            self.orders.append((self.region.clock.now(), order))
            self.region.checker.check_order(order)
            match order.op:
                case OrderKind.START:
                    self._start(order)
                case OrderKind.STOP:
                    self._stop(order)
                case OrderKind.SERVE:
                    member = self.members.get(order.replica)
                    if member is not None and member.generation == order.generation:
                        lease_start = self.now() if self.counts_lease_from_receipt else sent
                        member.serve_until = max(member.serve_until, lease_start + order.lease_s)

    def _start(self, order: Order) -> None:
        running = self.members.get(order.replica)
        if order.generation < self.highest_generations.get(order.replica, 0):
            return
        if (
            running is not None
            and not running.is_refused
            and running.generation == order.generation
        ):
            return
        self.highest_generations[order.replica] = order.generation
        others = [m.resources for r, m in self.members.items() if r != order.replica]
        used = [sum(amounts) for amounts in zip(order.resources, *others, strict=True)]
        fits = all(u <= c for u, c in zip(used, self.capacity, strict=True))
        load_s = 0.0 if order.image in self.images else order.image_gb / self.fetch_gb_per_s
        self.images[order.image] = order.image_gb
        self.members[order.replica] = AgentMember(
            order.rank,
            order.generation,
            order.resources,
            order.peers,
            order.lease_s,
            self.now() + load_s,
            is_refused=not fits,
        )

    def _stop(self, order: Order) -> None:
        running = self.members.get(order.replica)
        if running is not None and running.generation <= order.generation:
            del self.members[order.replica]
            self.highest_generations[order.replica] = max(
                order.generation, self.highest_generations.get(order.replica, 0)
            )

    # -- messages --------------------------------------------------------------------

    def heartbeat(self) -> AgentHeartbeat:
        """Return the next heartbeat."""
        self.sequence += 1
        reports = [
            MemberReport(r, m.rank, m.generation, self.state(m), self._unreachable(m))
            for r, m in self.members.items()
        ]
        return AgentHeartbeat(
            self.machine,
            self.address,
            AgentOffer("g4", self.zone, False, *self.capacity, self.fetch_gb_per_s),
            self.session,
            self.sequence,
            self.token,
            self.proof,
            self.notice_s,
            tuple(self.images),
            tuple(self.forged_reports or reports),
        )

    async def run(self) -> None:
        """Send heartbeats, and pings for front members, until the machine dies or has left."""
        await curio.spawn(self._run_pings, daemon=True)
        labels = list(self.region.state_links)
        self._target = self.number % len(labels)
        while not self.is_dead and not self.has_left:
            if self.is_frozen:
                await curio.sleep(0.1)
                continue
            self._end_session_if_lease_expired()
            wait_s = await self._send_heartbeat(labels)
            await curio.sleep(wait_s)

    async def _send_heartbeat(self, labels: list[str]) -> float:
        """Send one heartbeat and return the time until the next one."""
        label = labels[self._target]
        body, sent, session = heartbeat_body(self.heartbeat()), self.now(), self.session
        self.sent_heartbeats = [*self.sent_heartbeats[-40:], body]
        await curio.sleep(MESSAGE_DELAY_S + self.region.delay_s(self))
        reply = await self.region.deliver_heartbeat(self, label, body)
        await curio.sleep(
            MESSAGE_DELAY_S + self.region.delay_s(self) + self.region.response_delay_s(self)
        )
        timeout_s = self.region.multihost.response_timeout_s
        while self.is_frozen and not self.is_dead:
            await curio.sleep(0.1)
        if reply is None or self.drops_responses or self.now() - sent > timeout_s:
            self._target = (self._target + 1) % len(labels)
            return max(0.2, timeout_s - (self.now() - sent))
        status, data = reply
        if status == STATUS_GONE:
            self.has_left = True
        if status != STATUS_OK:
            owner = parse_redirect(data) if status == STATUS_NOT_OWNER else None
            is_redirected = owner in labels and owner != label
            next_target = (self._target + 1) % len(labels)
            self._target = labels.index(str(owner)) if is_redirected else next_target
            return 0.2 if is_redirected else 0.5
        response = parse_heartbeat_response(data)
        if session == self.session and response.token >= self.token and not self.is_dead:
            self.token, self.proof, self.lease_renewed_at = response.token, response.proof, sent
            self.apply_response(response, sent)
        return self._next_heartbeat_s()

    def _next_heartbeat_s(self) -> float:
        """Return the time until the next heartbeat; it is early when a member finishes loading."""
        remaining_load_s = [m.loaded_at - self.now() for m in self.members.values()]
        early_heartbeats_s = [
            max(MIN_HEARTBEAT_GAP_S, s + 0.01) for s in remaining_load_s if s > -MIN_HEARTBEAT_GAP_S
        ]
        return min(
            self.region.multihost.heartbeat_interval_s,
            *early_heartbeats_s,
            self.region.multihost.heartbeat_interval_s,
        )

    async def _run_pings(self) -> None:
        while not self.is_dead:
            await curio.sleep(self.region.multihost.heartbeat_interval_s / 2)
            for name, member in list(self.members.items()):
                if member.rank == 0 and not self.is_frozen:
                    for peer in member.peers:
                        if peer.rank != 0:
                            await curio.spawn(self._ping, name, member, peer, daemon=True)

    async def _ping(self, name: str, member: AgentMember, peer: PeerAddress) -> None:
        sent = self.now()
        body = ping_body(Ping(name, peer.rank, member.generation))
        if await self.region.deliver_ping(self, peer.address, body) and not self.is_frozen:
            alive_at = self.now() if self.counts_lease_from_receipt else sent
            previous = member.peer_alive_at.get(peer.rank, alive_at)
            member.peer_alive_at[peer.rank] = max(previous, alive_at)

    def confirms_ping(self, body: bytes) -> bool:
        """Return whether this machine runs the pinged member in exactly that generation."""
        ping = parse_ping(body)
        member = self.members.get(ping.replica)
        is_requested_rank = member is not None and member.rank == ping.rank
        return is_requested_rank and self.runs(ping.replica, ping.generation)


def heartbeat_request(body: bytes) -> Request:
    """Return the request that carries a heartbeat."""
    return Request("POST", HEARTBEAT_PATH, body)
