"""Comparison of traces and of their digests."""

from collections.abc import Iterator, Sequence
from itertools import zip_longest
from pathlib import Path
from typing import NamedTuple

from .trace_recorder import Entry


class Difference(NamedTuple):
    """The first line in which two traces of one controller differ.

    `before` or `after` is None if that trace has ended before this line.
    """

    file: str
    line: int
    before: str | None
    after: str | None

    def time(self) -> float:
        """Return the earlier of the two lines' virtual times."""
        return min(
            float(line.partition("\t")[0]) for line in (self.before, self.after) if line is not None
        )


def first_differing_line(
    file: str, before: Sequence[str], after: Sequence[str]
) -> Difference | None:
    """Return the first line in which two traces of one controller differ."""
    for number, (before_line, after_line) in enumerate(zip_longest(before, after), start=1):
        if before_line != after_line:
            return Difference(file, number, before_line, after_line)
    return None


def _read_lines(path: Path) -> list[str]:
    return path.read_text().splitlines() if path.exists() else []


def first_difference(before: Path, after: Path) -> Difference | None:
    """Return the first difference between two folders of traces.

    Of the first scenario and seed that differ, this is the difference with the earliest virtual
    time over all controllers.
    """
    names = sorted({path.name for folder in (before, after) for path in folder.glob("*.txt")})
    differences_by_run: dict[str, list[Difference]] = {}
    for name in names:
        difference = first_differing_line(
            name, _read_lines(before / name), _read_lines(after / name)
        )
        if difference is not None:
            run = "-".join(name.split("-")[:2])
            differences_by_run.setdefault(run, []).append(difference)
    if not differences_by_run:
        return None
    return min(differences_by_run[min(differences_by_run)], key=Difference.time)


def digest_differences(stored: dict[str, Entry], recorded: dict[str, Entry]) -> Iterator[str]:
    """Yield a line for each recorded digest that is not stored or differs from the stored one."""
    for key, entry in recorded.items():
        if key not in stored:
            yield f"{key}: not stored"
        elif stored[key] != entry:
            yield f"{key}: stored {stored[key]}, recorded {entry}"
