"""Measure how soon a new owner stops cancelled tasks: `python -m tests.measure_due_stops`.

One whole controller takes over a fleet on which a tenth of the jobs are cancelled. Workers send
heartbeats as PROTOCOL describes: each interval, give or take a quarter, and half a second after
they first see a higher token. The controller handles them one after the other; the processor time
of each is measured and divided by the controller's share of a processor. Prints the times from the
first heartbeat until half of the workers, and until all, have been sent the stops that are due, and
the number of heartbeats that this took.

Not included: HTTP, the network, and the other work of the controller.
"""

import argparse
import heapq
import random
import time

from crossmill.cluster import keys
from crossmill.cluster.model import CANCELLED
from crossmill.cluster.records import encode_end
from crossmill.wire.checks import load_object
from crossmill.wire.workers import CommandKind, heartbeat_response_body, parse_heartbeat

from .builders import heartbeat_body, make_spec, reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .full_fleet import GPUS_PER_MACHINE, TASKS_PER_JOB, full_fleet
from .stepped_controller import MAX_RECORD_BYTES, Nodes, SteppedController, run_scenario

CANCELLED_EVERY = 10
# shortest time between two heartbeats of a worker, in seconds (PROTOCOL)
MIN_INTERVAL_S = 0.5
INTERVAL_JITTER = 0.25
MACHINES_PER_JOB = TASKS_PER_JOB // GPUS_PER_MACHINE


class MeasuredWorkers:
    """The workers of a fleet, and which of them have been sent every stop that is due."""

    def __init__(self, node: SteppedController, machines: int, share: float, seed: int) -> None:
        self._node = node
        self._machines = machines
        self._share = share
        self._rng = random.Random(seed)
        self._tokens = [0] * machines
        self._sequence = [0] * machines
        self.heartbeats = 0
        # the times at which the workers were sent their stops, in seconds
        self.stopped_at: dict[int, float] = {}

    def run(self) -> None:
        """Let the controller handle heartbeats until every due stop has been sent."""
        interval_s = self._node.settings.heartbeat_interval_s
        queue = [(self._rng.uniform(0.0, interval_s), number) for number in range(self._machines)]
        heapq.heapify(queue)
        due = {n for n in range(self._machines) if (n // MACHINES_PER_JOB) % CANCELLED_EVERY == 0}
        free_at = 0.0
        while due - self.stopped_at.keys():
            sent_at, number = heapq.heappop(queue)
            token_before = self._tokens[number]
            started = time.process_time()
            has_stops = self._send_heartbeat(number)
            free_at = max(free_at, sent_at) + (time.process_time() - started) / self._share
            if has_stops:
                self.stopped_at.setdefault(number, free_at)
            is_token_new = self._tokens[number] > token_before
            pause_s = interval_s * self._rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
            heapq.heappush(queue, (free_at + (MIN_INTERVAL_S if is_token_new else pause_s), number))

    def _send_heartbeat(self, number: int) -> bool:
        """Deliver one heartbeat; return whether the response stops the worker's tasks."""
        self._sequence[number] += 1
        self.heartbeats += 1
        job, first = f"wk-{number // MACHINES_PER_JOB:06d}", number % MACHINES_PER_JOB
        indexes = range(first * GPUS_PER_MACHINE, (first + 1) * GPUS_PER_MACHINE)
        tasks = [reported_task(job, index, index + 1, "running") for index in indexes]
        body = heartbeat_body(
            f"n-{number}", 1, self._sequence[number], self._tokens[number], *tasks
        )
        heartbeat = parse_heartbeat(load_object(body), self._node.heartbeats.read_task_status)
        response = self._node.heartbeats.handle(heartbeat)
        heartbeat_response_body(response.token, list(response.commands))
        self._tokens[number] = response.token
        return any(command.op is CommandKind.STOP for command in response.commands)


def cancel_jobs(state: StateService, clock: FakeClock, machines: int) -> None:
    """Store the cancellation of every tenth job of a full fleet."""
    for number in range(0, machines // MACHINES_PER_JOB, CANCELLED_EVERY):
        job = f"wk-{number:06d}"
        spec = make_spec(nameId=job, sacks=TASKS_PER_JOB, grist="batch", precedence="production")
        state.put(keys.job(job), encode_end(CANCELLED, spec, clock.wall_time(), MAX_RECORD_BYTES))


def measure(machines: int, share: float, seed: int) -> MeasuredWorkers:
    """Return the workers of a fleet of this size after all due stops were sent."""
    measured: list[MeasuredWorkers] = []

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        full_fleet(state, clock, machines)
        cancel_jobs(state, clock, machines)
        node = SteppedController(state, clock, nodes)
        await node.boot()
        workers = MeasuredWorkers(node, machines, share, seed)
        workers.run()
        measured.append(workers)

    run_scenario(scenario)
    return measured[0]


def main() -> None:
    """Print a line for each size of the fleet and each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--machines", type=int, nargs="+", default=[100, 1000, 4000])
    parser.add_argument("--share", type=float, default=0.54, help="share of one processor")
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args()
    for machines in arguments.machines:
        for seed in range(arguments.seeds):
            workers = measure(machines, arguments.share, seed)
            times = sorted(workers.stopped_at.values())
            print(
                f"machines={machines} seed={seed} half_s={times[len(times) // 2]:.2f} "
                f"all_s={times[-1]:.2f} heartbeats={workers.heartbeats}",
                flush=True,
            )


if __name__ == "__main__":
    main()
