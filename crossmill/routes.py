"""Routes HTTP requests to the components of a controller.

A controller listens on two addresses: one for workers and users, one for the other controllers and,
if recovery is enabled, for operators' requests about it.
"""

from collections.abc import Awaitable, Callable

from .cluster.lease_extensions import LeaseExtensions
from .cluster.partition_detector import RegionContact
from .cluster.partition_protocol import PartitionProtocol
from .jobs.api import JobApi
from .jobs.availability import UserAvailability
from .net.server import Handler, Request, Response
from .wire import peers, users, workers
from .wire.checks import MalformedMessageError, load_object
from .workers.heartbeat_handler import HeartbeatHandler

OK = 200
HEALTH_PATH = "/healthz"
# prefix of operators' requests about recoveries; their wire module is imported only if recovery is
# enabled
RECOVERY_PATH = "/recovery"


class PublicRoutes:
    """Routes requests from workers and users."""

    def __init__(
        self,
        heartbeats: HeartbeatHandler,
        jobs: JobApi,
        availability: UserAvailability,
        region_contact: RegionContact,
        on_outcome: Callable[[], Awaitable[None]],
    ) -> None:
        self._heartbeats = heartbeats
        self._jobs = jobs
        self._availability = availability
        self._region_contact = region_contact
        # called when a heartbeat reports that an attempt has ended
        self._on_outcome = on_outcome

    async def handle(self, request: Request) -> Response:
        """Return the response to a request on the public address."""
        if request.path == workers.HEARTBEAT_PATH:
            if request.method != "POST":
                return Response(405)
            return await self._heartbeat(request)
        if request.path == users.JOBS_PATH or request.path.startswith(users.JOBS_PATH + "/"):
            self._region_contact.record_request()
            return await self._jobs.handle(request)
        if request.path == HEALTH_PATH:
            self._region_contact.record_request()
            return Response(200 if self._availability.may_receive_users() else 503)
        return Response(404, users.error_body("no such path"))

    async def _heartbeat(self, request: Request) -> Response:
        try:
            body = load_object(request.body)
            heartbeat = workers.parse_heartbeat(body, self._heartbeats.read_task_status)
        except MalformedMessageError as exc:
            return Response(400, users.error_body(str(exc)))
        outcomes_before = len(self._heartbeats.outcomes)
        response = self._heartbeats.handle(heartbeat)
        if len(self._heartbeats.outcomes) > outcomes_before:
            await self._on_outcome()
        if response.status == OK:
            return Response(
                200, workers.heartbeat_response_body(response.token, list(response.commands))
            )
        return Response(response.status, workers.redirect_body(response.redirect))


class PeerRoutes:
    """Routes requests from other controllers, and from operators about recoveries."""

    def __init__(
        self,
        lease_extensions: LeaseExtensions,
        partition_protocol: PartitionProtocol,
        recovery_handler: Handler | None,
    ) -> None:
        self._lease_extensions = lease_extensions
        self._partition_protocol = partition_protocol
        self._recovery_handler = recovery_handler

    async def handle(self, request: Request) -> Response:
        """Return the response to a request on the address for peers."""
        if request.path in (peers.ATTESTATION_PATH, peers.CANCELLATION_PATH):
            return self._partition_protocol.handle(request)
        if self._recovery_handler is not None and request.path.startswith(RECOVERY_PATH):
            return await self._recovery_handler(request)
        return self._lease_extensions.handle(request)
