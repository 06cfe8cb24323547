"""Input, request and response of client subcommands, which send one request to a controller."""

import argparse
import sys
from collections.abc import Callable
from typing import NamedTuple

import curio

from .net.client import Client, ConnectionFailedError, NoResponseError
from .settings import Endpoint

EXIT_USAGE_ERROR = 2
EXIT_FAILURE = 1
SUCCESS_STATUSES = (200, 201)


class UsageError(ValueError):
    """The arguments of a client subcommand are invalid; the message gives the reason."""


class ClientRequest(NamedTuple):
    """The HTTP request of a client subcommand."""

    method: str
    path: str
    body: bytes = b""


def read_input(file_name: str) -> bytes:
    """Return the content of a file, or of standard input for `-`; raise UsageError on failure."""
    if file_name == "-":
        return sys.stdin.buffer.read()
    try:
        with open(file_name, "rb") as file:
            return file.read()
    except OSError as exc:
        raise UsageError(f"{file_name}: {exc.strerror}") from exc


def parse_server(server: str) -> Endpoint:
    """Parse the value of --server; raise UsageError if it is not HOST:PORT."""
    host, _, port = server.rpartition(":")
    if not host or not port.isdigit():
        raise UsageError(f"--server: {server!r} is not HOST:PORT")
    return Endpoint(host, int(port))


def run_subcommand(
    args: argparse.Namespace, request_of: Callable[[argparse.Namespace], ClientRequest]
) -> int:
    """Build and send the request of a client subcommand and return the exit code."""
    try:
        server = parse_server(args.server)
        request = request_of(args)
    except UsageError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE_ERROR
    return send(server, args.timeout, request)


def send(server: Endpoint, timeout_s: float, request: ClientRequest) -> int:
    """Send the request, print the response and return the exit code."""
    client = Client(server)
    try:
        status, data = curio.run(
            client.request, request.method, request.path, request.body, timeout_s
        )
    except (ConnectionFailedError, NoResponseError) as exc:
        print(f"crossmill: {exc}", file=sys.stderr)
        return EXIT_FAILURE
    print(data.decode("utf-8", "replace"))
    if status not in SUCCESS_STATUSES:
        print(f"crossmill: HTTP status {status}", file=sys.stderr)
        return EXIT_FAILURE
    return 0
