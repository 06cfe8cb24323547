"""Unit tests of recovery's phases, batches, circuit breaker, settings and approvals."""

import pytest

from crossmill.recovery.circuit_breaker import ActionCounts, digest_of, is_mass_action
from crossmill.recovery.classification import TaskClass
from crossmill.recovery.differences import Difference
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

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .recovery_region import recovery_settings
from .stepped_controller import SteppedController, run_scenario, seed


@pytest.mark.parametrize("old", RecoveryPhase)
@pytest.mark.parametrize("new", RecoveryPhase)
def test_only_the_listed_phase_transitions_are_permitted(
    old: RecoveryPhase, new: RecoveryPhase
) -> None:
    if new in TRANSITIONS[old]:
        check_transition(old, new)
    else:
        with pytest.raises(RecoveryTransitionError):
            check_transition(old, new)


def test_batches_double_until_one_times_out() -> None:
    clock = FakeClock()
    batches = MachineBatches(clock, 1, 10.0)
    machines = [f"n-{n}" for n in range(10)]
    sizes = []
    while machines:
        assert batches.is_next_due(machines)
        batches.start_next(machines)
        sizes.append(len(batches.current_batch))
        assert not batches.is_next_due(machines)
        machines = [m for m in machines if m not in batches.current_batch]
    assert sizes == [1, 2, 4, 3]
    assert count_batches(10, 1) == len(sizes)
    unresolved = ["a", "b", "c"]
    batches.start_next(unresolved)
    clock.time += 11.0
    assert batches.is_next_due(unresolved)
    unresolved.append("d")
    batches.start_next(unresolved)
    assert batches.current_batch == {"d"}


def _action_counts(stops: int = 0, restarts: int = 0, releases: int = 0) -> ActionCounts:
    return ActionCounts(stops, restarts, releases, tasks_known=100, machines_known=40)


@pytest.mark.parametrize(
    ("counts", "is_mass"),
    [
        (_action_counts(stops=20), False),
        (_action_counts(stops=15, restarts=6), True),
        (_action_counts(releases=8), False),
        (_action_counts(releases=9), True),
        (ActionCounts(5, 0, 0, 6, 1), False),
        (ActionCounts(6, 0, 0, 6, 1), True),
    ],
)
def test_a_mass_action_is_measured_in_tasks_and_machines(
    counts: ActionCounts, is_mass: bool
) -> None:
    assert is_mass_action(counts, recovery_settings()) is is_mass


def test_a_digest_identifies_exactly_the_blocked_actions() -> None:
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
def test_an_invalid_field_is_reported_by_name(field: str, value: object) -> None:
    with pytest.raises(SettingsError, match=f"recovery.{field}"):
        recovery_settings(**{field: value})


def test_the_rates_of_all_shards_add_up_to_that_of_the_region() -> None:
    settings = recovery_settings(orders_per_s=12.0)
    assert settings.shard_orders_per_s * settings.controller_count == pytest.approx(12.0)


@pytest.mark.parametrize("body", [b"{}", b'{"shard":-1,"digest":"a"}', b'{"shard":0}', b"["])
def test_an_invalid_approval_is_rejected(body: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        parse_approval(body)
    approval = Approval(2, "ab")
    assert parse_approval(approval_body(approval)) == approval


def test_a_token_is_raised_above_the_one_that_a_worker_has_seen() -> None:
    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        # the state service was restored from a backup: the counter is lower than what workers saw
        seen = node.cluster.token_counter() + 400
        assert node.report("n-0", 1, 1, seen).status == 503
        await node.membership.step()
        assert node.token() == seen + 1
        assert node.report("n-0", 1, 2, seen).token == seen + 1

    run_scenario(scenario)
