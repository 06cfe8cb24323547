"""An HTTP/1.1 server: h11 over curio, with bounded sockets and bodies."""

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio
import curio.socket as socket
import h11

from ..settings import Endpoint
from .request_heads import RequestHeads, encoded_response_head, response_head

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024
RECEIVE_BYTES = 64 * 1024
# how many times within its time limit a connection's idleness is looked at
IDLE_CHECKS = 4
END = h11.EndOfMessage()


class Request(NamedTuple):
    """A request whose body has been read."""

    method: str
    path: str
    body: bytes
    too_large: bool = False


class Response(NamedTuple):
    """An answer with a JSON body."""

    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


class _Connection:
    """A client's connection; `reading_since` counts the idle checks up to when the server began
    to wait for the request that it now reads, None while it answers one.
    """

    __slots__ = ("h11", "reading_since", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.h11 = h11.Connection(h11.SERVER)
        self.reading_since: int | None = None


class Server:
    """Serves one address. Connections on which no request was completed for `idle_timeout_s`
    are closed,
    by one task for all: a timer for each request costs more than many a request itself.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        handler: Handler,
        max_sockets: int,
        idle_timeout_s: float,
        kept_heads: int,
    ) -> None:
        self._endpoint = endpoint
        self._handler = handler
        self._max = max_sockets
        self._idle_s = idle_timeout_s
        self._idle_checks = 0
        self._connections: dict[_Connection, curio.Task] = {}
        self._heads = RequestHeads(kept_heads)
        self.open = 0

    async def run(self) -> None:
        """Accepts and serves connections until the controller ends."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
        sock.bind((self._endpoint.host, self._endpoint.port))
        # after a takeover every worker may come at once
        sock.listen(self._max)
        await curio.spawn(self._close_idle, daemon=True)
        async with sock:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as exc:
                    # no free socket: go on serving those that are open
                    log.info("accepting connections failed error=%s", exc)
                    await curio.sleep(0.05)
                    continue
                if self.open >= self._max:
                    await client.close()
                    continue
                self.open += 1
                await curio.spawn(self._serve, client, daemon=True)

    async def _close_idle(self) -> None:
        """Ends the connections whose request has not come in time: one that sends a byte now and
        then must not hold its socket.
        """
        while True:
            await curio.sleep(self._idle_s / IDLE_CHECKS)
            self._idle_checks += 1
            latest = self._idle_checks - IDLE_CHECKS
            for connection, task in list(self._connections.items()):
                since = connection.reading_since
                if since is not None and since < latest:
                    await task.cancel(blocking=False)

    async def _serve(self, client: socket.socket) -> None:
        connection = _Connection(client)
        self._connections[connection] = await curio.current_task()
        try:
            async with client:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._converse(connection)
        except (OSError, h11.RemoteProtocolError) as exc:
            log.debug("connection ended error=%r", exc)
        finally:
            del self._connections[connection]
            self.open -= 1

    async def _converse(self, connection: _Connection) -> None:
        # nothing of a request is held while the next is waited for: with it would stay, for each
        # connection, the memory that it was received into
        while await self._serve_one(connection):
            pass

    async def _serve_one(self, connection: _Connection) -> bool:
        """Answers the next request; false if the connection does not go on. The h11 connection is
        not told of requests whose heads it has read before: it stands between two requests
        before and after them.
        """
        conn, client = connection.h11, connection.sock
        connection.reading_since = self._idle_checks
        # the next request may have come with the last one; h11 holds it then
        data = None if conn.trailing_data[0] else await client.recv(RECEIVE_BYTES)
        known = self._heads.match(data) if data is not None else None
        if known is None:
            return await self._exchange(connection, data)
        connection.reading_since = None
        head, body = known
        response = await self._answer(Request(head.method, head.path, body))
        sent = encoded_response_head(response.status, len(response.body), response.retry_after_s)
        await client.sendall(sent + response.body)
        return True

    async def _exchange(self, connection: _Connection, data: bytes | None) -> bool:
        """Reads a request by h11, and answers it; false if the connection does not go on."""
        conn = connection.h11
        if data is not None:
            conn.receive_data(data)
        whole = await self._read(connection)
        connection.reading_since = None
        if whole is None:
            return False
        head, body, received_more = whole
        too_large = len(body) > MAX_BODY
        path = head.target.decode("latin-1").partition("?")[0]
        request = Request(
            head.method.decode("latin-1"), path, b"" if too_large else body, too_large
        )
        response = await self._answer(request)
        sent = response_head(response.status, len(response.body), response.retry_after_s, too_large)
        out = conn.send(sent) or b""
        out += conn.send(h11.Data(data=response.body)) or b""
        out += conn.send(END) or b""
        await connection.sock.sendall(out)
        if too_large or conn.our_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        if data is not None and not received_more:
            self._heads.note(data, head)
        return True

    async def _answer(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("handler failed path=%s", request.path)
            return Response(500, b'{"error":"internal"}')

    async def _read(self, connection: _Connection) -> tuple[h11.Request, bytes, bool] | None:
        """A request's head and body (of one that is too large, what came of it), and whether it
        took more data than had come; None when the client has ended the connection.
        """
        conn, client = connection.h11, connection.sock
        head: h11.Request | None = None
        body = b""
        received_more = False
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                received_more = True
                conn.receive_data(await client.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
                if conn.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await client.sendall(conn.send(go_on) or b"")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY and head is not None:
                    return head, body, received_more
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return head, body, received_more
            else:
                return None
