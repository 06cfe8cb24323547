"""Shows that all members of a generation were alive at one moment after all had confirmed it.

Members confirm at different times, and one may have died since it did. Their rendezvous is complete
when each was proved alive, in the session in which it confirmed, after the last confirmation came.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .agents import AgentView
from .model import Member, Replica, ReplicaId
from .serving import all_alive_at


class _Confirmation(NamedTuple):
    """When all members of a generation were first seen to have confirmed it."""

    generation: int
    at: float


class Rendezvous:
    """The replicas all of whose members have confirmed, kept by the pool's owner."""

    def __init__(self) -> None:
        self._confirmations: dict[ReplicaId, _Confirmation] = {}

    def clear(self) -> None:
        """Forget all confirmations, when the ownership of the pool ends."""
        self._confirmations.clear()

    def forget(self, replica_id: ReplicaId) -> None:
        """Forget a replica that has a member without confirmation, or has left its phase."""
        self._confirmations.pop(replica_id, None)

    def is_complete(
        self,
        replica: Replica,
        members: Iterable[Member],
        views: Iterable[AgentView | None],
        now: float,
    ) -> bool:
        """Return whether all members were alive at one moment after the last confirmation.

        Every member must have confirmed the replica's generation; the first call notes the time.
        """
        known = self._confirmations.get(replica.id)
        if known is None or known.generation != replica.generation:
            known = self._confirmations[replica.id] = _Confirmation(replica.generation, now)
        alive_at = all_alive_at(members, views)
        return alive_at is not None and alive_at >= known.at
