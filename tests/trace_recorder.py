"""Recorder that keeps the messages of a run as lines of text, and digests of these lines."""

import hashlib
from collections.abc import Sequence
from typing import NamedTuple

from .trace_adapter import CONTROLLERS
from .trace_messages import Message

DIGEST_CHARACTERS = 16


def _body_text(body: bytes) -> str:
    return body.decode("utf-8", "backslashreplace").replace("\n", "\\n") or "-"


def message_line(message: Message) -> str:
    """Return the message as a line of the trace."""
    responded_at = "-" if message.responded_at is None else f"{message.responded_at:.6f}"
    parts = (
        f"{message.time:.6f}",
        message.direction,
        message.counterpart,
        message.method,
        message.path,
        _body_text(message.body),
        str(message.status),
        _body_text(message.response),
        responded_at,
    )
    return "\t".join(parts)


class TraceRecorder:
    """Keeps the messages of each controller in the order of their requests."""

    def __init__(self) -> None:
        self.messages: dict[str, list[Message]] = {label: [] for label in CONTROLLERS}

    def add(self, controller: str, message: Message) -> None:
        """Add a message; its response is filled in later."""
        self.messages[controller].append(message)

    def lines(self, controller: str) -> list[str]:
        """Return the lines of the controller's trace."""
        return [message_line(message) for message in self.messages[controller]]


class Entry(NamedTuple):
    """The digest and the number of messages of one trace."""

    digest: str
    messages: int


class TraceKey(NamedTuple):
    """The run and the controller that a trace belongs to."""

    scenario: str
    seed: int
    controller: str

    def __str__(self) -> str:
        return f"{self.scenario}-{self.seed}-{self.controller}"


def digest(lines: Sequence[str]) -> str:
    """Return the shortened digest of a trace."""
    text = "\n".join(lines).encode()
    return hashlib.sha256(text).hexdigest()[:DIGEST_CHARACTERS]
