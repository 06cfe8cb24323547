"""A fleet on which every GPU runs a task, for scale tests and profiles."""

from crossmill.cluster import keys
from crossmill.cluster.model import PlanChunk, PlannedAttempt
from crossmill.cluster.records import encode_chunk

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import SteppedController, add_job, add_machine, seed

# GPUs per machine, and tasks per job: a job occupies four machines
GPUS_PER_MACHINE, TASKS_PER_JOB = 4, 16


def full_fleet(state: StateService, clock: FakeClock, machines: int) -> None:
    """Store a fleet and jobs such that every GPU of the machines runs a task."""
    seed(state, clock, machines=0)
    for number in range(machines):
        add_machine(state, clock, f"n-{number}")
    for job in range(machines * GPUS_PER_MACHINE // TASKS_PER_JOB):
        # the highest priority, so that no task may be stopped for another job
        name = f"wk-{job:06d}"
        add_job(
            state, clock, nameId=name, sacks=TASKS_PER_JOB, grist="batch", precedence="production"
        )
        rows = {
            i: PlannedAttempt(
                name, i, i + 1, f"n-{job * GPUS_PER_MACHINE + i // GPUS_PER_MACHINE}", 1
            )
            for i in range(TASKS_PER_JOB)
        }
        state.put(keys.plan(name, "0"), encode_chunk(PlanChunk(TASKS_PER_JOB + 1, 0, rows)))


def report_all(node: SteppedController, machines: int, seq: int = 1) -> None:
    """Deliver a heartbeat from every worker, which reports that its tasks run."""
    for number in range(machines):
        job, first = (
            f"wk-{number // GPUS_PER_MACHINE:06d}",
            number % GPUS_PER_MACHINE * GPUS_PER_MACHINE,
        )
        tasks = [
            reported_task(job, first + i, first + i + 1, "running") for i in range(GPUS_PER_MACHINE)
        ]
        node.report(f"n-{number}", 1, seq, node.token(), *tasks)
