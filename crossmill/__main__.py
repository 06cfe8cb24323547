"""Runs the command line: `python3 -m crossmill`."""

import sys

from .cli import main

sys.exit(main())
