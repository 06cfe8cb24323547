"""Recovery's classification of tasks and machines; it agrees with the heartbeat handler."""

import random
from typing import Any, NamedTuple

import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, PlanChunk, PlannedAttempt
from crossmill.cluster.records import encode_chunk, encode_end
from crossmill.recovery.classification import (
    MACHINE_RULES,
    TASK_RULES,
    JobStatus,
    MachineClass,
    RecoveryAction,
    ReportedAttempt,
    StoredAttempt,
    TaskClass,
    WorkerContact,
    classify_machine,
    classify_task,
)
from crossmill.recovery.differences import classify_machine_tasks
from crossmill.wire.workers import Command

from .builders import make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import MAX_RECORD_BYTES, SteppedController, add_job, run_scenario, seed

REPORTING = WorkerContact.REPORTING
UNRESPONSIVE = WorkerContact.UNRESPONSIVE
EXPIRED = WorkerContact.LEASE_EXPIRED
ACTIVE, ENDED, UNKNOWN = JobStatus.ACTIVE, JobStatus.ENDED, JobStatus.UNKNOWN
NONE, WAIT, START, STOP, FORGET, RECORD_END = (
    RecoveryAction.NONE,
    RecoveryAction.WAIT,
    RecoveryAction.START,
    RecoveryAction.STOP,
    RecoveryAction.FORGET,
    RecoveryAction.RECORD_END,
)
# the newest session of the worker
SESSION = 2


class TaskCase(NamedTuple):
    """A task on a machine, its expected class and the action of that class."""

    job: JobStatus
    contact: WorkerContact
    stored: StoredAttempt | None
    reported: ReportedAttempt | None
    task_class: TaskClass
    action: RecoveryAction


def _here(attempt: int = 1, session: int = SESSION) -> StoredAttempt:
    return StoredAttempt(attempt, session, is_here=True)


def _running(attempt: int = 1) -> ReportedAttempt:
    return ReportedAttempt(attempt, has_exited=False)


def _exited(attempt: int = 1) -> ReportedAttempt:
    return ReportedAttempt(attempt, has_exited=True)


ELSEWHERE = StoredAttempt(2, SESSION, is_here=False)

TASK_TABLE: list[TaskCase] = [
    TaskCase(ACTIVE, REPORTING, _here(), _running(), TaskClass.HEALTHY, NONE),
    TaskCase(ACTIVE, REPORTING, _here(), _exited(), TaskClass.EXITED, RECORD_END),
    TaskCase(ENDED, REPORTING, _here(), _running(), TaskClass.JOB_ENDED, STOP),
    TaskCase(ENDED, REPORTING, None, _running(), TaskClass.JOB_ENDED, STOP),
    TaskCase(UNKNOWN, REPORTING, _here(), _running(), TaskClass.JOB_UNKNOWN, WAIT),
    TaskCase(UNKNOWN, REPORTING, _here(), None, TaskClass.JOB_UNKNOWN, WAIT),
    TaskCase(ACTIVE, REPORTING, _here(), None, TaskClass.ABSENT, START),
    TaskCase(ENDED, REPORTING, _here(), None, TaskClass.NOT_STARTED, RECORD_END),
    TaskCase(ACTIVE, REPORTING, _here(session=1), None, TaskClass.SESSION_ENDED, RECORD_END),
    TaskCase(UNKNOWN, REPORTING, _here(session=1), None, TaskClass.SESSION_ENDED, RECORD_END),
    TaskCase(ACTIVE, REPORTING, _here(session=3), None, TaskClass.NOT_PRESENT, NONE),
    TaskCase(ACTIVE, REPORTING, None, _running(), TaskClass.NEVER_STORED, STOP),
    TaskCase(UNKNOWN, REPORTING, None, _running(), TaskClass.NEVER_STORED, STOP),
    TaskCase(ACTIVE, REPORTING, _here(2), _running(1), TaskClass.SUPERSEDED, STOP),
    TaskCase(ACTIVE, REPORTING, ELSEWHERE, _running(1), TaskClass.SUPERSEDED, STOP),
    TaskCase(ACTIVE, REPORTING, _here(1), _running(2), TaskClass.OTHER_ATTEMPT, STOP),
    TaskCase(ACTIVE, REPORTING, ELSEWHERE, _running(2), TaskClass.OTHER_ATTEMPT, STOP),
    TaskCase(ACTIVE, REPORTING, None, _exited(), TaskClass.EXITED_UNPLANNED, FORGET),
    TaskCase(ACTIVE, REPORTING, ELSEWHERE, None, TaskClass.NOT_PRESENT, NONE),
    TaskCase(ACTIVE, UNRESPONSIVE, _here(), None, TaskClass.UNRESPONSIVE, WAIT),
    TaskCase(ACTIVE, EXPIRED, _here(), None, TaskClass.LEASE_EXPIRED, RECORD_END),
    TaskCase(ACTIVE, UNRESPONSIVE, None, None, TaskClass.NOT_PRESENT, NONE),
]


@pytest.mark.parametrize("case", TASK_TABLE)
def test_the_class_of_a_task_and_its_action(case: TaskCase) -> None:
    task_class = classify_task(case.job, case.contact, SESSION, case.stored, case.reported)
    assert task_class is case.task_class
    assert TASK_RULES[task_class].action is case.action


def test_every_class_has_a_case_and_a_rule() -> None:
    assert {case.task_class for case in TASK_TABLE} == set(TaskClass) == set(TASK_RULES)
    assert set(MACHINE_RULES) == set(MachineClass)


@pytest.mark.parametrize(
    ("stored", "listed", "retiring", "contact", "expected"),
    [
        (True, True, False, REPORTING, MachineClass.HEALTHY),
        (True, None, False, REPORTING, MachineClass.HEALTHY),
        (True, False, False, REPORTING, MachineClass.UNLISTED),
        (True, True, False, UNRESPONSIVE, MachineClass.UNRESPONSIVE),
        (True, False, False, EXPIRED, MachineClass.UNRESPONSIVE),
        (True, True, True, REPORTING, MachineClass.RETIRING),
        (False, True, False, UNRESPONSIVE, MachineClass.UNKNOWN),
        (False, False, False, REPORTING, MachineClass.UNKNOWN),
    ],
)
def test_the_class_of_a_machine(
    stored: bool,
    listed: bool | None,
    retiring: bool,
    contact: WorkerContact,
    expected: MachineClass,
) -> None:
    assert classify_machine(stored, listed, retiring, contact) is expected


# -- the classes agree with the commands and outcomes of the heartbeat handler ---------

TASKS = 6
JOBS = {"wk-000001": ACTIVE, "wk-000002": ENDED, "wk-000003": UNKNOWN}


class DrawnState(NamedTuple):
    """Plans by job, and the tasks in the heartbeat of n-0."""

    plans: dict[str, list[PlannedAttempt]]
    reported: list[dict[str, Any]]


def _draw_state(rng: random.Random) -> DrawnState:
    drawn = DrawnState({}, [])
    for job in JOBS:
        for index in range(TASKS):
            if rng.random() < 0.7:
                number, machine = rng.randint(1, 3), rng.choice(("n-0", "n-0", "n-1"))
                planned = PlannedAttempt(job, index, number, machine, rng.randint(1, 3))
                drawn.plans.setdefault(job, []).append(planned)
            if rng.random() < 0.7:
                exited = rng.random() < 0.3
                state, cause = ("exited", "done") if exited else ("running", "")
                drawn.reported.append(reported_task(job, index, rng.randint(1, 3), state, cause))
    return drawn


def _store(state: StateService, clock: FakeClock, drawn: DrawnState) -> None:
    seed(state, clock, machines=2)
    add_job(state, clock, nameId="wk-000001", sacks=TASKS)
    spec = make_spec(nameId="wk-000002", sacks=TASKS)
    value = encode_end(CANCELLED, spec, clock.wall_time(), MAX_RECORD_BYTES)
    state.put(keys.job("wk-000002"), value)
    for job, planned in drawn.plans.items():
        chunk = PlanChunk(4, 0, {attempt.index: attempt for attempt in planned})
        state.put(keys.plan(job, "0"), encode_chunk(chunk))


async def _start_with_heartbeat(
    state: StateService, clock: FakeClock, drawn: DrawnState
) -> tuple[SteppedController, list[Command]]:
    """Starts a controller and returns it with its commands after a heartbeat with its token."""
    _store(state, clock, drawn)
    node = SteppedController(state, clock, {})
    await node.boot()
    node.report("n-0", SESSION, 1, 0)
    answer = node.report("n-0", SESSION, 2, node.token(), *drawn.reported)
    return node, list(answer.commands)


OPERATIONS = {START: "start", STOP: "stop", FORGET: "forget"}


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_classes_agree_with_the_heartbeat_handler(first: int) -> None:
    for number in range(first, first + 20):
        _compare_with_heartbeat_handler(number)


def _compare_with_heartbeat_handler(number: int) -> None:
    drawn = _draw_state(random.Random(number))

    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        node, commands = await _start_with_heartbeat(state, clock, drawn)
        machine, view = node.cluster.machines["n-0"], node.heartbeats.find_view("n-0")
        assert view is not None
        expected = {}
        for key, task_class in classify_machine_tasks(node.cluster, machine, view).items():
            action = TASK_RULES[task_class].action
            task, planned = view.tasks.get(key), machine.attempts.get(key)
            attempt = machine.attempts[key].number if task is None else task.attempt
            if action in OPERATIONS:
                expected[f"{key[0]}/{key[1]}", attempt] = OPERATIONS[action]
            has_outcome = planned is not None and node.heartbeats.outcomes.has_ended(planned)
            # a planned attempt of an earlier session has ended, even where the worker reports
            # another attempt of the task
            is_session_ended = (
                planned is not None and planned.session < SESSION and planned.number != attempt
            )
            assert has_outcome == (action is RECORD_END or is_session_ended), (number, key)
        assert {(c.task, c.attempt): c.op for c in commands} == expected, number

    run_scenario(scenario)
