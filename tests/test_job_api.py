"""Responses to users who submit and look up jobs."""

from typing import Any

import orjson
import pytest

from crossmill.cluster import keys

from .builders import submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario, seed


def test_a_state_that_is_not_final_is_read_again_before_each_response() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        job = add_job(state, clock)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        # another controller cancels the job, and this controller's mirror lags
        state.put(keys.job(job), {**state.keys[keys.job(job)][0], "end": "cancelled"})
        response = await node.send_user_request("GET", f"/v1/jobs/{job}")
        assert orjson.loads(response.body)["stage"] == "withdrawn"
        state.put(keys.job("wk-000002"), state.keys[keys.job(job)][0])
        assert (await node.send_user_request("GET", "/v1/jobs/wk-000002")).status == 200
        assert (await node.send_user_request("GET", "/v1/jobs/wk-000009")).status == 404
        state.is_down = True
        assert (await node.send_user_request("GET", "/v1/jobs/wk-000009")).status == 503
        # a final state is reported without a read
        assert (await node.send_user_request("GET", f"/v1/jobs/{job}")).status == 200

    run_scenario(scenario)


def test_a_submission_before_the_catalog_is_read_gets_a_503() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        body = orjson.dumps(submission())
        early = await node.send_user_request("POST", "/v1/jobs", body)
        assert (early.status, early.retry_after_s) == (503, 1)
        seed(state, clock)
        await node.sync()
        assert (await node.send_user_request("POST", "/v1/jobs", body)).status == 201
        assert state.keys[keys.job("wk-000001")][0]["spec"]["tasks"] == 2

    run_scenario(scenario)


def test_an_invalid_repeat_of_an_accepted_submission_gets_a_200_from_another_controller() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert (
            await node.send_user_request("POST", "/v1/jobs", orjson.dumps(submission()))
        ).status == 201
        # an invalid repeat, at another controller that has not accepted the job itself
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        invalid_repeat = orjson.dumps({"nameId": "wk-000001", "cpus": -1})
        assert (await other.send_user_request("POST", "/v1/jobs", invalid_repeat)).status == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("change", "status"),
    [
        ({"cpus": True}, 400),
        ({"crew": "nobody"}, 422),
        ({"cards": 5.0}, 422),
        ({"cut": "service", "sacks": 17}, 422),
        ({"sacks": 17}, 201),
    ],
)
def test_a_submission_is_validated(change: dict[str, Any], status: int) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        data = orjson.dumps(submission(nameId="wk-000007", **change))
        assert (await node.send_user_request("POST", "/v1/jobs", data)).status == status

    run_scenario(scenario)


def test_a_submission_during_an_outage_gets_a_503() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        state.is_down = True
        refused = await node.send_user_request(
            "POST", "/v1/jobs", orjson.dumps(submission(nameId="wk-000008"))
        )
        assert (refused.status, refused.retry_after_s) == (503, 1)

    run_scenario(scenario)
