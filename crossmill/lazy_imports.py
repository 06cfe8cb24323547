"""Defers imports of modules that curio loads and no controller uses.

They are loaded only when something of them is asked for.

A restarted controller serves nobody until its imports are done, and on a small share of a
processor each of them delays that by a multiple of its own time.
"""

import os
import sys
from importlib import import_module
from types import ModuleType
from typing import Any

# what curio needs for other event loops, worker processes and their authentication, and what
# `zoneinfo`, which orjson loads, needs to find its time zones
DEFERRED_MODULES = ("asyncio", "hmac", "sysconfig", "tempfile")
# where `zoneinfo` looks for time zones: nowhere, so that it does not ask `sysconfig`
EMPTY_TIME_ZONE_PATH = ("PYTHONTZPATH", "")
# controllers speak plain TCP; curio does without ssl where Python has none
BLOCKED_MODULES = ("ssl",)


class LazyModule(ModuleType):
    """Stands in for a module until an attribute of it is asked for.

    `importlib.util.LazyLoader` is of no use here: up to Python 3.11 a second import statement
    already makes it load the module.
    """

    def __getattr__(self, attribute: str) -> Any:
        name = self.__name__
        if sys.modules.get(name) is self:
            del sys.modules[name]
        return getattr(import_module(name), attribute)


def defer_unused_imports() -> None:
    """Registers the unused modules as lazy ones. Has to be called before curio is imported."""
    for name in BLOCKED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    for name in DEFERRED_MODULES:
        sys.modules.setdefault(name, LazyModule(name))
    os.environ.setdefault(*EMPTY_TIME_ZONE_PATH)
