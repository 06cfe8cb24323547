"""The command line: parses the arguments and runs the subcommand."""

import logging
import os
import sys
from typing import TYPE_CHECKING, NamedTuple

from .lazy_imports import defer_unused_imports
from .settings import Settings, SettingsError, load

if TYPE_CHECKING:
    from argparse import Namespace

    from .multihost.settings import MultihostSettings
    from .recovery.settings import RecoverySettings

EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2
SERVE_OPTIONS = frozenset({"--config", "--multihost", "--recovery"})
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def _configure_logging() -> str | None:
    """Configure logging from LOG_LEVEL; return the variable's value if it is invalid, else None."""
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        level=LOG_LEVELS.get(name, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
        stream=sys.stderr,
    )
    logging.getLogger("curio").setLevel(logging.ERROR)
    return None if name in LOG_LEVELS else name


def _add_label_to_log_lines(label: str) -> None:
    """Add the controller's label to every log line, so that logs can be merged."""
    for handler in logging.getLogger().handlers:
        line = f"%(asctime)s {label.replace('%', '%%')} %(levelname)s %(name)s %(message)s"
        handler.setFormatter(logging.Formatter(line))


class ServiceArguments(NamedTuple):
    """The arguments of `serve` and `check`: the subcommand and the paths of the settings files."""

    subcommand: str
    config: str
    multihost: str | None = None
    recovery: str | None = None


def _plain_serve_arguments(argv: list[str]) -> ServiceArguments | None:
    """Parse `serve` followed by pairs of option and value; return None for any other form.

    Importing argparse and building its parser takes longer than reading all settings, which delays
    every restart of a controller that has only a small share of a processor.
    """
    if argv[:1] != ["serve"]:
        return None
    names, values = argv[1::2], argv[2::2]
    options = dict(zip(names, values, strict=False))
    is_plain = (
        len(options) == len(names) == len(values)
        and "--config" in options
        and options.keys() <= SERVE_OPTIONS
        and not any(value.startswith("-") for value in values)
    )
    if not is_plain:
        return None
    return ServiceArguments(
        "serve", options["--config"], options.get("--multihost"), options.get("--recovery")
    )


class _LoadedSettings(NamedTuple):
    """The settings of a controller and of its enabled subsystems."""

    settings: Settings
    multihost: "MultihostSettings | None"
    recovery: "RecoverySettings | None"


def _load(args: ServiceArguments) -> _LoadedSettings:
    """Read the settings files given in the arguments.

    A subsystem's modules are imported only if its file is given.

    Raises:
        SettingsError: A file can't be read, or a field is invalid.
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
    """Print the values derived from the settings."""
    settings, multihost, recovery = loaded
    print(f"{settings.label}: {settings.controller_count} controllers, {len(settings.teams)} teams")
    _print_values(
        controller_lease_ttl_s=settings.controller_lease_ttl_s,
        lease_renewal_interval_s=settings.lease_renewal_interval_s,
        worker_lease_expiry_s=settings.worker_lease_expiry_s,
        state_write_rate=settings.state_write_rate,
        cloud_request_rate=settings.cloud_request_rate,
    )
    if multihost is not None:
        print(f"multi-machine replicas on {multihost.listen.host}:{multihost.listen.port}")
        _print_values(
            heartbeat_interval_s=multihost.heartbeat_interval_s,
            failure_detection_s=multihost.failure_detection_s,
            serving_lease_s=multihost.serving_lease_s,
            agent_lease_s=multihost.agent_lease_s,
        )
    if recovery is not None:
        kind = "recovery, dry run" if recovery.dry_run else "recovery"
        print(f"{kind}, circuit breaker at {recovery.brake_share:g} of the known tasks or machines")
        _print_values(
            observe_s=recovery.observe_s,
            shard_orders_per_s=recovery.shard_orders_per_s,
            worker_orders_per_s=recovery.worker_orders_per_s,
        )


def _print_values(**values: float) -> None:
    for name, value in values.items():
        print(f"  {name} = {value:.3f}")


def _serve(loaded: _LoadedSettings) -> None:
    _add_label_to_log_lines(loaded.settings.label)
    defer_unused_imports()
    from .app import serve

    serve(*loaded)


def _run_with_settings(args: ServiceArguments) -> int:
    """Run `serve` or `check`; if the settings are invalid, print one line with the reason."""
    try:
        loaded = _load(args)
    except SettingsError as exc:
        print(f"crossmill: {exc}", file=sys.stderr)
        return EXIT_USAGE_ERROR
    if args.subcommand == "serve":
        _serve(loaded)
    else:
        _check(loaded)
    return 0


def _compile() -> int:
    """Write the bytecode cache and return the exit code."""
    from .bytecode import CacheNotWrittenError, write_bytecode

    try:
        print(
            f"bytecode of {write_bytecode()} modules in {sys.pycache_prefix or 'their own folders'}"
        )
    except CacheNotWrittenError as exc:
        print(f"crossmill: bytecode cache not written: {exc}", file=sys.stderr)
        return EXIT_FAILURE
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the subcommand given in the arguments and return its exit code."""
    argv = sys.argv[1:] if argv is None else argv
    serve_arguments = _plain_serve_arguments(argv)
    if serve_arguments is not None:
        return _initialize_logging() or _run_with_settings(serve_arguments)
    from .arguments import parse

    args = parse(argv)
    return _initialize_logging() or _run(args)


def _run(args: "Namespace") -> int:
    """Run a subcommand, importing only the modules that it needs, and return its exit code."""
    if args.subcommand in ("serve", "check"):
        paths = ServiceArguments(args.subcommand, args.config, args.multihost, args.recovery)
        return _run_with_settings(paths)
    if args.subcommand == "compile":
        return _compile()
    if args.subcommand == "replicas":
        from .multihost.subcommands import run as run_replicas

        return run_replicas(args)
    if args.subcommand == "recovery":
        from .recovery.subcommands import run as run_recovery

        return run_recovery(args)
    from .client_subcommands import run

    return run(args)


def _initialize_logging() -> int:
    """Configure logging; if LOG_LEVEL is invalid, print an error and return EXIT_USAGE_ERROR."""
    invalid_level = _configure_logging()
    if invalid_level is None:
        return 0
    print(f"LOG_LEVEL: {invalid_level!r} is not one of {', '.join(LOG_LEVELS)}", file=sys.stderr)
    return EXIT_USAGE_ERROR
