"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet, one line each as
`test, cause, issue`, three at most. The test command passes over just these, and prints them.
"""

from dataclasses import dataclass
from pathlib import Path

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRedListError(ValueError):
    """The list can't be taken as it is."""


@dataclass(frozen=True, slots=True)
class Entry:
    test: str
    cause: str
    issue: str


def load(path: Path) -> list[Entry]:
    """The entries; an empty or absent file has none."""
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
