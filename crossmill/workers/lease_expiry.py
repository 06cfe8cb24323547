"""The detection of expired worker leases, which end the workers' attempts.

A worker that receives no response for the duration of its lease kills its own tasks. The scheduling
loop runs the check for each machine in each round. The outcomes are recorded in `AttemptOutcomes`.
`LeaseExpiryProof` proves that no other controller has responded to the worker.
"""

from ..cluster.lease_expiry_proof import LeaseExpiryProof
from ..cluster.model import Machine, PlannedAttempt
from ..cluster.ownership import ShardOwnership
from ..net.clock import Clock
from ..settings import Settings
from .attempt_outcomes import AttemptOutcome, AttemptOutcomes, EndReason
from .views import WorkerView


class WorkerLeaseExpiry:
    """Records the outcomes of attempts whose worker's lease is proved to have expired."""

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
        """End the machine's attempts if its worker's lease has expired.

        Until the proof is complete, each call requests the missing attestations from the other
        controllers.
        """
        if not machine.attempts:
            return
        without_response_s = self._clock.now() - view.lease_renewed_at
        if without_response_s <= self._settings.heartbeat_timeout_s:
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
    """Return whether the view bounds the lease of the attempt's session."""
    return attempt.session <= view.session or not view.has_confirmed_token
