"""Detection of differences between a machine's stored plans and its newest heartbeat."""

from dataclasses import dataclass

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job, Machine
from ..workers.views import WorkerView
from .classification import (
    TASK_RULES,
    JobStatus,
    RecoveryAction,
    ReportedAttempt,
    Rule,
    StoredAttempt,
    TaskClass,
    WorkerLiveness,
    classify_task,
)

TaskKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Difference:
    """A difference of one task on a machine, which an order to the machine's worker resolves."""

    machine: str
    job: str
    index: int
    attempt: int
    task_class: TaskClass

    @property
    def rule(self) -> Rule:
        """The rule that resolves the difference."""
        return TASK_RULES[self.task_class]

    @property
    def key(self) -> TaskKey:
        """The job ID and index of the task."""
        return self.job, self.index


# the actions that are orders to the worker
ORDER_ACTIONS = frozenset({RecoveryAction.START, RecoveryAction.STOP, RecoveryAction.FORGET})


def job_status(job: Job | None) -> JobStatus:
    """Return the job's status in the stored state; None stands for a job without a record."""
    if job is not None and job.has_ended:
        return JobStatus.ENDED
    if job is None or not job.has_record:
        return JobStatus.UNKNOWN
    return JobStatus.ACTIVE


def stored_attempt(cluster: ClusterState, machine: Machine, key: TaskKey) -> StoredAttempt | None:
    """Return the task's attempt in a durable plan, for this machine or for another one."""
    attempt = machine.attempts.get(key)
    if attempt is not None:
        return StoredAttempt(attempt.number, attempt.session, is_on_this_machine=True)
    job = cluster.jobs.get(key[0])
    if job is None or not job.chunks:
        return None
    chunk = job.chunks.get(cluster.layout.chunk_of(key[1], job.chunks).name)
    attempt = None if chunk is None else chunk.attempts.get(key[1])
    return (
        None
        if attempt is None
        else StoredAttempt(attempt.number, attempt.session, is_on_this_machine=False)
    )


def classify_machine_tasks(
    cluster: ClusterState, machine: Machine, view: WorkerView
) -> dict[TaskKey, TaskClass]:
    """Return the class of each task that is planned for the machine or reported by it.

    The view's newest heartbeat must carry this owner's token: an older one may be outdated.
    """
    classes: dict[TaskKey, TaskClass] = {}
    for key in {*machine.attempts, *view.tasks}:
        task = view.tasks.get(key)
        reported = None if task is None else ReportedAttempt(task.attempt, task.state == "exited")
        stored = stored_attempt(cluster, machine, key)
        status = job_status(cluster.jobs.get(key[0]))
        classes[key] = classify_task(
            status, WorkerLiveness.REPORTING, view.session, stored, reported
        )
    return classes


def find_differences(
    machine: Machine, view: WorkerView, classes: dict[TaskKey, TaskClass]
) -> list[Difference]:
    """Return the differences that require an order to the worker, given the tasks' classes."""
    found = []
    for key, task_class in classes.items():
        if TASK_RULES[task_class].action not in ORDER_ACTIONS:
            continue
        attempt = view.tasks[key].attempt if key in view.tasks else machine.attempts[key].number
        found.append(Difference(machine.id, *key, attempt, task_class))
    return found
