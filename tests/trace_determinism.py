"""Makes runs of curio's kernel repeat: tasks wake in the order in which they waited."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import curio


@contextmanager
def replaced_attribute(owner: Any, name: str, value: Any) -> Iterator[None]:
    """Replace an attribute for a while."""
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


class InsertionOrderedSet(dict[Any, None]):
    """Tasks in the order in which they came, in place of curio's sets."""

    def add(self, task: Any) -> None:
        """Let one more task wait."""
        self[task] = None

    def remove(self, task: Any) -> None:
        """Let a task wait no longer."""
        del self[task]

    def discard(self, task: Any) -> None:
        """Let a task wait no longer, if it does."""
        super().pop(task, None)

    def pop(self, *_: Any) -> Any:
        """Take the task that waits longest."""
        task = next(iter(self))
        del self[task]
        return task


def init_ordered_barrier(barrier: Any) -> None:
    """Initialise a barrier of curio's so that its tasks wake in the order in which they came.

    Curio keeps them in a set, whose order depends on addresses in memory and differs between runs.
    """
    barrier._tasks = InsertionOrderedSet()


class OrderedTaskGroup(curio.TaskGroup):  # type: ignore[misc]
    """A group, made without tasks, that cancels them in the order in which they were spawned."""

    def __init__(self) -> None:
        super().__init__()
        self._running = InsertionOrderedSet()
