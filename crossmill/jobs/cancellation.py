"""Cancelling jobs."""

import logging

from ..cluster import keys
from ..cluster.cancellation_announcement import CancellationAnnouncement
from ..cluster.cluster_state import ClusterState
from ..cluster.model import ACTIVE, CANCELLED, Job
from ..cluster.records import encode_end
from ..net.clock import Clock
from ..net.server import Response
from ..settings import Settings
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire import users as wire
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from .lookup import NO_SUCH_JOB, NOT_NOW, JobLookup

log = logging.getLogger(__name__)

# how often a cancellation is begun anew when what it rested on has changed
ATTEMPTS = 3


class CancellationHandler:
    """Answers cancellations. A confirmed one rests on the job's record alone; the jobs that need
    it are cancelled by that, whatever their number (cluster/dependencies.py).
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        writer: Writer,
        announcement: CancellationAnnouncement,
        lookup: JobLookup,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._writer = writer
        self._announcement = announcement
        self._lookup = lookup

    async def handle(self, job_id: str) -> Response:
        """The answer to one request to cancel."""
        if not wire.is_job_id(job_id):
            return NO_SUCH_JOB
        for _ in range(ATTEMPTS):
            job = self._lookup.final(job_id)
            if job is not None:
                return Response(200, wire.status_body(job_id, job.end))
            if not await self._lookup.is_current():
                return NOT_NOW
            job = self._lookup.known(job_id)
            if job is None:
                return await self._lookup.archived(job_id)
            if job.end != ACTIVE or job.spec is None:
                continue
            # an end that comes while others are told has to undo the write
            version = job.version
            preconditions = await self._preconditions(job)
            if preconditions is None:
                return NOT_NOW
            if await self._commit(job.id, job.spec, {keys.job(job.id): version, **preconditions}):
                log.info("job cancelled job=%s", job_id)
                return Response(200, wire.status_body(job_id, CANCELLED))
        return NOT_NOW

    async def _preconditions(self, job: Job) -> dict[str, int] | None:
        """What the cancellation is to rest on; None if it can't be confirmed yet."""
        waits_for = next(self._cluster.jobs.graph.unfinished_dependencies(job), None)
        if waits_for is not None:
            # it has no task anywhere, and gets none before this record changes
            return {keys.job(waits_for.id): waits_for.version}
        # as of before the others are told: no task may move meanwhile
        zones, plan = self._zones(job), self._versions_with_tasks(job)
        if len(plan) > self._cluster.limits.machines_per_txn:
            zones.update(self._settings.zones)
        version = job.version
        preconditions = await self._announcement.announce(job.id, zones)
        if preconditions is None:
            await self._note(job.id, version)
            return None
        if not zones.issuperset(self._settings.zones):
            # those of other zones were not told: no task may have moved there meanwhile
            preconditions |= plan
        return preconditions

    def _versions_with_tasks(self, job: Job) -> dict[str, int]:
        """The chunks that hold tasks on machines. Where none waits, the others are done."""
        return {
            keys.plan(job.id, name): chunk.version
            for name, chunk in job.chunks.items()
            if chunk.attempts
        }

    async def _note(self, job_id: str, version: int) -> None:
        """Controllers that can't be reached read the note, and say so in their keys."""
        if job_id in self._cluster.cancellation_notes:
            return
        note = keys.cancellation_note(job_id)
        put = Put(note, {"at": self._clock.wall()})
        txn = Txn({keys.job(job_id): version, note: 0}, [put])
        await self._writer.submit(WriteIntent(txn, WriteRank.URGENT, until=self._until()))

    async def _commit(self, job_id: str, spec: JobSpec, conditions: dict[str, int]) -> bool:
        most_bytes = self._cluster.limits.record_bytes
        record = encode_end(CANCELLED, spec, self._clock.wall(), most_bytes)
        txn = Txn(conditions, [Put(keys.job(job_id), record)])
        intent = WriteIntent(txn, WriteRank.URGENT, until=self._until())
        await self._writer.submit(intent)
        outcome = await intent.future.wait(self._settings.submission_timeout_s)
        return bool(outcome == WriteResult.OK)

    def _until(self) -> float:
        return self._clock.now() + self._settings.submission_timeout_s

    def _zones(self, job: Job) -> set[str]:
        """Where tasks of the job are, or may be before its end is durable."""
        zones = {
            zone
            for zone, number in self._cluster.machines.task_counts_by_zone(job).items()
            if number
        }
        if any(attempt.machine not in self._cluster.machines for attempt in job.attempts()):
            zones.update(self._settings.zones)
        if job.waiting_task_count() and job.spec is not None:
            zones.update((job.spec.zone,) if job.spec.zone else self._settings.zones)
        return zones
