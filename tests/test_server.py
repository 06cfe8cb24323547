"""The HTTP server with malformed, oversized and slow requests over loopback sockets."""

import curio
import pytest
from curio import socket

from crossmill.net.server import Request, Response, Server
from crossmill.settings import Endpoint

GOOD_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


async def _handler(request: Request) -> Response:
    return Response(400 if request.is_too_large else 200)


async def _exchange(port: int, data: bytes, byte_interval_s: float) -> bytes:
    """Send the data, byte by byte if the interval is not zero; return all received data."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    async with sock:
        await sock.connect(("127.0.0.1", port))
        try:
            if byte_interval_s:
                for byte in data:
                    await sock.sendall(bytes([byte]))
                    await curio.sleep(byte_interval_s)
            else:
                await sock.sendall(data)
            response = b""
            while part := await sock.recv(65536):
                response += part
        except OSError:
            return b"reset"
        return response


@pytest.mark.parametrize(
    ("data", "byte_interval_s", "expected"),
    [
        (b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n" + b"x" * 200, 0.05, b""),
        (b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 70000\r\n\r\n" + b"x" * 70000, 0, b"400"),
        (b"no such protocol\r\n\r\n", 0, b""),
        (b"GET /x HTTP/1.1\r\n" + b"a: b\r\n" * 30000, 0, b""),
    ],
)
def test_a_bad_request_ends_its_connection_and_no_other(
    data: bytes, byte_interval_s: float, expected: bytes
) -> None:
    # guards against a client that keeps its socket indefinitely by slowly sending single bytes

    async def scenario() -> None:
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        server = Server(Endpoint("127.0.0.1", port), _handler, 8, 0.5, max_cached_heads=8)
        await curio.spawn(server.run, daemon=True)
        await curio.sleep(0.05)
        response = await curio.timeout_after(5.0, _exchange, port, data, byte_interval_s)
        assert expected in response
        while server.open_sockets:
            await curio.sleep(0.01)
        assert b"200" in await curio.timeout_after(5.0, _exchange, port, GOOD_REQUEST, 0)

    curio.run(scenario)
