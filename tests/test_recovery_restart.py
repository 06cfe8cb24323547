"""Restarts of all controllers while tasks run: healthy workers get no orders."""

from collections import Counter

import curio
import pytest

from crossmill.cluster import keys
from crossmill.wire.workers import WorkerHeartbeat
from crossmill.workers.views import HeartbeatVerdict, WorkerView

from .recovery_region import (
    FEW_WORKERS,
    RecoveryRegion,
    add_unplanned_task,
    disconnect,
    is_unplanned_task_violation,
    reconnect,
    recovery_settings,
    simulate_recovery,
)

# the region size for which the operators require a restart without orders
MANY_WORKERS = 100
MANY_SERVICES = 70


@pytest.mark.parametrize("start_interval_s", [0.0, 1.0])
def test_healthy_workers_get_no_orders_after_all_controllers_restart(
    start_interval_s: float,
) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load(MANY_WORKERS, MANY_SERVICES)
        running = region.running_tasks()
        assert sum(map(len, running.values())) > 2 * MANY_SERVICES
        await region.restart_all(2.0, start_interval_s)
        await region.wait_until(region.is_steady, 60.0)
        await curio.sleep(20.0)
        assert region.orders() == {}
        assert region.running_tasks() == running
        newest = (await region.overview())["records"][-3:]
        assert sum(record["classes"].get("healthy", 0) for record in newest) > 0

    simulate_recovery(scenario, recovery_settings())


def test_only_workers_with_differences_get_orders_after_a_restart() -> None:
    """Five workers are disconnected, one runs an unplanned task, and some jobs are cancelled."""

    async def scenario(region: RecoveryRegion) -> None:
        jobs = await region.begin_with_load(MANY_WORKERS, MANY_SERVICES)
        busy = [w for w in region.workers.values() if w.tasks]
        disconnected, affected = busy[:5], busy[5]
        cancelled = {key[0] for key in busy[6].tasks}
        healthy = [
            w
            for w in region.workers.values()
            if w is not affected
            and w not in disconnected
            and not cancelled & {key[0] for key in w.tasks}
        ]
        await region.kill_all()
        displaced = {
            job
            for worker in disconnected
            for job, _ in worker.tasks
            if job in jobs and job not in cancelled
        }
        disconnect(disconnected)
        unplanned = jobs[-1], 77, 9
        add_unplanned_task(affected, *unplanned)
        await curio.sleep(2.0)
        await region.start_all()
        for job in cancelled:
            assert await region.cancel_until_confirmed("node-0", job, 30.0)
        await region.wait_until(region.is_steady, 60.0)
        assert unplanned[:2] not in affected.tasks
        assert region.orders([affected]) == {affected.machine: ["kill", "reap"]}
        # the tasks of disconnected workers are placed again after the workers' leases have expired,
        # so healthy workers may get starts, but no stops
        await region.wait_until(lambda: all(region.has_running(job, 3) for job in displaced), 60.0)
        stops = [v for verbs in region.orders(healthy).values() for v in verbs if v != "start"]
        assert stops == []
        # from now on the scheduler may also drain machines that are mostly idle
        await curio.sleep(60.0)
        reconnect(disconnected)
        orders_before = region.orders(disconnected)
        await curio.sleep(60.0)
        # the workers stopped their tasks when their leases expired, so no orders are needed
        assert region.orders(disconnected) == orders_before == {}

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_starts_in_progress_at_a_failover_do_not_wait_for_batches() -> None:
    """Each machine lacks a planned task whose start was not sent before the failover."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        await region.kill_all()
        missing = {w.machine: next(iter(w.tasks)) for w in region.workers.values() if w.tasks}
        for machine, key in missing.items():
            del region.workers[machine].tasks[key]
        await curio.sleep(1.0)
        await region.start_all()
        await region.wait_until(lambda: len(region.active_recoveries()) > 0, 20.0)
        started = [key in region.workers[machine].tasks for machine, key in missing.items()]
        assert not all(started)
        await region.wait_until(
            lambda: all(key in region.workers[m].tasks for m, key in missing.items()), 3.5
        )

    simulate_recovery(scenario, recovery_settings(brake_share=1.0))


def test_many_machines_are_released_only_with_an_approval() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        disconnected = list(region.workers.values())[: FEW_WORKERS // 2]
        await region.kill_all()
        disconnect(disconnected)
        await curio.sleep(1.0)
        await region.start_all()

        def released() -> int:
            machines = [region.state.keys[keys.machine(w.machine)][0] for w in disconnected]
            return sum(machine["retiring"] == "silent" for machine in machines)

        await curio.sleep(120.0)
        # one release in each shard is not a mass action
        assert released() <= len(region.LABELS)
        braked = (await region.overview())["braked"]
        assert braked
        assert all(report["releases"] > 1 for report in braked)
        assert set(await region.approve("node-2", braked)) == {200}
        await region.wait_until(lambda: released() == len(disconnected), 60.0)

    simulate_recovery(scenario, recovery_settings(brake_least=1, brake_share=0.0))


def test_the_number_of_records_is_limited() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        for _ in range(4):
            await region.restart_all(1.0)
            await region.wait_until(region.is_steady, 60.0)
            await curio.sleep(1.0)
        records = (await region.overview())["records"]
        by_shard = Counter(record["shard"] for record in records)
        assert by_shard == dict.fromkeys(range(3), 2)
        newest_tokens = {
            shard: region.state.keys[keys.shard(shard)][0]["token"]
            for shard in range(len(region.LABELS))
        }
        assert {r["shard"]: r["token"] for r in records} == newest_tokens

    simulate_recovery(scenario, recovery_settings(kept_records=2))


def test_a_controller_without_recovery_among_others_sends_no_orders() -> None:
    """One controller runs the previous version, or was started without the recovery file."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        running = region.running_tasks()
        await region.kill_all()
        await curio.sleep(1.0)
        settings, region.recovery_settings = region.recovery_settings, None
        await region.start("node-1")
        region.recovery_settings = settings
        region.services.pop("node-1")
        await region.start_all()
        await curio.sleep(40.0)
        assert region.orders() == {}
        assert region.running_tasks() == running

    simulate_recovery(scenario, recovery_settings())


def _is_each_shard_served(region: RecoveryRegion) -> bool:
    owners = region.owners()
    return len(owners) == len(region.LABELS) and all(
        region.nodes[label].membership.active_ownership(shard) for shard, label in owners.items()
    )


def _deliver_old_heartbeats_first() -> None:
    """Deliver heartbeats from before the restart to the new owners before the current ones."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        busy = [w for w in region.workers.values() if w.tasks]
        old = [worker.sent_heartbeats[0] for worker in busy]
        assert all(b'"sacks":[]' in heartbeat for heartbeat in old)
        await region.restart_all(1.0)
        for worker in busy:
            worker.heartbeats_lost = True
        await region.wait_until(lambda: _is_each_shard_served(region))
        for heartbeat in old:
            for label in region.LABELS:
                region.deliver_worker_heartbeat(heartbeat, label)
        for worker in busy:
            worker.heartbeats_lost = False
        await region.wait_until(region.is_steady, 60.0)
        newest = (await region.overview())["records"][-3:]
        classes = [record["classes"] for record in newest]
        assert sum(c.get("healthy", 0) for c in classes) > 0
        assert sum(c.get("absent", 0) for c in classes) == 0
        assert region.orders() == {}

    simulate_recovery(scenario, recovery_settings())


def test_a_heartbeat_from_before_the_restart_is_not_accepted_as_new() -> None:
    _deliver_old_heartbeats_first()


def test_an_accepted_heartbeat_from_before_the_restart_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def accept_any(
        view: WorkerView, report: WorkerHeartbeat, token: int, now: float
    ) -> HeartbeatVerdict:
        view.last_heartbeat_number, view.last_heartbeat_at = (report.session, report.seq), now
        view.apply_status(report._replace(token=token), token, now)
        return HeartbeatVerdict.ACCEPTED

    monkeypatch.setattr(WorkerView, "apply_heartbeat", accept_any)
    with pytest.raises(AssertionError):
        _deliver_old_heartbeats_first()
