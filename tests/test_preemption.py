"""Tests of the choice of tasks stopped for jobs of higher priority or within quota."""

import pytest

from crossmill.jobs.preemption import StoppableJob, deduct_excess_gpus
from crossmill.wire.users import JobSpec

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_job
from .stepped_controller import SteppedController, add_job, add_machine, run_scenario

Nodes = dict[str, SteppedController]

ARRAY, SERVICE = "wk-000001", "wk-000002"
REPLICA = {"cut": "service", "precedence": "production", "grindS": 0.0, "dueS": None}


def _running(job: str, tasks: int) -> list[dict[str, object]]:
    """Return the statuses of a job's first running tasks, placed one after the other."""
    return [reported_task(job, index, index + 1, "running") for index in range(tasks)]


def test_capacity_freed_for_a_service_is_not_placed_with_array_tasks_again() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=4)
        running = _running(ARRAY, 4)
        node.report("n-0", 1, 2, node.token(), *running)
        add_job(state, clock, nameId=SERVICE, sacks=1, cards=2.0, **REPLICA)
        await node.sync()
        await node.round()
        assert len(node.heartbeats.stop_requests) == 2
        commands = node.report("n-0", 1, 3, node.token(), *running).commands
        stopped = [command.task for command in commands if command.op == "stop"]
        assert len(stopped) == 2
        # one of the two has ended, which does not free enough capacity for the replica
        remaining = [status for status in running if status["sack"] != stopped[0]]
        index = int(stopped[0].rpartition("/")[2])
        ended = reported_task(ARRAY, index, index + 1, "exited", "halted")
        node.report("n-0", 1, 4, node.token(), *remaining, ended)
        await node.round()
        await node.round()
        assert node.cluster.jobs[ARRAY].planned_task_count() == 3
        # both have ended
        index = int(stopped[1].rpartition("/")[2])
        ended = reported_task(ARRAY, index, index + 1, "exited", "halted")
        node.report("n-0", 1, 5, node.token(), *remaining[:-1], ended)
        await node.round()
        await node.round()
        assert node.cluster.jobs[SERVICE].planned_task_count() == 1

    run_scenario(scenario)


def test_capacity_freed_on_a_machine_without_the_image_is_used_immediately() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=4)
        running = _running(ARRAY, 4)
        node.report("n-0", 1, 2, node.token(), *running)
        add_job(state, clock, nameId=SERVICE, sacks=1, recipe="img-2", pullGb=90.0, **REPLICA)
        await node.sync()
        await node.round()
        (attempt,) = node.heartbeats.stop_requests
        ended = reported_task(attempt[0], attempt[1], attempt[2], "exited", "halted")
        remaining = [status for status in running if status["turn"] != attempt[2]]
        node.report("n-0", 1, 3, node.token(), *remaining, ended)
        await node.round()
        await node.round()
        assert node.cluster.jobs[SERVICE].planned_task_count() == 1

    run_scenario(scenario)


def test_nothing_is_stopped_in_a_zone_that_has_the_jobs_share_of_replicas_already() -> None:
    """Guards against preemption in a zone that already has its share of a job's replicas.

    Under a recorded load, half of a job's replicas were placed in one zone. Tasks were stopped in
    that zone for the other half too, and those replicas waited until the claim expired.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=2)
        replica = {**REPLICA, "recipe": "img-2", "pullGb": 20.0}
        add_job(state, clock, nameId=SERVICE, sacks=1, **replica)
        await node.sync()
        await node.round()
        assert len(node.cluster.machines["n-0"].attempts) == 3
        add_machine(state, clock, "n-1", zone="south")
        add_job(state, clock, nameId="wk-000003", sacks=2, spread=True, **replica)
        await node.sync()
        node.report("n-1", 1, 1, node.token())
        await node.round()
        assert not node.heartbeats.stop_requests
        zones = node.cluster.machines.task_counts_by_zone(node.cluster.jobs["wk-000003"])
        assert zones == {"north": 1, "south": 1}

    run_scenario(scenario)


def test_equal_priority_is_never_preempted() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=4)
        add_job(state, clock, nameId="wk-000002", sacks=1)
        await node.sync()
        await node.round()
        assert not node.heartbeats.stop_requests

    run_scenario(scenario)


def test_a_replica_that_ended_with_its_machine_may_preempt_again() -> None:
    """Guards against a replica that waits for a free machine because it may not preempt.

    That was so while every ended attempt counted as a failure.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        service, array = "wk-000001", "wk-000002"
        node = await boot_with_job(state, clock, nodes, machines=2, sacks=1, cards=4.0, **REPLICA)
        (attempt,) = node.cluster.jobs[service].attempts()
        other = "n-1" if attempt.machine == "n-0" else "n-0"
        add_job(state, clock, nameId=array, sacks=4)
        await node.sync()
        await node.round()
        assert len(node.cluster.machines[other].attempts) == 4
        running = _running(array, 4)
        node.report(attempt.machine, 1, 2, node.token(), reported_task(service, 0, 1, "running"))
        for seq in range(2, 60):
            clock.time += node.settings.heartbeat_interval_s / 2
            await node.renew_and_sync()
            node.report(other, 1, seq, node.token(), *running)
            await node.round()
        assert len(node.heartbeats.stop_requests) == 4

    run_scenario(scenario)


def test_stoppable_jobs_are_computed_once_per_job_and_round() -> None:
    """Guards against computing the stoppable jobs for each task on each machine.

    That took two thirds of a controller's CPU time, and simulated days of 300 machines did not end
    within their CPU time limit.
    """

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=3, sacks=12)
        assert node.cluster.jobs[ARRAY].planned_task_count() == 12
        queried_job_ids: list[str] = []
        is_out_of_capacity = node.forecast.is_out_of_capacity

        def counting(spec: JobSpec) -> bool:
            queried_job_ids.append(spec.id)
            return is_out_of_capacity(spec)

        node.forecast.is_out_of_capacity = counting  # type: ignore[method-assign]
        add_job(state, clock, nameId=SERVICE, sacks=1, **REPLICA)
        await node.sync()
        await node.round()
        assert len(node.heartbeats.stop_requests) == 1
        # once for machines that have the job's image, and at most once more for all others
        assert 1 <= len(queried_job_ids) <= 2

    run_scenario(scenario)


def test_stops_for_a_quota_leave_other_teams_their_quota() -> None:
    """Guards against stopping whole arrays for one task, which left their team below its quota."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=3)
        victims = list(node.cluster.jobs[ARRAY].attempts())
        spec = node.cluster.jobs[ARRAY].spec
        assert spec is not None
        stoppable = {ARRAY: StoppableJob(spec, over_quota_team="red")}
        excess_gpus = {"red": 2.0}
        assert not deduct_excess_gpus(victims, stoppable, excess_gpus)
        assert deduct_excess_gpus(victims[:2], stoppable, excess_gpus)
        assert not deduct_excess_gpus(victims[2:], stoppable, excess_gpus)

    run_scenario(scenario)


def test_tasks_of_lower_priority_are_stopped_whatever_their_team_uses() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=3)
        victims = list(node.cluster.jobs[ARRAY].attempts())
        spec = node.cluster.jobs[ARRAY].spec
        assert spec is not None
        assert deduct_excess_gpus(victims, {ARRAY: StoppableJob(spec)}, {"red": 0.0})

    run_scenario(scenario)


@pytest.mark.parametrize(("job_id", "is_within"), [("wk-000001", True), ("wk-000002", False)])
def test_a_job_is_within_quota_together_with_the_teams_earlier_jobs(
    job_id: str, is_within: bool
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        # the quota of team red is 4 GPUs: the first job uses 3 of them, the second needs 2
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=3)
        add_job(state, clock, nameId="wk-000002", sacks=2)
        await node.sync()
        job = node.cluster.jobs[job_id]
        assert node.scheduling_loop._quotas.is_within_quota(job) is is_within

    run_scenario(scenario)
