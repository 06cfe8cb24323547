"""Parsing of submissions and heartbeats, and encoding of responses and commands to workers."""

from typing import Any

import pytest

from crossmill.wire.checks import MalformedMessageError, load_object
from crossmill.wire.users import parse_submission
from crossmill.wire.workers import (
    MAX_COMMANDS,
    Command,
    CommandKind,
    cached_task_status_reader,
    commands_body,
    heartbeat_response_body,
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
def test_an_invalid_field_of_a_submission_is_malformed(change: dict[str, Any]) -> None:
    with pytest.raises(MalformedMessageError):
        parse_submission(submission(**change))


@pytest.mark.parametrize("field", sorted(set(submission()) - {"frames", "yard", "dueS"}))
def test_a_missing_field_of_a_submission_is_malformed(field: str) -> None:
    data = submission()
    del data[field]
    with pytest.raises(MalformedMessageError):
        parse_submission(data)


def test_nullable_fields_may_be_missing_and_unknown_ones_are_ignored() -> None:
    data = submission(novel=[1])
    for field in ("frames", "yard", "dueS"):
        del data[field]
    spec = parse_submission(data).spec
    assert (spec.types, spec.zone, spec.deadline_s) == (None, None, None)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'"x"', b'{"cpus": NaN}', b"\xff{}"])
def test_a_body_that_is_not_an_object_is_malformed(body: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        load_object(body)


def test_heartbeats_and_commands_use_internal_names() -> None:
    heartbeat = parse_heartbeat(
        load_object(
            heartbeat_body("n-1", 2, 7, 41, reported_task("wk-1", 3, 2, "exited", "halted"))
        )
    )
    task = heartbeat.tasks[0]
    assert (task.job, task.index, task.attempt, task.exit_reason) == ("wk-1", 3, 2, "stopped")
    assert load_object(heartbeat_response_body(41, [Command(CommandKind.FORGET, "wk-1/3", 2)])) == {
        "warrant": 41,
        "orders": [{"verb": "reap", "sack": "wk-1/3", "turn": 2}],
    }


def test_the_longest_response_fits_the_line_limit() -> None:
    """PROTOCOL limits a line of a response to a worker to 64 KiB."""
    longest = Command(CommandKind.STOP, "wk-" + "9" * 18 + "/99999", 2**64 - 1, 123456.789)
    assert len(heartbeat_response_body(2**64 - 1, [longest] * MAX_COMMANDS)) < 64 * 1024
    assert len(commands_body(2**64 - 1, 2**64 - 1, [longest] * MAX_COMMANDS)) < 64 * 1024


@pytest.mark.parametrize(
    "change", [{"turn": True}, {"turn": 1.0}, {"turn": [1]}, {"stage": {}}, {"cause": []}]
)
def test_a_cached_task_status_is_not_used_for_another_task(change: dict[str, Any]) -> None:
    # true and 1.0 are equal to the cached 1 in Python, but malformed
    task = reported_task("wk-000001", 0, 1, "running")
    read = cached_task_status_reader(8)
    cached = parse_heartbeat(load_object(heartbeat_body("n-0", 1, 1, 1, task)), read)
    again = parse_heartbeat(load_object(heartbeat_body("n-0", 1, 2, 1, task)), read)
    assert again.tasks[0] is cached.tasks[0]
    with pytest.raises(MalformedMessageError):
        parse_heartbeat(load_object(heartbeat_body("n-0", 1, 3, 1, {**task, **change})), read)
