"""Owners that follow one another in quick succession while jobs are cancelled."""

import curio

from .simulated_region import Region, simulate
from .simulated_worker import Worker

JOB = "wk-000001"
# time for which the worker hears nothing while its job is cancelled, in seconds
UNREACHABLE_S = 1.5
# time after the cancellation deadline until which owners are replaced, in seconds
CHAIN_AFTER_DEADLINE_S = 5.0
RESTART_DELAY_S = 0.2


async def replace_owners_after_one_response(region: Region, worker: Worker, until: float) -> None:
    """Replace the owner's process each time the worker has accepted a response of it."""
    while region.clock.now() < until:
        token = worker.token
        await region.restart(region.owners()[0], RESTART_DELAY_S)
        await region.wait_until(lambda seen=token: worker.token > seen)  # type: ignore[misc]


def test_a_cancelled_task_ends_although_no_owner_responds_to_its_worker_twice() -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=1)
        worker = region.workers["n-0"]
        assert await region.submit("node-1", JOB, sacks=1) == 201
        await region.wait_until(lambda: bool(region.workers_running(JOB)))
        worker.heartbeats_lost = worker.inbound_lost = True
        await curio.sleep(UNREACHABLE_S)
        assert await region.cancel("node-1", JOB) == 200
        deadline = region.clock.now() + region.cancellation_deadline_s
        await region.restart(region.owners()[0], RESTART_DELAY_S)
        worker.heartbeats_lost = worker.inbound_lost = False
        await replace_owners_after_one_response(region, worker, deadline + CHAIN_AFTER_DEADLINE_S)
        assert worker.session == 1, "the lease expired: the owners were not replaced fast enough"

    simulate(scenario)
