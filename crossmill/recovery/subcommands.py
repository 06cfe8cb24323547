"""The command line's verbs for recoveries: `recovery show` and `recovery approve`."""

import argparse
from collections.abc import Callable

from ..client_command import ClientRequest, UsageError, run_subcommand
from ..wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body


def add_recovery_subcommands(
    parser: argparse.ArgumentParser,
    add_client_options: Callable[[argparse.ArgumentParser, str, str, str], None],
) -> None:
    """Adds the verbs of `recovery` to the command line's parser."""
    subcommands = parser.add_subparsers(dest="recovery_subcommand", required=True, metavar="VERB")
    show = subcommands.add_parser("show", help="shards that recover, brakes, and past recoveries")
    approve = subcommands.add_parser("approve", help="let a braked shard go on with what was shown")
    approve.add_argument("shard", type=int, help="the shard's number")
    approve.add_argument("digest", help="as `show` gives it: it names what is approved")
    for subcommand in (show, approve):
        add_client_options(
            subcommand, "CROSSMILL_RECOVERY", "127.0.0.1:8081", "a controller's peer_listen address"
        )


def request_of(args: argparse.Namespace) -> ClientRequest:
    """Returns the request for a verb; raises UsageError for an invalid shard."""
    if args.recovery_subcommand == "show":
        return ClientRequest("GET", RECOVERY_PATH)
    if args.shard < 0:
        raise UsageError("the shard's number is at least 0")
    return ClientRequest("POST", APPROVE_PATH, approval_body(Approval(args.shard, args.digest)))


def run(args: argparse.Namespace) -> int:
    """Sends the verb's request, prints the answer and returns the exit code."""
    return run_subcommand(args, request_of)
