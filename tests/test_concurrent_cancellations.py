"""Cancellations during faults in the simulated region."""

import curio
import pytest

from .fault_injection import (
    all_but_leases,
    every_request,
)
from .simulated_links import TransactionFault
from .simulated_region import Region, simulate


async def _cancel_in_outage_after_refusal(
    region: Region, refused: str, refuses: object, refusal_s: float
) -> None:
    """Cancel at another controller while the state service refuses one, then stop the service.

    The outage lasts longer than `cancel_s`, and the worker continues to send heartbeats to the
    refused controller.
    """
    await region.wait_until(lambda: len(region.workers_running("wk-000001")) > 0)
    refused_at = region.clock.now()
    if refuses == "flapping":
        region.refused_requests[refused] = (
            lambda m, p: (region.clock.now() - refused_at) % 1.0 < 0.8
        )
    else:
        region.refused_requests[refused] = refuses  # type: ignore[assignment]
    await curio.sleep(0.3)
    confirmed = await region.cancel_until_confirmed(
        "node-1", "wk-000001", max(0.1, refusal_s - 0.3)
    )
    await curio.sleep(max(0.0, refused_at + refusal_s - region.clock.now()))
    region.state.is_down = True
    await curio.sleep(4.0)
    region.refused_requests.clear()
    await curio.sleep(region.cancellation_deadline_s * 1.4)
    region.state.is_down = False
    await curio.sleep(10.0)
    assert confirmed, "the cancellation was not confirmed"
    assert not region.workers_running("wk-000001")


@pytest.mark.parametrize("refuses", [every_request, all_but_leases, "flapping"])
@pytest.mark.parametrize("refusal_s", [1.5, 8.0, 14.0, 36.0])
@pytest.mark.parametrize("peers", ["reachable", "unreachable"])
def test_a_cancellation_in_an_outage_after_a_refusal_of_one_controller(
    refuses: object, refusal_s: float, peers: str
) -> None:
    """A controller that is the only one refused still ends cancelled tasks by the deadline.

    It does not learn of cancellations that other controllers confirm. While it relied on its lease
    alone, it kept the tasks indefinitely if lease renewals succeeded and reads failed.
    """

    async def scenario(region: Region) -> None:
        # the zone's only controller would have to be notified, which would delay the cancellation
        await region.start_region(machines=2, zone="south" if peers == "unreachable" else "north")
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.wait_until(lambda: len(region.workers_running("wk-000001")) > 0)
        if peers == "unreachable":
            region.cut_from_peers.add("node-0")
        await _cancel_in_outage_after_refusal(region, "node-0", refuses, refusal_s)

    simulate(scenario)


def test_an_isolated_controller_ends_the_job_whose_cancellation_it_requested() -> None:
    """A zone's only controller requests a cancellation and never reads that it was written.

    Isolated together with its zone, it would otherwise keep the job's tasks alive for three leases.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.wait_until(lambda: len(region.workers_running("wk-000001")) > 0)
        await curio.sleep(4.0)
        region.can_reach = lambda worker, label: label == "node-0"

        def transaction_fault(label: str, method: str, path: str) -> TransactionFault | None:
            if (label, path) != ("node-0", "/txn"):
                return None
            region.isolate("node-0")
            return TransactionFault(0.0, True)

        region.transaction_fault = transaction_fault
        cancellation = await curio.spawn(region.cancel, "node-0", "wk-000001")
        await curio.sleep(2.0)
        await region.query_job("node-1", "wk-000001")
        assert region.checker.jobs["wk-000001"].cancelled is not None
        await curio.sleep(region.cancellation_deadline_s * 1.5)
        await cancellation.cancel()
        assert not region.workers_running("wk-000001")

    simulate(scenario)


@pytest.mark.parametrize("offset_s", [-0.3, -0.1, -0.02, 0.0, 0.02, 0.1, 0.4])
def test_a_cancellation_at_the_end_of_the_last_task_leaves_one_outcome(offset_s: float) -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=1)
        await region.submit("node-2", "wk-000001", run_s=5.0, sacks=1)
        await region.wait_until(lambda: bool(region.workers_running("wk-000001")))
        await curio.sleep(5.0 + offset_s)
        async with curio.TaskGroup() as group:
            await group.spawn(region.cancel, "node-1", "wk-000001")
            await group.spawn(region.query_job_everywhere, "wk-000001", 8)
            await group.spawn(region.submit, "node-2", "wk-000001", 5.0)
        await curio.sleep(4.0)
        await region.query_job_everywhere("wk-000001")
        facts = region.checker.jobs["wk-000001"]
        assert (facts.done is None) != (facts.cancelled is None)

    simulate(scenario)


def test_a_team_at_its_limit_waits_for_proof_that_cancelled_tasks_ended() -> None:
    """New tasks of a team at its limit wait until its cancelled tasks are proved to have ended.

    Machines of the team are frozen or unreachable, its jobs are cancelled, and the owner is killed.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=6)
        for n in range(4):
            await region.submit("node-1", f"wk-30000{n}", sacks=4)
        await region.wait_until(lambda: len(region.checker.starts) == 16, 30.0)
        busy_workers = [w for w in region.workers.values() if w.tasks]
        busy_workers[0].is_frozen = True
        busy_workers[1].inbound_lost = True
        busy_workers[2].heartbeats_lost = True
        for n in range(4):
            assert await region.cancel_until_confirmed("node-2", f"wk-30000{n}", 20.0)
        for n in range(4):
            await region.submit("node-2", f"wk-40000{n}", sacks=4)
        await region.kill("node-0")
        await curio.sleep(region.worker_lease_s * 0.6)
        busy_workers[0].is_frozen = busy_workers[1].inbound_lost = busy_workers[
            2
        ].heartbeats_lost = False
        await region.start("node-0")
        await region.wait_until(lambda: len(region.checker.starts) == 32, 90.0)

    simulate(scenario)


def test_jobs_are_cancelled_during_failovers() -> None:
    """One job is cancelled every quarter of a second while shards change owners."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=4)
        for n in range(12):
            await region.submit("node-1", f"wk-{500000 + n}", sacks=1)
        await region.wait_until(lambda: len(region.checker.starts) >= 12)
        await curio.sleep(region.worker_lease_s)
        changes = await curio.spawn(_restart_owners, region)
        for n in range(12):
            assert await region.cancel_until_confirmed("node-1", f"wk-{500000 + n}", 60.0)
            await curio.sleep(0.25)
        await changes.join()
        await curio.sleep(region.worker_lease_s * 2)
        assert not any(region.workers_running(job) for job in region.checker.jobs)

    simulate(scenario)


async def _restart_owners(region: Region) -> None:
    await region.restart("node-0", 1.0)
    await curio.sleep(1.0)
    await region.restart("node-2", 0.1)
    await curio.sleep(4.0)
    await region.restart("node-0", 8.0)


def test_an_isolated_leader_answers_nothing_stale_while_others_cancel() -> None:
    """The leader, reached by users and workers, sends nothing stale; tasks end by the deadline."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=2)
        await region.submit("node-1", "wk-000001", sacks=2)
        await region.wait_until(lambda: len(region.workers_running("wk-000001")) > 0)
        await curio.sleep(2.0)
        region.isolate("node-0")
        region.can_reach = lambda worker, label: label == "node-0"
        confirmed = await region.cancel_until_confirmed("node-1", "wk-000001", 60.0)
        assert confirmed
        await region.query_job_everywhere("wk-000001")
        await curio.sleep(region.cancellation_deadline_s * 1.2)
        region.reconnect()
        await curio.sleep(5.0)
        await region.query_job_everywhere("wk-000001")

    simulate(scenario)


def test_cancellations_during_slow_responses_a_refusal_and_an_outage() -> None:
    """Cancel and read jobs while the state service is slow, refuses a controller, and is down."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=3)
        for n in range(6):
            await region.submit("node-1", f"wk-{600000 + n}", sacks=1)
        await region.wait_until(lambda: len(region.checker.starts) >= 6)
        region.state_delay_s = 0.4
        cancels = await curio.spawn(_cancel_jobs, region)
        await curio.sleep(4.0)
        region.refused_requests[region.owners()[0]] = every_request
        await curio.sleep(1.0)
        region.state.is_down = True
        await curio.sleep(region.cancellation_deadline_s * 1.2)
        region.state.is_down = False
        region.state_delay_s = 0.0
        region.reconnect()
        await cancels.join()
        await curio.sleep(region.worker_lease_s * 2)
        for job in region.checker.jobs:
            await region.query_job_everywhere(job, 2)

    simulate(scenario)


async def _cancel_jobs(region: Region) -> None:
    for n in range(6):
        await region.cancel_until_confirmed(f"node-{n % 3}", f"wk-{600000 + n}", 70.0)
        await region.query_job_everywhere(f"wk-{600000 + n}", 3)
