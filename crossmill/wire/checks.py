"""Validation of fields of untrusted JSON objects, shared by all messages.

Each function returns the field's value with its type, or raises MalformedMessageError.
"""

import math
from typing import Any, TypeVar

import orjson

# one more than the largest unsigned 64-bit integer
UINT64_LIMIT = 1 << 64

_Value = TypeVar("_Value")


class MalformedMessageError(ValueError):
    """A received message does not have the form that the protocol defines.

    The message of the error is sent to the sender. `field` is the wire name of the invalid field,
    or None if the message as a whole is malformed.
    """

    def __init__(self, problem: str, field: str | None = None) -> None:
        super().__init__(problem if field is None else f"{field}: {problem}")
        self.field = field


def load_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body; raise MalformedMessageError if it is not one."""
    try:
        value = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise MalformedMessageError("not JSON") from exc
    if type(value) is not dict:
        raise MalformedMessageError("not an object")
    return value


def text(data: dict[str, Any], name: str) -> str:
    """Return the value of a field, a non-empty string."""
    value = data.get(name)
    if type(value) is not str or not value:
        raise MalformedMessageError("a non-empty string is needed", name)
    return value


def optional_text(data: dict[str, Any], name: str) -> str | None:
    """Return the value of a field, a non-empty string; None if it is null or missing."""
    return None if data.get(name) is None else text(data, name)


def amount(data: dict[str, Any], name: str) -> float:
    """Return the value of a field, a finite number of at least 0."""
    value: Any = data.get(name)
    # bool is a subclass of int, so isinstance would accept true as 1
    if type(value) not in (int, float) or not math.isfinite(value) or value < 0:
        raise MalformedMessageError("an amount of at least 0 is needed", name)
    return float(value)


def optional_amount(data: dict[str, Any], name: str) -> float | None:
    """Return the value of a field, a finite number of at least 0; None if it is null or missing."""
    return None if data.get(name) is None else amount(data, name)


def count(data: dict[str, Any], name: str, low: int = 0, high: int = UINT64_LIMIT - 1) -> int:
    """Return the value of a field, an integer from `low` to `high`."""
    value = data.get(name)
    if type(value) is not int or not low <= value <= high:
        raise MalformedMessageError(f"a whole number from {low} to {high} is needed", name)
    return value


def flag(data: dict[str, Any], name: str) -> bool:
    """Return the value of a field, true or false."""
    value = data.get(name)
    if type(value) is not bool:
        raise MalformedMessageError("true or false is needed", name)
    return value


def one_of(data: dict[str, Any], name: str, known: dict[str, str]) -> str:
    """Return the internal name of a field's value; `known` maps wire names to internal names."""
    value = data.get(name)
    if type(value) is not str or value not in known:
        raise MalformedMessageError(f"one of {', '.join(known)} is needed", name)
    return known[value]


def list_of(data: dict[str, Any], name: str, kind: type[_Value], description: str) -> list[_Value]:
    """Return the value of a field, a list whose elements are of one JSON type.

    Args:
        data: The message.
        name: The field's name.
        kind: The exact type of the elements.
        description: A plural noun for the elements, used in the error message.
    """
    values: Any = data.get(name)
    # compares the exact type, since bool is a subclass of int
    if type(values) is not list or not all(type(value) is kind for value in values):
        raise MalformedMessageError(f"a list of {description} is needed", name)
    return list(values)
