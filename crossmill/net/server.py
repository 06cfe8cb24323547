"""An HTTP/1.1 server: h11 over curio, with bounded sockets and bodies."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio
import curio.socket as socket
import h11

from ..settings import Endpoint

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    body: bytes
    too_large: bool = False


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    body: bytes = b"{}"
    retry_after_s: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


class Server:
    def __init__(
        self, endpoint: Endpoint, handler: Handler, max_sockets: int, idle_s: float
    ) -> None:
        self._endpoint = endpoint
        self._handler = handler
        self._max = max_sockets
        self._idle_s = idle_s
        self.open = 0

    async def run(self) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, True)
        sock.bind((self._endpoint.host, self._endpoint.port))
        # after a takeover every worker may come at once
        sock.listen(self._max)
        async with sock:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as exc:
                    # no free socket: go on serving those that are open
                    log.info("accept failed error=%s", exc)
                    await curio.sleep(0.05)
                    continue
                if self.open >= self._max:
                    await client.close()
                    continue
                self.open += 1
                await curio.spawn(self._serve, client, daemon=True)

    async def _serve(self, client: socket.socket) -> None:
        try:
            async with client:
                client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                await self._converse(client)
        except (OSError, h11.RemoteProtocolError, curio.TaskTimeout) as exc:
            log.debug("connection ended error=%r", exc)
        finally:
            self.open -= 1

    async def _converse(self, client: socket.socket) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            # for the whole of it: one that comes a byte at a time must not hold its socket
            request = await curio.timeout_after(self._idle_s, self._read, conn, client)
            if request is None:
                return
            try:
                response = await self._handler(request)
            except curio.CancelledError:
                raise
            except Exception:
                log.exception("handler failed path=%s", request.path)
                response = Response(500, b'{"error":"internal"}')
            headers = [
                ("content-type", "application/json"),
                ("content-length", str(len(response.body))),
            ]
            if response.retry_after_s is not None:
                headers.append(("retry-after", str(response.retry_after_s)))
            if request.too_large:
                headers.append(("connection", "close"))
            out = conn.send(h11.Response(status_code=response.status, headers=headers)) or b""
            out += conn.send(h11.Data(data=response.body)) or b""
            out += conn.send(h11.EndOfMessage()) or b""
            await client.sendall(out)
            if request.too_large or conn.our_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read(self, conn: h11.Connection, client: socket.socket) -> Request | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await client.recv(65536))
            elif isinstance(event, h11.Request):
                head = event
                if conn.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    await client.sendall(conn.send(go_on) or b"")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY:
                    return self._request(head, b"", True)
            elif isinstance(event, h11.EndOfMessage):
                return self._request(head, body, False)
            else:
                return None

    @staticmethod
    def _request(head: h11.Request | None, body: bytes, too_large: bool) -> Request | None:
        if head is None:
            return None
        path = head.target.decode("latin-1").partition("?")[0]
        return Request(head.method.decode("latin-1"), path, body, too_large)
