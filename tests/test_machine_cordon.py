"""Cordons in the records of machines: kept by other writes, and heeded by all controllers."""

import orjson

from crossmill.cluster import keys
from crossmill.cluster.model import Machine, ShardAssignment
from crossmill.cluster.records import decode_machine, encode_machine
from crossmill.jobs.context import SchedulingContext
from crossmill.jobs.machine_transfer import MachineTransfer

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_job
from .stepped_controller import Nodes, SteppedController, add_job, add_machine, run_scenario, seed

UNTIL = 1234.5


def _machine(cordoned_until: float) -> Machine:
    return Machine("n-0", "g4", "north", False, 0, 5.0, "", True, cordoned_until=cordoned_until)


def _stored(machine: Machine, **changes: object) -> Machine:
    value = orjson.loads(orjson.dumps(encode_machine(machine, **changes)))  # type: ignore[arg-type]
    return decode_machine("n-0", value, 1)


def test_a_cordon_is_kept_by_writes_that_change_something_else() -> None:
    machine = _stored(_machine(0.0), cordoned_until=UNTIL)
    assert machine.cordoned_until == UNTIL
    assert _stored(machine, is_up=True).cordoned_until == UNTIL
    assert _stored(machine, assignment=ShardAssignment(1, 7)).cordoned_until == UNTIL


def test_a_machine_without_a_cordon_is_stored_as_by_the_version_in_production() -> None:
    assert "cordoned_until" not in encode_machine(_machine(0.0))
    assert "cordoned_until" not in encode_machine(_machine(UNTIL), cordoned_until=0.0)


def test_a_cordon_ends_at_its_time() -> None:
    machine = _machine(UNTIL)
    assert machine.is_cordoned(UNTIL - 0.1)
    assert not machine.is_cordoned(UNTIL)


def test_a_controller_that_owns_no_shard_requests_a_machine_in_place_of_a_cordoned_one() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        job = add_job(state, clock, sacks=1)
        node = SteppedController(state, clock, nodes)
        await node.watcher.load()
        assert not node.forecast.plan(0).machine_requests
        add_machine(state, clock, "n-0", cordoned_until=clock.wall_time() + 1.0)
        await node.watcher.load()
        requests = node.forecast.plan(0).machine_requests
        assert [request.number for request in requests.values()] == [1]
        assert "n-0" not in node.forecast.plan(0).spare_machines
        clock.time += 1.0
        assert not node.forecast.plan(0).machine_requests
        assert job in node.cluster.jobs

    run_scenario(scenario)


def test_a_machine_with_a_replica_is_cordoned_and_uncordoned_when_its_jobs_are_cancelled() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=1, cut="service")
        bad_jobs = [add_job(state, clock, nameId=f"wk-{n:06d}", sacks=1) for n in (2, 3)]
        await node.sync()
        await node.round()
        running = reported_task("wk-000001", 0, 1, "running")
        failed = [reported_task(job, 0, 1, "exited", "error") for job in bad_jobs]
        node.report("n-0", 1, 2, node.token(), running, *failed)
        for _ in range(2):
            clock.time += node.settings.maintenance_interval_s
            await node.controller_lease.step()
            await node.round()
        until = node.cluster.machines["n-0"].cordoned_until
        assert until - clock.wall_time() <= node.settings.failure_memory_s
        assert node.cluster.machines["n-0"].is_cordoned(clock.wall_time())
        for job in bad_jobs:
            state.put(keys.job(job), {**state.keys[keys.job(job)][0], "end": "cancelled"})
        await node.sync()
        clock.time += node.settings.maintenance_interval_s
        await node.controller_lease.step()
        await node.round()
        assert not node.cluster.machines["n-0"].is_cordoned(clock.wall_time())

    run_scenario(scenario)


def test_a_cordoned_machine_is_not_transferred_to_another_shard() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        seed(state, clock, machines=1)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        blue = node.settings.shard_of_team("blue")
        assert blue != 0
        add_job(state, clock, sacks=1, crew="blue")
        await node.sync()
        for is_cordoned in (True, False):
            until = clock.wall_time() + 100.0 if is_cordoned else 0.0
            add_machine(state, clock, "n-0", cordoned_until=until)
            for _ in range(10):
                clock.time += node.settings.machine_transfer_interval_s / 2
                await node.renew_and_sync()
            node.report("n-0", 1, 1 if is_cordoned else 2, node.token())
            view = node.heartbeats.find_view("n-0")
            assert view is not None
            view.idle_since = clock.now() - node.settings.worker_lease_s
            context = SchedulingContext(
                node.settings, clock, node.cluster, node.heartbeats, node.forecast
            )
            transfer = MachineTransfer(context, node.membership)
            assert not list(transfer.choose_machines(0))
            assert transfer.has_planned_transfer("n-0") is not is_cordoned

    run_scenario(scenario)
