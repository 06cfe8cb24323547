"""This controller's lease in the state service, and the authority that follows from it."""

import logging

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.client import LeaseExpiredError, OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.writer import Authority

log = logging.getLogger(__name__)


class ControllerLease:
    """Acquires and renews the lease, and says whether it certainly has not expired.

    The lease counts from when the last successful renewal was *sent*, less clock drift. The state
    service counts from when it received it, so this controller stops acting before the lease ends.
    """

    def __init__(self, client: StateClient, clock: Clock, settings: Settings) -> None:
        self._client = client
        self._clock = clock
        self._ttl_s = settings.controller_lease_ttl_s
        self._held_for_s = self._ttl_s * (1 - settings.clock_drift)
        self._renewal_interval_s = settings.lease_renewal_interval_s
        self._retry_s = settings.lease_renewal_interval_s / 4
        self._held_until = 0.0
        self.lease_id: int | None = None
        # grows with every new lease: what was decided under an older one is void
        self.epoch = 0
        # set when the lease is acquired or lost, and when renewals begin to fail
        self.changed = curio.Event()
        # whether the last renewal failed for a reason other than the lease's expiry
        self.is_failing = False

    def is_held(self) -> bool:
        """Whether the lease has certainly not expired at this moment."""
        return self.lease_id is not None and self._clock.now() < self._held_until

    def write_authority(self, epoch: int) -> Authority:
        """Whether a write that was decided in this lease epoch may be sent now."""
        if epoch != self.epoch or self.lease_id is None:
            return Authority.LOST
        return Authority.HELD if self.is_held() else Authority.SUSPENDED

    async def step(self) -> float:
        """Renews the lease or acquires one; returns the seconds until the next step."""
        sent = self._clock.now()
        try:
            if self.lease_id is None:
                await self._acquire(sent)
            else:
                await self._client.renew_lease(self.lease_id)
                self._held_until = sent + self._held_for_s
            self.is_failing = False
        except LeaseExpiredError:
            await self._handle_expiry()
            return 0.0
        except (RequestRefusedError, OutcomeUnknownError) as exc:
            log.debug("controller lease not renewed error=%s", exc)
            if not self.is_failing:
                self.is_failing = True
                await self.changed.set()
            return self._retry_s
        return max(0.0, self._renewal_interval_s - (self._clock.now() - sent))

    async def _acquire(self, sent: float) -> None:
        lease = await self._client.acquire_lease(self._ttl_s)
        self.lease_id = lease
        self.epoch += 1
        self._held_until = sent + self._held_for_s
        log.info("controller lease acquired lease=%d lease_epoch=%d", lease, self.epoch)
        await self.changed.set()

    async def _handle_expiry(self) -> None:
        self.is_failing = False
        log.info("controller lease lost lease=%s lease_epoch=%d", self.lease_id, self.epoch)
        self.lease_id = None
        self._held_until = 0.0
        self.epoch += 1
        await self.changed.set()

    async def run(self) -> None:
        """Renews the lease until the controller ends."""
        while True:
            await curio.sleep(await self.step())
