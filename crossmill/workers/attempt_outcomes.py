"""Attempts found to be over, until their rows are durably gone.

A finding is what frees a planned task, so it names what proves it, the ownership it was drawn
under, and the keys that the write of it rests on. It ends with that ownership: another owner may
have started the very attempt that was found not started.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from ..cluster.cluster_state import ClusterState
from ..cluster.model import AttemptId, PlannedAttempt

Key = tuple[str, int]

# so many are kept before those whose rows have gone are looked for
CONCLUDED_LEAST = 1000


class EndReason(StrEnum):
    """Why an attempt is over: what its worker reports of it, or what proves it gone."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    # start refused: no room on the machine, the task is there already, the task is not known
    NO_ROOM = "no_room"
    BUSY = "busy"
    UNKNOWN = "unknown"
    # a gang's task that lost the others
    PEERS = "peers"
    # the worker began a new session, and forgot what it had
    SESSION_OVER = "session over"
    # nobody can have answered the worker for as long as its lease
    LEASE_OVER = "lease over"
    # a newer report lacks it, and no start of it can arrive any more
    NOT_STARTED = "not started"
    # the cloud confirmed that the machine is gone
    RELEASED = "released"


class StopReason(StrEnum):
    """Why a running attempt is stopped."""

    PREEMPTED = "preempted"
    DRAINED = "drained"
    # its machine goes to another shard
    TRANSFERRED = "given"


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """An attempt that is over, with what it means for the plan."""

    attempt: PlannedAttempt
    reason: EndReason
    # the owner's term (see `ShardOwnership.term`): later ones must prove it anew
    term: int
    run_s: float | None = None
    # versions of keys that this is true under
    preconditions: dict[str, int] = field(default_factory=dict)


class AttemptOutcomes(dict[Key, AttemptOutcome]):
    """The findings that wait to be written, by task; and all attempts concluded to be over."""

    def __init__(self, cluster: ClusterState) -> None:
        super().__init__()
        self._cluster = cluster
        # until their rows are durably gone no start of them may be sent again, whatever becomes
        # of the reason for which they were to end
        self._concluded: set[AttemptId] = set()
        self._concluded_most = CONCLUDED_LEAST

    def record(self, outcome: AttemptOutcome) -> None:
        """Takes a finding in; the first of a task stands, unless its term is over."""
        attempt = outcome.attempt
        key = (attempt.job, attempt.index)
        known = self.get(key)
        if known is None or known.term != outcome.term:
            self[key] = outcome
        self._concluded.add(attempt.id)
        if len(self._concluded) > self._concluded_most:
            self._trim()

    def is_concluded(self, attempt: PlannedAttempt) -> bool:
        """Whether the attempt was found to be over, so that no start of it may be sent."""
        return attempt.id in self._concluded

    def end_term(self, shard: int) -> None:
        """The right to act for the shard has ended, and with it all that was concluded."""
        for key in [key for key in self if self._is_of(key[0], shard)]:
            del self[key]
        self._concluded = {a for a in self._concluded if not self._is_of(a[0], shard)}

    def _is_of(self, job_id: str, shard: int) -> bool:
        """Whether the job belongs to the shard; one that is unknown may."""
        job = self._cluster.jobs.get(job_id)
        return job is None or not job.has_record or job.shard == shard

    def _trim(self) -> None:
        attempts = (r for m in self._cluster.machines.values() for r in m.attempts.values())
        self._concluded &= {attempt.id for attempt in attempts}
        self._concluded_most = 2 * len(self._concluded) + CONCLUDED_LEAST
