"""Keepalive in a partitioned zone, the proof of expired worker leases, and cancellations meanwhile.

In most tests node-1 (south) owns a machine in the north, and node-0 is the controller of the north.
"""

from collections.abc import Awaitable, Callable

import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, ControllerRecord
from crossmill.cluster.records import encode_end
from crossmill.net.client import ConnectionFailedError
from crossmill.net.server import Request, Response
from crossmill.state.writer import WriteIntent, WriteResult
from crossmill.wire import peers
from crossmill.wire.state import Put, Txn
from crossmill.wire.workers import Command, CommandKind

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import (
    RECORD_BYTES,
    InMemoryPeerLink,
    SteppedController,
    add_job,
    add_machine,
    run_scenario,
    seed,
)

Nodes = dict[str, SteppedController]
RUNNING = reported_task("wk-000001", 0, 1, "running")


class PartitionableLink:
    """A link to the state service that can be cut."""

    def __init__(self, state: StateService) -> None:
        self._state = state
        self.is_cut = False

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Passes the request on; raises ConnectionFailedError while the link is cut."""
        if self.is_cut:
            raise ConnectionFailedError(path)
        return await self._state.request(method, path, body, timeout_s)


class PartitionScenario:
    """node-1 (south) owns machine n-0 (north), which runs a task; node-0 is in the north.

    `owner` is node-1, `zone_controller` is node-0.
    """

    def __init__(self, state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        self.state, self.clock, self.nodes = state, clock, nodes
        self.link = PartitionableLink(state)
        self.seq = 10

    async def begin(self) -> None:
        """Starts both controllers, and has the owner start the task on the machine."""
        seed(self.state, self.clock, machines=1)
        self.job = add_job(self.state, self.clock, sacks=1, cut="service", grindS=0.0, dueS=None)
        self.owner = SteppedController(self.state, self.clock, self.nodes, "node-1")
        await self.owner.boot()
        for _ in range(12):
            self.clock.time += self.owner.settings.controller_lease_ttl_s / 3
            await self.owner.renew_and_sync()
            await self.owner.membership.step()
        token = self.token = self.owner.token()
        self.owner.report("n-0", 1, 1, 0)
        self.owner.report("n-0", 1, 2, token)
        await self.owner.round()
        assert [command.op for command in self.owner.report("n-0", 1, 3, token).commands] == [
            "start"
        ]
        self.zone_controller = SteppedController(self.link, self.clock, self.nodes, "node-0")
        await self.zone_controller.boot()
        self.s = self.zone_controller.settings

    async def pass_time(self, seconds: float, to: SteppedController | None = None) -> None:
        """Passes time: the machine sends heartbeats to one controller, the owner decides."""
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time += 0.5
            for node in (self.owner, self.zone_controller):
                await node.controller_lease.step()
                await node.partition_protocol.step()
            if to is not None:
                self.seq += 1
                answer = to.report("n-0", 1, self.seq, self.token, RUNNING)
                assert (answer.status, answer.token) == (200, self.token), self.clock.time
            await self.owner.round()

    async def settle(self) -> None:
        """Passes enough time for node-0 to have the right to keep workers alive."""
        await self.pass_time(2, self.owner)

    def cut(self) -> None:
        """Partitions the north: node-0 reaches neither the state service nor the south."""
        self.link.is_cut = True
        self.nodes["node-0"].is_unreachable = self.nodes["node-1"].is_unreachable = True

    def clear_faults(self) -> None:
        """Ends the partition."""
        self.link.is_cut = False
        self.nodes["node-0"].is_unreachable = self.nodes["node-1"].is_unreachable = False

    def planned_on_machine(self) -> int:
        """How many attempts the owner has planned onto the machine."""
        return len(self.owner.cluster.machines["n-0"].attempts)


def run_settled(scenario: Callable[[PartitionScenario], Awaitable[None]]) -> None:
    """Runs a scenario from where node-0 may keep workers alive once its zone is partitioned."""

    async def begin(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = PartitionScenario(state, clock, nodes)
        await it.begin()
        await it.settle()
        await scenario(it)

    run_scenario(begin)


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


def test_a_cancellation_is_confirmed_only_when_no_keepalive_can_outlast_it() -> None:
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        await it.pass_time(2, it.zone_controller)
        path = "/v1/jobs/wk-000001"
        answer = await it.owner.ask("POST", path + "/withdraw")
        assert (answer.status, answer.retry_after_s) == (503, 1)
        assert b"withdrawn" not in (await it.owner.ask("GET", path)).body
        # once node-0 must have stopped early enough, it need not be told
        it.state.end_lease(it.zone_controller.controller_lease.lease_id or 0)
        await it.pass_time(
            it.s.partition_keepalive_s + it.s.worker_lease_s - it.s.cancellation_deadline_s
        )
        assert (await it.owner.ask("POST", path + "/withdraw")).status == 503
        await it.pass_time(3)
        assert (await it.owner.ask("POST", path + "/withdraw")).status == 200

    run_settled(scenario)


def test_keepalive_stops_tasks_of_a_job_whose_cancellation_was_announced() -> None:
    async def scenario(it: PartitionScenario) -> None:
        answer = await it.owner.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert answer.status == 200
        # the mirror of node-0 has not received it: only the announcement counts
        assert it.zone_controller.cluster.jobs["wk-000001"].end == ""
        it.cut()
        await it.zone_controller.controller_lease.step()
        commands = it.zone_controller.report("n-0", 1, 900, it.token, RUNNING).commands
        assert commands == (Command(CommandKind.STOP, "wk-000001/0", 1, 0.0),)

    run_settled(scenario)


def test_machines_silent_since_a_takeover_are_not_retired_during_a_possible_partition() -> None:
    """Half a fleet was released as never started, 16 s after a takeover during a partition."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=3)
        for number in range(3):
            add_machine(state, clock, f"s-{number}", zone="south", at=clock.wall() - 1000)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        up = ["n-0", "n-1", "n-2"]
        for seq in range(1, 140):
            clock.time += 0.5
            await node.controller_lease.step()
            for machine in up:
                node.report(machine, 1, seq, node.token())
            await node.round()
            retiring = {m.id for m in node.cluster.machines.values() if m.retiring == "silent"}
            if seq * 0.5 < node.settings.partition_keepalive_s + node.settings.worker_lease_s:
                assert not retiring, seq
        assert retiring == {"s-0", "s-1", "s-2"}

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


def test_no_machine_is_retired_while_a_zone_falls_silent_and_comes_back_one_by_one() -> None:
    """A zone's machines that fall silent one by one are not retired.

    The first to fall silent were retired before the rest were silent, and the last to come back
    as soon as most others had.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=0)
        names = [f"s-{number}" for number in range(6)]
        for name in names:
            add_machine(state, clock, name, zone="south")
        node = SteppedController(state, clock, nodes)
        await node.boot()
        worker_lease_s = node.settings.worker_lease_s
        for seq in range(1, 130):
            clock.time += 0.5
            await node.controller_lease.step()
            for number, name in enumerate(names):
                # silent for two leases, each a little later than the one before
                if not 0 < seq * 0.5 - 10 - 0.8 * number < 2 * worker_lease_s:
                    node.report(name, 1, seq, node.token())
            await node.round()
        assert not any(m.retiring == "silent" for m in node.cluster.machines.values())

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


def test_a_cancellation_is_conditional_on_the_processes_that_were_told() -> None:
    async def scenario(it: PartitionScenario) -> None:
        job = it.owner.cluster.jobs["wk-000001"]
        preconditions = await it.owner.partition_protocol.cancellations.announce(job.id, ["north"])
        assert preconditions == {"cm/n/node-0": it.state.keys["cm/n/node-0"][1]}
        # node-0 ends, and its new process does not know of the cancellation
        replacement = SteppedController(it.state, it.clock, it.nodes, "node-0")
        await replacement.boot(waited=False)
        assert job.spec is not None
        put = Put("cm/j/wk-000001", encode_end(CANCELLED, job.spec, 0.0, RECORD_BYTES))
        late = WriteIntent(Txn({"cm/j/wk-000001": job.version, **preconditions}, [put]))
        assert await it.owner.writer.commit(late) == WriteResult.CONFLICT

    run_settled(scenario)


def test_an_absence_counts_anew_when_the_controller_was_back_unnoticed() -> None:
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        it.state.end_lease(it.zone_controller.controller_lease.lease_id or 0)
        await it.pass_time(it.s.partition_keepalive_s + it.s.worker_lease_s - 1)
        assert it.planned_on_machine() == 1
        # while the owner is stalled node-0 comes back, reads all that is durable, and ends again
        replacement = SteppedController(it.state, it.clock, it.nodes, "node-0")
        await replacement.boot(waited=False)
        await replacement.partition_protocol.step()
        replacement.is_unreachable = True
        it.state.end_lease(replacement.controller_lease.lease_id or 0)
        await it.owner.sync()
        await it.pass_time(it.s.partition_keepalive_s)
        assert it.planned_on_machine() == 1
        await it.pass_time(it.s.worker_lease_s + 2)
        assert it.planned_on_machine() == 0

    run_settled(scenario)


def test_a_cancellation_is_announced_through_the_state_service_if_peers_are_unreachable() -> None:
    """While a packet filter separated controllers, no such job could be cancelled."""

    async def scenario(it: PartitionScenario) -> None:
        it.nodes["node-0"].is_unreachable = it.nodes["node-1"].is_unreachable = True
        path = "/v1/jobs/wk-000001/withdraw"
        assert (await it.owner.ask("POST", path)).status == 503
        assert (await it.owner.ask("POST", path)).status == 503
        # node-0 reads the note and announces so; cut off after that, it stops the job's tasks
        await it.zone_controller.sync()
        await it.zone_controller.membership.step()
        await it.zone_controller.partition_protocol.step()
        assert (await it.owner.ask("POST", path)).status == 200
        it.cut()
        await it.zone_controller.controller_lease.step()
        commands = it.zone_controller.report("n-0", 1, 900, it.token, RUNNING).commands
        assert [command.op for command in commands] == ["stop"]
        # the note is deleted in the next scheduling round
        assert "cm/w/wk-000001" in it.state.keys
        await it.owner.round()
        assert "cm/w/wk-000001" not in it.state.keys

    run_settled(scenario)


def test_a_cancellation_accounts_for_a_task_that_moves_to_another_zone_meanwhile() -> None:
    """A cancellation is refused, or announced to the zone that a task was moved to meanwhile.

    Only the controllers of zones with tasks of the job are told; before the write a task may be
    moved to a zone whose controllers were not.
    """

    async def scenario(it: PartitionScenario) -> None:
        add_machine(it.state, it.clock, "s-0", zone="south")
        other = SteppedController(it.state, it.clock, it.nodes, "node-2")
        await other.boot()
        await it.owner.renew_and_sync()
        told = it.zone_controller.partition_protocol.handle
        plan = it.state.keys[keys.plan("wk-000001", "0")][0]

        def moves(request: Request) -> Response:
            it.state.put(keys.plan("wk-000001", "0"), {**plan, "rows": [[0, 2, "s-0", 1]]})
            return told(request)

        it.zone_controller.partition_protocol.handle = moves  # type: ignore[method-assign]
        answer = await it.owner.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert (
            answer.status == 503
            or "wk-000001" in other.partition_protocol.keepalive.pending_cancellations
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
