"""The operators' API for multi-machine replicas."""

import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import orjson
import pytest
from curio import socket

from crossmill.net.server import Server
from crossmill.settings import Endpoint

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_pool import (
    booted_pool,
)
from .multihost_region import MultihostRegion, simulate_multihost
from .stepped_controller import SteppedController, run_scenario

ROOT = Path(__file__).resolve().parent.parent


Nodes = dict[str, SteppedController]


Scenario = Callable[[MultihostRegion], Awaitable[None]]


DECLARED = {
    "members": 2,
    "replicas": 1,
    "cpus": 16,
    "gpus": 4,
    "memory_gb": 64,
    "image": "weights",
    "image_gb": 1,
}


def _run_with_pool(scenario: Scenario) -> None:
    """Run a scenario with a pool of four machines."""

    async def run(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        await scenario(region)

    simulate_multihost(run)


async def _put(region: MultihostRegion, name: str, body: Any) -> tuple[int, Any]:
    response: tuple[int, Any] = await region.operate("PUT", f"replica-sets/{name}", body)
    return response


@pytest.mark.parametrize(
    ("name", "body", "field"),
    [("chat", DECLARED | {"members": 0}, "members"), ("Chat", DECLARED, "name")],
)
def test_the_response_to_an_invalid_declaration_names_the_field(
    name: str, body: Any, field: str
) -> None:
    async def scenario(region: MultihostRegion) -> None:
        assert (await _put(region, name, body))[1]["field"] == field

    _run_with_pool(scenario)


def test_a_declaration_that_is_not_an_object_is_rejected() -> None:
    async def scenario(region: MultihostRegion) -> None:
        assert (await _put(region, "chat", [1]))[0] == 400

    _run_with_pool(scenario)


def test_a_declaration_that_exceeds_the_pool_is_rejected() -> None:
    async def scenario(region: MultihostRegion) -> None:
        status, response = await _put(region, "chat", DECLARED | {"members": 5})
        assert status == 422
        assert "the pool has 4" in response["error"]

    _run_with_pool(scenario)


def test_only_mutable_fields_of_a_declared_set_can_change() -> None:
    async def scenario(region: MultihostRegion) -> None:
        assert (await _put(region, "chat", DECLARED))[0] == 201
        assert (await _put(region, "chat", DECLARED | {"min_ready": 1}))[0] == 200
        status, response = await _put(region, "chat", DECLARED | {"image": "other"})
        assert status == 409
        assert "min_ready" in response["error"]

    _run_with_pool(scenario)


def test_a_replica_is_shown_with_its_members_and_history() -> None:
    async def scenario(region: MultihostRegion) -> None:
        assert (await _put(region, "chat", DECLARED))[0] == 201
        await region.until_serving("chat/0")
        status, response = await region.operate("GET", "replicas/chat/0")
        assert (status, response["phase"], len(response["members"])) == (200, "ready", 2)
        assert [h["phase"] for h in response["history"]] == ["pending", "starting", "ready"]

    _run_with_pool(scenario)


def test_sets_replicas_and_machines_are_listed() -> None:
    async def scenario(region: MultihostRegion) -> None:
        assert (await _put(region, "chat", DECLARED))[0] == 201
        await region.until_serving("chat/0")
        assert (await region.operate("GET", "replica-sets/chat"))[1]["ready"] == 1
        assert len((await region.operate("GET", "replicas"))[1]["replicas"]) == 1
        machines = (await region.operate("GET", "machines"))[1]["machines"]
        assert sum(m["replicas"] == ["chat/0"] for m in machines) == 2

    _run_with_pool(scenario)


@pytest.mark.parametrize(
    ("method", "path"),
    [
        ("GET", "replica-sets/none"),
        ("GET", "replicas/chat/9"),
        ("GET", "odd"),
        ("GET", "replicas/chat/x"),
        ("POST", "machines/none/drain"),
        ("DELETE", "replica-sets/none"),
    ],
)
def test_requests_for_unknown_resources_are_answered_with_404(method: str, path: str) -> None:
    async def scenario(region: MultihostRegion) -> None:
        assert (await _put(region, "chat", DECLARED))[0] == 201
        await region.until_serving("chat/0")
        assert (await region.operate(method, path))[0] == 404

    _run_with_pool(scenario)


@pytest.mark.parametrize(("method", "path"), [("GET", "replicas"), ("PUT", "replica-sets/more")])
def test_requests_are_answered_with_503_during_an_outage_of_the_state_service(
    method: str, path: str
) -> None:
    async def scenario(region: MultihostRegion) -> None:
        assert (await _put(region, "chat", DECLARED))[0] == 201
        await region.until_serving("chat/0")
        region.state.is_down = True
        assert (await region.operate(method, path, DECLARED))[0] == 503

    _run_with_pool(scenario)


def test_the_owner_acts_on_a_declaration_that_another_controller_accepted() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        other = next(label for label in region.services if label != region.owner())
        status, _ = await region.operate("PUT", "replica-sets/chat", DECLARED, label=other)
        assert status == 201
        await region.until_serving("chat/0")

    simulate_multihost(scenario)


def test_subcommands_reach_a_controller_over_a_socket() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, service = await booted_pool(state, clock, nodes, machines=4)
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as free:
            free.bind(("127.0.0.1", 0))
            port = int(free.getsockname()[1])
        server = Server(Endpoint("127.0.0.1", port), service.handle, 8, 60.0, max_cached_heads=8)
        await curio.spawn(server.run, daemon=True)
        await curio.sleep(0.05)

        async def subcommand(*args: str) -> subprocess.CompletedProcess[str]:
            command = [sys.executable, "run.py", "replicas", *args]
            command += ["--server", f"127.0.0.1:{port}"]
            result: subprocess.CompletedProcess[str] = await curio.run_in_thread(
                lambda: subprocess.run(
                    command,
                    cwd=ROOT,
                    input=orjson.dumps(DECLARED).decode(),
                    capture_output=True,
                    text=True,
                    timeout=30,
                )
            )
            return result

        declared = await subcommand("declare", "chat", "-")
        assert declared.returncode == 0, declared.stderr
        await node.sync()
        shown = await subcommand("sets")
        assert orjson.loads(shown.stdout)["replica_sets"][0]["name"] == "chat"
        assert (await subcommand("drain", "m-1")).returncode == 0
        assert (await subcommand("show", "chat/7")).returncode == 1
        assert (await subcommand("show", "chat")).returncode == 2

    run_scenario(scenario)
