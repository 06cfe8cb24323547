"""The command line: parses the arguments and runs the verb that they name."""

import argparse
import logging
import os
import sys
from typing import TYPE_CHECKING, NamedTuple

from . import __version__
from .lazy_imports import defer_unused
from .settings import Settings, SettingsError, load

if TYPE_CHECKING:
    from .multihost.settings import MultihostSettings
    from .recovery.settings import RecoverySettings

FAILED = 1
BAD_USAGE = 2
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _configure_logging() -> str | None:
    """Sets logging up as LOG_LEVEL says; returns its value if it names no level."""
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        level=LEVELS.get(name, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
        stream=sys.stderr,
    )
    logging.getLogger("curio").setLevel(logging.ERROR)
    return None if name in LEVELS else name


def _add_label_to_log_lines(label: str) -> None:
    """Puts the controller's label into every line, so that several logs can be read together."""
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
        verb.add_argument(
            "--recovery", metavar="FILE", help="settle calmly what differs after a takeover (TOML)"
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
    recovery = verbs.add_parser("recovery", help="recoveries after takeovers: show, approve")
    if argv[:1] == ["recovery"]:
        from .recovery.verbs import add_recovery_verbs

        add_recovery_verbs(recovery, _add_client_options)
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


class _LoadedSettings(NamedTuple):
    """The settings of a controller and of the subsystems that are on."""

    settings: Settings
    multihost: "MultihostSettings | None"
    recovery: "RecoverySettings | None"


def _load(args: argparse.Namespace) -> _LoadedSettings:
    """Reads all settings files that the arguments name; raises SettingsError.

    A subsystem's modules are loaded only if its file is named.
    """
    settings = load(args.config)
    multihost, recovery = None, None
    if args.multihost is not None:
        from .multihost.settings import load as load_multihost

        multihost = load_multihost(args.multihost, settings)
    if args.recovery is not None:
        from .recovery.settings import load as load_recovery

        recovery = load_recovery(args.recovery, settings)
    return _LoadedSettings(settings, multihost, recovery)


def _check(loaded: _LoadedSettings) -> None:
    """Prints what follows from the settings."""
    settings, multihost, recovery = loaded
    print(f"{settings.label}: {settings.controller_count} controllers, {len(settings.teams)} teams")
    _print_derived(
        settings,
        "controller_lease_ttl_s",
        "lease_renewal_interval_s",
        "worker_lease_expiry_s",
        "state_write_rate",
        "cloud_request_rate",
    )
    if multihost is not None:
        print(f"multi-machine replicas on {multihost.listen.host}:{multihost.listen.port}")
        _print_derived(multihost, "heartbeat_s", "detection_s", "serving_lease_s", "agent_lease_s")
    if recovery is not None:
        kind = "recovery, dry run" if recovery.dry_run else "recovery"
        print(f"{kind}, brake at {recovery.brake_share:g} of the tasks or machines known")
        _print_derived(recovery, "observe_s", "shard_orders_per_s", "worker_orders_per_s")


def _print_derived(settings: object, *names: str) -> None:
    for name in names:
        print(f"  {name} = {getattr(settings, name):.3f}")


def _serve(loaded: _LoadedSettings) -> None:
    _add_label_to_log_lines(loaded.settings.label)
    defer_unused()
    from .app import serve

    serve(*loaded)


def _run_with_settings(args: argparse.Namespace) -> int:
    """Runs `serve` or `check`; with bad settings one line says why."""
    try:
        loaded = _load(args)
    except SettingsError as exc:
        print(f"crossmill: {exc}", file=sys.stderr)
        return BAD_USAGE
    if args.verb == "serve":
        _serve(loaded)
    else:
        _check(loaded)
    return 0


def _compile() -> int:
    """Writes the bytecode cache; returns the exit code."""
    from .bytecode import CacheNotWrittenError, fill

    try:
        print(f"bytecode of {fill()} modules in {sys.pycache_prefix or 'their own folders'}")
    except CacheNotWrittenError as exc:
        print(f"crossmill: bytecode was not written: {exc}", file=sys.stderr)
        return FAILED
    return 0


def main(argv: list[str] | None = None) -> int:
    """Runs the command that the arguments name; returns its exit code."""
    argv = sys.argv[1:] if argv is None else argv
    args = _parser(argv).parse_args(argv)
    bad_level = _configure_logging()
    if bad_level is not None:
        print(f"LOG_LEVEL: {bad_level!r} is none of {', '.join(LEVELS)}", file=sys.stderr)
        return BAD_USAGE
    if args.verb in ("serve", "check"):
        return _run_with_settings(args)
    if args.verb == "compile":
        return _compile()
    if args.verb == "replicas":
        from .multihost.verbs import run as run_replicas

        return run_replicas(args)
    if args.verb == "recovery":
        from .recovery.verbs import run as run_recovery

        return run_recovery(args)
    from .verbs import run

    return run(args)
