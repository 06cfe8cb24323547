"""What operators and controllers say about recoveries."""

from typing import NamedTuple

import orjson

from . import checks

RECOVERY_PATH = "/recovery"
APPROVE_PATH = RECOVERY_PATH + "/approve"


class Approval(NamedTuple):
    """An operator lets a braked shard go on with exactly what the digest names."""

    shard: int
    digest: str


class BrakedReport(NamedTuple):
    """What a shard would do, and does not."""

    shard: int
    token: int
    digest: str
    stops: int
    restarts: int
    releases: int
    tasks_known: int
    machines_known: int


class PhaseReport(NamedTuple):
    """Where the recovery of a shard that the answering controller owns is."""

    shard: int
    token: int
    phase: str
    waits_for: str
    is_braked: bool
    # whether all is let through, and this is only what would be
    is_dry_run: bool


def approval_body(approval: Approval) -> bytes:
    """A request of an operator."""
    return orjson.dumps(approval._asdict())


def parse_approval(body: bytes) -> Approval:
    """A request of an operator, checked; raises MalformedMessageError."""
    data = checks.load_object(body)
    shard = data.get("shard")
    if type(shard) is not int or shard < 0:
        raise checks.MalformedMessageError("shard: a number is needed")
    return Approval(shard, checks.text(data, "digest"))


def overview_body(
    controller: str,
    phases: list[PhaseReport],
    braked: list[BrakedReport],
    records: list[dict[str, object]],
) -> bytes:
    """What an operator is shown."""
    return orjson.dumps(
        {
            "controller": controller,
            "recovering": [phase._asdict() for phase in phases],
            "braked": [report._asdict() for report in braked],
            "records": records,
        },
        option=orjson.OPT_INDENT_2,
    )


def error_body(text: str) -> bytes:
    """Why a request was refused."""
    return orjson.dumps({"error": text})
