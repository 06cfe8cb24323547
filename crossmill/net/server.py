"""An HTTP/1.1 server on h11 and Curio, with limits on connections and body sizes.

The application runs one server for users and workers and another for other controllers. Each has
one handler for all requests. The server owns the connections and the cache of request heads.
"""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio
import h11
from curio import socket

from ..settings import Endpoint
from . import HttpStatus
from .request_heads import RequestHeadCache, encoded_response_head, request_path, response_head

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
RECEIVE_BYTES = 64 * 1024
# number of checks for idle connections per idle timeout
IDLE_CHECKS_PER_TIMEOUT = 4
ACCEPT_RETRY_S = 0.05
END_OF_MESSAGE = h11.EndOfMessage()


class Request(NamedTuple):
    """A request whose body has been read.

    Attributes:
        method: The method.
        path: The path without the query.
        body: The body; empty if it is too large.
        is_too_large: Whether the body is longer than `MAX_BODY_BYTES`.
    """

    method: str
    path: str
    body: bytes
    is_too_large: bool = False


class Response(NamedTuple):
    """A response with a JSON body.

    Attributes:
        status: The HTTP status.
        body: The JSON body.
        retry_after_s: The value of the Retry-After header; None to omit the header.
    """

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


class _Connection:
    """A client's connection.

    Attributes:
        sock: The socket.
        h11: The HTTP protocol state of the connection.
        reading_since_check: The number of the idle check after which the server began to wait for
            the request that it is reading; None while it is handling a request.
    """

    __slots__ = ("h11", "reading_since_check", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.h11 = h11.Connection(h11.SERVER)
        self.reading_since_check: int | None = None


class _ReceivedRequest(NamedTuple):
    """A request that h11 has parsed.

    Attributes:
        head: The head.
        body: The body; if it is too large, only the part received so far.
        has_received_more: Whether data was received in addition to the first block.
    """

    head: h11.Request
    body: bytes
    has_received_more: bool


class Server:
    """Serves HTTP requests on one address.

    Connections on which no request was completed for `idle_timeout_s` are closed. One task does
    this for all connections, as a timer for each request costs more than many requests themselves.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        handler: Handler,
        max_sockets: int,
        idle_timeout_s: float,
        max_cached_heads: int,
    ) -> None:
        self._endpoint = endpoint
        self._handler = handler
        self._max_sockets = max_sockets
        self._idle_timeout_s = idle_timeout_s
        self._idle_check_count = 0
        self._connections: dict[_Connection, curio.Task] = {}
        self._heads = RequestHeadCache(max_cached_heads)
        self._open_sockets = 0

    @property
    def open_sockets(self) -> int:
        """The number of open connections."""
        return self._open_sockets

    async def run(self) -> None:
        """Accept and serve connections until the controller ends."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
        sock.bind((self._endpoint.host, self._endpoint.port))
        # after a failover every worker may connect at the same time
        sock.listen(self._max_sockets)
        await curio.spawn(self._close_idle, daemon=True)
        async with sock:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as exc:
                    # no free socket: continue to serve the open connections
                    log.info("accepting connections failed error=%s", exc)
                    await curio.sleep(ACCEPT_RETRY_S)
                    continue
                if self._open_sockets >= self._max_sockets:
                    await client.close()
                    continue
                self._open_sockets += 1
                await curio.spawn(self._serve, client, daemon=True)

    async def _close_idle(self) -> None:
        """Close connections whose request was not completed within the timeout.

        The timeout applies to the whole request, so that a client that sends single bytes slowly
        can't keep its socket.
        """
        while True:
            await curio.sleep(self._idle_timeout_s / IDLE_CHECKS_PER_TIMEOUT)
            self._idle_check_count += 1
            latest = self._idle_check_count - IDLE_CHECKS_PER_TIMEOUT
            for connection, task in list(self._connections.items()):
                since = connection.reading_since_check
                if since is not None and since < latest:
                    await task.cancel(blocking=False)

    async def _serve(self, client: socket.socket) -> None:
        connection = _Connection(client)
        self._connections[connection] = await curio.current_task()
        try:
            async with client:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._serve_requests(connection)
        except (OSError, h11.RemoteProtocolError) as exc:
            log.debug("connection ended error=%r", exc)
        finally:
            del self._connections[connection]
            self._open_sockets -= 1

    async def _serve_requests(self, connection: _Connection) -> None:
        # No local variable may refer to a request while the connection waits for the next one.
        # Otherwise each connection would keep the memory that its last request was received into.
        while await self._serve_one(connection):
            pass

    async def _serve_one(self, connection: _Connection) -> bool:
        """Respond to the next request; return whether the connection stays open.

        Requests with cached heads bypass h11, whose connection state is between two requests both
        before and after them.
        """
        client = connection.sock
        connection.reading_since_check = self._idle_check_count
        # h11 may already hold the next request, if it was received together with the last one
        has_data = bool(connection.h11.trailing_data[0])
        data = None if has_data else await client.recv(RECEIVE_BYTES)
        head = self._heads.find(data) if data is not None else None
        if data is None or head is None:
            return await self._serve_by_h11(connection, data)
        connection.reading_since_check = None
        response = await self._handle(Request(head.method, head.path, head.body_in(data)))
        sent = encoded_response_head(response.status, len(response.body), response.retry_after_s)
        await client.sendall(sent + response.body)
        return True

    async def _serve_by_h11(self, connection: _Connection, data: bytes | None) -> bool:
        """Parse a request with h11 and respond; return whether the connection stays open."""
        protocol = connection.h11
        if data is not None:
            protocol.receive_data(data)
        received = await self._read(connection)
        connection.reading_since_check = None
        if received is None:
            return False
        is_too_large = len(received.body) > MAX_BODY_BYTES
        response = await self._handle(
            Request(
                received.head.method.decode("latin-1"),
                request_path(received.head),
                b"" if is_too_large else received.body,
                is_too_large,
            )
        )
        await self._send(connection, response, is_closing=is_too_large)
        if is_too_large or protocol.our_state is not h11.DONE:
            return False
        protocol.start_next_cycle()
        if data is not None and not received.has_received_more:
            self._heads.add(data, received.head)
        return True

    async def _send(self, connection: _Connection, response: Response, is_closing: bool) -> None:
        """Send a response with h11."""
        protocol = connection.h11
        head = response_head(
            response.status, len(response.body), response.retry_after_s, is_closing
        )
        encoded = protocol.send(head) or b""
        encoded += protocol.send(h11.Data(data=response.body)) or b""
        encoded += protocol.send(END_OF_MESSAGE) or b""
        await connection.sock.sendall(encoded)

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("handler failed path=%s", request.path)
            return Response(HttpStatus.INTERNAL_SERVER_ERROR, b'{"error":"internal"}')

    async def _read(self, connection: _Connection) -> _ReceivedRequest | None:
        """Receive and parse a request with h11; return None if the client closed the connection."""
        protocol, client = connection.h11, connection.sock
        head: h11.Request | None = None
        body = b""
        has_received_more = False
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                has_received_more = True
                protocol.receive_data(await client.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
                if protocol.they_are_waiting_for_100_continue:
                    await self._send_continue(connection)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES and head is not None:
                    return _ReceivedRequest(head, body, has_received_more)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _ReceivedRequest(head, body, has_received_more)
            else:
                return None

    async def _send_continue(self, connection: _Connection) -> None:
        """Send a 100 Continue response, which permits the client to send the body."""
        interim = h11.InformationalResponse(status_code=100, headers=[])
        await connection.sock.sendall(connection.h11.send(interim) or b"")
