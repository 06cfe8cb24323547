"""Drains machines whose replicas fit on other machines, so that the machines can be returned.

Placement calls it in rounds without waiting tasks. It owns the set of machines being drained. The
stops are sent to workers in the responses to their heartbeats.
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

# only this many candidates, those that save the most, are checked for redundancy, since the check
# is costly
MAX_CANDIDATES_CHECKED = 8


class _DrainCandidate:
    """A machine that could be drained, with the price saved for each replica moved."""

    __slots__ = ("machine", "price_per_task")

    def __init__(self, machine: Machine, price: float) -> None:
        self.machine = machine
        self.price_per_task = price / len(machine.attempts)


class MachineDrain:
    """Eviction of replicas from at most one machine at a time."""

    def __init__(
        self, context: SchedulingContext, is_needed_elsewhere: Callable[[Machine], bool]
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._forecast = context.forecast
        self._is_needed_elsewhere = is_needed_elsewhere
        # deadlines of drains in seconds, by machine ID
        self._draining_until: dict[str, float] = {}
        # times of the last searches for a machine to drain, in seconds, by shard
        self._checked_at: dict[int, float] = {}

    def is_draining(self, machine_id: str) -> bool:
        """Return whether the machine is being drained, so that no task may be placed on it."""
        return machine_id in self._draining_until

    def may_return(self, machine: Machine) -> bool:
        """Return whether the shard may return the machine if it does not need it itself.

        It may not while a job of another shard that gets no machine from the cloud could use it.
        """
        return not self._is_needed_elsewhere(machine)

    def drain(
        self, shard: int, ownership: ShardOwnership, capacities: Callable[[], list[FreeCapacity]]
    ) -> Iterator[PlannedAttempt]:
        """Choose a machine to drain if a drain is due, and yield the attempts to be stopped.

        `capacities` is called only if a search for a machine is due.
        """
        now = self._clock.now()
        self._drop_finished_drains(now)
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

    def _drop_finished_drains(self, now: float) -> None:
        for machine_id in list(self._draining_until):
            machine = self._cluster.machines.get(machine_id)
            if (
                machine is None
                or machine.retirement_reason
                or now > self._draining_until[machine_id]
            ):
                del self._draining_until[machine_id]

    def _best_candidate(self, shard: int, capacities: list[FreeCapacity]) -> Machine | None:
        """Return the redundant machine whose return saves the most for each replica moved."""
        candidates: list[_DrainCandidate] = []
        for capacity in capacities:
            machine = self._cluster.machines[capacity.machine]
            machine_type = self._cluster.catalog.get(machine.type)
            if machine_type is not None and self._is_drainable(machine):
                candidates.append(_DrainCandidate(machine, machine_type.price))
        # the sort is stable also in reverse: equal candidates keep their order
        candidates.sort(key=attrgetter("price_per_task"), reverse=True)
        for candidate in candidates[:MAX_CANDIDATES_CHECKED]:
            if self._forecast.is_redundant(shard, candidate.machine, capacities):
                return candidate.machine
        return None

    def _is_drainable(self, machine: Machine) -> bool:
        """Return whether the machine has few tasks, all of them settled replicas."""
        if not 0 < len(machine.attempts) <= self._settings.max_tasks_to_drain:
            return False
        is_settled = all(self._is_settled(attempt) for attempt in machine.attempts.values())
        return is_settled and self.may_return(machine)

    def _is_settled(self, attempt: PlannedAttempt) -> bool:
        """Return whether the attempt is a replica that has run longer than the settle time.

        A replica that is stopped soon after its start counts as not started.
        """
        view = self._heartbeats.find_view(attempt.machine)
        since = view.running_since.get((attempt.job, attempt.index)) if view is not None else None
        job = self._cluster.jobs.get(attempt.job)
        if since is None or job is None or job.spec is None or not job.spec.is_service:
            return False
        return self._clock.now() - since > self._settings.replica_settle_time_s
