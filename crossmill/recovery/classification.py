"""Classifies the differences between stored state and heartbeats.

The functions are pure and defined for all input. Each task that is stored or reported, and each
machine that is stored, listed or reported, has
exactly one class; a class has one rule (docs/recovery.md has the table). The commands themselves
are derived by the heartbeat handler; the rules only say on what evidence and how soon they may be
sent.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple


class JobStatus(StrEnum):
    """What the stored state says about a task's job."""

    ACTIVE = "active"
    # done or cancelled
    ENDED = "ended"
    # the job's record is missing
    UNKNOWN = "unknown"


class WorkerContact(StrEnum):
    """What is known about a worker's liveness."""

    # it sent a heartbeat with this owner's token recently
    REPORTING = "reporting"
    # no recent heartbeat; it may be alive, unreachable, or answered by another controller
    UNRESPONSIVE = "unresponsive"
    # its lease is proven to have expired
    LEASE_EXPIRED = "lease expired"


class StoredAttempt(NamedTuple):
    """An attempt that a durable plan contains; `is_here` if it is planned onto this machine."""

    attempt: int
    session: int
    is_here: bool


class ReportedAttempt(NamedTuple):
    """An attempt in a worker's heartbeat."""

    attempt: int
    has_exited: bool


class TaskClass(StrEnum):
    """The class of one task on one machine; the values are stored in records and digests."""

    # stored and reported alike
    HEALTHY = "healthy"
    # stored, and reported to have exited
    EXITED = "exited"
    # its job is done or cancelled, and the task still runs
    JOB_ENDED = "job-over"
    # stored, but not reported by a worker in the same session
    ABSENT = "absent"
    # absent, and its job has ended: it can't start any more
    NOT_STARTED = "not-started"
    # stored for an earlier session of the worker
    SESSION_ENDED = "session-over"
    # stored, and its worker is unresponsive
    UNRESPONSIVE = "silent"
    # stored, and its worker's lease is proven to have expired
    LEASE_EXPIRED = "lease-over"
    # reported, and the stored state has no attempt of the task
    NEVER_STORED = "never-stored"
    # reported with an attempt lower than the stored one
    SUPERSEDED = "superseded"
    # reported with a higher attempt than the stored one, or stored for another machine: the stored
    # plan may be outdated
    OTHER_ATTEMPT = "other-attempt"
    # reported to have exited, and not stored: its outcome is durable
    EXITED_UNPLANNED = "left-over"
    # stored without a record of its job
    JOB_UNKNOWN = "job-unknown"
    # neither stored for this machine nor reported by it
    NOT_PRESENT = "nothing"


class MachineClass(StrEnum):
    """The class of one machine; the values are stored in records."""

    # stored, listed by the cloud and reporting
    HEALTHY = "healthy"
    # stored and not reporting, whether listed or not
    UNRESPONSIVE = "silent"
    # stored and reporting, but not listed: the list is behind
    UNLISTED = "unlisted"
    # listed or reported, and not stored
    UNKNOWN = "unknown"
    # marked for return to the cloud
    RETIRING = "retiring"


class RecoveryAction(StrEnum):
    """What is done about a difference."""

    NONE = "none"
    WAIT = "wait"
    START = "start"
    STOP = "stop"
    FORGET = "forget"
    # the attempt's end is written; the scheduler places the task again if it has to
    RECORD_END = "record end"
    # the machine is marked for return to the cloud
    RETIRE = "retire"
    # the machine's record is written
    ADOPT = "adopt"
    # the machine is returned to the cloud
    RELEASE = "release"


class ActionEvidence(StrEnum):
    """The evidence that has to exist before an action is taken."""

    NONE = "none"
    # the worker's own heartbeat, with this owner's token
    HEARTBEAT = "heartbeat"
    # a read of the state service that was sent after the heartbeat arrived
    FRESH_READ = "fresh read"
    # a durable record that the job or attempt has ended
    DURABLE_END = "durable end"
    # no controller has answered the worker for the length of its lease
    LEASE_EXPIRY = "lease expiry"
    # the cloud's list of machines
    CLOUD_LIST = "cloud list"


class Urgency(IntEnum):
    """The order in which differences are resolved; the lowest first."""

    # exempt from rate limits and circuit breaker: cancellations have a deadline, and no two
    # attempts of a task may run
    FENCE = 0
    RESTORE = 1
    CLEAN_UP = 2


class Rule(NamedTuple):
    """What is done about a class, on what evidence, and how soon.

    `needs_breaker` if the circuit breaker counts it: done to many at once it is a mass action.
    """

    action: RecoveryAction
    evidence: ActionEvidence
    urgency: Urgency
    needs_breaker: bool = False


TASK_RULES: dict[TaskClass, Rule] = {
    TaskClass.HEALTHY: Rule(RecoveryAction.NONE, ActionEvidence.HEARTBEAT, Urgency.CLEAN_UP),
    TaskClass.EXITED: Rule(RecoveryAction.RECORD_END, ActionEvidence.HEARTBEAT, Urgency.RESTORE),
    TaskClass.JOB_ENDED: Rule(RecoveryAction.STOP, ActionEvidence.DURABLE_END, Urgency.FENCE),
    TaskClass.ABSENT: Rule(
        RecoveryAction.START, ActionEvidence.HEARTBEAT, Urgency.RESTORE, needs_breaker=True
    ),
    TaskClass.NOT_STARTED: Rule(
        RecoveryAction.RECORD_END, ActionEvidence.HEARTBEAT, Urgency.RESTORE
    ),
    TaskClass.SESSION_ENDED: Rule(
        RecoveryAction.RECORD_END, ActionEvidence.HEARTBEAT, Urgency.RESTORE
    ),
    TaskClass.UNRESPONSIVE: Rule(RecoveryAction.WAIT, ActionEvidence.NONE, Urgency.CLEAN_UP),
    TaskClass.LEASE_EXPIRED: Rule(
        RecoveryAction.RECORD_END, ActionEvidence.LEASE_EXPIRY, Urgency.RESTORE
    ),
    TaskClass.NEVER_STORED: Rule(
        RecoveryAction.STOP, ActionEvidence.FRESH_READ, Urgency.CLEAN_UP, needs_breaker=True
    ),
    TaskClass.SUPERSEDED: Rule(RecoveryAction.STOP, ActionEvidence.DURABLE_END, Urgency.FENCE),
    TaskClass.OTHER_ATTEMPT: Rule(
        RecoveryAction.STOP, ActionEvidence.FRESH_READ, Urgency.CLEAN_UP, needs_breaker=True
    ),
    TaskClass.EXITED_UNPLANNED: Rule(
        RecoveryAction.FORGET, ActionEvidence.DURABLE_END, Urgency.CLEAN_UP
    ),
    TaskClass.JOB_UNKNOWN: Rule(RecoveryAction.WAIT, ActionEvidence.NONE, Urgency.CLEAN_UP),
    TaskClass.NOT_PRESENT: Rule(RecoveryAction.NONE, ActionEvidence.NONE, Urgency.CLEAN_UP),
}

MACHINE_RULES: dict[MachineClass, Rule] = {
    MachineClass.HEALTHY: Rule(RecoveryAction.NONE, ActionEvidence.HEARTBEAT, Urgency.CLEAN_UP),
    MachineClass.UNRESPONSIVE: Rule(
        RecoveryAction.RETIRE, ActionEvidence.LEASE_EXPIRY, Urgency.CLEAN_UP, needs_breaker=True
    ),
    MachineClass.UNLISTED: Rule(RecoveryAction.NONE, ActionEvidence.HEARTBEAT, Urgency.CLEAN_UP),
    MachineClass.UNKNOWN: Rule(RecoveryAction.ADOPT, ActionEvidence.CLOUD_LIST, Urgency.RESTORE),
    MachineClass.RETIRING: Rule(
        RecoveryAction.RELEASE, ActionEvidence.DURABLE_END, Urgency.CLEAN_UP
    ),
}


def classify_task(
    job: JobStatus,
    contact: WorkerContact,
    session: int,
    stored: StoredAttempt | None,
    reported: ReportedAttempt | None,
) -> TaskClass:
    """Returns the class of a task on a machine.

    Args:
        job: the status of the task's job
        contact: the liveness of the machine's worker
        session: the worker's newest session
        stored: the attempt that a durable plan contains, for this machine or for another
        reported: the attempt in the worker's newest heartbeat; None if the task is not in it or
            no heartbeat has arrived
    """
    if contact is not WorkerContact.REPORTING:
        return _classify_without_heartbeat(contact, stored)
    if reported is None:
        return _classify_not_reported(job, session, stored)
    is_planned = _is_planned(session, stored, reported)
    if reported.has_exited:
        return TaskClass.EXITED if is_planned else TaskClass.EXITED_UNPLANNED
    if is_planned:
        return _CLASS_OF_RUNNING_PLANNED[job]
    return _classify_running_unplanned(job, stored, reported)


def _is_planned(session: int, stored: StoredAttempt | None, reported: ReportedAttempt) -> bool:
    """Whether the reported attempt is the very one that is planned onto this machine."""
    if stored is None or not stored.is_here:
        return False
    return (stored.attempt, stored.session) == (reported.attempt, session)


# A plan without its job's record is not changed: nothing says what should happen to its tasks.
_CLASS_OF_RUNNING_PLANNED = {
    JobStatus.ACTIVE: TaskClass.HEALTHY,
    JobStatus.ENDED: TaskClass.JOB_ENDED,
    JobStatus.UNKNOWN: TaskClass.JOB_UNKNOWN,
}


def _classify_without_heartbeat(contact: WorkerContact, stored: StoredAttempt | None) -> TaskClass:
    if stored is None or not stored.is_here:
        return TaskClass.NOT_PRESENT
    return (
        TaskClass.UNRESPONSIVE if contact is WorkerContact.UNRESPONSIVE else TaskClass.LEASE_EXPIRED
    )


def _classify_not_reported(job: JobStatus, session: int, stored: StoredAttempt | None) -> TaskClass:
    if stored is None or not stored.is_here or stored.session > session:
        return TaskClass.NOT_PRESENT
    if stored.session < session:
        return TaskClass.SESSION_ENDED
    if job is JobStatus.UNKNOWN:
        return TaskClass.JOB_UNKNOWN
    return TaskClass.ABSENT if job is JobStatus.ACTIVE else TaskClass.NOT_STARTED


def _classify_running_unplanned(
    job: JobStatus, stored: StoredAttempt | None, reported: ReportedAttempt
) -> TaskClass:
    if job is JobStatus.ENDED:
        return TaskClass.JOB_ENDED
    if stored is None:
        return TaskClass.NEVER_STORED
    if reported.attempt < stored.attempt:
        return TaskClass.SUPERSEDED
    return TaskClass.OTHER_ATTEMPT


def classify_machine(
    is_stored: bool, is_listed: bool | None, is_retiring: bool, contact: WorkerContact
) -> MachineClass:
    """Returns the class of a machine.

    Args:
        is_stored: whether the machine has a record
        is_listed: whether the cloud's newest list contains it; None where no list is available,
            since only the leader reads it
        is_retiring: whether the machine is marked for return
        contact: the liveness of the machine's worker
    """
    if not is_stored:
        return MachineClass.UNKNOWN
    if is_retiring:
        return MachineClass.RETIRING
    if contact is not WorkerContact.REPORTING:
        return MachineClass.UNRESPONSIVE
    return MachineClass.UNLISTED if is_listed is False else MachineClass.HEALTHY
