"""Checks agents' reports about members against the plan and applies them to the agents' views.

The heartbeat handler calls `MemberReports`. A report that contradicts the plan is counted and
applied as a refused member of generation 0: it confirms nothing, but the member's resources count
as in use until the agent has stopped it.
"""

import logging
from enum import StrEnum

from ..wire.multihost import AgentHeartbeat, MemberReport, MemberState
from .agents import AgentView
from .model import ReplicaId
from .pool import PoolState

log = logging.getLogger(__name__)

# no replica has this generation: generations start at 1
NO_GENERATION = 0


class ReportProblem(StrEnum):
    """The logged reason for which a report about a member is rejected."""

    DUPLICATE = "reported twice"
    MALFORMED_NAME = "no replica's name"
    UNKNOWN_REPLICA = "unknown replica"
    UNKNOWN_GENERATION = "unknown generation"
    NOT_PLANNED = "not planned on this machine"
    WRONG_RANK = "wrong rank"


class MemberReports:
    """Applies reports about members for the pool's owner."""

    def __init__(self, pool: PoolState) -> None:
        self._pool = pool
        # the number of rejected reports since the process started
        self.rejected_reports = 0

    def apply(self, heartbeat: AgentHeartbeat, view: AgentView) -> None:
        """Replace the members of a view by those that the newest heartbeat reports.

        Replicas whose report differs from the previous one are marked as changed.
        """
        members: dict[str, MemberReport] = {}
        view.rejected_reports = 0
        for report in heartbeat.members:
            problem = self._problem(heartbeat.machine, report, members)
            if problem is None:
                members[report.replica] = report
                continue
            view.rejected_reports += 1
            self.rejected_reports += 1
            log.info(
                "member report rejected replica=%s rank=%d generation=%d machine=%s reason=%s",
                report.replica,
                report.rank,
                report.generation,
                heartbeat.machine,
                problem,
            )
            members[report.replica] = report._replace(
                state=MemberState.REFUSED, generation=NO_GENERATION
            )
        changed = {
            replica_id
            for name in members.keys() | view.members.keys()
            if members.get(name) != view.members.get(name)
            and (replica_id := ReplicaId.parse(name)) is not None
        }
        view.members = members
        if changed:
            self._pool.mark_machine_changed(heartbeat.machine)
            self._pool.mark_replicas_changed(changed)

    def _problem(
        self, machine_id: str, report: MemberReport, applied: dict[str, MemberReport]
    ) -> ReportProblem | None:
        """Return the reason to reject a report; None if it is plausible."""
        if report.replica in applied:
            return ReportProblem.DUPLICATE
        replica_id = ReplicaId.parse(report.replica)
        if replica_id is None:
            return ReportProblem.MALFORMED_NAME
        replica = self._pool.replicas.get(replica_id)
        if replica is None:
            return ReportProblem.UNKNOWN_REPLICA
        if report.generation > replica.generation:
            return ReportProblem.UNKNOWN_GENERATION
        if report.generation < replica.generation:
            # the member will be stopped or replaced, so that its rank does not matter
            return None
        return self._planning_problem(machine_id, replica_id, report.rank)

    def _planning_problem(
        self, machine_id: str, replica_id: ReplicaId, rank: int
    ) -> ReportProblem | None:
        """Return the contradiction between a report of the current generation and the plan.

        None if there is none.
        """
        member = self._pool.machines[machine_id].planned.get(replica_id)
        if member is None:
            return ReportProblem.NOT_PLANNED
        return None if member.rank == rank else ReportProblem.WRONG_RANK
