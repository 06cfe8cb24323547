"""Cancellations are confirmed only once no partitioned controller can keep the tasks running.

In most tests node-1 (south) owns a machine in the north, and node-0 is the controller of the north.
"""

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED
from crossmill.cluster.records import encode_end
from crossmill.net.server import Request, Response
from crossmill.state.writer import WriteIntent, WriteResult
from crossmill.wire.state import Put, Txn
from crossmill.wire.workers import Command, CommandKind

from .partition_scenario import PartitionScenario, run_settled
from .stepped_controller import RECORD_BYTES, SteppedController, add_machine


def test_a_cancellation_is_confirmed_only_when_no_keepalive_can_outlast_it() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        partition.isolate_zone()
        await partition.pass_time(2, partition.zone_controller)
        path = "/v1/jobs/wk-000001"
        response = await partition.owner.ask("POST", path + "/withdraw")
        assert (response.status, response.retry_after_s) == (503, 1)
        assert b"withdrawn" not in (await partition.owner.ask("GET", path)).body
        # once node-0 is certain to have stopped keepalives early enough, it need not be notified
        partition.state.end_lease(partition.zone_controller.controller_lease.lease_id or 0)
        await partition.pass_time(
            partition.settings.partition_keepalive_s
            + partition.settings.worker_lease_s
            - partition.settings.cancellation_deadline_s
        )
        assert (await partition.owner.ask("POST", path + "/withdraw")).status == 503
        await partition.pass_time(3)
        assert (await partition.owner.ask("POST", path + "/withdraw")).status == 200

    run_settled(scenario)


def test_keepalive_stops_tasks_of_a_job_whose_cancellation_was_announced() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        response = await partition.owner.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert response.status == 200
        # the mirror of node-0 does not hold the cancellation yet: node-0 relies on the announcement
        assert partition.zone_controller.cluster.jobs["wk-000001"].end == ""
        partition.isolate_zone()
        await partition.zone_controller.controller_lease.step()
        commands = partition.report_to_zone_controller(900).commands
        assert commands == (Command(CommandKind.STOP, "wk-000001/0", 1, 0.0),)

    run_settled(scenario)


def test_a_cancellation_is_conditional_on_the_processes_that_were_notified() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        job = partition.owner.cluster.jobs["wk-000001"]
        preconditions = await partition.owner.partition_protocol.cancellations.announce(
            job.id, ["north"]
        )
        assert preconditions == {"cm/n/node-0": partition.state.keys["cm/n/node-0"][1]}
        # node-0 ends, and its new process does not know of the cancellation
        replacement = SteppedController(partition.state, partition.clock, partition.nodes, "node-0")
        await replacement.boot(waited=False)
        assert job.spec is not None
        put = Put("cm/j/wk-000001", encode_end(CANCELLED, job.spec, 0.0, RECORD_BYTES))
        late = WriteIntent(Txn({"cm/j/wk-000001": job.version, **preconditions}, [put]))
        assert await partition.owner.writer.commit(late) == WriteResult.CONFLICT

    run_settled(scenario)


def test_a_cancellation_is_announced_through_the_state_service_if_peers_are_unreachable() -> None:
    """Guards against jobs that can't be cancelled while a packet filter separates controllers."""

    async def scenario(partition: PartitionScenario) -> None:
        partition.nodes["node-0"].is_unreachable = partition.nodes["node-1"].is_unreachable = True
        path = "/v1/jobs/wk-000001/withdraw"
        assert (await partition.owner.ask("POST", path)).status == 503
        assert (await partition.owner.ask("POST", path)).status == 503
        # node-0 reads the note and publishes that; partitioned afterwards, it stops the job's tasks
        await partition.zone_controller.sync()
        await partition.zone_controller.membership.step()
        await partition.zone_controller.partition_protocol.step()
        assert (await partition.owner.ask("POST", path)).status == 200
        partition.isolate_zone()
        await partition.zone_controller.controller_lease.step()
        commands = partition.report_to_zone_controller(900).commands
        assert [command.op for command in commands] == ["stop"]
        # the note is deleted in the next scheduling round
        assert "cm/w/wk-000001" in partition.state.keys
        await partition.owner.round()
        assert "cm/w/wk-000001" not in partition.state.keys

    run_settled(scenario)


def test_a_cancellation_accounts_for_a_task_that_moves_to_another_zone() -> None:
    """A cancellation is refused or announced to the zone to which a task was moved.

    Only the controllers of zones with tasks of the job are notified. Before the cancellation is
    written, a task may be moved to a zone whose controllers were not notified.
    """

    async def scenario(partition: PartitionScenario) -> None:
        add_machine(partition.state, partition.clock, "s-0", zone="south")
        other = SteppedController(partition.state, partition.clock, partition.nodes, "node-2")
        await other.boot()
        await partition.owner.renew_and_sync()
        handle = partition.zone_controller.partition_protocol.handle
        plan = partition.state.keys[keys.plan("wk-000001", "0")][0]

        def handle_after_move(request: Request) -> Response:
            partition.state.put(keys.plan("wk-000001", "0"), {**plan, "rows": [[0, 2, "s-0", 1]]})
            return handle(request)

        partition.zone_controller.partition_protocol.handle = handle_after_move  # type: ignore[method-assign]
        response = await partition.owner.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert (
            response.status == 503
            or "wk-000001" in other.partition_protocol.keepalive.pending_cancellations
        )

    run_settled(scenario)
