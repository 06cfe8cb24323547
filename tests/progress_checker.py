"""Checks the operators' rule of progress in a simulated region.

"Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and
its team is under its limit." It is judged from what users submit and what workers run, never from
the controllers' own opinion of a job or of a machine, and over all machines, whichever shard they
belong to. `InvariantChecker` owns it and calls it at
each of its checks.
"""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from .fake_cloud import CATALOG
from .simulated_worker import Worker

if TYPE_CHECKING:
    from .invariant_checker import JobFacts
    from .simulated_region import Region

# the operators' rule
MAX_WAIT_S = 90.0
RESOURCES = ("cpus", "cards", "ramGb")
# the type of all simulated workers
MACHINE_TYPE: dict[str, Any] = next(frame for frame in CATALOG["frames"] if frame["sku"] == "g4")
# sums of fractional resources
TOLERANCE = 1e-6


def _max_tasks_in_zone(spec: dict[str, Any]) -> int:
    """Return how many tasks of a job that is spread over the zones one zone may have."""
    return (int(spec["sacks"]) + 1) // 2


class ProgressChecker:
    """Reports jobs that are left waiting although they could start."""

    def __init__(
        self, region: "Region", jobs: dict[str, "JobFacts"], report: Callable[[str], None]
    ) -> None:
        self._region = region
        self._jobs = jobs
        self._report = report
        # the time since which each waiting job could have started, by job ID
        self._waiting_since: dict[str, float] = {}

    def record_start(self, job: str) -> None:
        """Note that a task of the job starts: from now on it waits anew."""
        self._waiting_since.pop(job, None)

    def check(self) -> None:
        """Report each job that could have started for longer than the rule allows."""
        now = self._region.clock.now()
        if self._region.has_trouble():
            self._waiting_since.clear()
            return
        startable = set(self._startable_jobs())
        self._waiting_since = {
            job: self._waiting_since.get(job, now) for job in self._jobs if job in startable
        }
        for job, since in list(self._waiting_since.items()):
            if now - since > MAX_WAIT_S:
                self._report(f"stalled {job}: could have started since {since:.1f}")
                # reported once for each time
                self._waiting_since[job] = now

    def _startable_jobs(self) -> Iterator[str]:
        workers = list(self._available_workers())
        if not workers:
            return
        free = {worker.machine: self._free(worker) for worker in workers}
        for job, facts in self._jobs.items():
            if self._is_waiting(job, facts) and self._is_under_limit(facts):
                fitting = self._fitting_workers(job, facts, workers, free)
                needed = self._waiting_tasks(job, facts) if self._is_gang(facts) else 1
                if self._count_slots(job, facts, fitting, free) >= needed:
                    yield job

    def _available_workers(self) -> Iterator[Worker]:
        """Iterate over the machines that a task could start on, by what the cloud and they say."""
        for worker in self._region.live_workers():
            if worker.notice_s is None and not self._region.is_returned(worker.machine):
                yield worker

    def _free(self, worker: Worker) -> dict[str, float]:
        free = {name: float(MACHINE_TYPE[name]) for name in RESOURCES}
        for (job, _), task in worker.tasks.items():
            if task.state != "exited":
                for name in RESOURCES:
                    free[name] -= self._jobs[job].spec[name]
        return free

    def _is_waiting(self, job: str, facts: "JobFacts") -> bool:
        has_ended = facts.cancelled is not None or facts.done is not None
        if facts.accepted is None or facts.is_cancellation_requested or has_ended:
            return False
        for dependency in facts.dependencies():
            other = self._jobs[dependency]
            if other.is_cancellation_requested or len(other.finished) < other.spec["sacks"]:
                return False
        return self._waiting_tasks(job, facts) > 0

    def _waiting_tasks(self, job: str, facts: "JobFacts") -> int:
        return int(facts.spec["sacks"]) - len(facts.finished) - len(self._zones(job))

    def _zones(self, job: str) -> list[str]:
        """Return the zone of each task of the job that runs."""
        return [
            worker.zone
            for worker in self._region.live_workers()
            for key, task in worker.tasks.items()
            if key[0] == job and task.state != "exited"
        ]

    @staticmethod
    def _is_gang(facts: "JobFacts") -> bool:
        return bool(facts.spec["cut"] == "gang")

    def _is_under_limit(self, facts: "JobFacts") -> bool:
        settings = self._region.settings
        team = settings.team(facts.spec["crew"])
        if team is None:
            return False
        used = dict.fromkeys(RESOURCES, 0.0)
        for worker in self._region.live_workers():
            for (job, _), task in worker.tasks.items():
                other = self._jobs[job].spec
                if task.state != "exited" and other["crew"] == team.name:
                    for name in RESOURCES:
                        used[name] += other[name]
        limits = {"cpus": team.cpus_max, "cards": team.gpus_max}
        return all(
            limit <= 0 or used[name] + facts.spec[name] <= limit + TOLERANCE
            for name, limit in limits.items()
        )

    def _fitting_workers(
        self,
        job: str,
        facts: "JobFacts",
        workers: list[Worker],
        free: dict[str, dict[str, float]],
    ) -> list[Worker]:
        """Return the machines where the job's constraints allow one more of its tasks."""
        spec, zones = facts.spec, self._zones(job)
        max_in_zone = _max_tasks_in_zone(spec)
        return [
            worker
            for worker in workers
            if (spec["frames"] is None or MACHINE_TYPE["sku"] in spec["frames"])
            and spec["yard"] in (None, worker.zone)
            and not (spec["oneZone"] and set(zones) - {worker.zone})
            and not (spec["spread"] and zones.count(worker.zone) >= max_in_zone)
            and self._slots(spec, free[worker.machine]) > 0
        ]

    def _count_slots(
        self,
        job: str,
        facts: "JobFacts",
        workers: list[Worker],
        free: dict[str, dict[str, float]],
    ) -> int:
        """Return how many tasks of the job fit on the machines, or in the best zone of them."""
        slots: dict[str, int] = {}
        for worker in workers:
            slots[worker.zone] = slots.get(worker.zone, 0) + self._slots(
                facts.spec, free[worker.machine]
            )
        if facts.spec["spread"]:
            zones = self._zones(job)
            limit = _max_tasks_in_zone(facts.spec)
            slots = {zone: min(n, limit - zones.count(zone)) for zone, n in slots.items()}
        if facts.spec["oneZone"]:
            return max(slots.values(), default=0)
        return sum(slots.values())

    @staticmethod
    def _slots(spec: dict[str, Any], free: dict[str, float]) -> int:
        return min(
            int((free[name] + TOLERANCE) / spec[name]) for name in RESOURCES if spec[name] > 0
        )
