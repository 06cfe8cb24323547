"""Entry point of a deployment: `python3 run.py --config FILE` runs a controller."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
# appended, so that imports from the standard library, the most frequent ones, are found first
sys.path += [ROOT, os.path.join(ROOT, "target", "deps")]
# The bytecode cache that `crossmill compile` writes at build time, so that a controller compiles
# nothing when it starts. Python checks each cached file against its source. Each Python release has
# its own cache.
sys.pycache_prefix = os.path.join(ROOT, "target", "pyc", f"{sys.hexversion:x}")

from crossmill.cli import main  # noqa: E402

if __name__ == "__main__":
    argv = sys.argv[1:]
    if argv and argv[0].startswith(("--config", "--multihost", "--recovery")):
        argv.insert(0, "serve")
    sys.exit(main(argv))
