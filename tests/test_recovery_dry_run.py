"""Recovery's dry run, invalid recovery files, and stored values of other versions.

In a dry run no order is delayed, and the orders that a regular recovery would delay are counted.
"""

from pathlib import Path

import curio
import pytest
import tomli_w

from crossmill.cli import EXIT_USAGE_ERROR, main
from crossmill.recovery import keys
from crossmill.recovery.records import BreakerStateReader
from crossmill.recovery.settings import RecoverySettings
from crossmill.state.mirror import Mirror
from crossmill.wire.checks import load_object
from crossmill.wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body

from .builders import settings_table
from .recovery_region import (
    RecoveryRegion,
    add_unplanned_task,
    is_unplanned_task_violation,
    recovery_settings,
    simulate_recovery,
)


async def _restart_with_differences(region: RecoveryRegion) -> None:
    """Restart all controllers; during the outage a fifth of the machines gets unplanned tasks."""
    await region.start_region(machines=0)
    for number in range(20):
        await region.add_worker(f"n-{number:02d}", ("north", "south")[number % 2], number % 3)
    await region.start_services(10)
    await region.kill_all()
    for number in range(0, 20, 5):
        add_unplanned_task(region.workers[f"n-{number:02d}"], "wk-000000", 90 + number, 7)
    region.clear_orders()
    await curio.sleep(2.0)
    await region.start_all()
    await region.wait_until(lambda: len(region.owners()) == 3, 30.0)
    await curio.sleep(30.0)


def _timeline(recovery: RecoverySettings | None) -> dict[str, list[tuple[float, str]]]:
    """Return the times and verbs of the orders by worker."""
    region = simulate_recovery(_restart_with_differences, recovery, is_unplanned_task_violation)
    return {
        worker.machine: [(round(at, 1), order["verb"]) for at, _, order in worker.received_commands]
        for worker in region.workers.values()
        if worker.received_commands
    }


def test_a_dry_run_sends_the_same_orders_at_the_same_times() -> None:
    plain = _timeline(None)
    assert sum(len(orders) for orders in plain.values()) >= 4
    assert _timeline(recovery_settings(dry_run=True)) == plain
    # without the dry run the orders are delayed
    assert _timeline(recovery_settings()) != plain


def test_a_dry_run_counts_orders_beyond_the_limits_and_accepts_no_approval() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _restart_with_differences(region)
        label = next(iter(region.nodes))
        overview = load_object((await region.request(label, "GET", RECOVERY_PATH)).body)
        assert overview["braked"] == []
        assert all(phase["is_dry_run"] for phase in overview["recovering"])
        records = [record for record in overview["records"] if record["dry_run"]]
        assert len(records) == len(overview["records"]) >= 3
        assert sum(sum(record["let_through"].values()) for record in records) > 0
        approval = approval_body(Approval(0, "ab"))
        assert (await region.request(label, "POST", APPROVE_PATH, approval)).status == 409

    simulate_recovery(scenario, recovery_settings(dry_run=True), is_unplanned_task_violation)


@pytest.mark.parametrize(
    ("text", "expected_name"),
    [
        ("[recovery]\nbrake_shares = 0.2\n", "recovery.brake_shares"),
        ('[recovery]\ndry_run = "yes"\n', "recovery.dry_run"),
        ("[recovery]\norders_per_s = true\n", "recovery.orders_per_s"),
        ("[recovery]\norders_per_s = 0\n", "recovery.orders_per_s"),
        ("[recovery]\nbrake_share = -0.1\n", "recovery.brake_share"),
        ("[recover]\n", "recover"),
        ("recovery = 3\n", "recovery"),
    ],
)
def test_check_reports_the_invalid_field_of_the_file(
    text: str, expected_name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config, bad = tmp_path / "settings.toml", tmp_path / "recovery.toml"
    config.write_text(tomli_w.dumps(settings_table()))
    bad.write_text(text)
    assert main(["check", "--config", str(config), "--recovery", str(bad)]) == EXIT_USAGE_ERROR
    error = capsys.readouterr().err.strip()
    assert expected_name in error
    assert "\n" not in error


def test_check_prints_that_it_is_a_dry_run(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config, recovery = tmp_path / "settings.toml", tmp_path / "recovery.toml"
    config.write_text(tomli_w.dumps(settings_table()))
    recovery.write_text("[recovery]\ndry_run = true\n")
    assert main(["check", "--config", str(config), "--recovery", str(recovery)]) == 0
    assert "dry run" in capsys.readouterr().out


def test_values_of_a_later_version_are_kept_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    later_values = {
        keys.breaker(0): {"shard": 0, "token": 1, "digest": "ab", "zones": {}},
        keys.approval(0): {"token": 1, "digest": "ab", "until": 1e12, "by": "somebody"},
        keys.RECORD + "0/by-zone/7": {"shard": 0},
        keys.record(0, 7): {"shard": 0, "token": 7, "zones": {}},
    }

    async def scenario(region: RecoveryRegion) -> None:
        for key, value in later_values.items():
            region.state.put(key, value)
        await _restart_with_differences(region)
        label = next(iter(region.nodes))
        response = await region.request(label, "GET", RECOVERY_PATH)
        assert response.status == 200
        assert load_object(response.body)["braked"] == []
        approval = approval_body(Approval(0, "ab"))
        assert (await region.request(label, "POST", APPROVE_PATH, approval)).status == 409
        stored = {key: region.state.keys[key][0] for key in later_values}
        assert stored == later_values
        await region.wait_until(region.is_steady, 60.0)

    with caplog.at_level("WARNING"):
        simulate_recovery(scenario, recovery_settings(), is_unplanned_task_violation)
    messages = [record.getMessage() for record in caplog.records]
    for key in (keys.breaker(0), keys.RECORD + "0/by-zone/7"):
        assert any(key in message for message in messages), key


@pytest.mark.parametrize(
    ("value", "is_read"),
    [
        ({"token": 1, "digest": "ab", "until": 5}, True),
        ({"token": 1, "digest": "ab", "until": 5.0, "by": "somebody"}, False),
        ({"token": 1, "digest": "ab"}, False),
        ({"token": "1", "digest": "ab", "until": 5.0}, False),
        ([1, "ab", 5.0], False),
    ],
)
def test_an_approval_is_read_only_in_the_form_of_this_version(value: object, is_read: bool) -> None:
    mirror = Mirror()
    mirror.apply_write(keys.approval(0), value, 1)
    reader = BreakerStateReader(mirror)
    assert (reader.approval(0) is not None) is is_read
    assert reader.is_unreadable(keys.approval(0)) is not is_read
