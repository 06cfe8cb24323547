"""Commands whose effect has not been seen yet: requested stops and unacknowledged starts.

Both collections belong to the reconciliation and live in memory only. The scheduling decisions
(preemption, drain, transfer) add stop requests; the command sender records starts.
"""

from collections.abc import Iterable

from ..cluster.cluster_state import ClusterState
from ..cluster.model import AttemptId, PlannedAttempt
from ..wire.workers import WorkerHeartbeat
from .attempt_outcomes import StopReason

# the starts sent to one machine and not acknowledged, with the token that each one carried
MachineStarts = dict[AttemptId, int]


class StopRequests(dict[AttemptId, StopReason]):
    """The attempts that are to be stopped, with the reason for each."""

    def end_ownership(self, cluster: ClusterState, shard: int) -> None:
        """Drops the requests for the shard's jobs, and those for jobs that are not known."""
        for attempt in list(self):
            job = cluster.jobs.get(attempt.job)
            if job is None or job.shard == shard:
                del self[attempt]


class UnacknowledgedStarts:
    """Starts sent straight to workers and not answered, by machine.

    Such a start may still be executed until the worker has seen a higher token or has begun a
    new session.
    """

    def __init__(self) -> None:
        self._by_machine: dict[str, MachineStarts] = {}

    def record(
        self, machine_id: str, attempts: Iterable[PlannedAttempt], token: int
    ) -> MachineStarts:
        """Records starts that are about to be sent under this token.

        Returns:
            The machine's starts as they are recorded now, for `discard`.
        """
        starts = self._by_machine.setdefault(machine_id, {})
        for attempt in attempts:
            starts[attempt.id] = token
        return starts

    @staticmethod
    def discard(starts: MachineStarts, attempts: Iterable[PlannedAttempt]) -> None:
        """Removes answered starts from what `record` returned.

        If the machine was forgotten meanwhile, starts recorded since then stay: the answer says
        nothing about them.
        """
        for attempt in attempts:
            starts.pop(attempt.id, None)

    def acknowledge(self, machine_id: str, heartbeat: WorkerHeartbeat) -> None:
        """Removes the starts that the worker will refuse, as it has seen a higher token."""
        starts = self._by_machine.get(machine_id)
        if starts:
            for attempt, token in list(starts.items()):
                if heartbeat.token > token:
                    del starts[attempt]
        if not starts:
            self._by_machine.pop(machine_id, None)

    def has_any(self, machine_id: str) -> bool:
        """Tells whether a start may still arrive at the machine."""
        return bool(self._by_machine.get(machine_id))

    def has_start(self, machine_id: str, attempt: AttemptId) -> bool:
        """Tells whether a start of the attempt may still arrive at the machine."""
        return attempt in self._by_machine.get(machine_id, {})

    def drop_start(self, machine_id: str, attempt: AttemptId) -> None:
        """Drops one start, of a session that has ended."""
        self._by_machine.get(machine_id, {}).pop(attempt, None)

    def forget_machine(self, machine_id: str) -> None:
        """Drops all starts sent to the machine, when its ownership has ended."""
        self._by_machine.pop(machine_id, None)
