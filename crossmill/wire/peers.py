"""Messages between controllers.

PROTOCOL does not define them (section "Controller nodes <-> controller nodes"); docs/safety.md
explains their purpose. Controllers of different versions exchange them, so the paths and field
names must stay compatible.
"""

from typing import NamedTuple

import orjson

from . import checks

EXTENSION_PATH = "/v1/promise"
OWNED_SHARDS_PATH = "/v1/acting"
ATTESTATION_PATH = "/v1/quiet"
CANCELLATION_PATH = "/v1/ending"


class ExtensionRequest(NamedTuple):
    """A request to peers not to acquire the shards of a controller that can't renew its lease."""

    label: str
    shards: tuple[int, ...]


def _parse_shards(data: dict[str, object]) -> tuple[int, ...]:
    return tuple(checks.list_of(data, "shards", int, "numbers"))


def extension_request_body(request: ExtensionRequest) -> bytes:
    """Encode a request for a lease extension."""
    return orjson.dumps(request._asdict())


def parse_extension_request(body: bytes) -> ExtensionRequest:
    """Parse a request for a lease extension; raise MalformedMessageError if it is invalid."""
    data = checks.load_object(body)
    return ExtensionRequest(checks.text(data, "label"), _parse_shards(data))


def extension_grant_body(served_ago_s: float | None) -> bytes:
    """Encode the grant of a lease extension.

    Args:
        served_ago_s: Seconds since the state service last served the granting controller; None if
            it never did.
    """
    return orjson.dumps({"servedAgoS": served_ago_s})


def parse_extension_grant(body: bytes) -> float | None:
    """Return the seconds since the state service last served the granting controller.

    None if it never did.

    Raises:
        MalformedMessageError: The body is not a grant.
    """
    return checks.optional_amount(checks.load_object(body), "servedAgoS")


def owned_shards_body(shards: list[int]) -> bytes:
    """Encode the shards that a controller owns or is acquiring."""
    return orjson.dumps({"shards": shards})


def parse_owned_shards(body: bytes) -> tuple[int, ...]:
    """Return the shards that a controller owns or is acquiring.

    Raises:
        MalformedMessageError: The body has no list of shards.
    """
    return _parse_shards(checks.load_object(body))


def attestation_request_body(machines: list[str]) -> bytes:
    """Encode a request to a peer to attest how long it has not responded to these machines."""
    return orjson.dumps({"machines": machines})


def parse_attestation_request(body: bytes) -> tuple[str, ...]:
    """Return the machines in a request for attestations.

    Raises:
        MalformedMessageError: The body has no list of machines.
    """
    return tuple(checks.list_of(checks.load_object(body), "machines", str, "names"))


def attestations_body(without_response_s: list[float]) -> bytes:
    """Encode the attestations.

    Args:
        without_response_s: For each requested machine, the seconds for which the controller has
            certainly not responded to it.
    """
    return orjson.dumps({"quietS": without_response_s})


def parse_attestations(body: bytes) -> list[float]:
    """Return, for each requested machine, the seconds for which it certainly got no response.

    Raises:
        MalformedMessageError: The body has no list of time spans.
    """
    spans_s = checks.load_object(body).get("quietS")
    if type(spans_s) is not list or not all(_is_time_span(span_s) for span_s in spans_s):
        raise checks.MalformedMessageError("a list of times is needed", "quietS")
    return [float(span_s) for span_s in spans_s]


def _is_time_span(value: object) -> bool:
    return type(value) in (int, float) and value >= 0  # type: ignore[operator]


def cancellation_body(job: str) -> bytes:
    """Encode the announcement that a job is about to be cancelled."""
    return orjson.dumps({"jobs": [job]})


def parse_cancellations(body: bytes) -> tuple[str, ...]:
    """Return the jobs that are about to be cancelled.

    Raises:
        MalformedMessageError: The body has no list of jobs.
    """
    return tuple(checks.list_of(checks.load_object(body), "jobs", str, "names"))
