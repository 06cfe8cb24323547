"""Shows that all members of a generation were there at one moment.

Members confirm at different times, and one may have died since it did. They have met when each was
proved alive, in the session in which it confirmed, after the last confirmation had come.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .agents import AgentView
from .model import Member, Replica, ReplicaId
from .serving import all_alive_at


class _Confirmed(NamedTuple):
    """When all members of a generation were first seen to have confirmed it."""

    generation: int
    at: float


class Rendezvous:
    """The replicas all of whose members have confirmed, kept by the pool's owner."""

    def __init__(self) -> None:
        self._confirmed: dict[ReplicaId, _Confirmed] = {}

    def clear(self) -> None:
        """The ownership has ended."""
        self._confirmed.clear()

    def forget(self, replica_id: ReplicaId) -> None:
        """The members are not all there, or the replica has gone on."""
        self._confirmed.pop(replica_id, None)

    def is_rendezvous_complete(
        self,
        replica: Replica,
        members: Iterable[Member],
        views: Iterable[AgentView | None],
        now: float,
    ) -> bool:
        """Whether all members, each of which has confirmed the generation, were there at once."""
        known = self._confirmed.get(replica.id)
        if known is None or known.generation != replica.generation:
            known = self._confirmed[replica.id] = _Confirmed(replica.generation, now)
        alive_at = all_alive_at(members, views)
        return alive_at is not None and alive_at >= known.at
