"""Proofs that a worker's attempts have ended, and observations that prove nothing."""

import orjson

from crossmill.cluster import keys

from .builders import heartbeat_body, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import start_placed_task
from .stepped_controller import Nodes, SteppedController, add_machine, run_scenario


def test_a_heartbeat_from_before_a_failover_is_not_believed() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        # a new controller takes over; a late copy of an old heartbeat lists no task
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        assert successor.token() > node.token()
        response = successor.report("n-0", 1, 2, node.token())
        assert response.commands == ()
        assert response.token == successor.token()
        assert not successor.heartbeats.outcomes
        await successor.round()
        assert len(successor.cluster.machines["n-0"].attempts) == 1

    run_scenario(scenario)


def test_a_repeated_heartbeat_renews_nothing_and_brings_no_command() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        clock.time += node.settings.heartbeat_timeout_s + 0.1
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        before = view.last_response_at
        assert node.report("n-0", 1, 3, node.token()).commands == ()
        assert not view.is_fresh(clock.now(), node.settings.heartbeat_timeout_s)
        assert view.last_response_at == before

    run_scenario(scenario)


def test_missing_heartbeats_prove_nothing_until_the_worker_lease_has_expired() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
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


def test_a_new_session_proves_that_the_old_attempts_ended() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        node.report("n-0", 2, 1, node.token())
        await node.round()
        await node.round()
        rows = list(node.cluster.jobs["wk-000001"].attempts())
        assert [(r.number, r.session) for r in rows] == [(2, 2)]

    run_scenario(scenario)


def test_a_failed_machine_in_the_clouds_list_is_no_proof_but_its_release_is() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        node.cloud.listed_machines = [
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
        assert node.cluster.machines["n-0"].retirement_reason == "failed"
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 1
        await node.provisioner.scale_in()
        assert node.cloud.released == ["n-0"]
        await node.round()
        assert node.cluster.jobs["wk-000001"].planned_task_count() == 0

    run_scenario(scenario)


def test_command_responses_do_not_renew_the_worker_lease() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        before = view.last_response_at
        clock.time += 3
        data = orjson.loads(
            heartbeat_body("n-0", 1, 9, node.token(), reported_task("wk-000001", 0, 1, "running"))
        )
        node.command_sender._apply_response("n-0", 200, orjson.dumps(data))
        assert view.seq == 9
        assert view.last_response_at == before
        # a heartbeat that was in transit has an older status, but its response renews the lease
        node.report("n-0", 1, 8, node.token(), reported_task("wk-000001", 0, 1, "running"))
        assert view.last_response_at == clock.now()

    run_scenario(scenario)


def test_a_session_known_from_command_responses_alone_has_its_own_lease() -> None:
    """Guards against starting attempts that still run on other machines.

    A worker whose heartbeats are lost begins a new session. The lease of the attempts placed in
    that session was counted from the response to the last heartbeat, long before, so they were
    considered ended.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        for _ in range(20):
            clock.time += node.settings.worker_lease_s / 20
            await node.renew_and_sync()
        node.command_sender._apply_response("n-0", 200, heartbeat_body("n-0", 2, 1, node.token()))
        machine = node.cluster.machines["n-0"]
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        assert view.session == 2
        # no task is placed on a machine without heartbeats
        assert not view.is_fresh(clock.now(), node.settings.heartbeat_timeout_s)
        node.cluster.mirror.apply_write(
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
