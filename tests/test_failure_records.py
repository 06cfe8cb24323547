"""The failures that plans record: their format, their limits, and what is judged by them."""

from typing import Any

import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import Job, PlanChunk, PlannedAttempt
from crossmill.cluster.records import decode_chunk, encode_chunk
from crossmill.jobs.plan_writer import MAX_FAILED_MACHINES

from .builders import make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_job
from .stepped_controller import Nodes, SteppedController, run_scenario
from .stored_records import raise_feature_level

JOB = "wk-000001"


def _job(failed_at: dict[str, float], **fields: Any) -> Job:
    return Job(JOB, spec=make_spec(nameId=JOB, sacks=9), failed_at=failed_at, **fields)


def test_a_chunk_records_failures_beside_the_fields_that_production_reads() -> None:
    attempts = {0: PlannedAttempt(JOB, 0, 1, "n-0", 1)}
    value = orjson.loads(
        orjson.dumps(encode_chunk(PlanChunk(2, 1, attempts, failed_at={"n": 5.0})))
    )
    assert decode_chunk(JOB, value, 1, 0).failed_at == {"n": 5.0}
    assert set(value) == {"next", "done", "rows", "failed"}
    # the version in production reads these fields by name and ignores others
    assert (value["next"], value["done"], value["rows"]) == (2, "1", [[0, 1, "n-0", 1]])
    assert decode_chunk(JOB, {"next": 2, "done": "1", "rows": []}, 1, 0).failed_at == {}


def test_a_chunk_without_failures_is_stored_as_before() -> None:
    assert set(encode_chunk(PlanChunk())) == {"next", "done", "rows"}


async def _fail_on(node: SteppedController, machine: str, seq: int) -> None:
    """Report the failure of all tasks on the machine, and let the next rounds write and place."""
    attempts = list(node.cluster.machines[machine].attempts.values())
    failed = [reported_task(a.job, a.index, a.number, "exited", "error") for a in attempts]
    assert failed
    node.report(machine, 1, seq, node.token(), *failed)
    await node.controller_lease.step()
    await node.round()


def test_a_failure_is_recorded_with_its_machine() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=2)
        clock.time += 0.5
        await _fail_on(node, "n-0", 2)
        failed_at = round(clock.wall_time(), 1)
        assert state.keys[keys.plan(JOB, "0")][0]["failed"] == [["n-0", failed_at]]
        assert node.cluster.jobs[JOB].failed_at == {"n-0": failed_at}

    run_scenario(scenario)


def test_a_success_on_a_machine_removes_the_record_of_the_failure_there() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=2)
        value = state.keys[keys.plan(JOB, "0")][0]
        state.put(keys.plan(JOB, "0"), {**value, "failed": [["n-0", 5.0], ["n-7", 6.0]]})
        await node.sync()
        node.report("n-0", 1, 2, node.token(), reported_task(JOB, 0, 1, "exited", "done"))
        await node.round()
        assert node.cluster.jobs[JOB].failed_at == {"n-7": 6.0}

    run_scenario(scenario)


def test_only_the_newest_failures_are_recorded() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=1)
        earlier = [f"n-{10 + n}" for n in range(MAX_FAILED_MACHINES)]
        value = state.keys[keys.plan(JOB, "0")][0]
        state.put(keys.plan(JOB, "0"), {**value, "failed": [[m, 5.0] for m in earlier]})
        await node.sync()
        await _fail_on(node, "n-0", 2)
        recorded = [row[0] for row in state.keys[keys.plan(JOB, "0")][0]["failed"]]
        assert recorded == [*earlier[1:], "n-0"]

    run_scenario(scenario)


def test_failures_move_with_a_plan_into_segments() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        small = {"cards": 0.0, "cpus": 0.01, "ramGb": 0.01}
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=600, **small)
        legacy = state.keys[keys.plan(JOB, "0")][0]
        state.put(keys.plan(JOB, "0"), {**legacy, "failed": [["n-7", 5.0]]})
        raise_feature_level(state)
        await node.sync()
        for _ in range(40):
            clock.time += 0.5
            await node.controller_lease.step()
            await node.round()
        assert keys.plan(JOB, "0") not in state.keys
        assert node.cluster.jobs[JOB].failed_at == {"n-7": 5.0}

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("machines", "done", "is_suspect", "is_at_fault"),
    [(1, 0, False, False), (2, 0, True, False), (3, 0, True, True), (3, 1, False, False)],
)
def test_a_job_is_judged_by_machines_and_successes(
    machines: int, done: int, is_suspect: bool, is_at_fault: bool
) -> None:
    job = _job({f"n-{n}": 0.0 for n in range(machines)}, done_tasks=done)
    assert job.is_suspect is is_suspect
    assert job.is_at_fault is is_at_fault


def test_a_job_avoids_the_machines_where_it_failed_lately() -> None:
    job = _job({"n-0": 10.0, "n-1": 20.0})
    assert job.avoided_machines(since=9.9) == {"n-0", "n-1"}
    assert job.avoided_machines(since=10.0) == {"n-1"}
    assert not job.avoided_machines(since=20.0)


def test_a_job_at_fault_avoids_no_machine() -> None:
    assert not _job({f"n-{n}": 10.0 for n in range(3)}).avoided_machines(since=0.0)


def test_a_suspected_job_may_try_one_task_at_a_time() -> None:
    assert _job({"n-0": 0.0}).placeable_task_count() == 9
    assert _job({"n-0": 0.0, "n-1": 0.0}).placeable_task_count() == 1
    assert _job({"n-0": 0.0, "n-1": 0.0}, planned_tasks=1).placeable_task_count() == 0


def test_a_long_run_clears_a_job_and_is_recorded() -> None:
    value = encode_chunk(PlanChunk(failed_at={"n-0": 5.0, "n-1": 6.0}, has_run=True))
    chunk = decode_chunk(JOB, orjson.loads(orjson.dumps(value)), 1, 0)
    assert chunk.has_run
    job = _job(chunk.failed_at, has_run=chunk.has_run)
    assert not job.is_suspect
    assert job.placeable_task_count() == 9


def test_a_job_that_ran_for_long_blames_no_machine_if_it_failed_on_several_lately() -> None:
    times = {f"n-{n}": 10.0 * n for n in range(4)}
    assert _job(times, has_run=True).blames_machines(since=15.0)
    assert not _job(times, has_run=True).blames_machines(since=5.0)
    assert not _job(times).blames_machines(since=15.0)
    assert _job(times, done_tasks=1).blames_machines(since=5.0)
