"""The sign that users or the load balancer reach this controller.

Both belong to the region and to no zone (PROTOCOL), so in a partitioned zone nothing of theirs
arrives. `PublicRoutes` records their requests, and `PartitionDetector` reads the sign.
docs/safety.md ("A controller that is cut off alone") says what it can wrongly say.
"""

from ..net.clock import Clock
from ..settings import Settings


class RegionContact:
    """The times of the last requests from users and the load balancer.

    One request is no sign, because the network may have held it back; nor are several that were
    held back and arrive together.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._clock = clock
        self._window_s = settings.region_contact_window_s
        self._min_distance_s = settings.region_contact_distance_s
        # the time of the newest request, and of the newest one that arrived clearly before it
        self._newest_at: float | None = None
        self._earlier_at: float | None = None

    def record_request(self) -> None:
        """Record that a request of a user or the load balancer has arrived."""
        now = self._clock.now()
        if self._newest_at is None:
            self._newest_at = now
        elif now - self._newest_at >= self._min_distance_s:
            self._earlier_at, self._newest_at = self._newest_at, now

    def is_recent(self) -> bool:
        """Return whether at least two requests, apart from each other, arrived lately."""
        if self._earlier_at is None:
            return False
        return self._clock.now() - self._earlier_at <= self._window_s
