"""Entry point of `python3 -m crossmill`."""

import sys

from .cli import main

sys.exit(main())
