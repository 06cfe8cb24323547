"""A clock that only tests move."""

from crossmill.net.clock import Clock


class FakeClock(Clock):
    def __init__(self) -> None:
        self.time = 1000.0

    def now(self) -> float:
        return self.time

    def wall(self) -> float:
        return self.time + 1e9
