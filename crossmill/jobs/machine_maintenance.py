"""Maintenance of a shard's machines: records which have come up, and retires others.

Called by the scheduling loop in each round. Owns which zones were silent lately; the cloud returns
a machine once its record says that it is retiring (fleet/provisioner.py).
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
from .failures import TaskFailures
from .machine_drain import MachineDrain

log = logging.getLogger(__name__)


class RetireReason(StrEnum):
    """Why a machine is retired; the values are stored in its record."""

    # no heartbeat for longer than its worker's lease
    SILENT = "silent"
    # never reported, long after it should have booted
    NEVER_UP = "never-up"
    # several jobs failed on it
    FAULTY = "faulty"
    # its replicas were moved to other machines
    DRAINED = "drained"
    # nothing ran on it for a while, and nothing is expected to
    IDLE = "idle"


class MachineMaintenance:
    """Finds machines that have come up, or are to be retired."""

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
        # by shard
        self._checked_at: dict[int, float] = {}
        self._spare_checked_at: dict[int, float] = {}
        # by shard and zone, until when the zone counts as silent
        self._silent_until: dict[tuple[int, str], float] = {}

    def writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> list[WriteIntent]:
        """Returns the writes for machines that have come up or are to be retired.

        Limited to one check in an interval: what it reads changes with heartbeats and boots, so
        rounds between two heartbeats find little that is new.
        """
        now = self._clock.now()
        if now - self._checked_at.get(shard, -inf) < self._settings.maintenance_interval_s:
            return []
        self._checked_at[shard] = now
        intents = self._up_writes(shard, ownership, machines)
        silent_zones = self._silent_zones(shard, machines, now)
        spare = self._spare_machines(shard, machines, now)
        for machine in machines:
            timeout_s = self._settings.worker_lease_expiry_s
            if machine.zone in silent_zones:
                # many silent machines are a partition or a fault of this controller, not of the
                # machines: in a partitioned zone a peer may keep the workers alive
                timeout_s += self._settings.partition_keepalive_s
            if machine.retirement_reason or now - ownership.acquired_at < timeout_s:
                continue
            reason = self._retire_reason(machine, now, timeout_s, spare)
            if reason is not None and self._may_retire(machine, reason):
                log.info("machine retired machine=%s reason=%s", machine.id, reason)
                value = encode_machine(machine, reason, True)
                intents.append(self._intent(shard, ownership, machine, value))
        return intents

    def _may_retire(self, machine: Machine, reason: RetireReason) -> bool:
        gate = self._heartbeats.gate
        return gate is None or gate.may_give_up(machine, reason)

    def _intent(
        self, shard: int, ownership: ShardOwnership, machine: Machine, value: dict[str, Any]
    ) -> WriteIntent:
        key = keys.machine(machine.id)
        txn = Txn({key: machine.version}, [Put(key, value)])
        return shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)

    def _up_writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> list[WriteIntent]:
        """Returns writes for machines that sent their first heartbeat, with their boot times."""
        intents: list[WriteIntent] = []
        for machine in machines:
            view = self._heartbeats.find_view(machine.id)
            if machine.is_up or view is None or not view.has_confirmed_token:
                continue
            # boot times are learned only for types that the catalog has
            boot_s = None
            if machine.type in self._cluster.catalog:
                boot_s = round(self._clock.wall() - machine.rented_at, 1)
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

    def _silent_zones(self, shard: int, machines: list[Machine], now: float) -> set[str]:
        """Returns the zones where most machines that were up are silent, or were until recently.

        Machines of a partitioned zone fall silent and come back one by one. None should be
        retired because it was the first to fall silent or the last to come back.
        """
        up: Counter[str] = Counter()
        silent: Counter[str] = Counter()
        for machine in machines:
            if machine.is_up:
                view = self._heartbeats.find_view(machine.id)
                up[machine.zone] += 1
                if view is None or not view.is_fresh(now, self._settings.heartbeat_timeout_s):
                    silent[machine.zone] += 1
        for zone, silent_count in silent.items():
            if 2 * silent_count > up[zone] and (
                silent_count > 1 or self._expiry_proof.is_zone_unreachable(zone)
            ):
                self._silent_until[shard, zone] = now + self._settings.worker_lease_s
        return {
            zone
            for (of_shard, zone), until in self._silent_until.items()
            if of_shard == shard and now < until
        }

    def _spare_machines(self, shard: int, machines: list[Machine], now: float) -> set[str]:
        """Returns machines that neither waiting nor expected tasks would use.

        The forecast is costly: it is asked only if some machine has been empty for long enough,
        and no more often than workers send heartbeats.
        """
        checked_at = self._spare_checked_at.get(shard, 0.0)
        if now - checked_at < self._settings.heartbeat_interval_s:
            return set()
        if not any(not m.retirement_reason and self._is_idle(m, now) for m in machines):
            return set()
        self._spare_checked_at[shard] = now
        return self._forecast.plan(shard).spare_machines

    def _is_idle(self, machine: Machine, now: float) -> bool:
        """Whether the machine has been empty for longer than the timeout."""
        view = self._heartbeats.find_view(machine.id)
        since = view.idle_since if view is not None else None
        return since is not None and now - since > self._settings.idle_machine_timeout_s

    def _retire_reason(
        self, machine: Machine, now: float, timeout_s: float, spare: set[str]
    ) -> RetireReason | None:
        """Returns why the machine is to be retired; None if it stays."""
        view = self._heartbeats.find_view(machine.id)
        kind = self._cluster.catalog.get(machine.type)
        if view is None or kind is None:
            return None
        if not view.has_confirmed_token:
            if now - view.answered_at <= timeout_s:
                return None
            return self._reason_without_heartbeat(machine, view, kind)
        if not view.is_fresh(now, timeout_s):
            return RetireReason.SILENT
        if self._failures.is_faulty(machine.id):
            return RetireReason.FAULTY if not machine.attempts else None
        return self._reason_when_empty(machine, view, now, spare)

    def _reason_without_heartbeat(
        self, machine: Machine, view: WorkerView, kind: MachineType
    ) -> RetireReason | None:
        """Returns the reason for a machine that this owner has no trusted heartbeat of."""
        if machine.is_up or view.has_been_answered:
            # an earlier owner has heard it. Without this check, a controller that took a shard
            # over while its zone was partitioned took half a fleet for never come up
            return RetireReason.SILENT
        has_failed = self._forecast.capacity.has_boot_failed(machine, kind, self._clock.wall())
        return RetireReason.NEVER_UP if has_failed else None

    def _reason_when_empty(
        self, machine: Machine, view: WorkerView, now: float, spare: set[str]
    ) -> RetireReason | None:
        """Notes since when the machine is empty; returns the reason if it has been for long."""
        if machine.attempts or view.tasks:
            view.idle_since = None
        elif view.idle_since is None:
            view.idle_since = now
        elif self._machine_drain.is_draining(machine.id):
            return RetireReason.DRAINED
        elif machine.id in spare and self._is_idle(machine, now):
            return RetireReason.IDLE
        return None
