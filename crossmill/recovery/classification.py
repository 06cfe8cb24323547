"""What a difference between stored state and reports means: pure, and total.

Each task that is stored or reported, and each machine that is stored, listed or reported, has
exactly one class; a class has one rule (docs/recovery.md has the table). What is ordered for a
class is worked out by `workers/reports.py` as ever; the rules say what it takes, and how urgent
it is.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple


class JobStanding(StrEnum):
    """What the stored state says of a task's job."""

    ACTIVE = "active"
    # done or cancelled
    OVER = "over"
    # no record of it is at hand
    UNKNOWN = "unknown"


class Contact(StrEnum):
    """What is known of a worker."""

    # a report under this owner's token has come, and not long ago
    HEARD = "heard"
    # it may be alive, out of reach, or answered by a deputy
    SILENT = "silent"
    # its lease is proven to have ended
    ENDED = "ended"


class StoredAttempt(NamedTuple):
    """An attempt that a durable plan holds; `here` if on this machine."""

    attempt: int
    session: int
    here: bool


class ReportedAttempt(NamedTuple):
    """An attempt that a worker reports."""

    attempt: int
    exited: bool


class TaskClass(StrEnum):
    """What one task on one machine is."""

    # stored and reported alike
    HEALTHY = "healthy"
    # stored, and reported to have exited
    EXITED = "exited"
    # its job is done or cancelled, and it is still there
    JOB_OVER = "job-over"
    # stored, and not reported by a worker in the same session
    ABSENT = "absent"
    # the same, but its job is over: it can't begin any more
    NOT_STARTED = "not-started"
    # stored for an earlier session of the worker
    SESSION_OVER = "session-over"
    # stored, its worker is silent
    SILENT = "silent"
    # stored, its worker's lease is proven to have ended
    LEASE_OVER = "lease-over"
    # reported, and the stored state holds no attempt of the task
    NEVER_STORED = "never-stored"
    # reported with an attempt lower than the stored one
    SUPERSEDED = "superseded"
    # reported with an attempt higher than the stored one, or stored elsewhere: what is stored may
    # be old
    OTHER_ATTEMPT = "other-attempt"
    # reported to have exited, and not stored: its outcome is durable
    LEFT_OVER = "left-over"
    # stored without a record of its job
    JOB_UNKNOWN = "job-unknown"
    # not there, and not to be there
    NOTHING = "nothing"


class MachineClass(StrEnum):
    """What one machine is."""

    # stored, listed and heard
    HEALTHY = "healthy"
    # stored and not heard, whatever the list says
    SILENT = "silent"
    # stored and heard, but not listed: the list lags
    UNLISTED = "unlisted"
    # listed or reported, and not stored
    UNKNOWN = "unknown"
    # marked to be returned
    RETIRING = "retiring"


class Action(StrEnum):
    """What is done about a difference."""

    NONE = "none"
    WAIT = "wait"
    START = "start"
    STOP = "stop"
    FORGET = "forget"
    # its end is written; what waits is placed anew by the ordinary path
    CONCLUDE = "conclude"
    GIVE_UP = "give-up"
    ADOPT = "adopt"
    RELEASE = "release"


class Proof(StrEnum):
    """What an action rests on."""

    NONE = "none"
    # the worker's own report, under this owner's token
    REPORT = "report"
    # a read of the state service that was sent after the report came
    FRESH_READ = "fresh read"
    # the end of the job or attempt is durable
    DURABLE_END = "durable end"
    # nobody has answered the worker for a lease
    LEASE = "lease"
    # the cloud's list
    LIST = "list"


class Urgency(IntEnum):
    """In which order differences are settled; the lowest first."""

    # passes pace and brake: a cancellation has its bound, and an attempt is never there twice
    FENCE = 0
    RESTORE = 1
    CLEAN_UP = 2


class Rule(NamedTuple):
    """What is done about a class, on what proof, how soon; `is_braked` if it counts as a mass
    action when it is done to many at once.
    """

    action: Action
    proof: Proof
    urgency: Urgency
    is_braked: bool = False


TASK_RULES: dict[TaskClass, Rule] = {
    TaskClass.HEALTHY: Rule(Action.NONE, Proof.REPORT, Urgency.CLEAN_UP),
    TaskClass.EXITED: Rule(Action.CONCLUDE, Proof.REPORT, Urgency.RESTORE),
    TaskClass.JOB_OVER: Rule(Action.STOP, Proof.DURABLE_END, Urgency.FENCE),
    TaskClass.ABSENT: Rule(Action.START, Proof.REPORT, Urgency.RESTORE, is_braked=True),
    TaskClass.NOT_STARTED: Rule(Action.CONCLUDE, Proof.REPORT, Urgency.RESTORE),
    TaskClass.SESSION_OVER: Rule(Action.CONCLUDE, Proof.REPORT, Urgency.RESTORE),
    TaskClass.SILENT: Rule(Action.WAIT, Proof.NONE, Urgency.CLEAN_UP),
    TaskClass.LEASE_OVER: Rule(Action.CONCLUDE, Proof.LEASE, Urgency.RESTORE),
    TaskClass.NEVER_STORED: Rule(Action.STOP, Proof.FRESH_READ, Urgency.CLEAN_UP, is_braked=True),
    TaskClass.SUPERSEDED: Rule(Action.STOP, Proof.DURABLE_END, Urgency.FENCE),
    TaskClass.OTHER_ATTEMPT: Rule(Action.STOP, Proof.FRESH_READ, Urgency.CLEAN_UP, is_braked=True),
    TaskClass.LEFT_OVER: Rule(Action.FORGET, Proof.DURABLE_END, Urgency.CLEAN_UP),
    TaskClass.JOB_UNKNOWN: Rule(Action.WAIT, Proof.NONE, Urgency.CLEAN_UP),
    TaskClass.NOTHING: Rule(Action.NONE, Proof.NONE, Urgency.CLEAN_UP),
}

MACHINE_RULES: dict[MachineClass, Rule] = {
    MachineClass.HEALTHY: Rule(Action.NONE, Proof.REPORT, Urgency.CLEAN_UP),
    MachineClass.SILENT: Rule(Action.GIVE_UP, Proof.LEASE, Urgency.CLEAN_UP, is_braked=True),
    MachineClass.UNLISTED: Rule(Action.NONE, Proof.REPORT, Urgency.CLEAN_UP),
    MachineClass.UNKNOWN: Rule(Action.ADOPT, Proof.LIST, Urgency.RESTORE),
    MachineClass.RETIRING: Rule(Action.RELEASE, Proof.DURABLE_END, Urgency.CLEAN_UP),
}


def classify_task(
    job: JobStanding,
    contact: Contact,
    session: int,
    stored: StoredAttempt | None,
    reported: ReportedAttempt | None,
) -> TaskClass:
    """The class of a task on a machine. `session` is the worker's newest; `stored` the attempt that
    a durable plan holds, here or on another machine; `reported` what the worker's newest report
    says, None if the task is not in it or no report has come.
    """
    if contact is not Contact.HEARD:
        return _classify_unheard(contact, stored)
    if reported is None:
        return _classify_absent(job, session, stored)
    is_planned = (
        stored is not None
        and stored.here
        and (stored.attempt, stored.session) == (reported.attempt, session)
    )
    if reported.exited:
        return TaskClass.EXITED if is_planned else TaskClass.LEFT_OVER
    if is_planned:
        return _PLANNED[job]
    return _classify_unplanned(job, stored, reported)


# a plan without its job's record is left as it is: nothing says what is to become of it
_PLANNED = {
    JobStanding.ACTIVE: TaskClass.HEALTHY,
    JobStanding.OVER: TaskClass.JOB_OVER,
    JobStanding.UNKNOWN: TaskClass.JOB_UNKNOWN,
}


def _classify_unheard(contact: Contact, stored: StoredAttempt | None) -> TaskClass:
    if stored is None or not stored.here:
        return TaskClass.NOTHING
    return TaskClass.SILENT if contact is Contact.SILENT else TaskClass.LEASE_OVER


def _classify_absent(job: JobStanding, session: int, stored: StoredAttempt | None) -> TaskClass:
    if stored is None or not stored.here or stored.session > session:
        return TaskClass.NOTHING
    if stored.session < session:
        return TaskClass.SESSION_OVER
    if job is JobStanding.UNKNOWN:
        return TaskClass.JOB_UNKNOWN
    return TaskClass.ABSENT if job is JobStanding.ACTIVE else TaskClass.NOT_STARTED


def _classify_unplanned(
    job: JobStanding, stored: StoredAttempt | None, reported: ReportedAttempt
) -> TaskClass:
    if job is JobStanding.OVER:
        return TaskClass.JOB_OVER
    if stored is None:
        return TaskClass.NEVER_STORED
    if reported.attempt < stored.attempt:
        return TaskClass.SUPERSEDED
    return TaskClass.OTHER_ATTEMPT


def classify_machine(
    is_stored: bool, is_listed: bool | None, is_retiring: bool, contact: Contact
) -> MachineClass:
    """The class of a machine. `is_listed` says whether the newest list of the cloud has it; None
    where no list is at hand: only the leader reads it.
    """
    if not is_stored:
        return MachineClass.UNKNOWN
    if is_retiring:
        return MachineClass.RETIRING
    if contact is not Contact.HEARD:
        return MachineClass.SILENT
    return MachineClass.UNLISTED if is_listed is False else MachineClass.HEALTHY
