"""Job pipelines in a simulated region while controllers restart or cancel jobs."""

import curio
import pytest

from .dependency_scenario import A, B, C, D
from .simulated_region import Region, simulate


async def _submit_diamond(region: Region, label: str = "node-0") -> None:
    assert await region.submit(label, A, run_s=3.0, sacks=2) == 201
    assert await region.submit(label, B, run_s=3.0, sacks=2, awaits=[A]) == 201
    assert await region.submit(label, C, run_s=3.0, sacks=2, awaits=[A], crew="blue") == 201
    assert await region.submit(label, D, run_s=2.0, sacks=1, awaits=[B, C], crew="green") == 201


async def _start_with_workers(region: Region) -> None:
    await region.start_region(machines=0)
    for shard in range(3):
        await region.add_worker(f"n-{shard}", shard=shard)
    await region.wait_until(lambda: all(n.cluster.level is not None for n in region.nodes.values()))


def test_a_diamond_across_three_teams_runs_in_order_through_a_restart_of_all_controllers() -> None:
    async def scenario(region: Region) -> None:
        await _start_with_workers(region)
        await _submit_diamond(region)
        await region.wait_until(lambda: bool(region.workers_running(A)))
        for label in Region.LABELS:
            await region.kill(label)
        await curio.sleep(2)
        for label in Region.LABELS:
            await region.start(label)
        await region.wait_until(lambda: region.has_finished(D, 1), 120)

    simulate(scenario)


@pytest.mark.parametrize("outage_s", [0.0, 45.0])
def test_all_controllers_restart_before_cancelled_dependents_are_recorded(
    outage_s: float,
) -> None:
    # in the second case the state service also fails right after the confirmation, for longer than
    # `cancel_s`
    async def scenario(region: Region) -> None:
        await _start_with_workers(region)
        await _submit_diamond(region)
        assert await region.cancel_until_confirmed("node-1", A, 20)
        region.state.is_down = outage_s > 0
        for label in Region.LABELS:
            await region.kill(label)
        await curio.sleep(1)
        for label in Region.LABELS:
            await region.start(label)
        await curio.sleep(outage_s)
        region.state.is_down = False
        await curio.sleep(10)
        for job in (A, B, C, D):
            await region.query_job_everywhere(job)
            assert region.checker.jobs[job].cancelled is not None
        assert not region.workers_running(D)

    simulate(scenario)


def test_a_dependent_submitted_at_one_node_while_its_dependency_is_cancelled_at_another() -> None:
    async def scenario(region: Region) -> None:
        await _start_with_workers(region)
        assert await region.submit("node-0", A, run_s=30.0, sacks=1) == 201
        async with curio.TaskGroup() as group:
            await group.spawn(region.cancel_until_confirmed, "node-1", A, 20.0)
            for number in range(100, 120):
                name = f"wk-{number:06d}"
                await group.spawn(_submit_until_accepted, region, name)
                await curio.sleep(0.01)
        for number in range(100, 120):
            name = f"wk-{number:06d}"
            await region.query_job_everywhere(name, 1)
            assert region.checker.jobs[name].cancelled is not None

    simulate(scenario)


async def _submit_until_accepted(region: Region, name: str) -> None:
    while not await region.submit("node-2", name, run_s=1.0, sacks=1, awaits=[A]) < 300:
        await curio.sleep(0.5)
