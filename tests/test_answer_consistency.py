"""Responses to users never contradict earlier responses, even under faults."""

from functools import partial
from typing import Any

import curio
import pytest

from .fault_injection import (
    lose_responses,
    submit_single_task_jobs,
    wait_until_all_ended,
)
from .simulated_region import Region, simulate


@pytest.mark.parametrize("executes_immediately", [True, False])
@pytest.mark.parametrize("replaces_owner", [False, True])
def test_lost_transaction_responses_during_cancellations_and_a_restart(
    executes_immediately: bool, replaces_owner: bool
) -> None:
    """Responses to every third transaction are lost while users cancel jobs.

    The transactions are executed immediately or seconds late; in half of the cases the owner's
    process is also replaced.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=3)
        lose_responses(3, region, 2.0, executes_immediately, 30.0)
        submissions = await curio.spawn(submit_single_task_jobs, region, 24, 0.7)
        if replaces_owner:
            await curio.sleep(8.0)
            await region.restart("node-0", 0.3)
        await submissions.join()
        await wait_until_all_ended(region)

    simulate(scenario)


def test_no_controller_responds_with_older_state_right_after_a_change() -> None:
    """No controller responds with older state than any controller has already reported."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=3)
        lose_responses(4, region, 2.0, True, 60.0)
        for n in range(9):
            job, label = f"wk-{200000 + n}", region.LABELS[n % 3]
            other = region.LABELS[(n + 1) % 3]
            async with curio.TaskGroup() as group:
                # a slow submission, its repeat at another controller, and a cancellation in between
                await group.spawn(region.submit, label, job, 1.0)
                await curio.sleep(0.004 * (n % 4))
                await group.spawn(region.submit, other, job, 1.0)
                await region.wait_until(partial(region.is_accepted, job))
                if n % 2:
                    await group.spawn(region.cancel, other, job)
                await region.query_job_everywhere(job, 6)
                await region.submit(other, job, 1.0)
        await curio.sleep(6.0)
        for job in region.checker.jobs:
            await region.query_job_everywhere(job)
            for label in region.LABELS:
                await region.submit(label, job, 1.0)
                await region.cancel(label, job)
        assert all(facts.done or facts.cancelled for facts in region.checker.jobs.values())

    simulate(scenario)


def test_a_slow_response_to_a_submission_includes_a_later_cancellation() -> None:
    """Guards against a response `queued` after other responses have reported `withdrawn`.

    While the submission's response is delayed, the job is already durable and is read and cancelled
    at another controller.
    """

    async def scenario(region: Region) -> None:
        await region.start_region(machines=1)
        region.transaction_delay_s["node-1"] = 0.6
        async with curio.TaskGroup() as group:
            await group.spawn(region.submit, "node-1", "wk-000001")
            await curio.sleep(0.1)
            assert await region.query_job("node-2", "wk-000001") == 200
            assert await region.cancel("node-2", "wk-000001") == 200

    simulate(scenario)


def test_invalid_jobs_are_never_accepted_and_repeats_are_not_refused() -> None:
    """A repeat of an accepted job gets neither 400 nor 422; both also hold during an outage."""

    async def scenario(region: Region) -> None:
        await region.start_region(machines=1)
        invalid_fields: list[dict[str, Any]] = [
            {"cpus": 500.0},
            {"crew": "nobody"},
            {"frames": ["no-such"]},
            {"cards": 4.0, "sacks": 5},
            {"frames": ["c16"], "cards": 0.0, "yard": "south"},
            {"yard": "nowhere"},
            {"cpus": None},
            {"sacks": 0},
        ]
        await region.submit("node-1", "wk-000001", run_s=2.0)
        for down in (False, True):
            region.state.is_down = down
            for n, fields in enumerate(invalid_fields):
                status = await region.submit("node-2", f"wk-70000{n}", **fields)
                assert status in ((503,) if down else (400, 422)), fields
                assert await region.submit("node-2", "wk-000001", run_s=2.0, **fields) in (
                    (200, 503) if down else (200,)
                )
        region.state.is_down = False

    simulate(scenario)
