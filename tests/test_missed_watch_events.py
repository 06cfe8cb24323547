"""What a controller makes of changes that it did not see one by one: it was cut off or stood still
while others acted, and reads the state anew, page by page.

The causes of what broke at production size (docs/safety.md, "Observed state and conclusions").
"""

from collections.abc import Callable

import curio
import pytest

from crossmill.cluster import keys
from crossmill.cluster.level import Level, encode_level
from crossmill.cluster.model import CANCELLED, DONE, AttemptId
from crossmill.cluster.records import encode_end
from crossmill.state.client import StateClient
from crossmill.state.mirror import Mirror
from crossmill.state.watcher import StateWatcher
from crossmill.wire.checks import load_object
from crossmill.workers.attempt_outcomes import StopReason

from .fake_services import FakeClock, StateService, make_settings, make_spec, on
from .stepped_controller import RECORD_BYTES, SteppedController, add_job, run_scenario, seed

Nodes = dict[str, SteppedController]
JOB = "wk-000001"


async def _node_with_a_row(
    state: StateService, clock: FakeClock, nodes: Nodes, tasks: int = 1
) -> SteppedController:
    """A controller whose only job is planned on its only machine, and not started yet."""
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


async def _lose_shard(state: StateService, node: SteppedController) -> None:
    """Another controller takes shard 0 under a higher token."""
    token = state.keys[keys.TOKEN][0]["n"] + 1
    state.put(keys.TOKEN, {"n": token})
    state.put(keys.shard(0), {"owner": "node-1", "token": token}, 1)


async def _regain_shard(state: StateService, clock: FakeClock, node: SteppedController) -> None:
    """The other controller hands the shard back."""
    state.delete(keys.shard(0))
    for _ in range(12):
        clock.time += node.settings.lease_renewal_interval_s / 2
        await node.live()
        await node.membership.step()
        if node.membership.active_ownership(0) is not None:
            return
    raise AssertionError("shard 0 was not taken again")


async def _let_others_run() -> None:
    for _ in range(5):
        await curio.sleep(0)


def _end_elsewhere(state: StateService, clock: FakeClock) -> None:
    """What the other owner durably did while this one saw nothing: the job is over, its plan is
    cleared away and its record is archived.
    """
    record = encode_end(CANCELLED, make_spec(nameId=JOB), clock.wall(), RECORD_BYTES)
    state.put(keys.job(JOB), record)
    state.delete(keys.plan(JOB, "0"))
    state.put(keys.archived(JOB), {"end": CANCELLED, "done": 0})
    state.delete(keys.job(JOB))


@pytest.mark.parametrize("is_compacted", [False, True])
def test_a_job_archived_unseen_is_never_started_again(is_compacted: bool) -> None:
    # guards against ran_cancelled and orphaned: after a reading anew the plan's rows stayed on
    # their machines without the job, and were started under the shard's next token
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _node_with_a_row(state, clock, nodes)
        await _lose_shard(state, node)
        _end_elsewhere(state, clock)
        if is_compacted:
            state.compact()
        await node.sync()
        await node.membership.step()
        assert 0 not in node.membership.ownerships
        await _regain_shard(state, clock, node)
        node.report("n-0", 1, 3, 0)
        answer = node.report("n-0", 1, 4, node.token())
        assert answer.status == 200
        assert [c.op for c in answer.commands] == []
        assert not node.cluster.machines["n-0"].attempts
        assert node.cluster.machines["n-0"].gpus == 0
        assert JOB not in node.cluster.jobs

    run_scenario(scenario)


def test_a_finding_ends_with_the_ownership_it_was_made_under() -> None:
    # guards against orphaned and ran_twice: `not started` waited to be written while the next
    # owner started the task; with the shard back, the old finding removed the running task's row
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _node_with_a_row(state, clock, nodes)
        node.heartbeats.stop_requests[AttemptId(JOB, 0, 1)] = StopReason.DRAINED
        node.report("n-0", 1, 3, node.token())
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]
        # before it can be written, the shard changes hands and the next owner starts the task
        await _lose_shard(state, node)
        await node.sync()
        await node.membership.step()
        await _regain_shard(state, clock, node)
        node.report("n-0", 1, 4, 0, on(JOB, 0, 1, "running"))
        await node.round()
        assert state.keys[keys.plan(JOB, "0")][0]["rows"], "a running task's row was removed"
        answer = node.report("n-0", 1, 5, node.token(), on(JOB, 0, 1, "running"))
        assert [c.op for c in answer.commands] == []

    run_scenario(scenario)


class _PageTurner:
    """A line to the state service that takes a moment, on which something happens after each page
    of a list.
    """

    def __init__(
        self, state: StateService, after_page: Callable[[int], None] = lambda page: None
    ) -> None:
        self._state = state
        self._after_page = after_page
        self._pages = 0

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        await curio.sleep(0)
        answer = await self._state.request(method, path, body, timeout_s)
        await curio.sleep(0)
        if path.startswith("/keys?"):
            self._pages += 1
            self._after_page(self._pages)
        return answer


@pytest.mark.parametrize("is_first", [True, False])
def test_a_reading_is_a_state_that_existed(is_first: bool) -> None:
    # guards against torn readings: pages of different moments, published as one state, show a
    # plan without its machine, and a job without what was written with it
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        state.page_items = 2
        for name in ("b", "c", "d", "e"):
            state.put(keys.ROOT + name, 0)

        def change(pages: int) -> None:
            if pages == 1:
                # one of a page already read, one of a page still to come, one deleted there
                state.put(keys.ROOT + "a", 1)
                state.put(keys.ROOT + "e", 1)
                state.delete(keys.ROOT + "d")

        settings = make_settings()
        client = StateClient(settings, clock, _PageTurner(state, change))
        mirror = Mirror()
        watcher = StateWatcher(client, mirror, clock, keys.ROOT, settings)
        if not is_first:
            mirror.revision = 0
            watcher.current_at = clock.now()
        await watcher.load()
        at_revision = {name: value for name, (value, _, _) in state.keys.items()}
        assert mirror.revision == state.revision
        assert {name: mirror.value(name) for name in at_revision} == at_revision
        assert mirror.version(keys.ROOT + "d") == 0

    run_scenario(scenario)


def test_two_loops_that_meet_a_compaction_read_the_state_once() -> None:
    # guards against a load that starves everything else: the watch and a sync each read it all
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(_PageTurner(state), clock, nodes)
        await node.boot()
        state.put(keys.ROOT + "x", 1)
        state.put(keys.ROOT + "y", 1)
        state.compact()
        readings = node.mirror.readings
        watch = await curio.spawn(node.watcher._step, 0.0)
        await node.sync()
        await watch.join()
        assert node.mirror.value(keys.ROOT + "y") == 1
        assert node.mirror.readings == readings + 1

    run_scenario(scenario)


def test_a_sync_that_meets_a_reading_begun_before_it_waits_for_more() -> None:
    # guards against went_back: the reading shows less than was durable when the sync was asked
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(_PageTurner(state), clock, nodes)
        await node.boot()
        state.put(keys.ROOT + "x", 1)
        state.compact()
        for turns in range(30):
            watch = await curio.spawn(node.watcher._step, 0.0)
            for _ in range(turns):
                await curio.sleep(0)
            state.put(keys.ROOT + "x", 2 + turns)
            await node.sync()
            assert node.mirror.value(keys.ROOT + "x") == 2 + turns
            await watch.join()
            state.put(keys.ROOT + "y", turns)
            state.compact()

    run_scenario(scenario)


def test_direct_starts_end_when_what_is_durable_is_no_longer_known() -> None:
    # guards against ran_cancelled: the lease was renewed while no read came through, and a start
    # was sent long after another controller had confirmed the cancellation
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _node_with_a_row(state, clock, nodes)
        row = node.cluster.machines["n-0"].attempts[JOB, 0]
        await _let_others_run()
        node.worker.sent.clear()
        record = encode_end(CANCELLED, make_spec(nameId=JOB), clock.wall(), RECORD_BYTES)
        state.put(keys.job(JOB), record)
        for _ in range(
            int(node.settings.cancellation_deadline_s / node.settings.lease_renewal_interval_s) + 1
        ):
            clock.time += node.settings.lease_renewal_interval_s
            await node.controller_lease.step()
        assert node.membership.active_ownership(0) is not None
        await node.command_sender.send([row], [])
        await _let_others_run()
        assert not node.worker.sent

    run_scenario(scenario)


def test_a_round_writes_on_the_versions_it_decided_on() -> None:
    # guards against a decision made on one state and written on the conditions of another: what
    # is sent in the middle of a round lets others' changes in
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
                spec = make_spec(nameId=JOB)
                record = encode_end(DONE, spec, clock.wall(), RECORD_BYTES)
                state.put(keys.job(JOB), record)
                await node.sync()
                return
            await send(starts, stops)  # type: ignore[arg-type]

        node.scheduling_loop._placement.place = place_and_stop  # type: ignore
        node.command_sender.send = send_slowly  # type: ignore
        await node.round()
        assert keys.plan(JOB, "0") not in state.keys

    run_scenario(scenario)


def test_a_cancellation_does_not_undo_an_end_that_came_while_peers_were_told() -> None:
    # guards against went_back: the write rested on the version that the job's end had made
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _node_with_a_row(state, clock, nodes)

        async def tell_slowly(job_id: str, zones: object) -> dict[str, int]:
            spec = make_spec(nameId=JOB)
            state.put(keys.job(JOB), encode_end(DONE, spec, clock.wall(), RECORD_BYTES))
            await node.sync()
            return {}

        node.partition_protocol.cancellations.announce = tell_slowly  # type: ignore
        response = await node.ask("POST", f"/v1/jobs/{JOB}/withdraw")
        assert state.keys[keys.job(JOB)][0]["end"] == DONE
        assert response.status == 200
        assert load_object(response.body)["stage"] == "done"

    run_scenario(scenario)


def test_a_job_of_many_chunks_in_one_zone_can_be_cancelled() -> None:
    # guards against a cancellation that rests on more versions than a transaction takes, and so
    # is never confirmed
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        state.put(keys.LEVEL, encode_level(Level(1, 512, 16)))
        tasks = 16 * 200
        add_job(state, clock, nameId=JOB, sacks=tasks, crew="blue")
        for first in range(0, tasks, 16):
            rows = [[first, 1, "n-0", 1]] if first == 0 else []
            done = 0xFFFE if first == 0 else 0xFFFF
            value = {"next": 2, "done": f"{done:x}", "rows": rows}
            state.put(keys.plan(JOB, f"{first}-16"), value)
        nodes_all = [SteppedController(state, clock, nodes, f"node-{n}") for n in range(3)]
        for node in nodes_all:
            await node.boot()
        response = await nodes_all[1].ask("POST", f"/v1/jobs/{JOB}/withdraw")
        assert response.status == 200
        assert state.keys[keys.job(JOB)][0]["end"] == CANCELLED

    run_scenario(scenario)


def test_a_controller_confirms_only_notes_up_to_what_it_has_read() -> None:
    # guards against ran_cancelled: its own newer note, seen ahead of the watch, was announced as if
    # all older ones had been read, and a cancellation was confirmed on that
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        add_job(state, clock, nameId=JOB)
        await node.sync()
        state.put(keys.cancellation_note("wk-000002"), {"at": clock.wall()})
        unread = state.revision
        await node.jobs._cancellation._note(JOB, node.cluster.jobs[JOB].version)
        await _let_others_run()
        assert node.cluster.cancellation_notes[JOB][0] > unread
        await node.controller_lease.step()
        await node.membership.step()
        assert state.keys[keys.controller("node-0")][0]["seen"] < unread
        await node.sync()
        await node.membership.step()
        assert state.keys[keys.controller("node-0")][0]["seen"] > unread

    run_scenario(scenario)


def test_a_deputy_knows_what_was_durable_after_it_had_announced_itself() -> None:
    # guards against ran_cancelled: a cancellation told to the process before, durable between the
    # sending of a read and the announcement, was taken for known
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        clock.time += 100
        await node.controller_lease.step()
        await curio.spawn(node.writer.run, daemon=True)
        await node.watcher.load()

        async def announced_meanwhile(timeout_s: float) -> bool:
            await node.membership._announce()
            return True

        node.partition_protocol.keepalive._sync = announced_meanwhile
        await node.partition_protocol.step()
        assert keys.controller("node-0") in state.keys
        assert node.partition_protocol.keepalive._synced_at is None
        await node.partition_protocol.step()
        assert node.partition_protocol.keepalive._synced_at is not None

    run_scenario(scenario)


def test_a_release_is_written_only_where_the_machine_has_no_record() -> None:
    # guards against orphaned: absence that proves something is a condition of the write
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _node_with_a_row(state, clock, nodes)
        node.mirror.deleted(keys.machine("n-0"), state.revision)
        assert [row.machine for row in node.cluster.machines.orphaned_attempts()] == ["n-0"]
        await node.round()
        assert state.keys[keys.plan(JOB, "0")][0]["rows"]
        state.delete(keys.machine("n-0"))
        await node.sync()
        await node.round()
        assert not state.keys[keys.plan(JOB, "0")][0]["rows"]

    run_scenario(scenario)


def test_an_ended_job_with_tasks_on_machines_is_not_archived_after_a_restart() -> None:
    # guards against ran_cancelled and orphaned: read anew, the record came before the plan, and
    # the job counted as cleared away; once archived, nobody ended its tasks any more
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        record = encode_end(CANCELLED, make_spec(nameId=JOB, sacks=1), clock.wall(), RECORD_BYTES)
        state.put(keys.job(JOB), record)
        state.put(keys.plan(JOB, "0"), {"next": 2, "done": "0", "rows": [[0, 1, "n-0", 1]]})
        node = SteppedController(state, clock, nodes)
        for number in range(node.settings.max_ended_jobs + 5):
            spec = make_spec(nameId=f"wk-{1000 + number:06d}")
            state.put(keys.job(spec.id), encode_end(DONE, spec, clock.wall(), RECORD_BYTES))
        await node.boot()
        node.report("n-0", 1, 1, 0, on(JOB, 0, 1, "running"))
        for _ in range(6):
            clock.time += 1
            await node.live()
            await node.round()
        assert any(key.startswith(keys.ARCHIVE) for key in state.keys)
        assert keys.job(JOB) in state.keys
        answer = node.report("n-0", 1, 2, node.token(), on(JOB, 0, 1, "running"))
        assert [c.op for c in answer.commands] == ["stop"]

    run_scenario(scenario)


@pytest.mark.parametrize("is_archived", [True, False])
def test_a_plan_left_without_its_job_by_an_earlier_version(is_archived: bool) -> None:
    # guards against orphaned: its tasks are ended on the archive's word and its plan goes; without
    # that word nothing is started, ended or freed
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        plan = keys.plan(JOB, "0")
        state.put(plan, {"next": 2, "done": "0", "rows": [[0, 1, "n-0", 1], [1, 2, "n-0", 1]]})
        if is_archived:
            state.put(keys.archived(JOB), {"end": CANCELLED, "done": 0})
        node = SteppedController(state, clock, nodes)
        await node.boot()
        running = on(JOB, 0, 1, "running")
        node.report("n-0", 1, 1, 0, running)
        answer = node.report("n-0", 1, 2, node.token(), running)
        assert [c.op for c in answer.commands] == []
        await node.record_repair.step()
        assert (await node.ask("GET", f"/v1/jobs/{JOB}")).status == (200 if is_archived else 404)
        answer = node.report("n-0", 1, 3, node.token(), running)
        assert [c.op for c in answer.commands] == (["stop"] if is_archived else [])
        ended = [on(JOB, 0, 1, "exited", "halted")] if is_archived else [running]
        node.report("n-0", 1, 4, node.token(), *ended)
        for _ in range(4):
            clock.time += 1
            await node.live()
            await node.round()
        assert (plan not in state.keys) is is_archived
        assert (JOB not in node.cluster.jobs) is is_archived
        assert len(node.cluster.machines["n-0"].attempts) == (0 if is_archived else 2)

    run_scenario(scenario)
