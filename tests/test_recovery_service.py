"""Recovery's command line and operator API, and the modules that a start loads."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
import tomli_w

from crossmill.app import App
from crossmill.cli import EXIT_USAGE_ERROR, main
from crossmill.net.server import Request
from crossmill.recovery.api import RecoveryApi
from crossmill.recovery.service import RecoveryService
from crossmill.wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body

from .builders import make_settings, settings_table
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .recovery_region import add_recovery, recovery_settings
from .stepped_controller import SteppedController, run_scenario, seed

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = ROOT / "deploy" / "recovery.toml"


@pytest.fixture
def config(tmp_path: Path) -> str:
    path = tmp_path / "settings.toml"
    path.write_text(tomli_w.dumps(settings_table()))
    return str(path)


def test_check_prints_the_limits_that_follow_from_the_file(
    config: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["check", "--config", config, "--recovery", str(DEPLOY)]) == 0
    printed = capsys.readouterr().out
    assert "circuit breaker at 0.2" in printed
    assert "observe_s = 2.000" in printed


@pytest.mark.parametrize("subcommand", ["check", "serve"])
def test_an_invalid_field_is_reported_and_ends_the_command(
    subcommand: str, config: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    bad = tmp_path / "recovery.toml"
    bad.write_text("[recovery]\nbrake_share = 2\n")
    assert main([subcommand, "--config", config, "--recovery", str(bad)]) == EXIT_USAGE_ERROR
    assert "recovery.brake_share" in capsys.readouterr().err


def test_a_start_without_the_file_loads_nothing_of_recovery() -> None:
    script = """
import sys
import crossmill.cli, crossmill.app
from tests.builders import make_settings
from tests.fake_clock import FakeClock
app = crossmill.app.App(make_settings(), FakeClock())
assert app.heartbeats.gate is None
print(*(name for name in sys.modules if "recovery" in name))
"""
    command = [sys.executable, "-c", script]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
    assert result.stdout.split() == []


def test_with_the_file_the_command_gate_is_set_from_the_start() -> None:
    app = App(make_settings(), FakeClock(), recovery=recovery_settings())
    assert isinstance(app.heartbeats.gate, RecoveryService)


def test_a_start_with_the_file_does_not_load_hashlib() -> None:
    script = """
import sys
from crossmill.lazy_imports import defer_unused_imports
defer_unused_imports()
import crossmill.app, crossmill.recovery.api, crossmill.recovery.settings
print("hashlib" in sys.modules)
"""
    command = [sys.executable, "-E", "-c", script]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert result.stdout.split() == ["False"], result.stderr


@pytest.mark.parametrize(
    "arguments", [["approve", "-1", "ab"], ["approve", "x", "ab"], ["approve", "0"], []]
)
def test_invalid_arguments_of_the_subcommands_are_rejected(arguments: list[str]) -> None:
    try:
        code: object = main(["recovery", *arguments])
    except SystemExit as exc:
        # the parser itself exits if an argument is missing or has the wrong type
        code = exc.code
    assert code == EXIT_USAGE_ERROR


async def _api(
    state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
) -> RecoveryApi:
    seed(state, clock, machines=1)
    node = SteppedController(state, clock, nodes)
    api = add_recovery(node, recovery_settings())
    await node.boot()
    await api.service.step()
    return api


def test_the_operator_api_responds_by_state_and_request() -> None:
    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        api = await _api(state, clock, nodes)

        async def send(method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
            response = await api.handle(Request(method, path, body))
            return response.status, orjson.loads(response.body)

        status, overview = await send("GET", RECOVERY_PATH)
        assert status == 200
        assert overview["controller"] == "node-0"
        # the machine is recorded as up and has not reported yet
        waiting = {phase["shard"]: phase["waits_for"] for phase in overview["recovering"]}
        assert waiting[0] == "reports of 1 machines"
        approval = approval_body(Approval(0, "ab"))
        assert (await send("POST", APPROVE_PATH, b"{}"))[0] == 400
        assert (await send("POST", APPROVE_PATH, approval))[0] == 409
        assert (await send("PUT", RECOVERY_PATH))[0] == 404

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("GET", RECOVERY_PATH, b""), ("POST", APPROVE_PATH, approval_body(Approval(0, "ab")))],
)
def test_operators_get_retry_after_while_the_state_service_is_down(
    method: str, path: str, body: bytes
) -> None:
    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        api = await _api(state, clock, nodes)
        state.is_down = True
        response = await api.handle(Request(method, path, body))
        assert response.status == 503
        assert response.retry_after_s is not None

    run_scenario(scenario)
