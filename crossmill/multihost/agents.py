"""The pool owner's view of each machine, built from the heartbeats of its agent.

The heartbeat handler applies heartbeats to the views; the reconcilers and the scheduler read them.
The views are dropped when the ownership of the pool ends: the next owner accepts reports only from
agents that have received one of its own responses.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from ..wire.multihost import AgentHeartbeat, MemberReport


class Freshness(Enum):
    """The result of checking a heartbeat's order and its proof of liveness."""

    # a late duplicate of an earlier heartbeat, or one that arrived after a newer one
    STALE = "stale"
    # sent before the agent received a response of this owner: its contents are ignored
    UNVERIFIED = "unverified"
    NEW = "new"


@dataclass(slots=True, eq=False)
class AgentView:
    """A machine according to its newest verified heartbeat; times are of the monotonic clock."""

    machine: str
    last_heartbeat_at: float = 0.0
    # the latest time at which the machine is proved to have been alive: the sending time of the
    # response that its heartbeat returns
    alive_at: float | None = None
    session: int = 0
    sequence: int = -1
    address: str = ""
    # the time at which the cloud reclaims the machine; None without a notice
    reclaim_at: float | None = None
    images: frozenset[str] = frozenset()
    members: dict[str, MemberReport] = field(default_factory=dict)
    # the sending times of start orders, by replica. The agent may still carry an order out until a
    # heartbeat returns the proof of the response that contains it, or of a later one
    start_sent_at: dict[str, float] = field(default_factory=dict)
    # the number of reports in the newest heartbeat that contradict the plan or one another
    rejected_reports: int = 0

    def runs_no_member_of(self, replica: str) -> bool:
        """Return whether the agent neither runs a member of the replica nor can still start one.

        It can start one as long as it may still carry out an order to do so. Nothing is known about
        an agent that is not verified.
        """
        if replica in self.members or self.alive_at is None:
            return False
        return self.alive_at >= self.start_sent_at.get(replica, self.alive_at)

    @property
    def is_idle(self) -> bool:
        """Whether the agent is verified, runs no member and has no pending start order."""
        return self.is_verified and not self.members and not self.start_sent_at

    @property
    def is_verified(self) -> bool:
        """Whether the agent has returned a proof of liveness made under the current ownership."""
        return self.alive_at is not None


class Agents:
    """The views of all machines, ordered by their last heartbeat, oldest first."""

    def __init__(self, process: str) -> None:
        # the name of this process in the proofs of liveness that agents return
        self.process = process
        self._views: OrderedDict[str, AgentView] = OrderedDict()

    def __len__(self) -> int:
        return len(self._views)

    def get(self, machine: str) -> AgentView | None:
        """Return the machine's view; None if no heartbeat has been received from it."""
        return self._views.get(machine)

    def view(self, machine: str) -> AgentView:
        """Return the view of a machine from which a heartbeat has been received.

        Raises:
            KeyError: No heartbeat has been received from the machine.
        """
        return self._views[machine]

    def clear(self) -> None:
        """Drop all views when the ownership of the pool ends."""
        self._views.clear()

    def forget(self, machine: str) -> None:
        """Drop the view of a machine that has left the pool."""
        self._views.pop(machine, None)

    def record_start_order(self, machine: str, replica: str, sent_at: float) -> None:
        """Record the sending time of an order to start a member of the replica."""
        self._views[machine].start_sent_at[replica] = sent_at

    def views_without_heartbeat_since(self, time: float) -> Iterator[AgentView]:
        """Iterate over the machines without a heartbeat since the given time, oldest first.

        The views are ordered, so that the iteration stops at the first later heartbeat.
        """
        for view in self._views.values():
            if view.last_heartbeat_at >= time:
                return
            yield view

    def apply_heartbeat(self, heartbeat: AgentHeartbeat, token: int, now: float) -> Freshness:
        """Update a machine's view from a heartbeat, except for the reports about members.

        A heartbeat is accepted if it is the newest of its agent and returns a proof that this
        process made under the owner's fencing token.

        Args:
            heartbeat: The heartbeat.
            token: The fencing token of this owner.
            now: The time at which the heartbeat was received.

        Returns:
            NEW if the heartbeat was accepted. Otherwise an existing view has not changed.
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
        """Record that the machine was alive when the response that its heartbeat returns was sent.

        A heartbeat that was delayed on the network proves nothing about a later time.
        """
        view.alive_at = alive_at
        view.last_heartbeat_at = now
        self._views.move_to_end(view.machine)
        view.start_sent_at = {
            replica: at for replica, at in view.start_sent_at.items() if at > alive_at
        }
