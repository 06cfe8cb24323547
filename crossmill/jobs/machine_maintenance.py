"""A shard's machines: which are up, which are given up, which go to another shard."""

import logging
from collections import Counter
from math import inf
from typing import Any

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.lease_expiry_proof import LeaseExpiryProof
from ..cluster.membership import Membership
from ..cluster.model import Machine
from ..cluster.ownership import ShardOwnership
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from ..workers.heartbeat_handler import HeartbeatHandler
from .failures import TaskFailures
from .machine_transfer import MachineTransfer
from .preemption import Preemption
from .shard_writes import shard_intent

log = logging.getLogger(__name__)


class MachineMaintenance:
    """Finds machines that have come up, are to be given up, or to be given to another shard."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        heartbeats: HeartbeatHandler,
        forecast: DemandForecast,
        expiry_proof: LeaseExpiryProof,
        preemption: Preemption,
        machine_transfer: MachineTransfer,
        failures: TaskFailures,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._heartbeats = heartbeats
        self._forecast = forecast
        self._expiry_proof = expiry_proof
        self._preemption = preemption
        self._machine_transfer = machine_transfer
        self._failures = failures
        self._looked_at: dict[int, float] = {}
        self._spare_at: dict[int, float] = {}
        self._silent_until: dict[tuple[int, str], float] = {}

    def maintenance_writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> list[WriteIntent]:
        """Writes for machines that have come up or are to go. What is found out here changes with
        reports and boots, so rounds between two reports find little that is new.
        """
        now = self._clock.now()
        if now - self._looked_at.get(shard, -inf) < self._settings.maintenance_interval_s:
            return []
        self._looked_at[shard] = now
        intents = self._came_up(shard, ownership, machines)
        cut = self._silent_zones(shard, machines, now)
        spare = self._spare(shard, machines, now)
        for machine in machines:
            # many silent at once is a cut or our own trouble, not the machines': in a zone that
            # is cut off its workers may be kept alive, and are worth waiting for
            patience = self._settings.worker_lease_expiry_s
            if machine.zone in cut:
                patience += self._settings.partition_keepalive_s
            if machine.retiring or now - ownership.acquired_at < patience:
                continue
            why = self._fault(machine, now, patience, spare)
            if why and (
                self._heartbeats.gate is None or self._heartbeats.gate.may_give_up(machine, why)
            ):
                log.info("machine retired machine=%s reason=%s", machine.id, why)
                intents.append(self._intent(shard, ownership, machine, machine.encode(why, True)))
        return intents

    def _came_up(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> list[WriteIntent]:
        """Writes for machines that have reported for the first time, with how long they booted."""
        intents: list[WriteIntent] = []
        for machine in machines:
            view = self._heartbeats.find_view(machine.id)
            if machine.up or view is None or not view.trusted:
                continue
            # a type that no catalogue has is not an ordinary machine's: nothing is learned of it
            boot_s = None
            if machine.type in self._cluster.catalog:
                boot_s = round(self._clock.wall() - machine.rented, 1)
            log.info(
                "machine up machine=%s type=%s spot=%s boot_s=%s",
                machine.id,
                machine.type,
                machine.spot,
                boot_s,
            )
            value = machine.encode(up=True, boot_s=boot_s)
            intents.append(self._intent(shard, ownership, machine, value))
        return intents

    def _silent_zones(self, shard: int, machines: list[Machine], now: float) -> set[str]:
        """ZoneAllowance of which most machines that have been up are not heard, or were not until a
        moment ago: they fall silent and come back one by one, and none should be given up for
        being the first or the last.
        """
        up: Counter[str] = Counter()
        silent: Counter[str] = Counter()
        for machine in machines:
            if machine.up:
                view = self._heartbeats.find_view(machine.id)
                up[machine.zone] += 1
                if view is None or not view.is_fresh(now, self._settings.heartbeat_timeout_s):
                    silent[machine.zone] += 1
        for zone, number in silent.items():
            if 2 * number > up[zone] and (
                number > 1 or self._expiry_proof.is_zone_unreachable(zone)
            ):
                self._silent_until[shard, zone] = now + self._settings.worker_lease_s
        return {z for (k, z), until in self._silent_until.items() if k == shard and now < until}

    def transfer_writes(
        self, shard: int, ownership: ShardOwnership, machines: list[Machine]
    ) -> dict[str, WriteIntent]:
        """Empty machines go to the shard they are given to under a token drawn for them alone,
        so that nothing said by this shard's owner is obeyed afterwards. One at a time: each
        raises the counter that all tokens come from.
        """
        for machine in machines if self._machine_transfer.has_any else ():
            target = self._machine_transfer.target(machine)
            if target is not None:
                token, version = self._membership.next_token()
                value = machine.encode(moved=(target, token))
                intent = self._intent(shard, ownership, machine, value)
                intent.txn.conditions[keys.TOKEN] = version
                intent.txn.puts.append(Put(keys.TOKEN, {"n": token}))
                return {machine.id: intent}
        return {}

    def _intent(
        self, shard: int, ownership: ShardOwnership, machine: Machine, value: dict[str, Any]
    ) -> WriteIntent:
        key = keys.machine(machine.id)
        txn = Txn({key: machine.version}, [Put(key, value)])
        return shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)

    def _spare(self, shard: int, machines: list[Machine], now: float) -> set[str]:
        """Machines that neither waiting nor expected tasks would use; looked for only when
        some machine has been empty for long enough, and no more often than workers report.
        """
        if now - self._spare_at.get(shard, 0.0) < self._settings.heartbeat_interval_s:
            return set()
        for machine in machines:
            view = self._heartbeats.find_view(machine.id)
            since = view.idle_since if view is not None else None
            if (
                since is not None
                and now - since > self._settings.idle_machine_timeout_s
                and not machine.retiring
            ):
                self._spare_at[shard] = now
                return self._forecast.plan(shard).spare_machines
        return set()

    def _fault(self, machine: Machine, now: float, patience: float, spare: set[str]) -> str:
        view = self._heartbeats.find_view(machine.id)
        kind = self._cluster.catalog.get(machine.type)
        if view is None or kind is None:
            return ""
        if not view.trusted:
            if now - view.answered_at <= patience:
                return ""
            if machine.up or view.answered:
                # an earlier owner has heard it: half a fleet was once taken for never come up
                # by whoever took over while its zone was cut off
                return "silent"
            has_failed = self._forecast.capacity.has_boot_failed(machine, kind, self._clock.wall())
            return "never-up" if has_failed else ""
        if not view.is_fresh(now, patience):
            return "silent"
        if self._failures.is_faulty(machine.id):
            return "faulty" if not machine.attempts else ""
        if machine.attempts or view.tasks:
            view.idle_since = None
        elif view.idle_since is None:
            view.idle_since = now
        elif machine.id in self._preemption.draining:
            return "drained"
        elif now - view.idle_since > self._settings.idle_machine_timeout_s and machine.id in spare:
            return "idle"
        return ""
