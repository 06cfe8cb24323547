"""Keepalive in a partitioned zone, and the attestations that prove its end.

In most tests node-1 (south) owns a machine in the north, and node-0 is the controller of the north.
"""

import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import ControllerRecord
from crossmill.cluster.shard_acquisition import TOKENS_PER_OWNERSHIP
from crossmill.wire import peers

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .partition_scenario import RUNNING, PartitionScenario, run_settled
from .stepped_controller import (
    InMemoryPeerLink,
    Nodes,
    SteppedController,
    add_machine,
    run_scenario,
)


def test_workers_of_a_partitioned_zone_are_kept_alive_and_not_presumed_lost() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        partition.isolate_zone()
        await partition.pass_time(4)
        await partition.pass_time(2 * partition.settings.worker_lease_s, partition.zone_controller)
        assert partition.planned_attempts() == 1
        assert not partition.owner.cluster.machines["n-0"].retirement_reason
        # the partition ends: node-0 attests that it responded to the machine just now
        partition.end_partition()
        await partition.pass_time(0.9 * partition.settings.worker_lease_s)
        assert partition.planned_attempts() == 1
        await partition.pass_time(0.3 * partition.settings.worker_lease_s)
        assert partition.planned_attempts() == 0

    run_settled(scenario)


def test_keepalive_stops_before_the_absence_of_its_controller_proves_an_expired_lease() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        partition.isolate_zone()
        partition.state.end_lease(partition.zone_controller.controller_lease.lease_id or 0)
        await partition.pass_time(
            partition.settings.partition_keepalive_s - 1, partition.zone_controller
        )
        await partition.pass_time(2)
        assert partition.report_to_zone_controller(900).status == 421
        await partition.pass_time(partition.settings.worker_lease_s - 3)
        assert partition.planned_attempts() == 1
        await partition.pass_time(6)
        assert partition.planned_attempts() == 0

    run_settled(scenario)


def test_a_controller_does_not_keep_a_machine_alive_after_attesting_its_silence() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        # the owner receives no heartbeats and requests attestations; then the zone is partitioned
        await partition.pass_time(partition.settings.heartbeat_timeout_s + 1.5)
        partition.isolate_zone()
        await partition.pass_time(2)
        assert partition.report_to_zone_controller(900).status == 421
        await partition.pass_time(partition.settings.worker_lease_expiry_s)
        assert partition.planned_attempts() == 0

    run_settled(scenario)


async def _begin_unsettled(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> PartitionScenario:
    partition = PartitionScenario(state, clock, nodes)
    await partition.begin()
    return partition


def test_no_keepalive_before_the_controller_has_announced_itself() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        partition = await _begin_unsettled(state, clock, nodes)
        # the previous process may have attested that it does not keep the machine alive
        partition.zone_controller.cluster.controllers["node-0"] = ControllerRecord(-1)
        await partition.zone_controller.partition_protocol.state_sync.refresh()
        assert partition.zone_controller.partition_protocol.state_sync.sent_at is None
        partition.isolate_zone()
        await partition.zone_controller.controller_lease.step()
        assert partition.report_to_zone_controller(900).status == 421

    run_scenario(scenario)


async def _announce_and_settle(partition: PartitionScenario) -> None:
    """Announce node-0 only after a first partition, as if its process had just started."""
    partition.zone_controller.cluster.controllers["node-0"] = ControllerRecord(-1)
    await partition.zone_controller.partition_protocol.state_sync.refresh()
    partition.isolate_zone()
    await partition.zone_controller.controller_lease.step()
    partition.report_to_zone_controller(900)
    partition.end_partition()
    lease_id = partition.zone_controller.controller_lease.lease_id
    partition.zone_controller.cluster.controllers["node-0"] = ControllerRecord(lease_id)
    await partition.zone_controller.controller_lease.step()
    await partition.settle()


async def _isolate_except_from_south(partition: PartitionScenario) -> None:
    """Separate node-0 from the state service while node-1 responds to its probes."""
    partition.isolate_zone()
    partition.nodes["node-1"].is_unreachable = False
    await partition.zone_controller.controller_lease.step()
    await partition.zone_controller.partition_protocol.step()


def test_no_keepalive_while_another_zone_responds() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        partition = await _begin_unsettled(state, clock, nodes)
        await _announce_and_settle(partition)
        await _isolate_except_from_south(partition)
        response = partition.report_to_zone_controller(901)
        assert (response.status, response.redirect) == (421, "node-1")

    run_scenario(scenario)


def test_no_keepalive_under_a_token_that_is_not_known() -> None:
    # an unknown token shows that another controller acts for the machine and can reach it
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        partition = await _begin_unsettled(state, clock, nodes)
        await _announce_and_settle(partition)
        await _isolate_except_from_south(partition)
        partition.isolate_zone()
        partition.zone_controller.partition_protocol.peers.last_response_at.clear()
        unknown = partition.token + TOKENS_PER_OWNERSHIP
        assert partition.zone_controller.report("n-0", 1, 902, unknown, RUNNING).status == 421
        assert partition.report_to_zone_controller(903).status == 200
        # the owner may have raised the worker's token
        assert (
            partition.zone_controller.report("n-0", 1, 904, partition.token + 1, RUNNING).status
            == 200
        )

    run_scenario(scenario)


def test_no_keepalive_under_a_token_above_the_counter() -> None:
    # an owner of an earlier version has one token; the next one is another owner's
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        partition = await _begin_unsettled(state, clock, nodes)
        state.put(keys.TOKEN, {"n": partition.token})
        await partition.zone_controller.sync()
        await _announce_and_settle(partition)
        await _isolate_except_from_south(partition)
        partition.isolate_zone()
        partition.zone_controller.partition_protocol.peers.last_response_at.clear()
        assert (
            partition.zone_controller.report("n-0", 1, 902, partition.token + 1, RUNNING).status
            == 421
        )
        assert partition.report_to_zone_controller(903).status == 200

    run_scenario(scenario)


@pytest.mark.parametrize("path", [peers.ATTESTATION_PATH, peers.CANCELLATION_PATH])
@pytest.mark.parametrize("body", [b"", b"[]", b'{"machines":3,"jobs":[4]}', b"\xff"])
def test_a_malformed_request_of_a_peer_is_refused(path: str, body: bytes) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        nodes["node-1"] = node
        link = InMemoryPeerLink(nodes, "node-1")
        assert (await link.request("POST", path, body))[0] == 400

    run_scenario(scenario)


def test_an_attestation_is_void_once_its_process_has_been_replaced() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        # the machine stops sending heartbeats; node-0 attests that it has not responded to it
        partition.clock.time += partition.settings.heartbeat_timeout_s + 0.5
        await partition.owner.controller_lease.step()
        await partition.owner.round()
        await partition.owner.partition_protocol.step()
        assert partition.owner.partition_protocol.expiry_proof._attestations
        # node-0 is replaced; its new process does not know the attestation and keeps workers alive
        partition.zone_controller = SteppedController(
            partition.link, partition.clock, partition.nodes, "node-0"
        )
        await partition.zone_controller.boot(wait_for_grants=False)
        await partition.zone_controller.partition_protocol.step()
        partition.isolate_zone()
        await partition.zone_controller.controller_lease.step()
        assert partition.report_to_zone_controller(900).status == 200
        # the owner has not read the new key of node-0: its write is conditional on the old version
        partition.clock.time += (
            partition.settings.worker_lease_expiry_s - partition.settings.heartbeat_timeout_s
        )
        await partition.owner.controller_lease.step()
        machine, view = (
            partition.owner.cluster.machines["n-0"],
            partition.owner.heartbeats.find_view("n-0"),
        )
        assert view
        assert partition.owner.partition_protocol.expiry_proof.preconditions(
            machine, view.last_response_at
        )
        await partition.owner.round()
        assert partition.planned_attempts() == 1
        # once the owner has read the new key, it no longer assumes that the lease has expired
        await partition.owner.sync()
        assert (
            partition.owner.partition_protocol.expiry_proof.preconditions(
                machine, view.last_response_at
            )
            is None
        )

    run_settled(scenario)


def test_an_owner_counts_the_worker_lease_from_its_last_keepalive() -> None:
    """A worker's lease counts from the last response, including those without owner authority.

    Guards against a second placement of a running task: the owner's authority had ended but its
    lease outlasted the outage, and it counted the worker's lease from its last response as owner.
    Found by random faults with seed 2060.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        partition = PartitionScenario(state, clock, nodes)
        await partition.begin()
        owner = partition.owner
        add_machine(partition.state, partition.clock, "s-0", zone="south")
        await owner.renew_and_sync()
        await owner.partition_protocol.step()
        owner.report("s-0", 1, 1, 0)
        owner.report("s-0", 1, 2, partition.token)
        view = owner.heartbeats.find_view("s-0")
        assert view is not None
        partition.isolate_zone()
        state.is_down = True
        for seq in range(3, 50):
            clock.time += 0.5
            await owner.controller_lease.step()
            await owner.partition_protocol.step()
            owner.report("s-0", 1, seq, partition.token)
        assert owner.membership.heartbeat_authority(owner.cluster.machines["s-0"].shard) is None
        assert (
            owner.report("s-0", 1, 50, partition.token).status == 200
        ), "no response to the worker after its owner's authority ended"
        assert view.last_response_at == clock.now()

    run_scenario(scenario)
