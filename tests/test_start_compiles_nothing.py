"""A controller that is started by the command in deploy/service.toml compiles no source files.

With a small share of a processor, compiling takes longer than the rest of the start.
"""

import os
import shlex
import shutil
import subprocess
import sys
import time
import tomllib
from importlib.util import find_spec
from pathlib import Path
from typing import NamedTuple

import curio
import orjson
import pytest
import tomli_w

from crossmill.net.client import Client, ConnectionFailedError, NoResponseError
from crossmill.settings import Endpoint
from crossmill.wire.users import JOBS_PATH
from crossmill.wire.workers import HEARTBEAT_PATH

from .builders import heartbeat_body, settings_table, submission
from .fake_clock import FakeClock
from .fake_cloud import CloudService
from .fake_state_service import StateService
from .loopback import free_ports, serving
from .stepped_controller import seed

ROOT = Path(__file__).resolve().parent.parent
LIBRARIES = ("curio", "h11", "orjson")
# timeout in seconds for a start and its first responses, also on a loaded machine
TIMEOUT_S = 60.0
RETRY_S = 0.1

# Runs the program and records the source files that it compiles, without writing to the bytecode
# cache. run.py is not recorded, since Python always compiles a script.
COMPILE_RECORDER = """
import sys
sys.dont_write_bytecode = True
record = open({record!r}, "a", buffering=1)
def hook(event, args):
    if event == "compile" and str(args[1]).endswith(".py") and args[1] != "run.py":
        record.write(args[1] + chr(10))
sys.addaudithook(hook)
sys.argv = ["run.py", *sys.argv[1:]]
__file__ = {program!r}
exec(compile(open(__file__).read(), "run.py", "exec"))
"""


@pytest.fixture(scope="module")
def checkout(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return a clean checkout with its libraries, built by the command of the deploy file."""
    root = tmp_path_factory.mktemp("checkout")
    for folder in ("crossmill", "deploy"):
        shutil.copytree(ROOT / folder, root / folder, ignore=shutil.ignore_patterns("__pycache__"))
    for file in ("run.py", "requirements.txt"):
        shutil.copy2(ROOT / file, root / file)
    for name in LIBRARIES:
        spec = find_spec(name)
        assert spec is not None
        assert spec.origin is not None
        shutil.copytree(
            Path(spec.origin).parent,
            root / "target" / "deps" / name,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
    # newer than requirements.txt, so that the build installs nothing
    os.utime(root / "target" / "deps")
    _build(root)
    return root


def _environment() -> dict[str, str]:
    """Return an environment where the deploy file's commands use the interpreter of the tests."""
    return {**os.environ, "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}"}


def _deploy_file(root: Path) -> dict[str, str]:
    return tomllib.loads((root / "deploy" / "service.toml").read_text())


def _build(root: Path) -> None:
    subprocess.run(
        _deploy_file(root)["build"], shell=True, check=True, cwd=root, env=_environment()
    )


def _start_recorded(root: Path, record: Path, *arguments: str) -> subprocess.Popen[bytes]:
    """Start the program by the deploy file's command and record the files that it compiles."""
    command = shlex.split(_deploy_file(root)["run"])
    program = command.index("run.py")
    script = COMPILE_RECORDER.format(record=str(record), program=str(root / "run.py"))
    command[program : program + 1] = ["-c", script]
    return subprocess.Popen([*command, *arguments], cwd=root, env=_environment())


class LoopbackServices:
    """The settings and fake services of a real controller on loopback."""

    def __init__(self) -> None:
        self.state, self.cloud = StateService(), CloudService()
        seed(self.state, FakeClock())
        self.user_port, self.peer_port, self.state_port, self.cloud_port = free_ports(4)
        self.settings = settings_table(
            bind=f"127.0.0.1:{self.user_port}",
            peer_listen=f"127.0.0.1:{self.peer_port}",
            members=[],
            external={
                "cloud": f"127.0.0.1:{self.cloud_port}",
                "state": f"127.0.0.1:{self.state_port}",
            },
        )

    async def use_controller(self) -> None:
        """Send requests as a worker and as a user until the controller responds to each."""
        client = Client(Endpoint("127.0.0.1", self.user_port), max_sockets=4)
        job = submission()
        for method, path, body, expected_status in (
            ("GET", "/healthz", b"", 200),
            ("POST", HEARTBEAT_PATH, heartbeat_body("n-0", 1, 1, 0), 200),
            ("POST", JOBS_PATH, orjson.dumps(job), 201),
            ("GET", f"{JOBS_PATH}/{job['nameId']}", b"", 200),
        ):
            await _request_until_status(client, method, path, body, expected_status)


async def _request_until_status(
    client: Client, method: str, path: str, body: bytes, expected_status: int
) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    status: int | str = ""
    while status != expected_status:
        assert time.monotonic() < deadline, f"{path}: {status}"
        try:
            status, _ = await client.request(method, path, body, 2.0)
        except (ConnectionFailedError, NoResponseError) as exc:
            status = repr(exc)
        await curio.sleep(RETRY_S)


class Served(NamedTuple):
    """The files that a controller compiled until its first responses, and a command's output."""

    compiled: list[str]
    output: str


def _serve_once(
    root: Path, folder: Path, *arguments: str, subcommand: tuple[str, ...] = ()
) -> Served:
    services = LoopbackServices()
    config, record = folder / "settings.toml", folder / "compiled"
    config.write_text(tomli_w.dumps(services.settings))
    with (
        serving(services.state, services.state_port),
        serving(services.cloud, services.cloud_port),
    ):
        process = _start_recorded(root, record, str(config), *arguments)
        try:
            curio.run(services.use_controller)
            output = _output_with_shard(root, subcommand, services.peer_port) if subcommand else ""
        finally:
            process.kill()
            process.wait()
    return Served(record.read_text().split(), output)


def _output_with_shard(root: Path, subcommand: tuple[str, ...], port: int) -> str:
    command = [sys.executable, "-S", "-E", "run.py", *subcommand, "--server", f"127.0.0.1:{port}"]
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        result = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=60)
        assert result.returncode == 0, result.stderr
        if '"shard"' in result.stdout:
            return result.stdout
        # the shard was acquired only just before and is not in the output yet
        assert time.monotonic() < deadline, result.stdout
        time.sleep(RETRY_S)


def test_a_built_controller_compiles_nothing(checkout: Path, tmp_path: Path) -> None:
    assert _serve_once(checkout, tmp_path).compiled == []


def test_with_recovery_a_built_controller_compiles_nothing_and_shows_the_recovery(
    checkout: Path, tmp_path: Path
) -> None:
    recovery = str(checkout / "deploy" / "recovery.toml")
    arguments = ("--recovery", recovery)
    served = _serve_once(checkout, tmp_path, *arguments, subcommand=("recovery", "show"))
    assert served.compiled == []
    overview = orjson.loads(served.output)
    assert overview["controller"] == "node-0"
    assert overview["braked"] == []
    shards = [report["shard"] for report in overview["recovering"] + overview["records"]]
    assert 0 in shards


def _run_recorded(root: Path, record: Path, before: str, *arguments: str) -> str:
    """Run the code `before`, then the program with the recorder; return its output."""
    script = before + COMPILE_RECORDER.format(record=str(record), program=str(root / "run.py"))
    command = [sys.executable, "-S", "-E", "-c", script, *arguments]
    result = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=TIMEOUT_S)
    assert result.returncode == 0, result.stderr
    return result.stdout


def test_a_changed_module_is_loaded_from_its_source(checkout: Path, tmp_path: Path) -> None:
    root = tmp_path / "checkout"
    shutil.copytree(checkout, root)
    _build(root)
    assert _run_recorded(root, tmp_path / "built", "", "--version") != "crossmill changed\n"
    assert (tmp_path / "built").read_text() == ""
    changed = root / "crossmill" / "__init__.py"
    changed.write_text(
        '"""A module that was upgraded after the build."""\n__version__ = "changed"\n'
    )
    assert _run_recorded(root, tmp_path / "changed", "", "--version") == "crossmill changed\n"
    assert (tmp_path / "changed").read_text().split() == [str(changed)]


def test_another_release_of_python_does_not_use_the_cache(checkout: Path, tmp_path: Path) -> None:
    _run_recorded(checkout, tmp_path / "same", "", "--version")
    assert (tmp_path / "same").read_text() == ""
    upgraded = "import sys; sys.hexversion += 1 << 16\n"
    _run_recorded(checkout, tmp_path / "upgraded", upgraded, "--version")
    assert str(checkout / "crossmill" / "cli.py") in (tmp_path / "upgraded").read_text().split()


def test_a_cache_that_can_not_be_written_fails_the_build(checkout: Path, tmp_path: Path) -> None:
    root = tmp_path / "checkout"
    shutil.copytree(checkout, root)
    shutil.rmtree(root / "target" / "pyc")
    (root / "target" / "pyc").write_text("not a folder")
    with pytest.raises(subprocess.CalledProcessError):
        _build(root)
