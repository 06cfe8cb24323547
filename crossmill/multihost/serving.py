"""Serving leases of front members, and when none of an earlier generation can still be valid.

A lease ends `serving_lease_s` after the moment at which every member was last proved alive. That
moment is the sending of the oldest of the answers that the members' newest heartbeats return; the
receipt of a heartbeat proves nothing, since it may have been under way for minutes.

`ServingLeases` is the memory of the pool's owner: the heartbeat handler grants leases, and the
replica reconciler waits until those of earlier generations have expired.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .agents import AgentView
from .model import Member, Replica, ReplicaId
from .settings import CLOCK_DRIFT, MultihostSettings


class ServingGrant(NamedTuple):
    """The last grant of a replica's serving lease; `until` is in the controller's steady time."""

    machine: str
    session: int
    generation: int
    until: float


def all_alive_at(members: Iterable[Member], views: Iterable[AgentView | None]) -> float | None:
    """Return a moment at which every member's machine was alive, in its member's session.

    Returns:
        The moment in the controller's steady time; None if a member was not proved alive.
    """
    moments: list[float] = []
    for member, view in zip(members, views, strict=True):
        if view is None or view.alive_at is None or view.session != member.session:
            return None
        moments.append(view.alive_at)
    return min(moments, default=None)


class ServingLeases:
    """The serving leases granted since this controller owns the pool."""

    def __init__(self, settings: MultihostSettings) -> None:
        self._settings = settings
        self._grants: dict[ReplicaId, ServingGrant] = {}

    def clear(self) -> None:
        """Forget all grants when the ownership ends; the next owner waits until they expire."""
        self._grants.clear()

    def forget(self, replica_id: ReplicaId) -> None:
        """Forget the grant of a replica that is deleted."""
        self._grants.pop(replica_id, None)

    def grant(self, replica: Replica, front: Member, alive_at: float, now: float) -> float:
        """Grant the front member a lease and return its length in seconds.

        The lease counts from the sending of the heartbeat that is answered now. That was before
        now, so the lease ends no later than it does by this clock.

        Args:
            replica: The replica that may serve.
            front: Its front member.
            alive_at: When all members were proved alive.
            now: The controller's steady time.

        Returns:
            The length of the lease; 0 if all were proved alive too long ago.
        """
        until = alive_at + self._settings.serving_lease_s
        lease_s = (until - now) * (1 - CLOCK_DRIFT)
        if lease_s <= 0:
            return 0.0
        known = self._grants.get(replica.id)
        if known is not None and known.generation == replica.generation:
            until = max(until, known.until)
        self._grants[replica.id] = ServingGrant(
            front.machine, front.session, replica.generation, until
        )
        return lease_s

    def fenced_at(self, replica: Replica, owned_since: float, grantee: AgentView | None) -> float:
        """Return the time from which on no front member of an earlier generation serves.

        Its lease has expired by then, or its agent has said that it runs a later generation.

        Args:
            replica: The replica in its present generation.
            owned_since: When the ownership of the pool began.
            grantee: The view of the machine that was granted the last lease.
        """
        earliest = owned_since + self._settings.fencing_delay_s
        grant = self._grants.get(replica.id)
        if grant is None or grant.generation >= replica.generation:
            return earliest
        if grantee is not None and grantee.machine == grant.machine:
            report = grantee.members.get(str(replica.id))
            runs_later = report is not None and report.generation >= replica.generation
            if runs_later or grantee.session > grant.session:
                return earliest
        return max(earliest, grant.until + self._settings.serving_lease_s * CLOCK_DRIFT)

    def granted_machine(self, replica_id: ReplicaId) -> str | None:
        """Return the machine of the replica's last grant; None without one."""
        grant = self._grants.get(replica_id)
        return None if grant is None else grant.machine
