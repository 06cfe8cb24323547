from typing import Any

import pytest

from crossmill.wire.checks import MalformedMessageError, load_object
from crossmill.wire.users import parse_submission
from crossmill.wire.workers import (
    MAX_ORDERS,
    Command,
    answer_body,
    cached_task_status_reader,
    commands_body,
    parse_heartbeat,
)

from .builders import heartbeat_body, reported_task, submission


@pytest.mark.parametrize(
    "change",
    [
        {"nameId": "wk-1"},
        {"nameId": "job-000001"},
        {"sacks": 0},
        {"sacks": 100_001},
        {"sacks": True},
        {"sacks": 2.0},
        {"cpus": -1.0},
        {"cpus": True},
        {"cpus": "4"},
        {"cut": "pile"},
        {"precedence": "urgent"},
        {"frames": []},
        {"frames": ["g4", 3]},
        {"yard": 3},
        {"spread": 1},
        {"dueS": -1},
        {"crew": ""},
    ],
)
def test_invalid_fields_are_malformed(change: dict[str, Any]) -> None:
    with pytest.raises(MalformedMessageError):
        parse_submission(submission(**change))


@pytest.mark.parametrize("field", sorted(set(submission()) - {"frames", "yard", "dueS"}))
def test_missing_fields_are_malformed(field: str) -> None:
    data = submission()
    del data[field]
    with pytest.raises(MalformedMessageError):
        parse_submission(data)


def test_nullable_fields_may_be_missing_and_unknown_ones_stand() -> None:
    data = submission(novel=[1])
    for field in ("frames", "yard", "dueS"):
        del data[field]
    spec = parse_submission(data).spec
    assert (spec.types, spec.zone, spec.deadline_s) == (None, None, None)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'"x"', b'{"cpus": NaN}', b"\xff{}"])
def test_bodies_that_are_no_objects(body: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        load_object(body)


def test_report_and_orders_keep_wire_spellings_out() -> None:
    report = parse_heartbeat(
        load_object(
            heartbeat_body("n-1", 2, 7, 41, reported_task("wk-1", 3, 2, "exited", "halted"))
        )
    )
    task = report.tasks[0]
    assert (task.job, task.index, task.attempt, task.why) == ("wk-1", 3, 2, "stopped")
    assert load_object(answer_body(41, [Command("forget", "wk-1/3", 2)])) == {
        "warrant": 41,
        "orders": [{"verb": "reap", "sack": "wk-1/3", "turn": 2}],
    }


def test_the_largest_answer_fits_the_line_limit() -> None:
    """Answers to a worker may have no line over 64 KiB."""
    longest = Command("stop", "wk-" + "9" * 18 + "/99999", 2**64 - 1, 123456.789)
    assert len(answer_body(2**64 - 1, [longest] * MAX_ORDERS)) < 64 * 1024
    assert len(commands_body(2**64 - 1, 2**64 - 1, [longest] * MAX_ORDERS)) < 64 * 1024


@pytest.mark.parametrize(
    "change", [{"turn": True}, {"turn": 1.0}, {"turn": [1]}, {"stage": {}}, {"cause": []}]
)
def test_a_kept_task_report_stands_for_no_other(change: dict[str, Any]) -> None:
    # guards against a table of kept reports taking true, or 1.0, for the 1 that it holds
    task = reported_task("wk-000001", 0, 1, "running")
    read = cached_task_status_reader(8)
    kept = parse_heartbeat(load_object(heartbeat_body("n-0", 1, 1, 1, task)), read)
    again = parse_heartbeat(load_object(heartbeat_body("n-0", 1, 2, 1, task)), read)
    assert again.tasks[0] is kept.tasks[0]
    with pytest.raises(MalformedMessageError):
        parse_heartbeat(load_object(heartbeat_body("n-0", 1, 3, 1, {**task, **change})), read)
