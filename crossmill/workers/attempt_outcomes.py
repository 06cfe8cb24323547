"""In-memory state of attempts: outcomes and stop requests.

Outcomes of ended attempts are kept until they are durably written. Writing an outcome removes the
attempt from the plan, so each outcome names the proof that the attempt has ended, the term of the
shard owner that recorded it, and the key versions that the write is conditional on. An outcome is
stale once that term ends: a later owner may have started the same attempt that this owner found not
to have started.

The reconciler owns both collections. They are not stored: the next owner of the shard derives them
again. The reconciler, the lease expiry check and the scheduling loop record outcomes, and the loop
writes them. Preemption, drain and machine transfer request stops.
"""

from collections.abc import Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import NamedTuple

from ..cluster.cluster_state import ClusterState
from ..cluster.model import AttemptId, PlannedAttempt
from ..wire.workers import TaskKey

NO_PRECONDITIONS: Mapping[str, int] = MappingProxyType({})

# ended attempts that are no longer planned are dropped only above this number of ended attempts
MIN_ENDED_BEFORE_TRIM = 1000


class EndReason(StrEnum):
    """The reason why an attempt has ended, as reported by its worker or as proved otherwise."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    # the worker refused the start: no free capacity, the task exists there already, or is unknown
    NO_CAPACITY = "no_room"
    TASK_EXISTS = "busy"
    TASK_UNKNOWN = "unknown"
    # the other tasks of the gang-scheduled group were lost
    PEERS_LOST = "peers"
    # the worker has begun a new session, which ends all tasks of earlier sessions
    SESSION_ENDED = "session over"
    # no controller can have responded to the worker for the duration of its lease
    LEASE_EXPIRED = "lease over"
    # a newer heartbeat does not list the attempt, and no start command for it can still arrive
    NOT_STARTED = "not started"
    # the cloud has confirmed that the machine is released
    RELEASED = "released"

    @property
    def is_failure(self) -> bool:
        """Whether the machine or the job is the cause of the end."""
        return self in (EndReason.ERROR, EndReason.TASK_UNKNOWN)


class StopReason(StrEnum):
    """The reason why a running attempt is stopped."""

    PREEMPTED = "preempted"
    DRAINED = "drained"
    # the attempt's machine is being transferred to another shard
    TRANSFERRED = "given"


class AttemptOutcome(NamedTuple):
    """The end of an attempt, with the data needed to write it into the plan.

    Attributes:
        attempt: The attempt as it was planned.
        reason: The reason why the attempt has ended.
        term: The owner's term (see `ShardOwnership.term`); a later term must prove the end again.
        run_s: The run time of the attempt in seconds; None if no status showed it running.
        preconditions: Versions by key that the write of the outcome is conditional on.
    """

    attempt: PlannedAttempt
    reason: EndReason
    term: int
    run_s: float | None = None
    preconditions: Mapping[str, int] = NO_PRECONDITIONS


class AttemptOutcomes(dict[TaskKey, AttemptOutcome]):
    """Outcomes that are not yet written, by task, and the IDs of all attempts known to have ended.

    An attempt counts as ended (`has_ended`) even after its outcome has been removed for writing: no
    start of it may be sent as long as the plan contains it.
    """

    def __init__(self, cluster: ClusterState) -> None:
        super().__init__()
        self._cluster = cluster
        # attempts stay here until they have left the plan, even if their outcome is never written
        self._ended: dict[AttemptId, PlannedAttempt] = {}
        self._trim_above = MIN_ENDED_BEFORE_TRIM

    def record(self, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt; an earlier outcome of the task in the same term is kept."""
        attempt = outcome.attempt
        key = (attempt.job, attempt.index)
        earlier_outcome = self.get(key)
        if earlier_outcome is None or earlier_outcome.term != outcome.term:
            self[key] = outcome
        self._ended[attempt.id] = attempt
        if len(self._ended) > self._trim_above:
            self._trim()

    def has_ended(self, attempt: PlannedAttempt) -> bool:
        """Return whether the attempt has ended, so that no start of it may be sent."""
        return attempt.id in self._ended

    def end_ownership(self, shard: int) -> None:
        """Drop the shard's outcomes and ended attempts after its ownership has ended."""
        machines = self._cluster.machines
        for key, outcome in list(self.items()):
            if machines.may_be_commanded_by(outcome.attempt, shard):
                del self[key]
        self._ended = {
            attempt_id: attempt
            for attempt_id, attempt in self._ended.items()
            if not machines.may_be_commanded_by(attempt, shard)
        }

    def _trim(self) -> None:
        """Drop the ended attempts that are no longer in any plan."""
        machines = self._cluster.machines.values()
        planned = {attempt.id for machine in machines for attempt in machine.attempts.values()}
        self._ended = {
            attempt_id: attempt
            for attempt_id, attempt in self._ended.items()
            if attempt_id in planned
        }
        self._trim_above = 2 * len(self._ended) + MIN_ENDED_BEFORE_TRIM


class StopRequest(NamedTuple):
    """The request to stop an attempt, and its reason."""

    attempt: PlannedAttempt
    reason: StopReason


class StopRequests(dict[AttemptId, StopRequest]):
    """The attempts to be stopped, by attempt ID."""

    def add(self, attempt: PlannedAttempt, reason: StopReason) -> None:
        """Request the stop of an attempt."""
        self[attempt.id] = StopRequest(attempt, reason)

    def has(self, attempt: PlannedAttempt) -> bool:
        """Return whether the attempt is to be stopped.

        This is called for each task of each heartbeat, usually without any stop request. In that
        case no `AttemptId` is created, which would take a tenth of the time of a heartbeat.
        """
        return bool(self) and attempt.id in self

    def end_ownership(self, cluster: ClusterState, shard: int) -> None:
        """Drop the stop requests for attempts on the shard's machines and for unknown ones."""
        for attempt_id, request in list(self.items()):
            if cluster.machines.may_be_commanded_by(request.attempt, shard):
                del self[attempt_id]
