"""The task outcomes that a scheduling round writes, and what is learnt from them.

All outcomes of one plan chunk are combined into a single write. When more chunks have outcomes than
this controller's share of the write rate allows per round, urgent chunks are written first, and the
others collect more outcomes until a later round. The scheduling loop calls the recorder in each
round; it owns no state.
"""

import logging
from collections.abc import Mapping

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import ACTIVE, Job, PlanChunk
from ..cluster.ownership import ShardOwnership
from ..state.writer import Writer
from ..wire.workers import TaskKey
from ..workers.attempt_outcomes import AttemptOutcome, EndReason
from .context import SchedulingContext
from .failures import TaskFailures
from .plan_writer import PlanEdits, get_or_create_edit

log = logging.getLogger(__name__)


class ChunkOutcomes:
    """The proved outcomes of one plan chunk's tasks, which are written together."""

    __slots__ = ("chunk", "job", "name", "outcomes")

    def __init__(
        self, job: Job, name: str, chunk: PlanChunk, outcomes: list[AttemptOutcome] | None = None
    ) -> None:
        self.job = job
        self.name = name
        self.chunk = chunk
        self.outcomes = outcomes if outcomes is not None else []

    @property
    def is_urgent(self) -> bool:
        """Whether a task has to be placed again, or the chunk's last attempts have ended."""
        if self.job.end != ACTIVE:
            return False
        ends_all_attempts = len(self.outcomes) == len(self.chunk.attempts)
        return ends_all_attempts or any(
            outcome.reason != EndReason.DONE for outcome in self.outcomes
        )


def collect_outcomes(
    cluster: ClusterState, outcomes: Mapping[TaskKey, AttemptOutcome], shard: int, term: int
) -> list[ChunkOutcomes]:
    """Return the outcomes proved in the owner's current term by chunk, oldest first.

    The shard is that of the machines: their owner records the ends of all attempts on them, also
    those of other shards' jobs.
    """
    batches: dict[tuple[str, str], ChunkOutcomes] = {}
    for (job_id, index), outcome in outcomes.items():
        job = cluster.jobs.get(job_id)
        if job is None or outcome.term != term:
            continue
        if cluster.machines.commanding_shard(outcome.attempt) != shard:
            continue
        name = cluster.layout.chunk_of(index, job.chunks).name
        chunk = job.chunks.get(name)
        if chunk is not None and chunk.attempts.get(index) == outcome.attempt:
            batch = batches.setdefault((job_id, name), ChunkOutcomes(job, name, chunk))
            batch.outcomes.append(outcome)
    return list(batches.values())


def select_batches(batches: list[ChunkOutcomes], max_writes: int) -> list[ChunkOutcomes]:
    """Return the batches to write now, about `max_writes` of them.

    All urgent batches are selected and at least one of the others, oldest first, so that no batch
    starves.
    """
    if len(batches) <= max_writes:
        return batches
    urgent = [batch for batch in batches if batch.is_urgent]
    others = [batch for batch in batches if not batch.is_urgent]
    return urgent + others[: max(1, max_writes - len(urgent))]


class OutcomeRecorder:
    """Moves the outcomes of ended attempts into a round's edits, and updates what they tell."""

    def __init__(
        self,
        context: SchedulingContext,
        membership: Membership,
        writer: Writer,
        failures: TaskFailures,
    ) -> None:
        self._settings = context.settings
        self._cluster = context.cluster
        self._heartbeats = context.heartbeats
        self._estimates = context.forecast.estimates
        self._membership = membership
        self._writer = writer
        self._failures = failures

    def record_released(self, shard: int, ownership: ShardOwnership) -> None:
        """Record that attempts on released machines have ended.

        A machine's record is deleted only after the cloud confirmed the machine's release. The
        write of the outcome is conditional on the absence of the record.
        """
        for attempt in list(self._cluster.machines.orphaned_attempts()):
            job = self._cluster.jobs.get(attempt.job)
            if job is not None and job.shard == shard:
                preconditions = {keys.machine(attempt.machine): 0}
                outcome = AttemptOutcome(
                    attempt, EndReason.RELEASED, ownership.term, preconditions=preconditions
                )
                self._heartbeats.outcomes.record(outcome)

    def add_to_edits(self, shard: int, ownership: ShardOwnership, edits: PlanEdits) -> None:
        """Move the outcomes that this round writes into `edits`."""
        outcomes = self._heartbeats.outcomes
        batches = collect_outcomes(self._cluster, outcomes, shard, ownership.term)
        self._drop_stale_outcomes(shard, batches)
        max_writes = self._writer.writes_within(self._settings.heartbeat_interval_s)
        for batch in select_batches(batches, max_writes):
            edit = get_or_create_edit(edits, batch.job, batch.name)
            for outcome in batch.outcomes:
                del outcomes[outcome.attempt.job, outcome.attempt.index]
                self._record_outcome(batch.job, outcome)
                edit.outcomes.append(outcome)

    def _drop_stale_outcomes(self, shard: int, batches: list[ChunkOutcomes]) -> None:
        """Drop outcomes that no longer match the plan or whose shard this controller lost."""
        outcomes = self._heartbeats.outcomes
        valid = {
            (outcome.attempt.job, outcome.attempt.index)
            for batch in batches
            for outcome in batch.outcomes
        }
        for key in [key for key in outcomes if key not in valid]:
            commanding_shard = self._cluster.machines.commanding_shard(outcomes[key].attempt)
            if (
                commanding_shard is None
                or commanding_shard == shard
                or self._membership.active_ownership(commanding_shard) is None
            ):
                del outcomes[key]

    def _record_outcome(self, job: Job, outcome: AttemptOutcome) -> None:
        """Log that an attempt has ended, and update failures and run time estimates."""
        spec, attempt = job.spec, outcome.attempt
        log.info(
            "task ended job=%s task=%d attempt=%d machine=%s reason=%s",
            job.id,
            attempt.index,
            attempt.number,
            attempt.machine,
            outcome.reason.replace(" ", "-"),
        )
        if spec is None:
            return
        self._heartbeats.forget_stop(attempt)
        self._failures.record(job, outcome)
        if outcome.reason == EndReason.DONE and outcome.run_s is not None:
            self._estimates.record_run(spec.job_class, spec.estimate_s, outcome.run_s)
