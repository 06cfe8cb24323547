"""Classification of tasks and machines by their stored state and the heartbeats.

The functions are pure and accept any combination of arguments. Each task that is stored or reported
by a worker has exactly one class, and so has each machine that is stored, listed by the cloud or
reporting. Each class has one rule (docs/recovery.md has the table). The heartbeat handler derives
the commands themselves; the rules only define which evidence a command needs and how soon it may
be sent.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple


class JobStatus(StrEnum):
    """The status of a task's job in the stored state."""

    ACTIVE = "active"
    # the job is done or cancelled
    ENDED = "ended"
    # the job's record is missing
    UNKNOWN = "unknown"


class WorkerLiveness(StrEnum):
    """The known liveness of a worker."""

    # the worker recently sent a heartbeat with this owner's token
    REPORTING = "reporting"
    # no recent heartbeat; the worker may be alive but unreachable, or in contact with another
    # controller
    UNRESPONSIVE = "unresponsive"
    # the worker's lease is proven to have expired
    LEASE_EXPIRED = "lease expired"


class StoredAttempt(NamedTuple):
    """An attempt that a durable plan contains, for the machine in question or for another one."""

    attempt: int
    session: int
    is_on_this_machine: bool


class ReportedAttempt(NamedTuple):
    """An attempt in a worker's heartbeat."""

    attempt: int
    has_exited: bool


class TaskClass(StrEnum):
    """The class of one task on one machine; the values are stored in records and digests."""

    # stored, and reported as running with the same attempt in the same session
    HEALTHY = "healthy"
    # stored, and reported to have exited
    EXITED = "exited"
    # still running although its job is done or cancelled
    JOB_ENDED = "job-over"
    # stored, but not reported by a worker in the same session
    ABSENT = "absent"
    # absent, and its job has ended, so it is not to be started any more
    NOT_STARTED = "not-started"
    # stored for an earlier session of the worker
    SESSION_ENDED = "session-over"
    # stored, and its worker is unresponsive
    UNRESPONSIVE = "silent"
    # stored, and its worker's lease is proven to have expired
    LEASE_EXPIRED = "lease-over"
    # reported as running, and the stored state has no attempt of the task
    NEVER_STORED = "never-stored"
    # reported as running with an attempt lower than the stored one
    SUPERSEDED = "superseded"
    # reported as running and not superseded, but the stored attempt is lower, or is for another
    # machine or session: the stored plan may be outdated
    OTHER_ATTEMPT = "other-attempt"
    # reported to have exited, and not planned: its outcome is already durable
    EXITED_UNPLANNED = "left-over"
    # stored, but its job has no record
    JOB_UNKNOWN = "job-unknown"
    # neither stored for this machine nor reported by it
    NOT_PRESENT = "nothing"


class MachineClass(StrEnum):
    """The class of one machine; the values are stored in records."""

    # stored, listed by the cloud and reporting
    HEALTHY = "healthy"
    # stored and not reporting, whether listed or not
    UNRESPONSIVE = "silent"
    # stored and reporting, but not listed: the cloud's list is outdated
    UNLISTED = "unlisted"
    # listed or reported, and not stored
    UNKNOWN = "unknown"
    # marked for release to the cloud
    RETIRING = "retiring"


class RecoveryAction(StrEnum):
    """The action that resolves a difference."""

    NONE = "none"
    WAIT = "wait"
    START = "start"
    STOP = "stop"
    FORGET = "forget"
    # the attempt's end is written; the scheduler places the task again if necessary
    RECORD_END = "record end"
    # the machine is marked for release to the cloud
    RETIRE = "retire"
    # the machine's record is written
    ADOPT = "adopt"
    # the machine is released to the cloud
    RELEASE = "release"


class ActionEvidence(StrEnum):
    """The evidence that an action requires."""

    NONE = "none"
    # a heartbeat of the worker with this owner's token
    HEARTBEAT = "heartbeat"
    # a read of the state service that was sent after the heartbeat arrived
    FRESH_READ = "fresh read"
    # a durable record that the job or attempt has ended
    DURABLE_END = "durable end"
    # no controller has responded to the worker for the duration of its lease
    LEASE_EXPIRY = "lease expiry"
    # the cloud's list of machines
    CLOUD_LIST = "cloud list"


class Urgency(IntEnum):
    """The order in which differences are resolved, lowest value first."""

    # exempt from the rate limits and the circuit breaker: cancellations have a deadline, and two
    # attempts of a task must not run at the same time
    IMMEDIATE = 0
    RESTORE = 1
    CLEAN_UP = 2


class Rule(NamedTuple):
    """The action for a class, with the evidence it requires and its urgency.

    With `counts_toward_breaker` the circuit breaker counts the action: applied to many tasks or
    machines, it is a mass action.
    """

    action: RecoveryAction
    evidence: ActionEvidence
    urgency: Urgency
    counts_toward_breaker: bool = False


TASK_RULES: dict[TaskClass, Rule] = {
    TaskClass.HEALTHY: Rule(RecoveryAction.NONE, ActionEvidence.HEARTBEAT, Urgency.CLEAN_UP),
    TaskClass.EXITED: Rule(RecoveryAction.RECORD_END, ActionEvidence.HEARTBEAT, Urgency.RESTORE),
    TaskClass.JOB_ENDED: Rule(RecoveryAction.STOP, ActionEvidence.DURABLE_END, Urgency.IMMEDIATE),
    TaskClass.ABSENT: Rule(
        RecoveryAction.START, ActionEvidence.HEARTBEAT, Urgency.RESTORE, counts_toward_breaker=True
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
        RecoveryAction.STOP, ActionEvidence.FRESH_READ, Urgency.CLEAN_UP, counts_toward_breaker=True
    ),
    TaskClass.SUPERSEDED: Rule(RecoveryAction.STOP, ActionEvidence.DURABLE_END, Urgency.IMMEDIATE),
    TaskClass.OTHER_ATTEMPT: Rule(
        RecoveryAction.STOP, ActionEvidence.FRESH_READ, Urgency.CLEAN_UP, counts_toward_breaker=True
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
        RecoveryAction.RETIRE,
        ActionEvidence.LEASE_EXPIRY,
        Urgency.CLEAN_UP,
        counts_toward_breaker=True,
    ),
    MachineClass.UNLISTED: Rule(RecoveryAction.NONE, ActionEvidence.HEARTBEAT, Urgency.CLEAN_UP),
    MachineClass.UNKNOWN: Rule(RecoveryAction.ADOPT, ActionEvidence.CLOUD_LIST, Urgency.RESTORE),
    MachineClass.RETIRING: Rule(
        RecoveryAction.RELEASE, ActionEvidence.DURABLE_END, Urgency.CLEAN_UP
    ),
}


def classify_task(
    job: JobStatus,
    liveness: WorkerLiveness,
    session: int,
    stored: StoredAttempt | None,
    reported: ReportedAttempt | None,
) -> TaskClass:
    """Return the class of a task on a machine.

    Args:
        job: the status of the task's job
        liveness: the liveness of the machine's worker
        session: the worker's newest session
        stored: the attempt that a durable plan contains, for this machine or for another one
        reported: the attempt in the worker's newest heartbeat; None if the heartbeat does not
            contain the task or none has arrived
    """
    if liveness is not WorkerLiveness.REPORTING:
        return _classify_without_heartbeat(liveness, stored)
    if reported is None:
        return _classify_not_reported(job, session, stored)
    is_planned = _is_planned(session, stored, reported)
    if reported.has_exited:
        return TaskClass.EXITED if is_planned else TaskClass.EXITED_UNPLANNED
    if is_planned:
        return _CLASS_OF_RUNNING_PLANNED[job]
    return _classify_running_unplanned(job, stored, reported)


def _is_planned(session: int, stored: StoredAttempt | None, reported: ReportedAttempt) -> bool:
    """Return whether exactly the reported attempt is planned for this machine and session."""
    if stored is None or not stored.is_on_this_machine:
        return False
    return (stored.attempt, stored.session) == (reported.attempt, session)


# A plan whose job has no record is not changed: the job's status is not known.
_CLASS_OF_RUNNING_PLANNED = {
    JobStatus.ACTIVE: TaskClass.HEALTHY,
    JobStatus.ENDED: TaskClass.JOB_ENDED,
    JobStatus.UNKNOWN: TaskClass.JOB_UNKNOWN,
}


def _classify_without_heartbeat(
    liveness: WorkerLiveness, stored: StoredAttempt | None
) -> TaskClass:
    if stored is None or not stored.is_on_this_machine:
        return TaskClass.NOT_PRESENT
    return (
        TaskClass.UNRESPONSIVE
        if liveness is WorkerLiveness.UNRESPONSIVE
        else TaskClass.LEASE_EXPIRED
    )


def _classify_not_reported(job: JobStatus, session: int, stored: StoredAttempt | None) -> TaskClass:
    if stored is None or not stored.is_on_this_machine or stored.session > session:
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
    is_stored: bool, is_in_cloud_list: bool | None, is_retiring: bool, liveness: WorkerLiveness
) -> MachineClass:
    """Return the class of a machine.

    Args:
        is_stored: whether the machine has a record
        is_in_cloud_list: whether the cloud's newest list contains the machine; None if no list is
            available, since only the leader reads it
        is_retiring: whether the machine is marked for release to the cloud
        liveness: the liveness of the machine's worker
    """
    if not is_stored:
        return MachineClass.UNKNOWN
    if is_retiring:
        return MachineClass.RETIRING
    if liveness is not WorkerLiveness.REPORTING:
        return MachineClass.UNRESPONSIVE
    return MachineClass.UNLISTED if is_in_cloud_list is False else MachineClass.HEALTHY
