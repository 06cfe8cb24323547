"""Recovery's classification of tasks and machines, compared with the heartbeat handler."""

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
    WorkerLiveness,
    classify_machine,
    classify_task,
)
from crossmill.recovery.differences import classify_machine_tasks
from crossmill.wire.workers import Command

from .builders import make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import MAX_RECORD_BYTES, SteppedController, add_job, run_scenario, seed

REPORTING = WorkerLiveness.REPORTING
UNRESPONSIVE = WorkerLiveness.UNRESPONSIVE
EXPIRED = WorkerLiveness.LEASE_EXPIRED
ACTIVE, ENDED, UNKNOWN = JobStatus.ACTIVE, JobStatus.ENDED, JobStatus.UNKNOWN
NONE, WAIT, START, STOP, FORGET, RECORD_END = (
    RecoveryAction.NONE,
    RecoveryAction.WAIT,
    RecoveryAction.START,
    RecoveryAction.STOP,
    RecoveryAction.FORGET,
    RecoveryAction.RECORD_END,
)
# the worker's newest session
SESSION = 2


class TaskCase(NamedTuple):
    """A task on a machine, its expected class and the action for that class."""

    job: JobStatus
    liveness: WorkerLiveness
    stored: StoredAttempt | None
    reported: ReportedAttempt | None
    task_class: TaskClass
    action: RecoveryAction


def _planned_here(attempt: int = 1, session: int = SESSION) -> StoredAttempt:
    return StoredAttempt(attempt, session, is_on_this_machine=True)


def _running(attempt: int = 1) -> ReportedAttempt:
    return ReportedAttempt(attempt, has_exited=False)


def _exited(attempt: int = 1) -> ReportedAttempt:
    return ReportedAttempt(attempt, has_exited=True)


ELSEWHERE = StoredAttempt(2, SESSION, is_on_this_machine=False)

TASK_TABLE: list[TaskCase] = [
    TaskCase(ACTIVE, REPORTING, _planned_here(), _running(), TaskClass.HEALTHY, NONE),
    TaskCase(ACTIVE, REPORTING, _planned_here(), _exited(), TaskClass.EXITED, RECORD_END),
    TaskCase(ENDED, REPORTING, _planned_here(), _running(), TaskClass.JOB_ENDED, STOP),
    TaskCase(ENDED, REPORTING, None, _running(), TaskClass.JOB_ENDED, STOP),
    TaskCase(UNKNOWN, REPORTING, _planned_here(), _running(), TaskClass.JOB_UNKNOWN, WAIT),
    TaskCase(UNKNOWN, REPORTING, _planned_here(), None, TaskClass.JOB_UNKNOWN, WAIT),
    TaskCase(ACTIVE, REPORTING, _planned_here(), None, TaskClass.ABSENT, START),
    TaskCase(ENDED, REPORTING, _planned_here(), None, TaskClass.NOT_STARTED, RECORD_END),
    TaskCase(
        ACTIVE, REPORTING, _planned_here(session=1), None, TaskClass.SESSION_ENDED, RECORD_END
    ),
    TaskCase(
        UNKNOWN, REPORTING, _planned_here(session=1), None, TaskClass.SESSION_ENDED, RECORD_END
    ),
    TaskCase(ACTIVE, REPORTING, _planned_here(session=3), None, TaskClass.NOT_PRESENT, NONE),
    TaskCase(ACTIVE, REPORTING, None, _running(), TaskClass.NEVER_STORED, STOP),
    TaskCase(UNKNOWN, REPORTING, None, _running(), TaskClass.NEVER_STORED, STOP),
    TaskCase(ACTIVE, REPORTING, _planned_here(2), _running(1), TaskClass.SUPERSEDED, STOP),
    TaskCase(ACTIVE, REPORTING, ELSEWHERE, _running(1), TaskClass.SUPERSEDED, STOP),
    TaskCase(ACTIVE, REPORTING, _planned_here(1), _running(2), TaskClass.OTHER_ATTEMPT, STOP),
    TaskCase(ACTIVE, REPORTING, ELSEWHERE, _running(2), TaskClass.OTHER_ATTEMPT, STOP),
    TaskCase(ACTIVE, REPORTING, None, _exited(), TaskClass.EXITED_UNPLANNED, FORGET),
    TaskCase(ACTIVE, REPORTING, ELSEWHERE, None, TaskClass.NOT_PRESENT, NONE),
    TaskCase(ACTIVE, UNRESPONSIVE, _planned_here(), None, TaskClass.UNRESPONSIVE, WAIT),
    TaskCase(ACTIVE, EXPIRED, _planned_here(), None, TaskClass.LEASE_EXPIRED, RECORD_END),
    TaskCase(ACTIVE, UNRESPONSIVE, None, None, TaskClass.NOT_PRESENT, NONE),
]


@pytest.mark.parametrize("case", TASK_TABLE)
def test_the_class_of_a_task_and_its_action(case: TaskCase) -> None:
    task_class = classify_task(case.job, case.liveness, SESSION, case.stored, case.reported)
    assert task_class is case.task_class
    assert TASK_RULES[task_class].action is case.action


def test_every_class_has_a_case_and_a_rule() -> None:
    assert {case.task_class for case in TASK_TABLE} == set(TaskClass) == set(TASK_RULES)
    assert set(MACHINE_RULES) == set(MachineClass)


@pytest.mark.parametrize(
    ("stored", "in_cloud_list", "retiring", "liveness", "expected"),
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
    in_cloud_list: bool | None,
    retiring: bool,
    liveness: WorkerLiveness,
    expected: MachineClass,
) -> None:
    assert classify_machine(stored, in_cloud_list, retiring, liveness) is expected


# -- comparison with the commands and outcomes of the heartbeat handler ----------------

TASKS = 6
JOBS = {"wk-000001": ACTIVE, "wk-000002": ENDED, "wk-000003": UNKNOWN}


class RandomState(NamedTuple):
    """Random plans by job ID, and the random tasks in the heartbeat of machine n-0."""

    plans: dict[str, list[PlannedAttempt]]
    reported: list[dict[str, Any]]


def _random_state(rng: random.Random) -> RandomState:
    random_state = RandomState({}, [])
    for job in JOBS:
        for index in range(TASKS):
            if rng.random() < 0.7:
                number, machine = rng.randint(1, 3), rng.choice(("n-0", "n-0", "n-1"))
                planned = PlannedAttempt(job, index, number, machine, rng.randint(1, 3))
                random_state.plans.setdefault(job, []).append(planned)
            if rng.random() < 0.7:
                exited = rng.random() < 0.3
                state, cause = ("exited", "done") if exited else ("running", "")
                random_state.reported.append(
                    reported_task(job, index, rng.randint(1, 3), state, cause)
                )
    return random_state


def _store(state: StateService, clock: FakeClock, random_state: RandomState) -> None:
    seed(state, clock, machines=2)
    add_job(state, clock, nameId="wk-000001", sacks=TASKS)
    spec = make_spec(nameId="wk-000002", sacks=TASKS)
    value = encode_end(CANCELLED, spec, clock.wall_time(), MAX_RECORD_BYTES)
    state.put(keys.job("wk-000002"), value)
    for job, planned in random_state.plans.items():
        chunk = PlanChunk(4, 0, {attempt.index: attempt for attempt in planned})
        state.put(keys.plan(job, "0"), encode_chunk(chunk))


async def _start_with_heartbeat(
    state: StateService, clock: FakeClock, random_state: RandomState
) -> tuple[SteppedController, list[Command]]:
    """Start a controller; return it and its commands after a heartbeat with its token."""
    _store(state, clock, random_state)
    node = SteppedController(state, clock, {})
    await node.boot()
    node.report("n-0", SESSION, 1, 0)
    response = node.report("n-0", SESSION, 2, node.token(), *random_state.reported)
    return node, list(response.commands)


OPERATIONS = {START: "start", STOP: "stop", FORGET: "forget"}


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_classes_agree_with_the_heartbeat_handler(first: int) -> None:
    for number in range(first, first + 20):
        _compare_with_heartbeat_handler(number)


def _compare_with_heartbeat_handler(number: int) -> None:
    random_state = _random_state(random.Random(number))

    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        node, commands = await _start_with_heartbeat(state, clock, random_state)
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
            # a planned attempt of an earlier session has ended, even if the worker reports another
            # attempt of the task
            is_session_ended = (
                planned is not None and planned.session < SESSION and planned.number != attempt
            )
            assert has_outcome == (action is RECORD_END or is_session_ended), (number, key)
        assert {(c.task, c.attempt): c.op for c in commands} == expected, number

    run_scenario(scenario)
