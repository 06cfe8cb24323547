"""Lower limits of the state service, first announced in the settings and then in effect."""

from typing import Any

import curio
import pytest

from crossmill.cluster import keys
from crossmill.settings import SettingsError, StateLimits, parse
from crossmill.state.writer import WriteIntent, WriteResult
from crossmill.wire.state import Put, Txn

from .builders import make_settings, reported_task, settings_table
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .production_records import JOB, PRODUCTION_JOB, PRODUCTION_SPEC
from .simulated_region import Region, simulate
from .stepped_controller import Nodes, SteppedController, add_job, add_machine, run_scenario, seed
from .stored_records import raise_feature_level


def test_only_next_limits_below_the_current_ones_apply() -> None:
    table = settings_table()
    del table["settings"]["state"]["next"]
    assert parse(table).lowest_state_limits == parse(table).state_limits
    table["settings"]["state"]["next"] = {"value_kb": 64, "txn_ops": 6}
    lowest = parse(table).lowest_state_limits
    assert (lowest.value_bytes, lowest.txn_ops, lowest.write_rps) == (32 * 1024, 6, 60.0)


@pytest.mark.parametrize("malformed", [{"value_kb": 0}, {"txn_ops": -1}, {"write_rps": "fast"}, 7])
def test_malformed_next_limits_are_rejected(malformed: object) -> None:
    table = settings_table()
    table["settings"]["state"]["next"] = malformed
    with pytest.raises(SettingsError, match=r"settings\.state\.next"):
        parse(table)


def test_a_batch_that_became_too_large_is_split_and_a_single_write_is_refused() -> None:
    # guards against endless retries of a transaction that the state service refuses for its size,
    # and against treating the refusal as a lost lease
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        # the writer's token bucket is full again
        clock.time += 2
        state.limits = StateLimits(100, 40, 2048, 2)
        intents = [WriteIntent(Txn({}, [Put(f"cm/x/{n}", n)])) for n in range(5)]
        large = WriteIntent(Txn({}, [Put("cm/x/large", "y" * 3000)]))
        for intent in (*intents, large):
            await node.writer.submit(intent)
        assert [await i.future.wait() for i in intents] == [WriteResult.OK] * 5
        assert await large.future.wait() == WriteResult.CONFLICT
        assert state.oversized_transaction_count <= 3
        assert node.membership.active_ownership(0) is not None

    run_scenario(scenario)


@pytest.mark.parametrize("lowered_after_s", [2.0, 6.0, 11.0])
def test_limits_are_lowered_while_pipelines_run_and_a_controller_restarts(
    lowered_after_s: float,
) -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        for number in range(3):
            await region.add_worker(f"n-{number}", shard=0)
        await region.wait_until(lambda: all(n.cluster.level for n in region.nodes.values()))
        small: dict[str, Any] = {"cpus": 0.1, "cards": 0.0, "ramGb": 0.1, "pullGb": 0.0}
        first, second = "wk-000101", "wk-000102"
        assert await region.submit("node-0", first, run_s=4.0, sacks=150, **small) == 201
        assert (
            await region.submit("node-1", second, run_s=4.0, sacks=40, awaits=[first], **small)
            == 201
        )
        await curio.sleep(lowered_after_s)
        region.state.limits = StateLimits(100, 40, 2048, 6)
        owner = region.owners()[0]
        await region.restart(owner, 2.0)
        await region.wait_until(lambda: region.has_finished(second, 40), 120)
        assert region.state.oversized_transaction_count == 0

    simulate(scenario)


def test_the_machines_of_one_plan_write_fit_into_its_conditions() -> None:
    # a job with many tasks, one per machine, under limits of 6 changes and 24 conditions
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=0)
        for number in range(40):
            add_machine(state, clock, f"n-{number}")
        raise_feature_level(state)
        state.limits = StateLimits(100, 40, 2048, 6)
        add_job(state, clock, nameId=JOB, sacks=40, cpus=32.0, cards=0.0, ramGb=1.0)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for turn in range(6):
            clock.time += 0.5
            await node.renew_and_sync()
            for number in range(40):
                node.report(f"n-{number}", 1, turn + 1, node.token())
            await node.round()
        assert node.cluster.jobs[JOB].planned_task_count() == 40
        assert state.oversized_transaction_count == 0
        assert make_settings().lowest_state_limits.max_conditions == 24

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["done", "cancelled"])
def test_a_job_can_end_whose_record_exceeds_the_lowered_limit(end: str) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        spec = {**PRODUCTION_SPEC, "tasks": 1, "image": "i" * 3000, "zone": "north"}
        state.put(keys.job(JOB), {**PRODUCTION_JOB, "spec": spec})
        raise_feature_level(state)
        state.limits = StateLimits(100, 40, 2048, 6)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        if end == "cancelled":
            response = await node.send_user_request("POST", f"/v1/jobs/{JOB}/withdraw")
            assert response.status == 200
        else:
            await node.round()
            node.report("n-0", 1, 2, node.token(), reported_task(JOB, 0, 1, "exited", "done"))
            await node.round()
        stored = state.keys[keys.job(JOB)][0]
        assert stored["end"] == end
        assert state.oversized_transaction_count == 0
        assert (stored["spec"]["team"], stored["spec"]["gpus"]) == ("red", 1.0)

    run_scenario(scenario)
