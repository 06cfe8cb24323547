"""The test command: runs the linter, mypy and the tests, and stops at the first step that fails.

Tests that fail because of a real fault may be listed in KNOWN-RED.txt (tests/known_red.py).
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
# pytest's exit code if the tests were found and run, and at least one of them failed
TESTS_FAILED = 1


def _run(root: Path, *step: str) -> int:
    """Run a Python module in the folder `root` and return its exit code."""
    print("--", " ".join(step), flush=True)
    return subprocess.run([sys.executable, "-m", *step], check=False, cwd=root).returncode


def run_tests(root: Path) -> int:
    """Run the tests in the folder `root` and return the exit code.

    The tests listed in KNOWN-RED.txt are deselected, then printed and run one by one. A listed
    test that passes or does not exist fails the run.
    """
    try:
        listed = known_red.load(root / known_red.FILE)
    except known_red.KnownRedListError as exc:
        print(exc)
        return 1
    code = _run(root, "pytest", "-q", "-p", known_red.__name__)
    for entry in listed:
        print(f"known red: {entry.test}")
        print(f"  command: {entry.command}")
        print(f"  seen: {entry.seen}")
        print(f"  issue: {entry.issue}", flush=True)
        result = _run(root, "pytest", "-q", entry.test)
        if result != TESTS_FAILED:
            print(f"{known_red.FILE}: {entry.test} does not fail as listed (pytest: {result})")
            code = code or 1
    return code


def main() -> int:
    """Run all steps and return the exit code."""
    for step in STEPS:
        code = _run(ROOT, *step)
        if code:
            return code
    return run_tests(ROOT)


if __name__ == "__main__":
    sys.exit(main())
