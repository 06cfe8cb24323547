"""The client verbs about jobs."""

import argparse
from collections.abc import Sequence

import orjson

from .client_command import ClientRequest, UsageError, read_input, run_subcommand
from .wire.checks import MalformedMessageError, load_object
from .wire.users import CANCEL_ACTION, DEPENDENCIES_FIELD, JOBS_PATH


def with_dependencies(body: bytes, dependencies: Sequence[str]) -> bytes:
    """The submission with these jobs added to its dependencies.

    Raises MalformedMessageError if the body is not a JSON object.
    """
    if not dependencies:
        return body
    data = load_object(body)
    data[DEPENDENCIES_FIELD] = [*(data.get(DEPENDENCIES_FIELD) or ()), *dependencies]
    return orjson.dumps(data)


def _request(args: argparse.Namespace) -> ClientRequest:
    """The request that a verb stands for; raises UsageError."""
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
    """Sends the request of a client verb and prints the response; returns the exit code."""
    return run_subcommand(args, _request)
