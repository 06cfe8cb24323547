"""Shards (teams and machines parted among controllers), tokens and the leader's key."""

import logging
from collections.abc import Callable

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import Authority, WriteIntent, Writer, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .cluster_state import ClusterState
from .controller_lease import ControllerLease
from .lease_extensions import LeaseExtensions
from .model import ControllerRecord
from .owner_selection import OwnerSelection
from .ownership import HeartbeatAuthority, OwnedShards, ShardOwnership
from .reachability import WorkerReachability
from .records import encode_controller
from .write_shares import write_share

log = logging.getLogger(__name__)


class Membership:
    """Which shards this controller owns, under which tokens, and whether it leads."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        controller_lease: ControllerLease,
        cluster: ClusterState,
        watcher: StateWatcher,
        writer: Writer,
        shards: OwnedShards,
        lease_extensions: LeaseExtensions,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._controller_lease = controller_lease
        self._cluster = cluster
        self._watcher = watcher
        self._writer = writer
        self._lease_extensions = lease_extensions
        self.reachability = WorkerReachability(settings, clock, cluster)
        self.owner_selection = OwnerSelection(settings, clock, cluster)
        self._seen = 0
        self._started = clock.now()
        self._missing: dict[str, float] = {}
        self._shards = shards
        self.ownerships = shards.ownerships
        self._leads: tuple[int, int] | None = None
        # by shard: a token that a worker has seen and that the next has to be above
        self._raise: dict[int, int] = {}
        self._lost_listeners: list[Callable[[int], None]] = []

    def subscribe_lost(self, listener: Callable[[int], None]) -> None:
        """Calls the listener with each shard that this controller no longer owns from now on."""
        self._lost_listeners.append(listener)

    # -- what others ask -------------------------------------------------------------

    def owned_shards(self) -> list[tuple[int, ShardOwnership]]:
        """The shards that are owned now, whether or not this controller may act for them."""
        return list(self.ownerships.items())

    def active_ownership(self, shard: int) -> ShardOwnership | None:
        """The shard, if this controller may act for it right now."""
        ownership = self.ownerships.get(shard)
        if (
            ownership is None
            or not ownership.ready
            or ownership.epoch != self._controller_lease.epoch
        ):
            return None
        return ownership if self._controller_lease.is_held() else None

    def command_ownership(self, shard: int) -> ShardOwnership | None:
        """The shard, if tasks may be started and stopped at will: with full authority, and only
        while all that was durable not long ago is known. A lease that is renewed is no sign of
        that: a job may have been cancelled that no read has shown.
        """
        ownership = self.active_ownership(shard)
        is_current = self._watcher.is_current_within(self._settings.controller_lease_ttl_s)
        return ownership if is_current else None

    def heartbeat_authority(self, shard: int) -> HeartbeatAuthority | None:
        """The shard, if its workers may be answered, and whether by full authority; without
        it they are only kept alive. Whatever the right to answer rests on, it ends so soon
        after the last read that showed all that was durable that a cancellation confirmed
        right after that read is kept by the workers' own leases.
        """
        ownership = self.ownerships.get(shard)
        if (
            ownership is None
            or not ownership.ready
            or ownership.epoch != self._controller_lease.epoch
        ):
            return None
        if not self._watcher.is_current_within(self._settings.max_lease_extension_s):
            return None
        if self._controller_lease.is_held():
            return HeartbeatAuthority(ownership, self.command_ownership(shard) is not None)
        is_extended = self._lease_extensions.is_extended()
        return HeartbeatAuthority(ownership, may_command=False) if is_extended else None

    def write_authority(self, shard: int, token: int) -> Authority:
        """Whether a write that was decided under this token of the shard may be sent now."""
        ownership = self.ownerships.get(shard)
        if ownership is None or ownership.token != token:
            return Authority.LOST
        return self._controller_lease.write_authority(ownership.epoch)

    def leadership_version(self) -> int | None:
        """The version of the leader's key, while it is ours."""
        if self._leads is None or self._leads[0] != self._controller_lease.epoch:
            return None
        return self._leads[1] if self._controller_lease.is_held() else None

    def request_higher_token(self, shard: int, above: int = 0) -> None:
        """A worker has seen a higher token than ours, or may still get a start under ours: only a
        fresh one will be obeyed. Where the state service came back older, the counter may stand far
        below `above`.
        """
        self._raise[shard] = max(above, self._raise.get(shard, 0))

    # -- the loop --------------------------------------------------------------------

    async def run(self) -> None:
        """Takes, keeps and hands back shards until the controller ends."""
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

    def _drop(self, shard: int, why: str) -> None:
        ownership = self.ownerships.pop(shard)
        log.info("shard lost shard=%d token=%d reason=%s", shard, ownership.token, why)
        for listener in self._lost_listeners:
            listener(shard)

    def _drop_if_lost(self, shard: int, ownership: ShardOwnership) -> bool:
        """Whether the shard is no longer ours by what is known."""
        known = self._cluster.shard_owners.get(shard)
        if ownership.epoch != self._controller_lease.epoch:
            self._drop(shard, "lease ended")
        elif known is None:
            self._drop(shard, "key gone")
        elif known.version > ownership.version:
            self._drop(shard, f"taken by {known.owner}")
        else:
            return False
        return True

    async def step(self) -> None:
        """One look at the shards: those lost are dropped, those without an owner taken."""
        for shard, ownership in list(self.ownerships.items()):
            self._drop_if_lost(shard, ownership)
        if self.reachability.should_release(
            {k: ownership.acquired_at for k, ownership in self.ownerships.items()}
        ):
            await self._give_away()
        await self._announce()
        self.owner_selection.observe()
        self._writer.allot(write_share(self._settings, self._cluster))
        missing = [
            k for k in range(self._settings.shard_count) if k not in self._cluster.shard_owners
        ]
        if any(not self._lease_extensions.may_acquire_unowned(k) for k in missing):
            await self._lease_extensions.query_peers()
        for shard in range(self._settings.shard_count):
            if shard not in self.ownerships and self._may_take(shard):
                await self._take(shard)
        await self._lead()
        for shard, above in list(self._raise.items()):
            self._raise.pop(shard, None)
            raised = self.ownerships.get(shard)
            # others may have taken it since the look above: then this would be a new ownership
            if raised is not None and not self._drop_if_lost(shard, raised):
                await self._take(shard, above)
        for shard, ownership in list(self.ownerships.items()):
            if not ownership.ready and await self._watcher.sync(
                self._settings.lease_renewal_interval_s
            ):
                ownership.ready = True
                log.info("shard ready shard=%d token=%d", shard, ownership.token)
        await self._hand_over()

    async def _announce(self) -> None:
        key = keys.controller(self._settings.label)
        mine = self._cluster.controllers.get(self._settings.label)
        lease, deaf = self._controller_lease.lease_id, self.reachability.is_unreachable
        # whoever asks that a job be withdrawn may not reach us: this shows that we know of it
        # (an own note may be newer than what has been read)
        read = self._cluster.mirror.revision
        notes = (note.version for note in self._cluster.cancellation_notes.values())
        self._seen = max((self._seen, *(version for version in notes if version <= read)))
        record = ControllerRecord(lease, deaf, self._seen)
        if lease is None or mine == record:
            return
        # an older incarnation's key is replaced, whatever its lease
        txn = Txn({}, [Put(key, encode_controller(record), lease)])
        await self._commit(txn)

    async def _give_away(self) -> None:
        """Workers that can't reach us are sent to us by all others until somebody else acts
        for them; once nobody answers them their leases end.
        """
        shards = dict(self.ownerships)
        if all(
            label == self._settings.label or record.is_unreachable_by_workers
            for label, record in self._cluster.controllers.items()
        ):
            return
        log.info("no heartbeats received, shards released shards=%d", len(shards))
        await self._announce()
        for shard, ownership in shards.items():
            self._drop(shard, "no worker heard")
            await self._commit(Txn({keys.shard(shard): ownership.version}, [], [keys.shard(shard)]))

    async def _commit(self, txn: Txn) -> bool:
        epoch = self._controller_lease.epoch
        intent = WriteIntent(
            txn,
            WriteRank.OWNERSHIP,
            authority=lambda: self._controller_lease.write_authority(epoch),
        )
        return await self._writer.commit(intent) == WriteResult.OK

    def _patient(self, key: str) -> bool:
        """Others' keys are taken in turn: the least loaded controller first."""
        now = self._clock.now()
        since = self._missing.setdefault(key, now)
        wait = self.owner_selection.rank() * self._settings.controller_lease_ttl_s / 4
        if not self._cluster.shard_owners:
            # nobody has started yet: leave each its own
            wait += self._settings.controller_lease_ttl_s
        return now - since >= wait

    def _may_take(self, shard: int) -> bool:
        known = self._cluster.shard_owners.get(shard)
        key = keys.shard(shard)
        if known is not None:
            self._missing.pop(key, None)
            # the process of an older incarnation under our label has ended: its place is ours
            return (
                known.owner == self._settings.label
                and not self._lease_extensions.is_granted_to_peer(shard)
            )
        if self._lease_extensions.is_granted_to_peer(
            shard
        ) or not self._lease_extensions.may_acquire_unowned(shard):
            return False
        home = self.owner_selection.preferred_owner(shard)
        if self.owner_selection.is_unreachable_by_workers(self._settings.label):
            return False
        gives_way = self.owner_selection.should_yield(home)
        if home == self._settings.label and not gives_way:
            return True
        if self.owner_selection.is_reachable(home) and self._cluster.shard_owners and not gives_way:
            self._missing.setdefault(key, self._clock.now())
            return self._clock.now() - self._missing[key] > self._settings.controller_lease_ttl_s
        return self._patient(key)

    async def _take(self, shard: int, above: int = 0) -> None:
        self._shards.acquiring.add(shard)
        try:
            await self._take_one(shard, above)
        finally:
            self._shards.acquiring.discard(shard)

    def next_token(self, above: int = 0) -> tuple[int, int]:
        """The next token, above this one, and the counter's version that a write of it rests on."""
        counter = self._cluster.mirror.value(keys.TOKEN) or {"n": 0}
        return max(int(counter["n"]), above) + 1, self._cluster.mirror.version(keys.TOKEN)

    async def _take_one(self, shard: int, above: int) -> None:
        known = self._cluster.shard_owners.get(shard)
        token, counted = self.next_token(above)
        lease, epoch = self._controller_lease.lease_id, self._controller_lease.epoch
        key = keys.shard(shard)
        txn = Txn(
            {
                key: known.version if known else 0,
                keys.TOKEN: counted,
            },
            [
                Put(key, {"owner": self._settings.label, "token": token}, lease),
                Put(keys.TOKEN, {"n": token}),
            ],
        )
        if not await self._commit(txn):
            await self._watcher.sync(self._settings.lease_renewal_interval_s)
            return
        version = self._cluster.mirror.version(key)
        before = self.ownerships.get(shard)
        self.ownerships[shard] = ShardOwnership(token, version, self._clock.now(), epoch, token)
        if before is not None and before.epoch == epoch:
            # a raised token of a shard that stayed ours: nobody else wrote in between
            self.ownerships[shard].acquired_at = before.acquired_at
            self.ownerships[shard].ready = before.ready
            self.ownerships[shard].term = before.term
        self._missing.pop(key, None)
        log.info("shard acquired shard=%d token=%d", shard, token)

    async def _lead(self) -> None:
        known = self._cluster.controllers.leader
        version = self._cluster.mirror.version(keys.LEADER)
        if self._leads is not None and self._leads == (self._controller_lease.epoch, version):
            return
        if self._leads is not None:
            log.info("leadership lost")
            self._leads = None
        if known is not None and known != self._settings.label:
            self._missing.pop(keys.LEADER, None)
            return
        if known is None and not self._patient(keys.LEADER):
            return
        txn = Txn(
            {keys.LEADER: version},
            [Put(keys.LEADER, {"owner": self._settings.label}, self._controller_lease.lease_id)],
        )
        epoch = self._controller_lease.epoch
        if await self._commit(txn):
            self._leads = (epoch, self._cluster.mirror.version(keys.LEADER))
            self._missing.pop(keys.LEADER, None)
            log.info("leadership acquired lease_epoch=%d", epoch)
        else:
            await self._watcher.sync(self._settings.lease_renewal_interval_s)

    async def _hand_over(self) -> None:
        """A shard that another controller should own is let go of, one at a look: whoever comes
        first in rank takes it at once.
        """
        for shard, ownership in list(self.ownerships.items()):
            stood_s = self._clock.now() - ownership.acquired_at
            if (
                stood_s <= self._settings.worker_lease_s
                or not self.owner_selection.is_better_elsewhere(shard)
            ):
                continue
            self._drop(shard, "handed over")
            await self._commit(Txn({keys.shard(shard): ownership.version}, [], [keys.shard(shard)]))
            return
