"""Keepalive in a partitioned zone, and the attestations that end it.

In most tests node-1 (south) owns a machine in the north, and node-0 is the controller of the north.
"""

import pytest

from crossmill.cluster.model import ControllerRecord
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
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        await it.pass_time(4)
        await it.pass_time(2 * it.s.worker_lease_s, it.zone_controller)
        assert it.planned_on_machine() == 1
        assert not it.owner.cluster.machines["n-0"].retiring
        # the partition ends: the attestation of node-0 says that it has answered just now
        it.clear_faults()
        await it.pass_time(0.9 * it.s.worker_lease_s)
        assert it.planned_on_machine() == 1
        await it.pass_time(0.3 * it.s.worker_lease_s)
        assert it.planned_on_machine() == 0

    run_settled(scenario)


def test_keepalive_stops_before_the_absence_of_its_controller_proves_an_expired_lease() -> None:
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        it.state.end_lease(it.zone_controller.controller_lease.lease_id or 0)
        await it.pass_time(it.s.partition_keepalive_s - 1, it.zone_controller)
        await it.pass_time(2)
        assert it.zone_controller.report("n-0", 1, 900, it.token, RUNNING).status == 421
        await it.pass_time(it.s.worker_lease_s - 3)
        assert it.planned_on_machine() == 1
        await it.pass_time(6)
        assert it.planned_on_machine() == 0

    run_settled(scenario)


def test_a_controller_does_not_keep_a_machine_alive_after_attesting_its_silence() -> None:
    async def scenario(it: PartitionScenario) -> None:
        # silent to its owner, which requests attestations; then the zone is cut off
        await it.pass_time(it.s.heartbeat_timeout_s + 1.5)
        it.cut()
        await it.pass_time(2)
        assert it.zone_controller.report("n-0", 1, 900, it.token, RUNNING).status == 421
        await it.pass_time(it.s.worker_lease_expiry_s)
        assert it.planned_on_machine() == 0

    run_settled(scenario)


async def _begin_unsettled(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> PartitionScenario:
    it = PartitionScenario(state, clock, nodes)
    await it.begin()
    return it


def test_no_keepalive_before_the_controller_has_announced_itself() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = await _begin_unsettled(state, clock, nodes)
        # the process before this one may have attested that it leaves the machine alone
        it.zone_controller.cluster.controllers["node-0"] = ControllerRecord(-1)
        await it.zone_controller.partition_protocol.durable_read.refresh()
        assert it.zone_controller.partition_protocol.durable_read.sent_at is None
        it.cut()
        await it.zone_controller.controller_lease.step()
        assert it.zone_controller.report("n-0", 1, 900, it.token, RUNNING).status == 421

    run_scenario(scenario)


async def _announce_and_settle(it: PartitionScenario) -> None:
    """Has node-0 announced only after a first partition, as a process that has just started."""
    it.zone_controller.cluster.controllers["node-0"] = ControllerRecord(-1)
    await it.zone_controller.partition_protocol.durable_read.refresh()
    it.cut()
    await it.zone_controller.controller_lease.step()
    it.zone_controller.report("n-0", 1, 900, it.token, RUNNING)
    it.clear_faults()
    lease_id = it.zone_controller.controller_lease.lease_id
    it.zone_controller.cluster.controllers["node-0"] = ControllerRecord(lease_id)
    await it.zone_controller.controller_lease.step()
    await it.settle()


async def _cut_except_from_south(it: PartitionScenario) -> None:
    """Cuts node-0 off from the state service while node-1 answers its probes."""
    it.cut()
    it.nodes["node-1"].is_unreachable = False
    await it.zone_controller.controller_lease.step()
    await it.zone_controller.partition_protocol.step()


def test_no_keepalive_while_another_zone_answers() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = await _begin_unsettled(state, clock, nodes)
        await _announce_and_settle(it)
        await _cut_except_from_south(it)
        answer = it.zone_controller.report("n-0", 1, 901, it.token, RUNNING)
        assert (answer.status, answer.redirect) == (421, "node-1")

    run_scenario(scenario)


def test_no_keepalive_under_a_token_that_is_not_known() -> None:
    # with such a token another controller acts for the machine, and reaches it
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = await _begin_unsettled(state, clock, nodes)
        await _announce_and_settle(it)
        await _cut_except_from_south(it)
        it.cut()
        it.zone_controller.partition_protocol.peers.last_answer_at.clear()
        assert it.zone_controller.report("n-0", 1, 902, it.token + 1, RUNNING).status == 421
        assert it.zone_controller.report("n-0", 1, 903, it.token, RUNNING).status == 200

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
    async def scenario(it: PartitionScenario) -> None:
        # the machine falls silent; node-0 is asked, and attests that it has not answered it
        it.clock.time += it.s.heartbeat_timeout_s + 0.5
        await it.owner.controller_lease.step()
        await it.owner.round()
        await it.owner.partition_protocol.step()
        assert it.owner.partition_protocol.expiry_proof._attestations
        # node-0 ends; its new process does not know of the attestation, and keeps workers alive
        it.zone_controller = SteppedController(it.link, it.clock, it.nodes, "node-0")
        await it.zone_controller.boot(waited=False)
        await it.zone_controller.partition_protocol.step()
        it.cut()
        await it.zone_controller.controller_lease.step()
        assert it.zone_controller.report("n-0", 1, 900, it.token, RUNNING).status == 200
        # the owner does not know: its write is conditional on the old version of the key of node-0
        it.clock.time += it.s.worker_lease_expiry_s - it.s.heartbeat_timeout_s
        await it.owner.controller_lease.step()
        machine, view = it.owner.cluster.machines["n-0"], it.owner.heartbeats.find_view("n-0")
        assert view
        assert it.owner.partition_protocol.expiry_proof.preconditions(machine, view.answered_at)
        await it.owner.round()
        assert it.planned_on_machine() == 1
        # and once it knows, it no longer presumes that the lease has expired
        await it.owner.sync()
        assert (
            it.owner.partition_protocol.expiry_proof.preconditions(machine, view.answered_at)
            is None
        )

    run_settled(scenario)


def test_an_owner_counts_the_worker_lease_from_its_last_keepalive() -> None:
    """A worker's lease counts from the last answer, also from one without authority as owner.

    The owner's authority had ended and its lease outlasted the outage: it then counted from its
    last answer as owner, and the task was placed again while it ran (lot 2060).
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = PartitionScenario(state, clock, nodes)
        await it.begin()
        owner = it.owner
        add_machine(it.state, it.clock, "s-0", zone="south")
        await owner.renew_and_sync()
        await owner.partition_protocol.step()
        owner.report("s-0", 1, 1, 0)
        owner.report("s-0", 1, 2, it.token)
        view = owner.heartbeats.find_view("s-0")
        assert view is not None
        it.cut()
        state.down = True
        for seq in range(3, 50):
            clock.time += 0.5
            await owner.controller_lease.step()
            await owner.partition_protocol.step()
            owner.report("s-0", 1, seq, it.token)
        assert owner.membership.heartbeat_authority(owner.cluster.machines["s-0"].shard) is None
        assert (
            owner.report("s-0", 1, 50, it.token).status == 200
        ), "kept alive without authority as owner"
        assert view.answered_at == clock.now()

    run_scenario(scenario)
