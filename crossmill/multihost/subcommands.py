"""The subcommands of `replicas`, for multi-machine replicas.

Each subcommand sends one request to a controller and prints the response.
"""

import argparse
from collections.abc import Callable
from typing import NamedTuple

from ..client_command import ClientRequest, UsageError, read_input, run_subcommand
from ..wire.multihost import MACHINES_PATH, REPLICAS_PATH, SETS_PATH
from .model import ReplicaId


class _Argument(NamedTuple):
    name: str
    help: str


class _Subcommand(NamedTuple):
    name: str
    help: str
    arguments: tuple[_Argument, ...] = ()


_REPLICA = _Argument("replica", "SET/NUMBER")
_SET = _Argument("set", "the set's name")
_MACHINE = _Argument("machine", "the machine's ID")
_FILE = _Argument("file", "a file with the declaration as JSON, or - for standard input")
_SUBCOMMANDS = (
    _Subcommand("list", "list all replicas"),
    _Subcommand("sets", "list all replica sets"),
    _Subcommand("machines", "list the machines of the pool"),
    _Subcommand("show", "show a replica", (_REPLICA,)),
    _Subcommand("restart", "restart all members of a replica, also of a failed one", (_REPLICA,)),
    _Subcommand("declare", "declare a replica set", (_SET, _FILE)),
    _Subcommand("remove", "remove a replica set and stop its replicas", (_SET,)),
    _Subcommand("drain", "move all replicas off a machine, one after the other", (_MACHINE,)),
    _Subcommand("release", "drain a machine and remove it from the pool", (_MACHINE,)),
    _Subcommand("undrain", "allow replicas on a drained machine again", (_MACHINE,)),
)


def add_replica_subcommands(
    parser: argparse.ArgumentParser,
    add_client_options: Callable[[argparse.ArgumentParser, str, str, str], None],
) -> None:
    """Add the subcommands of `replicas` to the command line's parser.

    Args:
        parser: The parser of `replicas`.
        add_client_options: Adds the options of client subcommands to a parser. It takes the parser,
            the environment variable with the server's address, the default address, and a
            description of the server.
    """
    subcommands = parser.add_subparsers(
        dest="replica_subcommand", required=True, metavar="SUBCOMMAND"
    )
    for spec in _SUBCOMMANDS:
        subcommand = subcommands.add_parser(spec.name, help=spec.help, description=spec.help)
        for argument in spec.arguments:
            subcommand.add_argument(argument.name, help=argument.help)
        add_client_options(
            subcommand, "CROSSMILL_MULTIHOST", "127.0.0.1:8091", "a controller's multihost address"
        )


_LIST_PATHS = {"list": REPLICAS_PATH, "sets": SETS_PATH, "machines": MACHINES_PATH}


def _replica_path(name: str) -> str:
    if ReplicaId.parse(name) is None:
        raise UsageError(f"replica: must be SET/NUMBER, got {name!r}")
    return f"{REPLICAS_PATH}/{name}"


def request_of(args: argparse.Namespace) -> ClientRequest:
    """Return the request of a subcommand.

    Raises:
        UsageError: An argument is invalid.
    """
    subcommand: str = args.replica_subcommand
    if subcommand in _LIST_PATHS:
        return ClientRequest("GET", _LIST_PATHS[subcommand])
    if subcommand in ("drain", "undrain", "release"):
        return ClientRequest("POST", f"{MACHINES_PATH}/{args.machine}/{subcommand}")
    match subcommand:
        case "show":
            return ClientRequest("GET", _replica_path(args.replica))
        case "restart":
            return ClientRequest("POST", f"{_replica_path(args.replica)}/restart")
        case "declare":
            return ClientRequest("PUT", f"{SETS_PATH}/{args.set}", read_input(args.file))
        case "remove":
            return ClientRequest("DELETE", f"{SETS_PATH}/{args.set}")
    raise UsageError(f"{subcommand!r} is not a subcommand")


def run(args: argparse.Namespace) -> int:
    """Send the request of a subcommand, print the response and return the exit code."""
    return run_subcommand(args, request_of)
