"""Which outcomes of tasks a round makes durable.

Outcomes of a chunk are one write however many they are. When more chunks have news than this
controller's share of the write rate takes in a moment, those that others wait for go first, and
the rest gather more outcomes until a later round.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..cluster.cluster_state import ClusterState
from ..cluster.model import ACTIVE, Job, PlanChunk
from ..wire.workers import TaskKey
from ..workers.attempt_outcomes import AttemptOutcome, EndReason


@dataclass(slots=True, eq=False)
class ChunkNews:
    """The outcomes found for the tasks of one chunk."""

    job: Job
    name: str
    chunk: PlanChunk
    outcomes: list[AttemptOutcome] = field(default_factory=list)

    @property
    def is_urgent(self) -> bool:
        """Whether a task has to be placed again, or the chunk's last tasks are over."""
        if self.job.end != ACTIVE:
            return False
        is_last = len(self.outcomes) == len(self.chunk.attempts)
        return is_last or any(outcome.reason != EndReason.DONE for outcome in self.outcomes)


def collect(
    cluster: ClusterState, outcomes: Mapping[TaskKey, AttemptOutcome], shard: int, term: int
) -> list[ChunkNews]:
    """The news of the shard's chunks found in the owner's present term, oldest first."""
    news: dict[tuple[str, str], ChunkNews] = {}
    for (job_id, index), outcome in outcomes.items():
        job = cluster.jobs.get(job_id)
        if job is None or job.shard != shard or outcome.term != term:
            continue
        name = cluster.layout.chunk_of(index, job.chunks).name
        chunk = job.chunks.get(name)
        if chunk is not None and chunk.attempts.get(index) == outcome.attempt:
            entry = news.setdefault((job_id, name), ChunkNews(job, name, chunk))
            entry.outcomes.append(outcome)
    return list(news.values())


def select(news: list[ChunkNews], most: int) -> list[ChunkNews]:
    """About as many as may be written now: all that are urgent, and at least one of the others,
    the oldest first, so that none waits for ever.
    """
    if len(news) <= most:
        return news
    urgent = [entry for entry in news if entry.is_urgent]
    others = [entry for entry in news if not entry.is_urgent]
    return urgent + others[: max(1, most - len(urgent))]
