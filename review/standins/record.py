"""The record of a case: one line for each thing that was sent, answered or run."""

import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start to a file and to standard output."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def elapsed(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{self.elapsed():8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)
