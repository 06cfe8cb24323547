"""Users of the behaviour trace: they submit, read and cancel jobs."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from .trace_adapter import JobRequest, SimulatedRegion

TEAMS = ("red", "blue", "green")


USER_PATIENCE = 40


@dataclass
class Users:
    """Users who submit, read and cancel jobs at random controllers."""

    region: SimulatedRegion
    draw: random.Random
    jobs: int
    span_s: float
    accepted: list[str] = field(default_factory=list)

    def _job(self, number: int) -> JobRequest:
        draw = self.draw
        needs = draw.sample(self.accepted[-6:], min(len(self.accepted[-6:]), number % 3))
        shape = draw.choice(["plain", "plain", "gang", "one zone", "spread", "service"])
        return JobRequest(
            name=f"wk-{400000 + number}",
            run_s=None if shape == "service" else draw.choice([1.0, 3.0, 8.0, 25.0]),
            tasks=draw.choice([2, 3]) if shape in ("gang", "spread") else draw.choice([1, 2, 5]),
            team=TEAMS[number % len(TEAMS)],
            priority=draw.choice(["idle", "idle", "standard", "high", "production"]),
            gpus=draw.choice([0.0, 1.0, 1.0, 2.0, 4.0]),
            needs=tuple(needs) if draw.random() < 0.5 else (),
            is_gang=shape == "gang",
            one_zone=shape == "one zone",
            spread=shape == "spread",
            may_use_spot=draw.random() < 0.4,
        )

    async def run(self) -> None:
        """Submit all jobs over the span."""
        await curio.spawn(self._poll_jobs, daemon=True)
        for number in range(self.jobs):
            job = self._job(number)
            if job.needs:
                self.region.counts["jobs in pipelines"] += 1
            for name, is_so in (
                ("gangs", job.is_gang),
                ("one-zone jobs", job.one_zone),
                ("spread jobs", job.spread),
                ("jobs for spot machines", job.may_use_spot),
            ):
                self.region.counts[name] += is_so
            await curio.spawn(self._submit_and_cancel, job, daemon=True)
            await curio.sleep(self.draw.uniform(0.2, 1.8) * self.span_s / self.jobs)

    async def _submit_and_cancel(self, job: JobRequest) -> None:
        is_cancelled, wait_s = self.draw.random() < 0.25, self.draw.choice([0.0, 1.0, 4.0, 12.0])
        if not await self._retry_until_answered(lambda label: self.region.submit(label, job)):
            return
        self.accepted.append(job.name)
        if is_cancelled:
            await curio.sleep(wait_s)
            done = await self._retry_until_answered(
                lambda label: self.region.cancel(label, job.name)
            )
            self.region.counts["cancellations answered"] += done

    async def _retry_until_answered(self, ask: Callable[[str], Awaitable[int]]) -> bool:
        for _ in range(USER_PATIENCE):
            living = self.region.living()
            if living and await ask(self.draw.choice(living)) in (200, 201):
                return True
            await curio.sleep(1.0)
        return False

    async def _poll_jobs(self) -> None:
        while True:
            living = self.region.living()
            if living and self.accepted:
                job = self.draw.choice(self.accepted[-30:])
                await self.region.show(self.draw.choice(living), job)
            await curio.sleep(0.5)
