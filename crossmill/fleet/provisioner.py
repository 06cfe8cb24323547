"""The leader's work: catalog, renting, adopting, releasing."""

import logging
from collections.abc import Callable
from itertools import count

import curio

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.records import encode_machine
from ..net.clock import Clock
from ..planning.demand import MachineRequest
from ..settings import Settings
from ..state.writer import Authority, WriteIntent, Writer, WriteRank, WriteResult
from ..wire.cloud import MAX_RELEASE, Listed
from ..wire.state import Put, Txn
from .cloud import Cloud, CloudError, NoCapacityError, NotLeaderError, stored_catalog
from .forecast import DemandForecast

log = logging.getLogger(__name__)


class FleetProvisioner:
    """Rents, adopts and returns machines while this controller leads."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        forecast: DemandForecast,
        cloud: Cloud,
        writer: Writer,
        unique: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._forecast = forecast
        self._cloud = cloud
        self._writer = writer
        # no incarnation ever uses a name of another: the prefix is drawn anew at each start
        self._names = (f"{settings.label}-{unique()}-{n}" for n in count(1))
        self._catalog_at: float | None = None
        self._list_at: float | None = None
        self._unlisted: dict[str, int] = {}
        # released machines go on being listed for a while
        self._gone: dict[str, float] = {}

    async def run(self) -> None:
        """Steps until the controller ends; trouble with the cloud only pauses it."""
        while True:
            if self._membership.leadership_version() is not None or not self._cluster.catalog:
                try:
                    await self._step()
                except CloudError as exc:
                    # spending pauses; what runs goes on
                    log.info("cloud request failed error=%s", exc)
                    await curio.sleep(self._settings.heartbeat_interval_s)
            await curio.sleep(self._settings.heartbeat_interval_s / 2)

    async def _step(self) -> None:
        now = self._clock.now()
        stale = (
            self._catalog_at is None
            or now - self._catalog_at > 30 * self._settings.heartbeat_interval_s
        )
        if stale:
            await self._refresh_catalog()
        if self._membership.leadership_version() is None:
            return
        await self._release()
        await self._rent()
        if self._list_at is None or now - self._list_at >= self._settings.cloud_list_interval_s:
            self._list_at = now
            await self._look_at_list(await self._cloud.machines())

    def _summarize(self) -> None:
        """The fleet in a few lines, so that an operator sees what the money goes to."""
        groups: dict[tuple[int, str, bool], list[float]] = {}
        for machine in self._cluster.machines.values():
            kind = self._cluster.catalog.get(machine.type)
            if kind is None:
                continue
            entry = groups.setdefault((machine.shard, machine.type, machine.spot), [0.0] * 6)
            empty, load = not machine.attempts, machine.used_cpus / kind.cpus
            shown: tuple[float, ...]
            shown = (1.0, float(not machine.up), float(empty), load, machine.used_gpus, kind.gpus)
            for i, value in enumerate(shown):
                entry[i] += value
        for (shard, name, spot), (number, booting, idle, busy, gpus, most) in groups.items():
            log.info(
                "fleet shard=%d type=%s spot=%s machines=%d booting=%d empty=%d cpus=%.0f%% "
                "gpus=%d/%d",
                shard,
                name,
                spot,
                number,
                booting,
                idle,
                100 * busy / number,
                gpus,
                most,
            )

    async def _refresh_catalog(self) -> None:
        self._summarize()
        catalog = await self._cloud.catalog()
        self._catalog_at = self._clock.now()
        if not self._cluster.catalog:
            self._cluster.use_catalog(catalog)
        version = self._membership.leadership_version()
        if version is None or stored_catalog(catalog) == self._cluster.mirror.value(keys.CATALOG):
            return
        txn = Txn({keys.LEADER: version}, [Put(keys.CATALOG, stored_catalog(catalog))])
        await self._commit(
            [WriteIntent(txn, WriteRank.BACKGROUND, authority=self._write_authority)]
        )

    def _leads(self) -> bool:
        return self._membership.leadership_version() is not None

    def _write_authority(self) -> Authority:
        return Authority.HELD if self._leads() else Authority.LOST

    async def _commit(self, intents: list[WriteIntent]) -> int:
        for intent in intents:
            await self._writer.submit(intent)
        return sum([await i.future.wait() == WriteResult.OK for i in intents])

    # -- renting ---------------------------------------------------------------------

    async def _rent(self) -> None:
        for shard in range(self._settings.shard_count):
            for need in list(self._forecast.plan(shard).machine_requests.values()):
                if self._membership.leadership_version() is None:
                    return
                await self._rent_one(shard, need)

    async def _rent_one(self, shard: int, need: MachineRequest) -> None:
        source = need.source
        name = next(self._names)
        key = (source.type.name, source.zone, source.spot)
        asked_at = self._clock.wall()
        for last in (False, True):
            try:
                rented = await self._cloud.rent(name, *key, need.number, self._leads)
                break
            except NoCapacityError:
                self._forecast.blocked[key] = (
                    self._clock.now() + self._settings.no_capacity_backoff_s
                )
                log.info("cloud capacity unavailable type=%s zone=%s spot=%s", *key)
                return
            except NotLeaderError:
                raise
            except CloudError:
                # the same name again rents nothing twice; what comes late is adopted
                if last:
                    raise
                await curio.sleep(self._settings.heartbeat_interval_s)
        log.info(
            "machines rented shard=%d type=%s zone=%s spot=%s asked=%d got=%d first=%s",
            shard,
            *key,
            need.number,
            len(rented),
            rented[0] if rented else "",
        )
        if len(rented) < need.number:
            self._forecast.blocked[key] = self._clock.now() + self._settings.no_capacity_backoff_s
        await self._record([(m, *key) for m in rented], [shard] * len(rented), asked_at)

    async def _record(
        self, machines: list[tuple[str, str, str, bool]], shards: list[int], at: float
    ) -> None:
        version = self._membership.leadership_version()
        if version is None:
            return
        intents = []
        for (machine, type_name, zone, spot), shard in zip(machines, shards, strict=True):
            key = keys.machine(machine)
            value = {
                "type": type_name,
                "zone": zone,
                "spot": spot,
                "shard": shard,
                "at": at,
                "retiring": "",
                "up": False,
            }
            txn = Txn({keys.LEADER: version, key: 0}, [Put(key, value)])
            intents.append(WriteIntent(txn, WriteRank.PLACEMENT, authority=self._write_authority))
        await self._commit(intents)

    # -- the list --------------------------------------------------------------------

    async def _look_at_list(self, listed: list[Listed]) -> None:
        """Lists lag and may go back: a machine is adopted only when it is listed and has been
        unknown for longer than a rental's answer and its record take.
        """
        fresh: list[Listed] = []
        for row in listed:
            known = self._cluster.machines.get(row.id)
            if known is not None:
                self._unlisted.pop(row.id, None)
                if row.state == "failed" and not known.retiring:
                    await self._retire(row.id, "failed")
                continue
            if (
                row.age_s > 3 * self._settings.list_lag_s + self._settings.worker_lease_s
                and row.id not in self._gone
            ):
                self._unlisted[row.id] = self._unlisted.get(row.id, 0) + 1
                if self._unlisted[row.id] >= 2:
                    fresh.append(row)
        if fresh:
            await self._adopt(fresh)

    async def _adopt(self, rows: list[Listed]) -> None:
        """Machines nobody expected are taken in; those not needed go the way of idle ones."""
        needy = max(
            range(self._settings.shard_count), key=lambda k: self._forecast.plan(k).unplaced_tasks
        )
        for row in rows:
            log.info("machine adopted machine=%s shard=%d", row.id, needy)
            await self._record(
                [(row.id, row.type, row.zone, row.spot)],
                [needy],
                self._clock.wall() - row.age_s,
            )
            if row.state == "failed":
                await self._retire(row.id, "failed")

    async def _retire(self, machine_id: str, why: str) -> None:
        machine, version = (
            self._cluster.machines.get(machine_id),
            self._membership.leadership_version(),
        )
        if machine is None or version is None:
            return
        log.info("machine retired machine=%s reason=%s", machine_id, why)
        key = keys.machine(machine_id)
        txn = Txn(
            {keys.LEADER: version, key: machine.version},
            [Put(key, encode_machine(machine, retiring=why))],
        )
        await self._commit(
            [WriteIntent(txn, WriteRank.BACKGROUND, authority=self._write_authority)]
        )

    # -- releasing -------------------------------------------------------------------

    async def _release(self) -> None:
        """Only what is durably retiring is released; the record goes after the 200, when the
        machine and all on it are gone.
        """
        going = [m for m in self._cluster.machines.values() if m.retiring][:MAX_RELEASE]
        if not going:
            return
        await self._cloud.release([m.id for m in going], self._leads)
        version = self._membership.leadership_version()
        if version is None:
            return
        log.info("machines released machines=%d first=%s", len(going), going[0].id)
        now = self._clock.now()
        self._gone = {
            m: at for m, at in self._gone.items() if now - at < 60 * self._settings.worker_lease_s
        }
        self._gone.update((m.id, now) for m in going)
        intents = [
            WriteIntent(
                Txn(
                    {keys.LEADER: version, keys.machine(m.id): m.version}, [], [keys.machine(m.id)]
                ),
                WriteRank.BACKGROUND,
                authority=self._write_authority,
            )
            for m in going
        ]
        await self._commit(intents)
