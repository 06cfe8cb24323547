"""Job records and plans: value size limits, ends, the archive and shares of the write rate."""

import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.records import encode_job

from .builders import make_settings, make_spec, reported_task, submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import SteppedController, add_job, add_machine, run_scenario, seed

Nodes = dict[str, SteppedController]

# the maximum size of a value in the state service in the test settings
VALUE_BYTES = 32 * 1024


def test_plans_of_large_jobs_fit_the_value_limit() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        # the job's team has no limit and belongs to another shard
        node = SteppedController(state, clock, nodes)
        await node.boot()
        shard = node.settings.shard_of_team("blue")
        seed(state, clock, machines=0)
        for number in range(40):
            add_machine(state, clock, f"n-{number}", shard)
        add_job(state, clock, crew="blue", sacks=2000, cpus=0.5, cards=0.1, ramGb=1.0)
        await node.sync()
        await node.membership.step()
        if shard not in node.membership.ownerships:
            clock.time += node.settings.controller_lease_ttl_s * 3
            await node.controller_lease.step()
            await node.controller_lease.step()
            for _ in range(8):
                clock.time += node.settings.controller_lease_ttl_s / 2
                await node.controller_lease.step()
                await node.membership.step()
        for number in range(40):
            node.report(f"n-{number}", 1, 1, node.token(shard))
        for _ in range(4):
            await node.round(shard)
        assert node.cluster.jobs["wk-000001"].planned_task_count() > 1000
        for key, (value, _, _) in state.keys.items():
            if key.startswith(keys.PLAN):
                assert len(orjson.dumps(value)) < VALUE_BYTES

    run_scenario(scenario)


def test_a_job_ends_when_its_last_chunks_finish_in_one_round() -> None:
    # guards against a job that never ends: the write of each chunk read the other as unfinished
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        size = make_settings().state_limits.chunk_tasks
        job = add_job(state, clock, sacks=size + 1, cpus=0.01, cards=0.0, ramGb=0.01)
        all_but_first_done = "f" * (size // 4 - 1) + "e"
        for name, index, done in (("0", 0, all_but_first_done), ("1", size, "0")):
            plan = {"next": 2, "done": done, "rows": [[index, 1, "n-0", 1]]}
            state.put(keys.plan(job, name), plan)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        ended = [reported_task(job, index, 1, "exited", "done") for index in (0, size)]
        node.report("n-0", 1, 1, node.token(), *ended)
        for _ in range(2):
            await node.round()
        assert state.keys[keys.job(job)][0]["end"] == "done"

    run_scenario(scenario)


async def _boot_with_archive(
    state: StateService, clock: FakeClock, nodes: Nodes
) -> SteppedController:
    """Return a controller that has archived the two ended jobs in excess of the limit."""
    seed(state, clock, machines=0)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    for number in range(node.settings.max_ended_jobs + 2):
        job = add_job(state, clock, nameId=f"wk-{number:06d}")
        state.put(keys.job(job), {**state.keys[keys.job(job)][0], "end": "cancelled"})
    await node.sync()
    await node.round()
    await node.sync()
    return node


def test_the_oldest_ended_jobs_leave_memory() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_archive(state, clock, nodes)
        assert len(node.cluster.jobs) == node.settings.max_ended_jobs
        assert "wk-000000" not in node.cluster.jobs

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "path"),
    [("GET", "/v1/jobs/wk-000000"), ("POST", "/v1/jobs/wk-000001/withdraw")],
)
def test_polls_and_cancellations_of_archived_jobs_return_their_end(method: str, path: str) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_archive(state, clock, nodes)
        response = await node.send_user_request(method, path)
        assert orjson.loads(response.body)["stage"] == "withdrawn"

    run_scenario(scenario)


@pytest.mark.parametrize("change", [{}, {"cpus": -1}])
def test_a_repeated_submission_of_an_archived_job_returns_its_end(
    change: dict[str, int],
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_archive(state, clock, nodes)
        data = orjson.dumps(submission(nameId="wk-000000", **change))
        response = await node.send_user_request("POST", "/v1/jobs", data)
        assert (response.status, orjson.loads(response.body)["stage"]) == (200, "withdrawn")

    run_scenario(scenario)


def test_a_poll_of_a_job_that_was_never_accepted_is_not_found() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _boot_with_archive(state, clock, nodes)
        assert (await node.send_user_request("GET", "/v1/jobs/wk-999999")).status == 404

    run_scenario(scenario)


@pytest.mark.parametrize(("team", "is_raised"), [("red", True), ("blue", False)])
def test_the_owner_of_a_shard_with_running_arrays_gets_a_larger_share_of_the_write_rate(
    team: str, is_raised: bool
) -> None:
    # guards against delayed outcomes of one team's many arrays while other shares are unused
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        for shard, label in ((1, "node-1"), (2, "node-2")):
            state.put(keys.controller(label), {"lease": 1, "deaf": False, "seen": 0})
            state.put(keys.shard(shard), {"owner": label, "token": shard})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        await node.membership.step()
        assert set(node.membership.ownerships) == {node.settings.shard_of_team("red")}
        even_rate = node.writer._token_bucket.rate
        add_job(state, clock, nameId="wk-000001", crew=team)
        # neither replicas nor jobs with unfinished dependencies have outcomes to write
        add_job(state, clock, nameId="wk-000002", crew="green", cut="service")
        spec = make_spec(nameId="wk-000003", crew="green")
        state.put(keys.job(spec.id), encode_job(spec, clock.wall_time(), ("wk-000001",)))
        await node.sync()
        await node.membership.step()
        assert (node.writer._token_bucket.rate > even_rate) is is_raised
        assert node.writer._token_bucket.rate != even_rate

    run_scenario(scenario)


def test_the_weights_of_all_shards_sum_up_to_twice_their_number() -> None:
    settings = make_settings()
    weights = [settings.shard_weight(share) for share in (0.5, 0.25, 0.25)]
    assert sum(weights) == pytest.approx(2 * len(settings.shards_with_teams))
