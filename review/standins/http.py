"""A small HTTP/1.1 server and client with JSON bodies, on asyncio."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

MAX_LINE = 1 << 20


class Request(NamedTuple):
    """A request that a stand-in received; `body` is None if it is empty or not JSON."""

    method: str
    path: str
    query: dict[str, str]
    body: Any


class Reply(NamedTuple):
    """The reply to a request."""

    status: int
    body: Any = None


Handler = Callable[[Request], Awaitable[Reply]]


class Server:
    """Serves one handler on a loopback address; `is_hung` leaves requests without a reply."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on the address; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=MAX_LINE)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        # a connection that ends with the case is cancelled
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (request := await _read_request(reader)) is not None:
                reply = await self._handler(request)
                body = json.dumps(reply.body if reply.body is not None else {}).encode()
                head = f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}\r\n"
                head += f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    length = int(head[1].get("content-length", "0"))
    raw = await reader.readexactly(length) if length else b""
    url = urlsplit(target)
    query = {name: values[0] for name, values in parse_qs(url.query).items()}
    try:
        body = json.loads(raw) if raw else None
    except ValueError:
        body = None
    return Request(method, url.path, query, body)


class NoReplyError(Exception):
    """No reply came: the connection failed, or the time was over."""


class Answer(NamedTuple):
    """An answer of a controller."""

    status: int
    body: Any
    headers: dict[str, str]


class Connection:
    """A client's connection to one address, opened again when it was lost."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def call(
        self, method: str, path: str, body: Any = None, timeout_s: float = 5.0
    ) -> Answer:
        """Send a request and return the answer; raise NoReplyError if there is none in time."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.close()
            raise NoReplyError(type(exc).__name__) from exc
        except asyncio.CancelledError:
            self.close()
            raise

    async def _call(self, method: str, path: str, body: Any) -> Answer:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._host, self._port, limit=MAX_LINE)
        reader, writer = self._streams
        data = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nhost: {self._host}:{self._port}\r\n"
        head += f"content-length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        answer = await _read_head(reader)
        if answer is None:
            raise ConnectionResetError
        status = int(answer[0].split(" ")[1])
        length = int(answer[1].get("content-length", "0"))
        raw = await reader.readexactly(length) if length else b""
        if answer[1].get("connection", "").lower() == "close":
            self.close()
        return Answer(status, json.loads(raw) if raw else None, answer[1])
