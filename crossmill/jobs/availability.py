"""Whether this controller can answer users, which decides `/healthz` and the 503 of requests.

`UserAvailability` is the only owner of this fact. The job handlers ask it before they rely on the
state service, and `PublicRoutes` before it tells the load balancer that users may be sent here.
docs/safety.md ("Where users are sent") lists every case.
"""

import logging
from enum import Enum

import curio

from ..cluster.cluster_state import ClusterState
from ..cluster.isolation import IsolationDetector
from ..settings import Settings
from ..state.client import StateClient
from ..state.watcher import StateWatcher

log = logging.getLogger(__name__)


class Availability(Enum):
    """Whether users can be answered, and if not, why; the values are logged."""

    # the state has not been read, or no catalog is known
    STARTING = "starting"
    AVAILABLE = "available"
    # the state service is unavailable, and nothing shows that it serves other controllers
    OUTAGE = "outage"
    # the state service is unavailable to this controller, and it serves others or may well do so
    ISOLATED = "isolated"


class UserAvailability:
    """Whether this controller can answer users now, and whether others may be able to."""

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        watcher: StateWatcher,
        service: StateClient,
        isolation: IsolationDetector,
    ) -> None:
        self._settings = settings
        self._cluster = cluster
        self._watcher = watcher
        self._service = service
        self._isolation = isolation
        self._logged = Availability.STARTING

    def current(self) -> Availability:
        """Return the present availability."""
        if not self._watcher.ready.is_set() or not self._cluster.catalog:
            return Availability.STARTING
        if self._service.outage_duration_s() <= self._settings.lease_renewal_interval_s / 2:
            return Availability.AVAILABLE
        return Availability.ISOLATED if self._isolation.is_isolated else Availability.OUTAGE

    def can_answer(self) -> bool:
        """Return whether requests that need the state service can be answered.

        Otherwise they are refused immediately, since no response could be verified to be current.
        """
        return self.current() is Availability.AVAILABLE

    def may_receive_users(self) -> bool:
        """Return whether the load balancer may send users here.

        It may during an outage: no other controller could answer them.
        """
        return self.current() in (Availability.AVAILABLE, Availability.OUTAGE)

    def log_change(self) -> None:
        """Log the availability if it has changed since the last call."""
        current = self.current()
        if current is not self._logged:
            log.info("availability changed before=%s now=%s", self._logged.value, current.value)
            self._logged = current

    async def run(self) -> None:
        """Log changes of the availability until the controller stops."""
        while True:
            self.log_change()
            await curio.sleep(self._settings.lease_renewal_interval_s)
