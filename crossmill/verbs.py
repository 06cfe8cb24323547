"""The client verbs of the command line."""

import argparse
import sys
from collections.abc import Sequence

import curio
import orjson

from .net.client import Client, Unanswered, Unreached
from .settings import Endpoint
from .wire.checks import Malformed, load_object
from .wire.users import JOBS_PATH, NEEDS, WITHDRAW


def with_needs(body: bytes, needs: Sequence[str]) -> bytes:
    """A submission that also waits for these jobs; raises Malformed if it is no JSON object."""
    if not needs:
        return body
    data = load_object(body)
    data[NEEDS] = [*(data.get(NEEDS) or ()), *needs]
    return orjson.dumps(data)


def run(args: argparse.Namespace) -> int:
    """Sends the request of a client verb and prints the answer; the exit code."""
    host, _, port = args.server.rpartition(":")
    if not host or not port.isdigit():
        print(f"--server: {args.server!r} is not HOST:PORT", file=sys.stderr)
        return 2
    body = b""
    if args.verb == "submit":
        try:
            if args.file == "-":
                body = sys.stdin.buffer.read()
            else:
                with open(args.file, "rb") as file:
                    body = file.read()
        except OSError as exc:
            print(f"{args.file}: {exc.strerror}", file=sys.stderr)
            return 2
        try:
            body = with_needs(body, args.after)
        except Malformed as exc:
            print(f"{args.file}: {exc}", file=sys.stderr)
            return 2
        method, path = "POST", JOBS_PATH
    elif args.verb == "show":
        method, path = "GET", f"{JOBS_PATH}/{args.job}"
    else:
        method, path = "POST", f"{JOBS_PATH}/{args.job}/{WITHDRAW}"
    client = Client(Endpoint(host, int(port)))
    try:
        status, data = curio.run(client.request, method, path, body, args.timeout)
    except (Unreached, Unanswered) as exc:
        print(f"crossmill: {exc}", file=sys.stderr)
        return 1
    print(data.decode("utf-8", "replace"))
    if status not in (200, 201):
        print(f"crossmill: status {status}", file=sys.stderr)
        return 1
    return 0
