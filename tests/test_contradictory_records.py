"""Contradictory records of jobs and plans that a controller reads at startup.

Each test is a regression test for an invariant violation at production size (docs/safety.md); the
comments name the invariant in tests/invariant_checker.py.
"""

import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED
from crossmill.cluster.records import encode_end

from .builders import make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import MAX_RECORD_BYTES, Nodes, SteppedController, run_scenario, seed
from .stored_records import store_finished_jobs_beyond

JOB = "wk-000001"


def test_an_ended_job_with_tasks_on_machines_is_not_archived_after_a_restart() -> None:
    # ran_cancelled, orphaned: a full read delivered the record before the plan, so the job counted
    # as cleaned up; once it was archived, no controller stopped its tasks
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        record = encode_end(
            CANCELLED, make_spec(nameId=JOB, sacks=1), clock.wall_time(), MAX_RECORD_BYTES
        )
        state.put(keys.job(JOB), record)
        state.put(keys.plan(JOB, "0"), {"next": 2, "done": "0", "rows": [[0, 1, "n-0", 1]]})
        node = SteppedController(state, clock, nodes)
        store_finished_jobs_beyond(state, clock, node.settings.max_ended_jobs)
        await node.boot()
        node.report("n-0", 1, 1, 0, reported_task(JOB, 0, 1, "running"))
        for _ in range(6):
            clock.time += 1
            await node.renew_and_sync()
            await node.round()
        assert any(key.startswith(keys.ARCHIVE) for key in state.keys)
        assert keys.job(JOB) in state.keys
        response = node.report("n-0", 1, 2, node.token(), reported_task(JOB, 0, 1, "running"))
        assert [command.op for command in response.commands] == ["stop"]

    run_scenario(scenario)


@pytest.mark.parametrize("is_archived", [True, False])
def test_a_plan_without_a_job_is_removed_only_if_the_job_was_archived(is_archived: bool) -> None:
    # orphaned: an earlier version could leave such a plan; without the archived record, none of its
    # tasks may be started, stopped or removed from the plan
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        plan = keys.plan(JOB, "0")
        state.put(plan, {"next": 2, "done": "0", "rows": [[0, 1, "n-0", 1], [1, 2, "n-0", 1]]})
        if is_archived:
            state.put(keys.archived(JOB), {"end": CANCELLED, "done": 0})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        running = reported_task(JOB, 0, 1, "running")
        node.report("n-0", 1, 1, 0, running)
        response = node.report("n-0", 1, 2, node.token(), running)
        assert [command.op for command in response.commands] == []
        await node.record_repair.step()
        assert (await node.send_user_request("GET", f"/v1/jobs/{JOB}")).status == (
            200 if is_archived else 404
        )
        response = node.report("n-0", 1, 3, node.token(), running)
        assert [command.op for command in response.commands] == (["stop"] if is_archived else [])
        ended = [reported_task(JOB, 0, 1, "exited", "halted")] if is_archived else [running]
        node.report("n-0", 1, 4, node.token(), *ended)
        for _ in range(4):
            clock.time += 1
            await node.renew_and_sync()
            await node.round()
        assert (plan not in state.keys) is is_archived
        assert (JOB not in node.cluster.jobs) is is_archived
        assert len(node.cluster.machines["n-0"].attempts) == (0 if is_archived else 2)

    run_scenario(scenario)
