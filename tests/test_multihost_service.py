"""The operators' interface, the pool at size, and other versions beside it."""

import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import curio
import curio.socket as socket
import orjson
import pytest

from crossmill.cluster import keys as cluster_keys
from crossmill.multihost import keys, scheduling
from crossmill.multihost.model import Member, Replica, ReplicaId
from crossmill.multihost.phases import Phase
from crossmill.multihost.records import encode_chunk, encode_replica, reservation_record
from crossmill.multihost.service import MultihostService
from crossmill.net.server import Server
from crossmill.settings import Endpoint
from crossmill.wire.multihost import MemberReport, MemberState

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_pool import add_ready_pairs, all_beat, booted_pool, heartbeat_of
from .multihost_region import SETTINGS, MultihostRegion, simulate_multihost
from .stepped_controller import SteppedController, add_job, run_scenario, seed

ROOT = Path(__file__).resolve().parent.parent
Nodes = dict[str, SteppedController]
DECLARED = {
    "members": 2,
    "replicas": 1,
    "cpus": 16,
    "gpus": 4,
    "memory_gb": 64,
    "image": "weights",
    "image_gb": 1,
}


def test_operators_get_answers_that_say_what_is_wrong() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)

        async def put(name: str, body: Any) -> tuple[int, Any]:
            answer: tuple[int, Any] = await region.operate("PUT", f"replica-sets/{name}", body)
            return answer

        assert (await put("chat", DECLARED | {"members": 0}))[1]["field"] == "members"
        assert (await put("Chat", DECLARED))[1]["field"] == "name"
        assert (await put("chat", [1]))[0] == 400
        status, answer = await put("chat", DECLARED | {"members": 5})
        assert status == 422
        assert "the pool has 4" in answer["error"]
        assert (await put("chat", DECLARED))[0] == 201
        assert (await put("chat", DECLARED | {"min_ready": 1}))[0] == 200
        status, answer = await put("chat", DECLARED | {"image": "other"})
        assert status == 409
        assert "min_ready" in answer["error"]
        await region.until_serving("chat/0")
        status, answer = await region.operate("GET", "replicas/chat/0")
        assert (status, answer["phase"], len(answer["members"])) == (200, "ready", 2)
        assert [h["phase"] for h in answer["history"]] == ["pending", "starting", "ready"]
        assert (await region.operate("GET", "replica-sets/chat"))[1]["ready"] == 1
        assert len((await region.operate("GET", "replicas"))[1]["replicas"]) == 1
        machines = (await region.operate("GET", "machines"))[1]["machines"]
        assert sum(m["replicas"] == ["chat/0"] for m in machines) == 2
        for path in ("replica-sets/none", "replicas/chat/9", "odd", "replicas/chat/x"):
            assert (await region.operate("GET", path))[0] == 404
        assert (await region.operate("POST", "machines/none/drain"))[0] == 404
        assert (await region.operate("DELETE", "replica-sets/none"))[0] == 404
        region.state.down = True
        for method, path in (("GET", "replicas"), ("PUT", "replica-sets/more")):
            assert (await region.operate(method, path, DECLARED))[0] == 503

    simulate_multihost(scenario)


def test_a_declaration_through_any_controller_is_seen_by_the_owner() -> None:
    async def scenario(region: MultihostRegion) -> None:
        await region.begin_pool(4)
        other = next(label for label in region.services if label != region.owner())
        status, _ = await region.operate("PUT", "replica-sets/chat", DECLARED, label=other)
        assert status == 201
        await region.until_serving("chat/0")

    simulate_multihost(scenario)


def test_client_verbs_over_a_real_socket() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, service = await booted_pool(state, clock, nodes, machines=4)
        async with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as free:
            free.bind(("127.0.0.1", 0))
            port = int(free.getsockname()[1])
        server = Server(Endpoint("127.0.0.1", port), service.handle, 8, 60.0, kept_heads=8)
        await curio.spawn(server.run, daemon=True)
        await curio.sleep(0.05)

        async def verb(*args: str) -> subprocess.CompletedProcess[str]:
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

        declared = await verb("declare", "chat", "-")
        assert declared.returncode == 0, declared.stderr
        await node.sync()
        shown = await verb("sets")
        assert orjson.loads(shown.stdout)["replica_sets"][0]["name"] == "chat"
        assert (await verb("drain", "m-1")).returncode == 0
        assert (await verb("show", "chat/7")).returncode == 1
        assert (await verb("show", "chat")).returncode == 2

    run_scenario(scenario)


# -- at size -------------------------------------------------------------------------


@pytest.mark.parametrize("machines", [100, 1000, 4000])
def test_a_round_looks_only_at_what_has_changed(
    machines: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    counts: Counter[str] = Counter()
    real = scheduling.Scheduler._candidate

    def counted(*args: Any) -> Any:
        counts["candidates"] += 1
        return real(*args)

    monkeypatch.setattr(scheduling.Scheduler, "_candidate", counted)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        add_ready_pairs(state, clock, machines // 2)
        node, service = await booted_pool(state, clock, nodes, machines)

        async def round_looks() -> int:
            before = service.coordinator.looks
            ownership = node.membership.command_ownership(SETTINGS.pool_shard)
            assert ownership is not None
            await service.coordinator.round(ownership)
            return service.coordinator.looks - before

        all_beat(node, service, machines, 1)
        assert await round_looks() == machines // 2
        transactions = service.writes.transactions
        clock.time += 0.9
        await node.renew_and_sync()
        all_beat(node, service, machines, 2)
        assert await round_looks() == 0
        # one member fails: its replica alone is looked at, and machines only while one waits
        failed = MemberReport("chat/3", 1, 1, MemberState.FAILED)
        service.heartbeats.handle(heartbeat_of(node, 7, 3, failed))
        assert await round_looks() == 1
        assert counts["candidates"] == 0
        # its record has changed, and it waits for room
        assert await round_looks() == 1
        assert counts["candidates"] == machines
        assert service.writes.transactions - transactions <= 2
        assert len(service.agents) == machines

    run_scenario(scenario)


def test_a_machine_whose_answers_are_lost_is_called_silent_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    # guards against a line, and a look at its replicas, in every round of a new owner
    caplog.set_level("INFO")

    def lines() -> int:
        return sum("agent heartbeats missed" in record.getMessage() for record in caplog.records)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, service = await booted_pool(state, clock, nodes, machines=2)
        # it reaches the new owner, whose answer does not reach it
        service.heartbeats.handle(heartbeat_of(node, 0, 1)._replace(proof=None))
        for seen in (0, 0, 0, 1, 1, 1):
            clock.time += 2.0
            await node.renew_and_sync()
            ownership = node.membership.command_ownership(SETTINGS.pool_shard)
            assert ownership is not None
            await service.coordinator.round(ownership)
            await service.coordinator.round(ownership)
            assert lines() == seen

    run_scenario(scenario)


def test_a_service_begun_late_knows_what_was_there_before() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        add_ready_pairs(state, clock, 3)
        node, early = await booted_pool(state, clock, nodes, machines=6)
        late = MultihostService(
            node.settings,
            SETTINGS,
            clock,
            node.cluster,
            node.membership,
            node.watcher,
            node.writer,
            "late",
        )
        assert len(late.pool.replicas) == 3
        assert late.pool.replicas.keys() == early.pool.replicas.keys()
        assert {m: set(x.planned) for m, x in late.pool.machines.items()} == {
            m: set(x.planned) for m, x in early.pool.machines.items()
        }

    run_scenario(scenario)


# -- other versions ------------------------------------------------------------------


def test_a_controller_without_the_file_leaves_the_pool_alone() -> None:
    """What older versions do with the keys, and with machines of a type that no catalog has."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        record = reservation_record("g4", "north", False, 0, clock.wall())
        state.put(cluster_keys.machine("m-0"), record)
        state.put(keys.machine("m-0"), {"zone": "north"})
        replica = Replica(ReplicaId("chat", 0), Phase.READY, 1, 1)
        state.put(keys.replica(replica.id), encode_replica(replica))
        state.put(keys.members(replica.id, 0), encode_chunk(1, (Member(0, "m-0", 1, 1),)))
        add_job(state, clock, sacks=9)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        stored = {k: v for k, v in state.keys.items() if k.startswith(keys.PREFIX)}
        # the cloud lists it for long: it is neither adopted nor returned
        node.cloud.listed = [
            {
                "nameId": "m-0",
                "address": "127.0.0.1:1",
                "frame": "g4",
                "yard": "north",
                "loaners": False,
                "stage": "running",
                "heldS": 9999.0,
            }
        ]
        for sequence in range(1, 40):
            clock.time += node.settings.worker_lease_s / 4
            await node.controller_lease.step()
            await node.sync()
            await node.membership.step()
            node.report("n-0", 1, sequence, node.token())
            # an ordinary worker on the machine, should there be one, is told nothing either
            answer = node.report("m-0", 1, sequence, node.token())
            assert answer.commands == ()
            await node.round()
            if node.membership.leadership_version() is not None:
                await node.provisioner._step()
        assert not node.cluster.machines["m-0"].attempts
        assert len(node.cluster.machines["n-0"].attempts) > 0
        # that its ordinary worker reports is noted, and nothing else
        assert state.keys[cluster_keys.machine("m-0")][0] == record | {"up": True}
        assert {k: v for k, v in state.keys.items() if k.startswith(keys.PREFIX)} == stored
        assert "m-0" not in node.cloud.released

    run_scenario(scenario)


def test_a_machine_with_ordinary_tasks_or_on_its_way_out_does_not_join() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node, service = await booted_pool(state, clock, nodes, machines=0)
        seed(state, clock, machines=2)
        add_job(state, clock, sacks=1)
        await node.sync()
        token = node.token()
        node.report("n-0", 1, 1, token)
        node.report("n-0", 1, 2, token)
        await node.round()
        await node.sync()
        ownership = node.membership.command_ownership(0)
        assert ownership is not None
        assert node.cluster.machines["n-0"].attempts
        for machine in ("n-0", "n-1", "n-2"):
            service.heartbeats.handle(heartbeat_of(node, 0, 1)._replace(machine=machine))
        await service.coordinator.round(ownership)
        # the busy one stays; the empty one and the unknown one are taken in
        assert sorted(service.pool.machines) == ["n-1", "n-2"]
        assert state.keys[cluster_keys.machine("n-1")][0]["type"] == "multihost/g4"
        assert state.keys[cluster_keys.machine("n-0")][0]["type"] == "g4"

    run_scenario(scenario)
