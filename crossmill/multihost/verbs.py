"""The client verbs about multi-machine replicas."""

import argparse
from collections.abc import Callable

from ..client_command import ClientRequest, UsageError, read_input, run_verb
from ..wire.multihost import MACHINES_PATH, REPLICAS_PATH, SETS_PATH
from .model import ReplicaId


def add_replica_verbs(
    parser: argparse.ArgumentParser,
    add_client_options: Callable[[argparse.ArgumentParser, str, str, str], None],
) -> None:
    """The verbs under `replicas`."""
    verbs = parser.add_subparsers(dest="replica_verb", required=True, metavar="VERB")
    arguments: tuple[tuple[str, str, tuple[tuple[str, str], ...]], ...] = (
        ("list", "all replicas", ()),
        ("sets", "all replica sets", ()),
        ("machines", "the machines of the pool", ()),
        ("show", "one replica", (("replica", "SET/NUMBER"),)),
        ("restart", "restart a replica as one, also one that failed", (("replica", "SET/NUMBER"),)),
        (
            "declare",
            "declare a replica set",
            (("set", "its name"), ("file", "the declaration's JSON, or - for standard input")),
        ),
        ("remove", "stop all replicas of a set", (("set", "its name"),)),
        ("drain", "empty a machine, replica by replica", (("machine", "the machine's id"),)),
        (
            "release",
            "empty a machine and take it out of the pool",
            (("machine", "the machine's id"),),
        ),
        ("undrain", "let replicas stand on a machine again", (("machine", "the machine's id"),)),
    )
    for name, text, positional in arguments:
        verb = verbs.add_parser(name, help=text, description=text)
        for argument, meaning in positional:
            verb.add_argument(argument, help=meaning)
        add_client_options(
            verb, "CROSSMILL_MULTIHOST", "127.0.0.1:8091", "a controller's multihost address"
        )


def _replica_path(name: str) -> str:
    if ReplicaId.parse(name) is None:
        raise UsageError(f"{name!r} is not SET/NUMBER")
    return f"{REPLICAS_PATH}/{name}"


def request_of(args: argparse.Namespace) -> ClientRequest:
    """The request of a verb; raises UsageError."""
    match args.replica_verb:
        case "list":
            return ClientRequest("GET", REPLICAS_PATH)
        case "sets":
            return ClientRequest("GET", SETS_PATH)
        case "machines":
            return ClientRequest("GET", MACHINES_PATH)
        case "show":
            return ClientRequest("GET", _replica_path(args.replica))
        case "restart":
            return ClientRequest("POST", f"{_replica_path(args.replica)}/restart")
        case "declare":
            return ClientRequest("PUT", f"{SETS_PATH}/{args.set}", read_input(args.file))
        case "remove":
            return ClientRequest("DELETE", f"{SETS_PATH}/{args.set}")
        case "drain" | "undrain" | "release":
            return ClientRequest("POST", f"{MACHINES_PATH}/{args.machine}/{args.replica_verb}")
    raise UsageError(f"{args.replica_verb!r} is no verb")


def run(args: argparse.Namespace) -> int:
    """Sends the request of a verb and prints the answer; the exit code."""
    return run_verb(args, request_of)
