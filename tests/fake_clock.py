"""A clock that is advanced only by tests."""

from crossmill.net.clock import Clock

# the wall-clock time at monotonic time zero, in seconds
EPOCH_S = 1e9


class FakeClock(Clock):
    """A clock whose `time` changes only when a test or the virtual kernel advances it."""

    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.time

    def wall_time(self) -> float:
        """Return the wall-clock time in seconds since the epoch."""
        return self.time + EPOCH_S
