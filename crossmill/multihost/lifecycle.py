"""What happens next to a replica: pure decisions from its records and its members' state."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from ..wire.multihost import MemberState
from .agents import AgentView
from .model import Member, Replica, ReplicaSetSpec
from .phases import Phase
from .settings import MultihostSettings

# a start may take so many times what its fetch should take: rates differ, and fetches share them
FETCH_PATIENCE = 3.0


class MemberStatus(Enum):
    """A member as far as the owner can tell."""

    # its machine has not been heard since this owner began, and may yet be
    UNHEARD = "unheard"
    # its agent is there and does not run it in this generation
    ABSENT = "absent"
    LOADING = "loading"
    LOADED = "loaded"
    FAILED = "failed"
    # its machine is silent or gone, or its agent has begun a new session
    LOST = "lost"


FALLEN = frozenset({MemberStatus.LOST, MemberStatus.FAILED})
# once all have confirmed, a member that no longer does has fallen
FALLEN_WHEN_READY = FALLEN | {MemberStatus.ABSENT, MemberStatus.LOADING}


class Action(Enum):
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


class Decision(NamedTuple):
    """What is to be done, why, and when to look again if nothing changes."""

    action: Action
    reason: str = ""
    # in the controller's steady time
    look_at: float | None = None
    # ranks whose machines are not to be used for the next generation
    suspects: frozenset[int] = frozenset()


class Moment(NamedTuple):
    """When a decision is made, and since when this controller owns the pool."""

    now: float
    wall: float
    owned_since: float

    def steady(self, wall: float) -> float:
        """The steady time of a wall time."""
        return self.now + (wall - self.wall)


def first_contact_s(settings: MultihostSettings) -> float:
    """How long after a change of owner an agent may take to find the new one."""
    return settings.detection_s + 2 * settings.answer_timeout_s


def is_silent(view: AgentView | None, moment: Moment, settings: MultihostSettings) -> bool:
    """Whether the machine has not been heard for so long that it counts as lost. After a change
    of owner the agents first have to find the new one.
    """
    if view is None or not view.is_trusted:
        return moment.now - moment.owned_since > first_contact_s(settings)
    return moment.now - view.last_heartbeat_at > settings.detection_s


def member_status(
    member: Member,
    replica: Replica,
    view: AgentView | None,
    moment: Moment,
    settings: MultihostSettings,
) -> MemberStatus:
    """The state of a member of the replica's current generation."""
    if is_silent(view, moment, settings):
        return MemberStatus.LOST
    if view is None or not view.is_trusted:
        return MemberStatus.UNHEARD
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
        min(settings.longest_backoff_s, settings.first_backoff_s * 2 ** min(restarts - 2, 16))
    )


def start_limit_s(spec: ReplicaSetSpec, slowest_fetch: float, settings: MultihostSettings) -> float:
    """A start that takes longer than this is given up."""
    return FETCH_PATIENCE * spec.image_gb / max(slowest_fetch, 1e-3) + settings.start_slack_s


class Situation(NamedTuple):
    """What a decision about one replica rests on."""

    statuses: Mapping[int, MemberStatus]
    # ranks that the front member does not reach
    unreachable: frozenset[int]
    # every member was alive, in this generation, after the last of them had confirmed it
    have_met: bool
    # no grant of an earlier generation holds from this moment on
    fenced_at: float
    start_limit_s: float
    # whether the disruption budget lets the replica be stopped now
    may_stop: bool
    # whether every member of any generation is known to be gone
    all_gone: bool


def _suspects(
    situation: Situation, fallen_states: frozenset[MemberStatus]
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
    situation: Situation,
    moment: Moment,
    settings: MultihostSettings,
) -> Decision:
    """The next step of a replica."""
    match replica.phase:
        case Phase.PENDING:
            return _decide_pending(replica)
        case Phase.RESERVING | Phase.REPAIRING:
            return _decide_placing(replica, spec, moment, settings)
        case Phase.STARTING:
            return _decide_starting(replica, spec, situation, moment, settings)
        case Phase.READY:
            return _decide_ready(replica, spec, situation, moment)
        case Phase.DRAINING:
            if situation.all_gone:
                return Decision(Action.STOP, replica.reason)
            return Decision(Action.WAIT, look_at=moment.now + settings.detection_s)
        case Phase.STOPPED:
            return Decision(Action.DELETE)
        case Phase.FAILED:
            return _decide_failed(replica, spec, moment)


def _decide_pending(replica: Replica) -> Decision:
    if replica.chunks:
        return Decision(Action.CLEAR)
    if replica.leaving:
        return Decision(Action.STOP, replica.leaving)
    return Decision(Action.PLACE)


def _decide_placing(
    replica: Replica, spec: ReplicaSetSpec, moment: Moment, settings: MultihostSettings
) -> Decision:
    if replica.leaving:
        return Decision(Action.DRAIN, replica.leaving)
    entered = moment.steady(replica.since)
    wait_s = 0.0
    if replica.phase is Phase.REPAIRING:
        wait_s = backoff_s(len(recent_restarts(replica, spec, moment.wall)), settings)
    if moment.now < entered + wait_s:
        return Decision(Action.WAIT, look_at=entered + wait_s)
    if moment.now >= entered + wait_s + spec.hold_s:
        return Decision(Action.RELEASE, "no room within the bound on holding a part")
    return Decision(Action.PLACE, look_at=entered + wait_s + spec.hold_s)


def _decide_failing(
    replica: Replica,
    spec: ReplicaSetSpec,
    suspects: frozenset[int],
    reason: str,
    moment: Moment,
) -> Decision:
    if replica.leaving:
        return Decision(Action.DRAIN, f"{replica.leaving}; {reason}")
    if len(recent_restarts(replica, spec, moment.wall)) >= spec.restart_budget:
        return Decision(Action.FAIL, f"restart budget used up; {reason}", suspects=suspects)
    return Decision(Action.REPAIR, reason, suspects=suspects)


def _decide_starting(
    replica: Replica,
    spec: ReplicaSetSpec,
    situation: Situation,
    moment: Moment,
    settings: MultihostSettings,
) -> Decision:
    if replica.leaving:
        return Decision(Action.DRAIN, replica.leaving)
    suspects, reason = _suspects(situation, FALLEN)
    if suspects:
        return _decide_failing(replica, spec, suspects, reason, moment)
    if all(s is MemberStatus.LOADED for s in situation.statuses.values()):
        if not situation.have_met:
            return Decision(Action.WAIT, look_at=moment.now + settings.heartbeat_s / 8)
        if moment.now < situation.fenced_at:
            return Decision(Action.WAIT, look_at=situation.fenced_at)
        return Decision(Action.CONFIRM, "every member has confirmed the generation")
    limit = moment.steady(replica.since) + situation.start_limit_s
    if moment.now < limit:
        return Decision(Action.WAIT, look_at=limit)
    late = frozenset(r for r, s in situation.statuses.items() if s is not MemberStatus.LOADED)
    return _decide_failing(replica, spec, late, f"start timed out: rank {_ranks(late)}", moment)


def _decide_ready(
    replica: Replica, spec: ReplicaSetSpec, situation: Situation, moment: Moment
) -> Decision:
    suspects, reason = _suspects(situation, FALLEN_WHEN_READY)
    if suspects:
        return _decide_failing(replica, spec, suspects, reason, moment)
    if replica.leaving and situation.may_stop:
        return Decision(Action.DRAIN, replica.leaving)
    return Decision(Action.WAIT)


def _decide_failed(replica: Replica, spec: ReplicaSetSpec, moment: Moment) -> Decision:
    if replica.leaving:
        return Decision(Action.DRAIN, replica.leaving)
    if replica.chunks:
        return Decision(Action.CLEAR)
    retry_at = moment.steady(replica.since) + spec.restart_window_s
    if moment.now >= retry_at:
        return Decision(Action.RETRY, "the restart window has passed")
    return Decision(Action.WAIT, look_at=retry_at)
