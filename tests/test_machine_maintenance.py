"""Tests of machine retirement, machines that get no starts, and machines rented in advance."""

import pytest

from crossmill.cluster import keys
from crossmill.wire.workers import CommandKind

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_job
from .stepped_controller import SteppedController, add_job, run_scenario, seed

Nodes = dict[str, SteppedController]


def test_a_job_that_fails_on_every_machine_is_retried_with_backoff_and_retires_none() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=4, sacks=1)
        starts = 0
        for seq in range(2, 240):
            clock.time += 0.5
            await node.controller_lease.step()
            for number in range(4):
                machine = f"n-{number}"
                attempts = node.cluster.machines[machine].attempts.values()
                failed = [
                    reported_task(a.job, a.index, a.number, "exited", "error") for a in attempts
                ]
                starts += len(failed)
                node.report(machine, 1, seq, node.token(), *failed)
            await node.round()
        assert 4 <= starts <= 14
        assert not any(m.retirement_reason == "faulty" for m in node.cluster.machines.values())

    run_scenario(scenario)


def test_a_machine_on_which_several_jobs_fail_is_retired() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=1)
        add_job(state, clock, nameId="wk-000002", sacks=1)
        await node.sync()
        await node.round()
        attempts = node.cluster.machines["n-0"].attempts.values()
        failed = [reported_task(a.job, a.index, a.number, "exited", "error") for a in attempts]
        assert len(failed) == 2
        node.report("n-0", 1, 3, node.token(), *failed)
        clock.time += node.settings.worker_lease_expiry_s + 1
        await node.controller_lease.step()
        node.report("n-0", 1, 4, node.token())
        await node.round()
        # its attempts have been removed from the plan; the next maintenance check retires it
        clock.time += node.settings.maintenance_interval_s
        await node.round()
        assert node.cluster.machines["n-0"].retirement_reason == "faulty"

    run_scenario(scenario)


def test_an_idle_machine_is_retired_and_gets_no_start_after_that() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for seq in range(1, 60):
            clock.time += 1.0
            await node.renew_and_sync()
            node.report("n-0", 1, seq, node.token())
            await node.round()
        assert node.cluster.machines["n-0"].retirement_reason == "idle"
        add_job(state, clock, sacks=1)
        await node.sync()
        node.report("n-0", 1, 99, node.token())
        await node.round()
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 0

    run_scenario(scenario)


@pytest.mark.parametrize(("remaining_s", "stops"), [(20.0, 0), (5.0, 1)])
def test_a_task_saves_its_checkpoint_shortly_before_its_spot_machine_ends(
    remaining_s: float, stops: int
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(
            state, clock, nodes, machines=1, sacks=1, baggingS=10.0, sealS=3.0
        )
        node.report("n-0", 1, 2, node.token(), reported_task("wk-000001", 0, 1, "running"))
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        view.termination_at = clock.now() + remaining_s
        ownership = node.membership.ownerships[0]
        commands = node.heartbeats.reconciler.commands(
            node.cluster.machines["n-0"], view, ownership
        )
        assert [c.op for c in commands].count(CommandKind.STOP) == stops

    run_scenario(scenario)


@pytest.mark.parametrize("remaining_s", [20.0, 5.0])
def test_a_spot_machine_that_is_to_end_gets_no_start(remaining_s: float) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(
            state, clock, nodes, machines=1, sacks=1, baggingS=10.0, sealS=3.0
        )
        node.report("n-0", 1, 2, node.token(), reported_task("wk-000001", 0, 1, "running"))
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        view.termination_at = clock.now() + remaining_s
        add_job(state, clock, nameId="wk-000002", sacks=1)
        await node.sync()
        await node.round()
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 0

    run_scenario(scenario)


def test_spot_machines_for_arrays_are_requested_before_the_arrays_arrive() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        # arrays arrived regularly and are done: no waiting task requests a machine
        array = {"sacks": 20, "loaners": True, "grindS": 10.0}
        node = await boot_with_job(state, clock, nodes, machines=0, **array)
        for number in range(2, 11):
            add_job(state, clock, nameId=f"wk-{number:06d}", **array)
        await node.sync()
        node.forecast.plan(0)
        for job_id in list(node.cluster.jobs):
            state.put(keys.job(job_id), {**state.keys[keys.job(job_id)][0], "end": "done"})
        await node.sync()
        requests = node.forecast.plan(0).machine_requests
        # 10 arrays of 20 tasks of 10 s within the arrival window
        tasks = 10 * 20 * 10.0 / node.settings.arrival_window_s * node.settings.spot_baseline_ratio
        assert {request.source.spot for request in requests.values()} == {True}
        machines = sum(request.number for request in requests.values())
        assert machines == -(-round(tasks) // 4)

    run_scenario(scenario)
