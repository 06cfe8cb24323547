"""Messages between controllers.

PROTOCOL leaves them to the service (section "Controller nodes <-> controller nodes");
docs/safety.md
says what they are for. The paths and field names are part of the interface between versions.
"""

from typing import NamedTuple

import orjson

from . import checks

EXTENSION_PATH = "/v1/promise"
OWNED_SHARDS_PATH = "/v1/acting"
ATTESTATION_PATH = "/v1/quiet"
CANCELLATION_PATH = "/v1/ending"


class ExtensionRequest(NamedTuple):
    """A request of a controller that can't renew its lease: peers should not acquire its shards."""

    label: str
    shards: tuple[int, ...]


def _parse_shards(data: dict[str, object]) -> tuple[int, ...]:
    return tuple(checks.list_of(data, "shards", int, "numbers"))


def extension_request_body(request: ExtensionRequest) -> bytes:
    """Encodes a request for a lease extension."""
    return orjson.dumps(request._asdict())


def parse_extension_request(body: bytes) -> ExtensionRequest:
    """Parses a request for a lease extension; raises MalformedMessageError."""
    data = checks.load_object(body)
    return ExtensionRequest(checks.text(data, "label"), _parse_shards(data))


def extension_grant_body(served_ago_s: float | None) -> bytes:
    """Encodes the grant of a lease extension.

    Args:
        served_ago_s: seconds since the state service last served the granting controller; None if
            it never did
    """
    return orjson.dumps({"servedAgoS": served_ago_s})


def parse_extension_grant(body: bytes) -> float | None:
    """Returns how long ago the state service last served the granting controller, in seconds.

    Raises:
        MalformedMessageError: if the body is no grant.
    """
    return checks.optional_amount(checks.load_object(body), "servedAgoS")


def owned_shards_body(shards: list[int]) -> bytes:
    """Encodes the shards that a controller owns or is acquiring."""
    return orjson.dumps({"shards": shards})


def parse_owned_shards(body: bytes) -> tuple[int, ...]:
    """Returns the shards that a controller owns or is acquiring; raises MalformedMessageError."""
    return _parse_shards(checks.load_object(body))


def attestation_request_body(machines: list[str]) -> bytes:
    """Encodes a request for attestations: since when has nobody answered these machines?"""
    return orjson.dumps({"machines": machines})


def parse_attestation_request(body: bytes) -> tuple[str, ...]:
    """Returns the machines that a request for attestations names; raises MalformedMessageError."""
    return tuple(checks.list_of(checks.load_object(body), "machines", str, "names"))


def attestations_body(unanswered_s: list[float]) -> bytes:
    """Encodes, for each machine asked about, for how many seconds it was certainly not answered."""
    return orjson.dumps({"quietS": unanswered_s})


def parse_attestations(body: bytes) -> list[float]:
    """Returns, for each machine, for how many seconds it was certainly not answered.

    Raises:
        MalformedMessageError: if the body contains no list of spans.
    """
    spans_s = checks.load_object(body).get("quietS")
    if type(spans_s) is not list or not all(_is_time_span(span_s) for span_s in spans_s):
        raise checks.MalformedMessageError("a list of times is needed", "quietS")
    return [float(span_s) for span_s in spans_s]


def _is_time_span(value: object) -> bool:
    return type(value) in (int, float) and value >= 0  # type: ignore[operator]


def cancellation_body(job: str) -> bytes:
    """Encodes the announcement that a job is about to be cancelled."""
    return orjson.dumps({"jobs": [job]})


def parse_cancellations(body: bytes) -> tuple[str, ...]:
    """Returns the jobs that are about to be cancelled; raises MalformedMessageError."""
    return tuple(checks.list_of(checks.load_object(body), "jobs", str, "names"))
