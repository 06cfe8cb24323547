"""Restarts after the state service is restored from an older copy, or without its keys."""

from collections.abc import Callable

import curio
import pytest

from crossmill.cluster import keys
from crossmill.recovery import keys as recovery_keys
from crossmill.recovery.circuit_breaker import CircuitBreaker
from crossmill.recovery.records import StoredApproval, encode_approval
from crossmill.recovery.settings import RecoverySettings

from .recovery_region import (
    FEW_SERVICES,
    FEW_WORKERS,
    RateViolation,
    RecoveryRegion,
    is_unplanned_task_violation,
    rate_violations,
    recovery_settings,
    simulate_recovery,
)


async def _restore_older_state(region: RecoveryRegion, is_recorded_up: bool = True) -> None:
    """Restart all controllers with a state from before the running services were submitted.

    Unless `is_recorded_up`, no machine is up according to the restored state.
    """
    await region.begin_with_workers(FEW_WORKERS)
    await curio.sleep(12.0)
    copy = region.copy_state()
    await region.start_services(FEW_SERVICES)
    await curio.sleep(5.0)
    region.clear_orders()
    await region.kill_all()
    if not is_recorded_up:
        for name in copy:
            if name.startswith(keys.MACHINE):
                copy[name]["up"] = False
    await region.restore_state(copy)
    await curio.sleep(1.0)
    await region.start_all()


def test_machines_not_yet_recorded_as_up_are_protected_too() -> None:
    """A machine's `up` field has a low write priority, so under load it is stored late."""

    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region, is_recorded_up=False)
        running = sum(map(len, region.running_tasks().values()))
        await curio.sleep(40.0)
        # before the breaker opens, each shard may stop up to `brake_least` tasks
        assert region.recovery_settings is not None
        max_stopped = region.recovery_settings.brake_least * len(region.LABELS)
        assert sum(map(len, region.running_tasks().values())) >= running - max_stopped

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_nothing_is_stopped_after_a_state_restore_until_it_is_approved() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        running = region.running_tasks()
        await curio.sleep(60.0)
        assert region.stop_times(since=0.0) == []
        assert region.running_tasks() == running
        braked = (await region.overview())["braked"]
        assert braked
        assert all(report["stops"] > 0 for report in braked)
        assert await region.approve("node-1", [{**braked[0], "digest": "0" * 16}]) == [409]
        approved_at = region.clock.now()
        # any controller accepts an approval
        assert set(await region.approve("node-1", braked)) == {200}
        await region.wait_until(region.is_steady, 200.0)
        assert not any(worker.tasks for worker in region.workers.values())
        assert (await region.overview())["braked"] == []
        assert region.recovery_settings is not None
        settings = region.recovery_settings
        burst = settings.controller_count * settings.shard_burst
        stop_times = region.stop_times(since=approved_at)
        assert rate_violations(stop_times, settings.orders_per_s, burst) == []

    settings = recovery_settings(orders_per_s=1.5)
    simulate_recovery(scenario, settings, expected=is_unplanned_task_violation)


def test_a_missing_circuit_breaker_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CircuitBreaker, "is_open", property(lambda self: False))
    with pytest.raises(AssertionError):
        test_nothing_is_stopped_after_a_state_restore_until_it_is_approved()


def test_an_empty_state_service_leads_to_no_orders() -> None:
    """No machine has a record, and workers without a record must get no response (PROTOCOL)."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        await region.kill_all()
        await region.restore_state({})
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(30.0)
        assert region.orders() == {}
        assert not any(worker.tasks for worker in region.workers.values())

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_an_approval_is_void_for_the_next_owner() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        await curio.sleep(20.0)
        braked = (await region.overview())["braked"]
        shard = braked[0]["shard"]
        owner = region.owners()[shard]
        # the approval is stored, but the shard's owner stops before it reads the approval
        region.frozen_until[owner] = region.clock.now() + 2.0
        other = next(label for label in region.LABELS if label != owner)
        assert set(await region.approve(other, braked[:1])) == {200}
        await region.kill(owner)
        await curio.sleep(30.0)
        assert region.owners()[shard] != owner
        assert region.stop_times(since=0.0) == []
        assert shard in [report["shard"] for report in (await region.overview(other))["braked"]]

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


@pytest.mark.parametrize(("remaining_s", "is_accepted"), [(-1.0, False), (60.0, True)])
def test_an_approval_expires(remaining_s: float, is_accepted: bool) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        await curio.sleep(30.0)
        report = (await region.overview())["braked"][0]
        until = region.clock.wall_time() + remaining_s
        approval = StoredApproval(report["token"], report["digest"], until)
        region.state.put(recovery_keys.approval(report["shard"]), encode_approval(approval))
        await curio.sleep(20.0)
        assert bool(region.stop_times(since=0.0)) is is_accepted

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_a_resubmitted_job_is_not_started_while_its_unplanned_tasks_run() -> None:
    """The restored plan lacks running tasks, and the circuit breaker blocks their stops."""

    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        running = region.running_tasks()
        # users may submit a job again, since the restored state does not contain it
        for job, facts in list(region.checker.jobs.items()):
            spec = facts.spec
            fields = {k: v for k, v in spec.items() if k != "nameId"}
            await region.submit_until_accepted("node-0", job, facts.run_s, **fields)
        await curio.sleep(60.0)
        assert region.running_tasks() == running

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_a_cancellation_is_not_blocked_by_an_open_circuit_breaker() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        job, facts = next(iter(region.checker.jobs.items()))
        fields = {k: v for k, v in facts.spec.items() if k != "nameId"}
        await region.submit_until_accepted("node-0", job, None, **fields)
        await curio.sleep(20.0)
        assert region.workers_running(job)
        assert (await region.overview())["braked"]
        assert await region.cancel_until_confirmed("node-1", job, 30.0)
        await curio.sleep(region.cancellation_deadline_s + 1.0)
        assert not region.workers_running(job)

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def _stop_times_without_breaker(settings: RecoverySettings) -> list[float]:
    """Return the times of stops after a state restore, with settings that disable the breaker."""
    times: list[float] = []

    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        await region.wait_until(region.is_steady, 200.0)
        times.extend(region.stop_times(since=0.0))

    simulate_recovery(scenario, settings, expected=is_unplanned_task_violation)
    return times


def _region_rate_violations(times: list[float], settings: RecoverySettings) -> list[RateViolation]:
    burst = settings.controller_count * settings.shard_burst
    return rate_violations(times, settings.orders_per_s, burst)


def test_the_region_does_not_exceed_its_rate_limit() -> None:
    settings = recovery_settings(orders_per_s=0.6, brake_share=1.0, first_batch=64)
    times = _stop_times_without_breaker(settings)
    assert len(times) > FEW_SERVICES
    assert _region_rate_violations(times, settings) == []


@pytest.mark.parametrize(
    "faulty_shard_rate",
    [
        pytest.param(lambda settings: 1e6, id="no limit"),
        pytest.param(lambda settings: settings.orders_per_s, id="not divided by shards"),
    ],
)
def test_an_exceeded_rate_limit_is_detected(
    faulty_shard_rate: Callable[[RecoverySettings], float], monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = recovery_settings(orders_per_s=0.6, brake_share=1.0, first_batch=64)
    with monkeypatch.context() as patched:
        patched.setattr(RecoverySettings, "shard_orders_per_s", property(faulty_shard_rate))
        times = _stop_times_without_breaker(settings)
    assert len(times) > FEW_SERVICES
    assert _region_rate_violations(times, settings) != []
