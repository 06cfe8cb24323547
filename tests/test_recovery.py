"""Several controllers fail while work goes on; when they return, healthy work gets no order."""

from collections import Counter
from collections.abc import Callable
from copy import deepcopy
from dataclasses import replace
from typing import Any

import curio
import orjson
import pytest

from crossmill.cluster import keys
from crossmill.recovery import keys as recovery_keys
from crossmill.recovery.open_differences import OpenDifferences
from crossmill.recovery.phases import Phase
from crossmill.recovery.records import StoredApproval, encode_approval
from crossmill.recovery.settings import RecoverySettings
from crossmill.recovery.shard_recovery import ShardRecovery
from crossmill.wire.recovery import APPROVE_PATH, RECOVERY_PATH, Approval, approval_body
from crossmill.wire.workers import MAX_ORDERS, WorkerHeartbeat
from crossmill.workers.views import HeartbeatVerdict, WorkerView

from .recovery_region import (
    RecoveryRegion,
    give_unplanned,
    is_unplanned,
    recovery_settings,
    simulate_recovery,
)

# the calm restart of the operators' wish
WORKERS = 100
SERVICES = 70
# smaller regions, where the failure itself is what counts
FEW_WORKERS = 18
FEW_SERVICES = 12


async def _busy_region(
    region: RecoveryRegion, workers: int = FEW_WORKERS, services: int = FEW_SERVICES
) -> list[str]:
    """Workers in all shards and both zones, with services, spread services and long arrays."""
    await region.begin(machines=0)
    for number in range(workers):
        await region.add_worker(f"n-{number:03d}", ("north", "south")[number % 2], number % 3)
    await curio.sleep(8.0)
    jobs = await region.services_running(services)
    for number in range(services // 4):
        job = f"wk-{900000 + number}"
        label = region.LABELS[number % 3]
        fields = {"crew": "green", "sacks": 3, "cards": 0.0}
        await region.submit_until_accepted(label, job, 400.0, **fields)
    await curio.sleep(10.0)
    if region.recovery is not None:
        await region.wait_until(region.steady, 120.0)
    region.forget_orders()
    return jobs


def _tasks(region: RecoveryRegion) -> dict[str, Any]:
    return {w.machine: dict(w.tasks) for w in region.workers.values()}


async def _overview(region: RecoveryRegion, label: str = "node-0") -> dict[str, Any]:
    response = await region.request(label, "GET", RECOVERY_PATH)
    assert response.status == 200
    overview: dict[str, Any] = orjson.loads(response.body)
    return overview


async def _approve(region: RecoveryRegion, label: str, braked: list[dict[str, Any]]) -> None:
    for report in braked:
        body = approval_body(Approval(report["shard"], report["digest"]))
        assert (await region.request(label, "POST", APPROVE_PATH, body)).status == 200


@pytest.mark.parametrize("apart_s", [0.0, 1.0])
def test_healthy_workers_get_no_order_after_all_controllers_end(apart_s: float) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region, WORKERS, SERVICES)
        running = _tasks(region)
        assert sum(map(len, running.values())) > 2 * SERVICES
        await region.restart_all(2.0, apart_s)
        await region.wait_until(region.steady, 60.0)
        await curio.sleep(20.0)
        assert region.orders() == {}
        assert _tasks(region) == running
        newest = (await _overview(region))["records"][-3:]
        assert sum(record["classes"].get("healthy", 0) for record in newest) > 0

    simulate_recovery(scenario, recovery_settings())


def test_a_hundred_workers_of_which_some_differ() -> None:
    """All controllers end; five workers are silent for two minutes, one reports a task that was
    never recorded, and two jobs are to be cancelled while nobody serves.
    """

    async def scenario(region: RecoveryRegion) -> None:
        jobs = await _busy_region(region, WORKERS, SERVICES)
        busy = [w for w in region.workers.values() if w.tasks]
        silent, odd = busy[:5], busy[5]
        cancelled = {key[0] for key in busy[6].tasks}
        healthy = [
            w
            for w in region.workers.values()
            if w is not odd and w not in silent and not cancelled & {key[0] for key in w.tasks}
        ]
        await region.end_all()
        placed_anew = {
            job
            for worker in silent
            for job, _ in worker.tasks
            if job in jobs and job not in cancelled
        }
        for worker in silent:
            worker.heartbeats_lost = worker.inbound_lost = True
        stray = jobs[-1], 77, 9
        give_unplanned(odd, *stray)
        await curio.sleep(2.0)
        await region.start_all()
        for job in cancelled:
            assert await region.cancel_until_confirmed("node-0", job, 30.0)
        await region.wait_until(region.steady, 60.0)
        assert stray[:2] not in odd.tasks
        assert region.orders([odd]) == {odd.machine: ["kill", "reap"]}
        # what was on the silent ones is placed anew once their leases are over, on workers that
        # may be healthy ones: they get starts, and nothing of theirs is stopped
        await region.wait_until(lambda: all(region.is_up(job, 3) for job in placed_anew), 60.0)
        stops = [v for verbs in region.orders(healthy).values() for v in verbs if v != "start"]
        assert stops == []
        # later the ordinary path may empty machines of which most is idle
        await curio.sleep(60.0)
        for worker in silent:
            worker.heartbeats_lost = worker.inbound_lost = False
        before = region.orders(silent)
        await curio.sleep(60.0)
        # they forgot their tasks when their leases ended: nothing is ordered about those
        assert region.orders(silent) == before == {}

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_a_cancellation_is_not_held_up_behind_many_differences() -> None:
    """More strays than an answer has room for, all of them held back, and one cancelled task."""

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        odd = next(w for w in region.workers.values() if w.tasks)
        job = next(iter(odd.tasks))[0]
        tasks, odd.tasks = odd.tasks, {}
        for index in range(2 * MAX_ORDERS):
            give_unplanned(odd, "wk-000001", 100 + index, 9)
        odd.tasks.update(tasks)
        await region.restart_all(1.0)
        assert await region.cancel_until_confirmed("node-0", job, 30.0)
        await curio.sleep(3 * region.heartbeat_interval_s)
        assert not any(key[0] == job and t.state == "running" for key, t in odd.tasks.items())

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_a_worker_that_comes_and_goes_costs_a_bounded_number_of_orders() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        odd = next(w for w in region.workers.values() if w.tasks)
        for index in range(30):
            give_unplanned(odd, "wk-000001", 100 + index, 9)
        await region.restart_all(2.0)
        for _ in range(10):
            odd.heartbeats_lost = odd.inbound_lost = True
            await curio.sleep(3.0)
            odd.heartbeats_lost = odd.inbound_lost = False
            await curio.sleep(3.0)
        sent = [at for at, _, order in odd.orders if order["verb"] == "kill"]
        assert len(sent) > 0
        assert region.recovery is not None
        _assert_paced(sent, region.recovery.worker_orders_per_s, region.recovery.orders_per_worker)

    settings = recovery_settings(orders_per_worker=2, brake_share=1.0)
    simulate_recovery(scenario, settings, expected=is_unplanned)


def _assert_paced(times: list[float], rate: float, burst: float) -> None:
    """No stretch of time has more orders than the rate and one burst allow."""
    times = sorted(times)
    for first, begun in enumerate(times):
        for last in range(first, len(times)):
            allowed = (times[last] - begun) * rate + burst
            assert last - first + 1 <= allowed + 1e-6, (begun, times[last], last - first + 1)


def _recovery_orders(region: RecoveryRegion, since: float) -> list[float]:
    """When workers got orders to end tasks."""
    return [
        at
        for worker in region.workers.values()
        for at, _, order in worker.orders
        if order["verb"] == "kill" and at >= since
    ]


# -- a state service that comes back older -------------------------------------------


async def _state_comes_back_older(region: RecoveryRegion, marked_up: bool = True) -> list[str]:
    """Services were submitted, and placed, that the restored state never heard of."""
    await region.begin(machines=0)
    for number in range(FEW_WORKERS):
        await region.add_worker(f"n-{number:03d}", ("north", "south")[number % 2], number % 3)
    await curio.sleep(12.0)
    remembered = region.remember()
    jobs = await region.services_running(FEW_SERVICES)
    await curio.sleep(5.0)
    region.forget_orders()
    await region.end_all()
    if not marked_up:
        for name in remembered:
            if name.startswith(keys.MACHINE):
                remembered[name]["up"] = False
    await region.come_back_older(remembered)
    await curio.sleep(1.0)
    await region.start_all()
    return jobs


def test_machines_whose_coming_up_is_not_recorded_are_no_exception() -> None:
    """That a machine is up is written in the background: after a rush many are not marked yet."""

    async def scenario(region: RecoveryRegion) -> None:
        await _state_comes_back_older(region, marked_up=False)
        running = sum(map(len, _tasks(region).values()))
        await curio.sleep(40.0)
        # no more than is never a mass action is stopped before the brake is on
        assert region.recovery is not None
        least = region.recovery.brake_least * len(region.LABELS)
        assert sum(map(len, _tasks(region).values())) >= running - least

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_nothing_is_torn_down_after_the_state_came_back_older_until_it_is_approved() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _state_comes_back_older(region)
        running = _tasks(region)
        await curio.sleep(60.0)
        assert _recovery_orders(region, 0.0) == []
        assert _tasks(region) == running
        overview = await _overview(region)
        braked = overview["braked"]
        assert braked
        assert all(report["stops"] > 0 for report in braked)
        wrong = approval_body(Approval(braked[0]["shard"], "0" * 16))
        assert (await region.request("node-1", "POST", APPROVE_PATH, wrong)).status == 409
        approved_at = region.clock.now()
        # any controller takes it
        await _approve(region, "node-1", braked)
        await region.wait_until(region.steady, 200.0)
        assert not any(worker.tasks for worker in region.workers.values())
        assert (await _overview(region))["braked"] == []
        assert region.recovery is not None
        settings = region.recovery
        burst = settings.nodes * settings.shard_burst
        _assert_paced(_recovery_orders(region, approved_at), settings.orders_per_s, burst)

    settings = recovery_settings(orders_per_s=1.5)
    simulate_recovery(scenario, settings, expected=is_unplanned)


def test_an_empty_state_service_brings_no_order() -> None:
    """No machine is known, so none is answered: PROTOCOL gives no way to keep its tasks."""

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        await region.end_all()
        await region.come_back_older({})
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(30.0)
        assert region.orders() == {}
        assert not any(worker.tasks for worker in region.workers.values())

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_an_approval_ends_with_the_ownership() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _state_comes_back_older(region)
        await curio.sleep(20.0)
        braked = (await _overview(region))["braked"]
        shard = braked[0]["shard"]
        owner = region.owners()[shard]
        # the approval is durable, and its owner ends before it has seen it
        region.frozen_until[owner] = region.clock.now() + 2.0
        other = next(label for label in region.LABELS if label != owner)
        await _approve(region, other, braked[:1])
        await region.kill(owner)
        await curio.sleep(30.0)
        assert region.owners()[shard] != owner
        assert _recovery_orders(region, 0.0) == []
        assert shard in [report["shard"] for report in (await _overview(region, other))["braked"]]

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


@pytest.mark.parametrize(("left_s", "is_honoured"), [(-1.0, False), (60.0, True)])
def test_an_approval_ends_with_its_time(left_s: float, is_honoured: bool) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _state_comes_back_older(region)
        await curio.sleep(30.0)
        report = (await _overview(region))["braked"][0]
        until = region.clock.wall() + left_s
        approval = StoredApproval(report["token"], report["digest"], until)
        region.state.put(recovery_keys.approval(report["shard"]), encode_approval(approval))
        await curio.sleep(20.0)
        assert bool(_recovery_orders(region, 0.0)) is is_honoured

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_records_are_bounded_in_number() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        for _ in range(4):
            await region.restart_all(1.0)
            await region.wait_until(region.steady, 60.0)
            await curio.sleep(1.0)
        records = (await _overview(region))["records"]
        by_shard = Counter(record["shard"] for record in records)
        assert by_shard == dict.fromkeys(range(3), 2)
        newest = {shard: row[0]["token"] for shard, row in _shard_rows(region)}
        assert {r["shard"]: r["token"] for r in records} == newest

    simulate_recovery(scenario, recovery_settings(kept_records=2))


def _shard_rows(region: RecoveryRegion) -> list[tuple[int, Any]]:
    return [(n, region.state.keys[keys.shard(n)]) for n in range(len(region.LABELS))]


def test_many_machines_are_given_up_only_when_it_is_approved() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        silent = list(region.workers.values())[: FEW_WORKERS // 2]
        await region.end_all()
        for worker in silent:
            worker.heartbeats_lost = worker.inbound_lost = True
        await curio.sleep(1.0)
        await region.start_all()

        def given_up() -> int:
            rows = [region.state.keys[keys.machine(worker.machine)][0] for worker in silent]
            return sum(row["retiring"] == "silent" for row in rows)

        await curio.sleep(120.0)
        # one in each shard is no mass action yet
        assert given_up() <= len(region.LABELS)
        braked = (await _overview(region))["braked"]
        assert braked
        assert all(report["releases"] > 1 for report in braked)
        await _approve(region, "node-2", braked)
        await region.wait_until(lambda: given_up() == len(silent), 60.0)

    simulate_recovery(scenario, recovery_settings(brake_least=1, brake_share=0.0))


def test_a_job_of_which_a_stray_task_runs_is_not_started_elsewhere() -> None:
    """The planted meeting: the plan lost a task's row while it runs, the brake holds the stop."""

    async def scenario(region: RecoveryRegion) -> None:
        await _state_comes_back_older(region)
        running = _tasks(region)
        # the users repeat their submissions, as PROTOCOL lets them, and the jobs are new again
        for job, facts in list(region.checker.jobs.items()):
            spec = facts.spec
            fields = {k: v for k, v in spec.items() if k != "nameId"}
            await region.submit_until_accepted("node-0", job, facts.run_s, **fields)
        await curio.sleep(60.0)
        assert _tasks(region) == running

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_a_cancellation_passes_a_brake_that_is_on() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _state_comes_back_older(region)
        job, facts = next(iter(region.checker.jobs.items()))
        fields = {k: v for k, v in facts.spec.items() if k != "nameId"}
        await region.submit_until_accepted("node-0", job, None, **fields)
        await curio.sleep(20.0)
        assert region.workers_running(job)
        assert (await _overview(region))["braked"]
        assert await region.cancel_until_confirmed("node-1", job, 30.0)
        await curio.sleep(region.cancellation_deadline_s + 1.0)
        assert not region.workers_running(job)

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_a_task_whose_row_was_lost_is_not_started_elsewhere_while_it_runs() -> None:
    """The stray's stop waits for its turn, and its task looks free to whoever places."""

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        odd = next(w for w in region.workers.values() if w.tasks)
        job, index = next(iter(odd.tasks))
        # or it would be placed on this very worker
        odd.notice_s = 1000.0
        await region.end_all()
        name = next(
            name
            for name, (value, _, _) in region.state.keys.items()
            if name.startswith(keys.plan(job, "")) and index in [row[0] for row in value["rows"]]
        )
        plan = deepcopy(region.state.keys[name][0])
        plan["rows"] = [row for row in plan["rows"] if row[0] != index]
        region.state.put(name, plan)
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(15.0)
        assert (job, index) in odd.tasks
        await region.wait_until(lambda: "kill" in region.orders([odd]).get(odd.machine, []), 90.0)
        await region.wait_until(lambda: region.is_up(job, 3), 90.0)

    slow = recovery_settings(orders_per_s=0.1)
    simulate_recovery(scenario, slow, expected=is_unplanned)


def test_a_planned_task_is_not_started_while_another_attempt_runs_elsewhere() -> None:
    """The stored plan is of before the task was moved: it runs on another machine."""

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        machines = region.nodes["node-0"].cluster.machines
        before = next(w for w in region.workers.values() if w.tasks)
        after = next(
            worker
            for worker in region.workers.values()
            if worker is not before
            and machines[worker.machine].shard == machines[before.machine].shard
        )
        (job, index), task = next(iter(before.tasks.items()))
        await region.end_all()
        del before.tasks[job, index]
        give_unplanned(after, job, index, task.attempt + 1)
        await curio.sleep(1.0)
        await region.start_all()
        await region.wait_until(lambda: (job, index) in before.tasks, 120.0)
        assert (job, index) not in after.tasks or after.tasks[job, index].state == "exited"

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_starts_under_way_at_a_change_of_owner_do_not_wait_for_batches() -> None:
    """Every machine lacks a planned task whose start was never sent."""

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        await region.end_all()
        missing = {w.machine: next(iter(w.tasks)) for w in region.workers.values() if w.tasks}
        for machine, key in missing.items():
            del region.workers[machine].tasks[key]
        await curio.sleep(1.0)
        await region.start_all()
        await region.wait_until(lambda: len(region.recoveries()) > 0, 20.0)
        started = [key in region.workers[machine].tasks for machine, key in missing.items()]
        assert not all(started)
        await region.wait_until(
            lambda: all(key in region.workers[m].tasks for m, key in missing.items()), 3.5
        )

    simulate_recovery(scenario, recovery_settings(brake_share=1.0))


# -- failures in the middle of a recovery --------------------------------------------


@pytest.mark.parametrize("phase", list(Phase))
def test_all_end_again_in_each_phase(phase: Phase) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        odd = [w for w in region.workers.values() if w.tasks][:4]
        for worker in odd:
            give_unplanned(worker, "wk-000001", 70 + worker.number, 9)
        others = [w for w in region.workers.values() if w not in odd]
        await region.end_all()
        await curio.sleep(1.0)
        seen: set[Phase] = set()
        await region.start_all()

        def is_reached() -> bool:
            seen.update(recovery.phase for recovery in region.recoveries())
            if phase is Phase.STEADY:
                return region.steady()
            return phase in seen or region.steady()

        await region.wait_until(is_reached, 60.0)
        await region.restart_all(1.0)
        await region.wait_until(region.steady, 90.0)
        await curio.sleep(10.0)
        assert region.orders(others) == {}
        assert all(index < 70 for worker in odd for _, index in worker.tasks)

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def _down(region: RecoveryRegion) -> None:
    region.state.down = True


def _slow(region: RecoveryRegion) -> None:
    region.state_delay_s = 0.7


def _read_only(region: RecoveryRegion) -> None:
    for label in region.LABELS:
        region.refused_requests[label] = lambda method, path: path == "/txn"


def _heal(region: RecoveryRegion) -> None:
    region.state.down = False
    region.state_delay_s = 0.0
    region.reconnect()


@pytest.mark.parametrize("fault", [_down, _slow, _read_only])
def test_the_state_service_is_in_trouble_at_the_restart(
    fault: Callable[[RecoveryRegion], None],
) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        running = _tasks(region)
        await region.end_all()
        fault(region)
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(1.5)
        _heal(region)
        await region.wait_until(region.steady, 90.0)
        await curio.sleep(10.0)
        assert region.orders() == {}
        assert _tasks(region) == running

    simulate_recovery(scenario, recovery_settings())


def test_a_zone_is_cut_off_while_all_controllers_end() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        south = [w for w in region.workers.values() if w.zone == "south"]
        north = [w for w in region.workers.values() if w.zone == "north"]
        await region.end_all()
        for worker in south:
            worker.heartbeats_lost = worker.inbound_lost = True
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(60.0)
        for worker in south:
            worker.heartbeats_lost = worker.inbound_lost = False
        await region.wait_until(region.steady, 120.0)
        await curio.sleep(30.0)
        # the north's healthy tasks are left alone; the south's ended with their leases, and were
        # placed anew once that was proven
        ended = [v for verbs in region.orders(north).values() for v in verbs if v != "start"]
        assert ended == []

    simulate_recovery(scenario, recovery_settings())


def test_a_controller_stands_still_between_deciding_and_sending() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        odd = next(w for w in region.workers.values() if w.tasks)
        give_unplanned(odd, "wk-000001", 70, 9)
        others = [w for w in region.workers.values() if w is not odd]
        await region.restart_all(1.0)
        await region.wait_until(lambda: any(r.phase is Phase.SETTLING for r in region.recoveries()))
        label = next(
            r_label
            for r_label, service in region.services.items()
            if any(r.phase is Phase.SETTLING for r in service.recoveries())
        )
        region.frozen_until[label] = region.clock.now() + 8.0
        await curio.sleep(12.0)
        await region.wait_until(region.steady, 90.0)
        await curio.sleep(10.0)
        assert region.orders(others) == {}
        assert ("wk-000001", 70) not in odd.tasks
        assert all(w.session == 1 for w in region.workers.values())

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_one_that_was_behind_stops_nothing_that_another_planned() -> None:
    """Two controllers saw different things: one does not hear of changes, and its view of the
    plans is old when it takes a shard.
    """

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        region.refused_requests["node-1"] = lambda method, path: path.startswith("/changes")
        for number in range(6):
            job = f"wk-{800000 + number}"
            assert await region.submit("node-0", job, None, crew="blue", sacks=1) in (201, 503)
        await curio.sleep(5.0)
        region.forget_orders()
        running = _tasks(region)
        await region.kill("node-0")
        await region.kill("node-2")
        await curio.sleep(6.0)
        region.reconnect()
        await region.start_all()
        await region.wait_until(region.steady, 90.0)
        await curio.sleep(10.0)
        ended = [v for verbs in region.orders().values() for v in verbs if v != "start"]
        assert ended == []
        for machine, tasks in running.items():
            assert tasks.items() <= region.workers[machine].tasks.items()

    simulate_recovery(scenario, recovery_settings())


def test_beside_a_controller_without_recovery() -> None:
    """The version before, or one without the file, takes part: what it does not hold back is as
    right as ever.
    """

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        running = _tasks(region)
        await region.end_all()
        await curio.sleep(1.0)
        plain, region.recovery = region.recovery, None
        await region.start("node-1")
        region.recovery = plain
        region.services.pop("node-1")
        await region.start_all()
        await curio.sleep(40.0)
        assert region.orders() == {}
        assert _tasks(region) == running

    simulate_recovery(scenario, recovery_settings())


# -- planted faults ------------------------------------------------------------------


def _older_without_brake(settings: RecoverySettings) -> list[float]:
    """When tasks were ended in a region whose state came back older, and nothing brakes."""
    times: list[float] = []

    async def scenario(region: RecoveryRegion) -> None:
        await _state_comes_back_older(region)
        await region.wait_until(region.steady, 200.0)
        times.extend(_recovery_orders(region, 0.0))
        assert len(times) > FEW_SERVICES

    simulate_recovery(scenario, settings, expected=is_unplanned)
    return times


def _region_paced(times: list[float], settings: RecoverySettings) -> None:
    _assert_paced(times, settings.orders_per_s, settings.nodes * settings.shard_burst)


def test_the_whole_region_keeps_to_its_rate() -> None:
    settings = recovery_settings(orders_per_s=0.6, brake_share=1.0, first_batch=64)
    _region_paced(_older_without_brake(settings), settings)


@pytest.mark.parametrize("fault", ["no pace", "not divided"])
def test_a_rate_that_is_not_kept_is_caught(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    settings = recovery_settings(orders_per_s=0.6, brake_share=1.0, first_batch=64)
    if fault == "no pace":
        rate = property(lambda self: 1e6)
    else:
        rate = property(lambda self: self.orders_per_s)
    with monkeypatch.context() as patched:
        patched.setattr(RecoverySettings, "shard_orders_per_s", rate)
        times = _older_without_brake(settings)
    with pytest.raises(AssertionError):
        _region_paced(times, settings)


def test_a_missing_brake_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ShardRecovery, "is_braked", property(lambda self: False))
    with pytest.raises(AssertionError):
        test_nothing_is_torn_down_after_the_state_came_back_older_until_it_is_approved()


@pytest.mark.parametrize(
    "scenario",
    [
        test_a_task_whose_row_was_lost_is_not_started_elsewhere_while_it_runs,
        test_a_planned_task_is_not_started_while_another_attempt_runs_elsewhere,
    ],
)
def test_a_claim_that_is_not_honoured_is_caught(
    scenario: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ShardRecovery, "is_claimed", lambda self, key: False)
    with pytest.raises(AssertionError):
        scenario()


def test_a_task_never_recorded_is_stopped_only_after_a_read_newer_than_its_report() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        odd = next(w for w in region.workers.values() if w.tasks)
        give_unplanned(odd, "wk-000001", 70, 9)
        shard = region.nodes["node-0"].cluster.machines[odd.machine].shard
        await region.restart_all(1.0)
        await region.wait_until(lambda: any(r.shard == shard for r in region.recoveries()))
        # the shard is ready; from now on no read comes through
        for label in region.LABELS:
            region.refused_requests[label] = lambda method, path: path.startswith("/changes")
        await curio.sleep(2.5)
        assert region.orders([odd]) == {}
        region.reconnect()
        await region.wait_until(lambda: ("wk-000001", 70) not in odd.tasks)

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_a_stop_without_a_fresh_read_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(OpenDifferences, "is_read", lambda self, difference, read_at: True)
    with pytest.raises(AssertionError):
        test_a_task_never_recorded_is_stopped_only_after_a_read_newer_than_its_report()


def _late_copies_come_first() -> None:
    """HeartbeatHandler of before the restart reach the new owners ahead of the workers' own."""

    async def scenario(region: RecoveryRegion) -> None:
        await _busy_region(region)
        busy = [w for w in region.workers.values() if w.tasks]
        old = [worker.sent_heartbeats[0] for worker in busy]
        assert all(b'"sacks":[]' in copy for copy in old)
        await region.restart_all(1.0)
        for worker in busy:
            worker.heartbeats_lost = True
        await region.wait_until(
            lambda: len(region.owners()) == 3
            and all(
                region.nodes[label].membership.active_ownership(shard)
                for shard, label in region.owners().items()
            )
        )
        for copy in old:
            for label in region.LABELS:
                region.deliver(copy, label)
        for worker in busy:
            worker.heartbeats_lost = False
        await region.wait_until(region.steady, 60.0)
        newest = (await _overview(region))["records"][-3:]
        classes = [record["classes"] for record in newest]
        assert sum(c.get("healthy", 0) for c in classes) > 0
        assert sum(c.get("absent", 0) for c in classes) == 0
        assert region.orders() == {}

    simulate_recovery(scenario, recovery_settings())


def test_a_report_from_before_the_restart_is_not_taken_for_a_new_one() -> None:
    _late_copies_come_first()


def test_a_report_from_before_the_restart_that_is_believed_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def believe(
        view: WorkerView, report: WorkerHeartbeat, token: int, now: float
    ) -> HeartbeatVerdict:
        view.last_beat, view.last_heartbeat_at = (report.session, report.seq), now
        view.apply_status(replace(report, token=token), token, now)
        return HeartbeatVerdict.ACCEPTED

    monkeypatch.setattr(WorkerView, "apply_heartbeat", believe)
    with pytest.raises(AssertionError):
        _late_copies_come_first()
