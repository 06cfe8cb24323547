"""What controllers say to one another."""

from dataclasses import asdict, dataclass

import orjson

from . import checks

PROMISE_PATH = "/v1/promise"
ACTING_PATH = "/v1/acting"


@dataclass(frozen=True, slots=True)
class Claim:
    """A controller that can't renew its lease asks that its shards be left alone."""

    label: str
    shards: tuple[int, ...]


def _shards(data: dict[str, object]) -> tuple[int, ...]:
    shards = data.get("shards")
    if type(shards) is not list or not all(type(s) is int for s in shards):
        raise checks.Malformed("shards: a list of numbers is needed")
    return tuple(shards)


def claim_body(claim: Claim) -> bytes:
    return orjson.dumps(asdict(claim))


def parse_claim(body: bytes) -> Claim:
    data = checks.load_object(body)
    return Claim(checks.text(data, "label"), _shards(data))


def promise_body(served_ago_s: float | None) -> bytes:
    """How long ago the state service last served whoever promises, if it ever did."""
    return orjson.dumps({"servedAgoS": served_ago_s})


def parse_promise(body: bytes) -> float | None:
    return checks.optional_amount(checks.load_object(body), "servedAgoS")


def acting_body(shards: list[int]) -> bytes:
    return orjson.dumps({"shards": shards})


def parse_acting(body: bytes) -> tuple[int, ...]:
    return _shards(checks.load_object(body))
