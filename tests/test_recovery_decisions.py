"""Recovery's pure parts: phases, classes of what differs, batches, the brake, settings, records."""

import random
from typing import Any

import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, PlanChunk, PlannedAttempt
from crossmill.cluster.records import encode_chunk, encode_end
from crossmill.recovery.batches import Batches, batches_of
from crossmill.recovery.brake import Impact, digest_of, is_mass_action
from crossmill.recovery.classification import (
    MACHINE_RULES,
    TASK_RULES,
    Action,
    Contact,
    JobStanding,
    MachineClass,
    ReportedAttempt,
    StoredAttempt,
    TaskClass,
    classify_machine,
    classify_task,
)
from crossmill.recovery.differences import Difference, classify_machine_tasks
from crossmill.recovery.phases import TRANSITIONS, IllegalTransition, Phase, check_transition
from crossmill.settings import SettingsError
from crossmill.wire.checks import MalformedMessageError
from crossmill.wire.recovery import Approval, approval_body, parse_approval
from crossmill.wire.workers import Command

from .builders import make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .recovery_region import recovery_settings
from .stepped_controller import RECORD_BYTES, SteppedController, add_job, run_scenario, seed

HEARD, SILENT, ENDED = Contact.HEARD, Contact.SILENT, Contact.ENDED
ACTIVE, OVER, UNKNOWN = JobStanding.ACTIVE, JobStanding.OVER, JobStanding.UNKNOWN
SESSION = 2


def test_every_other_transition_is_refused() -> None:
    for old in Phase:
        for new in Phase:
            if new in TRANSITIONS[old]:
                check_transition(old, new)
            else:
                with pytest.raises(IllegalTransition):
                    check_transition(old, new)


def _here(attempt: int = 1, session: int = SESSION) -> StoredAttempt:
    return StoredAttempt(attempt, session, here=True)


def _runs(attempt: int = 1) -> ReportedAttempt:
    return ReportedAttempt(attempt, exited=False)


ELSEWHERE = StoredAttempt(2, SESSION, here=False)

TASK_TABLE: list[
    tuple[JobStanding, Contact, StoredAttempt | None, ReportedAttempt | None, TaskClass, Action]
] = [
    (ACTIVE, HEARD, _here(), _runs(), TaskClass.HEALTHY, Action.NONE),
    (ACTIVE, HEARD, _here(), ReportedAttempt(1, True), TaskClass.EXITED, Action.CONCLUDE),
    (OVER, HEARD, _here(), _runs(), TaskClass.JOB_OVER, Action.STOP),
    (OVER, HEARD, None, _runs(), TaskClass.JOB_OVER, Action.STOP),
    (UNKNOWN, HEARD, _here(), _runs(), TaskClass.JOB_UNKNOWN, Action.WAIT),
    (UNKNOWN, HEARD, _here(), None, TaskClass.JOB_UNKNOWN, Action.WAIT),
    (ACTIVE, HEARD, _here(), None, TaskClass.ABSENT, Action.START),
    (OVER, HEARD, _here(), None, TaskClass.NOT_STARTED, Action.CONCLUDE),
    (ACTIVE, HEARD, _here(session=1), None, TaskClass.SESSION_OVER, Action.CONCLUDE),
    (UNKNOWN, HEARD, _here(session=1), None, TaskClass.SESSION_OVER, Action.CONCLUDE),
    (ACTIVE, HEARD, _here(session=3), None, TaskClass.NOTHING, Action.NONE),
    (ACTIVE, HEARD, None, _runs(), TaskClass.NEVER_STORED, Action.STOP),
    (UNKNOWN, HEARD, None, _runs(), TaskClass.NEVER_STORED, Action.STOP),
    (ACTIVE, HEARD, _here(2), _runs(1), TaskClass.SUPERSEDED, Action.STOP),
    (ACTIVE, HEARD, ELSEWHERE, _runs(1), TaskClass.SUPERSEDED, Action.STOP),
    (ACTIVE, HEARD, _here(1), _runs(2), TaskClass.OTHER_ATTEMPT, Action.STOP),
    (ACTIVE, HEARD, ELSEWHERE, _runs(2), TaskClass.OTHER_ATTEMPT, Action.STOP),
    (ACTIVE, HEARD, None, ReportedAttempt(1, True), TaskClass.LEFT_OVER, Action.FORGET),
    (ACTIVE, HEARD, ELSEWHERE, None, TaskClass.NOTHING, Action.NONE),
    (ACTIVE, SILENT, _here(), None, TaskClass.SILENT, Action.WAIT),
    (ACTIVE, ENDED, _here(), None, TaskClass.LEASE_OVER, Action.CONCLUDE),
    (ACTIVE, SILENT, None, None, TaskClass.NOTHING, Action.NONE),
]


@pytest.mark.parametrize(("job", "contact", "stored", "reported", "wanted", "action"), TASK_TABLE)
def test_the_table_of_tasks(
    job: JobStanding,
    contact: Contact,
    stored: StoredAttempt | None,
    reported: ReportedAttempt | None,
    wanted: TaskClass,
    action: Action,
) -> None:
    assert classify_task(job, contact, SESSION, stored, reported) is wanted
    assert TASK_RULES[wanted].action is action


def test_every_class_has_a_row_and_a_rule() -> None:
    assert {row[4] for row in TASK_TABLE} == set(TaskClass) == set(TASK_RULES)
    assert set(MACHINE_RULES) == set(MachineClass)


@pytest.mark.parametrize(
    ("stored", "listed", "retiring", "contact", "wanted"),
    [
        (True, True, False, HEARD, MachineClass.HEALTHY),
        (True, None, False, HEARD, MachineClass.HEALTHY),
        (True, False, False, HEARD, MachineClass.UNLISTED),
        (True, True, False, SILENT, MachineClass.SILENT),
        (True, False, False, ENDED, MachineClass.SILENT),
        (True, True, True, HEARD, MachineClass.RETIRING),
        (False, True, False, SILENT, MachineClass.UNKNOWN),
        (False, False, False, HEARD, MachineClass.UNKNOWN),
    ],
)
def test_the_table_of_machines(
    stored: bool, listed: bool | None, retiring: bool, contact: Contact, wanted: MachineClass
) -> None:
    assert classify_machine(stored, listed, retiring, contact) is wanted


# -- the classes agree with what the ordinary path does -------------------------------

TASKS = 6
JOBS = {"wk-000001": ACTIVE, "wk-000002": OVER, "wk-000003": UNKNOWN}


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
                reported.append(reported_task(job, index, rng.randint(1, 3), state, cause))
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


OPS = {Action.START: "start", Action.STOP: "stop", Action.FORGET: "forget"}


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
            assert concluded == (action is Action.CONCLUDE or session_over), (drawn, key)
        assert ordered == expected, drawn

    run_scenario(scenario)


# -- batches, brake, settings ----------------------------------------------------------


def test_batches_rise_while_they_settle_and_begin_small_after_one_that_does_not() -> None:
    clock = FakeClock()
    batches = Batches(clock, 1, 10.0)
    machines = [f"n-{n}" for n in range(10)]
    sizes = []
    while machines:
        assert batches.is_due(machines)
        batches.begin(machines)
        sizes.append(len(batches.admitted))
        assert not batches.is_due(machines)
        machines = [m for m in machines if m not in batches.admitted]
    assert sizes == [1, 2, 4, 3]
    assert batches_of(10, 1) == len(sizes)
    stubborn = ["a", "b", "c"]
    batches.begin(stubborn)
    clock.time += 11.0
    assert batches.is_due(stubborn)
    stubborn.append("d")
    batches.begin(stubborn)
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
