"""Jobs run to their end while controllers are replaced."""

from functools import partial

import curio
import pytest

from crossmill.cluster import keys

from .fault_injection import (
    cancel_services_and_wait,
    lose_responses,
    submit_single_task_jobs,
    wait_until_all_ended,
)
from .simulated_region import Region, simulate


def test_jobs_run_and_are_cancelled_without_faults() -> None:
    """Jobs run and end without faults; this also shows that the checker observes running tasks."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        assert await region.submit("node-1", "wk-000001", sacks=3) == 201
        assert await region.submit("node-2", "wk-000002", run_s=5.0, sacks=2) == 201
        await region.wait_until(lambda: len(region.workers_running("wk-000001")) > 0)
        await region.wait_until(lambda: len(region.checker.jobs["wk-000002"].finished) == 2)
        await curio.sleep(3.0)
        assert await region.query_job("node-0", "wk-000002") == 200
        assert region.checker.jobs["wk-000002"].done is not None
        assert await region.cancel("node-2", "wk-000001") == 200
        await curio.sleep(3.0)
        assert not region.workers_running("wk-000001")

    simulate(scenario)


@pytest.mark.parametrize("outage", [False, True])
def test_jobs_end_despite_ten_failovers_in_two_minutes(outage: bool) -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=4)
        await region.submit("node-1", "wk-000001", sacks=2)
        traffic = await curio.spawn(submit_single_task_jobs, region, 40, 2.5)
        for n in range(10):
            await curio.sleep(7.0)
            if outage and n in (3, 7):
                region.state.is_down = True
            await region.restart(region.owners().get(0, "node-0"), 0.2 if n % 2 else 4.0)
            region.state.is_down = False
        await traffic.join()
        await cancel_services_and_wait(region)

    simulate(scenario)


@pytest.mark.parametrize("downtime_s", [0.3, 3.0, 25.0])
def test_all_controllers_end_and_one_returns_before_the_others(downtime_s: float) -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=3)
        await region.submit("node-1", "wk-000001", sacks=2)
        await submit_single_task_jobs(region, 6, 0.5)
        for label in list(region.LABELS):
            await region.kill(label)
        await curio.sleep(downtime_s)
        await region.start("node-1")
        await curio.sleep(5.0)
        await region.start("node-0")
        await region.start("node-2")
        await cancel_services_and_wait(region)

    simulate(scenario)


def test_no_task_runs_again_after_failovers_between_its_jobs_tasks() -> None:
    """The tasks run one after the other on one machine, with a failover after each task."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=1)
        await region.submit("node-1", "wk-000001", run_s=5.0, sacks=3, cards=4.0)
        for done in (1, 2, 3):
            await region.wait_until(partial(region.has_finished, "wk-000001", done), 40.0)
            await region.query_job_everywhere("wk-000001")
            await region.restart(region.owners().get(0, "node-0"), 0.2 if done % 2 else 3.0)
        await wait_until_all_ended(region)
        assert len(region.checker.starts) == 3, "a finished task was started again"

    simulate(scenario)


def test_a_stream_of_single_task_jobs_leaves_nothing_behind() -> None:
    """All jobs end, their plans are deleted, and no controller has a queued write left."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=8)
        await submit_single_task_jobs(region, 160, 0.25)
        await wait_until_all_ended(region, 60.0)
        await curio.sleep(20.0)
        owner = region.nodes[region.owners()[0]]
        assert not any(owner.cluster.jobs.ended[k] for k in range(3))
        assert not any(k.startswith(keys.PLAN) for k in region.state.keys)
        assert all(node.writer.backlog == 0 for node in region.nodes.values())

    simulate(scenario)


def test_machines_that_come_up_before_their_records_are_written() -> None:
    """Machines are rented and come up within two seconds, before their records are written.

    Workers send heartbeats before their machines have records, the records are written late, and
    the next leader rents again.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        await region.run_provisioners()
        lose_responses(2, region, 2.0, False, 25.0)
        for n in range(4):
            await region.submit("node-1", f"wk-{800000 + n}", run_s=6.0, sacks=4)
        await region.wait_until(lambda: len(region.workers) > 0, 40.0)
        await curio.sleep(0.7)
        await region.restart(region.leader() or "node-0", 0.4)
        await curio.sleep(6.0)
        await region.restart(region.leader() or "node-0", 3.0)
        await wait_until_all_ended(region, 150.0)

    simulate(scenario)
