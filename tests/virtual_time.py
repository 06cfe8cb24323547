"""Time that jumps: nothing waits in real time. When every task sleeps, the clock goes on to the
next that wakes, so a story says the same on every machine.
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


class VirtualTime(selectors.BaseSelector):
    """What curio's kernel asks for the time and waits with."""

    def __init__(self, clock: FakeClock) -> None:
        self._clock = clock
        self._files: dict[Any, selectors.SelectorKey] = {}

    def monotonic(self) -> float:
        return self._clock.time

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        self._files[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self._files[fileobj]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self._files.pop(fileobj)

    def get_key(self, fileobj: Any) -> selectors.SelectorKey:
        return self._files[fileobj]

    def get_map(self) -> dict[Any, selectors.SelectorKey]:
        return self._files

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "every task waits for ever"
        # a little even when something is ready: a wait too short for the clock to show it would
        # otherwise never end
        self._clock.time += max(1e-7, timeout)
        return []


@types.coroutine
def run_with_freezes(
    part: Coroutine[Any, Any, None], until: Callable[[], float], clock: FakeClock
) -> Generator[Any, Any, None]:
    """Runs a controller's part so that it can stand still between any two awaits: what it waited
    for has come, its clock runs on, and it goes on only then.
    """
    step: Callable[[], Any] = lambda: part.send(None)  # noqa: E731
    while True:
        try:
            trap = step()
        except StopIteration:
            return
        try:
            value = yield trap
        except GeneratorExit:
            part.close()
            raise
        except BaseException as exc:
            step = partial(part.throw, exc)
            continue
        while clock.now() < until():
            yield from curio.sleep(until() - clock.now()).__await__()
        step = partial(part.send, value)


class ErrorCollector(logging.Handler):
    """A part that fails would otherwise only be logged."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.seen: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.seen.append(record.getMessage())


def run_under_virtual_time(
    clock: FakeClock, scenario: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Plays a story whose waits cost no time; parts that fail fail it."""
    virtual = VirtualTime(clock)
    kernel_time, crashes = curio.kernel.time, ErrorCollector()
    logging.getLogger("curio").addHandler(crashes)
    curio.kernel.time = virtual
    try:
        curio.run(scenario, selector=virtual)
    finally:
        curio.kernel.time = kernel_time
        logging.getLogger("curio").removeHandler(crashes)
    assert not crashes.seen, crashes.seen[0]
