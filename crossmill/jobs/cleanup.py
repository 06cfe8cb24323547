"""What is written about jobs that have ended: records brought into line, plans cleared away, notes
deleted, and records archived.
"""

from collections.abc import Iterator

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import ACTIVE, CANCELLED, Job
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_archived, encode_end
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import WriteIntent, WriteRank
from ..wire.state import Put, Txn
from .shard_writes import shard_intent


class Cleanup:
    """Each round's writes for the ended jobs of a shard, bounded in number."""

    def __init__(
        self, settings: Settings, clock: Clock, cluster: ClusterState, membership: Membership
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership

    def intents(self, shard: int, ownership: ShardOwnership) -> list[WriteIntent]:
        """All that is due for the shard's ended jobs."""
        most = self._cluster.limits.txn_ops
        txns = [
            *self._record_cancelled(shard)[:most],
            *self._clear_plans(shard, most),
            *self._forget_notes(shard)[:most],
            *self._archive(shard),
        ]
        return [
            shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
            for txn in txns
        ]

    def _record_cancelled(self, shard: int) -> list[Txn]:
        """Jobs cancelled with one that they need: their records follow within the write rate."""
        txns: list[Txn] = []
        for job in list(self._cluster.jobs.unrecorded_cancellations[shard].values()):
            if job.spec is not None:
                key = keys.job(job.id)
                most_bytes = self._cluster.limits.record_bytes
                value = encode_end(CANCELLED, job.spec, self._clock.wall(), most_bytes)
                txns.append(Txn({key: job.version}, [Put(key, value)]))
        return txns

    def _clear_plans(self, shard: int, most: int) -> list[Txn]:
        """An ended job's plan goes once nothing of it can be on a machine."""
        txns: list[Txn] = []
        for job in list(self._cluster.jobs.ended[shard].values()):
            for name, version in self._clearable(job):
                if len(txns) >= most:
                    return txns
                key = keys.plan(job.id, name)
                txns.append(Txn({key: version}, [], [key]))
        return txns

    def _clearable(self, job: Job) -> Iterator[tuple[str, int]]:
        """Chunks with no task on a machine. Copies of a chunk go before it: its deletion would
        put them in force.
        """
        layout = self._cluster.layout
        copied: set[str] = set()
        for name, copy in job.staged.items():
            legacy = layout.legacy_of(copy.first).name
            copied.add(legacy)
            if not job.chunks[legacy].attempts:
                yield name, copy.version
        for name, chunk in job.chunks.items():
            if not chunk.attempts and name not in copied:
                yield name, chunk.version

    def _forget_notes(self, shard: int) -> list[Txn]:
        """Notes of jobs that have ended, or whose users have long given up cancelling them."""
        txns: list[Txn] = []
        for job_id, note in self._cluster.cancellation_notes.items():
            job = self._cluster.jobs.get(job_id)
            if (job.shard if job is not None else 0) != shard:
                continue
            if (
                job is None
                or job.end != ACTIVE
                or self._clock.wall() - note.written_at > self._settings.cancellation_note_ttl_s
            ):
                key = keys.cancellation_note(job_id)
                txns.append(Txn({key: note.version}, [], [key]))
        return txns

    def _archive(self, shard: int) -> list[Txn]:
        """What has long been over leaves memory, watch and start, but is never forgotten. Each
        archiving raises a counter that accepting a job with dependencies rests on.
        """
        over = self._cluster.jobs.archivable[shard]
        excess = len(over) - self._settings.max_ended_jobs
        if excess <= 0:
            return []
        mirror = self._cluster.mirror
        counter = mirror.value(keys.ARCHIVINGS) or {"n": 0}
        txn = Txn({keys.ARCHIVINGS: mirror.version(keys.ARCHIVINGS)})
        txn.puts.append(Put(keys.ARCHIVINGS, {"n": counter["n"] + 1}))
        most = max(1, (self._cluster.limits.txn_ops - 1) // 2)
        for job in over.values():
            if len(txn.deletes) >= min(most, excess):
                break
            if self._is_archivable(job):
                key = keys.job(job.id)
                txn.conditions[key] = job.version
                txn.puts.append(Put(keys.archived(job.id), encode_archived(job)))
                txn.deletes.append(key)
        return [txn] if txn.deletes else []

    def _is_archivable(self, job: Job) -> bool:
        """Its record says how it ended, and rests on no other, nor another on it. Every job
        that names it was accepted while it was unfinished, so before its last revision: only
        once all up to that has been seen are all such jobs known.
        """
        return (
            job.spec is not None
            and not job.chunks
            and not job.staged
            and job.recorded == job.end
            and job.version <= self._cluster.mirror.revision
            and not self._cluster.jobs.graph.is_depended_on(job.id)
        )
