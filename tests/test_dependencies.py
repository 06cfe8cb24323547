"""Job dependencies: submission, start, cancellation and archiving."""

import curio
import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.dependencies import DependencyGraph
from crossmill.cluster.model import ACTIVE, CANCELLED, DONE, Job, Level
from crossmill.cluster.records import encode_end, encode_job, encode_level
from crossmill.net.server import Response
from crossmill.verbs import with_dependencies
from crossmill.wire.checks import MalformedMessageError, load_object
from crossmill.wire.users import parse_submission

from .builders import make_spec, reported_task, submission
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .simulated_region import Region, simulate
from .stepped_controller import RECORD_BYTES, Nodes, SteppedController, add_job, run_scenario, seed

A, B, C, D = (f"wk-00000{n}" for n in range(1, 5))


def _raise_level(state: StateService) -> None:
    state.put(keys.LEVEL, encode_level(Level(1, 512, 32)))


async def _submit(node: SteppedController, job: str, *needs: str, **fields: object) -> Response:
    body = submission(nameId=job, awaits=list(needs), **{"sacks": 1, **fields})
    return await node.ask("POST", "/v1/jobs", orjson.dumps(body))


async def _stage(node: SteppedController, job: str) -> str:
    response = await node.ask("GET", f"/v1/jobs/{job}")
    assert response.status == 200, response.status
    return str(load_object(response.body)["stage"])


async def _ready_node(state: StateService, clock: FakeClock, nodes: Nodes) -> SteppedController:
    seed(state, clock, machines=1)
    _raise_level(state)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    node.report("n-0", 1, 1, 0)
    node.report("n-0", 1, 2, node.token())
    return node


def _starts(node: SteppedController, seq: int, *tasks: object) -> list[str]:
    commands = node.report("n-0", 1, seq, node.token(), *tasks).commands
    return [c.task for c in commands if c.op == "start"]


@pytest.mark.parametrize(
    ("fields", "dependencies"),
    [({"awaits": None}, ()), ({}, ()), ({"awaits": [B, C, B]}, (B, C))],
)
def test_dependencies_may_be_missing_or_repeated(
    fields: dict[str, object], dependencies: tuple[str, ...]
) -> None:
    assert parse_submission(submission(**fields)).dependencies == dependencies


@pytest.mark.parametrize("awaits", ["wk-000002", ["x"], [1], {"a": 1}, [None], [[B]]])
def test_malformed_dependencies_are_refused(awaits: object) -> None:
    with pytest.raises(MalformedMessageError):
        parse_submission(submission(awaits=awaits))


def test_the_command_line_adds_dependencies_to_a_submission() -> None:
    body = with_dependencies(orjson.dumps(submission(awaits=[B])), [C])
    assert parse_submission(load_object(body)).dependencies == (B, C)
    assert with_dependencies(b"as it is", []) == b"as it is"
    with pytest.raises(MalformedMessageError):
        with_dependencies(b"[]", [C])


def test_a_dependent_starts_only_after_the_durable_end_of_its_dependency() -> None:
    # guards against `too_early`: a job is planned only once its dependency has durably ended
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        assert (await _submit(node, A)).status == 201
        assert (await _submit(node, B, A)).status == 201
        await node.round()
        assert _starts(node, 3) == [f"{A}/0"]
        assert await _stage(node, B) == "queued"
        # the worker reports that it is done, but nothing of that is durable yet
        done = reported_task(A, 0, 1, "exited", "done")
        assert _starts(node, 4, done) == []
        await node.round()
        clock.time += 5
        await node.renew_and_sync()
        assert node.cluster.jobs[B].ready_at == pytest.approx(clock.wall() - 5)
        assert _starts(node, 5) == []
        await node.round()
        assert _starts(node, 6) == [f"{B}/0"]

    run_scenario(scenario)


def test_a_blocked_job_uses_no_quota_and_demands_no_capacity() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        await _submit(node, A, sacks=1, cards=1.0)
        await _submit(node, B, A, sacks=4, cards=1.0)
        await _submit(node, C, sacks=3, cards=1.0)
        job = node.cluster.jobs[C]
        node.scheduling_loop._quotas.start_round(0)
        # red has a quota of four GPUs: one and three fit, the four of the blocked job do not count
        assert node.scheduling_loop._quotas.is_within_quota(job)
        assert [j.id for j in node.forecast.waiting_jobs(0)] == [A, C]

    run_scenario(scenario)


@pytest.mark.parametrize("state_of", ["at hand", "in the state service only", "archived"])
def test_a_dependency_is_found_wherever_its_record_is(state_of: str) -> None:
    # guards against 422 for a job that another controller has accepted a moment ago, and
    # against one that was archived
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        if state_of == "archived":
            state.put(keys.archived(A), {"end": "done", "done": 1})
        else:
            add_job(state, clock, nameId=A, sacks=1)
        if state_of == "at hand":
            await node.sync()
        assert (await _submit(node, B, A)).status == 201
        assert node.cluster.jobs[B].is_blocked is (state_of != "archived")

    run_scenario(scenario)


def test_impossible_dependencies_are_refused() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        # an unknown job, the job itself, and a service, which never ends
        assert (await _submit(node, B, A)).status == 422
        assert (await _submit(node, B, B)).status == 422
        add_job(state, clock, nameId=C, cut="service")
        assert (await _submit(node, B, C)).status == 422

    run_scenario(scenario)


def test_no_dependency_is_refused_for_good_while_the_state_service_cannot_be_read() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        state.script["/keys/" + keys.job(A)] = ["refuse"]
        assert (await _submit(node, B, A)).status == 503
        state.script["/keys/" + keys.archived(A)] = ["drop"]
        assert (await _submit(node, B, A)).status == 503

    run_scenario(scenario)


@pytest.mark.parametrize("dependency", [A, D, "nonsense"])
def test_a_repeated_submission_is_answered_whatever_it_depends_on(dependency: str) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        add_job(state, clock, nameId=D, sacks=1)
        body = submission(nameId=D, awaits=[dependency])
        assert (await node.ask("POST", "/v1/jobs", orjson.dumps(body))).status == 200

    run_scenario(scenario)


def test_too_many_dependencies_are_refused_with_the_limit() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        response = await _submit(node, B, *(f"wk-{n:06d}" for n in range(100, 400)))
        assert response.status == 422
        assert b"256" in response.body

    run_scenario(scenario)


@pytest.mark.parametrize(("dependencies", "status"), [(200, 422), (60, 201)])
def test_dependencies_must_fit_into_a_record_under_the_next_limits(
    dependencies: int, status: int
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        names = [f"wk-{n:06d}" for n in range(100, 100 + dependencies)]
        for name in names:
            add_job(state, clock, nameId=name, sacks=1)
        await node.sync()
        assert (await _submit(node, B, *names)).status == status
        assert state.too_large == 0

    run_scenario(scenario)


def test_more_dependents_than_a_transaction_allows_are_cancelled_at_once_and_recorded_later() -> (
    None
):
    # guards against `orphaned`: one write cancels all jobs that depend on this one
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        # only controllers of the job's zone have to be told, and this is the only one
        await _submit(node, A, yard="north")
        fan = [f"wk-{n:06d}" for n in range(100, 200)]
        for name in fan:
            state.put(keys.job(name), encode_job(make_spec(nameId=name), clock.wall(), (A,)))
        await node.sync()
        assert (await _submit(node, D, fan[0], fan[-1])).status == 201
        response = await node.ask("POST", f"/v1/jobs/{A}/withdraw")
        assert response.status == 200
        assert b"withdrawn" in response.body
        # before any further write, and also on a controller that only reads
        for name in (*fan, D):
            assert await _stage(other, name) == "withdrawn"
        assert state.keys[keys.job(fan[0])][0]["end"] == ACTIVE
        # in an outage an end that is known to be final is still reported
        state.down = True
        assert await _stage(other, D) == "withdrawn"
        state.down = False
        for _ in range(40):
            clock.time += 1
            await node.renew_and_sync()
            await node.round()
        ends = {state.keys[keys.job(name)][0]["end"] for name in (*fan, D)}
        assert ends == {CANCELLED}
        assert not node.cluster.jobs.unrecorded_cancellations[0]

    run_scenario(scenario)


def test_a_chain_of_thousands_is_cancelled_without_recursion() -> None:
    jobs: dict[str, Job] = {}
    graph = DependencyGraph(jobs)
    for number in range(5000):
        needs = (f"wk-{number - 1:06d}",) if number else ()
        spec = make_spec(nameId=f"wk-{number:06d}")
        job = jobs[spec.id] = Job(spec.id, spec=spec, dependencies=needs)
        graph.add(job)
    first = jobs["wk-000000"]
    first.end = CANCELLED
    assert len(graph.apply_end(first)) == 4999
    assert {job.end for job in jobs.values()} == {CANCELLED}


@pytest.mark.parametrize("order", ["needed first", "needed last"])
def test_a_restart_derives_the_same_in_whatever_order_records_are_read(order: str) -> None:
    # keys are read in the order of their names, which is not that of dependencies
    before, after = (A, B) if order == "needed first" else (B, A)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        first, second = make_spec(nameId=before), make_spec(nameId=after)
        state.put(keys.job(before), encode_end(CANCELLED, first, 5.0, RECORD_BYTES))
        state.put(keys.job(after), encode_job(second, 1.0, (before,)))
        done, waits = make_spec(nameId=C), make_spec(nameId=D)
        state.put(keys.job(C), encode_end(DONE, done, 7.0, RECORD_BYTES))
        state.put(keys.job(D), encode_job(waits, 1.0, (C,)))
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert node.cluster.jobs[after].end == CANCELLED
        assert not node.cluster.jobs[D].is_blocked
        assert node.cluster.jobs[D].ready_at == 7.0

    run_scenario(scenario)


def test_a_job_that_depends_on_a_cancelled_one_is_accepted_and_cancelled() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        state.put(keys.archived(A), {"end": "cancelled", "done": 0})
        response = await _submit(node, B, A)
        assert response.status == 201
        assert b"withdrawn" in response.body
        assert await _stage(node, B) == "withdrawn"

    run_scenario(scenario)


def test_cancelling_a_job_that_is_done_leaves_its_dependents() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        state.put(keys.job(A), encode_end(DONE, make_spec(nameId=A), clock.wall(), RECORD_BYTES))
        await _submit(node, B, A)
        response = await node.ask("POST", f"/v1/jobs/{A}/withdraw")
        assert b"done" in response.body
        assert await _stage(node, B) == "queued"

    run_scenario(scenario)


def test_a_blocked_job_is_cancelled_without_telling_peers_unless_it_may_start_meanwhile() -> None:
    # the cancellation is conditional on the job that it waits for: once that has ended, a task may
    # be about to start, and the peers have to be told first
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        await _submit(node, A)
        await _submit(node, B, A)
        job = node.cluster.jobs[B]
        handler = node.jobs._cancellation
        preconditions = await handler._preconditions(job)
        assert preconditions == {keys.job(A): node.cluster.jobs[A].version}
        state.put(keys.job(A), encode_end(DONE, make_spec(nameId=A), clock.wall(), RECORD_BYTES))
        conditions = {keys.job(B): job.version, **preconditions}
        assert not await handler._commit(B, make_spec(nameId=B), conditions)
        assert await _stage(node, B) == "queued"

    run_scenario(scenario)


def test_archiving_and_accepting_do_not_race() -> None:
    # guards against a job that waits for ever for one whose record was deleted
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        await _submit(node, A)
        # another owner ends and archives it, unnoticed here, during the submission
        value = encode_end(DONE, make_spec(nameId=A), clock.wall(), RECORD_BYTES)
        state.put(keys.job(A), value)
        state.put(keys.archived(A), {"end": "done", "done": 1})
        state.put(keys.ARCHIVINGS, {"n": 1})
        state.revision += 1
        state._delete(keys.job(A))
        # checked again within the request: accepted on the archived end, and not blocked
        assert (await _submit(node, B, A)).status == 201
        assert not node.cluster.jobs[B].is_blocked
        assert not node.cluster.jobs[B].dependencies
        assert "needs" not in state.keys[keys.job(B)][0]

    run_scenario(scenario)


def test_a_dependency_archived_while_another_is_read_is_noticed() -> None:
    # guards against a condition on a count of archivings that is newer than the records read
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        await _submit(node, A)
        add_job(state, clock, nameId=C, sacks=1)
        check = node.jobs._submission._dependencies
        read = check._read

        async def slow_read(dependency_id: str) -> Job | None:
            value = encode_end(DONE, make_spec(nameId=A), clock.wall(), RECORD_BYTES)
            state.put(keys.job(A), value)
            state.put(keys.archived(A), {"end": "done", "done": 1})
            state.put(keys.ARCHIVINGS, {"n": 1})
            state.revision += 1
            state._delete(keys.job(A))
            await node.sync()
            check._read = read  # type: ignore[method-assign]
            return await read(dependency_id)

        check._read = slow_read  # type: ignore[method-assign]
        assert (await _submit(node, B, A, C)).status == 201
        assert node.cluster.jobs[B].unmet_dependencies == {C}
        assert state.keys[keys.job(B)][0]["needs"] == [C]

    run_scenario(scenario)


def test_a_job_with_unfinished_dependents_is_not_archived() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        await _submit(node, A)
        await _submit(node, B, A)
        state.put(keys.job(A), encode_end(DONE, make_spec(nameId=A), clock.wall(), RECORD_BYTES))
        for number in range(node.settings.max_ended_jobs + 5):
            spec = make_spec(nameId=f"wk-{1000 + number:06d}")
            state.put(keys.job(spec.id), encode_end(DONE, spec, clock.wall(), RECORD_BYTES))
        await node.sync()
        for _ in range(10):
            clock.time += 1
            await node.renew_and_sync()
            await node.round()
        assert keys.job(A) in state.keys
        assert any(key.startswith(keys.ARCHIVE) for key in state.keys)
        assert state.keys[keys.ARCHIVINGS][0]["n"] >= 1

    run_scenario(scenario)


async def _pipeline(region: Region, label: str = "node-0") -> None:
    assert await region.submit(label, A, run_s=3.0, sacks=2) == 201
    assert await region.submit(label, B, run_s=3.0, sacks=2, awaits=[A]) == 201
    assert await region.submit(label, C, run_s=3.0, sacks=2, awaits=[A], crew="blue") == 201
    assert await region.submit(label, D, run_s=2.0, sacks=1, awaits=[B, C], crew="green") == 201


async def _begin(region: Region) -> None:
    await region.begin(machines=0)
    for shard in range(3):
        await region.add_worker(f"n-{shard}", shard=shard)
    await region.wait_until(lambda: all(n.cluster.level is not None for n in region.nodes.values()))


def test_a_diamond_over_three_teams_runs_in_order_through_a_restart_of_all_controllers() -> None:
    async def scenario(region: Region) -> None:
        await _begin(region)
        await _pipeline(region)
        await region.wait_until(lambda: bool(region.workers_running(A)))
        for label in Region.LABELS:
            await region.kill(label)
        await curio.sleep(2)
        for label in Region.LABELS:
            await region.start(label)
        await region.wait_until(lambda: region.has_finished(D, 1), 120)

    simulate(scenario)


@pytest.mark.parametrize("outage_s", [0.0, 45.0])
def test_all_controllers_end_between_a_cancellation_and_its_last_dependent(
    outage_s: float,
) -> None:
    # the state service may also be down right after the confirmation, for longer than `cancel_s`
    async def scenario(region: Region) -> None:
        await _begin(region)
        await _pipeline(region)
        assert await region.cancel_until_confirmed("node-1", A, 20)
        region.state.down = outage_s > 0
        for label in Region.LABELS:
            await region.kill(label)
        await curio.sleep(1)
        for label in Region.LABELS:
            await region.start(label)
        await curio.sleep(outage_s)
        region.state.down = False
        await curio.sleep(10)
        for job in (A, B, C, D):
            await region.show_everywhere(job)
            assert region.checker.jobs[job].cancelled is not None
        assert not region.workers_running(D)

    simulate(scenario)


def test_a_dependent_submitted_at_one_node_while_its_dependency_is_cancelled_at_another() -> None:
    async def scenario(region: Region) -> None:
        await _begin(region)
        assert await region.submit("node-0", A, run_s=30.0, sacks=1) == 201
        async with curio.TaskGroup() as group:
            await group.spawn(region.cancel_until_confirmed, "node-1", A, 20.0)
            for number in range(100, 120):
                name = f"wk-{number:06d}"
                await group.spawn(_submit_until_accepted, region, name)
                await curio.sleep(0.01)
        for number in range(100, 120):
            name = f"wk-{number:06d}"
            await region.show_everywhere(name, 1)
            assert region.checker.jobs[name].cancelled is not None

    simulate(scenario)


async def _submit_until_accepted(region: Region, name: str) -> None:
    while not await region.submit("node-2", name, run_s=1.0, sacks=1, awaits=[A]) < 300:
        await curio.sleep(0.5)


@pytest.mark.parametrize("others", [0, 30])
def test_a_job_accepted_on_an_old_view_of_its_dependency_is_not_left_without_it(
    others: int,
) -> None:
    # also with more dependencies than a transaction has conditions.
    # guards against a job that waits for ever: it was accepted by a controller that did not know
    # that its dependency had ended, and the one that archived the dependency did not know of it
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        owner = await _ready_node(state, clock, nodes)
        await _submit(owner, A)
        more = [add_job(state, clock, nameId=f"wk-{5000 + n:06d}") for n in range(others)]
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        # A ends; the other controller's watch lags behind
        state.put(keys.job(A), encode_end(DONE, make_spec(nameId=A), clock.wall(), RECORD_BYTES))
        for number in range(owner.settings.max_ended_jobs + 5):
            spec = make_spec(nameId=f"wk-{1000 + number:06d}")
            state.put(keys.job(spec.id), encode_end(DONE, spec, clock.wall(), RECORD_BYTES))
        await owner.renew_and_sync()
        assert owner.cluster.jobs[A].end == DONE
        assert other.cluster.jobs[A].end == ACTIVE
        assert (await _submit(other, B, A, *more)).status == 201
        # the owner has not seen B when it archives what it can
        assert B not in owner.cluster.jobs
        for _ in range(3):
            await owner.round()
        late = SteppedController(state, clock, nodes, "node-2")
        await late.boot()
        assert late.cluster.jobs[B].unmet_dependencies == set(more)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("end", "told"), [(DONE, "queued"), (CANCELLED, "withdrawn"), ("", "queued")]
)
def test_a_job_left_without_its_dependency_by_an_earlier_version_is_repaired(
    end: str, told: str
) -> None:
    # guards against a job that waits for ever; without an archived end nothing is concluded
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _ready_node(state, clock, nodes)
        record = encode_job(make_spec(nameId=B, sacks=1), clock.wall(), (A,))
        state.put(keys.job(B), load_object(orjson.dumps(record)))
        if end:
            state.put(keys.archived(A), {"end": end, "done": 1})
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        await node.sync()
        assert (
            node.cluster.jobs[B].unmet_dependencies
            == other.cluster.jobs[B].unmet_dependencies
            == {A}
        )
        await node.renew_and_sync()
        await node.record_repair.step()
        await other.sync()
        assert await _stage(node, B) == await _stage(other, B) == told
        for seen in (node, other):
            assert seen.cluster.jobs[B].is_blocked is (end != DONE)
            assert seen.cluster.jobs[B].waiting_task_count() == (end == DONE)
        late = SteppedController(state, clock, nodes, "node-2")
        await late.boot()
        assert await _stage(late, B) == told
        assert late.cluster.jobs[B].is_blocked is (end == "")

    run_scenario(scenario)
