"""Decides the next step of a replica from its records and the state of its members.

Pure functions. `observations` gathers their input, and `replica_reconciler` carries out the
decisions. Every decision depends only on durable records and on the agents' reports, so that the
next owner of the pool reaches the same decisions.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from .member_status import DecisionTime, MemberStatus
from .model import FRONT_RANK, Replica, ReplicaSetSpec
from .phases import ReplicaPhase
from .settings import MultihostSettings

# allowed ratio of a start's fetch time to the expected one: fetch rates vary, and concurrent
# fetches share them
FETCH_TIME_FACTOR = 3.0
# lower bound on a machine's fetch rate, so that no start limit is infinite
MIN_FETCH_GB_PER_S = 1e-3
# number of restarts without delay
RESTARTS_WITHOUT_BACKOFF = 1
# upper bound on the exponent of the back-off
MAX_BACKOFF_DOUBLINGS = 16
# number of checks per heartbeat interval while the members' rendezvous is incomplete
RENDEZVOUS_CHECKS_PER_HEARTBEAT = 8

FAILED_STATUSES = frozenset({MemberStatus.LOST, MemberStatus.FAILED})
# every member of a ready replica has confirmed the generation; one that no longer does has failed
FAILED_STATUSES_WHEN_READY = FAILED_STATUSES | {MemberStatus.ABSENT, MemberStatus.LOADING}


class ReplicaAction(Enum):
    """The next step of a replica."""

    WAIT = "wait"
    # wait for machines in the placement queue
    PLACE = "place"
    # mark the replica as ready, since every member runs
    CONFIRM = "confirm"
    REPAIR = "repair"
    # release the machines reserved so far and wait until all can be reserved together
    RELEASE = "release"
    # delete the records of members whose machines are no longer reserved
    CLEAR = "clear"
    DRAIN = "drain"
    STOP = "stop"
    FAIL = "fail"
    RETRY = "retry"
    # delete the records of a stopped replica
    DELETE = "delete"


class ReplicaDecision(NamedTuple):
    """The next step of a replica, with its reason.

    Attributes:
        action: The next step.
        reason: The reason as shown to operators.
        recheck_at: The monotonic time at which to decide again if nothing changes; None if only a
            change makes another decision necessary.
        suspects: The ranks whose machines are avoided for the next generation.
    """

    action: ReplicaAction
    reason: str = ""
    recheck_at: float | None = None
    suspects: frozenset[int] = frozenset()


class ReplicaObservation(NamedTuple):
    """The observed state of a replica at the time of a decision.

    Attributes:
        statuses: The status of each member, by rank.
        unreachable: The ranks that the front member can't reach.
        is_rendezvous_complete: Whether every member was alive in this generation after the last of
            them had confirmed it.
        fenced_at: The monotonic time from which no serving lease of an earlier generation is valid.
        start_limit_s: The time in seconds after which a start counts as failed.
        may_stop: Whether the disruption budget allows the replica to be stopped now.
        is_all_stopped: Whether no member of any generation can still run.
    """

    statuses: Mapping[int, MemberStatus]
    unreachable: frozenset[int]
    is_rendezvous_complete: bool
    fenced_at: float
    start_limit_s: float
    may_stop: bool
    is_all_stopped: bool


class DecisionInput(NamedTuple):
    """The input of a decision about one replica."""

    replica: Replica
    spec: ReplicaSetSpec
    observation: ReplicaObservation
    time: DecisionTime
    settings: MultihostSettings

    @property
    def phase_entered_at(self) -> float:
        """The monotonic time at which the replica entered its phase."""
        return self.time.to_monotonic(self.replica.since)

    @property
    def restart_count(self) -> int:
        """The number of restarts that count against the set's restart budget."""
        return len(recent_restarts(self.replica, self.spec, self.time.wall_time))


class _Suspicion(NamedTuple):
    """The ranks that are suspected of having failed, and the reason as shown to operators."""

    ranks: frozenset[int]
    reason: str


def recent_restarts(replica: Replica, spec: ReplicaSetSpec, wall_time: float) -> tuple[float, ...]:
    """Return the wall-clock times of the restarts that count against the set's restart budget."""
    return tuple(at for at in replica.restarts if wall_time - at <= spec.restart_window_s)


def backoff_s(restarts: int, settings: MultihostSettings) -> float:
    """Return the delay before a replica with this number of restarts is placed again."""
    if restarts <= RESTARTS_WITHOUT_BACKOFF:
        return 0.0
    doublings = min(restarts - RESTARTS_WITHOUT_BACKOFF - 1, MAX_BACKOFF_DOUBLINGS)
    return float(min(settings.max_backoff_s, settings.initial_backoff_s * 2**doublings))


def start_limit_s(
    spec: ReplicaSetSpec, slowest_fetch_gb_per_s: float, settings: MultihostSettings
) -> float:
    """Return the time in seconds after which a start counts as failed."""
    fetch_s = FETCH_TIME_FACTOR * spec.image_gb / max(slowest_fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    return fetch_s + settings.start_overhead_s


def decide(inputs: DecisionInput) -> ReplicaDecision:
    """Return the next step of a replica."""
    return _DECISIONS[inputs.replica.phase](inputs)


# -- decisions by phase --------------------------------------------------------------


def _decide_pending(inputs: DecisionInput) -> ReplicaDecision:
    replica = inputs.replica
    if replica.chunks:
        return ReplicaDecision(ReplicaAction.CLEAR)
    if replica.stop_reason:
        return ReplicaDecision(ReplicaAction.STOP, replica.stop_reason)
    return ReplicaDecision(ReplicaAction.PLACE)


def _decide_reserving(inputs: DecisionInput) -> ReplicaDecision:
    replica, now = inputs.replica, inputs.time.now
    if replica.stop_reason:
        return ReplicaDecision(ReplicaAction.DRAIN, replica.stop_reason)
    backoff_delay_s = 0.0
    if replica.phase is ReplicaPhase.REPAIRING:
        backoff_delay_s = backoff_s(inputs.restart_count, inputs.settings)
    placement_starts_at = inputs.phase_entered_at + backoff_delay_s
    if now < placement_starts_at:
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=placement_starts_at)
    if now >= placement_starts_at + inputs.spec.hold_s:
        return ReplicaDecision(ReplicaAction.RELEASE, "no room within the bound on holding a part")
    return ReplicaDecision(ReplicaAction.PLACE, recheck_at=placement_starts_at + inputs.spec.hold_s)


def _decide_starting(inputs: DecisionInput) -> ReplicaDecision:
    if inputs.replica.stop_reason:
        return ReplicaDecision(ReplicaAction.DRAIN, inputs.replica.stop_reason)
    suspicion = _find_suspects(inputs.observation, FAILED_STATUSES)
    if suspicion.ranks:
        return _decide_after_failure(inputs, suspicion)
    statuses = inputs.observation.statuses
    not_loaded = frozenset(r for r, s in statuses.items() if s is not MemberStatus.LOADED)
    if not not_loaded:
        return _decide_loaded(inputs)
    start_deadline = inputs.phase_entered_at + inputs.observation.start_limit_s
    if inputs.time.now < start_deadline:
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=start_deadline)
    timeout = _Suspicion(not_loaded, f"start timed out: rank {_format_ranks(not_loaded)}")
    return _decide_after_failure(inputs, timeout)


def _decide_loaded(inputs: DecisionInput) -> ReplicaDecision:
    """Return the next step of a replica whose members have all loaded their weights."""
    observation, now = inputs.observation, inputs.time.now
    if not observation.is_rendezvous_complete:
        check_s = inputs.settings.heartbeat_interval_s / RENDEZVOUS_CHECKS_PER_HEARTBEAT
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=now + check_s)
    if now < observation.fenced_at:
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=observation.fenced_at)
    return ReplicaDecision(ReplicaAction.CONFIRM, "every member has confirmed the generation")


def _decide_ready(inputs: DecisionInput) -> ReplicaDecision:
    suspicion = _find_suspects(inputs.observation, FAILED_STATUSES_WHEN_READY)
    if suspicion.ranks:
        return _decide_after_failure(inputs, suspicion)
    if inputs.replica.stop_reason and inputs.observation.may_stop:
        return ReplicaDecision(ReplicaAction.DRAIN, inputs.replica.stop_reason)
    return ReplicaDecision(ReplicaAction.WAIT)


def _decide_draining(inputs: DecisionInput) -> ReplicaDecision:
    if inputs.observation.is_all_stopped:
        return ReplicaDecision(ReplicaAction.STOP, inputs.replica.reason)
    recheck_at = inputs.time.now + inputs.settings.failure_detection_s
    return ReplicaDecision(ReplicaAction.WAIT, recheck_at=recheck_at)


def _decide_stopped(_inputs: DecisionInput) -> ReplicaDecision:
    return ReplicaDecision(ReplicaAction.DELETE)


def _decide_failed(inputs: DecisionInput) -> ReplicaDecision:
    replica = inputs.replica
    if replica.stop_reason:
        return ReplicaDecision(ReplicaAction.DRAIN, replica.stop_reason)
    if replica.chunks:
        return ReplicaDecision(ReplicaAction.CLEAR)
    retry_at = inputs.phase_entered_at + inputs.spec.restart_window_s
    if inputs.time.now >= retry_at:
        return ReplicaDecision(ReplicaAction.RETRY, "the restart window has passed")
    return ReplicaDecision(ReplicaAction.WAIT, recheck_at=retry_at)


_DECISIONS = {
    ReplicaPhase.PENDING: _decide_pending,
    ReplicaPhase.RESERVING: _decide_reserving,
    ReplicaPhase.STARTING: _decide_starting,
    ReplicaPhase.READY: _decide_ready,
    ReplicaPhase.REPAIRING: _decide_reserving,
    ReplicaPhase.DRAINING: _decide_draining,
    ReplicaPhase.STOPPED: _decide_stopped,
    ReplicaPhase.FAILED: _decide_failed,
}


# -- member failures -----------------------------------------------------------------


def _decide_after_failure(inputs: DecisionInput, suspicion: _Suspicion) -> ReplicaDecision:
    """Return the next step of a replica with members that have failed."""
    replica = inputs.replica
    if replica.stop_reason:
        return ReplicaDecision(ReplicaAction.DRAIN, f"{replica.stop_reason}; {suspicion.reason}")
    if inputs.restart_count >= inputs.spec.restart_budget:
        reason = f"restart budget used up; {suspicion.reason}"
        return ReplicaDecision(ReplicaAction.FAIL, reason, suspects=suspicion.ranks)
    return ReplicaDecision(ReplicaAction.REPAIR, suspicion.reason, suspects=suspicion.ranks)


def _find_suspects(
    observation: ReplicaObservation, failed_statuses: frozenset[MemberStatus]
) -> _Suspicion:
    """Return the ranks that have probably failed; none if the replica is healthy."""
    statuses = observation.statuses
    failed = frozenset(r for r, s in statuses.items() if s in failed_statuses)
    if failed:
        statuses_shown = " and ".join(sorted({statuses[r].value for r in failed}))
        return _Suspicion(failed, f"member {statuses_shown}: rank {_format_ranks(failed)}")
    unreachable = observation.unreachable
    if not unreachable:
        return _Suspicion(frozenset(), "")
    shown = _format_ranks(unreachable)
    others = len(statuses) - 1
    if 2 * len(unreachable) > others and others > 1:
        # a front member that can't reach most others is more likely at fault than all of them
        front = frozenset({FRONT_RANK})
        return _Suspicion(front, f"front member reaches no majority: rank {shown}")
    return _Suspicion(unreachable, f"not reached by the front member: rank {shown}")


def _format_ranks(ranks: frozenset[int]) -> str:
    return ",".join(str(r) for r in sorted(ranks))
