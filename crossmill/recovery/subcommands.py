"""The subcommands of `recovery`: `recovery show` and `recovery approve`."""

import argparse
from collections.abc import Callable

from ..client_command import ClientRequest, UsageError, run_subcommand
from ..wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body


def add_recovery_subcommands(
    parser: argparse.ArgumentParser,
    add_client_options: Callable[[argparse.ArgumentParser, str, str, str], None],
) -> None:
    """Add the subcommands of `recovery` to the command line's parser."""
    subcommands = parser.add_subparsers(
        dest="recovery_subcommand", required=True, metavar="SUBCOMMAND"
    )
    show = subcommands.add_parser(
        "show", help="show recovering shards, open circuit breakers and past recoveries"
    )
    approve = subcommands.add_parser(
        "approve", help="approve the actions that an open circuit breaker blocks"
    )
    approve.add_argument("shard", type=int, help="the shard's number")
    approve.add_argument("digest", help="the digest of these actions, as printed by `show`")
    for subcommand in (show, approve):
        add_client_options(
            subcommand, "CROSSMILL_RECOVERY", "127.0.0.1:8081", "a controller's peer_listen address"
        )


def request_of(args: argparse.Namespace) -> ClientRequest:
    """Return the request of a subcommand; raise UsageError if the shard is invalid."""
    if args.recovery_subcommand == "show":
        return ClientRequest("GET", RECOVERY_PATH)
    if args.shard < 0:
        raise UsageError(f"shard: must be a number >= 0, got {args.shard}")
    return ClientRequest("POST", APPROVE_PATH, approval_body(Approval(args.shard, args.digest)))


def run(args: argparse.Namespace) -> int:
    """Send the request of a subcommand, print the response and return the exit code."""
    return run_subcommand(args, request_of)
