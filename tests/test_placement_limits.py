"""Tests that limits of teams and jobs count attempts that are not proved to have ended."""

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario, seed


def test_a_team_limit_counts_attempts_not_proved_ended() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=6)
        add_job(state, clock, sacks=16)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for number in range(6):
            node.report(f"n-{number}", 1, 1, node.token())
        await node.round()
        add_job(state, clock, nameId="wk-000002")
        await node.sync()
        # no machine has a recent heartbeat, so all sixteen tasks may still be running
        clock.time += node.settings.heartbeat_timeout_s
        for number in range(6):
            node.report(f"n-{number}", 1, 2, node.token())
        await node.round()
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 16
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 0

    run_scenario(scenario)


def test_spread_counts_tasks_already_planned() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=2)
        job = add_job(state, clock, sacks=4, spread=True, cut="service", grindS=0.0)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for number in range(2):
            node.report(f"n-{number}", 1, 1, node.token())
        await node.round()
        assert node.cluster.machines.task_counts_by_zone(node.cluster.jobs[job]) == {"north": 2}

    run_scenario(scenario)
