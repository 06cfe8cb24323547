"""Resolves the jobs that a submission names, wherever their records are."""

from dataclasses import dataclass, field

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.model import CANCELLED, DONE, Job
from ..state.client import OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.mirror import Mirror

# ends of archived jobs that are remembered; they never change
REMEMBERED_ENDS = 1000


class DependencyRefusedError(Exception):
    """The submission can never be accepted; the text says why."""


class DependencyUnknownError(Exception):
    """It can't be said now whether a job that is named was accepted."""


@dataclass(slots=True, eq=False)
class Dependencies:
    """What the jobs named by a submission come to."""

    # with the versions at which their records were seen to be unfinished
    unfinished: dict[str, int] = field(default_factory=dict)
    is_cancelled: bool = False


class DependencyCheck:
    """Reads what the mirror does not hold straight from the state service: the job's key, then
    the archive, in the order in which a record moves, so that none is missed.
    """

    def __init__(self, cluster: ClusterState, mirror: Mirror, client: StateClient) -> None:
        self._cluster = cluster
        self._mirror = mirror
        self._client = client
        self._archived_ends: dict[str, str] = {}

    async def resolve(self, job_id: str, dependency_ids: tuple[str, ...]) -> Dependencies:
        """Raises DependencyRefusedError or DependencyUnknownError when a job can't be waited
        for.
        """
        result = Dependencies()
        for dependency_id in dependency_ids:
            if dependency_id == job_id:
                raise DependencyRefusedError("a job can't wait for itself")
            job = self._at_hand(dependency_id) or await self._read(dependency_id)
            if job is not None and job.spec is not None and job.spec.kind == "service":
                raise DependencyRefusedError(f"{dependency_id} is a service and is never done")
            end = job.end if job is not None else await self._archived_end(dependency_id)
            if end == CANCELLED:
                result.is_cancelled = True
            elif end != DONE and job is not None:
                result.unfinished[dependency_id] = job.version
        return result

    def _at_hand(self, dependency_id: str) -> Job | None:
        job = self._cluster.jobs.get(dependency_id)
        return job if job is not None and job.spec is not None else None

    async def _read(self, dependency_id: str) -> Job | None:
        if dependency_id in self._archived_ends:
            return None
        try:
            row = await self._client.get(keys.job(dependency_id))
        except (RequestRefusedError, OutcomeUnknownError) as exc:
            raise DependencyUnknownError(dependency_id) from exc
        if row is not None:
            self._mirror.merge_read(row)
        return self._at_hand(dependency_id)

    async def _archived_end(self, dependency_id: str) -> str:
        end = self._archived_ends.get(dependency_id)
        if end is not None:
            return end
        try:
            row = await self._client.get(keys.archived(dependency_id))
        except (RequestRefusedError, OutcomeUnknownError) as exc:
            raise DependencyUnknownError(dependency_id) from exc
        if row is None:
            raise DependencyRefusedError(f"{dependency_id} was never accepted")
        if len(self._archived_ends) >= REMEMBERED_ENDS:
            self._archived_ends.pop(next(iter(self._archived_ends)))
        end = self._archived_ends[dependency_id] = str(row.value["end"])
        return end
