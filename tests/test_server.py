"""The HTTP server against senders that mean no good; over loopback, for what only sockets show."""

import curio
import curio.socket as socket
import pytest

from crossmill.net.server import Request, Response, Server
from crossmill.settings import Endpoint


async def _handler(request: Request) -> Response:
    return Response(400 if request.too_large else 200)


async def _converse(port: int, data: bytes, drip_s: float) -> bytes:
    """Send the data, a byte at a time if it is to drip; what comes back until the end."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    async with sock:
        await sock.connect(("127.0.0.1", port))
        try:
            if drip_s:
                for byte in data:
                    await sock.sendall(bytes([byte]))
                    await curio.sleep(drip_s)
            else:
                await sock.sendall(data)
            answer = b""
            while part := await sock.recv(65536):
                answer += part
            return answer
        except OSError:
            return b"reset"


@pytest.mark.parametrize(
    ("data", "drip_s", "expected"),
    [
        (b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n" + b"x" * 200, 0.05, b""),
        (b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 70000\r\n\r\n" + b"x" * 70000, 0, b"400"),
        (b"no such protocol\r\n\r\n", 0, b""),
        (b"GET /x HTTP/1.1\r\n" + b"a: b\r\n" * 30000, 0, b""),
    ],
)
def test_bad_input_costs_its_sender_the_connection(
    data: bytes, drip_s: float, expected: bytes
) -> None:
    """One that sent a byte now and then held its socket for ever."""

    async def scenario() -> None:
        free = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
        await free.close()
        server = Server(Endpoint("127.0.0.1", port), _handler, 8, 0.5, max_cached_heads=8)
        await curio.spawn(server.run, daemon=True)
        await curio.sleep(0.05)
        answer = await curio.timeout_after(5.0, _converse, port, data, drip_s)
        assert expected in answer
        while server.open_sockets:
            await curio.sleep(0.01)
        assert b"200" in await curio.timeout_after(
            5.0, _converse, port, b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n", 0
        )

    curio.run(scenario)
