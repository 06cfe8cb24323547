"""What is known or decided about attempts besides the durable plan and the workers' statuses.

These are the outcomes of attempts that have ended, kept until they are durably written; the stops
that were requested; and the starts sent straight to workers that were not acknowledged. An outcome
frees a planned task, so it names what proves it, the ownership under which it was
concluded, and the versions of keys under which it is true. It is void once that ownership ends:
another owner may since have started the very attempt that was found not to have started.

The reconciliation owns the three collections, in memory only; the next owner derives them anew.
The reconciliation, the lease expiry and the scheduling loop record outcomes, which the loop writes.
The scheduling decisions (preemption, drain, transfer) request stops, the command sender records
starts.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.model import AttemptId, PlannedAttempt
from ..wire.workers import TaskKey, WorkerHeartbeat

# the starts sent to one machine and not acknowledged, with the token that each one carried
MachineStarts = dict[AttemptId, int]

NO_PRECONDITIONS: Mapping[str, int] = MappingProxyType({})

# the fewest concluded attempts at which those that left the plan are dropped
MIN_ENDED_BEFORE_TRIM = 1000


class EndReason(StrEnum):
    """Why an attempt has ended: what its worker reports, or what proves that it is gone."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    # the worker refused the start: no free capacity, the task is there already, or is not known
    NO_CAPACITY = "no_room"
    TASK_EXISTS = "busy"
    TASK_UNKNOWN = "unknown"
    # a gang-scheduled task that lost its peers
    PEERS_LOST = "peers"
    # the worker began a new session and has lost its earlier tasks
    SESSION_ENDED = "session over"
    # nobody can have answered the worker for as long as its lease lasts
    LEASE_EXPIRED = "lease over"
    # a newer heartbeat lacks the attempt, and no start of it can arrive any more
    NOT_STARTED = "not started"
    # the cloud confirmed that the machine is gone
    RELEASED = "released"


class StopReason(StrEnum):
    """Why a running attempt is stopped."""

    PREEMPTED = "preempted"
    DRAINED = "drained"
    # its machine is transferred to another shard
    TRANSFERRED = "given"


class AttemptOutcome(NamedTuple):
    """An attempt that has ended, with what is needed to write its end into the plan.

    Attributes:
        attempt: The attempt as it was planned.
        reason: Why it has ended.
        term: The owner's term (see `ShardOwnership.term`); a later term must prove it anew.
        run_s: How long the attempt ran, in seconds, if its start was seen.
        preconditions: Versions of keys that the write of the outcome must be conditional on.
    """

    attempt: PlannedAttempt
    reason: EndReason
    term: int
    run_s: float | None = None
    preconditions: Mapping[str, int] = NO_PRECONDITIONS


class AttemptOutcomes(dict[TaskKey, AttemptOutcome]):
    """The outcomes that wait to be written, by task, and all attempts known to have ended.

    An attempt counts as ended (`has_ended`) even after its outcome was taken out to be
    written: no start of it may be sent until it has left the plan.
    """

    def __init__(self, cluster: ClusterState) -> None:
        super().__init__()
        self._cluster = cluster
        # kept until the attempts have left the plan, whatever becomes of the reason for their end
        self._ended: set[AttemptId] = set()
        self._trim_above = MIN_ENDED_BEFORE_TRIM

    def record(self, outcome: AttemptOutcome) -> None:
        """Records an outcome; an earlier one of the task is kept if it is of the same term."""
        attempt = outcome.attempt
        key = (attempt.job, attempt.index)
        known = self.get(key)
        if known is None or known.term != outcome.term:
            self[key] = outcome
        self._ended.add(attempt.id)
        if len(self._ended) > self._trim_above:
            self._trim()

    def has_ended(self, attempt: PlannedAttempt) -> bool:
        """Tells whether the attempt has ended, so that no start of it may be sent."""
        return attempt.id in self._ended

    def end_term(self, shard: int) -> None:
        """Drops all that was concluded for the shard, when its ownership has ended."""
        for key in [key for key in self if self._may_belong_to(key[0], shard)]:
            del self[key]
        self._ended = {
            attempt for attempt in self._ended if not self._may_belong_to(attempt.job, shard)
        }

    def _may_belong_to(self, job_id: str, shard: int) -> bool:
        """Tells whether the job is the shard's; a job without a known record may be."""
        job = self._cluster.jobs.get(job_id)
        return job is None or not job.has_record or job.shard == shard

    def _trim(self) -> None:
        """Drops concluded attempts that no plan contains any more."""
        machines = self._cluster.machines.values()
        planned = {attempt.id for machine in machines for attempt in machine.attempts.values()}
        self._ended &= planned
        self._trim_above = 2 * len(self._ended) + MIN_ENDED_BEFORE_TRIM


class StopRequests(dict[AttemptId, StopReason]):
    """The attempts that are to be stopped, with the reason for each."""

    def has(self, attempt: PlannedAttempt) -> bool:
        """Tells whether the attempt is to be stopped.

        Asked for each task of each heartbeat, mostly while nothing is to be stopped: then no
        identity is made, which would take a tenth of the time of a heartbeat.
        """
        return bool(self) and attempt.id in self

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
