"""The test command: lint, types and tests, in that order; the first failure ends it."""

import subprocess
import sys

STEPS = (
    ("ruff", "check", "."),
    ("ruff", "format", "--check", "."),
    ("mypy",),
    ("pytest", "-q"),
)


def main() -> int:
    for step in STEPS:
        print("--", " ".join(step), flush=True)
        code = subprocess.run([sys.executable, "-m", *step], check=False).returncode
        if code:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main())
