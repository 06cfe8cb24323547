"""Reads KNOWN-RED.txt, the list of tests that fail for a real fault which is not fixed yet.

Each line is `test, cause, issue`; three lines at most. The test command (tests/__main__.py)
deselects
just these tests, prints them, and fails if one of them passes.
"""

from dataclasses import dataclass
from pathlib import Path

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRedListError(ValueError):
    """The list has too many lines or a malformed one."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A listed test, why it fails, and the issue that is open for it."""

    test: str
    cause: str
    issue: str


def load(path: Path) -> list[Entry]:
    """Return the entries; an empty or absent file has none.

    Raises:
        KnownRedListError: The list can't be used as it is.
    """
    text = path.read_text() if path.exists() else ""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise KnownRedListError(f"{FILE}: {len(lines)} lines, {MAX_ENTRIES} at most")
    entries = []
    for line in lines:
        test, _, rest = line.partition(",")
        cause, _, issue = rest.rpartition(",")
        entry = Entry(test.strip(), cause.strip(), issue.strip())
        if "::" not in entry.test or not entry.cause or not entry.issue:
            raise KnownRedListError(f"{FILE}: not in the form `test, cause, issue`: {line}")
        entries.append(entry)
    return entries
