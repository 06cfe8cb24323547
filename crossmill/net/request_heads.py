"""A cache of parsed request heads, and the encoding of response heads.

On a persistent connection, nearly every request from a worker or user has a head that is identical,
byte for byte, to an earlier one. h11 parses each such head once, and the result is cached. The
settings derive the size of the cache from the available memory. Only complete requests on
connections that stay open are served from the cache; h11 handles all others. Each server owns one
cache.
"""

from functools import lru_cache
from typing import NamedTuple

import h11

MAX_HEAD_BYTES = 1024
END_OF_HEAD = b"\r\n\r\n"
# placeholder for the length of the body in the template of a response head
LENGTH_PLACEHOLDER = 1_234_567_890
# one template per pair of status and Retry-After, whose number does not grow with the fleet
MAX_RESPONSE_TEMPLATES = 256
# h11 frames a response according to its request; this one represents all requests that keep the
# connection open
PLAIN_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class RequestHead(NamedTuple):
    """The parsed head of a request.

    Attributes:
        method: The method.
        path: The path without the query.
        body_bytes: The length of the body in bytes.
    """

    method: str
    path: str
    body_bytes: int

    def body_in(self, data: bytes) -> bytes:
        """Return the body from the data of a complete request with this head."""
        return data[len(data) - self.body_bytes :]


def parsed_head(request: h11.Request) -> RequestHead | None:
    """Return the head of a request, or None if its headers don't determine the body length.

    Return None also for a request with an `Expect` header, whose sender waits for permission to
    send the body.
    """
    body_bytes = 0
    for name, value in request.headers:
        if name in (b"transfer-encoding", b"expect"):
            return None
        if name == b"content-length":
            body_bytes = int(value)
    return RequestHead(request.method.decode("latin-1"), request_path(request), body_bytes)


def request_path(request: h11.Request) -> str:
    """Return a request's path without the query."""
    return request.target.decode("latin-1").partition("?")[0]


class RequestHeadCache:
    """A cache of parsed heads by their bytes, which evicts the oldest head when it is full."""

    def __init__(self, max_heads: int) -> None:
        self._max_heads = max_heads
        self._heads: dict[bytes, RequestHead] = {}

    def __len__(self) -> int:
        return len(self._heads)

    def find(self, data: bytes) -> RequestHead | None:
        """Return the cached head if the data is exactly one request with that head, else None."""
        end = data.find(END_OF_HEAD) + len(END_OF_HEAD)
        head = self._heads.get(data[:end])
        if head is None or len(data) != end + head.body_bytes:
            return None
        return head

    def add(self, data: bytes, request: h11.Request) -> None:
        """Add the head of a request that h11 has parsed from exactly this data.

        The connection must stay open after the request. A head is not added if it is too long, if
        `parsed_head` returns None for it, or for HEAD requests, whose responses have no body.
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
        # The memoryview forces a copy. A slice of all the data would be the same object, which
        # keeps the whole block of memory that it was received into.
        self._heads[bytes(memoryview(data)[:end])] = head


def response_head(
    status: int, length: int, retry_after_s: int | None, is_closing: bool
) -> h11.Response:
    """Return the head of a response; `is_closing` states that the connection is then closed."""
    headers = [("content-type", "application/json"), ("content-length", str(length))]
    if retry_after_s is not None:
        headers.append(("retry-after", str(retry_after_s)))
    if is_closing:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


def encoded_response_head(status: int, length: int, retry_after_s: int | None) -> bytes:
    """Return a response head as h11 encodes it on a persistent connection."""
    before, after = _response_template(status, retry_after_s)
    return b"%b%d%b" % (before, length, after)


@lru_cache(maxsize=MAX_RESPONSE_TEMPLATES)
def _response_template(status: int, retry_after_s: int | None) -> tuple[bytes, bytes]:
    """Return the parts of the encoded response head before and after the body length."""
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(PLAIN_REQUEST)
    connection.next_event()
    connection.next_event()
    response = response_head(status, LENGTH_PLACEHOLDER, retry_after_s, is_closing=False)
    head = connection.send(response) or b""
    before, _, after = head.partition(b"%d" % LENGTH_PLACEHOLDER)
    return before, after
