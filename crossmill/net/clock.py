"""The clock, which everything that needs the time is given, so that tests can control it."""

import time


class Clock:
    """Steady and wall time of this host, in seconds."""

    def now(self) -> float:
        """Returns the steady time, counted from an arbitrary moment."""
        return time.monotonic()

    def wall_time(self) -> float:
        """Returns the time of day, counted from the Unix epoch."""
        return time.time()
