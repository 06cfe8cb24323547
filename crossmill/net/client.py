"""A pooled keep-alive HTTP client for one endpoint."""

from typing import Protocol

import curio
import curio.socket as socket
import h11

from ..settings import Endpoint

RECEIVE_BYTES = 256 * 1024
END = h11.EndOfMessage()


class ConnectionFailedError(Exception):
    """No connection was made: the request was certainly not executed."""


class NoResponseError(Exception):
    """No answer came: the request might have been executed, or might still be."""


class Http(Protocol):
    """What calls a server; scripted peers stand in for it in tests."""

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """The status and body of the answer; raises ConnectionFailedError or NoResponseError."""
        ...


class _Connection:
    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.h11 = h11.Connection(h11.CLIENT)


class Client:
    """Keeps a bounded number of connections to one endpoint."""

    def __init__(self, endpoint: Endpoint, max_sockets: int = 8) -> None:
        self._endpoint = endpoint
        self._host = f"{endpoint.host}:{endpoint.port}"
        self._idle: list[_Connection] = []
        self._slots = curio.Semaphore(max_sockets)

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """The status and body of the answer; raises ConnectionFailedError or NoResponseError."""
        sent = [False]
        try:
            async with curio.timeout_after(timeout_s):
                return await self._request(method, path, body, sent)
        except curio.TaskTimeout as exc:
            error = NoResponseError if sent[0] else ConnectionFailedError
            raise error(f"{self._host} {method} {path}: timed out") from exc
        except (OSError, h11.ProtocolError) as exc:
            error = NoResponseError if sent[0] else ConnectionFailedError
            raise error(f"{self._host} {method} {path}: {exc!r}") from exc

    async def _request(
        self, method: str, path: str, body: bytes, sent: list[bool]
    ) -> tuple[int, bytes]:
        async with self._slots:
            conn = await self._connect()
            reusable = False
            try:
                headers = [("host", self._host)]
                if body or method != "GET":
                    headers.append(("content-length", str(len(body))))
                request = h11.Request(method=method, target=path, headers=headers)
                out = conn.h11.send(request) or b""
                if body:
                    out += conn.h11.send(h11.Data(data=body)) or b""
                out += conn.h11.send(END) or b""
                sent[0] = True
                await conn.sock.sendall(out)
                status, data = await self._read(conn)
                if conn.h11.our_state is h11.DONE and conn.h11.their_state is h11.DONE:
                    conn.h11.start_next_cycle()
                    reusable = True
                return status, data
            finally:
                if reusable:
                    self._idle.append(conn)
                else:
                    await conn.sock.close()

    async def _connect(self) -> _Connection:
        if self._idle:
            return self._idle.pop()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            await sock.connect((self._endpoint.host, self._endpoint.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            await sock.close()
            raise
        return _Connection(sock)

    async def _read(self, conn: _Connection) -> tuple[int, bytes]:
        status = 0
        parts: list[bytes] = []
        conn.h11.receive_data(await conn.sock.recv(RECEIVE_BYTES))
        while True:
            event = conn.h11.next_event()
            if event is h11.NEED_DATA:
                conn.h11.receive_data(await conn.sock.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("connection closed before the answer")

    async def close(self) -> None:
        """Closes the idle connections."""
        idle, self._idle = self._idle, []
        for conn in idle:
            await conn.sock.close()
