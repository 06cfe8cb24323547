"""Fills the bytecode cache with all that a controller loads: a step of the build.

The cache lies where `sys.pycache_prefix` says (`run.py`). Under a prefix Python looks nowhere else,
so the modules of the standard library have to be in it as well: a controller, which can't write
there, would compile each of them from source at every start. Whatever is imported here is written
by Python itself, which compares it with its source whenever it is loaded.
"""

import logging
import os
import sys
from importlib import import_module
from pathlib import Path

from .lazy_imports import defer_unused_imports

log = logging.getLogger(__name__)

PACKAGE = Path(__file__).resolve().parent
# imported by the standard library or the libraries only once they have a use for it
LAZILY_IMPORTED: tuple[str, ...] = ()


class CacheNotWrittenError(Exception):
    """A module that was loaded has no bytecode in the cache afterwards."""


def write_bytecode() -> int:
    """Writes the bytecode of all that a controller or a client verb can load.

    Returns:
        Of how many modules.

    Raises:
        CacheNotWrittenError: a module that was loaded has no bytecode afterwards.
    """
    sys.dont_write_bytecode = False
    defer_unused_imports()
    for name in (*_own_modules(), *LAZILY_IMPORTED):
        import_module(name)
    cached = _cache_files()
    missing = [file for file in cached if not os.path.exists(file)]
    if missing:
        raise CacheNotWrittenError(
            f"{len(missing)} of {len(cached)} files, the first: {missing[0]}"
        )
    return len(cached)


def _own_modules() -> list[str]:
    """The names of the program's modules but its entry, which runs it when imported."""
    names = []
    for file in sorted(PACKAGE.rglob("*.py")):
        parts = (PACKAGE.name, *file.relative_to(PACKAGE).with_suffix("").parts)
        if parts[-1] != "__main__":
            names.append(".".join(part for part in parts if part != "__init__"))
    return names


def _cache_files() -> list[str]:
    """Where the bytecode of the modules lies that were loaded since the prefix was set."""
    prefix = sys.pycache_prefix or ""
    files = (getattr(module, "__cached__", None) for module in list(sys.modules.values()))
    return sorted({file for file in files if file and file.startswith(prefix)})
