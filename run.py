"""Entry of the deployed program: `python3 run.py --config FILE` serves."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [ROOT, os.path.join(ROOT, "target", "deps")]

from crossmill.cli import main  # noqa: E402

if __name__ == "__main__":
    argv = sys.argv[1:]
    if argv and argv[0].startswith("--config"):
        argv.insert(0, "serve")
    sys.exit(main(argv))
