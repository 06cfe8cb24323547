"""Resolution of the jobs that a submission names as its dependencies.

Called by the submission handler. Owns a bounded cache of the ends of archived jobs.
"""

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.model import CANCELLED, DONE, Job
from ..state.client import OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.mirror import Mirror

# archived jobs whose ends are cached; they never change
MAX_CACHED_ENDS = 1000


class DependencyError(Exception):
    """A submission's dependencies could not be resolved; base of the errors of this module."""


class DependencyRefusedError(DependencyError):
    """The submission can never be accepted; the text tells the user why."""


class DependencyUnknownError(DependencyError):
    """It is unknown at present whether a job that is named was accepted; a retry may succeed."""


class Dependencies:
    """The state of the jobs that a submission names."""

    __slots__ = ("is_cancelled", "unfinished")

    def __init__(self) -> None:
        # by job id, the version at which the record was seen to be unfinished
        self.unfinished: dict[str, int] = {}
        # whether one of the jobs was cancelled, and with it the job that is submitted
        self.is_cancelled = False


class DependencyCheck:
    """Resolves dependencies from the mirror or, where it lacks a record, from the state service.

    There the job's key is read first and the archive second, in the order in which a record
    moves, so that none is missed.
    """

    def __init__(self, cluster: ClusterState, mirror: Mirror, client: StateClient) -> None:
        self._cluster = cluster
        self._mirror = mirror
        self._client = client
        self._archived_ends: dict[str, str] = {}

    async def resolve(self, job_id: str, dependency_ids: tuple[str, ...]) -> Dependencies:
        """Returns the state of the dependencies of the job.

        Raises:
            DependencyRefusedError: A job that is named can't be waited for.
            DependencyUnknownError: The state service did not answer.
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
        """Reads the job's record from the state service into the mirror."""
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
