"""What differs on one machine between the stored plans and its newest report."""

from dataclasses import dataclass

from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job, Machine
from ..workers.views import WorkerView
from .classification import (
    TASK_RULES,
    Action,
    Contact,
    JobStanding,
    ReportedAttempt,
    Rule,
    StoredAttempt,
    TaskClass,
    classify_task,
)

TaskKey = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Difference:
    """A task of a machine that an order is needed for."""

    machine: str
    job: str
    index: int
    attempt: int
    task_class: TaskClass

    @property
    def rule(self) -> Rule:
        """What is done about it."""
        return TASK_RULES[self.task_class]

    @property
    def key(self) -> TaskKey:
        """The task."""
        return self.job, self.index


# what an order to the worker settles
ORDERED = frozenset({Action.START, Action.STOP, Action.FORGET})


def job_standing(job: Job | None) -> JobStanding:
    """What the stored state says of the job."""
    if job is not None and job.has_ended:
        return JobStanding.OVER
    if job is None or not job.has_record:
        return JobStanding.UNKNOWN
    return JobStanding.ACTIVE


def stored_attempt(cluster: ClusterState, machine: Machine, key: TaskKey) -> StoredAttempt | None:
    """The attempt of the task that a durable plan holds, on this machine or on another."""
    attempt = machine.attempts.get(key)
    if attempt is not None:
        return StoredAttempt(attempt.number, attempt.session, here=True)
    job = cluster.jobs.get(key[0])
    if job is None or not job.chunks:
        return None
    chunk = job.chunks.get(cluster.layout.chunk_of(key[1], job.chunks).name)
    attempt = None if chunk is None else chunk.attempts.get(key[1])
    return None if attempt is None else StoredAttempt(attempt.number, attempt.session, here=False)


def classify_machine_tasks(
    cluster: ClusterState, machine: Machine, view: WorkerView
) -> dict[TaskKey, TaskClass]:
    """The class of each task that is planned onto the machine or that its newest report, which
    has to be trusted, speaks of.
    """
    classes: dict[TaskKey, TaskClass] = {}
    for key in {*machine.attempts, *view.tasks}:
        task = view.tasks.get(key)
        reported = None if task is None else ReportedAttempt(task.attempt, task.state == "exited")
        stored = stored_attempt(cluster, machine, key)
        standing = job_standing(cluster.jobs.get(key[0]))
        classes[key] = classify_task(standing, Contact.HEARD, view.session, stored, reported)
    return classes


def differences(
    machine: Machine, view: WorkerView, classes: dict[TaskKey, TaskClass]
) -> list[Difference]:
    """Those of the tasks that an order is needed for."""
    found = []
    for key, task_class in classes.items():
        if TASK_RULES[task_class].action not in ORDERED:
            continue
        attempt = view.tasks[key].attempt if key in view.tasks else machine.attempts[key].number
        found.append(Difference(machine.id, *key, attempt, task_class))
    return found
