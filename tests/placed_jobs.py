"""Test controllers with machines and a job that is waiting, placed or running."""

from typing import Any

from crossmill.wire.workers import Command, CommandKind

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, add_job, seed


async def boot_with_waiting_job(
    state: StateService,
    clock: FakeClock,
    nodes: Nodes,
    machines: int,
    **job: Any,
) -> SteppedController:
    """Return a controller with an accepted job, before any machine has sent a heartbeat."""
    seed(state, clock, machines=machines)
    add_job(state, clock, **job)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    return node


async def boot_with_job(
    state: StateService,
    clock: FakeClock,
    nodes: Nodes,
    machines: int,
    **job: Any,
) -> SteppedController:
    """Return a controller after its machines sent heartbeats and one round placed a job."""
    node = await boot_with_waiting_job(state, clock, nodes, machines, **job)
    for number in range(machines):
        node.report(f"n-{number}", 1, 1, node.token())
    await node.round()
    return node


async def start_placed_task(
    state: StateService, clock: FakeClock, nodes: Nodes, **job: object
) -> SteppedController:
    """Return a controller whose machine n-0 runs the job's only task: attempt 1, session 1."""
    node = await boot_with_waiting_job(state, clock, nodes, 1, **{"sacks": 1, **job})
    (job_id,) = node.cluster.jobs
    token = node.token()
    node.report("n-0", 1, 1, 0)
    node.report("n-0", 1, 2, token)
    await node.round()
    assert node.report("n-0", 1, 3, token).commands == (
        Command(CommandKind.START, f"{job_id}/0", 1),
    )
    node.report("n-0", 1, 4, token, reported_task(job_id, 0, 1, "running"))
    return node
