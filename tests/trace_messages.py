"""Recording of the messages that a simulated region's controllers send and receive, as bytes."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import orjson

from crossmill.cluster.model import PlannedAttempt
from crossmill.net.client import ConnectionFailedError, HttpClient, NoResponseError
from crossmill.net.server import Request, Response
from crossmill.workers.attempt_outcomes import StopReason

from .fake_clock import FakeClock
from .fake_cloud import CloudService
from .multihost_region import MultihostRegion
from .recovery_region import RecoveryRegion
from .simulated_links import PeerLink
from .simulated_region import Region
from .stepped_controller import SteppedController

SENT, RECEIVED = "sent", "received"
NO_RESPONSE, NOT_REACHED = b"no answer", b"not reached"


@dataclass
class Message:
    """A request that a controller sent or received, and its response.

    Attributes:
        time: The time of the request, in seconds of virtual time.
        direction: `SENT` or `RECEIVED`, as seen by the controller.
        counterpart: The other party, such as "state", "peer:node-1" or "heartbeat:n-0".
        method: The HTTP method.
        path: The path with its query.
        body: The request's body.
        status: The response's status; 0 if there is no response.
        response: The response's body; without a response, `NO_RESPONSE`, `NOT_REACHED` or empty.
        responded_at: The time of the response or of the failure; None before either.
    """

    time: float
    direction: str
    counterpart: str
    method: str
    path: str
    body: bytes
    status: int = 0
    response: bytes = b""
    responded_at: float | None = None


class Recorder(Protocol):
    """Receives all messages, in the order of their requests."""

    def add(self, controller: str, message: Message) -> None:
        """Add a message; its response is filled in later."""


class MessageLog:
    """Records the controllers' messages with the times of the region's clock."""

    def __init__(self, recorder: Recorder, clock: FakeClock, counts: Counter[str]) -> None:
        self.recorder, self.clock, self.counts = recorder, clock, counts

    def record_request(
        self, controller: str, direction: str, counterpart: str, request: Request
    ) -> Message:
        """Record a request that has no response yet."""
        method, path, body = request.method, request.path, request.body
        now = self.clock.now()
        message = Message(now, direction, counterpart, method, path, body)
        self.recorder.add(controller, message)
        self.counts[f"messages {direction}, {counterpart.partition(':')[0]}"] += 1
        return message

    def record_response(self, message: Message, status: int, response: bytes) -> None:
        """Add the response to a recorded message."""
        message.status, message.response = status, response
        message.responded_at = self.clock.now()


class RecordedLink:
    """A controller's HTTP link that records each request."""

    def __init__(
        self, link: HttpClient, log: MessageLog, controller: str, counterpart: str
    ) -> None:
        self._link, self._log = link, log
        self._controller, self._counterpart = controller, counterpart

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Send a request and record it with its response."""
        request = Request(method, path, body)
        message = self._log.record_request(self._controller, SENT, self._counterpart, request)
        try:
            status, response = await self._link.request(method, path, body, timeout_s)
        except ConnectionFailedError:
            self._log.record_response(message, 0, NOT_REACHED)
            raise
        except NoResponseError:
            self._log.record_response(message, 0, NO_RESPONSE)
            raise
        self._log.record_response(message, status, response)
        return status, response


class RecordedCloud(CloudService):
    """The region's cloud with one controller's requests recorded."""

    def __init__(self, cloud: CloudService, log: MessageLog, controller: str) -> None:
        self._link = RecordedLink(cloud, log, controller, "cloud")

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Send a request and record it with its response."""
        return await self._link.request(method, path, body, timeout_s)


class RecordedRegion(Region):
    """A simulated region that records the messages of its controllers."""

    log: MessageLog

    def attach_log(self, log: MessageLog) -> None:
        """Record messages from now on; call it before any controller starts."""
        self.log = log
        self._shared_cloud = self.cloud
        links = {
            label: RecordedLink(link, log, label, "state")
            for label, link in self.state_links.items()
        }
        self.state_links = links  # type: ignore[assignment]

    async def start(self, label: str) -> SteppedController:
        """Start a controller and record its requests to the cloud."""
        # `start` passes the region's cloud to the controller before any other task can run
        self.cloud = RecordedCloud(self._shared_cloud, self.log, label)
        return await super().start(label)

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Set up recording of the new controller's links and handlers before any loop runs."""
        self.cloud = self._shared_cloud
        loops = super().extra_loops(node)
        label = node.settings.label
        self._record_direct_commands(node, label)
        self._count_stop_requests(node)
        for peer_handler in (node.lease_extensions, node.partition_protocol):
            self._record_handler(peer_handler, "peer", label)
        self._record_async_handler(node.jobs, "user", label)
        return loops

    def _record_direct_commands(self, node: SteppedController, label: str) -> None:
        connect = node.command_sender.connect

        def recorded(endpoint: Any) -> HttpClient:
            return RecordedLink(connect(endpoint), self.log, label, f"worker:{endpoint.port}")

        node.command_sender.connect = recorded

    def _count_stop_requests(self, node: SteppedController) -> None:
        request_stop = node.heartbeats.request_stop

        def counted(attempt: PlannedAttempt, reason: StopReason) -> None:
            self.log.counts[f"stops intended, {reason.name.lower()}"] += 1
            request_stop(attempt, reason)

        node.heartbeats.request_stop = counted  # type: ignore[method-assign]

    def _record_handler(self, handler: Any, counterpart: str, label: str) -> None:
        handle: Callable[[Request], Response] = handler.handle

        def recorded(request: Request) -> Response:
            message = self.log.record_request(label, RECEIVED, counterpart, request)
            response = handle(request)
            self.log.record_response(message, response.status, response.body)
            return response

        handler.handle = recorded

    def _record_async_handler(self, handler: Any, counterpart: str, label: str) -> None:
        handle: Callable[[Request], Awaitable[Response]] = handler.handle

        async def recorded(request: Request) -> Response:
            message = self.log.record_request(label, RECEIVED, counterpart, request)
            response = await handle(request)
            self.log.record_response(message, response.status, response.body)
            return response

        handler.handle = recorded

    def deliver_worker_heartbeat(self, body: bytes, label: str) -> tuple[int, bytes]:
        """Deliver a heartbeat and record it with its response."""
        machine = orjson.loads(body)["stone"]
        request = Request("POST", "heartbeat", body)
        message = self.log.record_request(label, RECEIVED, f"heartbeat:{machine}", request)
        status, response = super().deliver_worker_heartbeat(body, label)
        self.log.record_response(message, status, response)
        return status, response


class RecordedMultihostRegion(RecordedRegion, MultihostRegion):
    """A region with multi-machine replicas that records the messages of its controllers."""

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Set up recording of the new controller's links and handlers before any loop runs."""
        loops = super().extra_loops(node)
        label = node.settings.label
        self._record_async_handler(self.services[label], "multihost", label)
        return loops


class RecordedRecoveryRegion(RecordedRegion, RecoveryRegion):
    """A region with recovery enabled that records the messages of its controllers."""

    def extra_loops(self, node: SteppedController) -> list[Callable[[], Awaitable[None]]]:
        """Set up recording of the new controller's links and handlers before any loop runs."""
        loops = super().extra_loops(node)
        label = node.settings.label
        self._record_async_handler(self.apis[label], "recovery operator", label)
        return loops


class RecordedPeerLink(PeerLink):
    """The link from one controller to another; records each request as sent by the source."""

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Send a request and record it with its response."""
        region = self._region
        assert isinstance(region, RecordedRegion)
        peer_link = PeerLink(region, self._source, self._label)
        link = RecordedLink(peer_link, region.log, self._source, f"peer:{self._label}")
        return await link.request(method, path, body, timeout_s)
