"""Virtual time for coroutines, so that a wait takes no real time.

When all tasks sleep, the clock advances to the next wake-up. A scenario has the same result on
every machine.
"""

import logging
import selectors
import types
from collections.abc import Callable, Coroutine, Generator
from functools import partial
from typing import Any

import curio
import curio.kernel

from .fake_clock import FakeClock

MIN_STEP_S = 1e-7


class VirtualTime(selectors.BaseSelector):
    """A clock and selector for curio's kernel; a wait advances the clock."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self._files: dict[Any, selectors.SelectorKey] = {}

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.time

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a file; it never becomes ready."""
        self._files[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self._files[fileobj]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Unregister a file."""
        return self._files.pop(fileobj)

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        """Return a registered file's key."""
        return self._files[fileobj]

    def get_map(self) -> dict[Any, selectors.SelectorKey]:
        """Return the registered files' keys."""
        return self._files

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the clock by the timeout; no file is ever ready."""
        assert timeout is not None, "every task waits without a timeout"
        # the clock advances by a minimum step even if a task is ready: a wait shorter than the
        # resolution of the clock's float would otherwise never end
        self._clock.time += max(MIN_STEP_S, timeout)
        return []


@types.coroutine
def run_with_freezes(
    loop: Coroutine[Any, Any, None], until: Callable[[], float], clock: FakeClock
) -> Generator[Any, Any, None]:
    """Run a controller's loop that can be frozen at any await.

    While the loop is frozen, its pending operation completes and the clock advances, but the loop
    continues only at the time that `until` returns.
    """
    step: Callable[[], Any] = lambda: loop.send(None)  # noqa: E731
    while True:
        try:
            trap = step()
        except StopIteration:
            return
        try:
            value = yield trap
            while clock.now() < until():
                yield from curio.sleep(until() - clock.now()).__await__()
        except GeneratorExit:
            loop.close()
            raise
        except BaseException as exc:
            step = partial(loop.throw, exc)
            continue
        step = partial(loop.send, value)


class ErrorCollector(logging.Handler):
    """Collects errors that curio only logs, such as the failure of a daemon task."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Store the record's message."""
        self.messages.append(record.getMessage())


def run_under_virtual_time(
    clock: FakeClock, scenario: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Run a scenario under virtual time; fail if any of its tasks fails."""
    virtual = VirtualTime(clock)
    kernel_time, errors = curio.kernel.time, ErrorCollector()
    logging.getLogger("curio").addHandler(errors)
    curio.kernel.time = virtual
    try:
        curio.run(scenario, selector=virtual)
    finally:
        curio.kernel.time = kernel_time
        logging.getLogger("curio").removeHandler(errors)
    assert not errors.messages, errors.messages[0]
