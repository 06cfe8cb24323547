"""Admission of machines to the pool, next to ordinary machines and other program versions."""

from crossmill.cluster import keys as cluster_keys
from crossmill.multihost import keys
from crossmill.multihost.model import Member, Replica, ReplicaId
from crossmill.multihost.phases import ReplicaPhase
from crossmill.multihost.records import encode_chunk, encode_replica, reservation_record

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .multihost_pool import (
    booted_pool,
    make_heartbeat,
)
from .stepped_controller import SteppedController, add_job, run_scenario, seed

Nodes = dict[str, SteppedController]


def test_a_controller_without_the_multihost_file_does_not_modify_the_pool() -> None:
    # like an older version, it does not know the keys, and no catalog lists the machine's type

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        record = reservation_record("g4", "north", False, 0, clock.wall_time())
        state.put(cluster_keys.machine("m-0"), record)
        state.put(keys.machine("m-0"), {"zone": "north"})
        replica = Replica(ReplicaId("chat", 0), ReplicaPhase.READY, 1, 1)
        state.put(keys.replica(replica.id), encode_replica(replica))
        state.put(keys.members(replica.id, 0), encode_chunk(1, (Member(0, "m-0", 1, 1),)))
        add_job(state, clock, sacks=9)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        stored = {k: v for k, v in state.keys.items() if k.startswith(keys.PREFIX)}
        # the cloud has listed the machine for a long time: it is neither adopted nor returned
        node.cloud.listed_machines = [
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
            # an ordinary worker that runs on the machine gets no commands
            response = node.report("m-0", 1, sequence, node.token())
            assert response.commands == ()
            await node.round()
            if node.membership.leadership_version() is not None:
                await node.provisioner.run_once()
        assert not node.cluster.machines["m-0"].attempts
        assert len(node.cluster.machines["n-0"].attempts) > 0
        # the record changes only in the flag set by the ordinary worker's heartbeats
        assert state.keys[cluster_keys.machine("m-0")][0] == record | {"up": True}
        assert {k: v for k, v in state.keys.items() if k.startswith(keys.PREFIX)} == stored
        assert "m-0" not in node.cloud.released

    run_scenario(scenario)


def test_only_machines_without_ordinary_tasks_join() -> None:
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
            service.heartbeats.handle(make_heartbeat(node, 0, 1)._replace(machine=machine))
        await service.coordinator.reconcile(ownership)
        # the busy machine does not join; the idle and the unknown machine do
        assert sorted(service.pool.machines) == ["n-1", "n-2"]
        assert state.keys[cluster_keys.machine("n-1")][0]["type"] == "multihost/g4"
        assert state.keys[cluster_keys.machine("n-0")][0]["type"] == "g4"

    run_scenario(scenario)
