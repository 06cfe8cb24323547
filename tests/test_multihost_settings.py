"""Parsing of the multihost file and the settings derived from it."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from crossmill.cli import main
from crossmill.multihost.settings import load, parse
from crossmill.settings import SettingsError

from .builders import make_settings, settings_table

ROOT = Path(__file__).resolve().parent.parent


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("port_offset", None),
        ("port_offset", 0),
        ("port_offset", 65536),
        ("pool_shard", 3),
        ("heartbeat_s", 0),
        ("idle_ratio", 1.5),
    ],
)
def test_an_error_names_the_invalid_setting(field: str, value: Any) -> None:
    table = {"port_offset": 10, field: value}
    with pytest.raises(SettingsError, match=field):
        parse({"multihost": {k: v for k, v in table.items() if v is not None}}, make_settings())


def test_the_deployed_file_is_valid() -> None:
    settings = load(str(ROOT / "deploy" / "multihost.toml"), make_settings())
    assert settings.listen.port == 8091
    assert settings.heartbeat_interval_s == make_settings().heartbeat_interval_s


def test_leases_outlast_the_detection_of_failures() -> None:
    settings = load(str(ROOT / "deploy" / "multihost.toml"), make_settings())
    assert settings.failure_detection_s < settings.serving_lease_s < settings.agent_lease_s


def test_without_the_flag_no_module_of_the_package_is_loaded() -> None:
    script = "import sys, crossmill.cli, crossmill.app; print(*sys.modules)"
    command = [sys.executable, "-E", "-c", script]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    loaded = result.stdout.split()
    assert "crossmill.app" in loaded, result.stderr
    assert not [name for name in loaded if "multihost" in name]


def test_check_prints_the_limits_that_follow_from_the_file(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config = tmp_path / "settings.toml"
    config.write_text(tomli_w.dumps(settings_table()))
    multihost = str(ROOT / "deploy" / "multihost.toml")
    assert main(["check", "--config", str(config), "--multihost", multihost]) == 0
    assert "serving_lease_s = " in capsys.readouterr().out
