"""Messages between operators and controllers about recoveries.

They are not part of PROTOCOL; docs/recovery-operations.md describes them. The fields of the named
tuples are the fields of the messages, so they keep their names.
"""

from typing import NamedTuple

import orjson

from . import checks

RECOVERY_PATH = "/recovery"
APPROVE_PATH = RECOVERY_PATH + "/approve"


class Approval(NamedTuple):
    """An operator's approval of exactly the actions that the digest identifies."""

    shard: int
    digest: str


class BreakerReport(NamedTuple):
    """What the open circuit breaker of a shard holds back; also stored in this form."""

    shard: int
    token: int
    digest: str
    stops: int
    restarts: int
    releases: int
    tasks_known: int
    machines_known: int


class PhaseReport(NamedTuple):
    """The state of a recovery in progress on the answering controller."""

    shard: int
    token: int
    phase: str
    waits_for: str
    is_braked: bool
    # whether nothing is withheld, and `is_braked` only says what would be
    is_dry_run: bool


def approval_body(approval: Approval) -> bytes:
    """Encodes an operator's approval."""
    return orjson.dumps(approval._asdict())


def parse_approval(body: bytes) -> Approval:
    """Parses an operator's approval; raises MalformedMessageError."""
    data = checks.load_object(body)
    shard = data.get("shard")
    if type(shard) is not int or shard < 0:
        raise checks.MalformedMessageError("a number is needed", "shard")
    return Approval(shard, checks.text(data, "digest"))


def overview_body(
    controller: str,
    phases: list[PhaseReport],
    breakers: list[BreakerReport],
    records: list[dict[str, object]],
) -> bytes:
    """Encodes the overview for operators, indented to be read.

    Args:
        controller: the label of the answering controller
        phases: the recoveries in progress on it
        breakers: the open circuit breakers of all shards
        records: the stored records of past recoveries
    """
    return orjson.dumps(
        {
            "controller": controller,
            "recovering": [phase._asdict() for phase in phases],
            "braked": [report._asdict() for report in breakers],
            "records": records,
        },
        option=orjson.OPT_INDENT_2,
    )


def error_body(text: str) -> bytes:
    """Encodes the reason why a request was refused."""
    return orjson.dumps({"error": text})
