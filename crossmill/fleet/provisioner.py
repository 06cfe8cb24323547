"""Scales the fleet out and in while this controller leads, and refreshes the catalog.

`FleetProvisioner.run` is one of the controller's loops. It rents the machines that the demand
forecast requests, returns the machines that are marked as retiring, and reconciles the machine
records with the cloud's list. It keeps the machines recently listed or released in memory;
`MachineRecords` writes the durable state.
"""

import logging
from typing import NamedTuple

import curio

from ..cluster.cluster_state import ClusterState
from ..net.clock import Clock
from ..planning.demand import MachineRequest, MachineSourceKey
from ..settings import Settings
from ..wire.cloud import MAX_RELEASE, ListedMachine
from .cloud import Cloud, CloudError, NoCapacityError, NotLeaderError
from .forecast import DemandForecast
from .machine_records import MachineRecords

log = logging.getLogger(__name__)

# the state of a failed machine in the list, and the reason for which it is retired
FAILED = "failed"
# the maximum age of the catalog in heartbeat intervals
MAX_CATALOG_AGE_HEARTBEATS = 30
# released machines, which the list shows for a while, are remembered for this many worker leases
RELEASED_MEMORY_LEASES = 60
# a machine without a record is adopted after it was listed this many times
ADOPTION_LISTINGS = 2
# a machine's age at its adoption must exceed a worker lease plus this many times the list's lag
ADOPTION_LIST_LAGS = 3


class FleetProvisioner:
    """Rents, adopts and returns machines while this controller leads."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        forecast: DemandForecast,
        cloud: Cloud,
        records: MachineRecords,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._forecast = forecast
        self._cloud = cloud
        self._records = records
        self._catalog_fetched_at: float | None = None
        self._last_list_at: float | None = None
        # the number of times that each machine without a record was listed, by machine ID
        self._times_listed: dict[str, int] = {}
        # release times of recently released machines by ID, in monotonic seconds
        self._released_at: dict[str, float] = {}

    async def run(self) -> None:
        """Provision until the controller ends; a failed cloud request only delays provisioning."""
        while True:
            if self._records.is_leader() or not self._cluster.catalog:
                try:
                    await self.run_once()
                except CloudError as exc:
                    # nothing is rented or returned until the retry; running work is not affected
                    log.info("cloud request failed error=%s", exc)
                    await curio.sleep(self._settings.heartbeat_interval_s)
            await curio.sleep(self._settings.heartbeat_interval_s / 2)

    async def run_once(self) -> None:
        """Refresh the catalog if it is old; if this controller leads, scale in and out.

        Raises:
            CloudError: A request to the cloud failed.
        """
        now = self._clock.now()
        if self._is_catalog_old(now):
            await self._refresh_catalog()
        if not self._records.is_leader():
            return
        await self.scale_in()
        await self.scale_out()
        if (
            self._last_list_at is None
            or now - self._last_list_at >= self._settings.cloud_list_interval_s
        ):
            self._last_list_at = now
            await self.reconcile_with_list()

    # -- catalog ---------------------------------------------------------------------

    def _is_catalog_old(self, now: float) -> bool:
        max_age_s = MAX_CATALOG_AGE_HEARTBEATS * self._settings.heartbeat_interval_s
        return self._catalog_fetched_at is None or now - self._catalog_fetched_at > max_age_s

    async def _refresh_catalog(self) -> None:
        _log_fleet(self._cluster)
        catalog = await self._cloud.catalog()
        self._catalog_fetched_at = self._clock.now()
        if not self._cluster.catalog:
            self._cluster.use_catalog(catalog)
        await self._records.store_catalog(catalog)

    # -- scale-out -------------------------------------------------------------------

    async def scale_out(self) -> None:
        """Rent the machines requested by the shards' capacity plans."""
        for shard in range(self._settings.shard_count):
            for request in list(self._forecast.plan(shard).machine_requests.values()):
                if not self._records.is_leader():
                    return
                await self.rent(shard, request)

    async def rent(self, shard: int, request: MachineRequest) -> None:
        """Rent machines for a shard and write their records.

        Raises:
            CloudError: The request failed twice, or this controller is no longer the leader.
        """
        source = request.source.key
        requested_at = self._clock.wall_time()
        try:
            rented = await self._rent_with_retry(source, request.number)
        except NoCapacityError:
            self._forecast.capacity.record_no_capacity(source)
            log.info("cloud capacity unavailable type=%s zone=%s spot=%s", *source)
            return
        log.info(
            "machines rented shard=%d type=%s zone=%s spot=%s asked=%d got=%d first=%s",
            shard,
            *source,
            request.number,
            len(rented),
            rented[0] if rented else "",
        )
        if len(rented) < request.number:
            self._forecast.capacity.record_no_capacity(source)
        await self._records.add(rented, source, shard, requested_at)

    async def _rent_with_retry(self, source: MachineSourceKey, number: int) -> list[str]:
        """Rent machines, retrying a failed request once.

        The retry has the same name and so rents nothing twice. If the responses are lost, the
        rented machines are adopted from the list.
        """
        name = self._cloud.new_request_name()
        try:
            return await self._cloud.rent(name, source, number, self._records.is_leader)
        except NotLeaderError:
            raise
        except CloudError:
            await curio.sleep(self._settings.heartbeat_interval_s)
        return await self._cloud.rent(name, source, number, self._records.is_leader)

    # -- the cloud's list ------------------------------------------------------------

    async def reconcile_with_list(self) -> None:
        """Retire machines that the cloud lists as failed, and adopt those without a record."""
        unknown_machines: list[ListedMachine] = []
        for listed_machine in await self._cloud.list_machines():
            machine = self._cluster.machines.get(listed_machine.id)
            if machine is not None:
                self._times_listed.pop(listed_machine.id, None)
                if listed_machine.state == FAILED and not machine.retirement_reason:
                    await self._retire(listed_machine.id, FAILED)
            elif self._is_to_be_adopted(listed_machine):
                unknown_machines.append(listed_machine)
        if unknown_machines:
            await self._adopt(unknown_machines)

    def _is_to_be_adopted(self, listed_machine: ListedMachine) -> bool:
        """Count that a machine without a record was listed; return whether to adopt it.

        The list is delayed and may return to an older state. A machine is adopted only if it has
        been unknown for longer than the response to a rental and the write of its record take.
        """
        min_age_s = ADOPTION_LIST_LAGS * self._settings.list_lag_s + self._settings.worker_lease_s
        if listed_machine.age_s <= min_age_s or listed_machine.id in self._released_at:
            return False
        self._times_listed[listed_machine.id] = self._times_listed.get(listed_machine.id, 0) + 1
        return self._times_listed[listed_machine.id] >= ADOPTION_LISTINGS

    async def _adopt(self, machines: list[ListedMachine]) -> None:
        """Write records for unknown machines; unneeded ones are returned like idle machines."""
        shard = max(
            range(self._settings.shard_count),
            key=lambda shard: self._forecast.plan(shard).unplaced_tasks,
        )
        for listed_machine in machines:
            log.info("machine adopted machine=%s shard=%d", listed_machine.id, shard)
            source = MachineSourceKey(listed_machine.type, listed_machine.zone, listed_machine.spot)
            await self._records.add(
                [listed_machine.id], source, shard, self._clock.wall_time() - listed_machine.age_s
            )
            if listed_machine.state == FAILED:
                await self._retire(listed_machine.id, FAILED)

    async def _retire(self, machine_id: str, reason: str) -> None:
        machine = self._cluster.machines.get(machine_id)
        if machine is None or not self._records.is_leader():
            return
        log.info("machine retired machine=%s reason=%s", machine_id, reason)
        await self._records.retire(machine, reason)

    # -- scale-in --------------------------------------------------------------------

    async def scale_in(self) -> None:
        """Return the machines that are durably marked as retiring to the cloud.

        A record is deleted after the cloud's response, when the machine and all tasks on it have
        ended.

        Raises:
            CloudError: The request failed.
        """
        retiring = [
            machine for machine in self._cluster.machines.values() if machine.retirement_reason
        ]
        machines = retiring[:MAX_RELEASE]
        if not machines:
            return
        await self._cloud.release([machine.id for machine in machines], self._records.is_leader)
        if not self._records.is_leader():
            return
        log.info("machines released machines=%d first=%s", len(machines), machines[0].id)
        self._remember_released([machine.id for machine in machines])
        await self._records.remove(machines)

    def _remember_released(self, machine_ids: list[str]) -> None:
        now = self._clock.now()
        memory_s = RELEASED_MEMORY_LEASES * self._settings.worker_lease_s
        self._released_at = {
            machine_id: released_at
            for machine_id, released_at in self._released_at.items()
            if now - released_at < memory_s
        }
        self._released_at.update((machine_id, now) for machine_id in machine_ids)


class _FleetGroup(NamedTuple):
    """The key by which the fleet's log lines group machines."""

    shard: int
    type_name: str
    spot: bool


class _FleetGroupUsage:
    """The number of machines of a group and their resources in use."""

    __slots__ = ("booting", "cpu_load", "gpus_total", "gpus_used", "idle", "machines")

    def __init__(self) -> None:
        self.machines = 0
        self.booting = 0
        self.idle = 0
        # the sum over the machines of the share of CPUs in use
        self.cpu_load = 0.0
        self.gpus_used = 0.0
        self.gpus_total = 0.0


def _log_fleet(cluster: ClusterState) -> None:
    """Log the fleet's machines by group, so that operators see which machines are paid for."""
    for group, usage in _fleet_usage(cluster).items():
        log.info(
            "fleet shard=%d type=%s spot=%s machines=%d booting=%d empty=%d cpus=%.0f%% gpus=%d/%d",
            *group,
            usage.machines,
            usage.booting,
            usage.idle,
            100 * usage.cpu_load / usage.machines,
            usage.gpus_used,
            usage.gpus_total,
        )


def _fleet_usage(cluster: ClusterState) -> dict[_FleetGroup, _FleetGroupUsage]:
    usages: dict[_FleetGroup, _FleetGroupUsage] = {}
    for machine in cluster.machines.values():
        machine_type = cluster.catalog.get(machine.type)
        if machine_type is None:
            continue
        group = _FleetGroup(machine.shard, machine.type, machine.spot)
        usage = usages.setdefault(group, _FleetGroupUsage())
        usage.machines += 1
        usage.booting += not machine.is_up
        usage.idle += not machine.attempts
        usage.cpu_load += machine.used_cpus / machine_type.cpus
        usage.gpus_used += machine.used_gpus
        usage.gpus_total += machine_type.gpus
    return usages
