"""Plans and write rates of running controllers while the feature level is raised."""

from typing import Any

import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.layout import PlanLayout
from crossmill.cluster.model import Level
from crossmill.cluster.records import encode_chunk, encode_level
from crossmill.settings import StateLimits

from .fake_clock import FakeClock
from .fake_state_service import StateService
from .production_records import JOB, PRODUCTION_JOB, PRODUCTION_SPEC
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario, seed
from .stored_records import raise_feature_level


def test_segments_nest_in_legacy_chunks() -> None:
    layout = PlanLayout(100, 32)
    names = [(c.name, c.first, c.end) for c in layout.chunks(230, ["1"])]
    assert names[:4] == [("0-32", 0, 32), ("32-32", 32, 64), ("64-32", 64, 96), ("96-4", 96, 100)]
    assert names[4] == ("1", 100, 200)
    assert names[5] == ("200-32", 200, 230)
    for name, first, _ in names:
        assert layout.parse(name).first == first


def test_chunk_sizes_come_from_the_level_and_not_from_the_settings() -> None:
    # guards against misreading stored plans once the settings contain the lower limit
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        state.put(keys.LEVEL, encode_level(Level(1, 1024, 64)))
        state.put(keys.job(JOB), {**PRODUCTION_JOB, "spec": {**PRODUCTION_SPEC, "tasks": 3000}})
        state.put(keys.plan(JOB, "1"), {"next": 2, "done": "1", "rows": [[1025, 1, "n-0", 1]]})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        job = node.cluster.jobs[JOB]
        assert job.chunks["1"].first_task == 1024
        assert node.cluster.layout.chunk_of(1030, job.chunks).name == "1"
        assert job.spec is not None
        waiting = node.scheduling_loop._placement._waiting_tasks(job, job.spec)
        assert 1024 not in waiting
        assert 1025 not in waiting

    run_scenario(scenario)


def _legacy_plan(tasks: int, done: int = 0) -> dict[str, Any]:
    rows = [[i, i + 1, f"n-{i % 2}", 1] for i in range(tasks) if not done >> i & 1]
    return {"next": tasks + 1, "done": f"{done:x}", "rows": rows}


async def _boot_with_legacy_plan(
    state: StateService, clock: FakeClock, nodes: Nodes, tasks: int
) -> SteppedController:
    seed(state, clock, machines=2)
    spec = {**PRODUCTION_SPEC, "tasks": tasks, "cpus": 0.01, "gpus": 0.0, "memory_gb": 0.1}
    state.put(keys.job(JOB), {**PRODUCTION_JOB, "spec": spec})
    state.put(keys.plan(JOB, "0"), _legacy_plan(tasks, done=0b101))
    node = SteppedController(state, clock, nodes)
    await node.boot()
    for machine in ("n-0", "n-1"):
        node.report(machine, 1, 1, node.token())
    return node


async def _boot_and_begin_migration(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> SteppedController:
    """Return a controller after the round that copied the first of 400 tasks into segments."""
    node = await _boot_with_legacy_plan(state, clock, nodes, 400)
    raise_feature_level(state)
    await node.sync()
    await node.round()
    return node


async def _run_rounds(clock: FakeClock, node: SteppedController, rounds: int) -> None:
    for _ in range(rounds):
        clock.time += 0.5
        await node.renew_and_sync()
        await node.round()


def _planned_tasks(state: StateService) -> list[int]:
    """Return the planned task indexes in the stored chunks that are in effect."""
    prefix = keys.PLAN + JOB + "/"
    chunks = {k[len(prefix) :]: v[0] for k, v in state.keys.items() if k.startswith(prefix)}
    names = ["0"] if "0" in chunks else list(chunks)
    return sorted(row[0] for name in names for row in chunks[name]["rows"])


@pytest.mark.parametrize("tasks", [40, 160, 400])
@pytest.mark.parametrize("is_lowered", [False, True])
def test_a_large_plan_is_migrated_into_segments_and_no_task_seems_free(
    tasks: int, is_lowered: bool
) -> None:
    # the limit may also be lowered before the migration: 400 tasks need several transactions
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_legacy_plan(state, clock, nodes, tasks)
        planned = [i for i in range(tasks) if i not in (0, 2)]
        raise_feature_level(state)
        if is_lowered:
            state.limits = StateLimits(100, 40, 2048, 6)
        await node.sync()
        assert node.writer.limits.txn_ops == 6
        for turn in range(8):
            # a restart of the owner during the migration must have no effect
            if turn == 1:
                node = SteppedController(state, clock, nodes)
                await node.boot()
            await _run_rounds(clock, node, 1)
            assert _planned_tasks(state) == planned
            job = node.cluster.jobs[JOB]
            assert sorted(r.index for r in job.attempts()) == planned
            assert job.waiting_task_count() == 0
            assert job.done_task_count() == 2
        assert keys.plan(JOB, "0") not in state.keys
        assert not node.cluster.jobs[JOB].staged
        assert state.oversized_transaction_count == 0
        limit = 2048
        assert all(len(orjson.dumps(encode_chunk(c))) < limit for c in job.chunks.values())
        # attempt numbers continue after those of the legacy chunk
        assert all(c.next_attempt_number == tasks + 1 for c in job.chunks.values())

    run_scenario(scenario)


def test_a_plan_that_changes_while_it_is_copied_is_copied_again() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_and_begin_migration(state, clock, nodes)
        assert node.cluster.jobs[JOB].staged
        # an earlier transaction, still in flight when the copy was made, marks task 7 as done
        old = state.keys[keys.plan(JOB, "0")][0]
        rows = [r for r in old["rows"] if r[0] != 7]
        state.put(keys.plan(JOB, "0"), {**old, "done": f"{0b10000101:x}", "rows": rows})
        await node.sync()
        await _run_rounds(clock, node, 8)
        job = node.cluster.jobs[JOB]
        assert keys.plan(JOB, "0") not in state.keys
        assert 7 not in _planned_tasks(state)
        assert job.done_task_count() == 3

    run_scenario(scenario)


def test_staged_copies_of_a_cancelled_job_never_take_effect() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_and_begin_migration(state, clock, nodes)
        assert node.cluster.jobs[JOB].staged
        state.put(keys.job(JOB), {"end": "cancelled", "spec": state.keys[keys.job(JOB)][0]["spec"]})
        state.put(keys.plan(JOB, "0"), {"next": 401, "done": "5", "rows": []})
        await node.sync()
        # the chunk that they were copied from is deleted last, because they take effect without it
        deletable = [
            name
            for name, _ in node.scheduling_loop._cleanup._deletable_chunks(node.cluster.jobs[JOB])
        ]
        assert deletable
        assert "0" not in deletable
        for _ in range(20):
            await _run_rounds(clock, node, 1)
            assert node.cluster.jobs[JOB].planned_task_count() == 0
        assert not [k for k in state.keys if k.startswith(keys.PLAN)]

    run_scenario(scenario)


def test_no_legacy_chunk_is_created_after_the_level_was_raised() -> None:
    # every write that creates a chunk must be conditional on the layout
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        add_job(state, clock, nameId=JOB, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        # raised, but the controller has not read it yet
        raise_feature_level(state)
        await node.round()
        assert not [k for k in state.keys if k.startswith(keys.PLAN)]
        await node.sync()
        await node.round()
        assert [k for k in state.keys if k.startswith(keys.PLAN)] == [keys.plan(JOB, "0-32")]

    run_scenario(scenario)


def test_rates_and_sizes_follow_the_lower_limits_once_the_level_is_raised() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert node.cluster.limits == node.settings.state_limits
        raise_feature_level(state)
        await node.sync()
        assert node.cluster.limits == StateLimits(100.0, 40.0, 2048, 6)
        await node.membership.step()
        bucket = node.writer._token_bucket
        assert bucket.delay_s(40.0) > 0

    run_scenario(scenario)
