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
        return min(
            float(line.partition("\t")[0]) for line in (self.before, self.after) if line is not None
        )


def first_differing_line(
    file: str, before: Sequence[str], after: Sequence[str]
) -> Difference | None:
    """The first line in which two traces differ."""
    for number, (before_line, after_line) in enumerate(zip_longest(before, after), start=1):
        if before_line != after_line:
            return Difference(file, number, before_line, after_line)
    return None


def _read_lines(path: Path) -> list[str]:
    return path.read_text().splitlines() if path.exists() else []


def first_difference(before: Path, after: Path) -> Difference | None:
    """The earliest difference, by virtual time, of the first scenario and seed that differ."""
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
    """A sentence for each digest that was recorded and is not the stored one."""
    for key, entry in recorded.items():
        if key not in stored:
            yield f"{key}: not stored"
        elif stored[key] != entry:
            yield f"{key}: stored {stored[key]}, recorded {entry}"
