"""What this controller knows of a worker from the heartbeats that it received.

A view is held in memory by the heartbeat handler, which creates and drops it; the planning and the
maintenance of machines read it.
"""

import logging
from enum import Enum

from ..wire.workers import TaskKey, TaskState, TaskStatus, WorkerHeartbeat

log = logging.getLogger(__name__)

# bound once: looking up an enum's member takes 0.3 us in Python 3.11, here for each task reported
_RUNNING = TaskState.RUNNING


class HeartbeatVerdict(Enum):
    """What the handler may conclude from a heartbeat."""

    # a late copy: it shows nothing, not even that the worker lives
    STALE = "stale"
    # the worker lives, but a response to a direct command has already told a newer status
    SUPERSEDED = "superseded"
    # the worker has not yet seen this owner's token: the heartbeat may predate the ownership
    UNCONFIRMED_TOKEN = "unconfirmed token"
    # the newest status, reported under this owner's token
    ACCEPTED = "accepted"


class WorkerView:
    """The newest status of one worker, and bounds on its lease.

    `answered_at` and `session_seen_at` bound the worker's lease: nobody can have answered it
    later, and its session cannot have begun later than it was first seen. A status counts only
    once the worker reports this owner's token: only then was it made after the ownership began.
    All times are steady times of this controller's clock, in seconds.

    Attributes:
        machine: The machine's id.
        machine_token: The machine's own token when this view began. Another token means that
            the machine was transferred away and came back, so that the view must begin anew.
        answered_at: The latest time at which the worker may have been answered.
        has_been_answered: Whether this controller has answered the worker itself.
        session: The worker's newest session (its incarnation).
        session_seen_at: When that session was first seen.
        seq: The sequence number of the newest status within the session.
        last_heartbeat_number: Session and sequence number of the newest heartbeat; responses to
            direct commands don't count.
        last_heartbeat_at: When that heartbeat came; None before the first.
        has_confirmed_token: Whether the worker has reported this owner's token.
        address: The worker's own address, `host:port`.
        termination_at: When the cloud will terminate the machine; None without a spot notice.
        tasks: The tasks of the newest status.
        running_since: When each running task was first seen to run.
        idle_since: Since when the machine has had no task, as the maintenance sees it.
    """

    __slots__ = (
        "address",
        "answered_at",
        "has_been_answered",
        "has_confirmed_token",
        "idle_since",
        "last_heartbeat_at",
        "last_heartbeat_number",
        "machine",
        "machine_token",
        "running_since",
        "seq",
        "session",
        "session_seen_at",
        "tasks",
        "termination_at",
    )

    def __init__(self, machine: str, machine_token: int, answered_at: float) -> None:
        self.machine = machine
        self.machine_token = machine_token
        self.answered_at = answered_at
        self.has_been_answered = False
        self.session = 0
        self.session_seen_at = 0.0
        self.seq = -1
        self.last_heartbeat_number = (0, -1)
        self.last_heartbeat_at: float | None = None
        self.has_confirmed_token = False
        self.address = ""
        self.termination_at: float | None = None
        self.tasks: dict[TaskKey, TaskStatus] = {}
        self.running_since: dict[TaskKey, float] = {}
        self.idle_since: float | None = None

    def apply_heartbeat(
        self, heartbeat: WorkerHeartbeat, token: int, now: float
    ) -> HeartbeatVerdict:
        """Takes in a heartbeat that the worker sent to this controller.

        `token` is the token under which this controller commands the machine. A response to a
        direct command goes to `apply_status` instead: a worker whose heartbeats are lost still
        answers commands while its lease runs out.
        """
        number = (heartbeat.session, heartbeat.seq)
        if number <= self.last_heartbeat_number:
            return HeartbeatVerdict.STALE
        if heartbeat.token != token:
            return HeartbeatVerdict.UNCONFIRMED_TOKEN
        self.last_heartbeat_number = number
        self.last_heartbeat_at = now
        if self.apply_status(heartbeat, token, now):
            return HeartbeatVerdict.ACCEPTED
        return HeartbeatVerdict.SUPERSEDED

    def apply_status(self, heartbeat: WorkerHeartbeat, token: int, now: float) -> bool:
        """Takes over a status if it is the newest and was made under `token`.

        Returns:
            Whether the status was taken over.
        """
        if heartbeat.token != token:
            return False
        if (heartbeat.session, heartbeat.seq) <= (self.session, self.seq):
            return False
        if heartbeat.session > self.session:
            self.session_seen_at = now
        self.session = heartbeat.session
        self.seq = heartbeat.seq
        self.has_confirmed_token = True
        self.address = heartbeat.address
        self.termination_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        self._apply_tasks(heartbeat.tasks, now)
        return True

    def _apply_tasks(self, tasks: list[TaskStatus], now: float) -> None:
        running_before = self.running_since
        for task in tasks:
            if task.state is _RUNNING and (task.job, task.index) not in running_before:
                log.info(
                    "task running job=%s task=%d attempt=%d machine=%s",
                    task.job,
                    task.index,
                    task.attempt,
                    self.machine,
                )
        self.tasks = {(task.job, task.index): task for task in tasks}
        self.running_since = {
            key: running_before.get(key, now)
            for key, task in self.tasks.items()
            if task.state is _RUNNING
        }

    @property
    def lease_renewed_at(self) -> float:
        """The latest time from which the worker's lease can count, as far as is known here."""
        return max(self.answered_at, self.session_seen_at)

    def is_fresh(self, now: float, within_s: float) -> bool:
        """Tells whether a heartbeat under this owner's token came in the last `within_s`."""
        return (
            self.has_confirmed_token
            and self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at <= within_s
        )
