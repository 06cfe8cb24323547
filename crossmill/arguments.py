"""The argument parser of the command line.

A controller that is started by the command of the deploy file does not load this module: `cli`
parses the arguments of that command itself.
"""

import argparse
import os

from . import __version__


def parse(argv: list[str]) -> argparse.Namespace:
    """Parse the arguments of any subcommand.

    Invalid arguments print the usage and exit with code 2.
    """
    return _parser(argv).parse_args(argv)


def _parser(argv: list[str]) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="crossmill",
        description="A scheduler for fleets that serve language models.",
        epilog="LOG_LEVEL (error, info, debug) sets the level of the log on standard error.",
    )
    parser.add_argument("--version", action="version", version=f"crossmill {__version__}")
    subcommands = parser.add_subparsers(dest="subcommand", required=True, metavar="SUBCOMMAND")
    for name, text in (
        ("serve", "run a controller until it is killed"),
        ("check", "check a settings file and print the values derived from it"),
    ):
        subcommand = subcommands.add_parser(name, help=text, description=text)
        subcommand.add_argument("--config", required=True, metavar="FILE", help="settings (TOML)")
        subcommand.add_argument(
            "--multihost", metavar="FILE", help="also schedule multi-machine replicas (TOML)"
        )
        subcommand.add_argument(
            "--recovery", metavar="FILE", help="also limit actions after shard takeovers (TOML)"
        )
    submit = subcommands.add_parser("submit", help="submit a job read as JSON")
    submit.add_argument("file", help="the job's JSON, or - for standard input")
    submit.add_argument(
        "--after",
        action="append",
        default=[],
        metavar="JOB",
        help="a job that must be done before this one starts; may be given more than once",
    )
    show = subcommands.add_parser("show", help="show a job's state")
    cancel = subcommands.add_parser("cancel", aliases=["withdraw"], help="cancel a job")
    for subcommand in (show, cancel):
        subcommand.add_argument("job", help="the job's ID")
    for subcommand in (submit, show, cancel):
        _add_client_options(
            subcommand, "CROSSMILL_SERVER", "127.0.0.1:8080", "a controller or the load balancer"
        )
    subcommands.add_parser("compile", help="write the bytecode cache (a build step)")
    replicas = subcommands.add_parser(
        "replicas", help="multi-machine replicas: list, declare, drain"
    )
    if argv[:1] == ["replicas"]:
        # imported only on demand, so that the other subcommands start faster
        from .multihost.subcommands import add_replica_subcommands

        add_replica_subcommands(replicas, _add_client_options)
    recovery = subcommands.add_parser("recovery", help="recoveries after takeovers: show, approve")
    if argv[:1] == ["recovery"]:
        from .recovery.subcommands import add_recovery_subcommands

        add_recovery_subcommands(recovery, _add_client_options)
    return parser


def _add_client_options(
    subcommand: argparse.ArgumentParser, variable: str, default: str, server_description: str
) -> None:
    subcommand.add_argument(
        "--server",
        metavar="HOST:PORT",
        default=os.environ.get(variable, default),
        help=f"{server_description} ({variable}; default %(default)s)",
    )
    subcommand.add_argument(
        "--timeout", type=float, default=5.0, metavar="S", help="seconds, default %(default)s"
    )
