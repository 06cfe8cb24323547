"""Compares traces and digests, and finds the first difference."""

from collections.abc import Iterator, Sequence
from itertools import zip_longest
from pathlib import Path
from typing import NamedTuple

from .trace_recorder import Entry


class Difference(NamedTuple):
    """The first line in which two traces of one controller differ; None where one has ended."""

    file: str
    line: int
    before: str | None
    after: str | None

    def time(self) -> float:
        """The earlier of the two lines' times."""
        return min(float(t.partition("\t")[0]) for t in (self.before, self.after) if t is not None)


def first_difference_of(
    file: str, before: Sequence[str], after: Sequence[str]
) -> Difference | None:
    """The first line in which two traces differ."""
    for number, (one, other) in enumerate(zip_longest(before, after), start=1):
        if one != other:
            return Difference(file, number, one, other)
    return None


def _read_lines(path: Path) -> list[str]:
    return path.read_text().splitlines() if path.exists() else []


def first_difference(before: Path, after: Path) -> Difference | None:
    """The earliest difference, by virtual time, of the first scenario and seed that differ."""
    names = sorted({path.name for top in (before, after) for path in top.glob("*.txt")})
    found: dict[str, list[Difference]] = {}
    for name in names:
        difference = first_difference_of(
            name, _read_lines(before / name), _read_lines(after / name)
        )
        if difference is not None:
            run = "-".join(name.split("-")[:2])
            found.setdefault(run, []).append(difference)
    if not found:
        return None
    return min(found[min(found)], key=Difference.time)


def compare(stored: dict[str, Entry], taken: dict[str, Entry]) -> Iterator[str]:
    """A sentence for each digest that was taken and is not the stored one."""
    for key, entry in taken.items():
        if key not in stored:
            yield f"{key}: not stored"
        elif stored[key] != entry:
            yield f"{key}: stored {stored[key]}, taken {entry}"
