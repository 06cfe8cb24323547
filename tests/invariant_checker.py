"""The judge of PROTOCOL's rules in a simulated region; tested itself in tests/test_judge.py."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from crossmill.cluster import keys
from crossmill.net.server import Response
from crossmill.wire.checks import load_object

from .simulated_worker import Worker

if TYPE_CHECKING:
    from .simulated_region import Region


@dataclass
class JobFacts:
    spec: dict[str, Any]
    run_s: float | None
    submitted: float
    accepted: float | None = None
    cancellation_requested: bool = False
    cancelled: float | None = None
    done: float | None = None
    finished: set[int] = field(default_factory=set)

    def dependencies(self) -> list[str]:
        """The jobs that it names."""
        return list(self.spec.get("awaits") or [])


class InvariantChecker:
    """PROTOCOL's rules, looked at on every start and every half second. Of its own it asks that
    each task on a machine is in a durable plan: it is started from one, and its row goes only
    when it is proved over.
    """

    def __init__(self, region: "Region") -> None:
        self._region = region
        self.jobs: dict[str, JobFacts] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.late_starts = 0
        self.violations: list[str] = []

    def report_violation(self, what: str) -> None:
        self.violations.append(f"{self._region.clock.now():.2f} {what}")

    def check_start(self, worker: Worker, key: tuple[str, int]) -> None:
        now, facts = self._region.clock.now(), self.jobs[key[0]]
        self.starts.append((now, *key, worker.machine))
        self._check_order(key[0])
        for other in self._region.workers.values():
            task = other.tasks.get(key)
            alive = (
                other is not worker and other.lease_renewed_at + self._region.worker_lease_s >= now
            )
            if alive and task is not None and task.state != "exited":
                self.report_violation(f"ran_twice {key} {worker.machine} {other.machine}")
        if facts.cancelled is not None:
            self.late_starts += 1
        self.check()

    def _check_order(self, job: str) -> None:
        """A task starts only when all jobs that its job needs are done."""
        self.check()
        for need in self.jobs[job].dependencies():
            before = self.jobs[need]
            if len(before.finished) < before.spec["sacks"]:
                self.report_violation(f"too_early {job} before {need}")

    def _before(self, job: str) -> set[str]:
        """All jobs that this one needs, directly or through others."""
        found: set[str] = set()
        pending = [job]
        while pending:
            for need in self.jobs[pending.pop()].dependencies():
                if need not in found:
                    found.add(need)
                    pending.append(need)
        return found

    def _check_orphans(self, job: str, stage: str, asked_at: float) -> None:
        """A job is not called queued or running long after one before it was cancelled."""
        for before in self._before(job):
            confirmed = self.jobs[before].cancelled
            late = (
                confirmed is not None
                and asked_at - confirmed > self._region.cancellation_deadline_s
            )
            if late and stage in ("queued", "running"):
                self.report_violation(f"orphaned {job}: {stage}, {before} is cancelled")

    def check(self) -> None:
        now, region = self._region.clock.now(), self._region
        used: dict[str, float] = {}
        for worker in region.workers.values():
            if worker.is_terminated or worker.lease_renewed_at + region.worker_lease_s < now:
                continue
            for (job, index), task in worker.tasks.items():
                facts = self.jobs[job]
                if task.state == "exited":
                    if task.cause == "done":
                        facts.finished.add(index)
                    continue
                team = facts.spec["crew"]
                used[team] = used.get(team, 0.0) + facts.spec["cards"]
                over = (
                    facts.cancelled is not None
                    and now - facts.cancelled > region.cancellation_deadline_s
                )
                if over:
                    self.report_violation(f"ran_cancelled {job}/{index} {worker.machine}")
                if facts.spec["yard"] not in (None, worker.zone):
                    self.report_violation(f"wrong_place {job}/{index} {worker.machine}")
        self._check_unplanned()
        for node in region.nodes.values():
            for team in node.settings.teams:
                if 0 < team.gpus_max < used.get(team.name, 0.0):
                    self.report_violation(f"quota {team.name} {used[team.name]}")

    def _planned(self) -> set[tuple[str, int, int, str]]:
        """Job, task, attempt and machine of every durable row, copies of chunks included."""
        return {
            (name[len(keys.PLAN) :].rpartition("/")[0], row[0], row[1], row[2])
            for name, (value, _, _) in self._region.state.keys.items()
            if name.startswith(keys.PLAN)
            for row in value["rows"]
        }

    def _check_unplanned(self) -> None:
        """A task that runs and that no plan holds is known to nobody."""
        region, now = self._region, self._region.clock.now()
        planned = self._planned()
        for worker in region.workers.values():
            if worker.is_terminated or worker.lease_renewed_at + region.worker_lease_s < now:
                continue
            for (job, index), task in worker.tasks.items():
                row = (job, index, task.attempt, worker.machine)
                if task.state != "exited" and row not in planned:
                    self.report_violation(f"orphaned {job}/{index} {worker.machine}: in no plan")

    def check_response(self, job: str, response: Response, asked_at: float) -> None:
        """An answer arrived. It is compared with what had been told before it was asked for."""
        facts, now = self.jobs[job], self._region.clock.now()
        if response.status == 404 and facts.accepted is not None and facts.accepted < asked_at:
            self.report_violation(f"forgotten {job}")
        if response.status in (400, 422) and facts.accepted is not None:
            self.report_violation(f"forgotten {job}: {response.status}")
        if response.status not in (200, 201):
            return
        stage = load_object(response.body)["stage"]
        facts.accepted = facts.accepted if facts.accepted is not None else now
        self._check_orphans(job, stage, asked_at)
        if facts.cancelled is not None and stage != "withdrawn":
            self.report_violation(f"went_back {job}: {stage} after withdrawn")
        if facts.done is not None and stage != "done":
            self.report_violation(f"went_back {job}: {stage} after done")
        if stage == "withdrawn":
            asked = any(self.jobs[x].cancellation_requested for x in (job, *self._before(job)))
            if not asked:
                self.report_violation(f"went_back {job}: nobody cancelled it")
            facts.cancelled = facts.cancelled if facts.cancelled is not None else now
        elif stage == "done":
            self.check()
            if len(facts.finished) < facts.spec["sacks"]:
                self.report_violation(f"not_done {job}: {len(facts.finished)}")
            facts.done = facts.done if facts.done is not None else now
