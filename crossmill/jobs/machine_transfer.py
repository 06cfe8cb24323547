"""Machines given to another shard, whose tasks find no room while the cloud has none.

Every controller sees the same durable facts, so each works out by itself what the others lack
and which shard has most to give; only a machine's present owner moves it (docs/safety.md).
"""

import logging
from collections.abc import Iterator

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Machine, PlannedAttempt
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..planning.demand import TaskDemand, slots_on
from ..planning.free_capacity import is_allowed
from ..settings import Settings
from ..workers.attempt_outcomes import StopReason
from ..workers.heartbeat_handler import HeartbeatHandler

log = logging.getLogger(__name__)


class MachineTransfer:
    """Chooses machines that are given to a shard whose jobs find no room."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        heartbeats: HeartbeatHandler,
        forecast: DemandForecast,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._heartbeats = heartbeats
        self._forecast = forecast
        # machines that go to another shard once they are empty, and until when that is tried
        self._leaving: dict[str, tuple[int, float]] = {}
        self._pending_until: dict[str, float] = {}
        self._looked_at: dict[int, float] = {}

    def target(self, machine: Machine) -> int | None:
        """The shard that the machine is to go to now: nothing is on it or may come to it."""
        entry = self._leaving.get(machine.id)
        view = self._heartbeats.find_view(machine.id)
        if entry is None or view is None or machine.attempts or view.tasks or machine.retiring:
            return None
        return None if self._heartbeats.unacknowledged.get(machine.id) else entry[0]

    def is_leaving(self, machine_id: str) -> bool:
        """Whether the machine goes to another shard once it is empty."""
        return machine_id in self._leaving

    @property
    def has_any(self) -> bool:
        """Whether any machine is to go to another shard."""
        return bool(self._leaving)

    def forget_transferred(self, machine_id: str) -> None:
        """The machine has gone."""
        self._leaving.pop(machine_id, None)

    def choose_machines(self, shard: int, machines: list[Machine]) -> Iterator[PlannedAttempt]:
        """Chooses machines to give; yields the attempts to be stopped for it."""
        now = self._clock.now()
        for machine_id, (to, until) in list(self._leaving.items()):
            machine = self._cluster.machines.get(machine_id)
            if machine is None or machine.shard == to or machine.retiring or now > until:
                del self._leaving[machine_id]
        if now - self._looked_at.get(shard, 0.0) < self._settings.machine_transfer_interval_s:
            return
        self._looked_at[shard] = now
        wall = self._clock.wall()
        for other in range(self._settings.shard_count):
            if other == shard or other not in self._cluster.shard_owners:
                continue
            for demand in self._forecast.unplaced_demands(other, wall):
                yield from self._give(shard, other, demand, machines, wall)

    def _give(
        self, shard: int, other: int, demand: TaskDemand, machines: list[Machine], wall: float
    ) -> Iterator[PlannedAttempt]:
        now, job = self._clock.now(), self._cluster.jobs[demand.spec.id]
        if self._pending_until.get(job.id, 0.0) > now:
            return
        # an idle machine is better moved than rented; running work is stopped only for
        # replicas, and only when the cloud has had its time
        busy = demand.spec.kind == "service" and wall - job.ready_at > self._settings.worker_lease_s
        for stop in (False, True) if busy else (False,):
            mine = self._suiting(shard, demand, stop)
            if not mine or any(
                (-len(self._suiting(k, demand, stop)), k) < (-len(mine), shard)
                for k in range(self._settings.shard_count)
                if k not in (shard, other)
            ):
                continue
            left = demand.tasks
            for machine in mine[: self._settings.max_machines_per_transfer]:
                if left <= 0:
                    break
                if machine.id in self._leaving or not self._idle(machine, stop):
                    continue
                left -= min(slots_on(demand.spec, self._cluster.catalog[machine.type]), left)
                self._leaving[machine.id] = (other, now + self._settings.worker_lease_s)
                log.info(
                    "machine transfer planned machine=%s shard=%d for_job=%s tasks=%d",
                    machine.id,
                    other,
                    job.id,
                    len(machine.attempts),
                )
                for attempt in machine.attempts.values():
                    self._heartbeats.request_stop(attempt, StopReason.TRANSFERRED)
                    yield attempt
            if left < demand.tasks:
                self._pending_until[job.id] = now + self._settings.worker_lease_s
                return

    def _idle(self, machine: Machine, stop: bool) -> bool:
        view = self._heartbeats.find_view(machine.id)
        if view is None or not view.is_fresh(self._clock.now(), self._settings.heartbeat_timeout_s):
            return False
        if view.notice_at is not None:
            return False
        since = view.idle_since
        return stop or (
            since is not None
            and self._clock.now() - since > 2 * self._settings.heartbeat_interval_s
        )

    def _suiting(self, shard: int, demand: TaskDemand, stop: bool) -> list[Machine]:
        """Machines of the shard that could serve: empty ones, or such as only run lesser work
        that is done again elsewhere; those with the least of it first.
        """
        spec = demand.spec
        result = []
        for machine in self._cluster.machines.by_shard[shard].values():
            kind = self._cluster.catalog.get(machine.type)
            if kind is None or machine.retiring or not machine.up:
                continue
            if bool(machine.attempts) is not stop or demand.zones.remaining(machine.zone) <= 0:
                continue
            if not is_allowed(spec, machine.type, machine.zone, machine.spot):
                continue
            if slots_on(spec, kind) and all(
                self._lesser(demand, r) for r in machine.attempts.values()
            ):
                result.append(machine)
        result.sort(key=lambda m: len(m.attempts))
        return result

    def _lesser(self, demand: TaskDemand, attempt: PlannedAttempt) -> bool:
        job = self._cluster.jobs.get(attempt.job)
        if job is None or job.spec is None or job.spec.kind == "service":
            return False
        return self._forecast.priority(job) > self._forecast.priority(
            self._cluster.jobs[demand.spec.id]
        )
