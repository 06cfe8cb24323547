"""Cancelling a job cancels all jobs that depend on it."""

from crossmill.cluster import keys
from crossmill.cluster.dependencies import DependencyGraph
from crossmill.cluster.model import ACTIVE, CANCELLED, Job
from crossmill.cluster.records import encode_job

from .builders import make_spec
from .dependency_scenario import A, B, D, shown_stage, start_controller, submit_job
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, run_scenario
from .stored_records import store_finished_job


def test_more_dependents_than_a_transaction_allows_are_cancelled_by_a_single_write() -> None:
    # guards against the violation `orphaned`: a dependent not cancelled with its dependency. The
    # single write cancels all dependents; their own records are written later
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        # only controllers in the job's zone must be notified, and this is the only one there
        await submit_job(node, A, yard="north")
        dependents = [f"wk-{n:06d}" for n in range(100, 200)]
        for name in dependents:
            state.put(keys.job(name), encode_job(make_spec(nameId=name), clock.wall_time(), (A,)))
        await node.sync()
        assert (await submit_job(node, D, dependents[0], dependents[-1])).status == 201
        response = await node.send_user_request("POST", f"/v1/jobs/{A}/withdraw")
        assert response.status == 200
        assert b"withdrawn" in response.body
        # even before any further write, and on a controller that does not write
        for name in (*dependents, D):
            assert await shown_stage(other, name) == "withdrawn"
        assert state.keys[keys.job(dependents[0])][0]["end"] == ACTIVE
        # during an outage a final state is still reported
        state.is_down = True
        assert await shown_stage(other, D) == "withdrawn"
        state.is_down = False
        for _ in range(40):
            clock.time += 1
            await node.renew_and_sync()
            await node.round()
        ends = {state.keys[keys.job(name)][0]["end"] for name in (*dependents, D)}
        assert ends == {CANCELLED}
        assert not node.cluster.jobs.unrecorded_cancellations[0]

    run_scenario(scenario)


def test_a_chain_of_thousands_of_jobs_is_cancelled_without_recursion() -> None:
    jobs: dict[str, Job] = {}
    graph = DependencyGraph(jobs)
    for number in range(5000):
        dependencies = (f"wk-{number - 1:06d}",) if number else ()
        spec = make_spec(nameId=f"wk-{number:06d}")
        job = jobs[spec.id] = Job(spec.id, spec=spec, dependencies=dependencies)
        graph.add(job)
    first = jobs["wk-000000"]
    first.end = CANCELLED
    assert len(graph.apply_end(first)) == 4999
    assert {job.end for job in jobs.values()} == {CANCELLED}


def test_a_job_that_depends_on_a_cancelled_one_is_accepted_and_cancelled() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        state.put(keys.archived(A), {"end": "cancelled", "done": 0})
        response = await submit_job(node, B, A)
        assert response.status == 201
        assert b"withdrawn" in response.body
        assert await shown_stage(node, B) == "withdrawn"

    run_scenario(scenario)


def test_cancelling_a_finished_job_does_not_cancel_its_dependents() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        store_finished_job(state, clock, A)
        await submit_job(node, B, A)
        response = await node.send_user_request("POST", f"/v1/jobs/{A}/withdraw")
        assert b"done" in response.body
        assert await shown_stage(node, B) == "queued"

    run_scenario(scenario)
