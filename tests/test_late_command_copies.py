"""Copies of direct commands that a worker has executed and answered arrive once more, and late.

In each test a task is started by a direct call that is answered, and its attempt ends. A copy of
the call then arrives, and must not start the attempt again: by then the task may run on another
machine, or its job may have been cancelled.
"""

from collections.abc import Awaitable, Callable
from functools import partial

import curio
import pytest

from crossmill.cluster import keys
from crossmill.workers.attempt_outcomes import StopReason

from .simulated_region import Region, simulate
from .simulated_worker import Worker

JOB = "wk-000001"
TEAM = "blue"
OTHER_TEAM = "green"
FAILURE_S = 1.5
RUN_S = 600.0
SHORT_RUN_S = 2.0
COPIES = 40
COPY_INTERVAL_S = 0.1
# a failed task is retried after a delay
MOVED_WITHIN_S = 60.0
# a termination notice of this length keeps other tasks away from a machine
NOTICE_S = 1000.0

EndAttempt = Callable[[Region, Worker], Awaitable[None]]
Event = Callable[[Region, Worker], Awaitable[None]]


async def _start_task(region: Region, run_s: float = RUN_S) -> Worker:
    """Start a task by a direct call, and return its worker."""
    await region.start_region(machines=0)
    shard = region.settings.shard_of_team(TEAM)
    for number in range(2):
        await region.add_worker(f"n-{number}", shard=shard)
    # each shard is then with its preferred owner, so that no hand-over falls into the scenario
    await curio.sleep(2 * region.worker_lease_s)
    assert await region.submit("node-1", JOB, run_s, sacks=1, crew=TEAM) == 201
    await region.wait_until(lambda: bool(region.checker.starts))
    worker = region.workers[region.checker.starts[0][3]]
    assert len(worker.executed_commands) == 1, "the task was not started by a direct call"
    return worker


async def _wait_until_moved(region: Region, first: Worker) -> None:
    """Wait until the worker has forgotten its attempt and the task runs on another machine."""
    await region.wait_until(
        lambda: not first.tasks and bool(region.workers_running(JOB)), MOVED_WITHIN_S
    )


async def _fail(region: Region, first: Worker) -> None:
    first.tasks[JOB, 0].state, first.tasks[JOB, 0].cause = "exited", "error"
    await _wait_until_moved(region, first)


async def _stop(reason: StopReason, region: Region, first: Worker) -> None:
    first.notice_s = NOTICE_S
    await curio.sleep(2 * region.heartbeat_interval_s)
    owner = region.nodes[region.owners()[region.settings.shard_of_team(TEAM)]]
    attempt = owner.cluster.machines[first.machine].attempts[JOB, 0]
    owner.heartbeats.request_stop(attempt, reason)
    await _wait_until_moved(region, first)


async def _cancel(region: Region, first: Worker) -> None:
    assert await region.cancel("node-1", JOB) == 200
    await region.wait_until(lambda: not first.tasks)


async def _finish(region: Region, first: Worker) -> None:
    first.tasks[JOB, 0].state, first.tasks[JOB, 0].cause = "exited", "done"
    await region.wait_until(lambda: not first.tasks)


async def _refuse(region: Region, first: Worker) -> None:
    """Let the attempt look as if the worker had refused its start for lack of room."""
    first.tasks[JOB, 0].state, first.tasks[JOB, 0].cause = "exited", "full"
    first.notice_s = NOTICE_S
    await _wait_until_moved(region, first)


async def _nothing(region: Region, first: Worker) -> None:
    """Let the copy arrive without any other trouble."""


async def _replace_owner(region: Region, first: Worker) -> None:
    """Let the copy arrive before the owner's next process has answered the worker."""
    owner = region.owners()[region.settings.shard_of_team(TEAM)]
    await region.kill(owner)
    await curio.spawn(region.start, owner)


async def _hang(region: Region, first: Worker) -> None:
    """Let the copy arrive while the machine hangs, which executes it when it goes on."""
    first.is_frozen = True


async def _transfer(region: Region, first: Worker) -> None:
    """Let the copy arrive before the machine's next owner has answered the worker."""
    record = region.state.keys[keys.machine(first.machine)][0]
    token = region.state.keys[keys.TOKEN][0]["n"] + 1
    shard = region.settings.shard_of_team(OTHER_TEAM)
    region.state.put(keys.TOKEN, {"n": token})
    region.state.put(keys.machine(first.machine), {**record, "shard": shard, "token": token})


async def _end_session(region: Region, first: Worker) -> None:
    """Let the copy arrive after the worker's lease has expired."""
    first.inbound_lost = True
    await curio.sleep(1.2 * region.worker_lease_s)
    first.inbound_lost = False
    await curio.sleep(2 * region.heartbeat_interval_s)
    assert first.session == 2


ENDS: dict[str, EndAttempt] = {
    "failed": _fail,
    "drained": partial(_stop, StopReason.DRAINED),
    "preempted": partial(_stop, StopReason.PREEMPTED),
    "transferred": partial(_stop, StopReason.TRANSFERRED),
    "cancelled": _cancel,
    "done": _finish,
    "refused": _refuse,
}
EVENTS: dict[str, Event] = {
    "nothing": _nothing,
    "owner back within a second": _replace_owner,
    "machine hangs": _hang,
    "machine transferred": _transfer,
    "session ended": _end_session,
}


@pytest.mark.parametrize("event", EVENTS)
@pytest.mark.parametrize("end", ENDS)
def test_a_late_copy_of_an_answered_start_does_not_run_a_forgotten_attempt(
    end: str, event: str
) -> None:
    async def scenario(region: Region) -> None:
        first = await _start_task(region)
        (call,) = first.executed_commands
        await ENDS[end](region, first)
        starts = len(region.checker.starts)
        await EVENTS[event](region, first)
        for _ in range(2):
            await first.receive_copy(call)
        first.is_frozen = False
        await curio.sleep(2 * region.heartbeat_interval_s)
        assert len(region.checker.starts) == starts

    simulate(scenario)


def test_a_late_copy_of_an_answered_start_does_not_run_its_task_on_two_machines() -> None:
    async def scenario(region: Region) -> None:
        region.fails_after_s = lambda *_: FAILURE_S if len(region.checker.starts) <= 1 else None
        first = await _start_task(region)
        (call,) = first.executed_commands
        await _wait_until_moved(region, first)
        await first.receive_copy(call)
        assert first not in region.workers_running(JOB)

    simulate(scenario)


@pytest.mark.parametrize("run_s", [RUN_S, SHORT_RUN_S])
def test_a_copy_of_a_start_has_no_effect_before_its_attempt_is_forgotten(run_s: float) -> None:
    async def scenario(region: Region) -> None:
        first = await _start_task(region, run_s)
        (call,) = first.executed_commands
        for _ in range(COPIES):
            await curio.sleep(COPY_INTERVAL_S)
            if first.tasks:
                await first.receive_copy(call)
                assert len(region.checker.starts) == 1

    simulate(scenario)


def test_a_copy_of_a_stop_ends_no_later_attempt() -> None:
    async def scenario(region: Region) -> None:
        first = await _start_task(region)
        other = next(w for w in region.workers.values() if w is not first)
        other.notice_s = NOTICE_S
        await curio.sleep(2 * region.heartbeat_interval_s)
        owner = region.nodes[region.owners()[region.settings.shard_of_team(TEAM)]]
        attempt = owner.cluster.machines[first.machine].attempts[JOB, 0]
        owner.heartbeats.request_stop(attempt, StopReason.PREEMPTED)
        await owner.command_sender.send([], [attempt])
        await region.wait_until(lambda: len(region.checker.starts) == 2, MOVED_WITHIN_S)
        assert [call["orders"][0]["verb"] for call in first.executed_commands] == [
            "start",
            "kill",
            "start",
        ]
        for call in first.executed_commands[::-1]:
            await first.receive_copy(call)
        assert first.tasks[JOB, 0].attempt == attempt.number + 1
        assert first in region.workers_running(JOB)

    simulate(scenario)
