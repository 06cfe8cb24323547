"""Handler of requests to cancel a job.

A cancellation is confirmed only once no task of the job can start any more. The handler writes only
the job's record. Every controller derives from it that all jobs that depend on the job are
cancelled too, however many there are (cluster/dependencies.py). Called by the job API; owns no
state.
"""

import logging

from ..cluster import keys
from ..cluster.cancellation_announcement import CancellationAnnouncement
from ..cluster.model import ACTIVE, CANCELLED, Job
from ..cluster.records import encode_end
from ..net.server import Response
from ..state.writer import WriteIntent, WriteRank, WriteResult
from ..wire import users as wire
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from .context import JobRequestContext
from .lookup import NO_SUCH_JOB, UNAVAILABLE

log = logging.getLogger(__name__)

# maximum attempts at a cancellation if a precondition of its write changes
MAX_ATTEMPTS = 3


class CancellationHandler:
    """Handles requests to cancel a job."""

    def __init__(self, context: JobRequestContext, announcement: CancellationAnnouncement) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._writer = context.writer
        self._lookup = context.lookup
        self._announcement = announcement

    async def handle(self, job_id: str) -> Response:
        """Return the response to one request to cancel the job."""
        if not wire.is_job_id(job_id):
            return NO_SUCH_JOB
        for _ in range(MAX_ATTEMPTS):
            response = await self._try_to_cancel(job_id)
            if response is not None:
                return response
        return UNAVAILABLE

    async def _try_to_cancel(self, job_id: str) -> Response | None:
        """Return the response, or None if the job has changed and the caller should retry."""
        job = self._lookup.ended_job(job_id)
        if job is not None:
            return Response(200, wire.status_body(job_id, job.end))
        if not await self._lookup.wait_until_current():
            return UNAVAILABLE
        job = self._lookup.recorded_job(job_id)
        if job is None:
            return await self._lookup.archived_status_response(job_id)
        if job.end != ACTIVE or job.spec is None:
            return None
        return await self._cancel(job, job.spec)

    async def _cancel(self, job: Job, spec: JobSpec) -> Response | None:
        # read before the announcement: if the job ends during it, the write must fail
        version = job.version
        preconditions = await self._preconditions(job)
        if preconditions is None:
            return UNAVAILABLE
        if not await self._commit(job.id, spec, {keys.job(job.id): version, **preconditions}):
            return None
        revision = self._cluster.mirror.version(keys.job(job.id))
        log.info("job cancelled job=%s revision=%d", job.id, revision)
        return Response(200, wire.status_body(job.id, CANCELLED))

    async def _preconditions(self, job: Job) -> dict[str, int] | None:
        """Return the key versions that the write requires, or None if it can't be confirmed yet."""
        dependency = next(self._cluster.jobs.graph.unfinished_dependencies(job), None)
        if dependency is not None:
            # the job has no tasks and gets none until the dependency's record changes
            return {keys.job(dependency.id): dependency.version}
        # read before the announcement: the plan must not change during it
        zones, plan_versions = self._affected_zones(job), self._versions_of_planned_chunks(job)
        if len(plan_versions) > self._cluster.limits.max_machines_per_txn:
            zones.update(self._settings.zones)
        version = job.version
        preconditions = await self._announcement.announce(job.id, zones)
        if preconditions is None:
            await self._write_note(job.id, version)
            return None
        if not zones.issuperset(self._settings.zones):
            # the other zones are not notified, so the write must fail if a task has moved there
            preconditions |= plan_versions
        return preconditions

    def _versions_of_planned_chunks(self, job: Job) -> dict[str, int]:
        """Return the versions of the chunks with planned attempts, by plan key.

        If no task of the job is waiting, the other chunks contain only finished tasks.
        """
        return {
            keys.plan(job.id, name): chunk.version
            for name, chunk in job.chunks.items()
            if chunk.attempts
        }

    async def _write_note(self, job_id: str, version: int) -> None:
        """Write a cancellation note for the controllers that the announcement did not reach.

        They read the note through the state service and confirm it in their own keys. A later
        cancellation request of the user finds the confirmations.
        """
        if job_id in self._cluster.cancellation_notes:
            return
        note = keys.cancellation_note(job_id)
        put = Put(note, {"at": self._clock.wall_time()})
        txn = Txn({keys.job(job_id): version, note: 0}, [put])
        await self._writer.submit(
            WriteIntent(txn, WriteRank.URGENT, send_deadline=self._deadline())
        )

    async def _commit(self, job_id: str, spec: JobSpec, conditions: dict[str, int]) -> bool:
        max_bytes = self._cluster.limits.max_record_bytes
        record = encode_end(CANCELLED, spec, self._clock.wall_time(), max_bytes)
        txn = Txn(conditions, [Put(keys.job(job_id), record)])
        intent = WriteIntent(txn, WriteRank.URGENT, send_deadline=self._deadline())
        await self._writer.submit(intent)
        result = await intent.future.wait(self._settings.submission_timeout_s)
        return bool(result == WriteResult.OK)

    def _deadline(self) -> float:
        return self._clock.now() + self._settings.submission_timeout_s

    def _affected_zones(self, job: Job) -> set[str]:
        """Return the zones where the job's tasks run or may start before its end is durable."""
        zones = {
            zone
            for zone, task_count in self._cluster.machines.task_counts_by_zone(job).items()
            if task_count
        }
        if any(attempt.machine not in self._cluster.machines for attempt in job.attempts()):
            zones.update(self._settings.zones)
        if job.waiting_task_count() and job.spec is not None:
            zones.update((job.spec.zone,) if job.spec.zone else self._settings.zones)
        return zones
