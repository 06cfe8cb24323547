"""Job dependencies: start, quota, archiving, repair, and derivation after a restart."""

import orjson
import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import ACTIVE, CANCELLED, DONE, Job
from crossmill.cluster.records import encode_end, encode_job
from crossmill.wire.checks import load_object

from .builders import make_spec, reported_task
from .dependency_scenario import (
    A,
    B,
    C,
    D,
    shown_stage,
    start_controller,
    submit_job,
    tasks_started_by_heartbeat,
)
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import (
    MAX_RECORD_BYTES,
    Nodes,
    SteppedController,
    add_job,
    run_scenario,
    seed,
)
from .stored_records import store_finished_job, store_finished_jobs_beyond


def test_a_dependent_starts_only_after_the_durable_end_of_its_dependency() -> None:
    # guards against the violation `too_early`: a dependent starts before the end of its dependency
    # is durable
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        assert (await submit_job(node, A)).status == 201
        assert (await submit_job(node, B, A)).status == 201
        await node.round()
        assert tasks_started_by_heartbeat(node, 3) == [f"{A}/0"]
        assert await shown_stage(node, B) == "queued"
        # the worker reports the task as done, but the outcome is not durable yet
        done = reported_task(A, 0, 1, "exited", "done")
        assert tasks_started_by_heartbeat(node, 4, done) == []
        await node.round()
        clock.time += 5
        await node.renew_and_sync()
        assert node.cluster.jobs[B].ready_at == pytest.approx(clock.wall_time() - 5)
        assert tasks_started_by_heartbeat(node, 5) == []
        await node.round()
        assert tasks_started_by_heartbeat(node, 6) == [f"{B}/0"]

    run_scenario(scenario)


def test_a_blocked_job_uses_no_quota_and_demands_no_capacity() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        await submit_job(node, A, sacks=1, cards=1.0)
        await submit_job(node, B, A, sacks=4, cards=1.0)
        await submit_job(node, C, sacks=3, cards=1.0)
        job = node.cluster.jobs[C]
        node.scheduling_loop._quotas.start_round(0)
        # team red has a quota of four GPUs: one and three fit, the blocked job's four do not count
        assert node.scheduling_loop._quotas.is_within_quota(job)
        assert [j.id for j in node.forecast.waiting_jobs(0)] == [A, C]

    run_scenario(scenario)


@pytest.mark.parametrize("order", ["dependency first", "dependency last"])
def test_a_restart_derives_the_same_state_whatever_the_order_of_records(order: str) -> None:
    # keys are read in the order of their names, which differs from the order of dependencies
    before, after = (A, B) if order == "dependency first" else (B, A)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        first, second = make_spec(nameId=before), make_spec(nameId=after)
        state.put(keys.job(before), encode_end(CANCELLED, first, 5.0, MAX_RECORD_BYTES))
        state.put(keys.job(after), encode_job(second, 1.0, (before,)))
        done, dependent = make_spec(nameId=C), make_spec(nameId=D)
        state.put(keys.job(C), encode_end(DONE, done, 7.0, MAX_RECORD_BYTES))
        state.put(keys.job(D), encode_job(dependent, 1.0, (C,)))
        node = SteppedController(state, clock, nodes)
        await node.boot()
        assert node.cluster.jobs[after].end == CANCELLED
        assert not node.cluster.jobs[D].is_blocked
        assert node.cluster.jobs[D].ready_at == 7.0

    run_scenario(scenario)


def test_a_blocked_job_is_cancelled_without_notifying_peers_unless_it_may_start() -> None:
    # the cancellation is conditional on the unfinished dependency: once it has ended, a task may be
    # about to start, and the peers must be notified first
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        await submit_job(node, A)
        await submit_job(node, B, A)
        job = node.cluster.jobs[B]
        handler = node.jobs._cancellation
        preconditions = await handler._preconditions(job)
        assert preconditions == {keys.job(A): node.cluster.jobs[A].version}
        store_finished_job(state, clock, A)
        conditions = {keys.job(B): job.version, **preconditions}
        assert not await handler._commit(B, make_spec(nameId=B), conditions)
        assert await shown_stage(node, B) == "queued"

    run_scenario(scenario)


def _finish_and_archive(state: StateService, clock: FakeClock, job_id: str) -> None:
    """Store what another owner writes when a job finishes and is archived immediately."""
    store_finished_job(state, clock, job_id)
    state.put(keys.archived(job_id), {"end": "done", "done": 1})
    state.put(keys.ARCHIVINGS, {"n": 1})
    state.delete(keys.job(job_id))


def test_archiving_a_dependency_does_not_race_with_accepting_a_dependent() -> None:
    # guards against a job that waits forever for a dependency whose record was deleted
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        await submit_job(node, A)
        # another owner ends and archives A; this controller's mirror does not include that yet
        _finish_and_archive(state, clock, A)
        # the request resolves A again, from the archive, so B is accepted and not blocked
        assert (await submit_job(node, B, A)).status == 201
        assert not node.cluster.jobs[B].is_blocked
        assert not node.cluster.jobs[B].dependencies
        assert "needs" not in state.keys[keys.job(B)][0]

    run_scenario(scenario)


def test_a_dependency_archived_while_another_is_read_is_noticed() -> None:
    # guards against a condition on an archiving counter that is newer than the records read
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        await submit_job(node, A)
        add_job(state, clock, nameId=C, sacks=1)
        dependency_check = node.jobs._submission._dependencies
        read = dependency_check._read_job

        async def archive_first_then_read(dependency_id: str) -> Job | None:
            _finish_and_archive(state, clock, A)
            await node.sync()
            dependency_check._read_job = read  # type: ignore[method-assign]
            return await read(dependency_id)

        dependency_check._read_job = archive_first_then_read  # type: ignore[method-assign]
        assert (await submit_job(node, B, A, C)).status == 201
        assert node.cluster.jobs[B].unmet_dependencies == {C}
        assert state.keys[keys.job(B)][0]["needs"] == [C]

    run_scenario(scenario)


def test_a_job_with_unfinished_dependents_is_not_archived() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        await submit_job(node, A)
        await submit_job(node, B, A)
        store_finished_job(state, clock, A)
        store_finished_jobs_beyond(state, clock, node.settings.max_ended_jobs)
        await node.sync()
        for _ in range(10):
            clock.time += 1
            await node.renew_and_sync()
            await node.round()
        assert keys.job(A) in state.keys
        assert any(key.startswith(keys.ARCHIVE) for key in state.keys)
        assert state.keys[keys.ARCHIVINGS][0]["n"] >= 1

    run_scenario(scenario)


@pytest.mark.parametrize("other_count", [0, 30])
def test_a_job_accepted_from_a_stale_mirror_does_not_lose_its_dependency(
    other_count: int,
) -> None:
    # guards against a job that waits forever: a controller that did not know of the dependency's
    # end accepted the job, and the controller that archived the dependency did not know of the
    # job. The second case has more dependencies than a transaction allows conditions
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        owner = await start_controller(state, clock, nodes)
        await submit_job(owner, A)
        other_ids = [add_job(state, clock, nameId=f"wk-{5000 + n:06d}") for n in range(other_count)]
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        # A ends; the other controller's watch lags
        store_finished_job(state, clock, A)
        store_finished_jobs_beyond(state, clock, owner.settings.max_ended_jobs)
        await owner.renew_and_sync()
        assert owner.cluster.jobs[A].end == DONE
        assert other.cluster.jobs[A].end == ACTIVE
        assert (await submit_job(other, B, A, *other_ids)).status == 201
        # the owner has not seen B when it archives jobs
        assert B not in owner.cluster.jobs
        for _ in range(3):
            await owner.round()
        new_controller = SteppedController(state, clock, nodes, "node-2")
        await new_controller.boot()
        assert new_controller.cluster.jobs[B].unmet_dependencies == set(other_ids)

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("end", "stage"), [(DONE, "queued"), (CANCELLED, "withdrawn"), ("", "queued")]
)
def test_a_job_whose_dependency_was_lost_by_an_earlier_version_is_repaired(
    end: str, stage: str
) -> None:
    # guards against a job that waits forever; if the archive has no entry, the job stays blocked
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_controller(state, clock, nodes)
        record = encode_job(make_spec(nameId=B, sacks=1), clock.wall_time(), (A,))
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
        assert await shown_stage(node, B) == await shown_stage(other, B) == stage
        for controller in (node, other):
            assert controller.cluster.jobs[B].is_blocked is (end != DONE)
            assert controller.cluster.jobs[B].waiting_task_count() == (end == DONE)
        new_controller = SteppedController(state, clock, nodes, "node-2")
        await new_controller.boot()
        assert await shown_stage(new_controller, B) == stage
        assert new_controller.cluster.jobs[B].is_blocked is (end == "")

    run_scenario(scenario)
