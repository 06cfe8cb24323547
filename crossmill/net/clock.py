"""The clock that is passed in, so that tests can hold it."""

import time


class Clock:
    """Steady and wall time of this host."""

    def now(self) -> float:
        """Steady time in seconds, from an arbitrary moment."""
        return time.monotonic()

    def wall(self) -> float:
        """The time of day in seconds since the epoch."""
        return time.time()
