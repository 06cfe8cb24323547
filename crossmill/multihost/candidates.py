"""Finds the machines of the pool that can run more members, and the free resources of each.

The scheduler calls `CandidateFinder` once per pass while a replica waits for machines. The finder
is stateless.
"""

from collections.abc import Iterator

from ..cluster.model import Resources
from .agents import Agents, AgentView
from .failure_scores import FailureScores
from .member_status import DecisionTime, is_heartbeat_overdue
from .model import PoolMachine, ReplicaId
from .placement import Candidate
from .pool import PoolState
from .settings import MultihostSettings


class CandidateFinder:
    """Selects machines by their records, their agents' heartbeats and their failure scores."""

    def __init__(
        self,
        settings: MultihostSettings,
        pool: PoolState,
        agents: Agents,
        failures: FailureScores,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._agents = agents
        self._failures = failures

    def candidates(self, time: DecisionTime) -> Iterator[Candidate]:
        """Iterate over the machines that can run more members now."""
        for machine in self._pool.machines.values():
            candidate = self.candidate(machine, time)
            if candidate is not None:
                yield candidate

    def candidate(self, machine: PoolMachine, time: DecisionTime) -> Candidate | None:
        """Return the machine as a candidate; None if no member may be placed on it now."""
        view = self._agents.get(machine.id)
        if view is None or not view.is_verified:
            return None
        if is_heartbeat_overdue(view, time, self._settings) or self._is_leaving(machine, view):
            return None
        score = self._failures.score(machine.id, time.now)
        return Candidate(
            machine.id,
            machine.zone,
            view.session,
            self._free(machine, view),
            machine.fetch_gb_per_s,
            view.images,
            score > self._settings.max_failure_score,
        )

    def _is_leaving(self, machine: PoolMachine, view: AgentView) -> bool:
        """Return whether the machine is drained, released, about to be reclaimed or retiring."""
        return (
            bool(machine.drain_reason)
            or machine.is_released
            or view.reclaim_at is not None
            or self._pool.is_retiring(machine.id)
        )

    def _free(self, machine: PoolMachine, view: AgentView) -> Resources:
        """Return the resources that no member uses.

        The agent may still run members of replicas that are no longer planned on its machine; their
        resources count as used.
        """
        free = self._pool.free(machine)
        for name in view.members:
            replica_id = ReplicaId.parse(name)
            if replica_id is not None and replica_id not in machine.planned:
                free = free.subtract(self._pool.member_resources(replica_id))
        return free
