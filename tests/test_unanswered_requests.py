"""Requests to the state service and the cloud whose response was lost."""

import curio

from crossmill.state.writer import WriteIntent, WriteResult
from crossmill.wire.state import Put, Txn

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import (
    Nodes,
    SteppedController,
    add_job,
    run_scenario,
    seed,
)


def test_a_write_without_a_response_is_resolved_by_reading() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        state.scripted_faults["/txn"] = ["lose"]
        intent = WriteIntent(Txn({"cm/x": 0}, [Put("cm/x", {"a": 1.0})]))
        assert await node.writer.commit(intent) == WriteResult.OK
        assert state.received_requests.count(("GET", "/keys/cm/x")) == 1
        state.scripted_faults["/txn"] = ["drop"]
        other = WriteIntent(Txn({"cm/y": 0}, [Put("cm/y", {"a": 1})]))
        state.put("cm/y", {"a": 2})
        assert await node.writer.commit(other) == WriteResult.CONFLICT

    run_scenario(scenario)


def test_later_writes_of_others_are_known_once_an_unanswered_write_is_resolved() -> None:
    """Guards against an outdated owner after a machine transfer.

    The new owner's record was read while the outcome of the transfer's write was unknown, and was
    then discarded, so that the former owner continued to respond to the machine's worker.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        intent = WriteIntent(Txn({"cm/x": 0}, [Put("cm/x", {"a": 1})]))
        state.scripted_faults["/txn"] = ["lose"]
        await node.writer.submit(intent)
        while not state.keys.get("cm/x"):
            await curio.sleep(0)
        state.put("cm/x", {"a": 2})
        await intent.future.wait()
        assert node.mirror.value("cm/x") == {"a": 2}

    run_scenario(scenario)


def test_an_unanswered_rental_is_not_repeated() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=0)
        add_job(state, clock, sacks=4)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for _ in range(6):
            clock.time += node.settings.controller_lease_ttl_s / 2
            await node.controller_lease.step()
            await node.membership.step()
        assert node.membership.leadership_version() is not None
        node.cloud.scripted_faults = ["lose"]
        await node.provisioner.scale_out()
        assert len(node.cloud.machines_by_request) == 1
        assert len(node.cluster.machines) == 1
        await node.provisioner.scale_out()
        assert len(node.cloud.machines_by_request) == 1

    run_scenario(scenario)
