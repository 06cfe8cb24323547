"""Selection of the task outcomes that a scheduling round writes.

All outcomes of one plan chunk are combined into a single write. When more chunks have outcomes than
this controller's share of the write rate allows per round, urgent chunks are written first, and the
others collect more outcomes until a later round. Pure functions, called by the scheduling loop.
"""

from collections.abc import Mapping

from ..cluster.cluster_state import ClusterState
from ..cluster.model import ACTIVE, Job, PlanChunk
from ..wire.workers import TaskKey
from ..workers.attempt_outcomes import AttemptOutcome, EndReason


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
    """Return the outcomes proved in the owner's current term by chunk, oldest first."""
    batches: dict[tuple[str, str], ChunkOutcomes] = {}
    for (job_id, index), outcome in outcomes.items():
        job = cluster.jobs.get(job_id)
        if job is None or job.shard != shard or outcome.term != term:
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
