"""Tests of transfers of machines and shards to another owner."""

import curio

from crossmill.cluster import keys
from crossmill.jobs.machine_transfer import PlannedTransfer

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import start_placed_task
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario, seed


def test_a_former_owner_writes_nothing() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        lease = node.controller_lease.lease_id
        assert lease is not None
        state.end_lease(lease)
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        clock.time += (
            other.settings.lease_extension_grant_s * 1.1 + other.settings.controller_lease_ttl_s * 2
        )
        await other.controller_lease.step()
        await other.controller_lease.step()
        await other.membership.step()
        clock.time += other.settings.controller_lease_ttl_s
        await other.controller_lease.step()
        await other.membership.step()
        assert 0 in other.membership.ownerships
        assert other.token() > node.token()
        assert node.membership.active_ownership(0) is None
        before = dict(state.keys)
        add_job(state, clock, nameId="wk-000003")
        assert node.report("n-0", 1, 9, node.token()).status == 421
        assert {k: v for k, v in state.keys.items() if k in before} == before

    run_scenario(scenario)


async def _boot_owner_of_all_shards(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> SteppedController:
    """Return the only controller, which has acquired all shards; shard 0 has one machine."""
    seed(state, clock, machines=1)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    for _ in range(12):
        clock.time += node.settings.controller_lease_ttl_s / 3
        await node.renew_and_sync()
        await node.membership.step()
    return node


def test_a_machine_transferred_to_another_shard_obeys_only_its_new_owner() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_owner_of_all_shards(state, clock, nodes)
        other = node.settings.shard_of_team("blue")
        assert other in node.membership.ownerships
        assert other != 0
        # shard 0 has an idle machine; the job waits in the other shard, and there is no cloud
        add_job(state, clock, crew="blue", sacks=1)
        await node.sync()
        old = node.token()
        for seq in range(1, 30):
            clock.time += 0.4
            await node.renew_and_sync()
            if node.cluster.machines["n-0"].shard != other:
                response = node.report("n-0", 1, seq, old)
                assert (response.status, response.token) == (200, old)
                await node.round()
        machine = node.cluster.machines["n-0"]
        assert machine.shard == other
        assert machine.token > max(old, node.token(other))
        # heartbeats under the old token are not trusted, and nothing is started on them
        response = node.report("n-0", 1, 50, old)
        assert (response.token, response.commands) == (machine.token, ())
        await node.round(other)
        assert not machine.attempts
        node.report("n-0", 1, 51, machine.token)
        await node.round(other)
        commands = node.report("n-0", 1, 52, machine.token).commands
        assert [c.op for c in commands] == ["start"]

    run_scenario(scenario)


def test_a_heartbeat_is_redirected_while_the_machines_transfer_is_written() -> None:
    """The new owner counts the worker's lease from the time at which it reads the transfer."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        await node.round()
        node.scheduling_loop._machine_transfer._planned_transfers["n-0"] = PlannedTransfer(
            1, clock.now() + 9
        )
        state.scripted_faults["/txn"] = ["refuse"] * 2
        task = await curio.spawn(node.round)
        await curio.sleep(0)
        assert node.report("n-0", 1, 2, node.token()).status == 421
        await task.join()
        assert node.cluster.machines["n-0"].shard == 1
        # an older view must not be trusted again if the machine is transferred back
        assert node.heartbeats.find_view("n-0") is None

    run_scenario(scenario)


def test_a_machine_with_tasks_or_pending_starts_is_not_transferred() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        transfer = node.scheduling_loop._machine_transfer
        machine = node.cluster.machines["n-0"]
        transfer._planned_transfers["n-0"] = PlannedTransfer(1, clock.now() + 9)
        assert transfer.target_shard(machine) is None
        machine.attempts.clear()
        assert transfer.target_shard(machine) is None, "the worker still reports a task"
        node.report("n-0", 1, 5, node.token())
        assert transfer.target_shard(machine) == 1
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        view.direct_start_token = node.token()
        assert transfer.target_shard(machine) is None, "a start sent to it may still arrive"

    run_scenario(scenario)


def test_no_start_is_planned_on_a_machine_in_the_round_that_transfers_it() -> None:
    """Guards against committing a start together with the transfer of its machine.

    The write of the start is conditional on the machine's version but does not change it.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_owner_of_all_shards(state, clock, nodes)
        other = node.settings.shard_of_team("blue")
        add_job(state, clock, crew="blue", sacks=1)
        await node.sync()
        for seq in range(1, 30):
            clock.time += 0.4
            await node.controller_lease.step()
            if seq == 8:
                # the machine is about to be transferred when its own shard also receives a task
                node.scheduling_loop._machine_transfer._checked_at[0] = 0.0
                add_job(state, clock, nameId="wk-000002", sacks=1)
                await node.sync()
            node.report("n-0", 1, seq, node.token())
            if 1 < seq < 8:
                node.scheduling_loop._machine_transfer._checked_at[0] = clock.now()
            await node.round()
            machine = node.cluster.machines["n-0"]
            if machine.shard == other:
                break
        assert machine.shard == other
        assert not machine.attempts

    run_scenario(scenario)


async def _step_all(clock: FakeClock, *controllers: SteppedController) -> None:
    """Advance the clock by a quarter of a second, and step the running controllers."""
    clock.time += 0.25
    for controller in controllers:
        await controller.controller_lease.step()
        await controller.sync()
        await controller.membership.step()


def test_a_controller_without_heartbeats_releases_its_shards() -> None:
    """Guards against the loss of tasks when no worker can reach the owner of their shard.

    Ninety tasks were lost: the owner kept its shards, and every peer redirected the workers to it
    until the workers' leases expired.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=4)
        node = SteppedController(state, clock, nodes)
        other = SteppedController(state, clock, nodes, "node-1")
        await node.boot()
        await other.boot(wait_for_grants=False)
        released_at = 0.0
        for tick in range(1, 200):
            await _step_all(clock, node, other)
            if tick < 40:
                token = node.token() if 0 in node.membership.ownerships else 0
                for number in range(4):
                    node.report(f"n-{number}", 1, tick, token)
            if tick < 40:
                assert 0 in node.membership.ownerships
                silent_at = clock.time
            elif 0 not in node.membership.ownerships and not released_at:
                released_at = clock.time
                assert released_at - silent_at < 2 * node.settings.heartbeat_interval_s + 1
            if released_at and clock.time > released_at + 1.0:
                assert state.keys[keys.shard(0)][0]["owner"] == "node-1"
                break
        assert released_at
        # once heartbeats arrive again, the controller eventually gets its own shard back
        for tick in range(200, 300):
            await _step_all(clock, node, other)
            node.report("n-0", 1, tick, 1)
            other.report("n-0", 1, tick, 1)
        assert 0 in node.membership.ownerships

    run_scenario(scenario)
