"""Steps of the tests of job dependencies: a controller, submissions, and what a user is shown."""

import orjson

from crossmill.net.server import Response
from crossmill.wire.checks import load_object

from .builders import submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, seed
from .stored_records import raise_feature_level

A, B, C, D = (f"wk-00000{n}" for n in range(1, 5))


async def submit_job(
    node: SteppedController, job: str, *dependencies: str, **fields: object
) -> Response:
    """Submits a job that depends on the given ones."""
    body = submission(nameId=job, awaits=list(dependencies), **{"sacks": 1, **fields})
    return await node.ask("POST", "/v1/jobs", orjson.dumps(body))


async def shown_stage(node: SteppedController, job: str) -> str:
    """Returns the stage that a user is shown for a job."""
    response = await node.ask("GET", f"/v1/jobs/{job}")
    assert response.status == 200, response.status
    return str(load_object(response.body)["stage"])


async def start_controller(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> SteppedController:
    """Starts a controller that owns a machine and accepts dependencies."""
    seed(state, clock, machines=1)
    raise_feature_level(state)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    node.report("n-0", 1, 1, 0)
    node.report("n-0", 1, 2, node.token())
    return node


def started_tasks(node: SteppedController, seq: int, *tasks: object) -> list[str]:
    """Sends a heartbeat of the machine; returns the tasks that the response starts."""
    commands = node.report("n-0", 1, seq, node.token(), *tasks).commands
    return [c.task for c in commands if c.op == "start"]
