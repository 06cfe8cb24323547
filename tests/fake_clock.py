"""A clock that only tests move."""

from crossmill.net.clock import Clock

# the time of day at the clock's zero
EPOCH_S = 1e9


class FakeClock(Clock):
    """A clock whose `time` stays until a test or the virtual kernel moves it."""

    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.time

    def wall_time(self) -> float:
        """Return the time of day, in seconds since the epoch."""
        return self.time + EPOCH_S
