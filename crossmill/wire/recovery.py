"""Messages between operators and controllers about recoveries.

They are not part of PROTOCOL; docs/recovery-operations.md describes them. The named tuples are
encoded with their field names, so the fields can't be renamed.
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
    """The report of a shard's open circuit breaker, also stored in this form.

    Attributes:
        shard: The number of the shard.
        token: The fencing token under which the recovery began.
        digest: The identifier of the blocked actions.
        stops: Unapproved orders to stop a task.
        restarts: Unapproved orders to start a planned task that its worker does not run.
        releases: Unapproved releases of machines.
        tasks_known: Tasks that are planned on or reported by machines that have reported.
        machines_known: Machines of the shard.
    """

    shard: int
    token: int
    digest: str
    stops: int
    restarts: int
    releases: int
    tasks_known: int
    machines_known: int


class PhaseReport(NamedTuple):
    """The state of a recovery in progress on the responding controller."""

    shard: int
    token: int
    phase: str
    # a text that describes what the phase waits for
    waits_for: str
    # whether the circuit breaker is open
    is_braked: bool
    # whether nothing is delayed, and `is_braked` only shows whether the breaker would block
    is_dry_run: bool


def approval_body(approval: Approval) -> bytes:
    """Encode an operator's approval."""
    return orjson.dumps(approval._asdict())


def parse_approval(body: bytes) -> Approval:
    """Parse an operator's approval; raise MalformedMessageError if it is invalid."""
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
    """Encode the overview for operators, indented for readability.

    Args:
        controller: the label of the responding controller
        phases: the recoveries in progress on that controller
        breakers: the reports of the open circuit breakers of all shards
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
    """Encode the reason for rejecting a request."""
    return orjson.dumps({"error": text})
