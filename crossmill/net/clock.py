"""The clock, which is passed to all code that needs the time, so that tests can control it."""

import time


class Clock:
    """The monotonic time and the wall-clock time of this host, in seconds."""

    def now(self) -> float:
        """Return the monotonic time since an arbitrary moment."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Return the wall-clock time since the Unix epoch."""
        return time.time()
