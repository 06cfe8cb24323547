"""The state service is restored from an older copy, or comes back empty."""

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
    is_unplanned,
    rate_violations,
    recovery_settings,
    simulate_recovery,
)


async def _restore_older_state(region: RecoveryRegion, is_recorded_up: bool = True) -> None:
    """Restarts all controllers with a state from before the running services were submitted.

    Unless `is_recorded_up`, the restored state says of no machine that it is up.
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
    """That a machine is up is written with low priority, so under load it is recorded late."""

    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region, is_recorded_up=False)
        running = sum(map(len, region.running_tasks().values()))
        await curio.sleep(40.0)
        # before the breaker trips, each shard may stop as many as are never a mass action
        assert region.recovery is not None
        least = region.recovery.brake_least * len(region.LABELS)
        assert sum(map(len, region.running_tasks().values())) >= running - least

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


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
        assert region.recovery is not None
        settings = region.recovery
        burst = settings.nodes * settings.shard_burst
        stop_times = region.stop_times(since=approved_at)
        assert rate_violations(stop_times, settings.orders_per_s, burst) == []

    settings = recovery_settings(orders_per_s=1.5)
    simulate_recovery(scenario, settings, expected=is_unplanned)


def test_a_missing_circuit_breaker_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(CircuitBreaker, "is_open", property(lambda self: False))
    with pytest.raises(AssertionError):
        test_nothing_is_stopped_after_a_state_restore_until_it_is_approved()


def test_an_empty_state_service_leads_to_no_orders() -> None:
    """No machine has a record, and a worker without one may not be answered (PROTOCOL)."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_busy()
        await region.kill_all()
        await region.restore_state({})
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(30.0)
        assert region.orders() == {}
        assert not any(worker.tasks for worker in region.workers.values())

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_an_approval_is_void_for_the_next_owner() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        await curio.sleep(20.0)
        braked = (await region.overview())["braked"]
        shard = braked[0]["shard"]
        owner = region.owners()[shard]
        # the approval is stored, but its owner ends before it reads it
        region.frozen_until[owner] = region.clock.now() + 2.0
        other = next(label for label in region.LABELS if label != owner)
        assert set(await region.approve(other, braked[:1])) == {200}
        await region.kill(owner)
        await curio.sleep(30.0)
        assert region.owners()[shard] != owner
        assert region.stop_times(since=0.0) == []
        assert shard in [report["shard"] for report in (await region.overview(other))["braked"]]

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


@pytest.mark.parametrize(("left_s", "is_honoured"), [(-1.0, False), (60.0, True)])
def test_an_approval_expires(left_s: float, is_honoured: bool) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        await curio.sleep(30.0)
        report = (await region.overview())["braked"][0]
        until = region.clock.wall_time() + left_s
        approval = StoredApproval(report["token"], report["digest"], until)
        region.state.put(recovery_keys.approval(report["shard"]), encode_approval(approval))
        await curio.sleep(20.0)
        assert bool(region.stop_times(since=0.0)) is is_honoured

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_a_resubmitted_job_is_not_started_while_its_unplanned_tasks_run() -> None:
    """The restored plan lacks tasks that run, and the circuit breaker holds back their stops."""

    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        running = region.running_tasks()
        # users may submit a job again; the restored state does not know it
        for job, facts in list(region.checker.jobs.items()):
            spec = facts.spec
            fields = {k: v for k, v in spec.items() if k != "nameId"}
            await region.submit_until_accepted("node-0", job, facts.run_s, **fields)
        await curio.sleep(60.0)
        assert region.running_tasks() == running

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def test_a_cancellation_passes_an_open_circuit_breaker() -> None:
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

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned)


def _stop_times_without_breaker(settings: RecoverySettings) -> list[float]:
    """Returns when tasks were stopped after a state restore; the settings disable the breaker."""
    times: list[float] = []

    async def scenario(region: RecoveryRegion) -> None:
        await _restore_older_state(region)
        await region.wait_until(region.is_steady, 200.0)
        times.extend(region.stop_times(since=0.0))

    simulate_recovery(scenario, settings, expected=is_unplanned)
    return times


def _region_rate_violations(times: list[float], settings: RecoverySettings) -> list[RateViolation]:
    burst = settings.nodes * settings.shard_burst
    return rate_violations(times, settings.orders_per_s, burst)


def test_the_region_keeps_to_its_rate_limit() -> None:
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
