"""The command line."""

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING

from . import __version__
from .lazy_imports import defer_unused
from .settings import BadSettings, Settings, load

if TYPE_CHECKING:
    from .multihost.settings import MultihostSettings

FAILED = 1
BAD_USAGE = 2
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _logging() -> str | None:
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        level=LEVELS.get(name, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
        stream=sys.stderr,
    )
    logging.getLogger("curio").setLevel(logging.ERROR)
    return None if name in LEVELS else name


def _name_lines(label: str) -> None:
    """Every line of a controller says whose it is, so that logs can be read together."""
    for handler in logging.getLogger().handlers:
        line = f"%(asctime)s {label.replace('%', '%%')} %(levelname)s %(name)s %(message)s"
        handler.setFormatter(logging.Formatter(line))


def _parser(argv: list[str]) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="crossmill",
        description="A scheduler for fleets that serve language models.",
        epilog="LOG_LEVEL (error, info, debug) sets how much is logged to standard error.",
    )
    parser.add_argument("--version", action="version", version=f"crossmill {__version__}")
    verbs = parser.add_subparsers(dest="verb", required=True, metavar="VERB")
    for name, text in (
        ("serve", "run a controller until it is killed"),
        ("check", "check a settings file and say what follows from it"),
    ):
        verb = verbs.add_parser(name, help=text, description=text)
        verb.add_argument("--config", required=True, metavar="FILE", help="settings (TOML)")
        verb.add_argument(
            "--multihost", metavar="FILE", help="also schedule multi-machine replicas (TOML)"
        )
    submit = verbs.add_parser("submit", help="submit a job read as JSON")
    submit.add_argument("file", help="the job's JSON, or - for standard input")
    submit.add_argument(
        "--after",
        action="append",
        default=[],
        metavar="JOB",
        help="a job that has to be done before this one starts; may be given more than once",
    )
    show = verbs.add_parser("show", help="show a job's state")
    cancel = verbs.add_parser("cancel", aliases=["withdraw"], help="cancel a job")
    for verb in (show, cancel):
        verb.add_argument("job", help="the job's id")
    for verb in (submit, show, cancel):
        _add_client_options(
            verb, "CROSSMILL_SERVER", "127.0.0.1:8080", "a controller or the load balancer"
        )
    verbs.add_parser("compile", help="write the bytecode that a start loads (a step of the build)")
    replicas = verbs.add_parser("replicas", help="multi-machine replicas: list, declare, drain")
    if argv[:1] == ["replicas"]:
        # a start of a controller does not pay for verbs that it has no use for
        from .multihost.verbs import add_replica_verbs

        add_replica_verbs(replicas, _add_client_options)
    return parser


def _add_client_options(
    verb: argparse.ArgumentParser, variable: str, default: str, what: str
) -> None:
    verb.add_argument(
        "--server",
        metavar="HOST:PORT",
        default=os.environ.get(variable, default),
        help=f"{what} ({variable}; default %(default)s)",
    )
    verb.add_argument("--timeout", type=float, default=5.0, metavar="S", help="default %(default)s")


def _load(path: str) -> Settings | None:
    """The settings; None, with a line that says why, if they are bad."""
    try:
        return load(path)
    except BadSettings as exc:
        print(f"crossmill: {exc}", file=sys.stderr)
        return None


def _load_multihost(path: str | None, settings: Settings) -> "MultihostSettings | None":
    """The settings of multi-machine replicas, if a file is given; raises BadSettings."""
    if path is None:
        return None
    from .multihost.settings import load as load_multihost

    return load_multihost(path, settings)


def _check(path: str, multihost_path: str | None) -> int:
    settings = _load(path)
    if settings is None:
        return BAD_USAGE
    try:
        multihost = _load_multihost(multihost_path, settings)
    except BadSettings as exc:
        print(f"crossmill: {exc}", file=sys.stderr)
        return BAD_USAGE
    print(f"{settings.label}: {settings.nodes} controllers, {len(settings.teams)} teams")
    for name in ("hold_ttl_s", "renew_s", "worker_end_s", "writes_share", "cloud_pace"):
        print(f"  {name} = {getattr(settings, name):.3f}")
    if multihost is not None:
        print(f"multi-machine replicas on {multihost.listen.host}:{multihost.listen.port}")
        for name in ("heartbeat_s", "detection_s", "serving_lease_s", "agent_lease_s"):
            print(f"  {name} = {getattr(multihost, name):.3f}")
    return 0


def _serve(path: str, multihost_path: str | None) -> int:
    settings = _load(path)
    if settings is None:
        return BAD_USAGE
    try:
        multihost = _load_multihost(multihost_path, settings)
    except BadSettings as exc:
        print(f"crossmill: {exc}", file=sys.stderr)
        return BAD_USAGE
    _name_lines(settings.label)
    defer_unused()
    from .app import serve

    serve(settings, multihost)
    return 0


def _compile() -> int:
    from .bytecode import CacheNotWritten, fill

    try:
        print(f"bytecode of {fill()} modules in {sys.pycache_prefix or 'their own folders'}")
    except CacheNotWritten as exc:
        print(f"crossmill: bytecode was not written: {exc}", file=sys.stderr)
        return FAILED
    return 0


def main(argv: list[str] | None = None) -> int:
    """Runs the command; returns its exit code."""
    argv = sys.argv[1:] if argv is None else argv
    args = _parser(argv).parse_args(argv)
    bad_level = _logging()
    if bad_level is not None:
        print(f"LOG_LEVEL: {bad_level!r} is none of {', '.join(LEVELS)}", file=sys.stderr)
        return BAD_USAGE
    if args.verb == "serve":
        return _serve(args.config, args.multihost)
    if args.verb == "check":
        return _check(args.config, args.multihost)
    if args.verb == "compile":
        return _compile()
    if args.verb == "replicas":
        from .multihost.verbs import run as run_replicas

        return run_replicas(args)
    from .verbs import run

    return run(args)
