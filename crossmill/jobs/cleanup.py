"""Cleanup of the stored state of ended jobs, done by the owner of their shard.

The cleanup writes the records of cancelled dependents, deletes plan chunks without attempts,
deletes cancellation notes and archives old records. Called by the scheduling loop in each round;
owns no state.
"""

from collections.abc import Iterator

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import ACTIVE, CANCELLED, CancellationNote, Job
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_archived, encode_end
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn


class EndedJobCleanup:
    """Creates each round's writes for a shard's ended jobs, bounded in number."""

    def __init__(
        self, settings: Settings, clock: Clock, cluster: ClusterState, membership: Membership
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership

    def intents(self, shard: int, ownership: ShardOwnership) -> list[WriteIntent]:
        """Return the writes that are due for the shard's ended jobs."""
        max_txns = self._cluster.limits.txn_ops
        txns = [
            *self._record_cancellations(shard)[:max_txns],
            *self._delete_plans(shard, max_txns),
            *self._delete_notes(shard)[:max_txns],
            *self._archive(shard),
        ]
        return [
            shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
            for txn in txns
        ]

    def _record_cancellations(self, shard: int) -> list[Txn]:
        """Return the writes that record jobs as cancelled because a dependency was cancelled."""
        txns: list[Txn] = []
        for job in list(self._cluster.jobs.unrecorded_cancellations[shard].values()):
            if job.spec is not None:
                key = keys.job(job.id)
                max_bytes = self._cluster.limits.max_record_bytes
                value = encode_end(CANCELLED, job.spec, self._clock.wall_time(), max_bytes)
                txns.append(Txn({key: job.version}, [Put(key, value)]))
        return txns

    def _delete_plans(self, shard: int, max_txns: int) -> list[Txn]:
        """Return the deletions of ended jobs' plan chunks that have no attempts left."""
        txns: list[Txn] = []
        for job in list(self._cluster.jobs.ended[shard].values()):
            for name, version in self._deletable_chunks(job):
                if len(txns) >= max_txns:
                    return txns
                key = keys.plan(job.id, name)
                txns.append(Txn({key: version}, [], [key]))
        return txns

    def _deletable_chunks(self, job: Job) -> Iterator[tuple[str, int]]:
        """Yield names and versions of the job's chunks without attempts.

        The staged copies of a legacy chunk are deleted before the chunk itself, because its
        deletion would make them effective.
        """
        layout = self._cluster.layout
        copied: set[str] = set()
        for name, copy in job.staged.items():
            legacy = layout.legacy_chunk_of(copy.first_task).name
            copied.add(legacy)
            if not job.chunks[legacy].attempts:
                yield name, copy.version
        for name, chunk in job.chunks.items():
            if not chunk.attempts and name not in copied:
                yield name, chunk.version

    def _delete_notes(self, shard: int) -> list[Txn]:
        """Return the deletions of cancellation notes of ended jobs and of expired notes."""
        txns: list[Txn] = []
        for job_id, note in self._cluster.cancellation_notes.items():
            job = self._cluster.jobs.get(job_id)
            # the owner of the first shard deletes the notes of unknown jobs
            if (job.shard if job is not None else 0) != shard:
                continue
            if job is None or job.end != ACTIVE or self._is_expired(note):
                key = keys.cancellation_note(job_id)
                txns.append(Txn({key: note.version}, [], [key]))
        return txns

    def _is_expired(self, note: CancellationNote) -> bool:
        age_s = self._clock.wall_time() - note.written_at
        return age_s > self._settings.cancellation_note_ttl_s

    def _archive(self, shard: int) -> list[Txn]:
        """Return the write that moves records of old jobs to the archive, if any is due.

        Archived records are neither kept in memory nor watched, and are never deleted. Each
        archiving write increments a counter, which is a condition of the write that accepts a job
        with many dependencies (jobs/submission.py).
        """
        archivable = self._cluster.jobs.archivable[shard]
        excess = len(archivable) - self._settings.max_ended_jobs
        if excess <= 0:
            return []
        mirror = self._cluster.mirror
        counter = mirror.value(keys.ARCHIVINGS) or {"n": 0}
        txn = Txn({keys.ARCHIVINGS: mirror.version(keys.ARCHIVINGS)})
        txn.puts.append(Put(keys.ARCHIVINGS, {"n": counter["n"] + 1}))
        max_jobs = max(1, (self._cluster.limits.txn_ops - 1) // 2)
        for job in archivable.values():
            if len(txn.deletes) >= min(max_jobs, excess):
                break
            if self._is_archivable(job):
                key = keys.job(job.id)
                txn.conditions[key] = job.version
                txn.puts.append(Put(keys.archived(job.id), encode_archived(job)))
                txn.deletes.append(key)
        return [txn] if txn.deletes else []

    def _is_archivable(self, job: Job) -> bool:
        """Return whether the job's end is recorded and no unfinished job depends on it.

        Every job that names this one as a dependency was accepted while this one was unfinished,
        hence before the last revision of this job's record. Only a mirror that has reached that
        revision includes all such jobs.
        """
        return (
            job.spec is not None
            and not job.chunks
            and not job.staged
            and job.recorded_end == job.end
            and job.version <= self._cluster.mirror.revision
            and not self._cluster.jobs.graph.is_depended_on(job.id)
        )
