"""Raising of the feature level once all controllers support it."""

import curio
import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.feature_level import DEPENDENCY_LEVEL, SUPPORTED_LEVEL
from crossmill.cluster.model import Level
from crossmill.cluster.records import encode_level

from .builders import submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .simulated_links import TransactionFault
from .simulated_region import Region, simulate
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario, seed


@pytest.mark.parametrize("upgraded", [(), ("node-1",), ("node-1", "node-2")])
def test_the_leader_raises_the_level_once_all_controllers_have_written_their_notes(
    upgraded: tuple[str, ...],
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        for label in upgraded:
            state.put(keys.feature_note(label), {"level": SUPPORTED_LEVEL})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        await node.feature_level.step()
        assert keys.feature_note("node-0") in state.keys
        for _ in range(4):
            clock.time += node.settings.controller_lease_ttl_s / 3
            await node.renew_and_sync()
            await node.membership.step()
        assert node.membership.leadership_version() is not None
        await node.feature_level.step()
        assert (keys.LEVEL in state.keys) is (len(upgraded) == 2)
        # a job with dependencies is accepted only after the raise
        add_job(state, clock, nameId="wk-000009", sacks=1)
        await node.sync()
        body = orjson.dumps(submission(nameId="wk-000010", awaits=["wk-000009"]))
        response = await node.send_user_request("POST", "/v1/jobs", body)
        assert response.status == (201 if len(upgraded) == 2 else 503)
        assert response.retry_after_s is not None or response.status == 201

    run_scenario(scenario)


def test_the_level_is_raised_to_what_the_oldest_controller_supports_and_keeps_its_sizes() -> None:
    """A controller of the version before knows no loans; chunks keep their sizes."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        state.put(keys.LEVEL, encode_level(Level(DEPENDENCY_LEVEL, 512, 16)))
        for label in ("node-0", "node-1", "node-2"):
            state.put(keys.feature_note(label), {"level": DEPENDENCY_LEVEL})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for _ in range(4):
            clock.time += node.settings.controller_lease_ttl_s / 3
            await node.renew_and_sync()
            await node.membership.step()
        assert node.membership.leadership_version() is not None
        await node.feature_level.step()
        # the note of the version before was replaced, but other controllers still run it
        assert state.keys[keys.feature_note("node-0")][0]["level"] == SUPPORTED_LEVEL
        assert state.keys[keys.LEVEL][0]["level"] == DEPENDENCY_LEVEL
        for label in ("node-1", "node-2"):
            state.put(keys.feature_note(label), {"level": SUPPORTED_LEVEL})
        await node.sync()
        await node.feature_level.step()
        assert state.keys[keys.LEVEL][0] == encode_level(Level(SUPPORTED_LEVEL, 512, 16))

    run_scenario(scenario)


def test_the_level_is_raised_despite_lost_responses_and_an_outage() -> None:
    async def scenario(region: Region) -> None:
        lost: list[str] = []

        def transaction_fault(label: str, method: str, path: str) -> TransactionFault | None:
            # every controller's first transactions are executed but get no response
            if path == "/txn" and lost.count(label) < 6:
                lost.append(label)
                return TransactionFault(0.0, executes_immediately=True)
            return None

        region.transaction_fault = transaction_fault
        await region.start_region(machines=0)
        region.state.is_down = True
        await curio.sleep(3)
        region.state.is_down = False
        await region.restart("node-1", 1.0)
        await region.wait_until(lambda: all(n.cluster.level for n in region.nodes.values()), 90)
        assert region.state.keys[keys.LEVEL][0]["level"] == SUPPORTED_LEVEL

    simulate(scenario)
