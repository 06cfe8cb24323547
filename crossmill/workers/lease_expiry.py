"""Ends the attempts of workers whose lease has expired.

A worker that nobody answers for as long as its lease lasts kills its own tasks. The scheduling
loop asks for each machine in each round; the outcomes go to the collection of outcomes, and the
proof that no other controller answered the worker comes from the cluster's lease expiry proof.
"""

from ..cluster.lease_expiry_proof import LeaseExpiryProof
from ..cluster.model import Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..net.clock import Clock
from ..settings import Settings
from .attempt_outcomes import AttemptOutcome, AttemptOutcomes, EndReason
from .views import WorkerView


class WorkerLeaseExpiry:
    """Records the outcome of attempts whose worker's lease is proved to have expired."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        expiry_proof: LeaseExpiryProof,
        outcomes: AttemptOutcomes,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._expiry_proof = expiry_proof
        self._outcomes = outcomes

    def check(self, machine: Machine, view: WorkerView, ownership: ShardOwnership) -> None:
        """Ends the machine's attempts if its worker's lease has expired.

        Until the proof is complete, each call asks the other controllers for what it lacks.
        """
        if not machine.attempts:
            return
        unanswered_s = self._clock.now() - view.lease_renewed_at
        if unanswered_s <= self._settings.heartbeat_timeout_s:
            return
        self._expiry_proof.request_attestation(machine)
        preconditions = self._expiry_proof.preconditions(machine, view.lease_renewed_at)
        if preconditions is None:
            return
        for attempt in machine.attempts.values():
            if _has_bounded_lease(attempt, view):
                self._outcomes.record(
                    AttemptOutcome(
                        attempt,
                        EndReason.LEASE_EXPIRED,
                        ownership.term,
                        preconditions=preconditions,
                    )
                )


def _has_bounded_lease(attempt: PlannedAttempt, view: WorkerView) -> bool:
    """Tells whether the attempt is of a session whose lease the view bounds."""
    return attempt.session <= view.session or not view.has_confirmed_token
