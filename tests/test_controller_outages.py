"""Incidents that operators reported, reproduced in a simulated region.

Controllers freeze and resume, all but one controller are down for a minute, machines come up late
or never, jobs fail on every machine, and many small jobs arrive at the same time.
"""

import random
from collections.abc import Awaitable, Callable

import curio
import pytest

from crossmill.cluster.cluster_state import ClusterState
from crossmill.cluster.controller_lease import ControllerLease
from crossmill.cluster.model import Job, PlannedAttempt
from crossmill.jobs.failures import TaskFailures
from crossmill.planning.demand import MachineRequest
from crossmill.state.mirror import Mirror
from crossmill.workers.attempt_outcomes import AttemptOutcome, EndReason

from .builders import make_settings, make_spec
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .fault_injection import cancel_services_and_wait
from .simulated_region import Region, simulate
from .simulated_worker import Worker
from .stepped_controller import SteppedController, add_machine, run_scenario, seed


async def _start_workers(region: Region, machines: int = 9) -> None:
    await region.start_region(machines=0)
    for number in range(machines):
        await region.add_worker(f"n-{number}", ("north", "south")[number % 2], number % 3)
    await curio.sleep(12.0)


def _freeze_scenario(freeze_s: float, delay_s: float) -> Callable[[Region], Awaitable[None]]:
    """Return a scenario in which an owner freezes while its jobs are cancelled through another."""

    async def scenario(region: Region) -> None:
        await _start_workers(region)
        jobs = [f"wk-{n:06d}" for n in range(9)]
        for n, job in enumerate(jobs):
            crew = ("red", "blue", "green")[n % 3]
            label = region.LABELS[n % 3]
            assert await region.submit(label, job, None, crew=crew, sacks=2) == 201
        await region.wait_until(lambda: all(region.workers_running(job) for job in jobs))
        await curio.sleep(delay_s)
        frozen = region.nodes["node-1"]
        owned_shards = set(frozen.membership.ownerships)
        region.frozen_until["node-1"] = region.clock.now() + freeze_s
        for job in jobs[:5]:
            assert await region.cancel_until_confirmed("node-2", job, 20.0)
        # just before it resumes, the frozen controller must consider its authority expired by its
        # clock alone, because it has received no notification
        left_s = region.frozen_until["node-1"] - region.clock.now()
        await curio.sleep(max(0.0, left_s - 0.001))
        if region.is_frozen("node-1"):
            assert all(frozen.membership.active_ownership(shard) is None for shard in owned_shards)
            assert all(
                frozen.membership.heartbeat_authority(shard) is None for shard in owned_shards
            )
            assert frozen.membership.leadership_version() is None
        for n, job in enumerate(f"wk-{n:06d}" for n in range(20, 26)):
            crew = ("red", "blue", "green")[n % 3]
            await region.submit("node-2", job, 5.0, crew=crew, sacks=2)
        await curio.sleep(40.0)
        assert not any(region.workers_running(job) for job in jobs[:5])
        assert all(region.workers_running(job) for job in jobs[5:])

    return scenario


@pytest.mark.parametrize("freeze_s", [5.0, 9.0, 25.0])
@pytest.mark.parametrize("delay_s", [0.0, 0.37, 0.81])
def test_a_controller_acts_on_nothing_stale_after_a_freeze(freeze_s: float, delay_s: float) -> None:
    simulate(_freeze_scenario(freeze_s, delay_s))


def test_the_freeze_scenario_detects_a_lease_that_never_expires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ControllerLease, "is_held", lambda self: self.lease_id is not None)
    with pytest.raises(AssertionError):
        simulate(_freeze_scenario(25.0, 0.0))


@pytest.mark.parametrize("alone", ["node-0", "node-1", "node-2"])
def test_one_controller_serves_alone_for_more_than_a_minute(alone: str) -> None:
    async def scenario(region: Region) -> None:
        await _start_workers(region)
        others = [label for label in region.LABELS if label != alone]
        assert await region.submit(others[0], "wk-000001", None, crew="blue", sacks=3) == 201
        await region.wait_until(lambda: bool(region.workers_running("wk-000001")))
        for label in others:
            await region.power_off(label)
        await curio.sleep(15.0)
        # the only controller runs, finishes and cancels jobs
        assert await region.submit(alone, "wk-000002", 10.0, crew="green", sacks=4) == 201
        assert await region.submit(alone, "wk-000003", None, crew="green", sacks=1) == 201
        await region.wait_until(lambda: region.has_finished("wk-000002", 4))
        assert await region.cancel_until_confirmed(alone, "wk-000003", 10.0)
        await curio.sleep(40.0)
        for label in others:
            await region.power_on(label)
        await curio.sleep(40.0)
        assert region.workers_running("wk-000001")
        assert not region.workers_running("wk-000003")
        assert region.owners() == {0: "node-0", 1: "node-1", 2: "node-2"}

    simulate(scenario)


def test_simultaneous_status_requests_share_reads() -> None:
    """Simultaneous status requests share one read of the state service.

    While eight status requests per second arrive for each of fifty jobs, the controller responds
    to workers and starts new tasks.
    """

    async def scenario(region: Region) -> None:
        await _start_workers(region)
        jobs = [f"wk-{n:06d}" for n in range(50)]
        small = {"crew": "blue", "cards": 0.0, "cpus": 0.25, "ramGb": 0.5}
        for job in jobs:
            assert await region.submit("node-0", job, None, sacks=1, **small) == 201
        await region.wait_until(lambda: all(region.workers_running(job) for job in jobs))
        for label in ("node-1", "node-2"):
            await region.power_off(label)
        await curio.sleep(20.0)
        reads = len(region.state.received_requests)
        for _ in range(8 * 10):
            async with curio.TaskGroup() as group:
                for job in jobs:
                    await group.spawn(region.query_job, "node-0", job)
            await curio.sleep(0.125)
        # 4,000 status requests; one read serves all requests that arrived before it
        assert len(region.state.received_requests) - reads < 1000
        assert await region.submit("node-0", "wk-000100", 5.0, sacks=2, **small) == 201
        await region.wait_until(lambda: region.has_finished("wk-000100", 2), 20.0)
        assert all(region.workers_running(job) for job in jobs)

    simulate(scenario)


def test_machines_that_never_come_up_are_replaced() -> None:
    async def scenario(region: Region) -> None:
        await region.start_region(machines=0)
        await region.run_provisioners()
        region.can_boot = lambda machine: int(machine[2:]) >= 2
        assert await region.submit("node-0", "wk-000001", 10.0, crew="blue", sacks=8) == 201
        await region.wait_until(lambda: region.has_finished("wk-000001", 8), 400.0)
        await region.wait_until(
            lambda: {"n-000000", "n-000001"} <= set(region.cloud.released), 400.0
        )

    simulate(scenario)


def _fail_running_tasks(worker: Worker, jobs: set[str]) -> None:
    for (job, _), task in worker.tasks.items():
        if job in jobs and task.state == "running":
            task.state, task.cause = "exited", "error"


def test_failing_jobs_are_cancelled_while_they_are_retried() -> None:
    async def scenario(region: Region) -> None:
        await _start_workers(region)
        broken = {f"wk-{n:06d}" for n in range(6)}

        async def fail() -> None:
            while True:
                for worker in region.workers.values():
                    _fail_running_tasks(worker, broken)
                await curio.sleep(0.1)

        await curio.spawn(fail, daemon=True)
        for n, job in enumerate(sorted(broken)):
            crew = ("red", "blue", "green")[n % 3]
            label = region.LABELS[n % 3]
            assert await region.submit(label, job, 300.0, crew=crew, sacks=6) == 201
        await curio.sleep(30.0)
        assert await region.submit("node-0", "wk-000100", 10.0, crew="blue", sacks=12) == 201
        await region.kill("node-1")
        for job in sorted(broken):
            assert await region.cancel_until_confirmed("node-2", job, 20.0)
        await region.start("node-1")
        # other jobs are not delayed
        await region.wait_until(lambda: region.has_finished("wk-000100", 12), 90.0)
        await curio.sleep(region.cancellation_deadline_s)
        assert not any(job in broken for w in region.workers.values() for job, _ in w.tasks)

    simulate(scenario)


def test_jobs_that_fail_on_three_machines_make_none_of_them_faulty() -> None:
    """Until the jobs also fail on other machines, the first machine counts as faulty."""
    settings, clock = make_settings(), FakeClock()
    cluster = ClusterState(Mirror(), settings)
    failures = TaskFailures(settings, clock, cluster)
    jobs = [Job(f"wk-{n:06d}", spec=make_spec(nameId=f"wk-{n:06d}")) for n in range(2)]
    cluster.jobs.update((job.id, job) for job in jobs)

    def fail(machine: str) -> None:
        for job in jobs:
            failures.record(
                job, AttemptOutcome(PlannedAttempt(job.id, 0, 1, machine, 1), EndReason.ERROR, 1)
            )

    fail("n-0")
    assert failures.is_faulty("n-0")
    fail("n-1")
    fail("n-2")
    assert not any(failures.is_faulty(f"n-{number}") for number in range(3))


def test_idle_batch_work_finishes_during_failovers() -> None:
    async def scenario(region: Region) -> None:
        await _start_workers(region)
        await region.run_provisioners()
        small = {"crew": "green", "precedence": "idle", "cards": 0.0, "cpus": 0.25, "ramGb": 0.5}
        assert await region.submit("node-0", "wk-100000", 3.0, sacks=600, **small) == 201
        assert await region.submit("node-1", "wk-100001", 40.0, sacks=60, **small) == 201
        for n in range(40):
            assert await region.submit("node-2", f"wk-{200000 + n}", 8.0, sacks=1, **small) == 201
        assert await region.submit("node-0", "wk-000001", None, crew="blue", sacks=4) == 201
        for label in ("node-2", "node-0", "node-1"):
            await curio.sleep(8.0)
            await region.restart(label, 4.0)
        await region.wait_until(lambda: region.has_finished("wk-100000", 600), 300.0)
        assert len(region.workers_running("wk-000001")) > 0
        await cancel_services_and_wait(region)

    simulate(scenario)


@pytest.mark.parametrize("step", ["rent", "release"])
@pytest.mark.parametrize("is_frozen", [False, True])
def test_a_leader_neither_rents_nor_releases_after_a_freeze(step: str, is_frozen: bool) -> None:
    """Guards against requests to the cloud by a leader that froze after checking its leadership."""

    async def scenario(
        state: StateService, clock: FakeClock, nodes: dict[str, SteppedController]
    ) -> None:
        seed(state, clock, machines=1)
        add_machine(state, clock, "n-9", retiring="idle")
        node = SteppedController(state, clock, nodes)
        await node.boot()
        leader = node.provisioner
        machine_request = MachineRequest(node.forecast.capacity.sources()[0], 2)
        leader._cloud._token_bucket.drain()
        operation = leader.rent(0, machine_request) if step == "rent" else leader.scale_in()
        task = await curio.spawn(operation, daemon=True)
        await curio.sleep(0.05)
        clock.time += 25.0 if is_frozen else 0.5
        await curio.sleep(0.5)
        await task.cancel()
        assert bool(node.cloud.machines_by_request or node.cloud.released) is not is_frozen

    run_scenario(scenario)


def _has_correct_view(region: Region, worker: Worker) -> bool:
    """Return whether some controller acts for the worker and has a correct view of its tasks."""
    for node in region.nodes.values():
        machine = node.cluster.machines.get(worker.machine)
        if machine is None or node.membership.active_ownership(machine.shard) is None:
            continue
        view = node.heartbeats.find_view(worker.machine)
        if view is not None and view.has_confirmed_token and set(view.tasks) == set(worker.tasks):
            return True
    return False


@pytest.mark.parametrize("seed_number", range(900, 908))
def test_views_agree_soon_after_random_freezes(seed_number: int) -> None:
    """After random freezes some controller soon has a correct view of each worker.

    The controllers freeze at any await of their loops, while jobs arrive, end and are cancelled.
    """
    rng = random.Random(seed_number)

    async def scenario(region: Region) -> None:
        await _start_workers(region, machines=12)
        services = [f"wk-{n:06d}" for n in range(9)]
        for n, job in enumerate(services):
            crew = ("red", "blue", "green")[n % 3]
            assert await region.submit("node-0", job, None, crew=crew, sacks=2) == 201
        await region.wait_until(lambda: all(region.workers_running(job) for job in services))
        for freeze in range(3):
            label = rng.choice(region.LABELS)
            freeze_s = rng.uniform(5.0, 25.0)
            traffic = await curio.spawn(_submit_arrays, region, label, freeze, daemon=True)
            await curio.sleep(rng.uniform(0.0, 3.0))
            region.frozen_until[label] = region.clock.now() + freeze_s
            others = [other for other in region.LABELS if other != label]
            assert await region.cancel_until_confirmed(rng.choice(others), services[freeze], 20.0)
            await curio.sleep(max(0.0, region.frozen_until[label] - region.clock.now()))
            await traffic.join()
            # all shards return to their preferred owners within two worker leases; afterwards no
            # owner's view may be outdated
            await curio.sleep(2 * region.worker_lease_s)
            await region.wait_until(
                lambda: all(
                    _has_correct_view(region, worker) for worker in region.workers.values()
                ),
                2 * region.heartbeat_interval_s,
            )
        assert not any(region.workers_running(job) for job in services[:3])
        assert all(len(region.workers_running(job)) > 0 for job in services[3:])

    simulate(scenario)


async def _submit_arrays(region: Region, frozen: str, number: int) -> None:
    """Submit short arrays through the running controllers until well after the freeze begins."""
    labels = [label for label in region.LABELS if label != frozen]
    for n in range(8):
        job = f"wk-{1000 * (number + 1) + n:06d}"
        crew = ("red", "blue", "green")[n % 3]
        await region.submit(labels[n % 2], job, 2.0, crew=crew, sacks=2)
        await curio.sleep(1.0)
