"""What happens next to a replica: pure decisions from its records and its members' state."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from ..wire.multihost import MemberState
from .agents import AgentView
from .model import Member, Replica, ReplicaSetSpec
from .phases import ReplicaPhase
from .settings import MultihostSettings

# a start may take so many times what its fetch should take: rates differ, and fetches share them
FETCH_TIME_FACTOR = 3.0


class MemberStatus(Enum):
    """A member as far as the owner can tell."""

    # its machine has not been heard since this owner began, and may yet be
    UNKNOWN = "unheard"
    # its agent is there and does not run it in this generation
    ABSENT = "absent"
    LOADING = "loading"
    LOADED = "loaded"
    FAILED = "failed"
    # its machine is silent or gone, or its agent has begun a new session
    LOST = "lost"


FAILED_STATUSES = frozenset({MemberStatus.LOST, MemberStatus.FAILED})
# once all have confirmed, a member that no longer does has fallen
FAILED_STATUSES_WHEN_READY = FAILED_STATUSES | {MemberStatus.ABSENT, MemberStatus.LOADING}


class ReplicaAction(Enum):
    """What is to be done about a replica."""

    WAIT = "wait"
    # machines are needed
    PLACE = "place"
    CONFIRM = "confirm"
    REPAIR = "repair"
    # give up the machines held and wait as a whole
    RELEASE = "release"
    # delete the records of machines that are no longer held
    CLEAR = "clear"
    DRAIN = "drain"
    STOP = "stop"
    FAIL = "fail"
    RETRY = "retry"
    # delete the record of a stopped replica
    DELETE = "delete"


class ReplicaDecision(NamedTuple):
    """What is to be done, why, and when to look again if nothing changes."""

    action: ReplicaAction
    reason: str = ""
    # in the controller's steady time
    recheck_at: float | None = None
    # ranks whose machines are not to be used for the next generation
    suspects: frozenset[int] = frozenset()


class DecisionTime(NamedTuple):
    """When a decision is made, and since when this controller owns the pool."""

    now: float
    wall: float
    owned_since: float

    def steady(self, wall: float) -> float:
        """The steady time of a wall time."""
        return self.now + (wall - self.wall)


def first_contact_s(settings: MultihostSettings) -> float:
    """How long after a change of owner an agent may take to find the new one."""
    return settings.failure_detection_s + 2 * settings.answer_timeout_s


def is_heartbeat_overdue(
    view: AgentView | None, moment: DecisionTime, settings: MultihostSettings
) -> bool:
    """Whether the machine has not been heard for so long that it counts as lost. After a change
    of owner the agents first have to find the new one.
    """
    if view is None or not view.is_trusted:
        return moment.now - moment.owned_since > first_contact_s(settings)
    return moment.now - view.last_heartbeat_at > settings.failure_detection_s


def member_status(
    member: Member,
    replica: Replica,
    view: AgentView | None,
    moment: DecisionTime,
    settings: MultihostSettings,
) -> MemberStatus:
    """The state of a member of the replica's current generation."""
    if is_heartbeat_overdue(view, moment, settings):
        return MemberStatus.LOST
    if view is None or not view.is_trusted:
        return MemberStatus.UNKNOWN
    if view.session != member.session:
        return MemberStatus.LOST
    report = view.members.get(str(replica.id))
    if report is None or report.generation != replica.generation:
        return MemberStatus.ABSENT
    match report.state:
        case MemberState.LOADED:
            return MemberStatus.LOADED
        case MemberState.FAILED:
            return MemberStatus.FAILED
        case MemberState.REFUSED:
            return MemberStatus.ABSENT
        case MemberState.LOADING:
            return MemberStatus.LOADING


def recent_restarts(replica: Replica, spec: ReplicaSetSpec, wall: float) -> tuple[float, ...]:
    """The restarts that still count against the budget."""
    return tuple(at for at in replica.restarts if wall - at <= spec.restart_window_s)


def backoff_s(restarts: int, settings: MultihostSettings) -> float:
    """How long a replica that was restarted so often waits; the first restart waits for nothing."""
    if restarts <= 1:
        return 0.0
    return float(
        min(settings.max_backoff_s, settings.initial_backoff_s * 2 ** min(restarts - 2, 16))
    )


def start_limit_s(spec: ReplicaSetSpec, slowest_fetch: float, settings: MultihostSettings) -> float:
    """A start that takes longer than this is given up."""
    return FETCH_TIME_FACTOR * spec.image_gb / max(slowest_fetch, 1e-3) + settings.start_overhead_s


class ReplicaObservation(NamedTuple):
    """What a decision about one replica rests on."""

    statuses: Mapping[int, MemberStatus]
    # ranks that the front member does not reach
    unreachable: frozenset[int]
    # every member was alive, in this generation, after the last of them had confirmed it
    is_rendezvous_complete: bool
    # no grant of an earlier generation holds from this moment on
    fenced_at: float
    start_limit_s: float
    # whether the disruption budget lets the replica be stopped now
    may_stop: bool
    # whether every member of any generation is known to be gone
    all_stopped: bool


def _suspects(
    situation: ReplicaObservation, fallen_states: frozenset[MemberStatus]
) -> tuple[frozenset[int], str]:
    """The ranks to be replaced, and the reason as it is shown."""
    fallen = frozenset(r for r, s in situation.statuses.items() if s in fallen_states)
    if fallen:
        how = {situation.statuses[r].value for r in fallen}
        return fallen, f"member {' and '.join(sorted(how))}: rank {_ranks(fallen)}"
    unreachable = situation.unreachable
    if not unreachable:
        return frozenset(), ""
    others = len(situation.statuses) - 1
    if 2 * len(unreachable) > others and others > 1:
        # one machine that reaches hardly any other is likelier at fault than all the others
        return frozenset({0}), f"front member reaches no majority: rank {_ranks(unreachable)}"
    return unreachable, f"not reached by the front member: rank {_ranks(unreachable)}"


def _ranks(ranks: frozenset[int]) -> str:
    return ",".join(str(r) for r in sorted(ranks))


def decide(
    replica: Replica,
    spec: ReplicaSetSpec,
    situation: ReplicaObservation,
    moment: DecisionTime,
    settings: MultihostSettings,
) -> ReplicaDecision:
    """The next step of a replica."""
    match replica.phase:
        case ReplicaPhase.PENDING:
            return _decide_pending(replica)
        case ReplicaPhase.RESERVING | ReplicaPhase.REPAIRING:
            return _decide_placing(replica, spec, moment, settings)
        case ReplicaPhase.STARTING:
            return _decide_starting(replica, spec, situation, moment, settings)
        case ReplicaPhase.READY:
            return _decide_ready(replica, spec, situation, moment)
        case ReplicaPhase.DRAINING:
            if situation.all_stopped:
                return ReplicaDecision(ReplicaAction.STOP, replica.reason)
            return ReplicaDecision(
                ReplicaAction.WAIT, recheck_at=moment.now + settings.failure_detection_s
            )
        case ReplicaPhase.STOPPED:
            return ReplicaDecision(ReplicaAction.DELETE)
        case ReplicaPhase.FAILED:
            return _decide_failed(replica, spec, moment)


def _decide_pending(replica: Replica) -> ReplicaDecision:
    if replica.chunks:
        return ReplicaDecision(ReplicaAction.CLEAR)
    if replica.leaving:
        return ReplicaDecision(ReplicaAction.STOP, replica.leaving)
    return ReplicaDecision(ReplicaAction.PLACE)


def _decide_placing(
    replica: Replica, spec: ReplicaSetSpec, moment: DecisionTime, settings: MultihostSettings
) -> ReplicaDecision:
    if replica.leaving:
        return ReplicaDecision(ReplicaAction.DRAIN, replica.leaving)
    entered = moment.steady(replica.since)
    wait_s = 0.0
    if replica.phase is ReplicaPhase.REPAIRING:
        wait_s = backoff_s(len(recent_restarts(replica, spec, moment.wall)), settings)
    if moment.now < entered + wait_s:
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=entered + wait_s)
    if moment.now >= entered + wait_s + spec.hold_s:
        return ReplicaDecision(ReplicaAction.RELEASE, "no room within the bound on holding a part")
    return ReplicaDecision(ReplicaAction.PLACE, recheck_at=entered + wait_s + spec.hold_s)


def _decide_failing(
    replica: Replica,
    spec: ReplicaSetSpec,
    suspects: frozenset[int],
    reason: str,
    moment: DecisionTime,
) -> ReplicaDecision:
    if replica.leaving:
        return ReplicaDecision(ReplicaAction.DRAIN, f"{replica.leaving}; {reason}")
    if len(recent_restarts(replica, spec, moment.wall)) >= spec.restart_budget:
        return ReplicaDecision(
            ReplicaAction.FAIL, f"restart budget used up; {reason}", suspects=suspects
        )
    return ReplicaDecision(ReplicaAction.REPAIR, reason, suspects=suspects)


def _decide_starting(
    replica: Replica,
    spec: ReplicaSetSpec,
    situation: ReplicaObservation,
    moment: DecisionTime,
    settings: MultihostSettings,
) -> ReplicaDecision:
    if replica.leaving:
        return ReplicaDecision(ReplicaAction.DRAIN, replica.leaving)
    suspects, reason = _suspects(situation, FAILED_STATUSES)
    if suspects:
        return _decide_failing(replica, spec, suspects, reason, moment)
    if all(s is MemberStatus.LOADED for s in situation.statuses.values()):
        if not situation.is_rendezvous_complete:
            return ReplicaDecision(
                ReplicaAction.WAIT, recheck_at=moment.now + settings.heartbeat_interval_s / 8
            )
        if moment.now < situation.fenced_at:
            return ReplicaDecision(ReplicaAction.WAIT, recheck_at=situation.fenced_at)
        return ReplicaDecision(ReplicaAction.CONFIRM, "every member has confirmed the generation")
    limit = moment.steady(replica.since) + situation.start_limit_s
    if moment.now < limit:
        return ReplicaDecision(ReplicaAction.WAIT, recheck_at=limit)
    late = frozenset(r for r, s in situation.statuses.items() if s is not MemberStatus.LOADED)
    return _decide_failing(replica, spec, late, f"start timed out: rank {_ranks(late)}", moment)


def _decide_ready(
    replica: Replica, spec: ReplicaSetSpec, situation: ReplicaObservation, moment: DecisionTime
) -> ReplicaDecision:
    suspects, reason = _suspects(situation, FAILED_STATUSES_WHEN_READY)
    if suspects:
        return _decide_failing(replica, spec, suspects, reason, moment)
    if replica.leaving and situation.may_stop:
        return ReplicaDecision(ReplicaAction.DRAIN, replica.leaving)
    return ReplicaDecision(ReplicaAction.WAIT)


def _decide_failed(replica: Replica, spec: ReplicaSetSpec, moment: DecisionTime) -> ReplicaDecision:
    if replica.leaving:
        return ReplicaDecision(ReplicaAction.DRAIN, replica.leaving)
    if replica.chunks:
        return ReplicaDecision(ReplicaAction.CLEAR)
    retry_at = moment.steady(replica.since) + spec.restart_window_s
    if moment.now >= retry_at:
        return ReplicaDecision(ReplicaAction.RETRY, "the restart window has passed")
    return ReplicaDecision(ReplicaAction.WAIT, recheck_at=retry_at)
