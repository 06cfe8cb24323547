"""Users and machines of a simulated region whose tasks fail by themselves.

Some jobs are submitted with a mistake: their tasks fail wherever they run, until their users cancel
them. Some tasks fail once and are sound after that, some replicas exit in the middle of their run,
and some machines fail every task for a while. All of it is drawn from a seed.
"""

import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

import curio

from .fault_injection import clear_faults
from .simulated_region import Region
from .simulated_worker import Worker

FIRST_JOB = 300000
SUBMISSION_RETRY_S = 1.0
MAX_TRIES = 120


class Behavior(Enum):
    """What the tasks of a job do by themselves."""

    SOUND = "sound"
    # the first attempt of each task fails
    FAILS_ONCE = "fails once"
    # every attempt fails
    MISTAKE = "mistake"


class Trouble(Enum):
    """A trouble beside the jobs that fail."""

    FAULTY_MACHINE = "faulty machine"
    FAILED_TASK = "failed task"
    RESTART = "restart"
    FULL_CLOUD = "full cloud"


@dataclass(frozen=True)
class Profile:
    """What the drawn jobs are like, and how often they come.

    Attributes:
        teams: The teams that submit arrays and gangs.
        service_teams: The teams that submit services. A team with a limit is left out: arrays at
            its limit would wait for the services, which don't end.
        kinds: The kinds to draw from.
        behaviors: The behaviors to draw from.
        cancelled_after_s: When users cancel jobs with a mistake, in seconds; None for later.
        failure_s: After how many seconds attempts fail.
        troubles: The other troubles to draw from.
        jobs: The number of jobs.
        interval_s: The mean time between two submissions, in seconds.
    """

    teams: tuple[str, ...]
    service_teams: tuple[str, ...]
    kinds: tuple[str, ...]
    behaviors: tuple[Behavior, ...]
    cancelled_after_s: tuple[float | None, ...]
    failure_s: tuple[float, ...]
    troubles: tuple[Trouble, ...]
    jobs: int
    interval_s: float


# many jobs of all kinds and teams
DENSE = Profile(
    teams=("red", "blue", "green"),
    service_teams=("blue", "green"),
    kinds=("array", "array", "array", "service", "gang"),
    behaviors=(*[Behavior.SOUND] * 4, Behavior.FAILS_ONCE, Behavior.MISTAKE),
    cancelled_after_s=(2.0, 5.0, 15.0, 60.0, None),
    failure_s=(0.5, 1.0, 4.0, 25.0),
    troubles=(*Trouble, Trouble.FAILED_TASK),
    jobs=40,
    interval_s=2.0,
)
# few jobs of one team, half of them with a mistake and soon cancelled: its machines run replicas
# only, so that nothing succeeds on them
SPARSE = Profile(
    teams=("blue",),
    service_teams=("blue",),
    kinds=("array", "array", "service"),
    behaviors=(Behavior.SOUND, Behavior.MISTAKE),
    cancelled_after_s=(2.0, 4.0),
    failure_s=(0.5, 1.0),
    troubles=(Trouble.FAILED_TASK,),
    jobs=20,
    interval_s=5.0,
)


@dataclass
class FailingJob:
    """A drawn job: its submission, and how its tasks fail.

    Attributes:
        run_s: The run time of each task in seconds; None for a service.
        failure_s: The time in seconds after which an attempt fails, if it fails.
        cancelled_after_s: The time in seconds after which its user cancels it; None if never.
    """

    id: str
    fields: dict[str, Any]
    run_s: float | None
    behavior: Behavior
    failure_s: float
    cancelled_after_s: float | None = None


class FailingTraffic:
    """Submits drawn jobs, and decides which attempts fail."""

    def __init__(self, region: Region, rng: random.Random, profile: Profile) -> None:
        self._region = region
        self._rng = rng
        self._profile = profile
        self.jobs: dict[str, FailingJob] = {}
        # the time until which a machine fails every task, by machine ID
        self._faulty_until: dict[str, float] = {}
        region.fails_after_s = self._fails_after_s

    def _fails_after_s(self, worker: Worker, job_id: str, index: int) -> float | None:
        """Return after how many seconds the present attempt of a task fails, or None."""
        if self._region.clock.now() < self._faulty_until.get(worker.machine, 0.0):
            return 1.0
        job = self.jobs.get(job_id)
        if job is None or job.behavior == Behavior.SOUND:
            return None
        if job.behavior == Behavior.FAILS_ONCE:
            starts = sum(start[1:3] == (job_id, index) for start in self._region.checker.starts)
            return job.failure_s if starts <= 1 else None
        return job.failure_s

    async def cause_trouble(self) -> None:
        """Cause a drawn trouble, or end that the cloud is full."""
        region, rng = self._region, self._rng
        trouble = rng.choice(self._profile.troubles)
        if trouble == Trouble.FAULTY_MACHINE:
            self._make_machine_faulty(rng.choice([10.0, 40.0, 100.0]))
        elif trouble == Trouble.FAILED_TASK:
            self._fail_task()
        elif trouble == Trouble.RESTART:
            await region.restart(rng.choice(region.LABELS), rng.choice([0.1, 1.0, 6.0]))
        else:
            region.cloud.is_full = not region.cloud.is_full

    def _make_machine_faulty(self, for_s: float) -> None:
        """Let a drawn machine, if there is any, fail all its tasks for a while."""
        if not self._region.workers:
            return
        machine = self._rng.choice(sorted(self._region.workers))
        self._faulty_until[machine] = self._region.clock.now() + for_s

    def _fail_task(self) -> None:
        """Let a drawn task that runs exit with `error` now."""
        running = [
            task
            for worker in self._region.live_workers()
            for task in worker.tasks.values()
            if task.state == "running"
        ]
        if running:
            task = self._rng.choice(running)
            task.state, task.cause = "exited", "error"

    async def submit_jobs(self) -> None:
        """Submit the drawn jobs, and cancel those whose users do so."""
        async with curio.TaskGroup() as group:
            for number in range(self._profile.jobs):
                job = self._draw_job(f"wk-{FIRST_JOB + number}")
                self.jobs[job.id] = job
                await group.spawn(self._use, job)
                await curio.sleep(self._rng.uniform(0.0, 2 * self._profile.interval_s))

    def _draw_job(self, job_id: str) -> FailingJob:
        rng, profile = self._rng, self._profile
        kind, behavior = rng.choice(profile.kinds), rng.choice(profile.behaviors)
        fields: dict[str, Any] = {
            "cut": kind,
            "crew": rng.choice(profile.service_teams if kind == "service" else profile.teams),
            "precedence": rng.choice(["production", "standard", "standard", "idle"]),
            "sacks": rng.choice([1, 1, 2, 3]) if kind != "array" else rng.choice([1, 1, 2, 6]),
            "cards": rng.choice([1.0, 1.0, 2.0]),
            "yard": rng.choice([None, None, None, "north"]),
        }
        accepted = [other for other in self.jobs if self._region.is_accepted(other)]
        if kind == "array" and accepted and rng.random() < 0.2:
            arrays = [other for other in accepted if self.jobs[other].run_s is not None]
            fields["awaits"] = rng.sample(arrays, min(1, len(arrays)))
        run_s = None if kind == "service" else rng.choice([3.0, 8.0, 30.0])
        job = FailingJob(job_id, fields, run_s, behavior, rng.choice(profile.failure_s))
        if behavior == Behavior.MISTAKE:
            job.cancelled_after_s = rng.choice(profile.cancelled_after_s)
        return job

    async def _use(self, job: FailingJob) -> None:
        for attempt in range(MAX_TRIES):
            labels = list(self._region.nodes)
            if labels:
                label = labels[attempt % len(labels)]
                status = await self._region.submit(label, job.id, job.run_s, **job.fields)
                if status in (200, 201):
                    break
            await curio.sleep(SUBMISSION_RETRY_S)
        if job.cancelled_after_s is not None:
            await curio.sleep(job.cancelled_after_s)
            await self.cancel(job.id)

    async def cancel(self, job_id: str) -> None:
        """Cancel a job, at one controller after the other until one confirms it."""
        for attempt in range(MAX_TRIES):
            labels = list(self._region.nodes)
            label = labels[attempt % len(labels)] if labels else ""
            if label and await self._region.cancel(label, job_id) == 200:
                return
            await curio.sleep(SUBMISSION_RETRY_S)
        raise AssertionError(f"{job_id} could not be cancelled")

    async def run(self, troubles: int) -> None:
        """Submit the jobs among so many troubles, end these, and cancel the mistakes."""
        users = await curio.spawn(self.submit_jobs)
        for _ in range(troubles):
            await curio.sleep(self._rng.uniform(1.0, 9.0))
            await self.cause_trouble()
        clear_faults(self._region)
        self._region.cloud.is_full = False
        await users.join()
        await self.cancel_mistakes()

    async def cancel_mistakes(self) -> None:
        """Cancel the jobs submitted with a mistake that nobody has cancelled yet."""
        for job in self.jobs.values():
            facts = self._region.checker.jobs[job.id]
            has_ended = facts.cancelled is not None or facts.done is not None
            if job.behavior == Behavior.MISTAKE and not has_ended:
                await self.cancel(job.id)
