"""Serves fake services on loopback, for tests over real sockets."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Protocol

# delay of the response to a watch of the state service, since the fake service never waits
WATCH_DELAY_S = 0.1


class FakeService(Protocol):
    """A fake service whose coroutines respond without waiting."""

    async def request(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Return the status and body of the response."""


def free_ports(number: int) -> list[int]:
    """Return this number of unused ports."""
    sockets = [socket.socket() for _ in range(number)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _run_without_waiting(
    service: FakeService, method: str, path: str, body: bytes
) -> tuple[int, bytes]:
    """Run the service's coroutine, which must not wait, and return its result."""
    try:
        service.request(method, path, body).send(None)
    except StopIteration as ended:
        status, data = ended.value
        return status, data
    raise AssertionError(f"the fake service waited: {method} {path}")


def _handler(service: FakeService) -> type[BaseHTTPRequestHandler]:
    lock = threading.Lock()

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def _respond(self) -> None:
            body = self.rfile.read(int(self.headers.get("content-length", 0)))
            if self.path.startswith("/changes"):
                time.sleep(WATCH_DELAY_S)
            with lock:
                status, data = _run_without_waiting(service, self.command, self.path, body)
            self.send_response(status)
            self.send_header("content-length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        # http.server calls the method of this name for each HTTP method
        do_GET = do_POST = do_DELETE = _respond  # noqa: N815 - named by http.server

        def log_message(self, format: str, *args: object) -> None:
            """Log nothing."""

    return Handler


@contextmanager
def serving(service: FakeService, port: int) -> Iterator[None]:
    """Serve the fake service on a loopback port within the context."""
    server = ThreadingHTTPServer(("127.0.0.1", port), _handler(service))
    server.daemon_threads = True
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield
    finally:
        server.shutdown()
        server.server_close()
