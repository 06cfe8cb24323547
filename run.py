"""Entry of the deployed program: `python3 run.py --config FILE` serves."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
# behind the standard library, of which most modules are loaded
sys.path += [ROOT, os.path.join(ROOT, "target", "deps")]
# what `crossmill compile` wrote at build time: a controller's start must not pay for compiling.
# Python itself compares each file with its source; another release of Python has a cache of its own
sys.pycache_prefix = os.path.join(ROOT, "target", "pyc", f"{sys.hexversion:x}")

from crossmill.cli import main  # noqa: E402

if __name__ == "__main__":
    argv = sys.argv[1:]
    if argv and argv[0].startswith(("--config", "--multihost", "--recovery")):
        argv.insert(0, "serve")
    sys.exit(main(argv))
