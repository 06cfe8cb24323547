"""Writes the bytecode cache of all modules that a controller loads, as a build step.

The cache is in the folder `sys.pycache_prefix`, which `run.py` sets. With a prefix, Python looks
for bytecode nowhere else, so the cache must also contain the modules of the standard library:
otherwise a controller, which can't write to that folder, compiles each of them from source
whenever it starts. Importing a module here makes Python write its bytecode. Whenever Python loads
bytecode, it checks the file against the source.
"""

import logging
import os
import sys
from importlib import import_module
from pathlib import Path

from .lazy_imports import defer_unused_imports

log = logging.getLogger(__name__)

PACKAGE = Path(__file__).resolve().parent
# modules that the standard library or the installed libraries import only when they use them
LAZILY_IMPORTED: tuple[str, ...] = ()


class CacheNotWrittenError(Exception):
    """An imported module has no bytecode in the cache."""


def write_bytecode() -> int:
    """Write the bytecode of all modules that a controller or a client subcommand can load.

    Returns:
        The number of modules in the cache.

    Raises:
        CacheNotWrittenError: An imported module has no bytecode in the cache.
    """
    sys.dont_write_bytecode = False
    defer_unused_imports()
    for name in (*_own_modules(), *LAZILY_IMPORTED):
        import_module(name)
    cached = _cache_files()
    missing = [file for file in cached if not os.path.exists(file)]
    if missing:
        raise CacheNotWrittenError(
            f"{len(missing)} of {len(cached)} files are missing, the first is {missing[0]}"
        )
    return len(cached)


def _own_modules() -> list[str]:
    """Return the names of the package's modules except `__main__`, which runs the program."""
    names = []
    for file in sorted(PACKAGE.rglob("*.py")):
        parts = (PACKAGE.name, *file.relative_to(PACKAGE).with_suffix("").parts)
        if parts[-1] != "__main__":
            names.append(".".join(part for part in parts if part != "__init__"))
    return names


def _cache_files() -> list[str]:
    """Return the bytecode files of the modules that were loaded since the prefix was set."""
    prefix = sys.pycache_prefix or ""
    files = (getattr(module, "__cached__", None) for module in list(sys.modules.values()))
    return sorted({file for file in files if file and file.startswith(prefix)})
