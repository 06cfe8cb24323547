"""Classifies a replica's members by what their machines' agents report.

Pure functions. `observations` and `candidates` call them with the views that `agents` keeps.
"""

from enum import Enum
from typing import NamedTuple

from ..wire.multihost import MemberState
from .agents import AgentView
from .model import Member, Replica
from .settings import MultihostSettings


class MemberStatus(Enum):
    """The state of a member as far as the pool's owner can tell."""

    # the owner has not had a heartbeat of its machine yet, and still waits for the first one
    UNKNOWN = "unheard"
    # its machine's agent reports, and doesn't run it in this generation
    ABSENT = "absent"
    LOADING = "loading"
    LOADED = "loaded"
    FAILED = "failed"
    # its machine's heartbeats are overdue, the machine is gone, or its agent began a new session
    LOST = "lost"


class DecisionTime(NamedTuple):
    """The time of a decision, and since when this controller has owned the pool.

    Attributes:
        now: The controller's steady clock, in seconds.
        wall: The wall clock, in seconds; stored times are wall times.
        owned_since: When the ownership began, by the steady clock.
    """

    now: float
    wall: float
    owned_since: float

    def to_steady(self, wall: float) -> float:
        """Return the steady time that corresponds to a wall time."""
        return self.now + (wall - self.wall)


_STATUS_OF_STATE = {
    MemberState.LOADED: MemberStatus.LOADED,
    MemberState.FAILED: MemberStatus.FAILED,
    MemberState.REFUSED: MemberStatus.ABSENT,
    MemberState.LOADING: MemberStatus.LOADING,
}


def first_contact_s(settings: MultihostSettings) -> float:
    """Return how long after a change of owner an agent may take to find the new owner."""
    return settings.failure_detection_s + 2 * settings.response_timeout_s


def is_heartbeat_overdue(
    view: AgentView | None, time: DecisionTime, settings: MultihostSettings
) -> bool:
    """Return whether the machine has sent no heartbeat for so long that it counts as lost.

    After a change of owner the agents first have to find the new one, so that a machine without a
    verified heartbeat is given `first_contact_s`.
    """
    if view is None or not view.is_verified:
        return time.now - time.owned_since > first_contact_s(settings)
    return time.now - view.last_heartbeat_at > settings.failure_detection_s


def member_status(
    member: Member,
    replica: Replica,
    view: AgentView | None,
    time: DecisionTime,
    settings: MultihostSettings,
) -> MemberStatus:
    """Return the state of a member of the replica's current generation.

    Args:
        member: The member as it is planned.
        replica: The replica that it belongs to.
        view: The view of the member's machine; None before its first heartbeat.
        time: The time of the decision.
        settings: The time spans that decide when a heartbeat is overdue.
    """
    if is_heartbeat_overdue(view, time, settings):
        return MemberStatus.LOST
    if view is None or not view.is_verified:
        return MemberStatus.UNKNOWN
    if view.session != member.session:
        return MemberStatus.LOST
    report = view.members.get(str(replica.id))
    if report is None or report.generation != replica.generation:
        return MemberStatus.ABSENT
    return _STATUS_OF_STATE[report.state]
