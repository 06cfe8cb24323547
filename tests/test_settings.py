"""Parsing of the settings file and the command line, their errors, and derived time spans."""

from pathlib import Path
from typing import Any

import pytest

from crossmill.arguments import parse as parse_arguments
from crossmill.cli import ServiceArguments, _plain_serve_arguments, main
from crossmill.settings import SettingsError, parse

from .builders import make_settings, settings_table


def test_unknown_fields_are_ignored() -> None:
    table = settings_table("node-1")
    assert parse({**table, "novelty": {"x": 1}}) == parse(table)


def test_labels_are_sorted() -> None:
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
def test_the_error_for_an_invalid_field_names_it(change: dict[str, Any], field: str) -> None:
    with pytest.raises(SettingsError, match=field.replace("[", r"\[")):
        parse(settings_table(**change))


def test_a_crash_and_its_takeover_fit_into_a_worker_lease() -> None:
    settings = make_settings()
    state_service_s, worker_move_s = 0.1, 2.0
    # the expiry is detected within one renewal interval, and the takeover takes another one
    takeover_s = 2 * settings.lease_renewal_interval_s
    assert (
        settings.controller_lease_ttl_s + state_service_s + takeover_s + worker_move_s
        < settings.worker_lease_s - settings.heartbeat_interval_s
    )


def test_worker_lease_expiry_allows_for_the_drift_of_two_clocks() -> None:
    settings = make_settings()
    assert settings.worker_lease_expiry_s > settings.worker_lease_s * 1.0005


def test_an_invalid_file_prints_one_line_and_fails(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "x.toml"
    path.write_text('label = "a"\n')
    assert main(["check", "--config", str(path)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert "settings" in error


@pytest.mark.parametrize("subcommand", ["cancel", "withdraw"])
def test_cancel_and_its_alias_take_a_job(
    subcommand: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main([subcommand, "wk-000001", "--server", "nowhere"]) == 2
    assert "HOST:PORT" in capsys.readouterr().err


def test_lease_extensions_are_useful_if_cancel_s_is_little_more_than_two_worker_leases() -> None:
    """State is read at each renewal; an extension shorter than a controller lease is useless."""
    table = settings_table()
    workers = table["settings"]["workers"]
    workers["cancel_s"] = 2.1 * workers["lease_s"]
    settings = parse(table)
    assert settings.max_lease_extension_s > 2 * settings.controller_lease_ttl_s
    assert (
        settings.max_lease_extension_s
        + settings.worker_lease_expiry_s
        + settings.heartbeat_interval_s
        <= settings.cancellation_deadline_s
    )


@pytest.mark.parametrize(
    "argv",
    [
        ["serve", "--config", "a.toml"],
        ["serve", "--recovery", "r.toml", "--config", "a.toml", "--multihost", "m.toml"],
    ],
)
def test_the_plain_form_of_serve_is_parsed_as_by_argparse(argv: list[str]) -> None:
    parsed = parse_arguments(argv)
    expected = ServiceArguments(parsed.subcommand, parsed.config, parsed.multihost, parsed.recovery)
    assert _plain_serve_arguments(argv) == expected


@pytest.mark.parametrize(
    "argv",
    [
        [],
        ["serve"],
        ["serve", "--config"],
        ["serve", "--config=a.toml"],
        ["serve", "--config", "--recovery"],
        ["serve", "--recovery", "r.toml"],
        ["serve", "--config", "a.toml", "--config", "b.toml"],
        ["serve", "--config", "a.toml", "--unknown", "b"],
        ["serve", "--config", "a.toml", "rest"],
        ["check", "--config", "a.toml"],
    ],
)
def test_any_other_form_is_left_to_argparse(argv: list[str]) -> None:
    assert _plain_serve_arguments(argv) is None
