"""Tests of the behaviour trace itself.

Two runs of a seed give the same trace, and a deliberately changed decision is detected and its
first difference found.
"""

from collections import Counter
from pathlib import Path

import pytest

from .trace_adapter import CONTROLLERS, changed_placement
from .trace_comparison import digest_differences, first_difference
from .trace_recorder import Entry, TraceKey, TraceRecorder, digest
from .trace_scenarios import play_quick

SEED = 1

Lines = dict[str, list[str]]


def _record_traces() -> Lines:
    recorder = TraceRecorder()
    play_quick(recorder, Counter(), SEED)
    return {label: recorder.lines(label) for label in CONTROLLERS}


def _digests(lines: Lines) -> dict[str, Entry]:
    return {label: Entry(digest(rows), len(rows)) for label, rows in lines.items()}


def _write_traces(folder: Path, lines: Lines) -> Path:
    folder.mkdir()
    for label, rows in lines.items():
        (folder / f"{TraceKey('quick', SEED, label)}.txt").write_text("\n".join(rows) + "\n")
    return folder


@pytest.fixture(scope="module")
def lines() -> Lines:
    return _record_traces()


@pytest.fixture(scope="module")
def changed_lines() -> Lines:
    with changed_placement():
        return _record_traces()


def test_the_trace_has_messages_of_every_kind(lines: Lines) -> None:
    fields = [line.split("\t") for rows in lines.values() for line in rows]
    message_kinds = {(field[1], field[2].partition(":")[0]) for field in fields}
    assert message_kinds >= {
        ("sent", "state"),
        ("sent", "peer"),
        ("sent", "worker"),
        ("received", "peer"),
        ("received", "heartbeat"),
        ("received", "user"),
    }


def test_two_runs_of_a_seed_agree(lines: Lines) -> None:
    assert _record_traces() == lines


def test_a_changed_decision_changes_the_digest(lines: Lines, changed_lines: Lines) -> None:
    differences = list(digest_differences(_digests(lines), _digests(changed_lines)))
    assert differences
    assert not list(digest_differences(_digests(lines), _digests(lines)))


def test_a_trace_that_is_not_stored_is_a_difference(lines: Lines) -> None:
    assert len(list(digest_differences({}, _digests(lines)))) == len(CONTROLLERS)


def test_the_first_difference_is_found(tmp_path: Path, lines: Lines, changed_lines: Lines) -> None:
    before = _write_traces(tmp_path / "before", lines)
    after = _write_traces(tmp_path / "after", changed_lines)
    difference = first_difference(before, after)
    assert difference is not None
    label = difference.file.removeprefix(f"quick-{SEED}-").removesuffix(".txt")
    index = difference.line - 1
    assert lines[label][:index] == changed_lines[label][:index]
    assert difference.before == lines[label][index] != changed_lines[label][index]
    # the changed decision is a placement, which the shard's owner first writes to the state service
    assert difference.before.split("\t")[1:5] == ["sent", "state", "POST", "/txn"]
    assert first_difference(before, before) is None


def test_a_trace_that_ended_earlier_differs_there(tmp_path: Path, lines: Lines) -> None:
    shorter = {label: rows[:-1] for label, rows in lines.items()}
    difference = first_difference(
        _write_traces(tmp_path / "whole", lines), _write_traces(tmp_path / "part", shorter)
    )
    assert difference is not None
    assert difference.after is None
