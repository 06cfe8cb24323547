"""Steps shared by the dependency tests: starting a controller, submitting and polling jobs."""

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
    """Submit a job that depends on the given jobs."""
    body = submission(nameId=job, awaits=list(dependencies), **{"sacks": 1, **fields})
    return await node.send_user_request("POST", "/v1/jobs", orjson.dumps(body))


async def shown_stage(node: SteppedController, job: str) -> str:
    """Return the stage that the API shows for a job."""
    response = await node.send_user_request("GET", f"/v1/jobs/{job}")
    assert response.status == 200, response.status
    return str(load_object(response.body)["stage"])


async def start_controller(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> SteppedController:
    """Start a controller that owns one machine and accepts dependencies."""
    seed(state, clock, machines=1)
    raise_feature_level(state)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    node.report("n-0", 1, 1, 0)
    node.report("n-0", 1, 2, node.token())
    return node


def tasks_started_by_heartbeat(node: SteppedController, seq: int, *tasks: object) -> list[str]:
    """Send a heartbeat of the machine and return the tasks that the response starts."""
    commands = node.report("n-0", 1, seq, node.token(), *tasks).commands
    return [command.task for command in commands if command.op == "start"]
