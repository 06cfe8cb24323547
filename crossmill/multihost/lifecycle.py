"""Decides what happens next to a replica, from its records and its members' state.

Pure functions without state. `observations` gathers their input, and `replica_reconciler` carries
the decisions out. Every decision depends only on durable records and on what agents report, so that
the next owner of the pool comes to the same ones.
"""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from .member_status import DecisionTime, MemberStatus
from .model import FRONT_RANK, Replica, ReplicaSetSpec
from .phases import ReplicaPhase
from .settings import MultihostSettings

# a start may take so many times what its fetch should take: rates differ, and fetches share them
FETCH_TIME_FACTOR = 3.0
# a machine's fetch rate counts as at least this, so that no start limit is infinite
MIN_FETCH_GB_PER_S = 1e-3
# restarts that are not delayed, and the number of doublings after which the back-off stays
RESTARTS_WITHOUT_BACKOFF = 1
MAX_BACKOFF_DOUBLINGS = 16
# while the members' rendezvous is incomplete it is checked so many times in a heartbeat interval
RENDEZVOUS_CHECKS_PER_HEARTBEAT = 8

FAILED_STATUSES = frozenset({MemberStatus.LOST, MemberStatus.FAILED})
# once all have confirmed the generation, a member that no longer does has failed
FAILED_STATUSES_WHEN_READY = FAILED_STATUSES | {MemberStatus.ABSENT, MemberStatus.LOADING}


class ReplicaAction(Enum):
    """What is to be done about a replica."""

    WAIT = "wait"
    # machines are needed
    PLACE = "place"
    # every member runs: the replica becomes ready
    CONFIRM = "confirm"
    REPAIR = "repair"
    # give up the machines reserved so far and wait for all of them together
    RELEASE = "release"
    # delete the records of members whose machines are no longer reserved
    CLEAR = "clear"
    DRAIN = "drain"
    STOP = "stop"
    FAIL = "fail"
    RETRY = "retry"
    # delete the record of a stopped replica
    DELETE = "delete"


class ReplicaDecision(NamedTuple):
    """What is to be done about a replica, why, and when to decide again if nothing changes.

    Attributes:
        action: What is to be done.
        reason: The reason as operators see it.
        recheck_at: When to decide again, in the controller's steady time.
        suspects: Ranks whose machines are not used for the next generation.
    """

    action: ReplicaAction
    reason: str = ""
    recheck_at: float | None = None
    suspects: frozenset[int] = frozenset()


class ReplicaObservation(NamedTuple):
    """What is known about a replica at the time of a decision.

    Attributes:
        statuses: The state of each member, by rank.
        unreachable: Ranks that the front member does not reach.
        is_rendezvous_complete: Whether every member was alive, in this generation, after the last
            of them had confirmed it.
        fenced_at: From this steady time on no serving lease of an earlier generation is valid.
        start_limit_s: A start that takes longer has failed.
        may_stop: Whether the disruption budget lets the replica be stopped now.
        all_stopped: Whether no member of any generation can still run.
    """

    statuses: Mapping[int, MemberStatus]
    unreachable: frozenset[int]
    is_rendezvous_complete: bool
    fenced_at: float
    start_limit_s: float
    may_stop: bool
    all_stopped: bool


class DecisionInput(NamedTuple):
    """All that a decision about one replica depends on."""

    replica: Replica
    spec: ReplicaSetSpec
    observation: ReplicaObservation
    time: DecisionTime
    settings: MultihostSettings

    @property
    def phase_entered_at(self) -> float:
        """The steady time at which the replica entered its phase."""
        return self.time.to_steady(self.replica.since)

    @property
    def restart_count(self) -> int:
        """The number of restarts that count against the set's budget."""
        return len(recent_restarts(self.replica, self.spec, self.time.wall))


class _Suspicion(NamedTuple):
    """The ranks that are to be replaced, and the reason as it is shown."""

    ranks: frozenset[int]
    reason: str


def recent_restarts(replica: Replica, spec: ReplicaSetSpec, wall_time: float) -> tuple[float, ...]:
    """Return the wall times of the restarts that still count against the set's budget."""
    return tuple(at for at in replica.restarts if wall_time - at <= spec.restart_window_s)


def backoff_s(restarts: int, settings: MultihostSettings) -> float:
    """Return how long a replica that was restarted so often waits before it is placed again."""
    if restarts <= RESTARTS_WITHOUT_BACKOFF:
        return 0.0
    doublings = min(restarts - RESTARTS_WITHOUT_BACKOFF - 1, MAX_BACKOFF_DOUBLINGS)
    return float(min(settings.max_backoff_s, settings.initial_backoff_s * 2**doublings))


def start_limit_s(
    spec: ReplicaSetSpec, slowest_fetch_gb_per_s: float, settings: MultihostSettings
) -> float:
    """Return the time after which a start counts as failed."""
    fetch_s = FETCH_TIME_FACTOR * spec.image_gb / max(slowest_fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    return fetch_s + settings.start_overhead_s


def decide(inputs: DecisionInput) -> ReplicaDecision:
    """Return the next step of a replica."""
    return _DECISIONS[inputs.replica.phase](inputs)


# -- by phase ------------------------------------------------------------------------


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
    suspicion = _suspects(inputs.observation, FAILED_STATUSES)
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
    """Return the next step of a replica all of whose members have their weights."""
    observation, now = inputs.observation, inputs.time.now
    if not observation.is_rendezvous_complete:
        check_s = inputs.settings.heartbeat_interval_s / RENDEZVOUS_CHECKS_PER_HEARTBEAT
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=now + check_s)
    if now < observation.fenced_at:
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=observation.fenced_at)
    return ReplicaDecision(ReplicaAction.CONFIRM, "every member has confirmed the generation")


def _decide_ready(inputs: DecisionInput) -> ReplicaDecision:
    suspicion = _suspects(inputs.observation, FAILED_STATUSES_WHEN_READY)
    if suspicion.ranks:
        return _decide_after_failure(inputs, suspicion)
    if inputs.replica.stop_reason and inputs.observation.may_stop:
        return ReplicaDecision(ReplicaAction.DRAIN, inputs.replica.stop_reason)
    return ReplicaDecision(ReplicaAction.WAIT)


def _decide_draining(inputs: DecisionInput) -> ReplicaDecision:
    if inputs.observation.all_stopped:
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


# -- members that have failed --------------------------------------------------------


def _decide_after_failure(inputs: DecisionInput, suspicion: _Suspicion) -> ReplicaDecision:
    """Return the next step of a replica that has lost members."""
    replica = inputs.replica
    if replica.stop_reason:
        return ReplicaDecision(ReplicaAction.DRAIN, f"{replica.stop_reason}; {suspicion.reason}")
    if inputs.restart_count >= inputs.spec.restart_budget:
        reason = f"restart budget used up; {suspicion.reason}"
        return ReplicaDecision(ReplicaAction.FAIL, reason, suspects=suspicion.ranks)
    return ReplicaDecision(ReplicaAction.REPAIR, suspicion.reason, suspects=suspicion.ranks)


def _suspects(
    observation: ReplicaObservation, failed_statuses: frozenset[MemberStatus]
) -> _Suspicion:
    """Return the ranks to be replaced; none if the replica is healthy."""
    statuses = observation.statuses
    failed = frozenset(r for r, s in statuses.items() if s in failed_statuses)
    if failed:
        how = " and ".join(sorted({statuses[r].value for r in failed}))
        return _Suspicion(failed, f"member {how}: rank {_format_ranks(failed)}")
    unreachable = observation.unreachable
    if not unreachable:
        return _Suspicion(frozenset(), "")
    shown = _format_ranks(unreachable)
    others = len(statuses) - 1
    if 2 * len(unreachable) > others and others > 1:
        # one machine that reaches hardly any other is likelier at fault than all the others
        front = frozenset({FRONT_RANK})
        return _Suspicion(front, f"front member reaches no majority: rank {shown}")
    return _Suspicion(unreachable, f"not reached by the front member: rank {shown}")


def _format_ranks(ranks: frozenset[int]) -> str:
    return ",".join(str(r) for r in sorted(ranks))
