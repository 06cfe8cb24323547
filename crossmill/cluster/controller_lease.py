"""This controller's lease in the state service, and the authority that follows from it."""

import logging

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.client import LeaseExpiredError, OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.writer import Authority

log = logging.getLogger(__name__)


class ControllerLease:
    """The lease that this controller acquires and renews in the state service.

    The controller counts the lease from when it sent the last successful renewal, and shortens it
    by the allowance for clock drift. The state service counts it from when it received the renewal.
    So the controller stops acting before the lease expires.
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
        # increases with every new lease; decisions made in an earlier epoch are invalid
        self.epoch = 0
        # event that is set when the lease is acquired or lost, or when renewals begin to fail
        self.changed = curio.Event()
        # whether the last renewal or acquisition failed, other than because the lease had expired
        self.is_failing = False

    def is_held(self) -> bool:
        """Return whether the lease is certain not to have expired."""
        return self.lease_id is not None and self._clock.now() < self._held_until

    def write_authority(self, epoch: int) -> Authority:
        """Return whether a write that was decided in this lease epoch may be sent now."""
        if epoch != self.epoch or self.lease_id is None:
            return Authority.LOST
        return Authority.HELD if self.is_held() else Authority.SUSPENDED

    async def step(self) -> float:
        """Renew the lease or acquire one; return the delay until the next step in seconds."""
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
        """Renew the lease until the controller stops."""
        while True:
            await curio.sleep(await self.step())
