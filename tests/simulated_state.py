"""Lease expiry and watches of a simulated region's state service.

`StateService` responds without delay and has no clock: `SimulatedState` expires its leases and
wakes the requests that wait for changes. `Region` runs it, and `StateLink` passes each lease
request to it.
"""

from typing import NamedTuple

import curio

from crossmill.wire.checks import load_object

from .fake_clock import FakeClock
from .fake_state_service import StateService

POLL_INTERVAL_S = 0.02


class _LeaseExpiry(NamedTuple):
    """A lease's expiry time by the region's clock and its time to live, in seconds."""

    at: float
    ttl_s: float


class SimulatedState:
    """Expires the state service's leases and notifies watches of changes."""

    def __init__(self, clock: FakeClock, state: StateService) -> None:
        self._clock = clock
        self._state = state
        self._expiries: dict[int, _LeaseExpiry] = {}
        self.changed = curio.Event()

    def update_lease_expiry(
        self, method: str, path: str, body: bytes, status: int, data: bytes
    ) -> None:
        """Update a lease's expiry if the request acquired or renewed the lease."""
        if status != 200:
            return
        if method == "POST" and path == "/holds":
            ttl_s = load_object(body)["ttlMs"] / 1000
            self._extend(load_object(data)["tenure"], ttl_s)
        elif path.endswith("/renew"):
            lease = int(path.split("/")[2])
            self._extend(lease, self._expiries[lease].ttl_s)

    def _extend(self, lease: int, ttl_s: float) -> None:
        self._expiries[lease] = _LeaseExpiry(self._clock.now() + ttl_s, ttl_s)

    async def notify_watches(self) -> None:
        """Wake all requests that wait for a change."""
        await self.changed.set()
        self.changed.clear()

    async def run(self) -> None:
        """Expire leases and notify watches; during an outage no lease expires."""
        revision = -1
        while True:
            self._expire_leases()
            if self._state.revision != revision and not self._state.is_down:
                revision = self._state.revision
                await self.notify_watches()
            await curio.sleep(POLL_INTERVAL_S)

    def _expire_leases(self) -> None:
        now = self._clock.now()
        for lease, expiry in list(self._expiries.items()):
            if self._state.is_down:
                self._extend(lease, expiry.ttl_s)
            elif now > expiry.at:
                del self._expiries[lease]
                self._state.end_lease(lease)
