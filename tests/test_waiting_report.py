"""The log lines that explain why jobs wait."""

import logging

import pytest

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_job
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario

# each takes a quarter of a machine's GPUs
WAITING_JOB = "wk-000003"


async def _run_rounds(node: SteppedController, for_s: float, first_seq: int) -> None:
    for seq in range(first_seq, first_seq + int(for_s)):
        node.clock.time += 1.0
        await node.renew_and_sync()
        view = node.heartbeats.find_view("n-0")
        tasks = [
            reported_task(a.job, a.index, a.number, "running")
            for a in node.cluster.machines["n-0"].attempts.values()
        ]
        assert view is not None
        node.report("n-0", 1, seq, node.token(), *tasks)
        await node.round()


def _waiting_lines(caplog: pytest.LogCaptureFixture, job: str) -> list[str]:
    lines = [record.getMessage() for record in caplog.records]
    return [line for line in lines if line.startswith(f"job waiting job={job} ")]


def test_a_job_without_room_is_reported_with_no_machine(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=4, cut="service")
        add_job(state, clock, nameId=WAITING_JOB, sacks=1)
        await _run_rounds(node, 2.5 * node.settings.waiting_report_interval_s, 2)

    run_scenario(scenario)
    (line,) = set(_waiting_lines(caplog, WAITING_JOB))
    assert "tasks=1" in line
    assert "machines=none counted=0 suspect=False" in line


def test_a_job_that_started_is_not_reported(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=3, cut="service")
        add_job(state, clock, nameId=WAITING_JOB, sacks=1)
        await _run_rounds(node, 2.5 * node.settings.waiting_report_interval_s, 2)

    run_scenario(scenario)
    assert not _waiting_lines(caplog, WAITING_JOB)


def test_a_machine_with_room_is_reported_with_the_reason_of_its_exclusion(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_job(state, clock, nodes, machines=1, sacks=2, cut="service")
        add_job(state, clock, nameId=WAITING_JOB, sacks=1)
        await node.sync()
        view = node.heartbeats.find_view("n-0")
        assert view is not None
        for seq in range(2, 2 + int(2.5 * node.settings.waiting_report_interval_s)):
            clock.time += 1.0
            await node.renew_and_sync()
            node.report("n-0", 1, seq, node.token())
            view.termination_at = clock.now() + 100.0
            await node.round()

    run_scenario(scenario)
    lines = _waiting_lines(caplog, WAITING_JOB)
    assert lines
    assert all("machines=termination-notice:1 counted=1" in line for line in lines)
