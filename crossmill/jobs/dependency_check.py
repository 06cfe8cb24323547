"""Resolution of the jobs that a submission names as its dependencies.

Called by the submission handler. Owns a bounded cache of the end states of archived jobs.
"""

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.model import CANCELLED, DONE, Job
from ..state.client import OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.mirror import Mirror

# bounds the cache of archived jobs' end states; cached entries never change
MAX_CACHED_ENDS = 1000


class DependencyError(Exception):
    """The dependencies of a submission could not be resolved; base of this module's errors."""


class DependencyRefusedError(DependencyError):
    """The submission can never be accepted; the message is returned to the user."""


class DependencyUnknownError(DependencyError):
    """It can't be determined now whether a dependency was accepted; a retry may succeed."""


class Dependencies:
    """The states of the jobs that a submission depends on."""

    __slots__ = ("is_cancelled", "unfinished")

    def __init__(self) -> None:
        # the record's version at which each unfinished dependency was read, by job ID
        self.unfinished: dict[str, int] = {}
        # whether a dependency was cancelled, which also cancels the submitted job
        self.is_cancelled = False


class DependencyCheck:
    """Resolves dependencies from the mirror or, if it lacks a record, from the state service.

    In the state service the job's key is read before the archive. Archiving moves records in that
    order, so the two reads can't miss a record.
    """

    def __init__(self, cluster: ClusterState, mirror: Mirror, client: StateClient) -> None:
        self._cluster = cluster
        self._mirror = mirror
        self._client = client
        self._archived_ends: dict[str, str] = {}

    async def resolve(self, job_id: str, dependency_ids: tuple[str, ...]) -> Dependencies:
        """Return the states of the job's dependencies.

        Raises:
            DependencyRefusedError: The job can never depend on one of them.
            DependencyUnknownError: The state service did not respond.
        """
        result = Dependencies()
        for dependency_id in dependency_ids:
            if dependency_id == job_id:
                raise DependencyRefusedError("a job can't wait for itself")
            job = self._recorded_job(dependency_id) or await self._read_job(dependency_id)
            if job is not None and job.spec is not None and job.spec.is_service:
                raise DependencyRefusedError(f"{dependency_id} is a service and is never done")
            end = job.end if job is not None else await self._archived_end(dependency_id)
            if end == CANCELLED:
                result.is_cancelled = True
            elif end != DONE and job is not None:
                result.unfinished[dependency_id] = job.version
        return result

    def _recorded_job(self, dependency_id: str) -> Job | None:
        job = self._cluster.jobs.get(dependency_id)
        return job if job is not None and job.spec is not None else None

    async def _read_job(self, dependency_id: str) -> Job | None:
        """Read the job's record from the state service into the mirror."""
        if dependency_id in self._archived_ends:
            return None
        try:
            record = await self._client.get(keys.job(dependency_id))
        except (RequestRefusedError, OutcomeUnknownError) as exc:
            raise DependencyUnknownError(dependency_id) from exc
        if record is not None:
            self._mirror.merge_read(record)
        return self._recorded_job(dependency_id)

    async def _archived_end(self, dependency_id: str) -> str:
        end = self._archived_ends.get(dependency_id)
        if end is not None:
            return end
        try:
            record = await self._client.get(keys.archived(dependency_id))
        except (RequestRefusedError, OutcomeUnknownError) as exc:
            raise DependencyUnknownError(dependency_id) from exc
        if record is None:
            raise DependencyRefusedError(f"{dependency_id} was never accepted")
        if len(self._archived_ends) >= MAX_CACHED_ENDS:
            self._archived_ends.pop(next(iter(self._archived_ends)))
        end = self._archived_ends[dependency_id] = str(record.value["end"])
        return end
