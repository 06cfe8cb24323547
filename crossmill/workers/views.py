"""What this incarnation knows of a machine from its reports."""

import logging
from dataclasses import dataclass, field
from enum import Enum

from ..wire.workers import Report, TaskReport

log = logging.getLogger(__name__)


class Verdict(Enum):
    """What a report is worth."""

    STALE = "stale"
    OLDER = "older"
    GREETED = "greeted"
    TRUSTED = "trusted"


@dataclass(slots=True, eq=False)
class View:
    """`answered_at` and `session_at` bound the worker's lease: nobody can have answered it
    later, nor can its session have begun later than it was first seen. A report is trusted once
    it carries our own token: only then was it made after we took over."""

    machine: str
    answered_at: float
    session: int = 0
    session_at: float = 0.0
    seq: int = -1
    last_beat: tuple[int, int] = (0, -1)
    answered: bool = False
    heard_at: float | None = None
    trusted: bool = False
    address: str = ""
    notice_at: float | None = None
    tasks: dict[tuple[str, int], TaskReport] = field(default_factory=dict)
    running_since: dict[tuple[str, int], float] = field(default_factory=dict)
    errors: set[str] = field(default_factory=set)
    idle_since: float | None = None
    # the machine's own token when this began: another one means that it has come anew
    move: int = 0

    def beat(self, report: Report, token: int, now: float) -> Verdict:
        """A report that came to us (answers to direct commands are only taken)."""
        number = (report.session, report.seq)
        # a late copy, even of another session, renews no belief in the machine's life
        if number <= self.last_beat:
            return Verdict.STALE
        if report.token != token:
            # not yet ours: it may be a copy from before we took over, so nothing is believed
            return Verdict.GREETED
        self.last_beat = number
        # only reports that come to us count: a worker whose reports go astray answers direct
        # commands, but its lease runs out
        self.heard_at = now
        return Verdict.TRUSTED if self.take(report, token, now) else Verdict.OLDER

    def take(self, report: Report, token: int, now: float) -> bool:
        """Believe a report, if it is the newest and made under our token."""
        if report.token != token or (report.session, report.seq) <= (self.session, self.seq):
            return False
        if report.session > self.session:
            self.session_at = now
        self.session, self.seq = report.session, report.seq
        self.trusted = True
        self.address = report.address
        self.notice_at = None if report.notice_s is None else now + report.notice_s
        old = self.running_since
        for task in report.tasks:
            if task.state == "running" and (task.job, task.index) not in old:
                log.info(
                    "task running job=%s task=%d attempt=%d machine=%s",
                    task.job,
                    task.index,
                    task.attempt,
                    self.machine,
                )
        self.tasks = {(t.job, t.index): t for t in report.tasks}
        self.running_since = {
            key: old.get(key, now) for key, t in self.tasks.items() if t.state == "running"
        }
        return True

    @property
    def lease_from(self) -> float:
        """The worker's lease counts from no later than this, as far as we answer it."""
        return max(self.answered_at, self.session_at)

    def fresh(self, now: float, within_s: float) -> bool:
        """Whether a believed report came within this time."""
        return self.trusted and self.heard_at is not None and now - self.heard_at <= within_s
