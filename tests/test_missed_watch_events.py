"""Changes of the state that a controller did not receive one by one.

The controller was partitioned or paused while other controllers acted, and reads the state again.
Each test is a regression test for an invariant violation at production size (docs/safety.md); the
comments name the invariant in tests/invariant_checker.py.
"""

import curio
import pytest

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED, DONE, Level
from crossmill.cluster.records import encode_end, encode_level
from crossmill.wire.checks import load_object
from crossmill.workers.attempt_outcomes import StopReason

from .builders import make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import RECORD_BYTES, Nodes, SteppedController, add_job, run_scenario, seed

JOB = "wk-000001"


async def _controller_with_planned_tasks(
    state: StateService, clock: FakeClock, nodes: Nodes, tasks: int = 1
) -> SteppedController:
    """Return a controller whose only job is planned on its only machine but not started yet."""
    seed(state, clock, machines=1)
    node = SteppedController(state, clock, nodes)
    await node.boot()
    node.report("n-0", 1, 1, 0)
    node.report("n-0", 1, 2, node.token())
    add_job(state, clock, nameId=JOB, sacks=tasks)
    await node.sync()
    await node.round()
    assert len(state.keys[keys.plan(JOB, "0")][0]["rows"]) == tasks
    return node


async def _transfer_shard_away(state: StateService) -> None:
    """Let another controller acquire shard 0 under a higher token."""
    token = state.keys[keys.TOKEN][0]["n"] + 1
    state.put(keys.TOKEN, {"n": token})
    state.put(keys.shard(0), {"owner": "node-1", "token": token}, 1)


async def _acquire_shard_again(
    state: StateService, clock: FakeClock, node: SteppedController
) -> None:
    """Let the other controller release shard 0 and this one acquire it again."""
    state.delete(keys.shard(0))
    for _ in range(12):
        clock.time += node.settings.lease_renewal_interval_s / 2
        await node.renew_and_sync()
        await node.membership.step()
        if node.membership.active_ownership(0) is not None:
            return
    raise AssertionError("shard 0 was not acquired again")


async def _run_other_tasks() -> None:
    for _ in range(5):
        await curio.sleep(0)


def _end_job_by_other_owner(state: StateService, clock: FakeClock) -> None:
    """Apply another owner's writes at the job's end: delete the plan, archive the record."""
    record = encode_end(CANCELLED, make_spec(nameId=JOB), clock.wall_time(), RECORD_BYTES)
    state.put(keys.job(JOB), record)
    state.delete(keys.plan(JOB, "0"))
    state.put(keys.archived(JOB), {"end": CANCELLED, "done": 0})
    state.delete(keys.job(JOB))


async def _end_job(state: StateService, clock: FakeClock, node: SteppedController) -> None:
    """Write the regular end of the job and let the controller read it."""
    record = encode_end(DONE, make_spec(nameId=JOB), clock.wall_time(), RECORD_BYTES)
    state.put(keys.job(JOB), record)
    await node.sync()


@pytest.mark.parametrize("is_compacted", [False, True])
def test_a_job_archived_by_another_owner_is_not_started_again(is_compacted: bool) -> None:
    # ran_cancelled, orphaned: after a full read, the planned attempts stayed on their machines
    # without the job and were started under the shard's next token
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _controller_with_planned_tasks(state, clock, nodes)
        await _transfer_shard_away(state)
        _end_job_by_other_owner(state, clock)
        if is_compacted:
            state.compact()
        await node.sync()
        await node.membership.step()
        assert 0 not in node.membership.ownerships
        await _acquire_shard_again(state, clock, node)
        node.report("n-0", 1, 3, 0)
        response = node.report("n-0", 1, 4, node.token())
        assert response.status == 200
        assert [command.op for command in response.commands] == []
        assert not node.cluster.machines["n-0"].attempts
        assert node.cluster.machines["n-0"].used_gpus == 0
        assert JOB not in node.cluster.jobs

    run_scenario(scenario)


def test_an_outcome_is_void_once_its_ownership_ends() -> None:
    # orphaned, ran_twice: a `not started` outcome was pending while the next owner started the
    # task; when the controller owned the shard again, it removed the running task from the plan
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _controller_with_planned_tasks(state, clock, nodes)
        attempt = node.cluster.machines["n-0"].attempts[JOB, 0]
        node.heartbeats.request_stop(attempt, StopReason.DRAINED)
        node.report("n-0", 1, 3, node.token())
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]
        # before the outcome is written, another controller acquires the shard and starts the task
        await _transfer_shard_away(state)
        await node.sync()
        await node.membership.step()
        await _acquire_shard_again(state, clock, node)
        node.report("n-0", 1, 4, 0, reported_task(JOB, 0, 1, "running"))
        await node.round()
        assert state.keys[keys.plan(JOB, "0")][0][
            "rows"
        ], "a running task was removed from the plan"
        response = node.report("n-0", 1, 5, node.token(), reported_task(JOB, 0, 1, "running"))
        assert [command.op for command in response.commands] == []

    run_scenario(scenario)


def test_no_start_is_sent_once_the_mirror_is_too_old() -> None:
    # ran_cancelled: lease renewals succeeded while reads failed, and a start was sent long after
    # another controller had confirmed the cancellation
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _controller_with_planned_tasks(state, clock, nodes)
        attempt = node.cluster.machines["n-0"].attempts[JOB, 0]
        await _run_other_tasks()
        node.worker.sent.clear()
        record = encode_end(CANCELLED, make_spec(nameId=JOB), clock.wall_time(), RECORD_BYTES)
        state.put(keys.job(JOB), record)
        interval_s = node.settings.lease_renewal_interval_s
        for _ in range(int(node.settings.cancellation_deadline_s / interval_s) + 1):
            clock.time += interval_s
            await node.controller_lease.step()
        assert node.membership.active_ownership(0) is not None
        await node.command_sender.send([attempt], [])
        await _run_other_tasks()
        assert not node.worker.sent

    run_scenario(scenario)


def test_a_plan_is_written_conditionally_on_the_versions_it_was_decided_on() -> None:
    # guards against a decision on one state that is written under the conditions of another: while
    # a round sends stops, the watch may apply changes
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, 0)
        node.report("n-0", 1, 2, node.token())
        add_job(state, clock, nameId=JOB, sacks=1)
        await node.sync()
        place, send = node.scheduling_loop._placement.place, node.command_sender.send

        def place_and_stop(*args: object) -> list[object]:
            place(*args)  # type: ignore[arg-type]
            return [object()]

        async def send_slowly(starts: list[object], stops: list[object]) -> None:
            if stops:
                await _end_job(state, clock, node)
                return
            await send(starts, stops)  # type: ignore[arg-type]

        node.scheduling_loop._placement.place = place_and_stop  # type: ignore
        node.command_sender.send = send_slowly  # type: ignore
        await node.round()
        assert keys.plan(JOB, "0") not in state.keys

    run_scenario(scenario)


def test_a_cancellation_does_not_undo_an_end_written_during_its_announcement() -> None:
    # went_back: the write was conditional on the version created by the job's end
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _controller_with_planned_tasks(state, clock, nodes)

        async def announce_slowly(job_id: str, zones: object) -> dict[str, int]:
            await _end_job(state, clock, node)
            return {}

        node.partition_protocol.cancellations.announce = announce_slowly  # type: ignore
        response = await node.ask("POST", f"/v1/jobs/{JOB}/withdraw")
        assert state.keys[keys.job(JOB)][0]["end"] == DONE
        assert response.status == 200
        assert load_object(response.body)["stage"] == "done"

    run_scenario(scenario)


def test_a_job_of_many_chunks_in_one_zone_can_be_cancelled() -> None:
    # guards against a cancellation that has more conditions than a transaction may have, and is
    # therefore never confirmed
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        state.put(keys.LEVEL, encode_level(Level(1, 512, 16)))
        tasks = 16 * 200
        add_job(state, clock, nameId=JOB, sacks=tasks, crew="blue")
        for first in range(0, tasks, 16):
            planned = [[first, 1, "n-0", 1]] if first == 0 else []
            done = 0xFFFE if first == 0 else 0xFFFF
            value = {"next": 2, "done": f"{done:x}", "rows": planned}
            state.put(keys.plan(JOB, f"{first}-16"), value)
        controllers = [SteppedController(state, clock, nodes, f"node-{n}") for n in range(3)]
        for controller in controllers:
            await controller.boot()
        response = await controllers[1].ask("POST", f"/v1/jobs/{JOB}/withdraw")
        assert response.status == 200
        assert state.keys[keys.job(JOB)][0]["end"] == CANCELLED

    run_scenario(scenario)


def test_a_controller_announces_only_the_cancellation_notes_it_has_read() -> None:
    # ran_cancelled: the controller knew its own newer note before the watch delivered older ones,
    # and published it as if it had read them all; a cancellation was confirmed on that basis
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        add_job(state, clock, nameId=JOB)
        await node.sync()
        state.put(keys.cancellation_note("wk-000002"), {"at": clock.wall_time()})
        unread = state.revision
        await node.jobs._cancellation._write_note(JOB, node.cluster.jobs[JOB].version)
        await _run_other_tasks()
        assert node.cluster.cancellation_notes[JOB][0] > unread
        await node.controller_lease.step()
        await node.membership.step()
        assert state.keys[keys.controller("node-0")][0]["seen"] < unread
        await node.sync()
        await node.membership.step()
        assert state.keys[keys.controller("node-0")][0]["seen"] > unread

    run_scenario(scenario)


def test_keepalive_needs_a_sync_that_began_after_the_announcement() -> None:
    # ran_cancelled: a cancellation was announced to the previous process and became durable after
    # this process sent a sync but before it published its record; it was assumed to be known
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        clock.time += 100
        await node.controller_lease.step()
        await curio.spawn(node.writer.run, daemon=True)
        await node.watcher.load()

        async def announce_during_sync(timeout_s: float) -> bool:
            await node.membership.announcement.publish()
            return True

        node.partition_protocol.state_sync._sync = announce_during_sync
        await node.partition_protocol.step()
        assert keys.controller("node-0") in state.keys
        assert node.partition_protocol.state_sync.sent_at is None
        await node.partition_protocol.step()
        assert node.partition_protocol.state_sync.sent_at is not None

    run_scenario(scenario)


def test_a_release_is_written_only_where_the_machine_has_no_record() -> None:
    # orphaned: if the absence of a record is a proof, it must be a condition of the write
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _controller_with_planned_tasks(state, clock, nodes)
        node.mirror.apply_deletion(keys.machine("n-0"), state.revision)
        assert [attempt.machine for attempt in node.cluster.machines.orphaned_attempts()] == ["n-0"]
        await node.round()
        assert state.keys[keys.plan(JOB, "0")][0]["rows"]
        state.delete(keys.machine("n-0"))
        await node.sync()
        await node.round()
        assert not state.keys[keys.plan(JOB, "0")][0]["rows"]

    run_scenario(scenario)
