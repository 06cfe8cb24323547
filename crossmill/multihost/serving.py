"""Serving leases of front members, and the time when those of earlier generations have expired.

A lease expires `serving_lease_s` after the last moment at which every member was proved alive. Each
member's newest heartbeat returns a response of the controller, which proves that the member was
alive when that response was sent; the earliest of these times counts. The receipt of a heartbeat
proves nothing, because the heartbeat may have been in transit for minutes.

`ServingLeases` keeps the leases in the memory of the pool's owner. The heartbeat handler grants
them, and the replica reconciler waits until those of earlier generations have expired.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .agents import AgentView
from .model import Member, Replica, ReplicaId
from .settings import CLOCK_DRIFT, MultihostSettings


class ServingGrant(NamedTuple):
    """The last grant of a replica's serving lease; `expires_at` is a monotonic time."""

    machine: str
    session: int
    generation: int
    expires_at: float


def all_alive_at(members: Iterable[Member], views: Iterable[AgentView | None]) -> float | None:
    """Return the last moment at which every member's machine was proved alive.

    A proof counts only if the machine's agent is still in the session that the member belongs to.

    Returns:
        The moment in the controller's monotonic time; None if there is no proof for a member.
    """
    moments: list[float] = []
    for member, view in zip(members, views, strict=True):
        if view is None or view.alive_at is None or view.session != member.session:
            return None
        moments.append(view.alive_at)
    return min(moments, default=None)


class ServingLeases:
    """The serving leases granted since this controller acquired the pool."""

    def __init__(self, settings: MultihostSettings) -> None:
        self._settings = settings
        self._grants: dict[ReplicaId, ServingGrant] = {}

    def clear(self) -> None:
        """Drop all grants when the ownership ends; the next owner waits until they have expired."""
        self._grants.clear()

    def forget(self, replica_id: ReplicaId) -> None:
        """Drop the grant of a replica that is deleted."""
        self._grants.pop(replica_id, None)

    def grant(self, replica: Replica, front: Member, alive_at: float, now: float) -> float:
        """Grant the front member a lease and return its length in seconds.

        The agent counts the lease from the time at which it sent the heartbeat that this grant
        responds to. That time is before `now`, so for the agent the lease expires no later than
        for the controller.

        Args:
            replica: The replica that is allowed to serve.
            front: Its front member.
            alive_at: The monotonic time at which all members were proved alive.
            now: The controller's monotonic time.

        Returns:
            The length of the lease; 0 if `alive_at` is too long ago.
        """
        expires_at = alive_at + self._settings.serving_lease_s
        lease_s = (expires_at - now) * (1 - CLOCK_DRIFT)
        if lease_s <= 0:
            return 0.0
        earlier_grant = self._grants.get(replica.id)
        if earlier_grant is not None and earlier_grant.generation == replica.generation:
            expires_at = max(expires_at, earlier_grant.expires_at)
        self._grants[replica.id] = ServingGrant(
            front.machine, front.session, replica.generation, expires_at
        )
        return lease_s

    def fenced_at(self, replica: Replica, owned_since: float, grantee: AgentView | None) -> float:
        """Return the time after which no front member of an earlier generation serves.

        By then its lease has expired, or its agent has reported a later generation or has started a
        new session.

        Args:
            replica: The replica in its current generation.
            owned_since: The monotonic time at which the ownership of the pool began.
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
        return max(earliest, grant.expires_at + self._settings.serving_lease_s * CLOCK_DRIFT)

    def granted_machine(self, replica_id: ReplicaId) -> str | None:
        """Return the machine that the replica's last lease was granted to; None without a lease."""
        grant = self._grants.get(replica_id)
        return None if grant is None else grant.machine
