"""An HTTP/1.1 client for one endpoint, with a pool of persistent connections.

All requests to the state service, the cloud, workers and other controllers use it. A client owns
the connections to its endpoint.
"""

from typing import Protocol

import curio
import h11
from curio import socket

from ..settings import Endpoint

RECEIVE_BYTES = 256 * 1024
DEFAULT_MAX_SOCKETS = 8
DEFAULT_TIMEOUT_S = 2.0
END_OF_MESSAGE = h11.EndOfMessage()


class HttpClientError(Exception):
    """A request received no response."""


class ConnectionFailedError(HttpClientError):
    """No connection was established, so the request was not executed."""


class NoResponseError(HttpClientError):
    """No response was received: the request may have been executed, or may still be."""


class HttpClient(Protocol):
    """The interface of an HTTP client, which tests implement with simulated services."""

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        Raises ConnectionFailedError or NoResponseError if no response arrives within the timeout.
        """
        ...


class _Connection:
    """An open connection with its HTTP protocol state."""

    __slots__ = ("h11", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.h11 = h11.Connection(h11.CLIENT)

    def is_reusable(self) -> bool:
        """Return whether another request may be sent after the complete response."""
        return self.h11.our_state is h11.DONE and self.h11.their_state is h11.DONE


class _Call:
    """A request, and whether any of it may have reached the server."""

    __slots__ = ("body", "is_sent", "method", "path")

    def __init__(self, method: str, path: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.body = body
        self.is_sent = False


class Client:
    """Sends requests to one endpoint over a bounded number of connections."""

    def __init__(self, endpoint: Endpoint, max_sockets: int = DEFAULT_MAX_SOCKETS) -> None:
        self._endpoint = endpoint
        self._host = f"{endpoint.host}:{endpoint.port}"
        self._idle: list[_Connection] = []
        self._slots = curio.Semaphore(max_sockets)

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> tuple[int, bytes]:
        """Send a request and return the status and body of the response.

        Raises ConnectionFailedError or NoResponseError if no response arrives within the timeout,
        which includes the time until a connection is free.
        """
        call = _Call(method, path, body)
        try:
            async with curio.timeout_after(timeout_s):
                return await self._perform(call)
        except curio.TaskTimeout as exc:
            raise self._error(call, "timed out") from exc
        except (OSError, h11.ProtocolError) as exc:
            raise self._error(call, repr(exc)) from exc

    def _error(self, call: _Call, cause: str) -> HttpClientError:
        message = f"{self._host} {call.method} {call.path}: {cause}"
        return NoResponseError(message) if call.is_sent else ConnectionFailedError(message)

    async def _perform(self, call: _Call) -> tuple[int, bytes]:
        async with self._slots:
            connection = await self._connect()
            is_kept = False
            try:
                encoded = self._encode(connection, call)
                call.is_sent = True
                await connection.sock.sendall(encoded)
                status, data = await self._receive(connection)
                if connection.is_reusable():
                    connection.h11.start_next_cycle()
                    is_kept = True
                return status, data
            finally:
                if is_kept:
                    self._idle.append(connection)
                else:
                    await connection.sock.close()

    def _encode(self, connection: _Connection, call: _Call) -> bytes:
        headers = [("host", self._host)]
        if call.body or call.method != "GET":
            headers.append(("content-length", str(len(call.body))))
        head = h11.Request(method=call.method, target=call.path, headers=headers)
        encoded = connection.h11.send(head) or b""
        if call.body:
            encoded += connection.h11.send(h11.Data(data=call.body)) or b""
        return encoded + (connection.h11.send(END_OF_MESSAGE) or b"")

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

    async def _receive(self, connection: _Connection) -> tuple[int, bytes]:
        """Return the status and body of the next response."""
        status = 0
        parts: list[bytes] = []
        connection.h11.receive_data(await connection.sock.recv(RECEIVE_BYTES))
        while True:
            event = connection.h11.next_event()
            if event is h11.NEED_DATA:
                connection.h11.receive_data(await connection.sock.recv(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("connection closed before the response was complete")

    async def close(self) -> None:
        """Close the idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.sock.close()
