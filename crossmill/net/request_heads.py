"""A cache of parsed request heads, and encoded heads of responses.

Workers and users repeat themselves: on a kept connection nearly every request has a head that is
byte for byte one that came before. h11 parses each such head once; what it found is kept in a
table whose size the settings derive from the memory. Only complete requests on connections that go
on are served from it; everything else is left to h11. Each server owns one table.
"""

from functools import lru_cache
from typing import NamedTuple

import h11

MAX_HEAD_BYTES = 1024
END_OF_HEAD = b"\r\n\r\n"
# stands for the length of the body in the template of a response's head
LENGTH_PLACEHOLDER = 1_234_567_890
# pairs of a status and a Retry-After; neither grows with the fleet
MAX_RESPONSE_TEMPLATES = 256
# h11 frames a response by its request: this stands for any that keeps its connection
PLAIN_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class RequestHead(NamedTuple):
    """What h11 found in a request's head.

    Attributes:
        method: The method.
        path: The path, without the query.
        body_bytes: The length of the body.
    """

    method: str
    path: str
    body_bytes: int

    def body_in(self, data: bytes) -> bytes:
        """Returns the body in the data of a complete request with this head."""
        return data[len(data) - self.body_bytes :]


def parsed_head(request: h11.Request) -> RequestHead | None:
    """Returns the head of a request, if it tells the length of the body.

    None if it does not, or if the sender waits for leave to send the body.
    """
    body_bytes = 0
    for name, value in request.headers:
        if name in (b"transfer-encoding", b"expect"):
            return None
        if name == b"content-length":
            body_bytes = int(value)
    return RequestHead(request.method.decode("latin-1"), request_path(request), body_bytes)


def request_path(request: h11.Request) -> str:
    """Returns a request's path, without the query."""
    return request.target.decode("latin-1").partition("?")[0]


class RequestHeadCache:
    """A table of parsed heads by their bytes; the oldest one is dropped when it is full."""

    def __init__(self, max_heads: int) -> None:
        self._max_heads = max_heads
        self._heads: dict[bytes, RequestHead] = {}

    def __len__(self) -> int:
        return len(self._heads)

    def find(self, data: bytes) -> RequestHead | None:
        """Returns the head, if the data is exactly one request whose head is known."""
        end = data.find(END_OF_HEAD) + len(END_OF_HEAD)
        head = self._heads.get(data[:end])
        if head is None or len(data) != end + head.body_bytes:
            return None
        return head

    def add(self, data: bytes, request: h11.Request) -> None:
        """Adds the head of a request that h11 has read from exactly this data.

        The connection must go on after the request. Heads are left out that are too long, that
        don't tell the length of the body, or that ask for no body in the answer.
        """
        end = data.find(END_OF_HEAD) + len(END_OF_HEAD)
        head = parsed_head(request)
        if head is None or head.method == "HEAD":
            return
        if not len(END_OF_HEAD) <= end <= MAX_HEAD_BYTES:
            return
        if len(data) != end + head.body_bytes:
            return
        if len(self._heads) >= self._max_heads:
            del self._heads[next(iter(self._heads))]
        # a real copy: a slice of all the data would be the data itself, which keeps the whole
        # block of memory that it was received into
        self._heads[bytes(memoryview(data)[:end])] = head


def response_head(
    status: int, length: int, retry_after_s: int | None, is_closing: bool
) -> h11.Response:
    """Returns the head of a response; `is_closing` says that the connection ends after it."""
    headers = [("content-type", "application/json"), ("content-length", str(length))]
    if retry_after_s is not None:
        headers.append(("retry-after", str(retry_after_s)))
    if is_closing:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


def encoded_response_head(status: int, length: int, retry_after_s: int | None) -> bytes:
    """Returns a response's head as h11 encodes it on a connection that is kept."""
    before, after = _response_template(status, retry_after_s)
    return b"%b%d%b" % (before, length, after)


@lru_cache(maxsize=MAX_RESPONSE_TEMPLATES)
def _response_template(status: int, retry_after_s: int | None) -> tuple[bytes, bytes]:
    """Returns what h11 writes before and after the length in the head of such a response."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(PLAIN_REQUEST)
    connection.next_event()
    connection.next_event()
    response = response_head(status, LENGTH_PLACEHOLDER, retry_after_s, is_closing=False)
    head = connection.send(response) or b""
    before, _, after = head.partition(b"%d" % LENGTH_PLACEHOLDER)
    return before, after
