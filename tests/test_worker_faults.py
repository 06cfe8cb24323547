"""Workers that hang, and messages of workers that are lost, delayed or repeated."""

import curio
import pytest

from .fault_injection import (
    cancel_services_and_wait,
    wait_until_all_ended,
)
from .simulated_links import TransactionFault
from .simulated_region import Region, simulate


def test_repeated_old_heartbeats_during_a_failover_are_harmless() -> None:
    """Copies of heartbeats, some from an earlier session, arrive with the highest token seen."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.submit("node-1", "wk-000002", run_s=4.0, sacks=2)
        await region.wait_until(lambda: len(region.checker.jobs["wk-000002"].finished) == 2)
        worker = region.workers["n-0"]
        worker.is_frozen = True
        await curio.sleep(region.worker_lease_s * 1.2)
        worker.is_frozen = False
        await curio.sleep(4.0)
        old = [body for w in region.workers.values() for body in w.sent_heartbeats]
        await region.kill("node-0")
        for _ in range(60):
            await curio.sleep(0.25)
            for label in list(region.nodes):
                for body in old[::3]:
                    region.deliver_worker_heartbeat(body, label)
        await region.wait_until(lambda: len(region.workers_running("wk-000001")) > 0, 40.0)
        await cancel_services_and_wait(region)

    simulate(scenario)


@pytest.mark.parametrize("fault", ["inbound_lost", "heartbeats_lost", "is_frozen"])
def test_jobs_move_away_from_a_worker_with_lost_messages(fault: str) -> None:
    """Jobs that another machine can run do not wait for a faulty machine.

    Tasks on the faulty machine whose job is cancelled during the fault end by the deadline.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        await region.submit("node-1", "wk-000001", sacks=4, cards=1.0)
        await region.wait_until(lambda: len(region.checker.starts) == 4)
        faulty = region.workers["n-0"]
        setattr(faulty, fault, True)
        assert await region.cancel_until_confirmed("node-2", "wk-000001", 10.0)
        await region.submit("node-2", "wk-000002", run_s=4.0, sacks=6)
        await region.kill("node-0")
        await region.wait_until(
            lambda: len(region.checker.jobs["wk-000002"].finished) == 6, 4 * region.worker_lease_s
        )
        setattr(faulty, fault, False)
        await region.start("node-0")
        await wait_until_all_ended(region)

    simulate(scenario)


@pytest.mark.parametrize("hang_s", [2.0, 6.0, 12.0])
@pytest.mark.parametrize("cancelled", [False, True])
def test_a_delayed_start_command_is_harmless_after_the_machine_resumes(
    hang_s: float, cancelled: bool
) -> None:
    """A frozen machine executes a start command when it resumes.

    By then, the job has been cancelled, its owner has been replaced, or the attempt has ended.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        await curio.sleep(4.0)
        for worker in region.workers.values():
            worker.is_frozen = True
        await region.submit("node-1", "wk-000001", run_s=4.0, sacks=2)
        await region.wait_until(
            lambda: any(w.delayed_commands for w in region.workers.values()), 5.0
        )
        await curio.sleep(hang_s / 2)
        if cancelled:
            assert await region.cancel_until_confirmed("node-2", "wk-000001", 5.0)
        else:
            await region.restart("node-0", 0.2)
        await curio.sleep(hang_s / 2)
        for worker in region.workers.values():
            worker.is_frozen = False
        await wait_until_all_ended(region)
        await curio.sleep(5.0)
        assert not region.workers_running("wk-000001")

    simulate(scenario)


@pytest.mark.parametrize("mode", ["cancel", "response lost"])
def test_a_zone_partition_that_outlasts_the_worker_lease(mode: str) -> None:
    """The jobs bound to the partitioned zone also lose machines during the partition."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=3)
        for n in range(2):
            await region.add_worker(f"s-{n}", "south")
        await region.submit("node-1", "wk-000001", sacks=2, yard="north")
        await region.submit("node-1", "wk-000002", run_s=20.0, sacks=4, yard="north")
        await region.submit("node-1", "wk-000003", run_s=20.0, sacks=2, yard="south")
        await region.wait_until(lambda: len(region.checker.starts) == 8)
        await curio.sleep(4.0)
        south = ("node-1", "node-2")
        region.can_reach = lambda worker, label: (
            label in region.nodes and (label in south) == (worker.zone == "south")
        )
        if mode == "response lost":
            region.transaction_fault = (
                lambda label, method, path: TransactionFault(0.5, True) if path == "/txn" else None
            )
        region.isolate("node-0")
        region.workers["n-2"].is_frozen = True
        cancellation = await curio.spawn(
            region.cancel_until_confirmed, "node-1", "wk-000001", 120.0
        )
        await curio.sleep(3.0)
        region.transaction_fault = lambda *_: None
        await curio.sleep(region.worker_lease_s * 2.2)
        region.reconnect()
        region.can_reach = lambda worker, label: label in region.nodes
        region.workers["n-2"].is_frozen = False
        assert await cancellation.join()
        await wait_until_all_ended(region, 120.0)

    simulate(scenario)
