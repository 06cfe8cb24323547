"""Lookup of jobs for users: directly from memory if the state is final, else after a mirror sync.

Owns no state. The handlers of submissions and cancellations also use it: the response to a repeated
submission, or to the cancellation of an ended job, comes from the same lookup as that to a poll.
"""

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job
from ..net.server import Response
from ..settings import Settings
from ..state.client import OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.watcher import StateWatcher
from ..wire import users as wire
from .availability import UserAvailability

RETRY_AFTER_S = 1
UNAVAILABLE = Response(503, wire.error_body("not now"), retry_after_s=RETRY_AFTER_S)
NO_SUCH_JOB = Response(404, wire.error_body("no such job"))


def encode_status(job: Job) -> bytes:
    """Return the status body of the job, which all controllers derive from the same records."""
    running = job.planned_task_count()
    state = job.end or ("running" if running else "queued")
    return wire.status_body(job.id, state, job.done_task_count(), 0 if job.end else running)


class JobLookup:
    """Looks up jobs for the handlers of the job API."""

    def __init__(
        self,
        settings: Settings,
        cluster: ClusterState,
        watcher: StateWatcher,
        client: StateClient,
        availability: UserAvailability,
    ) -> None:
        self._settings = settings
        self._availability = availability
        self._cluster = cluster
        self._watcher = watcher
        self._client = client

    def is_available(self) -> bool:
        """Return whether requests that need the state service can be answered."""
        return self._availability.can_answer()

    async def wait_until_current(self) -> bool:
        """Wait until the mirror includes every write that was durable at the call.

        After that, no response contradicts an earlier response of another controller. Returns
        False on a timeout, and immediately if `is_available` is false.
        """
        return self.is_available() and await self._watcher.sync(self._settings.submission_timeout_s)

    def ended_job(self, job_id: str) -> Job | None:
        """Return the job if it has ended; the state of an ended job never changes."""
        job = self._cluster.jobs.get(job_id)
        return job if job is not None and job.has_record and job.has_ended else None

    def recorded_job(self, job_id: str) -> Job | None:
        """Return the job if the mirror has its record: accepted and not archived."""
        job = self._cluster.jobs.get(job_id)
        return job if job is not None and job.spec is not None else None

    async def status_response(self, job_id: str) -> Response:
        """Return the response to a poll or to a repeated submission."""
        if not wire.is_job_id(job_id):
            return NO_SUCH_JOB
        job = self.ended_job(job_id)
        if job is None:
            if not await self.wait_until_current():
                return UNAVAILABLE
            job = self.recorded_job(job_id)
        if job is None:
            return await self.archived_status_response(job_id)
        return Response(200, encode_status(job))

    async def archived_status_response(self, job_id: str) -> Response:
        """Return the response for a job without a record, from the archive if it has the job."""
        try:
            record = await self._client.get(keys.archived(job_id))
        except (RequestRefusedError, OutcomeUnknownError):
            return UNAVAILABLE
        if record is None:
            return NO_SUCH_JOB
        return Response(200, wire.status_body(job_id, record.value["end"], record.value["done"]))
