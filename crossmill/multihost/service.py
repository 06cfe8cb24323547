"""Creates the components that manage multi-machine replicas and serves their HTTP address.

`app` creates one `MultihostService` for a controller that is started with a multihost file, and
runs its loops. The service routes requests to the components, which own all other state.
"""

from collections.abc import Awaitable, Callable

from ..net.server import Request, Response, Server
from ..wire.checks import MalformedMessageError
from ..wire.multihost import (
    HEARTBEAT_PATH,
    error_body,
    heartbeat_response_body,
    parse_agent_heartbeat,
    redirect_body,
)
from .agents import Agents
from .api import OPERATOR_PATHS, OperatorApi
from .context import ControllerContext, PoolContext
from .coordinator import Coordinator
from .heartbeats import AgentHeartbeatHandler
from .pool import PoolState
from .pool_ownership import PoolOwnership
from .registration import Registration
from .serving import ServingLeases
from .settings import MultihostSettings
from .writes import PoolWriter


class MultihostService:
    """The service for multi-machine replicas on one controller.

    Args:
        settings: The settings of multi-machine replicas.
        controller: The controller's objects that the service uses.
        process: The unique name of this process in the proofs of liveness that agents return.
    """

    def __init__(
        self, settings: MultihostSettings, controller: ControllerContext, process: str
    ) -> None:
        self.settings = settings
        self.pool = PoolState(controller.cluster.mirror)
        self.agents = Agents(process)
        ownership = PoolOwnership(controller, settings.pool_shard)
        self.writer = PoolWriter(ownership, controller.writer, self.pool)
        context = PoolContext(
            settings=settings,
            clock=controller.clock,
            ownership=ownership,
            pool=self.pool,
            agents=self.agents,
            leases=ServingLeases(settings),
            writer=self.writer,
        )
        registration = Registration(
            controller.clock, controller.cluster, ownership, controller.writer, self.pool
        )
        self.heartbeats = AgentHeartbeatHandler(context, registration)
        self.coordinator = Coordinator(context, registration)
        self._api = OperatorApi(controller, context)
        self.server = Server(
            settings.listen,
            self.handle,
            controller.settings.server_sockets,
            controller.settings.idle_connection_timeout_s,
            controller.settings.max_cached_request_heads,
        )

    @property
    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """The loops that run until the controller stops."""
        return (self.server.run, self.coordinator.run)

    async def handle(self, request: Request) -> Response:
        """Handle a request of an agent or an operator and return the response."""
        if request.path == HEARTBEAT_PATH:
            if request.method != "POST":
                return Response(405, error_body("wrong method"))
            return await self._heartbeat(request)
        if request.path.startswith(OPERATOR_PATHS):
            return await self._api.handle(request)
        return Response(404, error_body("no such path"))

    async def _heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = parse_agent_heartbeat(request.body)
        except MalformedMessageError as exc:
            return Response(400, error_body(str(exc)))
        reply = self.heartbeats.handle(heartbeat)
        await self.coordinator.wake_if_changed()
        if reply.response is not None:
            return Response(200, heartbeat_response_body(reply.response))
        return Response(reply.status, redirect_body(reply.owner))
