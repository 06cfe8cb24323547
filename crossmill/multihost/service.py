"""Wires the parts of multi-machine replicas together, and serves their address."""

from collections.abc import Awaitable, Callable

from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..net.clock import Clock
from ..net.server import Request, Response, Server
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import Writer
from ..wire.checks import MalformedMessageError
from ..wire.multihost import (
    HEARTBEAT_PATH,
    answer_body,
    error_body,
    parse_agent_heartbeat,
    redirect_body,
)
from .agents import Agents
from .api import OPERATOR_PATHS, OperatorApi
from .coordinator import Coordinator
from .heartbeats import AgentHeartbeatHandler
from .pool import PoolState
from .registration import Registration
from .serving import ServingLeases
from .settings import MultihostSettings
from .writes import PoolWriter


class MultihostService:
    """Multi-machine replicas on one controller."""

    def __init__(
        self,
        settings: Settings,
        multihost: MultihostSettings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        watcher: StateWatcher,
        writer: Writer,
        process: str,
    ) -> None:
        shard = multihost.pool_shard
        self.settings = multihost
        self.pool = PoolState(cluster.mirror)
        self.agents = Agents(process)
        self.leases = ServingLeases(multihost)
        self.writes = PoolWriter(membership, writer, self.pool, shard)

        def owner_of(index: int) -> str | None:
            known = cluster.shard_owners.get(index)
            return None if known is None or known.owner == settings.label else known.owner

        self.heartbeats = AgentHeartbeatHandler(
            multihost, clock, membership, self.pool, self.agents, self.leases, owner_of
        )
        registration = Registration(
            clock, cluster, membership, writer, self.pool, self.heartbeats, shard
        )
        self.coordinator = Coordinator(
            multihost,
            clock,
            membership,
            self.pool,
            self.agents,
            self.leases,
            self.writes,
            registration,
        )
        self.api = OperatorApi(
            settings,
            multihost,
            clock,
            cluster,
            membership,
            watcher,
            writer,
            self.pool,
            self.writes,
        )
        self.server = Server(
            multihost.listen,
            self.handle,
            settings.server_sockets,
            settings.idle_connection_timeout_s,
            settings.max_cached_request_heads,
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """What runs as long as the controller does."""
        return (self.server.run, self.coordinator.run)

    async def handle(self, request: Request) -> Response:
        """The answer to a request of an agent or an operator."""
        if request.path == HEARTBEAT_PATH:
            if request.method != "POST":
                return Response(405, error_body("wrong method"))
            return await self._heartbeat(request)
        if request.path.startswith(OPERATOR_PATHS):
            return await self.api.handle(request)
        return Response(404, error_body("no such path"))

    async def _heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = parse_agent_heartbeat(request.body)
        except MalformedMessageError as exc:
            return Response(400, error_body(str(exc)))
        reply = self.heartbeats.handle(heartbeat)
        await self.coordinator.wake_if_changed()
        if reply.answer is not None:
            return Response(200, answer_body(reply.answer))
        return Response(reply.status, redirect_body(reply.owner))
