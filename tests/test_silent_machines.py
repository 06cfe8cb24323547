"""Unreachable machines are retired only if no partitioned controller can keep them alive."""

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .partition_scenario import PartitionScenario, run_settled
from .stepped_controller import Nodes, SteppedController, add_machine, run_scenario, seed


def test_machines_silent_since_a_takeover_are_not_retired_during_a_possible_partition() -> None:
    """Guards against the release of machines as never started during a partition.

    Half a fleet was released 16 s after a takeover.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=3)
        for number in range(3):
            add_machine(state, clock, f"s-{number}", zone="south", at=clock.wall_time() - 1000)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        reporting = ["n-0", "n-1", "n-2"]
        for seq in range(1, 140):
            clock.time += 0.5
            await node.controller_lease.step()
            for machine in reporting:
                node.report(machine, 1, seq, node.token())
            await node.round()
            retiring = {
                m.id for m in node.cluster.machines.values() if m.retirement_reason == "silent"
            }
            if seq * 0.5 < node.settings.partition_keepalive_s + node.settings.worker_lease_s:
                assert not retiring, seq
        assert retiring == {"s-0", "s-1", "s-2"}

    run_scenario(scenario)


def test_no_machine_is_retired_while_a_zone_falls_silent_and_comes_back_one_by_one() -> None:
    """Guards against retiring a zone's machines that become unreachable one after the other.

    The first machines were retired before the others had become unreachable, and the last machines
    as soon as most of the others were reachable again.
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
                # no heartbeats for two lease durations, starting slightly later for each machine
                if not 0 < seq * 0.5 - 10 - 0.8 * number < 2 * worker_lease_s:
                    node.report(name, 1, seq, node.token())
            await node.round()
        assert not any(m.retirement_reason == "silent" for m in node.cluster.machines.values())

    run_scenario(scenario)


def test_an_outage_is_timed_again_after_an_unnoticed_controller_restart() -> None:
    async def scenario(partition: PartitionScenario) -> None:
        partition.isolate_zone()
        partition.state.end_lease(partition.zone_controller.controller_lease.lease_id or 0)
        await partition.pass_time(
            partition.settings.partition_keepalive_s + partition.settings.worker_lease_s - 1
        )
        assert partition.planned_attempts() == 1
        # while the owner is stalled, node-0 restarts, reads the durable state, and ends again
        replacement = SteppedController(partition.state, partition.clock, partition.nodes, "node-0")
        await replacement.boot(waited=False)
        await replacement.partition_protocol.step()
        replacement.is_unreachable = True
        partition.state.end_lease(replacement.controller_lease.lease_id or 0)
        await partition.owner.sync()
        await partition.pass_time(partition.settings.partition_keepalive_s)
        assert partition.planned_attempts() == 1
        await partition.pass_time(partition.settings.worker_lease_s + 2)
        assert partition.planned_attempts() == 0

    run_settled(scenario)
