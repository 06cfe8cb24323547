"""Repair of contradictory records: a job with a missing dependency, or a plan without a job.

No job is archived while another job depends on it or while it has a plan (cluster/dependencies.py,
jobs/cleanup.py). Earlier versions did not ensure this in every case. The archive records how the
missing job ended. The record of a waiting job is rewritten accordingly, so that all controllers
derive the same state from one durable record. The tasks of a plan without a job are ended by the
owner of their machines' shard. If the archive has no entry either, the records are left unchanged
and an error is logged.

Runs as a separate loop in every controller (crossmill/app.py); owns no state.
"""

import logging
from collections.abc import Iterator

import curio

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.membership import Membership, shard_intent
from ..cluster.model import CANCELLED, DONE, Job
from ..cluster.ownership import ShardOwnership
from ..cluster.records import encode_end, encode_job
from ..net.clock import Clock
from ..settings import Settings
from ..state.client import OutcomeUnknownError, RequestRefusedError, StateClient
from ..state.writer import Writer, WriteRank
from ..wire.state import Put, Txn
from ..wire.users import JobSpec

log = logging.getLogger(__name__)


class RecordRepair:
    """Checks the owned shards' waiting jobs and plans without a job, once per worker lease."""

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
        """Check periodically until cancelled."""
        while True:
            await curio.sleep(self._settings.worker_lease_s)
            try:
                await self.step()
            except (RequestRefusedError, OutcomeUnknownError) as exc:
                log.debug("archive not read error=%s", exc)

    async def step(self) -> None:
        """Check all shards that this controller actively owns, once.

        Raises:
            RequestRefusedError: The state service refused a read.
            OutcomeUnknownError: The state service did not respond.
        """
        for shard in range(self._settings.shard_count):
            for job, dependency in list(self._missing_dependencies(shard)):
                ownership = self._membership.active_ownership(shard)
                if ownership is not None:
                    await self._repair_dependent(job, dependency, shard, ownership)
        for job in list(self._cluster.jobs.without_record.values()):
            shard = self._shard_of(job)
            if not job.has_ended and self._membership.active_ownership(shard) is not None:
                await self._repair_plan_without_job(job, shard)

    def _missing_dependencies(self, shard: int) -> Iterator[tuple[Job, str]]:
        """Yield waiting jobs, each with the first of its dependencies that has no record."""
        for job in self._cluster.jobs.active[shard].values():
            for dependency in job.unmet_dependencies:
                if not self._has_record(dependency):
                    yield job, dependency
                    break

    def _has_record(self, job_id: str) -> bool:
        job = self._cluster.jobs.get(job_id)
        return job is not None and job.has_record

    def _shard_of(self, job: Job) -> int:
        """Return the shard of the plan's machines, or the first shard if none of them is known."""
        for attempt in job.attempts():
            machine = self._cluster.machines.get(attempt.machine)
            if machine is not None:
                return machine.shard
        return 0

    async def _repair_plan_without_job(self, job: Job, shard: int) -> None:
        if await self._client.get(keys.job(job.id)) is not None:
            # accepted recently; the watch will deliver the record
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

    async def _repair_dependent(
        self, job: Job, dependency: str, shard: int, ownership: ShardOwnership
    ) -> None:
        version = job.version
        if await self._client.get(keys.job(dependency)) is not None:
            # accepted recently; the watch will deliver the record
            return
        archived = await self._client.get(keys.archived(dependency))
        if self._has_record(dependency) or job.spec is None or job.version != version:
            return
        end = archived.value["end"] if archived is not None else ""
        record = self._repaired_record(job, job.spec, dependency, end)
        if record is None:
            log.error("dependency without a record job=%s dependency=%s", job.id, dependency)
            return
        log.warning("dependency was archived job=%s dependency=%s end=%s", job.id, dependency, end)
        key = keys.job(job.id)
        txn = Txn({key: version, keys.job(dependency): 0}, [Put(key, record)])
        await self._writer.commit(
            shard_intent(self._membership, shard, ownership, WriteRank.BACKGROUND, txn)
        )

    def _repaired_record(
        self, job: Job, spec: JobSpec, dependency: str, end: str
    ) -> dict[str, object] | None:
        """Return the job's record given the dependency's end, or None if that end is unknown."""
        if end == CANCELLED:
            max_bytes = self._cluster.limits.max_record_bytes
            return encode_end(CANCELLED, spec, self._clock.wall_time(), max_bytes)
        if end == DONE:
            dependencies = tuple(name for name in job.dependencies if name != dependency)
            return encode_job(spec, job.submitted_at, dependencies)
        return None
