"""Upgrades of running controllers: stored formats, the feature level, and lower limits."""

from typing import Any

import curio
import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.layout import PlanLayout
from crossmill.cluster.model import ACTIVE, CANCELLED, DONE, Level
from crossmill.cluster.records import decode_job, encode_chunk, encode_end, encode_job, encode_level
from crossmill.settings import SettingsError, StateLimits, parse
from crossmill.state.writer import WriteIntent, WriteResult
from crossmill.wire.state import Put, Txn

from .builders import make_settings, make_spec, reported_task, settings_table, submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .simulated_links import TransactionFault
from .simulated_region import Region, simulate
from .stepped_controller import (
    RECORD_BYTES,
    Nodes,
    SteppedController,
    add_job,
    add_machine,
    run_scenario,
    seed,
)

JOB = "wk-000001"

# what the version in production writes, and all that it reads
PRODUCTION_SPEC = {
    "id": JOB,
    "job_class": "chat",
    "team": "red",
    "kind": "array",
    "priority": "normal",
    "tasks": 2,
    "cpus": 4.0,
    "gpus": 1.0,
    "memory_gb": 16.0,
    "image": "img-1",
    "image_gb": 10.0,
    "types": None,
    "zone": None,
    "one_zone": False,
    "spread": False,
    "spot": False,
    "estimate_s": 40.0,
    "checkpoint_s": 0.0,
    "save_s": 0.0,
    "deadline_s": 100.0,
}
PRODUCTION_JOB = {"end": "", "at": 5.0, "spec": PRODUCTION_SPEC}
PRODUCTION_PREFIXES = (
    keys.JOB,
    keys.PLAN,
    keys.MACHINE,
    keys.SHARD,
    keys.CONTROLLER,
    keys.CANCELLATION_NOTE,
)


def _read_as_production(state: StateService) -> None:
    """Parses every key as the production version does, which crashes on what it can't read."""
    for key, (value, _, _) in state.keys.items():
        if key.startswith(keys.PLAN):
            int(key.rpartition("/")[2])
            assert set(value) == {"next", "done", "rows"}
        elif key.startswith(keys.JOB):
            # it builds the job from every field of the spec, and knows no others
            assert set(value["spec"]) == set(PRODUCTION_SPEC)
            assert "needs" not in value
        elif key.startswith(keys.SHARD):
            int(key[len(keys.SHARD) :])
        else:
            known = (*PRODUCTION_PREFIXES, keys.FEATURE, keys.ARCHIVE)
            assert key.startswith(known) or key in (keys.LEADER, keys.TOKEN, keys.CATALOG)


# -- stored formats ------------------------------------------------------------------


def test_a_job_record_is_written_and_read_in_the_format_of_production() -> None:
    spec = make_spec(nameId=JOB)
    assert encode_job(spec, 5.0) == PRODUCTION_JOB
    assert decode_job(PRODUCTION_JOB).spec == spec


def test_the_end_of_a_job_has_no_more_fields_than_production_reads() -> None:
    spec = make_spec(nameId=JOB)
    assert set(encode_end(DONE, spec, 7.0, RECORD_BYTES)) == {"end", "spec", "ended"}


def test_an_end_that_production_wrote_has_no_time() -> None:
    assert decode_job({"end": "done", "spec": PRODUCTION_SPEC}).ended_at == 0.0


def test_unknown_fields_of_a_later_version_are_ignored() -> None:
    later = {**PRODUCTION_JOB, "new": 1, "spec": {**PRODUCTION_SPEC, "new": 1}}
    assert decode_job(later).spec == make_spec(nameId=JOB)


# -- the feature level ---------------------------------------------------------------


@pytest.mark.parametrize("upgraded", [(), ("node-1",), ("node-1", "node-2")])
def test_the_leader_raises_the_level_once_all_controllers_have_written_their_notes(
    upgraded: tuple[str, ...],
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        for label in upgraded:
            state.put(keys.feature(label), {"level": 1})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        await node.feature_level.step()
        assert keys.feature("node-0") in state.keys
        for _ in range(4):
            clock.time += node.settings.controller_lease_ttl_s / 3
            await node.renew_and_sync()
            await node.membership.step()
        assert node.membership.leadership_version() is not None
        await node.feature_level.step()
        assert (keys.LEVEL in state.keys) is (len(upgraded) == 2)
        # a job with dependencies is only accepted after that
        add_job(state, clock, nameId="wk-000009", sacks=1)
        await node.sync()
        body = orjson.dumps(submission(nameId="wk-000010", awaits=["wk-000009"]))
        response = await node.ask("POST", "/v1/jobs", body)
        assert response.status == (201 if len(upgraded) == 2 else 503)
        assert response.retry_after_s is not None or response.status == 201

    run_scenario(scenario)


def test_the_level_is_raised_despite_lost_responses_and_an_outage() -> None:
    async def scenario(region: Region) -> None:
        lost: list[str] = []

        def transaction_fault(label: str, method: str, path: str) -> TransactionFault | None:
            # every controller's first transactions are carried out without a response
            if path == "/txn" and lost.count(label) < 6:
                lost.append(label)
                return TransactionFault(0.0, executes_at_once=True)
            return None

        region.transaction_fault = transaction_fault
        await region.begin(machines=0)
        region.state.down = True
        await curio.sleep(3)
        region.state.down = False
        await region.restart("node-1", 1.0)
        await region.wait_until(lambda: all(n.cluster.level for n in region.nodes.values()), 90)
        assert region.state.keys[keys.LEVEL][0]["level"] == 1

    simulate(scenario)


def test_production_reads_everything_written_before_the_level_is_raised() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=2)
        state.put(keys.job(JOB), PRODUCTION_JOB)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        await node.feature_level.step()
        for machine in ("n-0", "n-1"):
            node.report(machine, 1, 1, node.token())
        body = orjson.dumps(submission(nameId="wk-000002", sacks=600, cards=0.0, cpus=0.01))
        assert (await node.ask("POST", "/v1/jobs", body)).status == 201
        await node.round()
        _read_as_production(state)
        done = [reported_task(JOB, i, 1 + i, "exited", "done") for i in range(2)]
        node.report("n-0", 1, 2, node.token(), *done)
        node.report("n-1", 1, 2, node.token(), *done)
        await node.round()
        assert state.keys[keys.job(JOB)][0]["end"] == "done"
        _read_as_production(state)

    run_scenario(scenario)


def test_jobs_that_wait_accept_an_end_that_production_writes_after_the_raise() -> None:
    # that end has no time, so the times of the jobs that wait count from their submission
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
        state.put(keys.job(JOB), PRODUCTION_JOB)
        waits = make_spec(nameId="wk-000002")
        state.put(keys.job("wk-000002"), encode_job(waits, clock.wall(), (JOB,)))
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert node.cluster.jobs["wk-000002"].is_blocked
        state.put(keys.job(JOB), {"end": "done", "spec": PRODUCTION_SPEC})
        await node.sync()
        job = node.cluster.jobs["wk-000002"]
        assert not job.is_blocked
        assert job.ready_at == job.submitted

    run_scenario(scenario)


# -- plans ---------------------------------------------------------------------------


def test_segments_nest_in_legacy_chunks() -> None:
    layout = PlanLayout(100, 32)
    names = [(c.name, c.first, c.end) for c in layout.chunks(230, ["1"])]
    assert names[:4] == [("0-32", 0, 32), ("32-32", 32, 64), ("64-32", 64, 96), ("96-4", 96, 100)]
    assert names[4] == ("1", 100, 200)
    assert names[5] == ("200-32", 200, 230)
    for name, first, _ in names:
        assert layout.parse(name).first == first


def test_chunk_sizes_come_from_the_level_and_not_from_the_settings() -> None:
    # guards against misreading stored plans once the settings name the lower limit
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        state.put(keys.LEVEL, encode_level(Level(1, 1024, 64)))
        state.put(keys.job(JOB), {**PRODUCTION_JOB, "spec": {**PRODUCTION_SPEC, "tasks": 3000}})
        state.put(keys.plan(JOB, "1"), {"next": 2, "done": "1", "rows": [[1025, 1, "n-0", 1]]})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        job = node.cluster.jobs[JOB]
        assert job.chunks["1"].first == 1024
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


def _planned_tasks(state: StateService) -> list[int]:
    """Task indexes in the chunks that are in effect, as stored in the state service."""
    prefix = keys.PLAN + JOB + "/"
    chunks = {k[len(prefix) :]: v[0] for k, v in state.keys.items() if k.startswith(prefix)}
    names = ["0"] if "0" in chunks else list(chunks)
    return sorted(row[0] for name in names for row in chunks[name]["rows"])


@pytest.mark.parametrize("tasks", [40, 160, 400])
@pytest.mark.parametrize("is_lowered", [False, True])
def test_a_large_plan_is_migrated_into_segments_and_no_task_seems_free(
    tasks: int, is_lowered: bool
) -> None:
    # also when the limit is lowered before the migration: 400 tasks need several transactions
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_legacy_plan(state, clock, nodes, tasks)
        planned = [i for i in range(tasks) if i not in (0, 2)]
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
        if is_lowered:
            state.limits = StateLimits(100, 40, 2048, 6)
        await node.sync()
        assert node.writer.limits.txn_ops == 6
        for turn in range(8):
            # a restart of the owner in between must change nothing
            if turn == 1:
                node = SteppedController(state, clock, nodes)
                await node.boot()
            clock.time += 0.5
            await node.renew_and_sync()
            await node.round()
            assert _planned_tasks(state) == planned
            job = node.cluster.jobs[JOB]
            assert sorted(r.index for r in job.attempts()) == planned
            assert job.waiting_task_count() == 0
            assert job.done_task_count() == 2
        assert keys.plan(JOB, "0") not in state.keys
        assert not node.cluster.jobs[JOB].staged
        assert state.too_large == 0
        limit = 2048
        assert all(len(orjson.dumps(encode_chunk(c))) < limit for c in job.chunks.values())
        # attempt numbers continue after those of the legacy chunk
        assert all(c.next == tasks + 1 for c in job.chunks.values())

    run_scenario(scenario)


def test_a_plan_that_changes_while_it_is_copied_is_copied_again() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_legacy_plan(state, clock, nodes, 400)
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
        await node.sync()
        await node.round()
        assert node.cluster.jobs[JOB].staged
        # as by a transaction that was still in flight: task 7 is done
        old = state.keys[keys.plan(JOB, "0")][0]
        rows = [r for r in old["rows"] if r[0] != 7]
        state.put(keys.plan(JOB, "0"), {**old, "done": f"{0b10000101:x}", "rows": rows})
        await node.sync()
        for _ in range(8):
            clock.time += 0.5
            await node.renew_and_sync()
            await node.round()
        job = node.cluster.jobs[JOB]
        assert keys.plan(JOB, "0") not in state.keys
        assert 7 not in _planned_tasks(state)
        assert job.done_task_count() == 3

    run_scenario(scenario)


def test_staged_copies_of_a_cancelled_job_never_take_effect() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_legacy_plan(state, clock, nodes, 400)
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
        await node.sync()
        await node.round()
        assert node.cluster.jobs[JOB].staged
        state.put(keys.job(JOB), {"end": "cancelled", "spec": state.keys[keys.job(JOB)][0]["spec"]})
        state.put(keys.plan(JOB, "0"), {"next": 401, "done": "5", "rows": []})
        await node.sync()
        # the chunk that they were copied from goes last: its deletion would make them effective
        clearable = [
            name
            for name, _ in node.scheduling_loop._cleanup._deletable_chunks(node.cluster.jobs[JOB])
        ]
        assert clearable
        assert "0" not in clearable
        for _ in range(20):
            clock.time += 0.5
            await node.renew_and_sync()
            await node.round()
            assert node.cluster.jobs[JOB].planned_task_count() == 0
        assert not [k for k in state.keys if k.startswith(keys.PLAN)]

    run_scenario(scenario)


def test_no_legacy_chunk_is_created_after_the_level_was_raised() -> None:
    # the layout is among the conditions of whatever creates a chunk
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        add_job(state, clock, nameId=JOB, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        # raised, but not seen here yet
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
        await node.round()
        assert not [k for k in state.keys if k.startswith(keys.PLAN)]
        await node.sync()
        await node.round()
        assert [k for k in state.keys if k.startswith(keys.PLAN)] == [keys.plan(JOB, "0-32")]

    run_scenario(scenario)


# -- limits --------------------------------------------------------------------------


def test_of_the_next_limits_only_the_lower_ones_count() -> None:
    table = settings_table()
    del table["settings"]["state"]["next"]
    assert parse(table).lowest_state_limits == parse(table).state_limits
    table["settings"]["state"]["next"] = {"value_kb": 64, "txn_ops": 6}
    lowest = parse(table).lowest_state_limits
    assert (lowest.value_bytes, lowest.txn_ops, lowest.write_rps) == (32 * 1024, 6, 60.0)


@pytest.mark.parametrize("bad", [{"value_kb": 0}, {"txn_ops": -1}, {"write_rps": "fast"}, 7])
def test_malformed_next_limits_are_refused(bad: object) -> None:
    table = settings_table()
    table["settings"]["state"]["next"] = bad
    with pytest.raises(SettingsError, match=r"settings\.state\.next"):
        parse(table)


def test_rates_and_sizes_follow_the_lower_limits_once_the_level_is_raised() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert node.cluster.limits == node.settings.state_limits
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
        await node.sync()
        assert node.cluster.limits == StateLimits(100.0, 40.0, 2048, 6)
        await node.membership.step()
        share = node.writer._pacer
        assert share.wait_s(40.0) > 0

    run_scenario(scenario)


def test_a_batch_that_became_too_large_is_split_and_a_single_write_is_refused() -> None:
    # guards against endless retries of what the state service refuses for its size, and against
    # treating that as a lost lease
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        # the pacer's token bucket is full again
        clock.time += 2
        state.limits = StateLimits(100, 40, 2048, 2)
        intents = [WriteIntent(Txn({}, [Put(f"cm/x/{n}", n)])) for n in range(5)]
        large = WriteIntent(Txn({}, [Put("cm/x/large", "y" * 3000)]))
        for intent in (*intents, large):
            await node.writer.submit(intent)
        assert [await i.future.wait() for i in intents] == [WriteResult.OK] * 5
        assert await large.future.wait() == WriteResult.CONFLICT
        assert state.too_large <= 3
        assert node.membership.active_ownership(0) is not None

    run_scenario(scenario)


@pytest.mark.parametrize("seed_s", [2.0, 6.0, 11.0])
def test_limits_are_lowered_while_pipelines_run_and_a_controller_restarts(seed_s: float) -> None:
    async def scenario(region: Region) -> None:
        await region.begin(machines=0)
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
        await curio.sleep(seed_s)
        region.state.limits = StateLimits(100, 40, 2048, 6)
        owner = region.owners()[0]
        await region.restart(owner, 2.0)
        await region.wait_until(lambda: region.has_finished(second, 40), 120)
        assert region.state.too_large == 0

    simulate(scenario)


def test_the_machines_of_one_plan_write_fit_into_its_conditions() -> None:
    # a job of many tasks, one to a machine, under six changes and twenty-four conditions
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=0)
        for number in range(40):
            add_machine(state, clock, f"n-{number}")
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
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
        assert state.too_large == 0
        assert make_settings().lowest_state_limits.conditions == 24

    run_scenario(scenario)


@pytest.mark.parametrize("end", ["done", "cancelled"])
def test_a_job_can_end_whose_record_exceeds_the_lowered_limit(end: str) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        spec = {**PRODUCTION_SPEC, "tasks": 1, "image": "i" * 3000, "zone": "north"}
        state.put(keys.job(JOB), {**PRODUCTION_JOB, "spec": spec})
        state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))
        state.limits = StateLimits(100, 40, 2048, 6)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        if end == "cancelled":
            response = await node.ask("POST", f"/v1/jobs/{JOB}/withdraw")
            assert response.status == 200
        else:
            await node.round()
            node.report("n-0", 1, 2, node.token(), reported_task(JOB, 0, 1, "exited", "done"))
            await node.round()
        stored = state.keys[keys.job(JOB)][0]
        assert stored["end"] == end
        assert state.too_large == 0
        assert (stored["spec"]["team"], stored["spec"]["gpus"]) == ("red", 1.0)

    run_scenario(scenario)


def test_an_end_that_this_version_does_not_know_is_read_as_an_end() -> None:
    record = decode_job({**PRODUCTION_JOB, "end": "expired"})
    assert record.end == "expired"
    assert record.end not in (ACTIVE, DONE, CANCELLED)
