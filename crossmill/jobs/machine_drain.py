"""Drains machines whose replicas fit on other machines, so that the machines can be returned.

Called by placement in rounds without waiting tasks. Owns which machines are being drained; the
answers to heartbeats carry the stops out.
"""

import logging
from collections.abc import Callable, Iterator
from operator import attrgetter

from ..cluster.model import Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..planning.free_capacity import FreeCapacity
from ..workers.attempt_outcomes import StopReason
from .context import SchedulingContext

log = logging.getLogger(__name__)

# only the most promising candidates are checked for redundancy, which is costly
MAX_CANDIDATES_CHECKED = 8


class _Candidate:
    """A machine that could be drained, with the price saved for each replica moved."""

    __slots__ = ("machine", "price_per_task")

    def __init__(self, machine: Machine, price: float) -> None:
        self.machine = machine
        self.price_per_task = price / len(machine.attempts)


class MachineDrain:
    """Evicts the replicas of at most one machine at a time."""

    def __init__(self, context: SchedulingContext) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        # by machine, until when the drain is tried
        self._draining_until: dict[str, float] = {}
        # by shard, when a machine was looked for last
        self._checked_at: dict[int, float] = {}

    def is_draining(self, machine_id: str) -> bool:
        """Whether the machine is being drained, so that nothing may be placed on it."""
        return machine_id in self._draining_until

    def drain(
        self, shard: int, ownership: ShardOwnership, capacities: Callable[[], list[FreeCapacity]]
    ) -> Iterator[PlannedAttempt]:
        """Chooses a machine to drain if one is due, and yields the attempts to be stopped for it.

        `capacities` is called only if a machine is looked for.
        """
        now = self._clock.now()
        self._drop_finished(now)
        checked_at = max(ownership.acquired_at, self._checked_at.get(shard, 0.0))
        if self._draining_until or now - checked_at < self._settings.drain_interval_s:
            return
        self._checked_at[shard] = now
        machine = self._best_candidate(shard, capacities())
        if machine is None:
            return
        self._draining_until[machine.id] = now + 2 * self._settings.worker_lease_s
        log.info("machine drained machine=%s tasks=%d", machine.id, len(machine.attempts))
        for attempt in machine.attempts.values():
            self._heartbeats.request_stop(attempt, StopReason.DRAINED)
            yield attempt

    def _drop_finished(self, now: float) -> None:
        for machine_id in list(self._draining_until):
            machine = self._cluster.machines.get(machine_id)
            if (
                machine is None
                or machine.retirement_reason
                or now > self._draining_until[machine_id]
            ):
                del self._draining_until[machine_id]

    def _best_candidate(self, shard: int, capacities: list[FreeCapacity]) -> Machine | None:
        """Returns the redundant machine whose return saves most for each replica moved."""
        candidates: list[_Candidate] = []
        for capacity in capacities:
            machine = self._cluster.machines[capacity.machine]
            kind = self._cluster.catalog.get(machine.type)
            if kind is not None and self._is_drainable(machine):
                candidates.append(_Candidate(machine, kind.price))
        # stable also in reverse: of equal candidates the first stays first
        candidates.sort(key=attrgetter("price_per_task"), reverse=True)
        for candidate in candidates[:MAX_CANDIDATES_CHECKED]:
            if self._forecast.is_redundant(shard, candidate.machine, capacities):
                return candidate.machine
        return None

    def _is_drainable(self, machine: Machine) -> bool:
        """Whether the machine has few tasks, all of them replicas that have run for a while."""
        if not 0 < len(machine.attempts) <= self._settings.max_tasks_to_drain:
            return False
        return all(self._is_settled(attempt) for attempt in machine.attempts.values())

    def _is_settled(self, attempt: PlannedAttempt) -> bool:
        """Whether this is a replica that has run for a while.

        One that is stopped soon after its start counts as not started.
        """
        view = self._heartbeats.find_view(attempt.machine)
        since = view.running_since.get((attempt.job, attempt.index)) if view is not None else None
        job = self._cluster.jobs.get(attempt.job)
        if since is None or job is None or job.spec is None or not job.spec.is_service:
            return False
        return self._clock.now() - since > self._settings.replica_settle_time_s
