"""Reads KNOWN-RED.txt, the list of tests that fail because of a real fault not fixed yet.

Entries are separated by blank lines. Each has four lines of the form `key: value`, in any order:

    test: tests/test_random_faults.py::test_region[7]
    command: python -m tests.behavior_trace --seed 7
    seen: two controllers owned shard 1 for 0.4 s, in 3 of 40 runs
    issue: 12

`test` is the exact node ID as pytest prints it, with its parameters. `command` reproduces the
failure and includes the seed if there is one. `seen` describes the observed failure. `issue` is
the number of the open issue. There is no limit on the number of entries.

The test command (tests/__main__.py) loads this module as a pytest plugin, which deselects exactly
the listed tests, and then runs each of them on its own.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import groupby
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
KEYS = ("test", "command", "seen", "issue")
MAX_LINE_LENGTH = 200
# the path starts with no hyphen, so that pytest can't take the node ID for an option
NODE_ID = re.compile(r"[\w./][\w./-]*\.py::\S.*")
ISSUE_NUMBER = re.compile(r"[1-9][0-9]*")


class KnownRedListError(ValueError):
    """KNOWN-RED.txt is malformed; the message names the file, the entry and the field."""

    def __init__(self, entry: str, field: str, problem: str) -> None:
        super().__init__(f"{FILE}: {entry}: {field}: {problem}")


@dataclass(frozen=True, slots=True)
class Entry:
    """A listed test.

    Attributes:
        test: The test's node ID.
        command: The command that reproduces the failure, with its seed.
        seen: The observed failure.
        issue: The number of the open issue.
    """

    test: str
    command: str
    seen: str
    issue: str


def load(path: Path) -> list[Entry]:
    """Return the entries; an empty or absent file has none.

    Raises:
        KnownRedListError: The list is malformed.
    """
    text = path.read_text() if path.exists() else ""
    entries: list[Entry] = []
    for number, lines in enumerate(_split_entries(text), start=1):
        name = f"entry {number}"
        entry = _parse_entry(name, lines)
        if any(entry.test == other.test for other in entries):
            raise KnownRedListError(name, "test", f"{entry.test} is listed twice")
        entries.append(entry)
    return entries


def _split_entries(text: str) -> Iterator[list[str]]:
    """Yield the lines of each entry."""
    for is_blank, lines in groupby(text.splitlines(), key=lambda line: not line.strip()):
        if not is_blank:
            yield list(lines)


def _parse_entry(name: str, lines: list[str]) -> Entry:
    """Parse the lines of an entry; `name` stands for it in errors."""
    fields: dict[str, str] = {}
    for line in lines:
        key, _, value = line.partition(":")
        if key not in KEYS:
            raise KnownRedListError(name, repr(key), f"unknown key; allowed: {', '.join(KEYS)}")
        if key in fields:
            raise KnownRedListError(name, key, "given more than once")
        if len(line) > MAX_LINE_LENGTH:
            problem = f"line of {len(line)} characters; at most {MAX_LINE_LENGTH} are allowed"
            raise KnownRedListError(name, key, problem)
        fields[key] = value.strip()
    for key in KEYS:
        if not fields.get(key):
            raise KnownRedListError(name, key, "missing or empty")
    if NODE_ID.fullmatch(fields["test"]) is None:
        problem = f"not a pytest node ID (PATH.py::NAME): {fields['test']!r}"
        raise KnownRedListError(name, "test", problem)
    if ISSUE_NUMBER.fullmatch(fields["issue"]) is None:
        raise KnownRedListError(name, "issue", f"not an issue number: {fields['issue']!r}")
    return Entry(**fields)


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the listed tests, as a hook of pytest.

    The option `--deselect` would also deselect every test whose node ID only starts with a listed
    one: `test_a` would deselect `test_ab`.
    """
    listed = {entry.test for entry in load(config.rootpath / FILE)}
    deselected = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)
