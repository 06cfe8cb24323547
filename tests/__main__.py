"""The test command: runs the linter, mypy and the tests; the first failure ends it.

Tests that fail for a real fault may be listed in KNOWN-RED.txt (tests/known_red.py).
"""

import subprocess
import sys
from pathlib import Path

from . import known_red

ROOT = Path(__file__).resolve().parent.parent
STEPS = (
    ("ruff", "check", "."),
    ("ruff", "format", "--check", "."),
    ("mypy",),
)


def _run(*step: str) -> subprocess.CompletedProcess[str]:
    print("--", " ".join(step), flush=True)
    command = [sys.executable, "-m", *step]
    return subprocess.run(command, check=False, cwd=ROOT, text=True)


def main() -> int:
    """Run all steps and return the exit code."""
    for step in STEPS:
        code = _run(*step).returncode
        if code:
            return code
    try:
        listed = known_red.load(ROOT / known_red.FILE)
    except known_red.KnownRedListError as exc:
        print(exc)
        return 1
    code = _run("pytest", "-q", *(f"--deselect={entry.test}" for entry in listed)).returncode
    for entry in listed:
        print(f"known red: {entry.test}: {entry.cause} (issue {entry.issue})", flush=True)
        # 1: it was found, run, and failed. A test that passes does not belong on the list, nor
        # does a line that names none
        again = _run("pytest", "-q", entry.test).returncode
        if again != 1:
            print(f"{known_red.FILE}: {entry.test} does not fail as listed (pytest: {again})")
            code = code or 1
    return code


if __name__ == "__main__":
    sys.exit(main())
