"""Serving leases of front members, and when none of an earlier generation can still hold.

A grant ends `serving_lease_s` after the moment at which every member was last proved alive. That
moment is the sending of the oldest of the answers that the members' newest heartbeats return; the
receipt of a heartbeat proves nothing, for it may have been under way for minutes.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from .agents import AgentView
from .model import Member, Replica, ReplicaId
from .settings import DRIFT, MultihostSettings


@dataclass(slots=True, eq=False)
class ServingGrant:
    """The last grant of a replica's serving lease."""

    machine: str
    session: int
    generation: int
    until: float


def all_alive_at(members: Iterable[Member], views: Iterable[AgentView | None]) -> float | None:
    """A moment at which every member's machine was alive, in its member's session."""
    moments: list[float] = []
    for member, view in zip(members, views, strict=True):
        if view is None or view.alive_at is None or view.session != member.session:
            return None
        moments.append(view.alive_at)
    return min(moments, default=None)


class ServingLeases:
    """The grants of this ownership."""

    def __init__(self, settings: MultihostSettings) -> None:
        self._settings = settings
        self._grants: dict[ReplicaId, ServingGrant] = {}

    def clear(self) -> None:
        """The ownership has ended; the next owner waits out whatever was granted."""
        self._grants.clear()

    def forget(self, replica_id: ReplicaId) -> None:
        """The replica is deleted."""
        self._grants.pop(replica_id, None)

    def grant(self, replica: Replica, front: Member, alive_at: float, now: float) -> float:
        """How long the front member may serve from the sending of the heartbeat that is answered
        now; 0 if all were proved alive too long ago. The heartbeat was sent before now, so the
        lease ends no later than it does by this clock.
        """
        until = alive_at + self._settings.serving_lease_s
        lease_s = (until - now) * (1 - DRIFT)
        if lease_s <= 0:
            return 0.0
        known = self._grants.get(replica.id)
        if known is not None and known.generation == replica.generation:
            until = max(until, known.until)
        self._grants[replica.id] = ServingGrant(
            front.machine, front.session, replica.generation, until
        )
        return lease_s

    def fenced_at(
        self, replica: Replica, owned_since: float, front_view: AgentView | None
    ) -> float:
        """From this moment on no front member of an earlier generation serves: its lease has
        ended, or its agent has said that it runs a later generation. `front_view` is the view of
        the machine that was granted the last lease.
        """
        earliest = owned_since + self._settings.fence_s
        grant = self._grants.get(replica.id)
        if grant is None or grant.generation >= replica.generation:
            return earliest
        if front_view is not None and front_view.machine == grant.machine:
            report = front_view.members.get(str(replica.id))
            has_moved_on = report is not None and report.generation >= replica.generation
            if has_moved_on or front_view.session > grant.session:
                return earliest
        return max(earliest, grant.until + self._settings.serving_lease_s * DRIFT)

    def granted_machine(self, replica_id: ReplicaId) -> str | None:
        """The machine of the last grant."""
        grant = self._grants.get(replica_id)
        return None if grant is None else grant.machine
