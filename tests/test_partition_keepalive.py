"""A zone that is cut off: its controllers keep its workers alive, and nobody says otherwise."""

from collections.abc import Awaitable, Callable

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, ControllerRecord
from crossmill.cluster.records import encode_end
from crossmill.net.client import ConnectionFailedError
from crossmill.net.server import Request, Response
from crossmill.state.writer import WriteIntent, WriteResult
from crossmill.wire import peers
from crossmill.wire.state import Put, Txn
from crossmill.wire.workers import Command

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import (
    RECORD_BYTES,
    SteppedController,
    add_job,
    add_machine,
    run_scenario,
    seed,
)

Nodes = dict[str, SteppedController]
RUNNING = reported_task("wk-000001", 0, 1, "running")


class Nobody:
    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        raise ConnectionFailedError(path)


class PartitionScenario:
    """node-1 (south) owns machine n-0 (north), which runs a task; node-0 stands in the north."""

    def __init__(self, state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        self.state, self.clock, self.nodes = state, clock, nodes
        self.seq = 10

    async def begin(self) -> None:
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
        assert [c.op for c in self.owner.report("n-0", 1, 3, token).commands] == ["start"]
        self.deputy = SteppedController(self.state, self.clock, self.nodes, "node-0")
        await self.deputy.boot()
        self.s = self.deputy.settings

    async def pass_time(self, seconds: float, to: SteppedController | None = None) -> None:
        """Time passes; the machine reports to one controller, the owner decides."""
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time += 0.5
            for node in (self.owner, self.deputy):
                await node.controller_lease.step()
                await node.partition_protocol.step()
            if to is not None:
                self.seq += 1
                answer = to.report("n-0", 1, self.seq, self.token, RUNNING)
                assert (answer.status, answer.token) == (200, self.token), self.clock.time
            await self.owner.round()

    async def settle(self) -> None:
        """Long enough for node-0 to count as a deputy."""
        await self.pass_time(2, self.owner)

    def cut(self) -> None:
        """The north is cut off: node-0 reaches neither state service nor the south."""
        self.deputy.client._http = self.deputy.client._watch_http = Nobody()
        self.nodes["node-0"].is_unreachable = self.nodes["node-1"].is_unreachable = True

    def mend(self) -> None:
        self.deputy.client._http = self.deputy.client._watch_http = self.state
        self.nodes["node-0"].is_unreachable = self.nodes["node-1"].is_unreachable = False

    def on_machine(self) -> int:
        return len(self.owner.cluster.machines["n-0"].attempts)


def play_settled(scenario: Callable[[PartitionScenario], Awaitable[None]]) -> None:
    """Plays a story from where node-0 counts as a deputy."""

    async def begin(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = PartitionScenario(state, clock, nodes)
        await it.begin()
        await it.settle()
        await scenario(it)

    run_scenario(begin)


def test_a_cut_off_zones_workers_are_kept_alive_and_nobody_concludes_otherwise() -> None:
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        await it.pass_time(4)
        await it.pass_time(2 * it.s.worker_lease_s, it.deputy)
        assert it.on_machine() == 1
        assert not it.owner.cluster.machines["n-0"].retiring
        # the cut ends: asked, the deputy says that it has answered just now
        it.mend()
        await it.pass_time(0.9 * it.s.worker_lease_s)
        assert it.on_machine() == 1
        await it.pass_time(0.3 * it.s.worker_lease_s)
        assert it.on_machine() == 0

    play_settled(scenario)


def test_a_deputy_stops_long_before_its_going_counts_as_proof() -> None:
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        it.state.end_lease(it.deputy.controller_lease.lease_id or 0)
        await it.pass_time(it.s.partition_keepalive_s - 1, it.deputy)
        await it.pass_time(2)
        assert it.deputy.report("n-0", 1, 900, it.token, RUNNING).status == 421
        await it.pass_time(it.s.worker_lease_s - 3)
        assert it.on_machine() == 1
        await it.pass_time(6)
        assert it.on_machine() == 0

    play_settled(scenario)


def test_a_deputy_leaves_a_machine_whose_owner_asked() -> None:
    async def scenario(it: PartitionScenario) -> None:
        # silent to its owner, who asks; then the zone is cut off
        await it.pass_time(it.s.heartbeat_timeout_s + 1.5)
        it.cut()
        await it.pass_time(2)
        assert it.deputy.report("n-0", 1, 900, it.token, RUNNING).status == 421
        await it.pass_time(it.s.worker_lease_expiry_s)
        assert it.on_machine() == 0

    play_settled(scenario)


def test_nobody_is_a_deputy_while_another_zone_answers_or_before_it_has_announced_itself() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = PartitionScenario(state, clock, nodes)
        await it.begin()
        # the process before this one may have promised to leave the machine
        it.deputy.cluster.controllers["node-0"] = ControllerRecord(-1)
        await it.deputy.partition_protocol.keepalive.refresh()
        assert it.deputy.partition_protocol.keepalive._synced_at is None
        it.cut()
        await it.deputy.controller_lease.step()
        assert it.deputy.report("n-0", 1, 900, it.token, RUNNING).status == 421
        it.mend()
        it.deputy.cluster.controllers["node-0"] = ControllerRecord(
            it.deputy.controller_lease.lease_id
        )
        await it.deputy.controller_lease.step()
        await it.settle()
        it.cut()
        it.nodes["node-1"].is_unreachable = False
        await it.deputy.controller_lease.step()
        await it.deputy.partition_protocol.step()
        answer = it.deputy.report("n-0", 1, 901, it.token, RUNNING)
        assert (answer.status, answer.redirect) == (421, "node-1")
        # a token that is not known: somebody acts for the machine and reaches it
        it.cut()
        it.deputy.partition_protocol.peers.last_answer_at.clear()
        assert it.deputy.report("n-0", 1, 902, it.token + 1, RUNNING).status == 421
        assert it.deputy.report("n-0", 1, 903, it.token, RUNNING).status == 200

    run_scenario(scenario)


def test_a_job_is_called_withdrawn_only_when_a_deputy_would_end_it() -> None:
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        await it.pass_time(2, it.deputy)
        path = "/v1/jobs/wk-000001"
        answer = await it.owner.ask("POST", path + "/withdraw")
        assert (answer.status, answer.retry_after_s) == (503, 1)
        assert b"withdrawn" not in (await it.owner.ask("GET", path)).body
        # once the deputy must have stopped early enough, its word is no longer needed
        it.state.end_lease(it.deputy.controller_lease.lease_id or 0)
        await it.pass_time(
            it.s.partition_keepalive_s + it.s.worker_lease_s - it.s.cancellation_deadline_s
        )
        assert (await it.owner.ask("POST", path + "/withdraw")).status == 503
        await it.pass_time(3)
        assert (await it.owner.ask("POST", path + "/withdraw")).status == 200

    play_settled(scenario)


def test_a_deputy_ends_what_it_was_told_is_being_withdrawn() -> None:
    async def scenario(it: PartitionScenario) -> None:
        answer = await it.owner.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert answer.status == 200
        # the deputy's mirror never got it: only what it was told counts
        assert it.deputy.cluster.jobs["wk-000001"].end == ""
        it.cut()
        await it.deputy.controller_lease.step()
        orders = it.deputy.report("n-0", 1, 900, it.token, RUNNING).commands
        assert orders == (Command("stop", "wk-000001/0", 1, 0.0),)

    play_settled(scenario)


def test_machines_silent_since_a_takeover_are_not_given_up_while_their_zone_is_cut_off() -> None:
    """Half a fleet was released as never come up, 16 s after a takeover during a cut."""

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


def test_what_deputies_are_asked_is_checked() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        for path in (peers.ATTESTATION_PATH, peers.CANCELLATION_PATH):
            for body in (b"", b"[]", b'{"machines":3,"jobs":[4]}', b"\xff"):
                line = node.lease_extensions._http["node-1"]
                nodes["node-1"] = node
                assert (await line.request("POST", path, body))[0] == 400

    run_scenario(scenario)


def test_machines_of_a_cut_zone_fall_silent_and_come_back_one_by_one() -> None:
    """The first to fall silent were given up before the rest were, and the last to come back as
    soon as most others had.
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


def test_what_was_promised_by_a_process_that_has_ended_proves_nothing() -> None:
    async def scenario(it: PartitionScenario) -> None:
        # not yet asked when it falls silent; then node-0 says that it has not answered
        it.clock.time += it.s.heartbeat_timeout_s + 0.5
        await it.owner.controller_lease.step()
        await it.owner.round()
        await it.owner.partition_protocol.step()
        assert it.owner.partition_protocol.expiry_proof._attestations
        # node-0 ends; the process that follows knows of no promise, and helps
        it.deputy = SteppedController(it.state, it.clock, it.nodes, "node-0")
        await it.deputy.boot(waited=False)
        await it.deputy.partition_protocol.step()
        it.cut()
        await it.deputy.controller_lease.step()
        assert it.deputy.report("n-0", 1, 900, it.token, RUNNING).status == 200
        # the owner has not heard of it: what it concludes is written on the old key's version
        it.clock.time += it.s.worker_lease_expiry_s - it.s.heartbeat_timeout_s
        await it.owner.controller_lease.step()
        machine, view = it.owner.cluster.machines["n-0"], it.owner.heartbeats.find_view("n-0")
        assert view
        assert it.owner.partition_protocol.expiry_proof.preconditions(machine, view.answered_at)
        await it.owner.round()
        assert it.on_machine() == 1
        # and once it has heard, it concludes nothing
        await it.owner.sync()
        assert (
            it.owner.partition_protocol.expiry_proof.preconditions(machine, view.answered_at)
            is None
        )

    play_settled(scenario)


def test_a_withdrawal_rests_on_the_processes_that_were_told() -> None:
    async def scenario(it: PartitionScenario) -> None:
        job = it.owner.cluster.jobs["wk-000001"]
        preconditions = await it.owner.partition_protocol.cancellations.announce(job.id, ["north"])
        assert preconditions == {"cm/n/node-0": it.state.keys["cm/n/node-0"][1]}
        # node-0 ends, and the process that follows does not know of the withdrawal
        again = SteppedController(it.state, it.clock, it.nodes, "node-0")
        await again.boot(waited=False)
        assert job.spec is not None
        put = Put("cm/j/wk-000001", encode_end(CANCELLED, job.spec, 0.0, RECORD_BYTES))
        late = WriteIntent(Txn({"cm/j/wk-000001": job.version, **preconditions}, [put]))
        assert await it.owner.writer.commit(late) == WriteResult.CONFLICT

    play_settled(scenario)


def test_an_absence_is_counted_anew_when_a_controller_came_back_and_went_unseen() -> None:
    async def scenario(it: PartitionScenario) -> None:
        it.cut()
        it.state.end_lease(it.deputy.controller_lease.lease_id or 0)
        await it.pass_time(it.s.partition_keepalive_s + it.s.worker_lease_s - 1)
        assert it.on_machine() == 1
        # while the owner stands still node-0 comes back, learns all, and goes again
        again = SteppedController(it.state, it.clock, it.nodes, "node-0")
        await again.boot(waited=False)
        await again.partition_protocol.step()
        again.is_unreachable = True
        it.state.end_lease(again.controller_lease.lease_id or 0)
        await it.owner.sync()
        await it.pass_time(it.s.partition_keepalive_s)
        assert it.on_machine() == 1
        await it.pass_time(it.s.worker_lease_s + 2)
        assert it.on_machine() == 0

    play_settled(scenario)


def test_a_withdrawal_goes_through_the_state_service_while_controllers_refuse_each_other() -> None:
    """For as long as a packet filter stood between controllers no such job could be withdrawn."""

    async def scenario(it: PartitionScenario) -> None:
        it.nodes["node-0"].is_unreachable = it.nodes["node-1"].is_unreachable = True
        path = "/v1/jobs/wk-000001/withdraw"
        assert (await it.owner.ask("POST", path)).status == 503
        assert (await it.owner.ask("POST", path)).status == 503
        # node-0 reads the note and says so; cut off after that, it ends the job's tasks
        await it.deputy.sync()
        await it.deputy.membership.step()
        await it.deputy.partition_protocol.step()
        assert (await it.owner.ask("POST", path)).status == 200
        it.cut()
        await it.deputy.controller_lease.step()
        orders = it.deputy.report("n-0", 1, 900, it.token, RUNNING).commands
        assert [c.op for c in orders] == ["stop"]
        # the note goes with the next round
        assert "cm/w/wk-000001" in it.state.keys
        await it.owner.round()
        assert "cm/w/wk-000001" not in it.state.keys

    play_settled(scenario)


def test_a_task_that_moves_to_another_zone_while_deputies_are_told() -> None:
    """Only the controllers of the zones with tasks of the job are told; before the write a task
    may move to a zone whose controllers know nothing.
    """

    async def scenario(it: PartitionScenario) -> None:
        add_machine(it.state, it.clock, "s-0", zone="south")
        other = SteppedController(it.state, it.clock, it.nodes, "node-2")
        await other.boot()
        await it.owner.renew_and_sync()
        told = it.deputy.partition_protocol.handle
        plan = it.state.keys[keys.plan("wk-000001", "0")][0]

        def moves(request: Request) -> Response:
            it.state.put(keys.plan("wk-000001", "0"), {**plan, "rows": [[0, 2, "s-0", 1]]})
            return told(request)

        it.deputy.partition_protocol.handle = moves  # type: ignore[method-assign]
        answer = await it.owner.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert (
            answer.status == 503
            or "wk-000001" in other.partition_protocol.keepalive.pending_cancellations
        )

    play_settled(scenario)


def test_an_owner_that_answers_as_deputy_counts_the_workers_lease_from_there() -> None:
    """Its right as an owner had ended and its lease outlasted the outage: it then counted from its
    last answer as an owner, and the task was placed again while it ran (lot 2060).
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        it = PartitionScenario(state, clock, nodes)
        await it.begin()
        ownership = it.owner
        add_machine(it.state, it.clock, "s-0", zone="south")
        await ownership.renew_and_sync()
        await ownership.partition_protocol.step()
        ownership.report("s-0", 1, 1, 0)
        ownership.report("s-0", 1, 2, it.token)
        view = ownership.heartbeats.find_view("s-0")
        assert view is not None
        it.cut()
        state.down = True
        for seq in range(3, 50):
            clock.time += 0.5
            await ownership.controller_lease.step()
            await ownership.partition_protocol.step()
            ownership.report("s-0", 1, seq, it.token)
        assert (
            ownership.membership.heartbeat_authority(ownership.cluster.machines["s-0"].shard)
            is None
        )
        assert ownership.report("s-0", 1, 50, it.token).status == 200, "kept alive as a deputy"
        assert view.answered_at == clock.now()

    run_scenario(scenario)
