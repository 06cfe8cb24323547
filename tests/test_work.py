"""Placing, preempting, retrying, returning machines: what the rounds decide."""

import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.records import encode_job
from crossmill.wire.users import JobSpec

from .builders import make_settings, make_spec, reported_task, submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import SteppedController, add_job, add_machine, run_scenario, seed

Nodes = dict[str, SteppedController]


async def _ready(
    state: StateService, clock: FakeClock, nodes: Nodes, machines: int, **job: object
) -> SteppedController:
    seed(state, clock, machines=machines)
    add_job(state, clock, **job)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    for number in range(machines):
        node.report(f"n-{number}", 1, 1, node.token())
    await node.round()
    return node


def test_a_service_takes_the_place_of_lesser_work_and_nobody_else_does() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 1, sacks=4)
        running = [reported_task("wk-000001", i, i + 1, "running") for i in range(4)]
        node.report("n-0", 1, 2, node.token(), *running)
        add_job(
            state, clock, nameId="wk-000002", cut="service", precedence="production",
            sacks=1, cards=2.0, grindS=0.0, dueS=None,
        )  # fmt: skip
        await node.sync()
        await node.round()
        assert len(node.heartbeats.stop_requests) == 2
        orders = node.report("n-0", 1, 3, node.token(), *running).commands
        stopped = [c.task for c in orders if c.op == "stop"]
        assert len(stopped) == 2
        # one of the two has ended: its room must not go back to the array
        left = [r for r in running if r["sack"] != stopped[0]]
        index = int(stopped[0].rpartition("/")[2])
        gone = reported_task("wk-000001", index, index + 1, "exited", "halted")
        node.report("n-0", 1, 4, node.token(), *left, gone)
        await node.round()
        await node.round()
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 3
        index = int(stopped[1].rpartition("/")[2])
        gone = reported_task("wk-000001", index, index + 1, "exited", "halted")
        node.report("n-0", 1, 5, node.token(), *left[:-1], gone)
        await node.round()
        await node.round()
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 1

    run_scenario(scenario)


def test_room_made_where_the_image_is_not_is_used_at_once() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 1, sacks=4)
        running = [reported_task("wk-000001", i, i + 1, "running") for i in range(4)]
        node.report("n-0", 1, 2, node.token(), *running)
        add_job(
            state, clock, nameId="wk-000002", cut="service", precedence="production",
            sacks=1, grindS=0.0, dueS=None, recipe="img-2", pullGb=90.0,
        )  # fmt: skip
        await node.sync()
        await node.round()
        (attempt,) = node.heartbeats.stop_requests
        gone = reported_task(attempt[0], attempt[1], attempt[2], "exited", "halted")
        left = [r for r in running if r["turn"] != attempt[2]]
        node.report("n-0", 1, 3, node.token(), *left, gone)
        await node.round()
        await node.round()
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 1

    run_scenario(scenario)


def test_no_room_is_made_in_a_zone_that_the_job_has_just_filled() -> None:
    """The canteen's gates, found on a recorded day: half of a job went to one zone, lesser work was
    stopped there for the other half, and that waited until the claim on the room ended.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 1, sacks=2)
        replica = {"cut": "service", "precedence": "production", "grindS": 0.0, "dueS": None}
        replica |= {"recipe": "img-2", "pullGb": 20.0}
        add_job(state, clock, nameId="wk-000002", sacks=1, **replica)
        await node.sync()
        await node.round()
        assert len(node.cluster.machines["n-0"].attempts) == 3
        add_machine(state, clock, "n-1", zone="south")
        add_job(state, clock, nameId="wk-000003", sacks=2, spread=True, **replica)
        await node.sync()
        node.report("n-1", 1, 1, node.token())
        await node.round()
        assert not node.heartbeats.stop_requests
        zones = node.cluster.machines.task_counts_by_zone(node.cluster.jobs["wk-000003"])
        assert zones == {"north": 1, "south": 1}

    run_scenario(scenario)


def test_equal_priority_is_never_preempted() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 1, sacks=4)
        add_job(state, clock, nameId="wk-000002", sacks=1)
        await node.sync()
        await node.round()
        assert not node.heartbeats.stop_requests

    run_scenario(scenario)


def test_a_job_that_fails_everywhere_backs_off_and_condemns_no_machine() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 4, sacks=1)
        starts = 0
        for seq in range(2, 240):
            clock.time += 0.5
            await node.controller_lease.step()
            for number in range(4):
                machine = f"n-{number}"
                rows = node.cluster.machines[machine].attempts.values()
                tasks = [reported_task(r.job, r.index, r.number, "exited", "error") for r in rows]
                starts += len(tasks)
                node.report(machine, 1, seq, node.token(), *tasks)
            await node.round()
        assert 4 <= starts <= 14
        assert not any(m.retiring == "faulty" for m in node.cluster.machines.values())

    run_scenario(scenario)


def test_a_faulty_machine_is_given_up() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 1, sacks=1)
        add_job(state, clock, nameId="wk-000002", sacks=1)
        await node.sync()
        await node.round()
        rows = node.cluster.machines["n-0"].attempts.values()
        tasks = [reported_task(r.job, r.index, r.number, "exited", "error") for r in rows]
        assert len(tasks) == 2
        node.report("n-0", 1, 3, node.token(), *tasks)
        clock.time += node.settings.worker_lease_expiry_s + 1
        await node.controller_lease.step()
        node.report("n-0", 1, 4, node.token())
        await node.round()
        # its tasks are off the plan now; the next look through the machines gives it up
        clock.time += node.settings.maintenance_interval_s
        await node.round()
        assert node.cluster.machines["n-0"].retiring == "faulty"

    run_scenario(scenario)


def test_an_idle_machine_is_returned_and_never_used_again() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for seq in range(1, 60):
            clock.time += 1.0
            await node.renew_and_sync()
            node.report("n-0", 1, seq, node.token())
            await node.round()
        assert node.cluster.machines["n-0"].retiring == "idle"
        add_job(state, clock, sacks=1)
        await node.sync()
        node.report("n-0", 1, 99, node.token())
        await node.round()
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 0

    run_scenario(scenario)


def test_a_notice_stops_new_starts_and_saves_in_time() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 1, sacks=1, baggingS=10.0, sealS=3.0)
        running = reported_task("wk-000001", 0, 1, "running")
        node.report("n-0", 1, 2, node.token(), running)
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        for left, stops in ((20.0, 0), (5.0, 1)):
            view.notice_at = clock.now() + left
            ownership = node.membership.ownerships[0]
            orders = node.heartbeats._orders(node.cluster.machines["n-0"], view, ownership)
            assert [c.op for c in orders].count("stop") == stops
        add_job(state, clock, nameId="wk-000002", sacks=1)
        await node.sync()
        await node.round()
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 0

    run_scenario(scenario)


def test_large_jobs_plans_fit_the_value_limit() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        # the team of this job has no limit and sits on another shard
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
                assert len(orjson.dumps(value)) < 32 * 1024

    run_scenario(scenario)


def test_jobs_long_over_leave_memory_but_are_never_forgotten() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=0)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        kept = node.settings.max_ended_jobs
        for number in range(kept + 2):
            job = add_job(state, clock, nameId=f"wk-{number:06d}")
            state.put(keys.job(job), {**state.keys[keys.job(job)][0], "end": "cancelled"})
        await node.sync()
        await node.round()
        await node.sync()
        assert len(node.cluster.jobs) == kept
        assert "wk-000000" not in node.cluster.jobs
        answer = await node.ask("GET", "/v1/jobs/wk-000000")
        assert orjson.loads(answer.body)["stage"] == "withdrawn"
        answer = await node.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert orjson.loads(answer.body)["stage"] == "withdrawn"
        for change in ({}, {"cpus": -1}):
            data = orjson.dumps(submission(nameId="wk-000000", **change))
            answer = await node.ask("POST", "/v1/jobs", data)
            assert (answer.status, orjson.loads(answer.body)["stage"]) == (200, "withdrawn")
        assert (await node.ask("GET", "/v1/jobs/wk-999999")).status == 404

    run_scenario(scenario)


def test_spot_room_for_arrays_is_rented_before_they_come() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        # arrays that come all the time, each done by now: no waiting task asks for a machine
        node = await _ready(state, clock, nodes, 0, sacks=20, loaners=True, grindS=10.0)
        for number in range(2, 11):
            add_job(state, clock, nameId=f"wk-{number:06d}", sacks=20, loaners=True, grindS=10.0)
        await node.sync()
        node.forecast.plan(0)
        for job_id in list(node.cluster.jobs):
            state.put(keys.job(job_id), {**state.keys[keys.job(job_id)][0], "end": "done"})
        await node.sync()
        needs = node.forecast.plan(0).machine_requests
        # 10 * 20 tasks of 10 s in the span that is looked back on
        tasks = 10 * 20 * 10.0 / node.settings.arrival_window_s * node.settings.spot_baseline_ratio
        assert {need.source.spot for need in needs.values()} == {True}
        machines = sum(n.number for n in needs.values())
        assert machines == -(-round(tasks) // 4)

    run_scenario(scenario)


def test_a_guarantee_takes_from_others_only_what_is_beyond_theirs() -> None:
    """Whole arrays were stopped for one task's guarantee, other teams' own share included."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 1, sacks=3)
        making = node.scheduling_loop._preemption
        rows = list(node.cluster.jobs["wk-000001"].attempts())
        beyond = {"red": 2.0}
        assert not making._draw(rows, {"wk-000001": "red"}, beyond)
        assert making._draw(rows[:2], {"wk-000001": "red"}, beyond)
        assert not making._draw(rows[2:], {"wk-000001": "red"}, beyond)
        assert making._draw(rows, {"wk-000001": ""}, beyond), "lesser work may always be stopped"
        # red is guaranteed 4 GPUs: a job of 3 fits, one of 2 behind it does not
        job = add_job(state, clock, nameId="wk-000002", sacks=2)
        await node.sync()
        assert node.scheduling_loop._quotas.is_within_quota(node.cluster.jobs["wk-000001"])
        assert not node.scheduling_loop._quotas.is_within_quota(node.cluster.jobs[job])

    run_scenario(scenario)


def test_a_replica_lost_with_its_machine_may_take_lesser_works_room_again() -> None:
    """It waited for a free machine for minutes, since any end of an attempt counted against it."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(
            state, clock, nodes, 2, cut="service", precedence="production", sacks=1, cards=4.0,
            grindS=0.0, dueS=None,
        )  # fmt: skip
        (attempt,) = node.cluster.jobs["wk-000001"].attempts()
        other = "n-1" if attempt.machine == "n-0" else "n-0"
        add_job(state, clock, nameId="wk-000002", sacks=4)
        await node.sync()
        await node.round()
        assert len(node.cluster.machines[other].attempts) == 4
        running = [reported_task("wk-000002", i, i + 1, "running") for i in range(4)]
        node.report(
            attempt.machine, 1, 2, node.token(), reported_task("wk-000001", 0, 1, "running")
        )
        for seq in range(2, 60):
            clock.time += node.settings.heartbeat_interval_s / 2
            await node.renew_and_sync()
            node.report(other, 1, seq, node.token(), *running)
            await node.round()
        assert len(node.heartbeats.stop_requests) == 4

    run_scenario(scenario)


def test_what_may_be_stopped_is_asked_once_for_a_job() -> None:
    """Asked for each task on each machine it took two thirds of a controller's time, and days of
    300 machines did not end within the processor time they are given.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready(state, clock, nodes, 3, sacks=12)
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 12
        asked: list[str] = []
        short = node.forecast.is_out_of_capacity

        def counting(spec: JobSpec) -> bool:
            asked.append(spec.id)
            return short(spec)

        node.forecast.is_out_of_capacity = counting  # type: ignore[method-assign]
        add_job(
            state, clock, nameId="wk-000002", cut="service", precedence="production",
            sacks=1, grindS=0.0, dueS=None,
        )  # fmt: skip
        await node.sync()
        await node.round()
        assert len(node.heartbeats.stop_requests) == 1
        # once where its image is, at most once more anywhere
        assert 1 <= len(asked) <= 2

    run_scenario(scenario)


def test_a_job_ends_when_its_last_chunks_finish_in_one_round() -> None:
    # guards against a job that is never called done: each chunk's write saw the other unfinished
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        size = make_settings().state_limits.chunk_tasks
        job = add_job(state, clock, sacks=size + 1, cpus=0.01, cards=0.0, ramGb=0.01)
        almost = "f" * (size // 4 - 1) + "e"
        for name, index, done in (("0", 0, almost), ("1", size, "0")):
            plan = {"next": 2, "done": done, "rows": [[index, 1, "n-0", 1]]}
            state.put(keys.plan(job, name), plan)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        over = [reported_task(job, index, 1, "exited", "done") for index in (0, size)]
        node.report("n-0", 1, 1, node.token(), *over)
        for _ in range(2):
            await node.round()
        assert state.keys[keys.job(job)][0]["end"] == "done"

    run_scenario(scenario)


@pytest.mark.parametrize(("team", "is_hot"), [("red", True), ("blue", False)])
def test_the_write_rate_goes_to_the_shard_with_the_running_arrays(team: str, is_hot: bool) -> None:
    # guards against the outcomes of one team's many arrays waiting while others' shares lie idle
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        for shard, label in ((1, "node-1"), (2, "node-2")):
            state.put(keys.controller(label), {"lease": 1, "deaf": False, "seen": 0})
            state.put(keys.shard(shard), {"owner": label, "token": shard})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        await node.membership.step()
        assert set(node.membership.ownerships) == {node.settings.shard_of_team("red")}
        even = node.writer._pacer.rate
        add_job(state, clock, nameId="wk-000001", crew=team)
        # neither replicas nor jobs that wait have outcomes to write
        add_job(state, clock, nameId="wk-000002", crew="green", cut="service")
        spec = make_spec(nameId="wk-000003", crew="green")
        state.put(keys.job(spec.id), encode_job(spec, clock.wall(), ("wk-000001",)))
        await node.sync()
        await node.membership.step()
        assert (node.writer._pacer.rate > even) is is_hot
        assert node.writer._pacer.rate != even
        s = node.settings
        parts = [s.shard_weight(part) for part in (0.5, 0.25, 0.25)]
        assert sum(parts) == pytest.approx(2 * len(s.shards_with_teams))

    run_scenario(scenario)
