"""Simulated users for the behaviour trace, who submit, read and cancel jobs."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from .trace_adapter import JobRequest, SimulatedRegion

TEAMS = ("red", "blue", "green")
MAX_REQUEST_ATTEMPTS = 40


@dataclass
class Users:
    """Users who submit, read and cancel random jobs at random controllers.

    Attributes:
        region: The region that receives the requests.
        rng: The generator of all random choices.
        jobs: The number of jobs to submit.
        span_s: The mean time in seconds within which all jobs are submitted.
        accepted: The names of the jobs that a controller accepted.
    """

    region: SimulatedRegion
    rng: random.Random
    jobs: int
    span_s: float
    accepted: list[str] = field(default_factory=list)

    def _random_job(self, number: int) -> JobRequest:
        rng = self.rng
        dependencies = rng.sample(self.accepted[-6:], min(len(self.accepted[-6:]), number % 3))
        shape = rng.choice(["plain", "plain", "gang", "one zone", "spread", "service"])
        return JobRequest(
            name=f"wk-{400000 + number}",
            run_s=None if shape == "service" else rng.choice([1.0, 3.0, 8.0, 25.0]),
            tasks=rng.choice([2, 3]) if shape in ("gang", "spread") else rng.choice([1, 2, 5]),
            team=TEAMS[number % len(TEAMS)],
            priority=rng.choice(["idle", "idle", "standard", "high", "production"]),
            gpus=rng.choice([0.0, 1.0, 1.0, 2.0, 4.0]),
            dependencies=tuple(dependencies) if rng.random() < 0.5 else (),
            is_gang=shape == "gang",
            one_zone=shape == "one zone",
            spread=shape == "spread",
            may_use_spot=rng.random() < 0.4,
        )

    async def run(self) -> None:
        """Submit all jobs, spread over the time span."""
        await curio.spawn(self._poll_jobs, daemon=True)
        for number in range(self.jobs):
            job = self._random_job(number)
            if job.dependencies:
                self.region.counts["jobs in pipelines"] += 1
            for name, applies in (
                ("gangs", job.is_gang),
                ("one-zone jobs", job.one_zone),
                ("spread jobs", job.spread),
                ("jobs for spot machines", job.may_use_spot),
            ):
                self.region.counts[name] += applies
            await curio.spawn(self._submit_and_cancel, job, daemon=True)
            await curio.sleep(self.rng.uniform(0.2, 1.8) * self.span_s / self.jobs)

    async def _submit_and_cancel(self, job: JobRequest) -> None:
        is_cancelled, delay_s = self.rng.random() < 0.25, self.rng.choice([0.0, 1.0, 4.0, 12.0])
        if not await self._retry_until_accepted(lambda label: self.region.submit(label, job)):
            return
        self.accepted.append(job.name)
        if is_cancelled:
            await curio.sleep(delay_s)
            done = await self._retry_until_accepted(
                lambda label: self.region.cancel(label, job.name)
            )
            self.region.counts["cancellations answered"] += done

    async def _retry_until_accepted(self, send_request: Callable[[str], Awaitable[int]]) -> bool:
        for _ in range(MAX_REQUEST_ATTEMPTS):
            controllers = self.region.running_controllers()
            if controllers and await send_request(self.rng.choice(controllers)) in (200, 201):
                return True
            await curio.sleep(1.0)
        return False

    async def _poll_jobs(self) -> None:
        while True:
            controllers = self.region.running_controllers()
            if controllers and self.accepted:
                job = self.rng.choice(self.accepted[-30:])
                await self.region.query_job(self.rng.choice(controllers), job)
            await curio.sleep(0.5)
