"""Reads of jobs for users: from memory if the state is final, otherwise after a current read.

Owns no state. The handlers of submissions and cancellations use it too: a repeated submission and
a cancellation of a job that has ended are answered like a poll.
"""

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.model import Job
from ..net.server import Response
from ..settings import Settings
from ..state.client import OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.watcher import StateWatcher
from ..wire import users as wire

RETRY_AFTER_S = 1
NOT_NOW = Response(503, wire.error_body("not now"), retry_after_s=RETRY_AFTER_S)
NO_SUCH_JOB = Response(404, wire.error_body("no such job"))


def status_of(job: Job) -> bytes:
    """Returns the body with the job's state, which all controllers derive from the same records."""
    running = job.planned_task_count()
    state = job.end or ("running" if running else "queued")
    return wire.status_body(job.id, state, job.done_task_count(), 0 if job.end else running)


class JobLookup:
    """Reads jobs for the handlers of the users' interface."""

    def __init__(
        self, settings: Settings, cluster: ClusterState, watcher: StateWatcher, client: StateClient
    ) -> None:
        self._settings = settings
        self._cluster = cluster
        self._watcher = watcher
        self._client = client

    def is_served(self) -> bool:
        """Whether the mirror is loaded and the state service answers.

        During an outage users are refused at once, since no response could be shown to be current.
        """
        is_down = self._client.outage_duration_s() > self._settings.lease_renewal_interval_s / 2
        return self._watcher.ready.is_set() and not is_down

    async def is_current(self) -> bool:
        """Waits until the mirror has everything that was durable at the call; false on a timeout.

        After that, no response contradicts one that another controller has given before.
        """
        return self.is_served() and await self._watcher.sync(self._settings.submission_timeout_s)

    def final(self, job_id: str) -> Job | None:
        """Returns the job if it has ended; such a state never changes again."""
        job = self._cluster.jobs.get(job_id)
        return job if job is not None and job.has_record and job.has_ended else None

    def known(self, job_id: str) -> Job | None:
        """Returns the job if the mirror has its record: accepted and not archived."""
        job = self._cluster.jobs.get(job_id)
        return job if job is not None and job.spec is not None else None

    async def show(self, job_id: str) -> Response:
        """Returns the response to a poll or to a repeated submission."""
        if not wire.is_job_id(job_id):
            return NO_SUCH_JOB
        job = self.final(job_id)
        if job is None:
            if not await self.is_current():
                return NOT_NOW
            job = self.known(job_id)
        if job is None:
            return await self.archived(job_id)
        return Response(200, status_of(job))

    async def archived(self, job_id: str) -> Response:
        """Returns the response for a job without a record, from the archive if it has the job."""
        try:
            record = await self._client.get(keys.archived(job_id))
        except (RequestRefusedError, OutcomeUnknownError):
            return NOT_NOW
        if record is None:
            return NO_SUCH_JOB
        return Response(200, wire.status_body(job_id, record.value["end"], record.value["done"]))
