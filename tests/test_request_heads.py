"""Requests with cached heads bypass h11 and receive the same responses as through h11."""

from collections import Counter
from typing import Any

import curio
import h11
import pytest
from curio import socket

from crossmill.net.request_heads import RequestHead, RequestHeadCache, encoded_response_head
from crossmill.net.server import Request, Response, Server
from crossmill.settings import Endpoint

BODY = b'{"a":1}'
POST = b"POST /agent/beat?x=1 HTTP/1.1\r\nhost: a\r\ncontent-length: 7\r\n\r\n" + BODY


def _parsed(data: bytes) -> h11.Request:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    event = connection.next_event()
    assert isinstance(event, h11.Request)
    return event


def test_a_cached_head_matches_complete_requests_only() -> None:
    heads = RequestHeadCache(max_heads=8)
    heads.add(POST, _parsed(POST))
    expected = RequestHead("POST", "/agent/beat", len(BODY))
    other = POST[:-7] + b'{"b":2}'
    assert heads.find(POST) == expected
    assert expected.body_in(POST) == BODY
    assert heads.find(other) == expected
    assert expected.body_in(other) == b'{"b":2}'
    # a body cut short, a second request behind the first, and another head
    assert heads.find(POST[:-1]) is None
    assert heads.find(POST + POST) is None
    assert heads.find(POST.replace(b"host: a", b"host: b")) is None
    assert heads.find(b"") is None


@pytest.mark.parametrize(
    "data",
    [
        b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /x HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\nx",
        b"HEAD /x HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET /x HTTP/1.1\r\nhost: a\r\nlong: " + b"x" * 1024 + b"\r\n\r\n",
    ],
)
def test_heads_without_a_plain_body_length_are_not_cached(data: bytes) -> None:
    heads = RequestHeadCache(max_heads=8)
    heads.add(data, _parsed(data))
    assert heads.find(data) is None
    assert len(heads) == 0


def test_a_full_cache_evicts_the_oldest_head() -> None:
    # without a limit, memory grows with every job that is ever requested
    heads = RequestHeadCache(max_heads=3)
    requests = [b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % n for n in range(5)]
    for data in requests:
        heads.add(data, _parsed(data))
    assert len(heads) == 3
    assert [heads.find(data) is not None for data in requests] == [False] * 2 + [True] * 3


def test_a_response_head_is_encoded_as_by_h11() -> None:
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    client.send(h11.EndOfMessage())
    client.receive_data(encoded_response_head(503, 2, 7) + b"{}")
    head = client.next_event()
    assert isinstance(head, h11.Response)
    assert head.status_code == 503
    assert dict(head.headers)[b"retry-after"] == b"7"
    body = client.next_event()
    assert isinstance(body, h11.Data)
    assert bytes(body.data) == b"{}"
    assert isinstance(client.next_event(), h11.EndOfMessage)


async def _free_port() -> int:
    async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as free:
        free.bind(("127.0.0.1", 0))
        return int(free.getsockname()[1])


def _count_calls(monkeypatch: pytest.MonkeyPatch, counts: Counter[str], name: str) -> None:
    """Count the calls of a method of h11 connections."""
    real = getattr(h11.Connection, name)

    def counted(*args: Any) -> Any:
        counts[name] += 1
        return real(*args)

    monkeypatch.setattr(h11.Connection, name, counted)


def test_a_repeated_request_is_not_parsed_and_receives_the_same_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # parsing each heartbeat and poll took more than a third of a controller's time
    counts: Counter[str] = Counter()

    async def handler(request: Request) -> Response:
        return Response(200, request.path.encode() + request.body)

    async def scenario() -> None:
        port = await _free_port()
        server = Server(Endpoint("127.0.0.1", port), handler, 8, 60.0, max_cached_heads=8)
        await curio.spawn(server.run, daemon=True)
        await curio.sleep(0.05)
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            await sock.connect(("127.0.0.1", port))
            responses: list[bytes] = []
            for data in (POST, POST, POST, POST + POST):
                await sock.sendall(data)
                response = b""
                while response.count(BODY) < data.count(BODY):
                    response += await sock.recv(4096)
                responses.append(response)
                if len(responses) == 2:
                    # h11 has now parsed the request head and encoded the response head
                    _count_calls(monkeypatch, counts, "next_event")
                if len(responses) == 3:
                    assert not counts
            # two requests received together are passed to h11
            assert counts
            assert responses[3] == 2 * responses[2]
            assert responses[0] == responses[1] == responses[2]

    async def bounded() -> None:
        await curio.timeout_after(5.0, scenario)

    curio.run(bounded)
