"""Workers that run tasks that no plan contains, or another attempt than the planned one."""

from collections.abc import Callable
from copy import deepcopy

import curio
import pytest

from crossmill.cluster import keys
from crossmill.recovery.unresolved_differences import UnresolvedDifferences
from crossmill.wire.workers import MAX_COMMANDS

from .recovery_region import (
    RecoveryRegion,
    add_unplanned_task,
    disconnect,
    is_unplanned_task_violation,
    rate_violations,
    reconnect,
    recovery_settings,
    simulate_recovery,
)


def test_a_cancellation_is_not_delayed_by_many_differences() -> None:
    """A worker runs more unplanned tasks than a response has commands, and one cancelled task."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        affected = next(w for w in region.workers.values() if w.tasks)
        job = next(iter(affected.tasks))[0]
        tasks, affected.tasks = affected.tasks, {}
        for index in range(2 * MAX_COMMANDS):
            add_unplanned_task(affected, "wk-000001", 100 + index, 9)
        affected.tasks.update(tasks)
        await region.restart_all(1.0)
        assert await region.cancel_until_confirmed("node-0", job, 30.0)
        await curio.sleep(3 * region.heartbeat_interval_s)
        assert not any(key[0] == job and t.state == "running" for key, t in affected.tasks.items())

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_orders_to_a_flapping_worker_are_rate_limited() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        affected = next(w for w in region.workers.values() if w.tasks)
        for index in range(30):
            add_unplanned_task(affected, "wk-000001", 100 + index, 9)
        await region.restart_all(2.0)
        for _ in range(10):
            disconnect([affected])
            await curio.sleep(3.0)
            reconnect([affected])
            await curio.sleep(3.0)
        stop_times = [at for at, _, order in affected.received_commands if order["verb"] == "kill"]
        assert len(stop_times) > 0
        rate, burst = settings.worker_orders_per_s, settings.orders_per_worker
        assert rate_violations(stop_times, rate, burst) == []

    settings = recovery_settings(orders_per_worker=2, brake_share=1.0)
    simulate_recovery(scenario, settings, expected=is_unplanned_task_violation)


def test_a_task_missing_from_the_plan_is_not_placed_while_it_runs() -> None:
    """The rate limit delays the task's stop, and the plan has no attempt of the task."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        affected = next(w for w in region.workers.values() if w.tasks)
        job, index = next(iter(affected.tasks))
        # a worker with a termination notice gets no new tasks
        affected.notice_s = 1000.0
        await region.kill_all()
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
        assert (job, index) in affected.tasks
        await region.wait_until(
            lambda: "kill" in region.orders([affected]).get(affected.machine, []), 90.0
        )
        await region.wait_until(lambda: region.has_running(job, 3), 90.0)

    slow = recovery_settings(orders_per_s=0.1)
    simulate_recovery(scenario, slow, expected=is_unplanned_task_violation)


def test_a_planned_task_is_not_started_while_another_attempt_runs() -> None:
    """The stored plan is older than the task's move to another machine, where the task runs."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        machines = region.nodes["node-0"].cluster.machines
        planned_worker = next(w for w in region.workers.values() if w.tasks)
        running_worker = next(
            worker
            for worker in region.workers.values()
            if worker is not planned_worker
            and machines[worker.machine].shard == machines[planned_worker.machine].shard
        )
        (job, index), task = next(iter(planned_worker.tasks.items()))
        await region.kill_all()
        del planned_worker.tasks[job, index]
        add_unplanned_task(running_worker, job, index, task.attempt + 1)
        await curio.sleep(1.0)
        await region.start_all()
        await region.wait_until(lambda: (job, index) in planned_worker.tasks, 120.0)
        assert (job, index) not in running_worker.tasks or running_worker.tasks[
            job, index
        ].state == "exited"

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


@pytest.mark.parametrize(
    "scenario",
    [
        test_a_task_missing_from_the_plan_is_not_placed_while_it_runs,
        test_a_planned_task_is_not_started_while_another_attempt_runs,
    ],
)
def test_a_second_start_of_an_unplanned_task_is_detected(
    scenario: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(UnresolvedDifferences, "is_running_unplanned", lambda self, key: False)
    with pytest.raises(AssertionError):
        scenario()


def test_an_unplanned_task_is_stopped_only_after_a_read_newer_than_its_heartbeat() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        affected = next(w for w in region.workers.values() if w.tasks)
        add_unplanned_task(affected, "wk-000001", 70, 9)
        shard = region.nodes["node-0"].cluster.machines[affected.machine].shard
        await region.restart_all(1.0)
        await region.wait_until(lambda: any(r.shard == shard for r in region.active_recoveries()))
        # the shard is ready, and from now on all reads fail
        for label in region.LABELS:
            region.refused_requests[label] = lambda method, path: path.startswith("/changes")
        await curio.sleep(2.5)
        assert region.orders([affected]) == {}
        region.reconnect()
        await region.wait_until(lambda: ("wk-000001", 70) not in affected.tasks)

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_a_stop_without_a_fresh_read_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        UnresolvedDifferences, "has_fresh_read", lambda self, difference, last_read_sent_at: True
    )
    with pytest.raises(AssertionError):
        test_an_unplanned_task_is_stopped_only_after_a_read_newer_than_its_heartbeat()
