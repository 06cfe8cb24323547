"""What the client verbs of the command line share: input, request, response."""

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
    """The arguments of a client verb can't be used; the text says why."""


class ClientRequest(NamedTuple):
    """A request of a client verb."""

    method: str
    path: str
    body: bytes = b""


def read_input(file_name: str) -> bytes:
    """The content of a file, or of standard input for `-`; raises UsageError."""
    if file_name == "-":
        return sys.stdin.buffer.read()
    try:
        with open(file_name, "rb") as file:
            return file.read()
    except OSError as exc:
        raise UsageError(f"{file_name}: {exc.strerror}") from exc


def parse_server(server: str) -> Endpoint:
    """The address given with --server, as HOST:PORT; raises UsageError."""
    host, _, port = server.rpartition(":")
    if not host or not port.isdigit():
        raise UsageError(f"--server: {server!r} is not HOST:PORT")
    return Endpoint(host, int(port))


def run_subcommand(
    args: argparse.Namespace, request_of: Callable[[argparse.Namespace], ClientRequest]
) -> int:
    """Builds the request of a verb and sends it; returns the exit code."""
    try:
        server = parse_server(args.server)
        request = request_of(args)
    except UsageError as exc:
        print(exc, file=sys.stderr)
        return EXIT_USAGE_ERROR
    return send(server, args.timeout, request)


def send(server: Endpoint, timeout_s: float, request: ClientRequest) -> int:
    """Sends the request and prints the response; returns the exit code."""
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
        print(f"crossmill: status {status}", file=sys.stderr)
        return EXIT_FAILURE
    return 0
