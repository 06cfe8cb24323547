"""README's quick start works on a fresh clone, and links between pages point to existing files.

The commands run with PYTHONDONTWRITEBYTECODE set, as in many container images.
"""

import os
import re
import shlex
import shutil
import subprocess
import sys
import threading
from importlib.util import find_spec
from pathlib import Path

import pytest
import tomli_w

from .builders import settings_table
from .loopback import free_ports

ROOT = Path(__file__).resolve().parent.parent
INSTALL = "pip install"
SETTINGS_FILE = "my-settings.toml"
# packages that requirements.txt installs, and the timeout of a command in seconds, also on a loaded
# machine
LIBRARIES = ("curio", "h11", "orjson")
TIMEOUT_S = 60.0
LINK = re.compile(r"\]\(([^)#:]+)\)")
COMMAND = re.compile(r"^ {4}(python3 .*?)(?: {2,}#.*)?$", re.MULTILINE)


def _quick_start() -> list[str]:
    """Return the commands of the section "Quick start" in order, without comments."""
    section = (ROOT / "README.md").read_text().split("## Quick start\n")[1].split("\n## ")[0]
    return COMMAND.findall(section)


def _environment() -> dict[str, str]:
    """Return an environment without bytecode writing, where `python3` is the tests' interpreter."""
    path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    return {**os.environ, "PATH": path, "PYTHONDONTWRITEBYTECODE": "1"}


def _link_libraries(checkout: Path) -> None:
    """Link the packages of the tests' environment into the folder of the install command.

    This replaces that command, since tests do not use the network.
    """
    target = checkout / "target" / "deps"
    target.mkdir(parents=True)
    for name in LIBRARIES:
        spec = find_spec(name)
        assert spec is not None
        assert spec.origin is not None
        (target / name).symlink_to(Path(spec.origin).parent)


@pytest.fixture(scope="module")
def checkout(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Copy the tracked files of the working tree and add a settings file; return the folder."""
    root = tmp_path_factory.mktemp("clone")
    listed = subprocess.run(
        ["git", "ls-files", "-z"], cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout
    for name in filter(None, listed.split("\0")):
        if (ROOT / name).is_file():
            (root / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(ROOT / name, root / name)
    bind, peer_listen, state, cloud = free_ports(4)
    table = settings_table(
        bind=f"127.0.0.1:{bind}",
        peer_listen=f"127.0.0.1:{peer_listen}",
        members=[],
        external={"cloud": f"127.0.0.1:{cloud}", "state": f"127.0.0.1:{state}"},
    )
    (root / SETTINGS_FILE).write_text(tomli_w.dumps(table))
    return root


def _starts_controller(checkout: Path, command: list[str]) -> bool:
    """Run the command until it logs the start of a controller; return whether it did."""
    process = subprocess.Popen(
        command, cwd=checkout, env=_environment(), stderr=subprocess.PIPE, text=True
    )
    assert process.stderr is not None
    timeout = threading.Timer(TIMEOUT_S, process.kill)
    timeout.start()
    try:
        return any("starting controller=" in line for line in process.stderr)
    finally:
        timeout.cancel()
        process.kill()
        process.wait()
        process.stderr.close()


def test_the_quick_start_works_on_a_fresh_clone_where_no_bytecode_may_be_written(
    checkout: Path,
) -> None:
    commands = _quick_start()
    install = [command for command in commands if INSTALL in command]
    run = [command for command in commands if INSTALL not in command]
    assert len(install) == 1
    assert "--target target/deps -r requirements.txt" in install[0]
    assert commands[0] == install[0]
    _link_libraries(checkout)
    assert run
    *steps, serve = (shlex.split(command) for command in run)
    for step in steps:
        result = subprocess.run(
            step,
            cwd=checkout,
            env=_environment(),
            capture_output=True,
            text=True,
            check=False,
            timeout=TIMEOUT_S,
        )
        assert result.returncode == 0, f"{shlex.join(step)}: {result.stderr}"
    assert _starts_controller(checkout, serve)


def test_the_quick_start_has_the_build_command_of_the_deploy_file() -> None:
    build = (ROOT / "deploy" / "service.toml").read_text()
    compiling = [command for command in _quick_start() if "compile" in command]
    assert len(compiling) == 1
    assert compiling[0] in build


@pytest.mark.parametrize("page", ["README.md", "CONTRIBUTING.md", "docs/*.md"])
def test_links_between_pages_point_to_existing_files(page: str) -> None:
    missing = [
        f"{path.relative_to(ROOT)}: {link}"
        for path in ROOT.glob(page)
        for link in LINK.findall(path.read_text())
        if not (path.parent / link).exists()
    ]
    assert missing == []
