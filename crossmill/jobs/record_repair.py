"""Contradictory records: a job that waits for one whose record is gone, a plan without its job.

No job is archived while another waits for it or a plan of it stands (cluster/dependencies.py,
jobs/cleanup.py). Earlier versions did not hold to that in every case. The archive says how the
missing job ended: a waiting job's record is written anew on that, so that all controllers follow
from one durable fact, and a plan's tasks are ended by whoever owns their machines' shard. What the
archive does not hold stays as it is, and is logged.
"""

import logging
from collections.abc import Iterator

import curio

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership
from ..cluster.model import CANCELLED, DONE, Job
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_end, encode_job
from ..net.clock import Clock
from ..settings import Settings
from ..state.client import OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.writer import Writer, WriteRank
from ..wire.state import Put, Txn
from ..wire.users import JobSpec
from .shard_writes import shard_intent

log = logging.getLogger(__name__)


class RecordRepair:
    """Looks, once in a worker lease, through the waiting jobs of the shards acted for, and through
    the plans without a job.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        membership: Membership,
        client: StateClient,
        writer: Writer,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._membership = membership
        self._client = client
        self._writer = writer

    async def run(self) -> None:
        """Works for ever."""
        while True:
            await curio.sleep(self._settings.worker_lease_s)
            try:
                await self.step()
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("archive not read error=%s", exc)

    async def step(self) -> None:
        """One look at all shards acted for."""
        for shard in range(self._settings.shard_count):
            for job, dependency in list(self._missing(shard)):
                ownership = self._membership.active_ownership(shard)
                if ownership is not None:
                    await self._mend_waiting(job, dependency, shard, ownership)
        for job in list(self._cluster.jobs.without_record.values()):
            shard = self._shard_of(job)
            if not job.has_ended and self._membership.active_ownership(shard) is not None:
                await self._mend_unknown(job, shard)

    def _missing(self, shard: int) -> Iterator[tuple[Job, str]]:
        for job in self._cluster.jobs.active[shard].values():
            for dependency in job.unmet_dependencies:
                if not self._is_known(dependency):
                    yield job, dependency
                    break

    def _is_known(self, dependency: str) -> bool:
        job = self._cluster.jobs.get(dependency)
        return job is not None and job.has_record

    def _shard_of(self, job: Job) -> int:
        """The shard of the machines that the plan names; the first, if it names none."""
        for attempt in job.attempts():
            machine = self._cluster.machines.get(attempt.machine)
            if machine is not None:
                return machine.shard
        return 0

    async def _mend_unknown(self, job: Job, shard: int) -> None:
        if await self._client.get(keys.job(job.id)) is not None:
            # accepted a moment ago: the watch will show it
            return
        archived = await self._client.get(keys.archived(job.id))
        if job.id not in self._cluster.jobs.without_record:
            return
        if archived is None:
            log.error("plan without a job job=%s tasks=%d", job.id, job.planned_task_count())
            return
        end = str(archived.value["end"])
        log.warning(
            "plan of an archived job job=%s tasks=%d end=%s", job.id, job.planned_task_count(), end
        )
        self._cluster.apply_archived_end(job, end, shard)

    async def _mend_waiting(
        self, job: Job, dependency: str, shard: int, ownership: ShardOwnership
    ) -> None:
        version = job.version
        if await self._client.get(keys.job(dependency)) is not None:
            # accepted a moment ago: the watch will show it
            return
        archived = await self._client.get(keys.archived(dependency))
        if self._is_known(dependency) or job.spec is None or job.version != version:
            return
        end = archived.value["end"] if archived is not None else ""
        record = self._record(job, job.spec, dependency, end)
        if record is None:
            log.error("dependency without a record job=%s dependency=%s", job.id, dependency)
            return
        log.warning("dependency was archived job=%s dependency=%s end=%s", job.id, dependency, end)
        key = keys.job(job.id)
        txn = Txn({key: version, keys.job(dependency): 0}, [Put(key, record)])
        await self._writer.commit(
            shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
        )

    def _record(
        self, job: Job, spec: JobSpec, dependency: str, end: str
    ) -> dict[str, object] | None:
        """The waiting job's record once it is known how the missing one ended."""
        if end == CANCELLED:
            most_bytes = self._cluster.limits.record_bytes
            return encode_end(CANCELLED, spec, self._clock.wall(), most_bytes)
        if end == DONE:
            dependencies = tuple(name for name in job.dependencies if name != dependency)
            return encode_job(spec, job.submitted, dependencies)
        return None
