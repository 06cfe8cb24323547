"""What the pool's owner knows of the machines from their agents' heartbeats.

Everything here ends with the ownership: the next owner believes only agents that it has itself
answered.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..wire.multihost import AgentHeartbeat, MemberReport


class Freshness(Enum):
    """What a heartbeat is worth."""

    # a late copy of an earlier one, or one that overtook it
    STALE = "stale"
    # made before the agent had an answer of this owner: nothing in it is believed
    UNVERIFIED = "greeting"
    NEW = "new"


@dataclass(slots=True, eq=False)
class AgentView:
    """A machine as its newest believed heartbeat shows it."""

    machine: str
    last_heartbeat_at: float = 0.0
    # the machine was alive at this moment: an answer sent then has arrived there
    alive_at: float | None = None
    session: int = 0
    sequence: int = -1
    address: str = ""
    notice_at: float | None = None
    images: frozenset[str] = frozenset()
    members: dict[str, MemberReport] = field(default_factory=dict)
    # by replica: when an answer with an order to start a member of it was sent. Until a heartbeat
    # returns that answer or a later one, the order may still be carried out
    start_sent_at: dict[str, float] = field(default_factory=dict)
    # reports of the newest heartbeat that contradict the plan or one another
    rejected: int = 0

    def runs_no_member_of(self, replica: str) -> bool:
        """Whether the machine runs no member of the replica, nor has been ordered to."""
        if replica in self.members or self.alive_at is None:
            return False
        return self.alive_at >= self.start_sent_at.get(replica, self.alive_at)

    @property
    def is_empty(self) -> bool:
        """Whether the machine runs no member, nor has been ordered to."""
        return self.is_trusted and not self.members and not self.start_sent_at

    @property
    def is_trusted(self) -> bool:
        """Whether a heartbeat was believed since the ownership began."""
        return self.alive_at is not None


class Agents:
    """The views of all machines, the one heard longest ago first."""

    def __init__(self, process: str) -> None:
        # names this process in the proofs that it hands out
        self.process = process
        self._views: OrderedDict[str, AgentView] = OrderedDict()

    def __len__(self) -> int:
        return len(self._views)

    def get(self, machine: str) -> AgentView | None:
        """The machine's view, if it was heard."""
        return self._views.get(machine)

    def clear(self) -> None:
        """The ownership has ended."""
        self._views.clear()

    def forget(self, machine: str) -> None:
        """The machine has left the pool."""
        self._views.pop(machine, None)

    def note_start(self, machine: str, replica: str, sent_at: float) -> None:
        """An answer sent now orders a member of the replica to be started."""
        self._views[machine].start_sent_at[replica] = sent_at

    def heartbeats_before(self, moment: float) -> Iterator[AgentView]:
        """The views of machines not heard since the moment, oldest first; looks no further than
        the first that was.
        """
        for view in self._views.values():
            if view.last_heartbeat_at >= moment:
                return
            yield view

    def note(self, heartbeat: AgentHeartbeat, token: int, now: float) -> Freshness:
        """Takes a heartbeat in. It is believed if it returns a proof of this process, made under
        the owner's token, and is the newest of its agent.
        """
        view = self._views.get(heartbeat.machine)
        if view is None:
            view = self._views[heartbeat.machine] = AgentView(
                heartbeat.machine, last_heartbeat_at=now
            )
        if (heartbeat.session, heartbeat.sequence) <= (view.session, view.sequence):
            return Freshness.STALE
        proof = heartbeat.proof
        if proof is None or proof.process != self.process or heartbeat.token != token:
            return Freshness.UNVERIFIED
        is_newer = view.alive_at is None or proof.sent > view.alive_at
        view.session, view.sequence = heartbeat.session, heartbeat.sequence
        if is_newer:
            # a heartbeat that was long under way shows only that the machine lived then
            view.alive_at = proof.sent
            view.last_heartbeat_at = now
            self._views.move_to_end(heartbeat.machine)
            view.start_sent_at = {
                replica: at for replica, at in view.start_sent_at.items() if at > proof.sent
            }
        view.address = heartbeat.address
        view.notice_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        view.images = frozenset(heartbeat.images)
        return Freshness.NEW
