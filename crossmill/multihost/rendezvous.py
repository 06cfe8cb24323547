"""Detects when all members of a generation are alive at the same time after confirming it.

Members confirm at different times, and one may have died after its confirmation. The rendezvous of
a generation is complete once every member is proved alive after the last confirmation arrived, in
the session in which it confirmed.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .agents import AgentView
from .model import Member, Replica, ReplicaId
from .serving import all_alive_at


class _Confirmation(NamedTuple):
    """A generation that all members have confirmed.

    `at` is the monotonic time at which this was first observed.
    """

    generation: int
    at: float


class Rendezvous:
    """The replicas whose members have all confirmed their generation, kept by the pool's owner."""

    def __init__(self) -> None:
        self._confirmations: dict[ReplicaId, _Confirmation] = {}

    def clear(self) -> None:
        """Drop all confirmations when the ownership of the pool ends."""
        self._confirmations.clear()

    def forget(self, replica_id: ReplicaId) -> None:
        """Drop a replica that has an unconfirmed member or is no longer starting."""
        self._confirmations.pop(replica_id, None)

    def is_complete(
        self,
        replica: Replica,
        members: Iterable[Member],
        views: Iterable[AgentView | None],
        now: float,
    ) -> bool:
        """Return whether all members were alive at some moment after the last confirmation.

        Call this only if every member has confirmed the replica's generation; the first call for a
        generation records the time.
        """
        confirmation = self._confirmations.get(replica.id)
        if confirmation is None or confirmation.generation != replica.generation:
            confirmation = self._confirmations[replica.id] = _Confirmation(replica.generation, now)
        alive_at = all_alive_at(members, views)
        return alive_at is not None and alive_at >= confirmation.at
