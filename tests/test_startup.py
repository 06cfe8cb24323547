"""The modules that a controller imports before it serves requests.

With a small share of a processor, each import noticeably delays a restart.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# modules that a controller does not use: imported by curio or by other modules of the standard
# library, or needed only by client subcommands
UNUSED_MODULES = {
    "asyncio.base_events",
    "crossmill.client_subcommands",
    "hashlib",
    "multiprocessing.pool",
    "ssl",
}
UNUSED_MODULES |= {"argparse", "random", "secrets", "_ssl"}
# maximum number of loaded modules, which a new dependency would exceed
MAX_MODULES = 270

SCRIPT = """
import sys
from crossmill.lazy_imports import defer_unused_imports
import crossmill.cli
defer_unused_imports()
import crossmill.app
print(*sorted(name for name, module in sys.modules.items() if module is not None))
"""


def test_a_controller_does_not_import_unused_modules() -> None:
    command = [sys.executable, "-E", "-c", SCRIPT]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    loaded = set(result.stdout.split())
    assert "crossmill.app" in loaded, result.stderr
    assert not loaded & UNUSED_MODULES
    assert len(loaded) <= MAX_MODULES


def test_a_deferred_module_is_imported_when_it_is_used() -> None:
    script = """
from crossmill.lazy_imports import defer_unused_imports
defer_unused_imports()
import asyncio, hmac, curio
assert hmac.new(b"k", b"m", "sha256").hexdigest()
assert asyncio.get_event_loop_policy() is not None
"""
    command = [sys.executable, "-E", "-c", script]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
