"""Checks of PROTOCOL's rules in a simulated region.

`Region` runs the checker every half second and at every start of a task; each response to a user
is passed to it. tests/test_invariant_checker.py plants a violation of each rule.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from crossmill.cluster import keys
from crossmill.net.server import Response
from crossmill.wire.checks import load_object

from .progress_checker import ProgressChecker
from .simulated_worker import Worker

if TYPE_CHECKING:
    from .simulated_region import Region


@dataclass
class JobFacts:
    """A job's submission and what responses to users reported, with times of the region's clock.

    Attributes:
        spec: The fields of the submission's body.
        run_s: The run time of each task, in seconds; None for a service.
        submitted: The time at which the job was registered.
        accepted: The time at which a response first confirmed the submission or reported the job's
            state.
        is_cancellation_requested: Whether a user requested the cancellation.
        cancelled: The time at which a response first reported the job as cancelled.
        done: The time at which a response first reported the job as done.
        finished: The indexes of the tasks that are done.
    """

    spec: dict[str, Any]
    run_s: float | None
    submitted: float
    accepted: float | None = None
    is_cancellation_requested: bool = False
    cancelled: float | None = None
    done: float | None = None
    finished: set[int] = field(default_factory=set)

    def dependencies(self) -> list[str]:
        """Return the IDs of the jobs on which this job depends directly."""
        return list(self.spec.get("awaits") or [])


class InvariantChecker:
    """Collects violations of PROTOCOL's rules.

    The rule of progress has a module of its own. Three rules are the checker's own. Each running
    task has a durable planned attempt: a task is started only after its planned attempt is stored,
    and the planned attempt is removed only when the task is proved to have ended. A response that
    renews a worker's lease contains every stop of the worker's tasks that its sender knows to be
    due: no later response may come. And a worker forgets an attempt only if it refuses every start
    of it that was sent.
    """

    def __init__(self, region: "Region") -> None:
        self._region = region
        self.jobs: dict[str, JobFacts] = {}
        # starts of tasks: time in seconds, job ID, task index, machine
        self.starts: list[tuple[float, str, int, str]] = []
        self.progress = ProgressChecker(region, self.jobs, self.report_violation)
        # number of starts after the job's cancellation was confirmed
        self.late_starts = 0
        self.violations: list[str] = []

    def report_violation(self, description: str) -> None:
        """Record a violation with its time; the description begins with the rule's name."""
        self.violations.append(f"{self._region.clock.now():.2f} {description}")

    def check_start(self, worker: Worker, key: tuple[str, int]) -> None:
        """Check the start of a task on a worker; the key is the task's job ID and index."""
        now, facts = self._region.clock.now(), self.jobs[key[0]]
        self.starts.append((now, *key, worker.machine))
        self.progress.record_start(key[0])
        self._check_dependencies_done(key[0])
        for other in self._region.workers.values():
            task = other.tasks.get(key)
            is_alive = (
                other is not worker and other.lease_renewed_at + self._region.worker_lease_s >= now
            )
            if is_alive and task is not None and task.state != "exited":
                self.report_violation(f"ran_twice {key} {worker.machine} {other.machine}")
        if facts.cancelled is not None:
            self.late_starts += 1
        self.check()

    def check_forget(self, worker: Worker, task: str, attempt: int) -> None:
        """Check that a worker that forgets an attempt refuses every start of it sent so far.

        The attempt would run once more if such a start, or a copy of it, arrived later.
        """
        if worker.can_execute_start(task, attempt):
            self.report_violation(f"start_outlives_forget {task} {attempt} {worker.machine}")

    def _check_dependencies_done(self, job: str) -> None:
        """Check that all jobs on which the started job depends are done."""
        self.check()
        for dependency in self.jobs[job].dependencies():
            facts = self.jobs[dependency]
            if len(facts.finished) < facts.spec["sacks"]:
                self.report_violation(f"too_early {job} before {dependency}")

    def all_dependencies(self, job: str) -> set[str]:
        """Return the IDs of all direct and transitive dependencies of the job."""
        found: set[str] = set()
        pending = [job]
        while pending:
            for dependency in self.jobs[pending.pop()].dependencies():
                if dependency not in found:
                    found.add(dependency)
                    pending.append(dependency)
        return found

    def _check_cancelled_dependencies(self, job: str, stage: str, requested_at: float) -> None:
        """Check that no job is shown as queued or running long after a dependency was cancelled."""
        for dependency in self.all_dependencies(job):
            confirmed = self.jobs[dependency].cancelled
            is_overdue = (
                confirmed is not None
                and requested_at - confirmed > self._region.cancellation_deadline_s
            )
            if is_overdue and stage in ("queued", "running"):
                self.report_violation(f"orphaned {job}: {stage}, {dependency} is cancelled")

    def check(self) -> None:
        """Check the tasks on all workers and the teams' quotas."""
        gpus_used: Counter[str] = Counter()
        for worker in self._region.live_workers():
            for (job, index), task in worker.tasks.items():
                facts = self.jobs[job]
                if task.state != "exited":
                    gpus_used[facts.spec["crew"]] += facts.spec["cards"]
                    self._check_running(facts, f"{job}/{index}", worker)
                elif task.cause == "done":
                    facts.finished.add(index)
        self._check_unplanned()
        self._check_quotas(gpus_used)

    def _check_running(self, facts: JobFacts, task: str, worker: Worker) -> None:
        now, deadline_s = self._region.clock.now(), self._region.cancellation_deadline_s
        if facts.cancelled is not None and now - facts.cancelled > deadline_s:
            self.report_violation(f"ran_cancelled {task} {worker.machine}")
        if facts.spec["yard"] not in (None, worker.zone):
            self.report_violation(f"wrong_place {task} {worker.machine}")

    def _check_quotas(self, gpus_used: Counter[str]) -> None:
        for node in self._region.nodes.values():
            for team in node.settings.teams:
                if 0 < team.gpus_max < gpus_used[team.name]:
                    self.report_violation(f"quota {team.name} {gpus_used[team.name]}")

    def _planned_attempts(self) -> set[tuple[str, int, int, str]]:
        """Return job, task index, attempt and machine of every durable planned attempt."""
        return {
            (name[len(keys.PLAN) :].rpartition("/")[0], row[0], row[1], row[2])
            for name, (value, _, _) in self._region.state.keys.items()
            if name.startswith(keys.PLAN)
            for row in value["rows"]
        }

    def unplanned_tasks(self) -> Iterator[str]:
        """Describe the running tasks without a durable planned attempt.

        Controllers do not know of such a task.
        """
        planned = self._planned_attempts()
        for worker in self._region.live_workers():
            for (job, index), task in worker.tasks.items():
                attempt = (job, index, task.attempt, worker.machine)
                if task.state != "exited" and attempt not in planned:
                    yield f"{job}/{index} {worker.machine}: in no plan"

    def omitted_stops(self, label: str, heartbeat: bytes, response: bytes) -> list[str]:
        """Return the running tasks of a heartbeat that its response should stop and does not.

        Called at the moment of the response: what counts is what the controller knows then.
        """
        body = load_object(heartbeat)
        stopped = {
            (order["sack"], order["turn"])
            for order in load_object(response)["orders"]
            if order["verb"] == "kill"
        }
        return [
            task["sack"]
            for task in body["sacks"]
            if task["stage"] != "exited"
            and (task["sack"], task["turn"]) not in stopped
            and self._is_known_to_have_ended(label, body["stone"], task["sack"])
        ]

    def _is_known_to_have_ended(self, label: str, machine_id: str, task: str) -> bool:
        """Return whether the controller knows that the task's job has ended.

        For a machine that it only keeps alive, an announced cancellation counts as an end.
        """
        node, job_id = self._region.nodes[label], task.rpartition("/")[0]
        job = node.cluster.jobs.get(job_id)
        if job is not None and job.has_ended:
            return True
        shard = node.cluster.machines[machine_id].shard
        is_owner = node.membership.heartbeat_authority(shard) is not None
        return not is_owner and node.partition_protocol.keepalive.has_ended(job_id)

    def check_lease_renewal(self, worker: Worker, label: str, omitted_stops: list[str]) -> None:
        """Check a response that renewed a worker's lease: every stop known to be due is in it."""
        for task in omitted_stops:
            self.report_violation(f"stop_omitted {task} {worker.machine} by {label}")

    def _check_unplanned(self) -> None:
        for description in self.unplanned_tasks():
            self.report_violation(f"orphaned {description}")

    def check_response(self, job: str, response: Response, requested_at: float) -> None:
        """Compare a response with the responses that users got before they sent the request."""
        facts, now = self.jobs[job], self._region.clock.now()
        if response.status == 404 and facts.accepted is not None and facts.accepted < requested_at:
            self.report_violation(f"forgotten {job}")
        if response.status in (400, 422) and facts.accepted is not None:
            self.report_violation(f"forgotten {job}: {response.status}")
        if response.status not in (200, 201):
            return
        stage = load_object(response.body)["stage"]
        facts.accepted = facts.accepted if facts.accepted is not None else now
        self._check_cancelled_dependencies(job, stage, requested_at)
        if facts.cancelled is not None and stage != "withdrawn":
            self.report_violation(f"went_back {job}: {stage} after withdrawn")
        if facts.done is not None and stage != "done":
            self.report_violation(f"went_back {job}: {stage} after done")
        if stage == "withdrawn":
            is_requested = any(
                self.jobs[x].is_cancellation_requested for x in (job, *self.all_dependencies(job))
            )
            if not is_requested:
                self.report_violation(f"went_back {job}: no user cancelled it")
            facts.cancelled = facts.cancelled if facts.cancelled is not None else now
        elif stage == "done":
            self.check()
            if len(facts.finished) < facts.spec["sacks"]:
                self.report_violation(f"not_done {job}: {len(facts.finished)}")
            facts.done = facts.done if facts.done is not None else now
