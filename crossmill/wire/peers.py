"""What controllers say to one another."""

from typing import NamedTuple

import orjson

from . import checks

EXTENSION_PATH = "/v1/promise"
OWNED_SHARDS_PATH = "/v1/acting"
ATTESTATION_PATH = "/v1/quiet"
CANCELLATION_PATH = "/v1/ending"


class ExtensionRequest(NamedTuple):
    """A controller that can't renew its lease asks that its shards be left alone."""

    label: str
    shards: tuple[int, ...]


def _shards(data: dict[str, object]) -> tuple[int, ...]:
    shards = data.get("shards")
    if type(shards) is not list or not all(type(s) is int for s in shards):
        raise checks.MalformedMessageError("shards: a list of numbers is needed")
    return tuple(shards)


def extension_request_body(claim: ExtensionRequest) -> bytes:
    """A request for promises."""
    return orjson.dumps(claim._asdict())


def parse_extension_request(body: bytes) -> ExtensionRequest:
    """A request for promises, checked."""
    data = checks.load_object(body)
    return ExtensionRequest(checks.text(data, "label"), _shards(data))


def extension_grant_body(served_ago_s: float | None) -> bytes:
    """How long ago the state service last served whoever promises, if it ever did."""
    return orjson.dumps({"servedAgoS": served_ago_s})


def parse_extension_grant(body: bytes) -> float | None:
    """How long ago the state service last served whoever promises."""
    return checks.optional_amount(checks.load_object(body), "servedAgoS")


def owned_shards_body(shards: list[int]) -> bytes:
    """The shards that a controller acts for or takes."""
    return orjson.dumps({"shards": shards})


def parse_owned_shards(body: bytes) -> tuple[int, ...]:
    """The shards that a controller acts for or takes, checked."""
    return _shards(checks.load_object(body))


def _names(body: bytes, field: str) -> tuple[str, ...]:
    names = checks.load_object(body).get(field)
    if type(names) is not list or not all(type(n) is str for n in names):
        raise checks.MalformedMessageError(f"{field}: a list of names is needed")
    return tuple(names)


def machines_body(machines: list[str]) -> bytes:
    """Machines not heard of: who has kept them alive, and will it be left?"""
    return orjson.dumps({"machines": machines})


def parse_machines(body: bytes) -> tuple[str, ...]:
    """The machines that are asked about."""
    return _names(body, "machines")


def attestations_body(quiet_s: list[float]) -> bytes:
    """For each machine asked about, how long it has not been answered for certain."""
    return orjson.dumps({"quietS": quiet_s})


def parse_attestations(body: bytes) -> list[float]:
    """For how long each machine has certainly not been answered."""
    spans = checks.load_object(body).get("quietS")
    if type(spans) is not list or not all(type(s) in (int, float) and s >= 0 for s in spans):
        raise checks.MalformedMessageError("quietS: a list of times is needed")
    return [float(s) for s in spans]


def cancellation_body(job: str) -> bytes:
    """A job about to be withdrawn."""
    return orjson.dumps({"jobs": [job]})


def parse_cancellations(body: bytes) -> tuple[str, ...]:
    """The jobs that are about to be cancelled."""
    return _names(body, "jobs")
