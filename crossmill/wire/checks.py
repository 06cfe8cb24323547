"""Checks of untrusted JSON values shared by every message."""

import math
from typing import Any

import orjson

U64 = 1 << 64


class MalformedMessageError(ValueError):
    """A message that is not what the protocol says."""


def load_object(body: bytes) -> dict[str, Any]:
    """A JSON object; raises MalformedMessageError."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise MalformedMessageError("not JSON") from exc
    if type(value) is not dict:
        raise MalformedMessageError("not an object")
    return value


def text(data: dict[str, Any], name: str) -> str:
    """A field with a non-empty string; raises MalformedMessageError."""
    value = data.get(name)
    if type(value) is not str or not value:
        raise MalformedMessageError(f"{name}: a non-empty string is needed")
    return value


def optional_text(data: dict[str, Any], name: str) -> str | None:
    """The same, or None if it is null or missing."""
    return None if data.get(name) is None else text(data, name)


def amount(data: dict[str, Any], name: str) -> float:
    """A field with a finite number of at least 0; raises MalformedMessageError."""
    value: Any = data.get(name)
    # bool is an int in Python, and would pass as an amount of one
    if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
        raise MalformedMessageError(f"{name}: an amount of at least 0 is needed")
    return float(value)


def optional_amount(data: dict[str, Any], name: str) -> float | None:
    """The same, or None if it is null or missing."""
    return None if data.get(name) is None else amount(data, name)


def count(data: dict[str, Any], name: str, low: int = 0, high: int = U64 - 1) -> int:
    """A field with a whole number within bounds; raises MalformedMessageError."""
    value = data.get(name)
    if type(value) is not int or not low <= value <= high:
        raise MalformedMessageError(f"{name}: a whole number from {low} to {high} is needed")
    return value


def flag(data: dict[str, Any], name: str) -> bool:
    """A field with true or false; raises MalformedMessageError."""
    value = data.get(name)
    if type(value) is not bool:
        raise MalformedMessageError(f"{name}: true or false is needed")
    return value


def one_of(data: dict[str, Any], name: str, known: dict[str, str]) -> str:
    """What a field's known spelling stands for; raises MalformedMessageError."""
    value = data.get(name)
    if type(value) is not str or value not in known:
        raise MalformedMessageError(f"{name}: one of {', '.join(known)} is needed")
    return known[value]
