"""Shard ownership of this controller and the authority that follows from it.

Teams and machines are divided among the controllers by shard. A controller owns a shard under a
fencing token and its lease. Code that acts for a shard first obtains the authority that the action
needs from `Membership`. The loop of `Membership` acquires shards without an owner, maintains its
ownerships, and releases shards that another controller should own.
"""

import logging
from collections.abc import Callable
from functools import partial

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import Authority, WriteIntent, WriteRank
from ..wire.state import Txn
from . import keys
from .leadership import Leadership
from .lease_extensions import LeaseExtensions
from .owner_selection import AcquisitionPolicy, OwnerSelection
from .ownership import (
    HeartbeatAuthority,
    OwnedShards,
    ResponseBasis,
    ShardOwnership,
)
from .reachability import WorkerReachability
from .shard_acquisition import NextToken, ShardAcquisition
from .state_access import ControllerAnnouncement, OwnershipWriter, StateAccess, write_share

log = logging.getLogger(__name__)

# looked up once: an enum member lookup takes 0.3 us in Python 3.11, here for each heartbeat
_LEASE = ResponseBasis.LEASE
_LEASE_WITH_OLD_READ = ResponseBasis.LEASE_WITH_OLD_READ
_EXTENSION = ResponseBasis.EXTENSION
_OLD_READ = ResponseBasis.OLD_READ
_NO_LEASE = ResponseBasis.NO_LEASE


class Membership:
    """This controller's shards, leadership, and authority to act for its shards."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        state: StateAccess,
        shards: OwnedShards,
        lease_extensions: LeaseExtensions,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = state.cluster
        self._watcher = state.watcher
        self._writer = state.writer
        self._controller_lease = state.controller_lease
        self._shards = shards
        self._lease_extensions = lease_extensions
        # owned shards by number, including those that this controller currently may not act for
        self.ownerships = shards.ownerships
        self.reachability = WorkerReachability(settings, clock, self._cluster)
        self.owner_selection = OwnerSelection(settings, clock, self._cluster)
        self.ownership_writer = OwnershipWriter(settings, state)
        self.announcement = ControllerAnnouncement(
            self._cluster, self.reachability, self.ownership_writer
        )
        self._acquisition = ShardAcquisition(clock, self._cluster, shards, self.ownership_writer)
        self._policy = AcquisitionPolicy(
            settings, clock, self._cluster, lease_extensions, self.owner_selection
        )
        self._leadership = Leadership(self._cluster, self._policy, self.ownership_writer)
        # the basis of the newest log line about the responses to a shard's workers, by shard
        self._logged_basis: dict[int, ResponseBasis] = {}
        shards.subscribe_lost(self._forget_logged_basis)
        # tokens that the shard's next token must exceed, by shard; workers may have seen them
        self._token_floors: dict[int, int] = {}

    # -- authority -------------------------------------------------------------------

    def active_ownership(self, shard: int) -> ShardOwnership | None:
        """Return the shard's ownership if the shard is ready and the controller lease is held."""
        ownership = self._ready_ownership(shard)
        return ownership if self._controller_lease.is_held() else None

    def command_ownership(self, shard: int) -> ShardOwnership | None:
        """Return the shard's ownership if this controller may start and stop its tasks.

        In addition to the lease, this requires that the mirrored state was recently known to be
        current. A renewed lease does not prove that reads succeed: with an outdated mirror, this
        controller may not know that a job was cancelled.
        """
        ownership = self.active_ownership(shard)
        return ownership if self._is_current_for_commands() else None

    def heartbeat_authority(self, shard: int) -> HeartbeatAuthority | None:
        """Return the authority to respond to heartbeats of the shard's workers, or None.

        The authority requires the controller lease or extensions granted by all peers. In both
        cases it ends `max_lease_extension_s` after the mirrored state was last known to be current.
        If a job's cancellation is confirmed right after that moment, the workers' leases expire
        early enough for the job's tasks to end within the cancellation deadline.
        """
        ownership = self._ready_ownership(shard)
        if ownership is None:
            return None
        basis = self._response_basis()
        if self._logged_basis.get(shard) is not basis:
            self._log_basis(shard, ownership, basis)
        if basis is _OLD_READ or basis is _NO_LEASE:
            return None
        return HeartbeatAuthority(ownership, basis is _LEASE)

    def _response_basis(self) -> ResponseBasis:
        """Return why the workers of a shard that is ready may be responded to, or why not."""
        if not self._watcher.is_current_within(self._settings.max_lease_extension_s):
            return _OLD_READ
        if self._controller_lease.is_held():
            return _LEASE if self._is_current_for_commands() else _LEASE_WITH_OLD_READ
        return _EXTENSION if self._lease_extensions.is_extended() else _NO_LEASE

    def _log_basis(self, shard: int, ownership: ShardOwnership, basis: ResponseBasis) -> None:
        self._logged_basis[shard] = basis
        log.info(
            "heartbeat authority shard=%d token=%d basis=%s read_age_s=%.2f",
            shard,
            ownership.token,
            basis.value,
            self._watcher.read_age_s(),
        )

    def _forget_logged_basis(self, shard: int) -> None:
        self._logged_basis.pop(shard, None)

    def _is_current_for_commands(self) -> bool:
        return self._watcher.is_current_within(self._settings.controller_lease_ttl_s)

    def write_authority(self, shard: int, token: int) -> Authority:
        """Return whether a write that was decided under this shard token may be sent now."""
        ownership = self.ownerships.get(shard)
        if ownership is None or ownership.token != token:
            return Authority.LOST
        return self._controller_lease.write_authority(ownership.epoch)

    def leadership_version(self) -> int | None:
        """Return the version of the leader's key while this controller is the leader, else None."""
        return self._leadership.version()

    def _ready_ownership(self, shard: int) -> ShardOwnership | None:
        ownership = self.ownerships.get(shard)
        if ownership is None or not ownership.is_ready:
            return None
        return ownership if ownership.epoch == self._controller_lease.epoch else None

    # -- tokens and events -----------------------------------------------------------

    def next_token(self) -> NextToken:
        """Return the next fencing token, for a machine that is transferred to another shard."""
        return self._acquisition.next_token()

    def request_higher_token(self, shard: int, above: int = 0) -> None:
        """Schedule the shard's acquisition under a token higher than `above`, at the next step.

        Needed when a worker has seen a higher token than the shard's, and would therefore discard
        responses under the shard's token. Also needed when a command sent under the shard's current
        token may still arrive: once the worker has seen the new token, it rejects that command.
        After the state service is restored from an older backup, the token counter may be far below
        `above`.
        """
        self._token_floors[shard] = max(above, self._token_floors.get(shard, 0))

    def subscribe_lost(self, listener: Callable[[int], None]) -> None:
        """Register a listener that is called with each shard whose ownership ends."""
        self._shards.subscribe_lost(listener)

    # -- the loop --------------------------------------------------------------------

    async def run(self) -> None:
        """Acquire, maintain and release shards until the controller stops."""
        await self._watcher.ready.wait()
        while True:
            if self._controller_lease.is_failing:
                await self._lease_extensions.request_grants(sorted(self.ownerships))
            else:
                self._lease_extensions.reset()
            if self._controller_lease.is_held():
                await self.step()
            await curio.ignore_after(
                self._settings.lease_renewal_interval_s / 4, self._controller_lease.changed.wait
            )
            self._controller_lease.changed.clear()

    async def step(self) -> None:
        """Update ownership, leadership and this controller's record once."""
        self._drop_lost()
        acquired_at = {shard: ownership.acquired_at for shard, ownership in self.ownerships.items()}
        if self.reachability.should_release(acquired_at):
            await self._release_all()
        await self.announcement.publish()
        self.owner_selection.observe()
        self._writer.set_rate(write_share(self._settings, self._cluster))
        await self._query_peers()
        await self._acquire_unowned()
        await self._leadership.step()
        await self._raise_tokens()
        await self._mark_ready()
        await self._release_misplaced()

    def _drop_lost(self) -> None:
        for shard, ownership in list(self.ownerships.items()):
            self._acquisition.drop_if_lost(shard, ownership)

    async def _release_all(self) -> None:
        """Release all shards because no worker reaches this controller.

        The controller first publishes in its record that it is unreachable by workers. Until a new
        owner acts for the shards, the other controllers then continue to redirect workers here;
        without any controller to respond, the workers' leases would expire.
        """
        ownerships = dict(self.ownerships)
        if not self._has_reachable_peer():
            return
        log.info("no heartbeats received, shards released shards=%d", len(ownerships))
        await self.announcement.publish()
        for shard, ownership in ownerships.items():
            await self._acquisition.release(shard, ownership, "no heartbeats received")

    def _has_reachable_peer(self) -> bool:
        return any(
            label != self._settings.label and not record.is_unreachable_by_workers
            for label, record in self._cluster.controllers.items()
        )

    async def _query_peers(self) -> None:
        """Query the peers' owned shards if the acquisition of an unowned shard depends on them."""
        shard_owners = self._cluster.shard_owners
        unowned = [
            shard for shard in range(self._settings.shard_count) if shard not in shard_owners
        ]
        if not all(self._lease_extensions.is_free_of_prior_grants(shard) for shard in unowned):
            await self._lease_extensions.query_peers()

    async def _acquire_unowned(self) -> None:
        for shard in range(self._settings.shard_count):
            if shard not in self.ownerships and self._policy.may_acquire(shard):
                await self._acquire(shard)

    async def _acquire(self, shard: int, above: int = 0) -> None:
        if await self._acquisition.acquire(shard, above):
            self._policy.reset_unowned_time(keys.shard(shard))

    async def _raise_tokens(self) -> None:
        for shard, above in list(self._token_floors.items()):
            self._token_floors.pop(shard, None)
            ownership = self.ownerships.get(shard)
            # another controller may have acquired the shard since the step began: acquiring it now
            # would begin a new ownership instead of raising the token of this one
            if ownership is not None and not self._acquisition.drop_if_lost(shard, ownership):
                await self._acquire(shard, above)

    async def _mark_ready(self) -> None:
        """Mark new ownerships as ready once all writes of earlier owners have been read."""
        for shard, ownership in list(self.ownerships.items()):
            if not ownership.is_ready and await self.ownership_writer.sync():
                ownership.is_ready = True
                log.info(
                    "shard ready shard=%d token=%d term=%d revision=%d",
                    shard,
                    ownership.token,
                    ownership.term,
                    self._cluster.mirror.revision,
                )

    async def _release_misplaced(self) -> None:
        """Release at most one shard that another controller should own.

        The controller that is first in the acquisition order acquires it without delay.
        """
        for shard, ownership in list(self.ownerships.items()):
            owned_for_s = self._clock.now() - ownership.acquired_at
            is_settled = owned_for_s > self._settings.worker_lease_s
            if is_settled and self.owner_selection.has_better_owner(shard):
                await self._acquisition.release(shard, ownership, "handed over")
                return


def shard_intent(
    membership: Membership, shard: int, ownership: ShardOwnership, rank: WriteRank, txn: Txn
) -> WriteIntent:
    """Return a write intent for the transaction, conditional on the shard's ownership.

    The write fails if another controller has acquired the shard in the meantime.
    """
    txn.conditions = {keys.shard(shard): ownership.version, **txn.conditions}
    authority = partial(membership.write_authority, shard, ownership.token)
    return WriteIntent(txn, rank, authority=authority)
