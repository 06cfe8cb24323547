"""Defers the import of modules that curio imports but a controller does not use.

A deferred module is loaded when one of its attributes is accessed.

A restarted controller can't respond to requests until its imports are done. With a small share of
a processor, each import delays the start by a multiple of its processor time.
"""

import os
import sys
from importlib import import_module
from types import ModuleType
from typing import Any

# Curio uses these for other event loops, for worker processes and for their authentication. With
# `multiprocessing.util`, `subprocess` is not loaded either.
# `zoneinfo`, which orjson imports, uses `sysconfig` to find time zone files.
DEFERRED_MODULES = ("asyncio", "hmac", "multiprocessing.util", "sysconfig", "tempfile")
# the environment variable of `zoneinfo`'s search path, and an empty value: if the variable is set,
# even to an empty path, `zoneinfo` does not use `sysconfig`
EMPTY_TIME_ZONE_PATH = ("PYTHONTZPATH", "")
# controllers use plain TCP, and curio works without `ssl` if the import fails
BLOCKED_MODULES = ("ssl",)


class LazyModule(ModuleType):
    """A placeholder that imports the module of its name when an attribute is accessed.

    `importlib.util.LazyLoader` is not suitable: up to Python 3.11 it loads the module at the second
    import statement.
    """

    def __getattr__(self, attribute: str) -> Any:
        name = self.__name__
        if sys.modules.get(name) is self:
            del sys.modules[name]
        return getattr(import_module(name), attribute)


def defer_unused_imports() -> None:
    """Register placeholders for the unused modules; must be called before curio is imported."""
    for name in BLOCKED_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    for name in DEFERRED_MODULES:
        sys.modules.setdefault(name, LazyModule(name))
    os.environ.setdefault(*EMPTY_TIME_ZONE_PATH)
