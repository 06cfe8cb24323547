"""Replacements for parts of curio that make the order in which tasks wake deterministic."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import curio


@contextmanager
def replaced_attribute(owner: Any, name: str, value: Any) -> Iterator[None]:
    """Replace an attribute for the duration of the context."""
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


class InsertionOrderedSet(dict[Any, None]):
    """A set of tasks that keeps insertion order, used instead of curio's sets."""

    def add(self, task: Any) -> None:
        """Add a task at the end."""
        self[task] = None

    def remove(self, task: Any) -> None:
        """Remove a task."""
        del self[task]

    def discard(self, task: Any) -> None:
        """Remove a task if it is present."""
        super().pop(task, None)

    def pop(self, *_: Any) -> Any:
        """Remove and return the task that was added first."""
        task = next(iter(self))
        del self[task]
        return task


def init_ordered_barrier(barrier: Any) -> None:
    """Initialise a curio barrier so that its tasks wake in the order in which they began to wait.

    Curio keeps them in a set, whose order depends on memory addresses and differs between runs.
    """
    barrier._tasks = InsertionOrderedSet()


class OrderedTaskGroup(curio.TaskGroup):  # type: ignore[misc]
    """A task group that cancels its tasks in the order in which they were spawned.

    It is created without tasks.
    """

    def __init__(self) -> None:
        super().__init__()
        self._running = InsertionOrderedSet()
