"""Tasks that fail: what is excluded ends, and neither a machine nor a job at fault stops others."""

import curio

from crossmill.cluster import keys

from .simulated_region import Region, simulate
from .simulated_worker import Worker

# "no job is left waiting for 90 s while a machine that fits has room" (the operators' pages)
MAX_WAIT_S = 90.0
SERVICE, GOOD_JOB = "wk-000001", "wk-000100"
BAD_JOBS = ("wk-000002", "wk-000003")


def _fail_jobs(region: Region, jobs: tuple[str, ...], after_s: float = 1.0) -> None:
    """Let the tasks of these jobs fail on every machine, as jobs submitted with a mistake do."""
    region.fails_after_s = lambda worker, job, index: after_s if job in jobs else None


def _fail_machine(region: Region, machine: str, after_s: float = 1.0) -> None:
    """Let every task but the service's fail on the machine."""

    def fails_after_s(worker: Worker, job: str, index: int) -> float | None:
        return after_s if worker.machine == machine and job != SERVICE else None

    region.fails_after_s = fails_after_s


async def _start_machines(region: Region, machines: int) -> None:
    """Start a region whose machines are all in the shard of the team that submits the jobs.

    Each shard is then with its preferred owner, so that no hand-over falls into the scenario.
    """
    await region.start_region(machines=0)
    shard = region.settings.shard_of_team("blue")
    for number in range(machines):
        await region.add_worker(f"n-{number}", shard=shard)
    await curio.sleep(2 * region.worker_lease_s)


async def _start_service(region: Region) -> None:
    """Start a region whose only machine runs a service of one replica."""
    await _start_machines(region, 1)
    assert await region.submit("node-0", SERVICE, None, sacks=1, crew="blue") == 201
    await region.wait_until(lambda: bool(region.workers_running(SERVICE)))
    await curio.sleep(region.worker_lease_s)


async def _wait_until_done(region: Region, job: str) -> None:
    await region.wait_until(lambda: region.has_finished(job, 1), MAX_WAIT_S)


async def _fail_two_jobs(region: Region) -> None:
    """Let two jobs with a mistake fail on the only machine."""
    _fail_jobs(region, BAD_JOBS)
    for job in BAD_JOBS:
        assert await region.submit("node-0", job, 20.0, crew="blue", sacks=1) == 201
    await curio.sleep(4.0)
    assert all(any(s[1] == job for s in region.checker.starts) for job in BAD_JOBS)


def test_a_good_job_runs_on_a_machine_where_cancelled_jobs_with_a_mistake_failed() -> None:
    """Guards against the failure of review/1: a replica's machine was excluded for good."""

    async def scenario(region: Region) -> None:
        await _start_service(region)
        await _fail_two_jobs(region)
        for job in BAD_JOBS:
            assert await region.cancel_until_confirmed("node-0", job, 10.0)
        assert await region.submit("node-0", GOOD_JOB, 5.0, crew="blue", sacks=1) == 201
        await _wait_until_done(region, GOOD_JOB)
        assert region.workers_running(SERVICE)

    simulate(scenario)


def test_a_good_job_runs_on_a_machine_where_jobs_with_a_mistake_are_not_cancelled() -> None:
    """The judgement of the machine ends by time while the jobs that led to it still wait."""

    async def scenario(region: Region) -> None:
        await _start_service(region)
        await _fail_two_jobs(region)
        assert await region.submit("node-0", GOOD_JOB, 5.0, crew="blue", sacks=1) == 201
        await _wait_until_done(region, GOOD_JOB)

    simulate(scenario)


def test_jobs_run_on_another_machine_while_a_faulty_one_runs_a_replica() -> None:
    """Guards against a forecast that counts the room of a machine that placement does not use."""

    async def scenario(region: Region) -> None:
        await _start_service(region)
        await region.run_provisioners()
        _fail_machine(region, "n-0")
        # no more than fit on the faulty machine
        jobs = [f"wk-{n:06d}" for n in range(200, 203)]
        for job in jobs:
            assert await region.submit("node-0", job, 5.0, crew="blue", sacks=1) == 201
            await curio.sleep(2.0)
        for job in jobs:
            await _wait_until_done(region, job)
        # the judgement takes a failure of two jobs
        failed = [start for start in region.checker.starts if start[3] == "n-0"]
        assert len(failed) <= 1 + 2
        assert [w.machine for w in region.workers_running(SERVICE)] == ["n-0"]

    simulate(scenario)


def test_the_next_owner_places_nothing_on_a_cordoned_machine() -> None:
    """Guards against a judgement that only the owner which made it knows of."""

    async def scenario(region: Region) -> None:
        await _start_service(region)
        _fail_machine(region, "n-0", after_s=0.5)
        for job in BAD_JOBS:
            assert await region.submit("node-0", job, 5.0, crew="blue", sacks=1) == 201
        shard = region.settings.shard_of_team("blue")

        def cordoned_until() -> float:
            record = region.state.keys[keys.machine("n-0")][0]
            return float(record.get("cordoned_until", 0.0))

        await region.wait_until(lambda: cordoned_until() > region.clock.wall_time())
        until = cordoned_until()
        starts = len(region.checker.starts)
        await region.kill(region.owners()[shard])
        label = next(iter(region.nodes))
        assert await region.submit(label, GOOD_JOB, 5.0, crew="blue", sacks=1) == 201
        await region.wait_until(lambda: region.owners().get(shard) in region.nodes)
        await curio.sleep(max(0.0, until - region.clock.wall_time() - 1.0))
        assert len(region.checker.starts) == starts
        region.fails_after_s = lambda *_: None
        await _wait_until_done(region, GOOD_JOB)

    simulate(scenario)


def _fail_once(region: Region, jobs: tuple[str, ...]) -> None:
    """Let the first attempt of each of these jobs fail."""

    def fails_after_s(worker: Worker, job: str, index: int) -> float | None:
        is_first = sum(start[1] == job for start in region.checker.starts) <= 1
        return 1.0 if job in jobs and is_first else None

    region.fails_after_s = fails_after_s


def test_a_job_that_failed_once_runs_on_the_only_machine() -> None:
    """Guards against a job that avoids for good the only machine, whose room the forecast counts.

    The cloud has no other machine. A second job of the same shape runs at once.
    """

    async def scenario(region: Region) -> None:
        await _start_service(region)
        _fail_once(region, (GOOD_JOB,))
        assert await region.submit("node-0", GOOD_JOB, 5.0, crew="blue", sacks=1) == 201
        await region.wait_until(lambda: bool(region.workers_running(GOOD_JOB)))
        await curio.sleep(2.0)
        assert await region.submit("node-0", "wk-000101", 5.0, crew="blue", sacks=1) == 201
        await _wait_until_done(region, "wk-000101")
        assert not region.has_finished(GOOD_JOB, 1)
        await _wait_until_done(region, GOOD_JOB)

    simulate(scenario)


def test_a_machine_is_rented_for_a_job_that_fails_on_the_only_one() -> None:
    """Guards against a forecast that counts the room of a machine that the job avoids."""

    async def scenario(region: Region) -> None:
        await _start_service(region)
        await region.run_provisioners()
        _fail_machine(region, "n-0")
        assert await region.submit("node-0", GOOD_JOB, 5.0, crew="blue", sacks=1) == 201
        await _wait_until_done(region, GOOD_JOB)
        first = next(start for start in region.checker.starts if start[1] == GOOD_JOB)
        assert first[3] == "n-0"

    simulate(scenario)


def test_the_next_owner_knows_on_which_machines_a_job_failed() -> None:
    """Guards against failures that only the owner which saw them knows of."""

    async def scenario(region: Region) -> None:
        await _start_service(region)
        shard = region.settings.shard_of_team("blue")
        _fail_jobs(region, (GOOD_JOB,))
        assert await region.submit("node-0", GOOD_JOB, 5.0, crew="blue", sacks=1) == 201
        await region.wait_until(lambda: bool(region.workers_running(GOOD_JOB)))
        failed_at = region.clock.now()
        await curio.sleep(2.0)
        await region.kill(region.owners()[shard])
        memory_s = next(iter(region.nodes.values())).settings.failure_memory_s
        await region.wait_until(lambda: region.owners().get(shard) in region.nodes)
        await curio.sleep(failed_at + memory_s - 1.0 - region.clock.now())
        assert sum(start[1] == GOOD_JOB for start in region.checker.starts) == 1
        region.fails_after_s = lambda *_: None
        await _wait_until_done(region, GOOD_JOB)

    simulate(scenario)


def test_a_job_at_fault_rents_few_machines_and_uses_one_at_a_time() -> None:
    """A job that fails everywhere neither fills the fleet nor has machine after machine rented."""

    async def scenario(region: Region) -> None:
        await _start_service(region)
        await region.run_provisioners()
        bad_job = BAD_JOBS[0]
        _fail_jobs(region, (bad_job,), after_s=2.0)
        assert await region.submit("node-0", bad_job, 20.0, crew="blue", sacks=40) == 201
        # the first failures come from all tasks that were started before the first one was known
        await curio.sleep(30.0)
        rented, starts = len(region.cloud.machines), len(region.checker.starts)
        await curio.sleep(200.0)
        assert len(region.cloud.machines) <= rented + 2
        assert len(region.checker.starts) - starts <= 20
        assert region.workers_running(SERVICE)
        assert await region.submit("node-0", GOOD_JOB, 5.0, crew="blue", sacks=1) == 201
        await _wait_until_done(region, GOOD_JOB)
        assert await region.cancel_until_confirmed("node-0", bad_job, 10.0)

    simulate(scenario)


def _fail_replica_on(region: Region, machine: str) -> None:
    """Let one replica of the service on the machine exit with `error` now."""
    tasks = region.workers[machine].tasks
    key = next(key for key, task in tasks.items() if key[0] == SERVICE and task.state == "running")
    tasks[key].state, tasks[key].cause = "exited", "error"


def _running_tasks(region: Region, job: str) -> int:
    return sum(
        key[0] == job and task.state == "running"
        for worker in region.workers.values()
        for key, task in worker.tasks.items()
    )


def test_a_service_whose_replicas_failed_on_two_machines_gets_all_replicas_back() -> None:
    """Guards against the failure of review/3: a service never counted as having succeeded."""

    async def scenario(region: Region) -> None:
        await _start_machines(region, 3)
        spec = {"crew": "blue", "sacks": 4, "cards": 2.0}
        assert await region.submit("node-0", SERVICE, None, **spec) == 201
        await region.wait_until(lambda: _running_tasks(region, SERVICE) == 4)
        failed: set[str] = set()
        for _ in range(2):
            await curio.sleep(3.0)
            machine = next(
                w.machine for w in region.workers_running(SERVICE) if w.machine not in failed
            )
            _fail_replica_on(region, machine)
            failed.add(machine)
        await region.wait_until(lambda: _running_tasks(region, SERVICE) < 4)
        await region.wait_until(lambda: _running_tasks(region, SERVICE) == 4, MAX_WAIT_S)

    simulate(scenario)


def test_the_waiting_tasks_of_an_array_start_once_one_has_run_for_long() -> None:
    """Guards against an array of long tasks that waits for the end of the first one."""

    async def scenario(region: Region) -> None:
        await _start_machines(region, 3)
        await region.run_provisioners()
        # the first attempts fail, on each machine; all later ones are sound
        until = region.clock.now() + 10.0
        region.fails_after_s = lambda *_: 1.0 if region.clock.now() < until else None
        assert await region.submit("node-0", GOOD_JOB, 400.0, crew="blue", sacks=12) == 201
        await curio.sleep(until - region.clock.now())
        assert _running_tasks(region, GOOD_JOB) < 12
        await region.wait_until(lambda: _running_tasks(region, GOOD_JOB) == 12, MAX_WAIT_S)

    simulate(scenario)


def test_a_gang_whose_tasks_failed_on_two_machines_is_started_again() -> None:
    """Guards against a suspected gang: its tasks start together, but one at a time was tried."""

    async def scenario(region: Region) -> None:
        await _start_machines(region, 3)
        await region.run_provisioners()
        until = region.clock.now() + 4.0
        region.fails_after_s = lambda *_: 1.0 if region.clock.now() < until else None
        spec = {"crew": "blue", "sacks": 3, "cards": 3.0, "cut": "gang"}
        assert await region.submit("node-0", GOOD_JOB, 5.0, **spec) == 201
        await curio.sleep(until - region.clock.now())
        assert len({start[3] for start in region.checker.starts}) >= 2
        assert not region.has_finished(GOOD_JOB, 1)
        await region.wait_until(lambda: region.has_finished(GOOD_JOB, 3), MAX_WAIT_S)

    simulate(scenario)


def test_a_service_whose_replica_failed_once_may_preempt_again() -> None:
    """Guards against a service that waits for good behind idle work after one failure."""

    async def scenario(region: Region) -> None:
        await _start_machines(region, 1)
        idle = {"crew": "blue", "precedence": "idle", "sacks": 12}
        service = {"crew": "blue", "precedence": "production", "sacks": 1}
        assert await region.submit("node-0", SERVICE, None, **service) == 201
        await region.wait_until(lambda: _running_tasks(region, SERVICE) == 1)
        assert await region.submit("node-0", GOOD_JOB, 500.0, **idle) == 201
        await region.wait_until(lambda: _running_tasks(region, GOOD_JOB) == 3)
        _fail_replica_on(region, "n-0")
        await region.wait_until(lambda: _running_tasks(region, GOOD_JOB) == 4)
        await region.wait_until(lambda: _running_tasks(region, SERVICE) == 1, MAX_WAIT_S)

    simulate(scenario)


def test_arrays_with_a_mistake_cordon_no_machine_when_all_their_tasks_fail_at_once() -> None:
    """Jobs at fault leave the fleet as it is, also before their plans record the failures."""

    async def scenario(region: Region) -> None:
        await _start_machines(region, 4)
        _fail_jobs(region, BAD_JOBS)
        spec = {"crew": "blue", "sacks": 8, "cards": 0.5}
        assert await region.submit("node-0", SERVICE, None, **spec) == 201
        for job in BAD_JOBS:
            assert await region.submit("node-0", job, 20.0, crew="blue", sacks=8, cards=1.0) == 201
        for _ in range(200):
            await curio.sleep(0.2)
            for number in range(4):
                record = region.state.keys[keys.machine(f"n-{number}")][0]
                assert "cordoned_until" not in record
                assert record["retiring"] != "faulty"

    simulate(scenario)
