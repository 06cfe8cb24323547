"""Recovery's pure parts: phases, classes of what differs, batches, the brake, settings, records."""

import random
from typing import Any

import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, PlanChunk, PlannedAttempt
from crossmill.cluster.records import encode_chunk, encode_end
from crossmill.recovery.circuit_breaker import Impact, digest_of, is_mass_action
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
from crossmill.recovery.differences import Difference, classify_machine_tasks
from crossmill.recovery.pacing import MachineBatches, count_batches
from crossmill.recovery.phases import (
    TRANSITIONS,
    RecoveryPhase,
    RecoveryTransitionError,
    check_transition,
)
from crossmill.settings import SettingsError
from crossmill.wire.checks import MalformedMessageError
from crossmill.wire.recovery import Approval, approval_body, parse_approval
from crossmill.wire.workers import Command

from .fake_services import FakeClock, StateService, make_spec, on
from .recovery_region import recovery_settings
from .stepped_controller import RECORD_BYTES, SteppedController, add_job, run_scenario, seed

REPORTING = WorkerContact.REPORTING
UNRESPONSIVE = WorkerContact.UNRESPONSIVE
EXPIRED = WorkerContact.LEASE_EXPIRED
ACTIVE, ENDED, UNKNOWN = JobStatus.ACTIVE, JobStatus.ENDED, JobStatus.UNKNOWN
SESSION = 2


def test_every_other_transition_is_refused() -> None:
    for old in RecoveryPhase:
        for new in RecoveryPhase:
            if new in TRANSITIONS[old]:
                check_transition(old, new)
            else:
                with pytest.raises(RecoveryTransitionError):
                    check_transition(old, new)


def _here(attempt: int = 1, session: int = SESSION) -> StoredAttempt:
    return StoredAttempt(attempt, session, is_here=True)


def _runs(attempt: int = 1) -> ReportedAttempt:
    return ReportedAttempt(attempt, has_exited=False)


ELSEWHERE = StoredAttempt(2, SESSION, is_here=False)

TASK_TABLE: list[
    tuple[
        JobStatus,
        WorkerContact,
        StoredAttempt | None,
        ReportedAttempt | None,
        TaskClass,
        RecoveryAction,
    ]
] = [
    (ACTIVE, REPORTING, _here(), _runs(), TaskClass.HEALTHY, RecoveryAction.NONE),
    (
        ACTIVE,
        REPORTING,
        _here(),
        ReportedAttempt(1, True),
        TaskClass.EXITED,
        RecoveryAction.RECORD_END,
    ),
    (ENDED, REPORTING, _here(), _runs(), TaskClass.JOB_ENDED, RecoveryAction.STOP),
    (ENDED, REPORTING, None, _runs(), TaskClass.JOB_ENDED, RecoveryAction.STOP),
    (UNKNOWN, REPORTING, _here(), _runs(), TaskClass.JOB_UNKNOWN, RecoveryAction.WAIT),
    (UNKNOWN, REPORTING, _here(), None, TaskClass.JOB_UNKNOWN, RecoveryAction.WAIT),
    (ACTIVE, REPORTING, _here(), None, TaskClass.ABSENT, RecoveryAction.START),
    (ENDED, REPORTING, _here(), None, TaskClass.NOT_STARTED, RecoveryAction.RECORD_END),
    (ACTIVE, REPORTING, _here(session=1), None, TaskClass.SESSION_ENDED, RecoveryAction.RECORD_END),
    (
        UNKNOWN,
        REPORTING,
        _here(session=1),
        None,
        TaskClass.SESSION_ENDED,
        RecoveryAction.RECORD_END,
    ),
    (ACTIVE, REPORTING, _here(session=3), None, TaskClass.NOT_PRESENT, RecoveryAction.NONE),
    (ACTIVE, REPORTING, None, _runs(), TaskClass.NEVER_STORED, RecoveryAction.STOP),
    (UNKNOWN, REPORTING, None, _runs(), TaskClass.NEVER_STORED, RecoveryAction.STOP),
    (ACTIVE, REPORTING, _here(2), _runs(1), TaskClass.SUPERSEDED, RecoveryAction.STOP),
    (ACTIVE, REPORTING, ELSEWHERE, _runs(1), TaskClass.SUPERSEDED, RecoveryAction.STOP),
    (ACTIVE, REPORTING, _here(1), _runs(2), TaskClass.OTHER_ATTEMPT, RecoveryAction.STOP),
    (ACTIVE, REPORTING, ELSEWHERE, _runs(2), TaskClass.OTHER_ATTEMPT, RecoveryAction.STOP),
    (
        ACTIVE,
        REPORTING,
        None,
        ReportedAttempt(1, True),
        TaskClass.EXITED_UNPLANNED,
        RecoveryAction.FORGET,
    ),
    (ACTIVE, REPORTING, ELSEWHERE, None, TaskClass.NOT_PRESENT, RecoveryAction.NONE),
    (ACTIVE, UNRESPONSIVE, _here(), None, TaskClass.UNRESPONSIVE, RecoveryAction.WAIT),
    (ACTIVE, EXPIRED, _here(), None, TaskClass.LEASE_EXPIRED, RecoveryAction.RECORD_END),
    (ACTIVE, UNRESPONSIVE, None, None, TaskClass.NOT_PRESENT, RecoveryAction.NONE),
]


@pytest.mark.parametrize(("job", "contact", "stored", "reported", "wanted", "action"), TASK_TABLE)
def test_the_table_of_tasks(
    job: JobStatus,
    contact: WorkerContact,
    stored: StoredAttempt | None,
    reported: ReportedAttempt | None,
    wanted: TaskClass,
    action: RecoveryAction,
) -> None:
    assert classify_task(job, contact, SESSION, stored, reported) is wanted
    assert TASK_RULES[wanted].action is action


def test_every_class_has_a_row_and_a_rule() -> None:
    assert {row[4] for row in TASK_TABLE} == set(TaskClass) == set(TASK_RULES)
    assert set(MACHINE_RULES) == set(MachineClass)


@pytest.mark.parametrize(
    ("stored", "listed", "retiring", "contact", "wanted"),
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
def test_the_table_of_machines(
    stored: bool, listed: bool | None, retiring: bool, contact: WorkerContact, wanted: MachineClass
) -> None:
    assert classify_machine(stored, listed, retiring, contact) is wanted


# -- the classes agree with what the ordinary path does -------------------------------

TASKS = 6
JOBS = {"wk-000001": ACTIVE, "wk-000002": ENDED, "wk-000003": UNKNOWN}


def _draw(rng: random.Random) -> tuple[dict[str, list[PlannedAttempt]], list[dict[str, Any]]]:
    """Plans and a report of n-0, drawn at random."""
    plans: dict[str, list[PlannedAttempt]] = {}
    reported = []
    for job in JOBS:
        for index in range(TASKS):
            if rng.random() < 0.7:
                row = PlannedAttempt(
                    job,
                    index,
                    rng.randint(1, 3),
                    rng.choice(("n-0", "n-0", "n-1")),
                    rng.randint(1, 3),
                )
                plans.setdefault(job, []).append(row)
            if rng.random() < 0.7:
                exited = rng.random() < 0.3
                state, cause = ("exited", "done") if exited else ("running", "")
                reported.append(on(job, index, rng.randint(1, 3), state, cause))
    return plans, reported


async def _ordinary(
    state: StateService,
    clock: FakeClock,
    plans: dict[str, list[PlannedAttempt]],
    reported: list[Any],
) -> tuple[SteppedController, list[Command]]:
    """What the ordinary path orders after the machine's first trusted report."""
    seed(state, clock, machines=2)
    add_job(state, clock, nameId="wk-000001", sacks=TASKS)
    spec = make_spec(nameId="wk-000002", sacks=TASKS)
    value = encode_end(CANCELLED, spec, clock.wall(), RECORD_BYTES)
    state.put(keys.job("wk-000002"), value)
    for job, rows in plans.items():
        chunk = PlanChunk(4, 0, {row.index: row for row in rows})
        state.put(keys.plan(job, "0"), encode_chunk(chunk))
    node = SteppedController(state, clock, {})
    await node.boot()
    node.report("n-0", SESSION, 1, 0)
    answer = node.report("n-0", SESSION, 2, node.token(), *reported)
    return node, list(answer.commands)


OPS = {RecoveryAction.START: "start", RecoveryAction.STOP: "stop", RecoveryAction.FORGET: "forget"}


@pytest.mark.parametrize("first", range(0, 200, 20))
def test_classes_agree_with_the_ordinary_path(first: int) -> None:
    for drawn in range(first, first + 20):
        _compare_with_the_ordinary_path(drawn)


def _compare_with_the_ordinary_path(drawn: int) -> None:
    plans, reported = _draw(random.Random(drawn))

    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        node, commands = await _ordinary(state, clock, plans, reported)
        machine, view = node.cluster.machines["n-0"], node.heartbeats.find_view("n-0")
        assert view is not None
        classes = classify_machine_tasks(node.cluster, machine, view)
        ordered = {(c.task, c.attempt): c.op for c in commands}
        expected = {}
        for key, task_class in classes.items():
            action = TASK_RULES[task_class].action
            task = view.tasks.get(key)
            attempt = machine.attempts[key].number if task is None else task.attempt
            if action in OPS:
                expected[f"{key[0]}/{key[1]}", attempt] = OPS[action]
            row = machine.attempts.get(key)
            concluded = row is not None and node.heartbeats.outcomes.is_concluded(row)
            # beside another attempt of it, a row of an earlier session is over as well
            session_over = row is not None and row.session < SESSION and row.number != attempt
            assert concluded == (action is RecoveryAction.RECORD_END or session_over), (drawn, key)
        assert ordered == expected, drawn

    run_scenario(scenario)


# -- batches, brake, settings ----------------------------------------------------------


def test_batches_rise_while_they_settle_and_begin_small_after_one_that_does_not() -> None:
    clock = FakeClock()
    batches = MachineBatches(clock, 1, 10.0)
    machines = [f"n-{n}" for n in range(10)]
    sizes = []
    while machines:
        assert batches.is_next_due(machines)
        batches.begin_next(machines)
        sizes.append(len(batches.admitted))
        assert not batches.is_next_due(machines)
        machines = [m for m in machines if m not in batches.admitted]
    assert sizes == [1, 2, 4, 3]
    assert count_batches(10, 1) == len(sizes)
    stubborn = ["a", "b", "c"]
    batches.begin_next(stubborn)
    clock.time += 11.0
    assert batches.is_next_due(stubborn)
    stubborn.append("d")
    batches.begin_next(stubborn)
    assert batches.admitted == {"d"}


def _impact(stops: int = 0, restarts: int = 0, releases: int = 0) -> Impact:
    return Impact(stops, restarts, releases, tasks_known=100, machines_known=40)


@pytest.mark.parametrize(
    ("impact", "braked"),
    [
        (_impact(stops=20), False),
        (_impact(stops=15, restarts=6), True),
        (_impact(releases=8), False),
        (_impact(releases=9), True),
        (Impact(5, 0, 0, 6, 1), False),
        (Impact(6, 0, 0, 6, 1), True),
    ],
)
def test_the_brake_counts_tasks_and_machines(impact: Impact, braked: bool) -> None:
    assert is_mass_action(impact, recovery_settings()) is braked


def test_a_digest_names_exactly_what_is_held_back() -> None:
    one = Difference("n-0", "wk-000001", 0, 1, TaskClass.NEVER_STORED)
    other = Difference("n-0", "wk-000001", 1, 1, TaskClass.NEVER_STORED)
    digests = {digest_of(found, {"n-1"}) for found in ([one, other], [other, one])}
    assert len(digests) == 1
    assert digest_of([one], {"n-1"}) not in digests
    assert digest_of([one, other], set()) not in digests


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("orders_per_s", 0),
        ("orders_per_worker", "many"),
        ("observe_reports", 0.5),
        ("brake_share", 1.5),
        ("brake_share", -0.1),
        ("brake_least", 0),
        ("first_batch", 0),
        ("approval_s", None),
        ("kept_records", 0),
    ],
)
def test_a_bad_field_is_named(field: str, value: object) -> None:
    with pytest.raises(SettingsError, match=f"recovery.{field}"):
        recovery_settings(**{field: value})


def test_the_shards_parts_add_up_to_the_regions_rate() -> None:
    settings = recovery_settings(orders_per_s=12.0)
    assert settings.shard_orders_per_s * settings.nodes == pytest.approx(12.0)


@pytest.mark.parametrize("body", [b"{}", b'{"shard":-1,"digest":"a"}', b'{"shard":0}', b"["])
def test_a_bad_approval_is_refused(body: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        parse_approval(body)
    approval = Approval(2, "ab")
    assert parse_approval(approval_body(approval)) == approval


# -- the token after the state came back older -----------------------------------------


def test_a_token_is_raised_above_what_a_worker_has_seen() -> None:
    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert node.report("n-0", 1, 1, 400).status == 503
        await node.membership.step()
        assert node.token() == 401
        assert node.report("n-0", 1, 2, 400).token == 401

    run_scenario(scenario)
