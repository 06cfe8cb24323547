"""Outcomes of attempts that have ended, kept until they are durably written.

An outcome frees a planned task, so it names what proves it, the ownership under which it was
concluded, and the versions of keys under which it is true. It is void once that ownership ends:
another owner may since have started the very attempt that was found not to have started.

The reconciliation, the lease expiry and the scheduling loop record outcomes; the scheduling loop
writes them. The state is in memory only and is derived anew by the next owner.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from ..cluster.cluster_state import ClusterState
from ..cluster.model import AttemptId, PlannedAttempt
from ..wire.workers import TaskKey

# the fewest concluded attempts at which those that left the plan are dropped
MIN_CONCLUDED_BEFORE_TRIM = 1000


class EndReason(StrEnum):
    """Why an attempt has ended: what its worker reports, or what proves that it is gone."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    # the worker refused the start: no free capacity, the task is there already, or is not known
    NO_ROOM = "no_room"
    BUSY = "busy"
    UNKNOWN = "unknown"
    # a gang-scheduled task that lost its peers
    PEERS = "peers"
    # the worker began a new session and has lost its earlier tasks
    SESSION_OVER = "session over"
    # nobody can have answered the worker for as long as its lease lasts
    LEASE_OVER = "lease over"
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


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
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
    preconditions: dict[str, int] = field(default_factory=dict)


class AttemptOutcomes(dict[TaskKey, AttemptOutcome]):
    """The outcomes that wait to be written, by task, and all attempts known to have ended.

    An attempt counts as ended (`is_concluded`) even after its outcome was taken out to be
    written: no start of it may be sent until it has left the plan.
    """

    def __init__(self, cluster: ClusterState) -> None:
        super().__init__()
        self._cluster = cluster
        # kept until the attempts have left the plan, whatever becomes of the reason for their end
        self._concluded: set[AttemptId] = set()
        self._trim_above = MIN_CONCLUDED_BEFORE_TRIM

    def record(self, outcome: AttemptOutcome) -> None:
        """Records an outcome; an earlier one of the task is kept if it is of the same term."""
        attempt = outcome.attempt
        key = (attempt.job, attempt.index)
        known = self.get(key)
        if known is None or known.term != outcome.term:
            self[key] = outcome
        self._concluded.add(attempt.id)
        if len(self._concluded) > self._trim_above:
            self._trim()

    def is_concluded(self, attempt: PlannedAttempt) -> bool:
        """Tells whether the attempt has ended, so that no start of it may be sent."""
        return attempt.id in self._concluded

    def end_term(self, shard: int) -> None:
        """Drops all that was concluded for the shard, when its ownership has ended."""
        for key in [key for key in self if self._may_belong_to(key[0], shard)]:
            del self[key]
        self._concluded = {
            attempt for attempt in self._concluded if not self._may_belong_to(attempt.job, shard)
        }

    def _may_belong_to(self, job_id: str, shard: int) -> bool:
        """Tells whether the job is the shard's; a job without a known record may be."""
        job = self._cluster.jobs.get(job_id)
        return job is None or not job.has_record or job.shard == shard

    def _trim(self) -> None:
        """Drops concluded attempts that no plan contains any more."""
        machines = self._cluster.machines.values()
        planned = {attempt.id for machine in machines for attempt in machine.attempts.values()}
        self._concluded &= planned
        self._trim_above = 2 * len(self._concluded) + MIN_CONCLUDED_BEFORE_TRIM
