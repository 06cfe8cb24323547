"""The clock that is passed in, so that tests can hold it."""

import time


class Clock:
    """Steady and wall time of this host."""

    def now(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()
