from pathlib import Path
from typing import Any

import pytest

from crossmill.cli import main
from crossmill.settings import SettingsError, parse

from .builders import make_settings, settings_table


def test_unknown_fields_are_ignored_and_labels_sorted() -> None:
    settings = parse(settings_table("node-1", novelty={"x": 1}))
    assert settings.labels == ("node-0", "node-1", "node-2")


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"bind": "nowhere"}, "bind"),
        ({"members": [{"label": "x"}]}, "members[0].site"),
        ({"external": {"cloud": "1.2.3.4:5"}}, "external.state"),
        ({"settings": {}}, "settings.workers"),
        ({"label": True}, "label"),
    ],
)
def test_bad_settings_name_the_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(SettingsError, match=field.replace("[", r"\[")):
        parse(settings_table(**change))


def test_crash_and_takeover_fit_into_the_workers_lease() -> None:
    s = make_settings()
    # lease end, the state service's 100 ms, one renewal's length for the takeover itself, and
    # the worker's second to the next node and back
    assert (
        s.controller_lease_ttl_s + 0.1 + 2 * s.lease_renewal_interval_s + 2.0
        < s.worker_lease_s - s.heartbeat_interval_s
    )
    assert s.worker_lease_expiry_s > s.worker_lease_s * 1.0005


def test_bad_file_ends_with_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "x.toml"
    path.write_text('label = "a"\n')
    assert main(["check", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert "settings" in error


def test_cancel_and_its_alias_take_a_job(capsys: pytest.CaptureFixture[str]) -> None:
    for verb in ("cancel", "withdraw"):
        assert main([verb, "wk-000001", "--server", "nowhere"]) == 2
        assert "HOST:PORT" in capsys.readouterr().err


def test_the_bound_on_answers_still_serves_where_cancel_s_is_little_more_than_two_leases() -> None:
    """Reads come at each lease renewal; a bound within a controller lease ends answers early."""
    table = settings_table()
    workers = table["settings"]["workers"]
    workers["cancel_s"] = 2.1 * workers["lease_s"]
    s = parse(table)
    assert s.max_lease_extension_s > 2 * s.controller_lease_ttl_s
    assert (
        s.max_lease_extension_s + s.worker_lease_expiry_s + s.heartbeat_interval_s
        <= s.cancellation_deadline_s
    )
