"""Shards (teams and machines parted among controllers), tokens and the leader's key."""

import logging
from collections.abc import Callable

import curio

from ..net.clock import Clock
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire.state import Put, Txn
from . import keys
from .cluster_state import ClusterState
from .keeper import Keeper
from .owner_choice import OwnerChoice
from .ownership import Owned, OwnedShards
from .promises import Promises
from .reachability import WorkerReachability
from .write_shares import write_share

log = logging.getLogger(__name__)


class Membership:
    """Which shards this controller owns, under which tokens, and whether it leads."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        keeper: Keeper,
        cluster: ClusterState,
        watcher: StateWatcher,
        writer: Writer,
        shards: OwnedShards,
        promises: Promises,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._keeper = keeper
        self._cluster = cluster
        self._watcher = watcher
        self._writer = writer
        self._promises = promises
        self.reachability = WorkerReachability(settings, clock, cluster)
        self.choice = OwnerChoice(settings, clock, cluster)
        self._seen = 0
        self._started = clock.now()
        self._missing: dict[str, float] = {}
        self._shards = shards
        self.owned = shards.owned
        self._leads: tuple[int, int] | None = None
        # by shard: a token that a worker has seen and that the next has to be above
        self._raise: dict[int, int] = {}
        self.on_lost: list[Callable[[int], None]] = []

    # -- what others ask -------------------------------------------------------------

    def acting(self, shard: int) -> Owned | None:
        """The shard, if this controller may act for it right now."""
        own = self.owned.get(shard)
        if own is None or not own.ready or own.epoch != self._keeper.epoch:
            return None
        return own if self._keeper.authority() else None

    def commanding(self, shard: int) -> Owned | None:
        """The shard, if tasks may be started and stopped at will: with full authority, and only
        while all that was durable not long ago is known. A lease that is renewed is no sign of
        that: a job may have been cancelled that no read has shown."""
        own = self.acting(shard)
        is_current = self._watcher.is_current_within(self._settings.controller_lease_ttl_s)
        return own if is_current else None

    def answering(self, shard: int) -> tuple[Owned, bool] | None:
        """The shard, if its workers may be answered, and whether by full authority; without
        it they are only kept alive. Whatever the right to answer rests on, it ends so soon
        after the last read that showed all that was durable that a cancellation confirmed
        right after that read is kept by the workers' own leases."""
        own = self.owned.get(shard)
        if own is None or not own.ready or own.epoch != self._keeper.epoch:
            return None
        if not self._watcher.is_current_within(self._settings.max_lease_extension_s):
            return None
        if self._keeper.authority():
            return own, self.commanding(shard) is not None
        return (own, False) if self._promises.extended() else None

    def holds(self, shard: int, token: int) -> bool | None:
        """For a write decided under this token of the shard: yes, not now, never again."""
        own = self.owned.get(shard)
        if own is None or own.token != token:
            return False
        return self._keeper.holds(own.epoch)

    def leading(self) -> int | None:
        """The version of the leader's key, while it is ours."""
        if self._leads is None or self._leads[0] != self._keeper.epoch:
            return None
        return self._leads[1] if self._keeper.authority() else None

    def raise_token(self, shard: int, above: int = 0) -> None:
        """A worker has seen a higher token than ours, or may still get a start under ours: only a
        fresh one will be obeyed. Where the state service came back older, the counter may stand far
        below `above`."""
        self._raise[shard] = max(above, self._raise.get(shard, 0))

    # -- the loop --------------------------------------------------------------------

    async def run(self) -> None:
        """Takes, keeps and hands back shards until the controller ends."""
        await self._watcher.ready.wait()
        while True:
            if self._keeper.failing:
                await self._promises.ask(sorted(self.owned))
            else:
                self._promises.renewed()
            if self._keeper.authority():
                await self.step()
            await curio.ignore_after(
                self._settings.lease_renewal_interval_s / 4, self._keeper.changed.wait
            )
            self._keeper.changed.clear()

    def _drop(self, shard: int, why: str) -> None:
        own = self.owned.pop(shard)
        log.info("shard lost shard=%d epoch=%d why=%s", shard, own.token, why)
        for listener in self.on_lost:
            listener(shard)

    def _drop_if_lost(self, shard: int, own: Owned) -> bool:
        """Whether the shard is no longer ours by what is known."""
        known = self._cluster.shards.get(shard)
        if own.epoch != self._keeper.epoch:
            self._drop(shard, "lease ended")
        elif known is None:
            self._drop(shard, "key gone")
        elif known.version > own.version:
            self._drop(shard, f"taken by {known.owner}")
        else:
            return False
        return True

    async def step(self) -> None:
        """One look at the shards: those lost are dropped, those without an owner taken."""
        for shard, own in list(self.owned.items()):
            self._drop_if_lost(shard, own)
        if self.reachability.look({k: own.acquired_at for k, own in self.owned.items()}):
            await self._give_away()
        await self._announce()
        self.choice.look()
        self._writer.allot(write_share(self._settings, self._cluster))
        missing = [k for k in range(self._settings.shard_count) if k not in self._cluster.shards]
        if any(not self._promises.may_start(k) for k in missing):
            await self._promises.inquire()
        for shard in range(self._settings.shard_count):
            if shard not in self.owned and self._may_take(shard):
                await self._take(shard)
        await self._lead()
        for shard, above in list(self._raise.items()):
            self._raise.pop(shard, None)
            raised = self.owned.get(shard)
            # others may have taken it since the look above: then this would be a new ownership
            if raised is not None and not self._drop_if_lost(shard, raised):
                await self._take(shard, above)
        for shard, own in list(self.owned.items()):
            if not own.ready and await self._watcher.sync(self._settings.lease_renewal_interval_s):
                own.ready = True
                log.info("shard ready shard=%d epoch=%d", shard, own.token)
        await self._hand_over()

    async def _announce(self) -> None:
        key = keys.node(self._settings.label)
        mine = self._cluster.nodes.get(self._settings.label)
        lease, deaf = self._keeper.lease, self.reachability.deaf
        # whoever asks that a job be withdrawn may not reach us: this shows that we know of it
        # (an own note may be newer than what has been read)
        read = self._cluster.mirror.revision
        notes = (version for version, _ in self._cluster.ending.values())
        self._seen = max((self._seen, *(version for version in notes if version <= read)))
        value = {"lease": lease, "deaf": deaf, "seen": self._seen}
        if lease is None or mine == value:
            return
        # an older incarnation's key is replaced, whatever its lease
        txn = Txn({}, [Put(key, value, lease)])
        await self._commit(txn)

    async def _give_away(self) -> None:
        """Workers that can't reach us are sent to us by all others until somebody else acts
        for them; once nobody answers them their leases end."""
        shards = dict(self.owned)
        if all(
            label == self._settings.label or n.get("deaf")
            for label, n in self._cluster.nodes.items()
        ):
            return
        log.info("no worker heard, shards given away number=%d", len(shards))
        await self._announce()
        for shard, own in shards.items():
            self._drop(shard, "no worker heard")
            await self._commit(Txn({keys.shard(shard): own.version}, [], [keys.shard(shard)]))

    async def _commit(self, txn: Txn) -> bool:
        epoch = self._keeper.epoch
        intent = WriteIntent(txn, WriteRank.OWNERSHIP, holds=lambda: self._keeper.holds(epoch))
        return await self._writer.commit(intent) == WriteResult.OK

    def _patient(self, key: str) -> bool:
        """Others' keys are taken in turn: the least loaded controller first."""
        now = self._clock.now()
        since = self._missing.setdefault(key, now)
        wait = self.choice.rank() * self._settings.controller_lease_ttl_s / 4
        if not self._cluster.shards:
            # nobody has started yet: leave each its own
            wait += self._settings.controller_lease_ttl_s
        return now - since >= wait

    def _may_take(self, shard: int) -> bool:
        known = self._cluster.shards.get(shard)
        key = keys.shard(shard)
        if known is not None:
            self._missing.pop(key, None)
            # the process of an older incarnation under our label has ended: its place is ours
            return known.owner == self._settings.label and not self._promises.bound(shard)
        if self._promises.bound(shard) or not self._promises.may_start(shard):
            return False
        home = self.choice.home(shard)
        if self.choice.is_deaf(self._settings.label):
            return False
        gives_way = self.choice.gives_way(home)
        if home == self._settings.label and not gives_way:
            return True
        if self.choice.is_reachable(home) and self._cluster.shards and not gives_way:
            self._missing.setdefault(key, self._clock.now())
            return self._clock.now() - self._missing[key] > self._settings.controller_lease_ttl_s
        return self._patient(key)

    async def _take(self, shard: int, above: int = 0) -> None:
        self._shards.taking.add(shard)
        try:
            await self._take_one(shard, above)
        finally:
            self._shards.taking.discard(shard)

    def next_token(self, above: int = 0) -> tuple[int, int]:
        """The next token, above this one, and the counter's version that a write of it rests on."""
        counter = self._cluster.mirror.value(keys.TOKEN) or {"n": 0}
        return max(int(counter["n"]), above) + 1, self._cluster.mirror.version(keys.TOKEN)

    async def _take_one(self, shard: int, above: int) -> None:
        known = self._cluster.shards.get(shard)
        token, counted = self.next_token(above)
        lease, epoch = self._keeper.lease, self._keeper.epoch
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
        before = self.owned.get(shard)
        self.owned[shard] = Owned(token, version, self._clock.now(), epoch, token)
        if before is not None and before.epoch == epoch:
            # a raised token of a shard that stayed ours: nobody else wrote in between
            self.owned[shard].acquired_at = before.acquired_at
            self.owned[shard].ready = before.ready
            self.owned[shard].term = before.term
        self._missing.pop(key, None)
        log.info("shard taken shard=%d epoch=%d", shard, token)

    async def _lead(self) -> None:
        known = self._cluster.leader
        version = self._cluster.mirror.version(keys.LEADER)
        if self._leads is not None and self._leads == (self._keeper.epoch, version):
            return
        if self._leads is not None:
            log.info("lead lost")
            self._leads = None
        if known is not None and known != self._settings.label:
            self._missing.pop(keys.LEADER, None)
            return
        if known is None and not self._patient(keys.LEADER):
            return
        txn = Txn(
            {keys.LEADER: version},
            [Put(keys.LEADER, {"owner": self._settings.label}, self._keeper.lease)],
        )
        epoch = self._keeper.epoch
        if await self._commit(txn):
            self._leads = (epoch, self._cluster.mirror.version(keys.LEADER))
            self._missing.pop(keys.LEADER, None)
            log.info("lead taken epoch=%d", epoch)
        else:
            await self._watcher.sync(self._settings.lease_renewal_interval_s)

    async def _hand_over(self) -> None:
        """A shard that another controller should own is let go of, one at a look: whoever comes
        first in rank takes it at once."""
        for shard, own in list(self.owned.items()):
            stood_s = self._clock.now() - own.acquired_at
            if stood_s <= self._settings.worker_lease_s or not self.choice.is_better_elsewhere(
                shard
            ):
                continue
            self._drop(shard, "handed over")
            await self._commit(Txn({keys.shard(shard): own.version}, [], [keys.shard(shard)]))
            return
