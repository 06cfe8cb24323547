"""Runs more seeds of a randomised scenario by hand than the test command does."""

import sys
from collections.abc import Callable

MAX_MESSAGE_LENGTH = 200


def run_seeds(run_seed: Callable[[int], None]) -> None:
    """Run the seeds given on the command line as FIRST COUNT, and print those that fail."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    failed = 0
    for seed in range(first, first + count):
        try:
            run_seed(seed)
        except Exception as exc:
            failed += 1
            print(f"seed {seed}: {str(exc)[:MAX_MESSAGE_LENGTH]}", flush=True)
    print(f"{count} seeds from {first}, {failed} failed", flush=True)
