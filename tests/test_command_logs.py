"""The log says who sent which command under which token, with one line for each event."""

import curio
import pytest

from crossmill.wire.workers import Command, CommandKind

from .builders import heartbeat_body, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .placed_jobs import boot_with_waiting_job, start_placed_task
from .stepped_controller import Nodes, SteppedController, run_scenario
from .test_due_stops import JOB, RUNNING, STOP, end_job

CONFLICT = 409
DONE = reported_task(JOB, 0, 1, "exited", "done")


@pytest.fixture(autouse=True)
def _info_level(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO", logger="crossmill")


def _lines(caplog: pytest.LogCaptureFixture, event: str) -> list[str]:
    return [line for line in caplog.messages if line.startswith(event)]


def test_early_stops_are_logged_once_while_a_workers_responses_are_lost(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        await end_job(state, clock, node)
        successor = SteppedController(state, clock, nodes)
        await successor.boot()
        for seq in range(5, 10):
            response = successor.report("n-0", 1, seq, node.token(), RUNNING)
            assert response.commands == (STOP,)

    run_scenario(scenario)
    assert len(_lines(caplog, "tasks of ended jobs stopped")) == 1


def test_a_forget_is_logged_once_while_a_workers_responses_are_lost(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await start_placed_task(state, clock, nodes)
        node.report("n-0", 1, 5, node.token(), DONE)
        await node.round()
        for seq in range(6, 10):
            response = node.report("n-0", 1, seq, node.token(), DONE)
            assert response.commands == (Command(CommandKind.FORGET, f"{JOB}/0", 1),)

    run_scenario(scenario)
    (line,) = _lines(caplog, "attempts forgotten")
    assert f"attempts={JOB}/0@1" in line


@pytest.mark.parametrize(
    ("session", "token_increase", "reason"), [(1, 1, "token"), (2, 0, "session")]
)
def test_a_refused_direct_call_is_logged_with_its_reason(
    caplog: pytest.LogCaptureFixture, session: int, token_increase: int, reason: str
) -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = await boot_with_waiting_job(state, clock, nodes, machines=1, sacks=1)
        reported = node.token() + token_increase
        node.worker.scripted_response = lambda data: (
            CONFLICT,
            heartbeat_body("n-0", session, 90, reported),
        )
        node.report("n-0", 1, 1, node.token())
        await node.round()
        await curio.sleep(0.01)

    run_scenario(scenario)
    (sent,) = _lines(caplog, "direct commands sent")
    assert f"session=1 stops=0 starts={JOB}/0@1" in sent
    (refused,) = _lines(caplog, "direct commands refused")
    assert f"reason={reason} " in refused
