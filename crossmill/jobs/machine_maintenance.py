"""Maintenance of a shard's machines: records machines that have booted, and retires machines.

The scheduling loop calls it in each round. It owns the set of zones that were recently unreachable.
A machine is returned to the cloud once its record marks it as retiring (fleet/provisioner.py).
"""

import logging
from collections import Counter
from enum import StrEnum
from math import inf
from typing import Any

from ..cluster import keys
from ..cluster.lease_expiry_proof import LeaseExpiryProof
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import Machine
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_machine
from ..state.writer import WriteIntent, WriteRank
from ..wire.cloud import MachineType
from ..wire.state import Put, Txn
from ..workers.views import WorkerView
from .context import SchedulingContext
from .failures import MachineCordon, TaskFailures
from .machine_drain import MachineDrain

log = logging.getLogger(__name__)


class RetireReason(StrEnum):
    """The reason why a machine is retired, which is stored in its record."""

    # no heartbeat was received for longer than its worker's lease
    SILENT = "silent"
    # no heartbeat was ever received, long after it should have booted
    NEVER_UP = "never-up"
    # tasks of several jobs failed on it
    FAULTY = "faulty"
    # its replicas were moved to other machines
    DRAINED = "drained"
    # it had no task for a while, and no task is expected to need it
    IDLE = "idle"


class MachineMaintenance:
    """Detection of machines that have booted or are to be retired."""

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        expiry_proof: LeaseExpiryProof,
        machine_drain: MachineDrain,
        failures: TaskFailures,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._membership = membership
        self._expiry_proof = expiry_proof
        self._machine_drain = machine_drain
        self._failures = failures
        self._cordon = MachineCordon(context, failures)
        # times of the last maintenance checks and spare machine forecasts, in seconds, by shard
        self._checked_at: dict[int, float] = {}
        self._spare_checked_at: dict[int, float] = {}
        # times in seconds until which a zone counts as unreachable, by shard and zone
        self._unreachable_until: dict[tuple[int, str], float] = {}

    def writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> list[WriteIntent]:
        """Return the writes for machines that have booted or are to be retired.

        Checks are limited to one per maintenance interval: their inputs change with heartbeats and
        boots, so rounds between two heartbeats would find few changes.
        """
        now = self._clock.now()
        if now - self._checked_at.get(shard, -inf) < self._settings.maintenance_interval_s:
            return []
        self._checked_at[shard] = now
        intents = self._boot_writes(shard, ownership, machines)
        unreachable_zones = self._unreachable_zones(shard, machines, now)
        spare = self._spare_machines(shard, machines, now)
        for machine in machines:
            if machine.retirement_reason:
                continue
            timeout_s = self._silence_timeout_s(machine, unreachable_zones)
            value = None
            if now - ownership.acquired_at >= timeout_s:
                value = self._retired(machine, now, timeout_s, spare)
            if value is None:
                value = self._cordoned(machine)
            if value is not None:
                intents.append(self._intent(shard, ownership, machine, value))
        return intents

    def _silence_timeout_s(self, machine: Machine, unreachable_zones: set[str]) -> float:
        """Return the time without a heartbeat after which the machine is given up.

        If many machines send no heartbeats, the cause is a network partition or a fault of this
        controller, not of the machines. In a partitioned zone, a peer may keep the workers alive,
        and so may one that is cut off alone. Planned attempts are a sign of that: once it is proved
        that nobody keeps the worker alive, they count as ended.
        """
        timeout_s = self._settings.worker_lease_expiry_s
        if machine.zone in unreachable_zones or machine.attempts:
            timeout_s += self._settings.partition_keepalive_s
        return timeout_s

    def _retired(
        self, machine: Machine, now: float, timeout_s: float, spare: set[str]
    ) -> dict[str, Any] | None:
        """Return the record that retires the machine, or None if it is kept."""
        reason = self._retire_reason(machine, now, timeout_s, spare)
        if reason is None or not self._may_retire(machine, reason):
            return None
        log.info("machine retired machine=%s reason=%s", machine.id, reason)
        return encode_machine(machine, reason, True)

    def _cordoned(self, machine: Machine) -> dict[str, Any] | None:
        """Return the record with the machine's cordon begun or ended; None for no change."""
        cordoned_until = self._cordon.change(machine)
        if cordoned_until is None:
            return None
        return encode_machine(machine, cordoned_until=cordoned_until)

    def _may_retire(self, machine: Machine, reason: RetireReason) -> bool:
        gate = self._heartbeats.gate
        return gate is None or gate.may_retire(machine, reason)

    def _intent(
        self, shard: int, ownership: ShardOwnership, machine: Machine, value: dict[str, Any]
    ) -> WriteIntent:
        key = keys.machine(machine.id)
        txn = Txn({key: machine.version}, [Put(key, value)])
        return shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)

    def _boot_writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> list[WriteIntent]:
        """Return writes for machines that sent their first heartbeat, with their boot times."""
        intents: list[WriteIntent] = []
        for machine in machines:
            view = self._heartbeats.find_view(machine.id)
            if machine.is_up or view is None or not view.has_confirmed_token:
                continue
            # boot times are recorded only for machine types in the catalog
            boot_s = None
            if machine.type in self._cluster.catalog:
                boot_s = round(self._clock.wall_time() - machine.rented_at, 1)
            log.info(
                "machine up machine=%s type=%s spot=%s boot_s=%s",
                machine.id,
                machine.type,
                machine.spot,
                boot_s,
            )
            value = encode_machine(machine, is_up=True, boot_s=boot_s)
            intents.append(self._intent(shard, ownership, machine, value))
        return intents

    def _unreachable_zones(self, shard: int, machines: list[Machine], now: float) -> set[str]:
        """Return the zones where most booted machines send no heartbeats, or recently sent none.

        Machines of a partitioned zone become unreachable and reachable one by one. None should be
        retired because it was the first to become unreachable or the last to become reachable.
        """
        up: Counter[str] = Counter()
        unreachable: Counter[str] = Counter()
        for machine in machines:
            if machine.is_up:
                view = self._heartbeats.find_view(machine.id)
                up[machine.zone] += 1
                if view is None or not view.is_fresh(now, self._settings.heartbeat_timeout_s):
                    unreachable[machine.zone] += 1
        for zone, unreachable_count in unreachable.items():
            if 2 * unreachable_count > up[zone] and (
                unreachable_count > 1 or self._expiry_proof.is_zone_unreachable(zone)
            ):
                self._unreachable_until[shard, zone] = now + self._settings.worker_lease_s
        return {
            zone
            for (zone_shard, zone), until in self._unreachable_until.items()
            if zone_shard == shard and now < until
        }

    def _spare_machines(self, shard: int, machines: list[Machine], now: float) -> set[str]:
        """Return the machines that neither waiting nor expected tasks would use.

        The forecast is costly: it is computed only if some machine has exceeded the idle timeout,
        and at most once per heartbeat interval.
        """
        checked_at = self._spare_checked_at.get(shard, 0.0)
        if now - checked_at < self._settings.heartbeat_interval_s:
            return set()
        if not any(
            not m.retirement_reason and self._has_exceeded_idle_timeout(m, now) for m in machines
        ):
            return set()
        self._spare_checked_at[shard] = now
        return self._forecast.plan(shard).spare_machines

    def _has_exceeded_idle_timeout(self, machine: Machine, now: float) -> bool:
        """Return whether the machine has been idle for longer than the timeout."""
        view = self._heartbeats.find_view(machine.id)
        since = view.idle_since if view is not None else None
        return since is not None and now - since > self._settings.idle_machine_timeout_s

    def _retire_reason(
        self, machine: Machine, now: float, timeout_s: float, spare: set[str]
    ) -> RetireReason | None:
        """Return the reason to retire the machine, or None if it is kept."""
        view = self._heartbeats.find_view(machine.id)
        machine_type = self._cluster.catalog.get(machine.type)
        if view is None or machine_type is None:
            return None
        if not view.has_confirmed_token:
            if now - view.last_response_at <= timeout_s:
                return None
            return self._reason_without_heartbeat(machine, view, machine_type)
        if not view.is_fresh(now, timeout_s):
            return RetireReason.SILENT
        if self._failures.is_unusable(machine):
            return RetireReason.FAULTY if not machine.attempts else None
        return self._reason_when_idle(machine, view, now, spare)

    def _reason_without_heartbeat(
        self, machine: Machine, view: WorkerView, machine_type: MachineType
    ) -> RetireReason | None:
        """Return the reason to retire a machine that sent this owner no trusted heartbeat."""
        if machine.is_up or view.has_been_sent_response:
            # this or an earlier owner has received its heartbeats. Without this check, a controller
            # that took over a shard while its zone was partitioned classified half of the fleet as
            # never booted
            return RetireReason.SILENT
        has_failed = self._forecast.capacity.has_boot_failed(
            machine, machine_type, self._clock.wall_time()
        )
        return RetireReason.NEVER_UP if has_failed else None

    def _reason_when_idle(
        self, machine: Machine, view: WorkerView, now: float, spare: set[str]
    ) -> RetireReason | None:
        """Update the time since which the machine is idle, and return any reason to retire it."""
        if machine.attempts or view.tasks:
            view.idle_since = None
        elif view.idle_since is None:
            view.idle_since = now
        elif not self._machine_drain.may_return(machine):
            return None
        elif self._machine_drain.is_draining(machine.id):
            return RetireReason.DRAINED
        elif machine.id in spare and self._has_exceeded_idle_timeout(machine, now):
            return RetireReason.IDLE
        return None
