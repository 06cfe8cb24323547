"""The client subcommands for jobs: submit, show, cancel."""

import argparse
from collections.abc import Sequence

import orjson

from .client_command import ClientRequest, UsageError, read_input, run_subcommand
from .wire.checks import MalformedMessageError, load_object
from .wire.users import CANCEL_ACTION, DEPENDENCIES_FIELD, JOBS_PATH


def with_dependencies(body: bytes, dependencies: Sequence[str]) -> bytes:
    """Return the submission with these jobs added to its dependencies.

    Raises:
        MalformedMessageError: The body is not a JSON object.
    """
    if not dependencies:
        return body
    data = load_object(body)
    data[DEPENDENCIES_FIELD] = [*(data.get(DEPENDENCIES_FIELD) or ()), *dependencies]
    return orjson.dumps(data)


def _request(args: argparse.Namespace) -> ClientRequest:
    """Return the request of a subcommand; raise UsageError if its input is invalid."""
    if args.subcommand == "submit":
        try:
            body = with_dependencies(read_input(args.file), args.after)
        except MalformedMessageError as exc:
            raise UsageError(f"{args.file}: {exc}") from exc
        return ClientRequest("POST", JOBS_PATH, body)
    if args.subcommand == "show":
        return ClientRequest("GET", f"{JOBS_PATH}/{args.job}")
    return ClientRequest("POST", f"{JOBS_PATH}/{args.job}/{CANCEL_ACTION}")


def run(args: argparse.Namespace) -> int:
    """Send the request of a client subcommand, print the response and return the exit code."""
    return run_subcommand(args, _request)
