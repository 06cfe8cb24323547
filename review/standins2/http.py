"""A small HTTP/1.1 server and client over asyncio, with JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

OK, CREATED, CONFLICT, GONE, MISDIRECTED, UNAVAILABLE = 200, 201, 409, 410, 421, 503
BAD_REQUEST, NOT_FOUND, UNPROCESSABLE = 400, 404, 422
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}

# called with method, path and body; returns status and JSON value, or None to close unanswered
Handler = Callable[[str, str, bytes], Awaitable[tuple[int, Any] | None]]


# tasks that run beside the others; without a reference they could be collected
_background: set[asyncio.Task[Any]] = set()


def spawn(work: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine beside the others, until it ends or the process does."""
    task = asyncio.ensure_future(work)
    _background.add(task)
    task.add_done_callback(_background.discard)


class NoAnswerError(Exception):
    """No response came; `was_sent` tells whether the request may have been executed."""

    def __init__(self, message: str, was_sent: bool) -> None:
        super().__init__(message)
        self.was_sent = was_sent


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of the next message."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length") or 0))
    return first, headers, body


class Server:
    """Serves a handler on a free loopback port, or on the given one."""

    def __init__(self, handler: Handler, port: int = 0) -> None:
        self._handler = handler
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> "Server":
        """Begin to listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 24, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, _, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await self._handler(method, path, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = (
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Client:
    """A client with one persistent connection."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None

    async def request(
        self, method: str, path: str, value: Any = None, timeout_s: float = 5.0
    ) -> tuple[int, Any, dict[str, str]]:
        """Send a request; raise NoAnswerError if no response comes in time."""
        sent = [False]
        try:
            return await asyncio.wait_for(self._request(method, path, value, sent), timeout_s)
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError) as exc:
            self.close()
            raise NoAnswerError(repr(exc), sent[0]) from exc
        except asyncio.CancelledError:
            self.close()
            raise

    async def _request(
        self, method: str, path: str, value: Any, sent: list[bool]
    ) -> tuple[int, Any, dict[str, str]]:
        if self._stream is None or self._stream[0].at_eof():
            self.close()
            self._stream = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 24)
        reader, writer = self._stream
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        head = f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1:{self.port}\r\n"
        if method != "GET":
            head += f"content-length: {len(body)}\r\n"
        sent[0] = True
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        first, headers, data = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(data or b"null"), headers
