"""What this incarnation knows of a machine from its reports."""

import logging
from dataclasses import dataclass, field
from enum import Enum

from ..wire.workers import TaskStatus, WorkerHeartbeat

log = logging.getLogger(__name__)


class HeartbeatVerdict(Enum):
    """What a report is worth."""

    STALE = "stale"
    SUPERSEDED = "older"
    UNCONFIRMED_TOKEN = "greeted"
    ACCEPTED = "trusted"


@dataclass(slots=True, eq=False)
class WorkerView:
    """`answered_at` and `session_at` bound the worker's lease: nobody can have answered it
    later, nor can its session have begun later than it was first seen. A report is trusted once
    it carries our own token: only then was it made after we took over.
    """

    machine: str
    answered_at: float
    session: int = 0
    session_at: float = 0.0
    seq: int = -1
    last_beat: tuple[int, int] = (0, -1)
    answered: bool = False
    last_heartbeat_at: float | None = None
    trusted: bool = False
    address: str = ""
    notice_at: float | None = None
    tasks: dict[tuple[str, int], TaskStatus] = field(default_factory=dict)
    running_since: dict[tuple[str, int], float] = field(default_factory=dict)
    errors: set[str] = field(default_factory=set)
    idle_since: float | None = None
    # the machine's own token when this began: another one means that it has come anew
    move: int = 0

    def apply_heartbeat(
        self, heartbeat: WorkerHeartbeat, token: int, now: float
    ) -> HeartbeatVerdict:
        """A report that came to us (answers to direct commands are only taken)."""
        number = (heartbeat.session, heartbeat.seq)
        # a late copy, even of another session, renews no belief in the machine's life
        if number <= self.last_beat:
            return HeartbeatVerdict.STALE
        if heartbeat.token != token:
            # not yet ours: it may be a copy from before we took over, so nothing is believed
            return HeartbeatVerdict.UNCONFIRMED_TOKEN
        self.last_beat = number
        # only reports that come to us count: a worker whose reports go astray answers direct
        # commands, but its lease runs out
        self.last_heartbeat_at = now
        return (
            HeartbeatVerdict.ACCEPTED
            if self.apply_status(heartbeat, token, now)
            else HeartbeatVerdict.SUPERSEDED
        )

    def apply_status(self, heartbeat: WorkerHeartbeat, token: int, now: float) -> bool:
        """Believe a report, if it is the newest and made under our token."""
        if heartbeat.token != token or (heartbeat.session, heartbeat.seq) <= (
            self.session,
            self.seq,
        ):
            return False
        if heartbeat.session > self.session:
            self.session_at = now
        self.session, self.seq = heartbeat.session, heartbeat.seq
        self.trusted = True
        self.address = heartbeat.address
        self.notice_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        old = self.running_since
        for task in heartbeat.tasks:
            if task.state == "running" and (task.job, task.index) not in old:
                log.info(
                    "task running job=%s task=%d attempt=%d machine=%s",
                    task.job,
                    task.index,
                    task.attempt,
                    self.machine,
                )
        self.tasks = {(t.job, t.index): t for t in heartbeat.tasks}
        self.running_since = {
            key: old.get(key, now) for key, t in self.tasks.items() if t.state == "running"
        }
        return True

    @property
    def lease_renewed_at(self) -> float:
        """The worker's lease counts from no later than this, as far as we answer it."""
        return max(self.answered_at, self.session_at)

    def is_fresh(self, now: float, within_s: float) -> bool:
        """Whether a believed report came within this time."""
        return (
            self.trusted
            and self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at <= within_s
        )
