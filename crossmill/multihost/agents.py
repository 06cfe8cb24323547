"""What the pool's owner knows about the machines from their agents' heartbeats.

The heartbeat handler applies heartbeats here; the reconcilers and the scheduler read the views.
Everything here ends with the ownership: the next owner believes only agents that it has itself
answered.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..wire.multihost import AgentHeartbeat, MemberReport


class Freshness(Enum):
    """How a heartbeat compares to what is already known of its machine."""

    # a late copy of an earlier heartbeat, or one that a newer one has overtaken
    STALE = "stale"
    # sent before the agent had an answer of this owner: nothing in it is believed
    UNVERIFIED = "unverified"
    NEW = "new"


@dataclass(slots=True, eq=False)
class AgentView:
    """A machine as its newest verified heartbeat shows it; times are of the steady clock."""

    machine: str
    last_heartbeat_at: float = 0.0
    # the machine was alive at this moment: an answer sent then has arrived there
    alive_at: float | None = None
    session: int = 0
    sequence: int = -1
    address: str = ""
    # when the machine is taken away by the cloud; None without a notice
    reclaim_at: float | None = None
    images: frozenset[str] = frozenset()
    members: dict[str, MemberReport] = field(default_factory=dict)
    # by replica: when an answer with an order to start a member of it was sent. Until a heartbeat
    # returns that answer or a later one, the order may still be carried out
    start_sent_at: dict[str, float] = field(default_factory=dict)
    # reports of the newest heartbeat that contradict the plan or one another
    rejected_reports: int = 0

    def runs_no_member_of(self, replica: str) -> bool:
        """Return whether the machine runs no member of the replica, nor has been ordered to."""
        if replica in self.members or self.alive_at is None:
            return False
        return self.alive_at >= self.start_sent_at.get(replica, self.alive_at)

    @property
    def is_idle(self) -> bool:
        """Whether the machine runs no member, nor has been ordered to."""
        return self.is_verified and not self.members and not self.start_sent_at

    @property
    def is_verified(self) -> bool:
        """Whether the agent has returned an answer of this owner since the ownership began."""
        return self.alive_at is not None


class Agents:
    """The views of all machines, by the time of their last heartbeat, oldest first."""

    def __init__(self, process: str) -> None:
        # names this process in the proofs of liveness that agents return
        self.process = process
        self._views: OrderedDict[str, AgentView] = OrderedDict()

    def __len__(self) -> int:
        return len(self._views)

    def get(self, machine: str) -> AgentView | None:
        """Return the machine's view; None before its first heartbeat."""
        return self._views.get(machine)

    def view(self, machine: str) -> AgentView:
        """Return the view of a machine that has sent a heartbeat.

        Raises:
            KeyError: The machine has sent none.
        """
        return self._views[machine]

    def clear(self) -> None:
        """Forget all views, when the ownership of the pool ends."""
        self._views.clear()

    def forget(self, machine: str) -> None:
        """Forget a machine that has left the pool."""
        self._views.pop(machine, None)

    def record_start_order(self, machine: str, replica: str, sent_at: float) -> None:
        """Note that an answer sent at this time orders to start a member of the replica."""
        self._views[machine].start_sent_at[replica] = sent_at

    def views_without_heartbeat_since(self, time: float) -> Iterator[AgentView]:
        """Iterate over the machines whose last heartbeat came before the time, oldest first.

        The views are ordered, so that this stops at the first machine with a later heartbeat.
        """
        for view in self._views.values():
            if view.last_heartbeat_at >= time:
                return
            yield view

    def apply_heartbeat(self, heartbeat: AgentHeartbeat, token: int, now: float) -> Freshness:
        """Take over what a heartbeat says about its machine, but not about members.

        It is believed if it returns a proof of this process, made under the owner's fencing token,
        and is the newest of its agent.

        Args:
            heartbeat: The heartbeat.
            token: The fencing token of this owner.
            now: The time of its receipt.

        Returns:
            Whether it was believed; only then the view has changed.
        """
        view = self._views.get(heartbeat.machine)
        if view is None:
            view = AgentView(heartbeat.machine, last_heartbeat_at=now)
            self._views[heartbeat.machine] = view
        if (heartbeat.session, heartbeat.sequence) <= (view.session, view.sequence):
            return Freshness.STALE
        proof = heartbeat.proof
        if proof is None or proof.process != self.process or heartbeat.token != token:
            return Freshness.UNVERIFIED
        view.session, view.sequence = heartbeat.session, heartbeat.sequence
        if view.alive_at is None or proof.sent > view.alive_at:
            self._record_alive(view, proof.sent, now)
        view.address = heartbeat.address
        view.reclaim_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        view.images = frozenset(heartbeat.images)
        return Freshness.NEW

    def _record_alive(self, view: AgentView, alive_at: float, now: float) -> None:
        """Note that the machine was alive when the answer that its heartbeat returns was sent.

        A heartbeat that was long under way shows no more than this.
        """
        view.alive_at = alive_at
        view.last_heartbeat_at = now
        self._views.move_to_end(view.machine)
        view.start_sent_at = {
            replica: at for replica, at in view.start_sent_at.items() if at > alive_at
        }
