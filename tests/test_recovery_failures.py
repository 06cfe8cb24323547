"""Further failures of controllers, the state service or a zone during a recovery."""

from collections.abc import Callable

import curio
import pytest

from crossmill.recovery.phases import RecoveryPhase

from .recovery_region import (
    RecoveryRegion,
    add_unplanned_task,
    disconnect,
    is_unplanned_task_violation,
    reconnect,
    recovery_settings,
    simulate_recovery,
)


@pytest.mark.parametrize("phase", list(RecoveryPhase))
def test_healthy_workers_get_no_orders_after_a_second_restart_in_each_phase(
    phase: RecoveryPhase,
) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        affected = [w for w in region.workers.values() if w.tasks][:4]
        for worker in affected:
            add_unplanned_task(worker, "wk-000001", 70 + worker.number, 9)
        others = [w for w in region.workers.values() if w not in affected]
        await region.kill_all()
        await curio.sleep(1.0)
        seen: set[RecoveryPhase] = set()
        await region.start_all()

        def is_reached() -> bool:
            seen.update(recovery.phase for recovery in region.active_recoveries())
            if phase is RecoveryPhase.STEADY:
                return region.is_steady()
            return phase in seen or region.is_steady()

        await region.wait_until(is_reached, 60.0)
        await region.restart_all(1.0)
        await region.wait_until(region.is_steady, 90.0)
        await curio.sleep(10.0)
        assert region.orders(others) == {}
        assert all(index < 70 for worker in affected for _, index in worker.tasks)

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def _make_unavailable(region: RecoveryRegion) -> None:
    region.state.is_down = True


def _make_slow(region: RecoveryRegion) -> None:
    region.state_delay_s = 0.7


def _make_read_only(region: RecoveryRegion) -> None:
    for label in region.LABELS:
        region.refused_requests[label] = lambda method, path: path == "/txn"


def _repair(region: RecoveryRegion) -> None:
    region.state.is_down = False
    region.state_delay_s = 0.0
    region.reconnect()


@pytest.mark.parametrize("fault", [_make_unavailable, _make_slow, _make_read_only])
def test_a_state_service_fault_during_the_restart_leads_to_no_orders(
    fault: Callable[[RecoveryRegion], None],
) -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        running = region.running_tasks()
        await region.kill_all()
        fault(region)
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(1.5)
        _repair(region)
        await region.wait_until(region.is_steady, 90.0)
        await curio.sleep(10.0)
        assert region.orders() == {}
        assert region.running_tasks() == running

    simulate_recovery(scenario, recovery_settings())


def test_a_zone_partitioned_during_the_restart_does_not_affect_the_other() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        south = [w for w in region.workers.values() if w.zone == "south"]
        north = [w for w in region.workers.values() if w.zone == "north"]
        await region.kill_all()
        disconnect(south)
        await curio.sleep(1.0)
        await region.start_all()
        await curio.sleep(60.0)
        reconnect(south)
        await region.wait_until(region.is_steady, 120.0)
        await curio.sleep(30.0)
        # the tasks in the south ended when their workers' leases expired, and may then be placed in
        # the north
        other_verbs = [v for verbs in region.orders(north).values() for v in verbs if v != "start"]
        assert other_verbs == []

    simulate_recovery(scenario, recovery_settings())


def test_a_controller_frozen_before_it_sends_orders_stops_only_unplanned_tasks() -> None:
    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        affected = next(w for w in region.workers.values() if w.tasks)
        add_unplanned_task(affected, "wk-000001", 70, 9)
        others = [w for w in region.workers.values() if w is not affected]
        await region.restart_all(1.0)
        await region.wait_until(
            lambda: any(r.phase is RecoveryPhase.RESOLVING for r in region.active_recoveries())
        )
        frozen = next(
            label
            for label, service in region.services.items()
            if any(r.phase is RecoveryPhase.RESOLVING for r in service.active_recoveries())
        )
        region.frozen_until[frozen] = region.clock.now() + 8.0
        await curio.sleep(12.0)
        await region.wait_until(region.is_steady, 90.0)
        await curio.sleep(10.0)
        assert region.orders(others) == {}
        assert ("wk-000001", 70) not in affected.tasks
        assert all(w.session == 1 for w in region.workers.values())

    simulate_recovery(scenario, recovery_settings(), expected=is_unplanned_task_violation)


def test_a_controller_with_an_outdated_view_stops_nothing_that_another_planned() -> None:
    """A controller that receives no changes acquires a shard with an outdated view of the plans."""

    async def scenario(region: RecoveryRegion) -> None:
        await region.begin_with_load()
        region.refused_requests["node-1"] = lambda method, path: path.startswith("/changes")
        for number in range(6):
            job = f"wk-{800000 + number}"
            assert await region.submit("node-0", job, None, crew="blue", sacks=1) in (201, 503)
        await curio.sleep(5.0)
        region.clear_orders()
        running = region.running_tasks()
        await region.kill("node-0")
        await region.kill("node-2")
        await curio.sleep(6.0)
        region.reconnect()
        await region.start_all()
        await region.wait_until(region.is_steady, 90.0)
        await curio.sleep(10.0)
        other_verbs = [v for verbs in region.orders().values() for v in verbs if v != "start"]
        assert other_verbs == []
        for machine, tasks in running.items():
            assert tasks.items() <= region.workers[machine].tasks.items()

    simulate_recovery(scenario, recovery_settings())
