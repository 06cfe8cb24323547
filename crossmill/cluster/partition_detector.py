"""Detection of a partition of this controller's zone from everything else.

`PartitionDetector` sees that neither the state service nor other zones respond. That is also so if
this controller alone is cut off. `RegionContact` tells the two apart: users and the load balancer
belong to the region and to no zone (PROTOCOL), so in a partitioned zone nothing of theirs arrives.
`PublicRoutes` records their requests. docs/safety.md ("A controller that is cut off alone") says
what the sign can wrongly say.
"""

from ..net.clock import Clock
from ..settings import Settings
from .controller_lease import ControllerLease
from .peer_links import PeerLinks


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


class PartitionDetector:
    """Detector of a partition of this controller's zone from the state service and other zones."""

    def __init__(
        self,
        clock: Clock,
        controller_lease: ControllerLease,
        peers: PeerLinks,
        region_contact: RegionContact,
    ) -> None:
        self._clock = clock
        self._controller_lease = controller_lease
        self._peers = peers
        self._region_contact = region_contact
        self._lease_failing_since: float | None = None

    def record_renewal_failure(self) -> None:
        """Record that renewals of the controller's lease are failing."""
        if self._lease_failing_since is None:
            self._lease_failing_since = self._clock.now()

    def record_renewal(self) -> None:
        """Record that the controller's lease can be renewed."""
        self._lease_failing_since = None

    @property
    def is_lease_failing(self) -> bool:
        """Whether renewals of the controller's lease are failing."""
        return self._controller_lease.is_failing

    def is_partitioned(self) -> bool:
        """Return whether neither the state service nor any other zone's controller responds.

        Responses count from when renewals of the lease were first observed to fail. This may be
        now, before the other zones' controllers have been probed.
        """
        others = self._peers.labels_outside_zone
        return self.is_lease_failing and bool(others) and self._are_silent(others)

    def is_silent(self, label: str) -> bool:
        """Return whether renewals fail and the controller has not responded since they began to."""
        return self.is_lease_failing and self._are_silent([label])

    def _are_silent(self, labels: list[str]) -> bool:
        if self._lease_failing_since is None:
            self._lease_failing_since = self._clock.now()
        return self._peers.has_no_response_from(labels, self._lease_failing_since)

    def is_reached_by_region(self) -> bool:
        """Return whether users or the load balancer reach this controller.

        Then its zone is not partitioned, even if it reaches nobody itself.
        """
        return self._region_contact.is_recent()
