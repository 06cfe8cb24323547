"""Determines the status of a replica's members from their agents' reports.

Pure functions, which other modules call with the views that `agents` keeps.
"""

from enum import Enum
from typing import NamedTuple

from ..wire.multihost import MemberState
from .agents import AgentView
from .model import Member, Replica
from .settings import MultihostSettings


class MemberStatus(Enum):
    """The status of a member as known to the pool's owner."""

    # the owner has received no heartbeat from its machine yet, and the first one is not overdue
    UNKNOWN = "unheard"
    # its machine's agent sends heartbeats, but doesn't run the member in this generation
    ABSENT = "absent"
    LOADING = "loading"
    LOADED = "loaded"
    FAILED = "failed"
    # its machine's heartbeats are overdue, the machine is gone, or its agent has a new session
    LOST = "lost"


class DecisionTime(NamedTuple):
    """The time of a decision, and the start of this controller's ownership of the pool.

    Attributes:
        now: The time by the controller's monotonic clock, in seconds.
        wall_time: The time by the wall clock, in seconds; stored times are wall-clock times.
        owned_since: The monotonic time at which the ownership began.
    """

    now: float
    wall_time: float
    owned_since: float

    def to_monotonic(self, wall_time: float) -> float:
        """Return the monotonic time that corresponds to a wall-clock time."""
        return self.now + (wall_time - self.wall_time)


_STATUS_OF_STATE = {
    MemberState.LOADED: MemberStatus.LOADED,
    MemberState.FAILED: MemberStatus.FAILED,
    MemberState.REFUSED: MemberStatus.ABSENT,
    MemberState.LOADING: MemberStatus.LOADING,
}


def first_contact_timeout_s(settings: MultihostSettings) -> float:
    """Return the time that agents are given to find the new owner after a change of owner."""
    return settings.failure_detection_s + 2 * settings.response_timeout_s


def is_heartbeat_overdue(
    view: AgentView | None, time: DecisionTime, settings: MultihostSettings
) -> bool:
    """Return whether the machine's last heartbeat is so old that the machine counts as lost.

    After a change of owner the agents first have to find the new one. A machine without a verified
    heartbeat therefore counts as lost only after `first_contact_timeout_s`.
    """
    if view is None or not view.is_verified:
        return time.now - time.owned_since > first_contact_timeout_s(settings)
    return time.now - view.last_heartbeat_at > settings.failure_detection_s


def member_status(
    member: Member,
    replica: Replica,
    view: AgentView | None,
    time: DecisionTime,
    settings: MultihostSettings,
) -> MemberStatus:
    """Return the status of a member of the replica's current generation.

    Args:
        member: The planned member.
        replica: The replica that it belongs to.
        view: The view of the member's machine; None if no heartbeat has been received.
        time: The time of the decision.
        settings: The settings that determine when a heartbeat is overdue.
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
