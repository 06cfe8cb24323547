"""The status of workers as known to this controller from their heartbeats.

The heartbeat handler creates views, keeps them in memory and drops them. The placement and the
machine maintenance read them.
"""

import logging
from enum import Enum

from ..cluster.model import AttemptId, PlannedAttempt
from ..wire.workers import Command, CommandKind, TaskKey, TaskState, TaskStatus, WorkerHeartbeat

log = logging.getLogger(__name__)

# looked up once: an enum member lookup takes 0.3 us in Python 3.11, here for each reported task
_RUNNING = TaskState.RUNNING
_FORGET = CommandKind.FORGET


class HeartbeatVerdict(Enum):
    """The result of applying a heartbeat to a view."""

    # a late copy, which does not even prove that the worker is alive
    STALE = "stale"
    # the worker is alive, but a response to a direct command has already reported a newer status
    SUPERSEDED = "superseded"
    # the worker has not seen this owner's token yet, so the heartbeat may predate the ownership
    UNCONFIRMED_TOKEN = "unconfirmed token"
    # the newest status, reported under this owner's token
    ACCEPTED = "accepted"


_UNCONFIRMED_TOKEN = HeartbeatVerdict.UNCONFIRMED_TOKEN
_ACCEPTED = HeartbeatVerdict.ACCEPTED


class WorkerView:
    """The newest status of one worker, and bounds on its lease.

    `last_response_at` and `session_seen_at` bound the worker's lease: no controller can have
    responded to the worker later than `last_response_at`, and its session cannot have begun later
    than it was first seen. A status is accepted only if it reports a token of this owner, which
    proves that it was created after the ownership began: from the first token of the ownership to
    the one under which the worker is commanded now.

    A start that was sent directly may arrive late, and a copy of it once more after the worker has
    executed and answered it. The worker refuses it only after it has seen a higher token or has
    begun a later session. So the view keeps the token of the newest such start, answered or not,
    and the worker forgets an attempt only under a higher one.

    All times are monotonic times of this controller's clock, in seconds.

    Attributes:
        machine: The machine's ID.
        machine_token: The machine's own token when this view was created. A different token means
            that the machine was transferred away and has returned, so a new view is needed.
        direct_start_token: The newest token under which a start was sent directly in the worker's
            session; 0 if none was.
        must_refuse_starts: Whether the next response has to make the worker refuse these starts.
        raised_token: The token to which this controller has raised the worker's alone; it is
            irrelevant once the ownership's first token is higher.
        last_response_at: The latest time at which any controller may have responded to the worker.
        has_been_sent_response: Whether this controller itself has responded to the worker.
        session: The worker's newest session (its incarnation).
        session_seen_at: The time at which that session was first seen.
        seq: The sequence number of the newest status within the session.
        last_heartbeat_number: The session and sequence number of the newest heartbeat that reported
            this owner's token; responses to direct commands don't count.
        last_heartbeat_at: The time at which that heartbeat was received; None before the first.
        confirmed_token: The newest token of this owner that the worker has reported; 0 before the
            first.
        early_stops_logged_under: The token of the last log line on stops before a confirmation.
        logged_forgets: The commands to forget attempts in the last response.
        address: The worker's own address, `host:port`.
        termination_at: The time at which the cloud will terminate the machine; None without a spot
            termination notice.
        tasks: The tasks of the newest status by job ID and index.
        running_since: The time at which each running task was first reported as running.
        idle_since: The time since which the machine has had no task, set by the machine
            maintenance; None while it has tasks.
    """

    __slots__ = (
        "_unwanted_since",
        "address",
        "confirmed_token",
        "direct_start_token",
        "early_stops_logged_under",
        "has_been_sent_response",
        "idle_since",
        "last_heartbeat_at",
        "last_heartbeat_number",
        "last_response_at",
        "logged_forgets",
        "machine",
        "machine_token",
        "must_refuse_starts",
        "raised_token",
        "running_since",
        "seq",
        "session",
        "session_seen_at",
        "tasks",
        "termination_at",
    )

    def __init__(self, machine: str, machine_token: int, last_response_at: float) -> None:
        self.machine = machine
        self.machine_token = machine_token
        self.raised_token = 0
        self.direct_start_token = 0
        self.must_refuse_starts = False
        # the newest token under which a start of an attempt may have been sent directly, for the
        # attempts that the worker does not list and that are not to be started any more
        self._unwanted_since: dict[AttemptId, int] = {}
        self.last_response_at = last_response_at
        self.has_been_sent_response = False
        self.session = 0
        self.session_seen_at = 0.0
        self.seq = -1
        self.last_heartbeat_number = (0, -1)
        self.last_heartbeat_at: float | None = None
        self.confirmed_token = 0
        self.early_stops_logged_under = 0
        self.logged_forgets: frozenset[Command] = frozenset()
        self.address = ""
        self.termination_at: float | None = None
        self.tasks: dict[TaskKey, TaskStatus] = {}
        self.running_since: dict[TaskKey, float] = {}
        self.idle_since: float | None = None

    def apply_heartbeat(
        self, heartbeat: WorkerHeartbeat, first_token: int, now: float
    ) -> HeartbeatVerdict:
        """Apply a heartbeat that the worker sent to this controller.

        `first_token` is the first token of the ownership. Responses to direct commands are passed
        to `apply_status` instead: a worker whose heartbeats are lost still responds to commands
        until its lease expires.
        """
        number = (heartbeat.session, heartbeat.seq)
        if number <= self.last_heartbeat_number:
            return HeartbeatVerdict.STALE
        if not self._is_own_token(heartbeat.token, first_token):
            return _UNCONFIRMED_TOKEN
        self.last_heartbeat_number = number
        self.last_heartbeat_at = now
        if self._apply_newer(heartbeat, first_token, now):
            return _ACCEPTED
        return HeartbeatVerdict.SUPERSEDED

    def _is_own_token(self, token: int, first_token: int) -> bool:
        """Return whether this owner has issued the token to the worker."""
        return token == first_token or first_token < token <= self.raised_token

    def apply_status(self, heartbeat: WorkerHeartbeat, first_token: int, now: float) -> bool:
        """Apply a status if it is the newest and reports a token of this owner.

        Returns:
            Whether the status was applied.
        """
        return self._is_own_token(heartbeat.token, first_token) and self._apply_newer(
            heartbeat, first_token, now
        )

    def _apply_newer(self, heartbeat: WorkerHeartbeat, first_token: int, now: float) -> bool:
        """Apply a status with a token of this owner if it is the newest; return whether it is."""
        if (heartbeat.session, heartbeat.seq) <= (self.session, self.seq):
            return False
        if heartbeat.session > self.session:
            self.session_seen_at = now
            self.direct_start_token = 0
            self._unwanted_since.clear()
        self.session = heartbeat.session
        self.seq = heartbeat.seq
        if self.confirmed_token < first_token:
            self._log_confirmation(heartbeat)
        self.confirmed_token = heartbeat.token
        self.address = heartbeat.address
        self.termination_at = None if heartbeat.notice_s is None else now + heartbeat.notice_s
        self._apply_tasks(heartbeat.tasks, now)
        return True

    def command_token(self, first_token: int) -> int:
        """Return the token under which the worker is commanded now.

        `first_token` is the first token of the ownership.
        """
        return self.raised_token if self.raised_token > first_token else first_token

    def record_direct_starts(self, attempts: list[PlannedAttempt], token: int) -> None:
        """Record starts that are about to be sent directly, under the worker's newest token."""
        if attempts:
            self.direct_start_token = token
        for attempt in attempts:
            self._unwanted_since.pop(attempt.id, None)

    @property
    def may_execute_direct_start(self) -> bool:
        """Whether the worker has not reported a token above that of the newest direct start."""
        return 0 < self.direct_start_token >= self.confirmed_token

    def may_start_unwanted(self, attempt: AttemptId) -> bool:
        """Return whether the worker may still execute a direct start of an attempt.

        No start of the attempt may be sent any more. If the worker may still execute one, the next
        response makes it refuse them.
        """
        token = self._unwanted_since.setdefault(attempt, self.direct_start_token)
        if 0 < token >= self.confirmed_token:
            self.must_refuse_starts = True
            return True
        del self._unwanted_since[attempt]
        return False

    def _log_confirmation(self, heartbeat: WorkerHeartbeat) -> None:
        log.info(
            "worker confirmed token machine=%s token=%d session=%d seq=%d",
            self.machine,
            heartbeat.token,
            heartbeat.session,
            heartbeat.seq,
        )

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

    def log_early_stops(self, heartbeat: WorkerHeartbeat, token: int, stops: list[Command]) -> None:
        """Log the stops sent before the worker has confirmed the owner's token, once per token."""
        if stops and self.early_stops_logged_under != token:
            self.early_stops_logged_under = token
            log.info(
                "tasks of ended jobs stopped machine=%s token=%d reported_token=%d tasks=%d "
                "first=%s",
                self.machine,
                token,
                heartbeat.token,
                len(stops),
                stops[0].task,
            )

    def log_forgets(self, token: int, commands: list[Command]) -> None:
        """Log the attempts that the worker is told to forget, unless its last response did too."""
        forgets = frozenset(command for command in commands if command.op is _FORGET)
        new = forgets - self.logged_forgets
        self.logged_forgets = forgets
        if new:
            log.info(
                "attempts forgotten machine=%s token=%d reported_token=%d attempts=%s",
                self.machine,
                token,
                self.confirmed_token,
                ",".join(sorted(f"{command.task}@{command.attempt}" for command in new)),
            )

    @property
    def has_confirmed_token(self) -> bool:
        """Whether the worker has reported a token of this owner."""
        return self.confirmed_token > 0

    @property
    def lease_renewed_at(self) -> float:
        """The latest time at which the worker's lease can have been renewed or begun."""
        return max(self.last_response_at, self.session_seen_at)

    def is_fresh(self, now: float, within_s: float) -> bool:
        """Return whether a heartbeat with this owner's token arrived in the last `within_s`."""
        return (
            self.has_confirmed_token
            and self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at <= within_s
        )
