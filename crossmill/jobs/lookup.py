"""What users are told of a job: from memory where that is final, else shown to be current."""

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
    """The job's state as every controller derives it from the same records."""
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
        """Whether the state service can be asked. In an outage users are refused at once:
        nobody's answer could be shown to be current.
        """
        is_down = self._client.down_for_s() > self._settings.lease_renewal_interval_s / 2
        return self._watcher.ready.is_set() and not is_down

    async def is_current(self) -> bool:
        """Whether the mirror holds all that anybody can have been told by now."""
        return self.is_served() and await self._watcher.sync(self._settings.submission_timeout_s)

    def final(self, job_id: str) -> Job | None:
        """The job, if it has ended for good."""
        job = self._cluster.jobs.get(job_id)
        return job if job is not None and job.has_record and job.has_ended else None

    def known(self, job_id: str) -> Job | None:
        """The job, if it is accepted and not archived."""
        job = self._cluster.jobs.get(job_id)
        return job if job is not None and job.spec is not None else None

    async def show(self, job_id: str) -> Response:
        """The answer to a poll, or to a repeated submission."""
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
        """A job that is not at hand: long over, or never accepted."""
        try:
            row = await self._client.get(keys.archived(job_id))
        except (RequestRefusedError, OutcomeUnknownError):
            return NOT_NOW
        if row is None:
            return NO_SUCH_JOB
        return Response(200, wire.status_body(job_id, row.value["end"], row.value["done"]))
