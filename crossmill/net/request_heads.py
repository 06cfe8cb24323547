"""Requests whose heads h11 has parsed before.

Workers and users repeat themselves: on a kept connection nearly every request has, byte for byte,
a head that came before. h11 is asked about each such head once; what it said of it is kept, in a
table whose size the settings derive from the memory. Only whole requests are taken, of a connection
that goes on afterwards; anything else is left to h11.
"""

from functools import lru_cache
from typing import NamedTuple

import h11

MAX_HEAD_BYTES = 1024
END_OF_HEAD = b"\r\n\r\n"
# answers are alike in all but their length, for which this stands in their template
LENGTH_PLACEHOLDER = 1_234_567_890
# pairs of a status and a Retry-After; neither grows with the fleet
MAX_RESPONSE_TEMPLATES = 256
# h11 chooses a response's framing by the request: this stands for any that keeps its connection
PLAIN_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


class RequestHead(NamedTuple):
    """What h11 said of a request's head."""

    method: str
    path: str
    body_bytes: int


def head_of(request: h11.Request) -> RequestHead | None:
    """The request's head; None if its body has no stated length or its sender waits for leave to
    send it.
    """
    body_bytes = 0
    for name, value in request.headers:
        if name in (b"transfer-encoding", b"expect"):
            return None
        if name == b"content-length":
            body_bytes = int(value)
    path = request.target.decode("latin-1").partition("?")[0]
    return RequestHead(request.method.decode("latin-1"), path, body_bytes)


class RequestHeads:
    """The heads seen, oldest first."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._heads: dict[bytes, RequestHead] = {}

    def __len__(self) -> int:
        return len(self._heads)

    def match(self, data: bytes) -> tuple[RequestHead, bytes] | None:
        """The head and the body, if the data is exactly one request whose head is known."""
        end = data.find(END_OF_HEAD) + len(END_OF_HEAD)
        head = self._heads.get(data[:end])
        if head is None or len(data) != end + head.body_bytes:
            return None
        return head, data[end:]

    def note(self, data: bytes, request: h11.Request) -> None:
        """Keeps the head of a request that h11 has read from exactly this data, and after which
        the connection went on.
        """
        end = data.find(END_OF_HEAD) + len(END_OF_HEAD)
        head = head_of(request)
        if head is None or head.method == "HEAD" or not len(END_OF_HEAD) <= end <= MAX_HEAD_BYTES:
            return
        if len(data) != end + head.body_bytes:
            return
        if len(self._heads) >= self._most:
            del self._heads[next(iter(self._heads))]
        # a copy: a slice of all of the data is the data, which lies in a block of the largest size
        self._heads[bytes(memoryview(data)[:end])] = head


def response_head(
    status: int, length: int, retry_after_s: int | None, closing: bool
) -> h11.Response:
    """A response's status and headers."""
    headers = [("content-type", "application/json"), ("content-length", str(length))]
    if retry_after_s is not None:
        headers.append(("retry-after", str(retry_after_s)))
    if closing:
        headers.append(("connection", "close"))
    return h11.Response(status_code=status, headers=headers)


def encoded_response_head(status: int, length: int, retry_after_s: int | None) -> bytes:
    """How h11 writes the head of a response on a connection that is kept."""
    before, after = _response_template(status, retry_after_s)
    return b"%b%d%b" % (before, length, after)


@lru_cache(maxsize=MAX_RESPONSE_TEMPLATES)
def _response_template(status: int, retry_after_s: int | None) -> tuple[bytes, bytes]:
    """What h11 writes before and after the length in the head of such a response."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(PLAIN_REQUEST)
    conn.next_event()
    conn.next_event()
    head = conn.send(response_head(status, LENGTH_PLACEHOLDER, retry_after_s, False)) or b""
    before, _, after = head.partition(b"%d" % LENGTH_PLACEHOLDER)
    return before, after
