"""The rules, each against the failure that would break it."""

import curio
import orjson

from crossmill.cluster import keys
from crossmill.cluster.model import AttemptId, PlannedAttempt
from crossmill.jobs.machine_transfer import PlannedTransfer
from crossmill.net.client import NoResponseError
from crossmill.state.writer import WriteIntent, WriteResult
from crossmill.wire.state import Put, Txn
from crossmill.wire.workers import Command, CommandKind
from crossmill.workers.attempt_outcomes import StopReason

from .fake_services import FakeClock, StateService, beat, on, submission
from .stepped_controller import SteppedController, add_job, add_machine, run_scenario, seed

Nodes = dict[str, SteppedController]


async def _placed(
    state: StateService, clock: FakeClock, nodes: Nodes, **job: object
) -> SteppedController:
    """A node whose machine n-0 runs the job's one task, attempt 1, in session 1."""
    seed(state, clock, machines=1)
    job_id = add_job(state, clock, **{"sacks": 1, **job})
    node = SteppedController(state, clock, nodes)
    await node.boot()
    token = node.token()
    node.report("n-0", 1, 1, 0)
    node.report("n-0", 1, 2, token)
    await node.round()
    assert node.report("n-0", 1, 3, token).commands == (
        Command(CommandKind.START, f"{job_id}/0", 1),
    )
    node.report("n-0", 1, 4, token, on(job_id, 0, 1, "running"))
    return node


def test_start_is_sent_only_from_a_durable_plan() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        add_job(state, clock, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        state.script["/txn"] = ["refuse"] * 2
        task = await curio.spawn(node.round)
        await curio.sleep(0)
        assert node.report("n-0", 1, 2, node.token()).commands == ()
        await task.join()
        assert len(node.report("n-0", 1, 3, node.token()).commands) == 1

    run_scenario(scenario)


def test_a_report_from_before_takeover_is_not_believed() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        # a new incarnation; a late copy of an old report lists nothing
        again = SteppedController(state, clock, nodes)
        await again.boot()
        assert again.token() > node.token()
        answer = again.report("n-0", 1, 2, node.token())
        assert answer.commands == ()
        assert answer.token == again.token()
        assert not again.heartbeats.outcomes
        await again.round()
        assert len(again.cluster.machines["n-0"].attempts) == 1

    run_scenario(scenario)


def test_late_copy_renews_no_belief_and_brings_no_order() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        clock.time += node.settings.heartbeat_timeout_s + 0.1
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        before = view.answered_at
        assert node.report("n-0", 1, 3, node.token()).commands == ()
        assert not view.is_fresh(clock.now(), node.settings.heartbeat_timeout_s)
        assert view.answered_at == before

    run_scenario(scenario)


def test_silence_is_no_proof_until_the_lease_must_have_ended() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        add_machine(state, clock, "n-1")
        await node.sync()
        for seq in range(1, 60):
            clock.time += 0.2
            await node.controller_lease.step()
            node.report("n-1", 1, seq, node.token())
            await node.round()
            held = [r.machine for r in node.cluster.jobs["wk-000001"].attempts()]
            silent_s = 0.2 * seq
            if silent_s <= node.settings.worker_lease_s * 1.0005:
                assert held == ["n-0"], silent_s
        assert held == ["n-1"]

    run_scenario(scenario)


def test_a_new_session_proves_the_old_attempts_over() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        node.report("n-0", 2, 1, node.token())
        await node.round()
        await node.round()
        rows = list(node.cluster.jobs["wk-000001"].attempts())
        assert [(r.number, r.session) for r in rows] == [(2, 2)]

    run_scenario(scenario)


def test_a_failed_entry_in_the_list_is_no_proof_but_a_release_is() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        node.cloud.listed = [
            {
                "nameId": "n-0",
                "address": "x:1",
                "frame": "g4",
                "yard": "north",
                "loaners": False,
                "stage": "failed",
                "heldS": 99.0,
            }
        ]
        for _ in range(3):
            await node.membership.step()
            clock.time += node.settings.controller_lease_ttl_s / 3
            await node.controller_lease.step()
        clock.time += 1
        await node.controller_lease.step()
        await node.membership.step()
        assert node.membership.leadership_version() is not None
        await node.provisioner.reconcile_with_list()
        await node.round()
        assert node.cluster.machines["n-0"].retiring == "failed"
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 1
        await node.provisioner.scale_in()
        assert node.cloud.released == ["n-0"]
        await node.round()
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 0

    run_scenario(scenario)


def test_an_unanswered_direct_start_stays_in_doubt_until_a_higher_token() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        job = add_job(state, clock, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.worker.answer = NoResponseError("held back")
        token = node.token()
        node.report("n-0", 1, 1, token)
        await node.round()
        await curio.sleep(0.01)
        assert node.worker.sent[0]["orders"][0]["verb"] == "start"
        # withdrawn, and a newer report shows it absent: the start may still come
        version = state.keys[keys.job(job)]
        state.put(keys.job(job), {**version[0], "end": "cancelled"})
        await node.sync()
        node.report("n-0", 1, 2, token)
        await node.round()
        assert node.cluster.jobs[job].planned_task_count() == 1
        await node.membership.step()
        higher = node.token()
        assert higher > token
        node.report("n-0", 1, 3, token)
        await node.round()
        assert node.cluster.jobs[job].planned_task_count() == 1
        node.report("n-0", 1, 4, higher)
        await node.round()
        assert node.cluster.jobs[job].planned_task_count() == 0

    run_scenario(scenario)


def test_an_outcome_is_durable_before_the_reap() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        done = on("wk-000001", 0, 1, "exited", "done")
        assert node.report("n-0", 1, 5, node.token(), done).commands == ()
        await node.round()
        assert state.keys[keys.job("wk-000001")][0]["end"] == "done"
        orders = node.report("n-0", 1, 6, node.token(), done).commands
        assert orders == (Command(CommandKind.FORGET, "wk-000001/0", 1),)

    run_scenario(scenario)


def test_a_job_withdrawn_elsewhere_stops_a_start_that_did_not_know() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        job = add_job(state, clock, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        # another controller's write that this mirror has not seen yet
        state.put(keys.job(job), {**state.keys[keys.job(job)][0], "end": "cancelled"})
        await node.round()
        assert node.cluster.jobs[job].planned_task_count() == 0
        assert keys.plan(job, "0") not in state.keys

    run_scenario(scenario)


def test_withdrawn_tasks_are_killed_and_done_jobs_stay_done() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        answer = await node.ask("POST", "/v1/jobs/wk-000001/withdraw")
        assert (answer.status, orjson.loads(answer.body)["stage"]) == (200, "withdrawn")
        running = on("wk-000001", 0, 1, "running")
        orders = node.report("n-0", 1, 5, node.token(), running).commands
        assert orders == (Command(CommandKind.STOP, "wk-000001/0", 1, 0.0),)
        node.report("n-0", 1, 6, node.token(), on("wk-000001", 0, 1, "exited", "done"))
        await node.round()
        assert state.keys[keys.job("wk-000001")][0]["end"] == "cancelled"

    run_scenario(scenario)


def test_a_non_final_answer_is_shown_to_be_current() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock)
        job = add_job(state, clock)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        # told elsewhere to be withdrawn; this mirror lags
        state.put(keys.job(job), {**state.keys[keys.job(job)][0], "end": "cancelled"})
        answer = await node.ask("GET", f"/v1/jobs/{job}")
        assert orjson.loads(answer.body)["stage"] == "withdrawn"
        state.put(keys.job("wk-000002"), state.keys[keys.job(job)][0])
        assert (await node.ask("GET", "/v1/jobs/wk-000002")).status == 200
        assert (await node.ask("GET", "/v1/jobs/wk-000009")).status == 404
        state.down = True
        assert (await node.ask("GET", "/v1/jobs/wk-000009")).status == 503
        # what is final needs no proof
        assert (await node.ask("GET", f"/v1/jobs/{job}")).status == 200

    run_scenario(scenario)


def test_submissions_and_their_repeats() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        body = orjson.dumps(submission())
        early = await node.ask("POST", "/v1/jobs", body)
        assert (early.status, early.retry_after_s) == (503, 1)
        seed(state, clock)
        await node.sync()
        assert (await node.ask("POST", "/v1/jobs", body)).status == 201
        assert state.keys[keys.job("wk-000001")][0]["spec"]["tasks"] == 2
        # another node that has not seen it, and a repeat that is broken by now
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        broken = orjson.dumps({"nameId": "wk-000001", "cpus": -1})
        assert (await other.ask("POST", "/v1/jobs", broken)).status == 200
        for change, status in (
            ({"cpus": True}, 400),
            ({"crew": "nobody"}, 422),
            ({"cards": 5.0}, 422),
            ({"cut": "service", "sacks": 17}, 422),
            ({"sacks": 17}, 201),
        ):
            data = orjson.dumps(submission(nameId="wk-000007", **change))
            assert (await node.ask("POST", "/v1/jobs", data)).status == status, change
        state.down = True
        refused = await node.ask("POST", "/v1/jobs", orjson.dumps(submission(nameId="wk-000008")))
        assert (refused.status, refused.retry_after_s) == (503, 1)

    run_scenario(scenario)


def test_team_limit_counts_attempts_in_doubt() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=6)
        add_job(state, clock, sacks=16)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for number in range(6):
            node.report(f"n-{number}", 1, 1, node.token())
        await node.round()
        add_job(state, clock, nameId="wk-000002")
        await node.sync()
        # every machine silent: the sixteen may all be running still
        clock.time += node.settings.heartbeat_timeout_s
        for number in range(6):
            node.report(f"n-{number}", 1, 2, node.token())
        await node.round()
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 16
        assert node.cluster.jobs["wk-000002"].planned_task_count() == 0

    run_scenario(scenario)


def test_spread_and_zone_are_kept_with_tasks_in_doubt() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=2)
        job = add_job(state, clock, sacks=4, spread=True, cut="service", grindS=0.0)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for number in range(2):
            node.report(f"n-{number}", 1, 1, node.token())
        await node.round()
        assert node.cluster.machines.task_counts_by_zone(node.cluster.jobs[job]) == {"north": 2}

    run_scenario(scenario)


def test_lost_answer_of_a_write_is_settled_by_reading() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        state.script["/txn"] = ["lose"]
        mine = WriteIntent(Txn({"cm/x": 0}, [Put("cm/x", {"a": 1.0})]))
        assert await node.writer.commit(mine) == WriteResult.OK
        assert state.calls.count(("GET", "/keys/cm/x")) == 1
        state.script["/txn"] = ["drop"]
        other = WriteIntent(Txn({"cm/y": 0}, [Put("cm/y", {"a": 1})]))
        state.put("cm/y", {"a": 2})
        assert await node.writer.commit(other) == WriteResult.CONFLICT

    run_scenario(scenario)


def test_what_others_wrote_on_top_of_a_lost_write_is_known_once_its_fate_is() -> None:
    """Whoever gave a machine away believed for a while longer that it was its own, and would
    have answered its worker: the new owner's record was read and not kept.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes)
        await node.boot()
        mine = WriteIntent(Txn({"cm/x": 0}, [Put("cm/x", {"a": 1})]))
        state.script["/txn"] = ["lose"]
        await node.writer.submit(mine)
        while not state.keys.get("cm/x"):
            await curio.sleep(0)
        state.put("cm/x", {"a": 2})
        await mine.future.wait()
        assert node.mirror.value("cm/x") == {"a": 2}

    run_scenario(scenario)


def test_a_direct_answer_without_the_task_does_not_prove_that_a_start_can_not_come() -> None:
    """The start may be in the answer to the last report, still on its way: the row went, and the
    task was free to be placed elsewhere while it began here.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        add_job(state, clock, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        token = node.token()
        node.report("n-0", 1, 1, 0)
        node.report("n-0", 1, 2, token)
        await node.round()
        assert node.report("n-0", 1, 3, token).commands[0].op == "start"
        node.heartbeats.stop_requests[AttemptId("wk-000001", 0, 1)] = StopReason.PREEMPTED
        node.command_sender._apply_response("n-0", 200, beat("n-0", 1, 4, token))
        assert not node.heartbeats.outcomes
        # a report is sent only when the answer to the one before has come or is given up
        node.report("n-0", 1, 5, token)
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]

    run_scenario(scenario)


def test_a_stale_owners_write_does_nothing() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        lease = node.controller_lease.lease_id
        assert lease is not None
        state.end_lease(lease)
        other = SteppedController(state, clock, nodes, "node-1")
        await other.boot()
        clock.time += (
            other.settings.lease_extension_grant_s * 1.1 + other.settings.controller_lease_ttl_s * 2
        )
        await other.controller_lease.step()
        await other.controller_lease.step()
        await other.membership.step()
        clock.time += other.settings.controller_lease_ttl_s
        await other.controller_lease.step()
        await other.membership.step()
        assert 0 in other.membership.ownerships
        assert other.token() > node.token()
        assert node.membership.active_ownership(0) is None
        before = dict(state.keys)
        add_job(state, clock, nameId="wk-000003")
        assert node.report("n-0", 1, 9, node.token()).status == 421
        assert {k: v for k, v in state.keys.items() if k in before} == before

    run_scenario(scenario)


def test_workers_are_kept_alive_on_promises_and_only_then() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        for label in ("node-1", "node-2"):
            await SteppedController(state, clock, nodes, label).boot()
        running = on("wk-000001", 0, 1, "running")
        await node.live()
        state.down = True
        seq = 4
        until = clock.now() + node.settings.max_lease_extension_s - 1
        while clock.now() < until:
            clock.time += node.settings.lease_renewal_interval_s
            seq += 1
            await node.controller_lease.step()
            await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
            answer = node.report("n-0", 1, seq, node.token(), running)
            assert answer.status == 200
        # bound, the others do not take it even when its key has gone
        assert nodes["node-1"].lease_extensions.is_granted_to_peer(0)
        nodes["node-2"].cut = True
        clock.time += node.settings.lease_extension_grant_s
        await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
        assert node.report("n-0", 1, seq + 1, node.token(), running).status in (421, 503)

    run_scenario(scenario)


def test_a_controller_refused_alone_lets_its_promises_end() -> None:
    """It went on asking, so that no peer took its shards, and its workers' leases ended."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        peers = [SteppedController(state, clock, nodes, label) for label in ("node-1", "node-2")]
        for peer in peers:
            await peer.boot()
        for _ in range(8):
            clock.time += node.settings.lease_renewal_interval_s / 2
            for peer in peers:
                await peer.controller_lease.step()
            state.down = True
            await node.controller_lease.step()
            state.down = False
            await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
        assert node.lease_extensions.is_only_one_refused
        clock.time += node.settings.lease_extension_grant_s * 1.1
        await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
        assert not peers[0].lease_extensions.is_granted_to_peer(0)
        assert not node.lease_extensions.is_extended()

    run_scenario(scenario)


def test_in_an_outage_for_all_nobody_believes_to_be_alone() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        peers = [SteppedController(state, clock, nodes, label) for label in ("node-1", "node-2")]
        for peer in peers:
            await peer.boot()
        state.down = True
        while not node.lease_extensions.is_only_one_refused and clock.now() < 2000:
            clock.time += node.settings.lease_renewal_interval_s
            for each in (node, *peers):
                await each.controller_lease.step()
            await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
            since = node.lease_extensions._failing_since
            assert since is not None
            if (
                clock.now() - since
                > node.settings.max_lease_extension_s + node.settings.lease_extension_grant_s * 1.1
            ):
                break
        assert not node.lease_extensions.is_only_one_refused
        # and once the workers are no longer answered, nobody is kept from taking over
        assert not peers[0].lease_extensions.is_granted_to_peer(0)

    run_scenario(scenario)


def test_the_first_to_be_served_after_an_outage_is_no_sign_that_others_are_refused_alone() -> None:
    """Two of three controllers took an outage's end for a refusal of their own."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        peers = [SteppedController(state, clock, nodes, label) for label in ("node-1", "node-2")]
        for peer in peers:
            await peer.boot()
        state.down = True
        for _ in range(3):
            clock.time += node.settings.lease_renewal_interval_s
            for each in (node, *peers):
                await each.controller_lease.step()
            await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
        state.down = False
        await peers[0].controller_lease.step()
        clock.time += 0.1
        await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
        await node.lease_extensions.request_grants(sorted(node.membership.ownerships))
        assert not node.lease_extensions.is_only_one_refused

    run_scenario(scenario)


def test_a_restarted_controller_waits_out_promises_it_has_forgotten() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        first = SteppedController(state, clock, nodes, "node-0")
        await first.boot()
        lease = first.controller_lease.lease_id
        assert lease is not None
        state.end_lease(lease)
        # node-0 acts on promises while its key is gone; node-1 has just started anew
        other = SteppedController(state, clock, nodes, "node-1")
        first.cut = True
        await other.boot(waited=False)
        assert 0 not in other.membership.ownerships
        assert not other.lease_extensions.may_acquire_unowned(0)
        clock.time += other.settings.lease_extension_grant_s * 1.1
        assert other.lease_extensions.may_acquire_unowned(0)

    run_scenario(scenario)


def test_request_names_differ_between_incarnations_and_lost_rentals_are_not_doubled() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=0)
        add_job(state, clock, sacks=4)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        for _ in range(6):
            clock.time += node.settings.controller_lease_ttl_s / 2
            await node.controller_lease.step()
            await node.membership.step()
        assert node.membership.leadership_version() is not None
        node.cloud.script = ["lose"]
        await node.provisioner.scale_out()
        assert len(node.cloud.requests) == 1
        assert len(node.cluster.machines) == 1
        await node.provisioner.scale_out()
        assert len(node.cloud.requests) == 1

    run_scenario(scenario)


def test_direct_answers_do_not_renew_the_lease_bound() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        before = view.answered_at
        clock.time += 3
        data = orjson.loads(beat("n-0", 1, 9, node.token(), on("wk-000001", 0, 1, "running")))
        node.command_sender._apply_response("n-0", 200, orjson.dumps(data))
        assert view.seq == 9
        assert view.answered_at == before
        # the report that was under way meanwhile is older, but its answer does renew
        node.report("n-0", 1, 8, node.token(), on("wk-000001", 0, 1, "running"))
        assert view.answered_at == clock.now()

    run_scenario(scenario)


def test_a_session_known_from_direct_answers_alone_has_a_lease_of_its_own() -> None:
    """A worker whose reports go astray begins a new session; what was placed there was counted
    as over from our last answer, long before, and began elsewhere while it ran.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        for _ in range(20):
            clock.time += node.settings.worker_lease_s / 20
            await node.live()
        node.command_sender._apply_response("n-0", 200, beat("n-0", 2, 1, node.token()))
        machine = node.cluster.machines["n-0"]
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        assert view.session == 2
        # nothing is placed where no report comes from
        assert not view.is_fresh(clock.now(), node.settings.heartbeat_timeout_s)
        node.cluster.mirror.written(
            keys.plan("wk-000001", "0"),
            {"next": 3, "done": "0", "rows": [[0, 2, "n-0", 2]]},
            state.revision + 1,
        )
        ownership = node.membership.ownerships[0]
        node.heartbeats.outcomes.clear()
        clock.time += node.settings.worker_lease_s * 0.9
        node.heartbeats.expire_lease(machine, ownership)
        assert not node.heartbeats.outcomes
        clock.time += node.settings.worker_lease_s * 0.2
        node.heartbeats.expire_lease(machine, ownership)
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["lease over"]

    run_scenario(scenario)


def test_what_was_found_not_started_is_never_started() -> None:
    """The plan's write was known from the watch before its answer: a report without the task
    showed it over on a machine to be returned, and then the answer brought a direct start.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        add_job(state, clock, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        token = node.token()
        node.report("n-0", 1, 1, 0)
        node.report("n-0", 1, 2, token)
        node.worker.answer = lambda data: (200, beat("n-0", 1, 90, token))
        row = PlannedAttempt("wk-000001", 0, 1, "n-0", 1)
        plan = {"next": 2, "done": "0", "rows": [[0, 1, "n-0", 1]]}
        state.put(keys.plan("wk-000001", "0"), plan)
        await node.sync()
        node.heartbeats.stop_requests[AttemptId("wk-000001", 0, 1)] = StopReason.PREEMPTED
        node.report("n-0", 1, 3, token)
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]
        # its end is being written, and the reason for it has gone
        node.heartbeats.outcomes.clear()
        node.heartbeats.stop_requests.clear()
        await node.command_sender.send([row], [])
        await curio.sleep(0.01)
        assert not node.worker.sent
        assert not node.report("n-0", 1, 4, token).commands
        # should the write come to nothing, it is found once more
        assert [outcome.reason for outcome in node.heartbeats.outcomes.values()] == ["not started"]

    run_scenario(scenario)


def test_a_machine_given_to_another_shard_obeys_only_its_new_owner() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        other = node.settings.shard_of_team("blue")
        for _ in range(12):
            clock.time += node.settings.controller_lease_ttl_s / 3
            await node.live()
            await node.membership.step()
        assert other in node.membership.ownerships
        assert other != 0
        # shard 0 has an idle machine; the job waits in the other shard, and no cloud is there
        add_job(state, clock, crew="blue", sacks=1)
        await node.sync()
        old = node.token()
        for seq in range(1, 30):
            clock.time += 0.4
            await node.live()
            if node.cluster.machines["n-0"].shard != other:
                answer = node.report("n-0", 1, seq, old)
                assert (answer.status, answer.token) == (200, old)
                await node.round()
        machine = node.cluster.machines["n-0"]
        assert machine.shard == other
        assert machine.token > max(old, node.token(other))
        # what the worker said under the old token is not believed, nor anything begun on it
        answer = node.report("n-0", 1, 50, old)
        assert (answer.token, answer.commands) == (machine.token, ())
        await node.round(other)
        assert not machine.attempts
        node.report("n-0", 1, 51, machine.token)
        await node.round(other)
        commands = node.report("n-0", 1, 52, machine.token).commands
        assert [c.op for c in commands] == ["start"]

    run_scenario(scenario)


def test_a_machine_is_not_answered_while_its_move_is_written() -> None:
    """Its new owner counts the worker's lease from when it learns of the move."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        node.report("n-0", 1, 1, node.token())
        await node.round()
        node.scheduling_loop._machine_transfer._leaving["n-0"] = PlannedTransfer(1, clock.now() + 9)
        state.script["/txn"] = ["refuse"] * 2
        task = await curio.spawn(node.round)
        await curio.sleep(0)
        assert node.report("n-0", 1, 2, node.token()).status == 421
        await task.join()
        assert node.cluster.machines["n-0"].shard == 1
        # an older view must not be believed again if the machine comes back
        assert node.heartbeats.find_view("n-0") is None

    run_scenario(scenario)


def test_a_machine_with_anything_on_it_or_on_its_way_is_not_given() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await _placed(state, clock, nodes)
        giving = node.scheduling_loop._machine_transfer
        machine = node.cluster.machines["n-0"]
        giving._leaving["n-0"] = PlannedTransfer(1, clock.now() + 9)
        assert giving.target(machine) is None
        machine.attempts.clear()
        assert giving.target(machine) is None, "the worker still reports a task"
        node.report("n-0", 1, 5, node.token())
        assert giving.target(machine) == 1
        start = PlannedAttempt("wk-000001", 0, 1, "n-0", 1)
        node.heartbeats.reconciler.unacknowledged_starts.record("n-0", [start], node.token())
        assert giving.target(machine) is None, "a start sent to it may still arrive"

    run_scenario(scenario)


def test_no_start_is_planned_on_a_machine_in_the_round_that_gives_it() -> None:
    """The start's write rests on the machine's stamp but leaves it: both would be carried out."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        other = node.settings.shard_of_team("blue")
        for _ in range(12):
            clock.time += node.settings.controller_lease_ttl_s / 3
            await node.controller_lease.step()
            await node.membership.step()
        add_job(state, clock, crew="blue", sacks=1)
        await node.sync()
        for seq in range(1, 30):
            clock.time += 0.4
            await node.controller_lease.step()
            if seq == 8:
                # all is ready for the machine to be given; now its own shard gets a task too
                node.scheduling_loop._machine_transfer._checked_at[0] = 0.0
                add_job(state, clock, nameId="wk-000002", sacks=1)
                await node.sync()
            node.report("n-0", 1, seq, node.token())
            if 1 < seq < 8:
                node.scheduling_loop._machine_transfer._checked_at[0] = clock.now()
            await node.round()
            machine = node.cluster.machines["n-0"]
            if machine.shard == other:
                break
        assert machine.shard == other
        assert not machine.attempts

    run_scenario(scenario)


def test_a_controller_that_no_worker_reaches_gives_its_shards_away() -> None:
    """A cut between a controller and all workers cost 90 tasks: it kept its shards, and every
    peer sent the workers back to it until their leases ended.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=4)
        node, other = (
            SteppedController(state, clock, nodes),
            SteppedController(state, clock, nodes, "node-1"),
        )
        await node.boot()
        await other.boot(waited=False)
        s = node.settings
        given = 0.0
        for tick in range(1, 200):
            clock.time += 0.25
            for each in (node, other):
                await each.controller_lease.step()
                await each.sync()
                await each.membership.step()
            if tick < 40:
                token = node.token() if 0 in node.membership.ownerships else 0
                for number in range(4):
                    node.report(f"n-{number}", 1, tick, token)
            if tick < 40:
                assert 0 in node.membership.ownerships
                silent_at = clock.time
            elif 0 not in node.membership.ownerships and not given:
                given = clock.time
                assert given - silent_at < 2 * s.heartbeat_interval_s + 1
            if given and clock.time > given + 1.0:
                assert state.keys[keys.shard(0)][0]["owner"] == "node-1"
                break
        assert given
        # heard again, it is as good as any other, and gets its own back in time
        for tick in range(200, 300):
            clock.time += 0.25
            for each in (node, other):
                await each.controller_lease.step()
                await each.sync()
                await each.membership.step()
            node.report("n-0", 1, tick, 1)
            other.report("n-0", 1, tick, 1)
        assert 0 in node.membership.ownerships

    run_scenario(scenario)
