"""What a controller loads before it serves: on a small share each import delays a restart."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# parts of curio's, and of the standard library, that no controller uses; and client verbs
UNUSED_MODULES = {
    "asyncio.base_events",
    "crossmill.client_subcommands",
    "hashlib",
    "multiprocessing.pool",
    "ssl",
}
UNUSED_MODULES |= {"argparse", "random", "secrets", "_ssl"}
# what is loaded in all: a new dependency shows here
MAX_MODULES = 270

SCRIPT = """
import sys
from crossmill.lazy_imports import defer_unused_imports
import crossmill.cli
defer_unused_imports()
import crossmill.app
print(*sorted(name for name, module in sys.modules.items() if module is not None))
"""


def test_serving_loads_nothing_that_only_others_need() -> None:
    command = [sys.executable, "-E", "-c", SCRIPT]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    loaded = set(result.stdout.split())
    assert "crossmill.app" in loaded, result.stderr
    assert not loaded & UNUSED_MODULES
    assert len(loaded) <= MAX_MODULES


def test_a_deferred_module_is_there_when_it_is_used() -> None:
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
