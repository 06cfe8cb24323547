"""Accepting jobs."""

import logging

import orjson

from ..cluster import keys
from ..cluster.cluster_state import ClusterState
from ..cluster.model import CANCELLED
from ..cluster.records import encode_end, encode_job
from ..net.clock import Clock
from ..net.server import Request, Response
from ..planning.demand import slots_on
from ..settings import Settings
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire import users as wire
from ..wire.checks import MalformedMessageError, load_object
from ..wire.state import Put, Txn
from ..wire.users import JobSpec, Submission
from .dependency_check import (
    Dependencies,
    DependencyCheck,
    DependencyRefusedError,
    DependencyUnknownError,
)
from .lookup import NOT_NOW, JobLookup, status_of

log = logging.getLogger(__name__)

CREATED, OK_STATUS, MALFORMED, NEVER, NOT_FOUND = 201, 200, 400, 422, 404
# how often a submission is looked at anew when what it rested on has changed
ATTEMPTS = 3
# far above what users name; each may have to be read from the archive
MAX_DEPENDENCIES = 256


class SubmissionHandler:
    """Answers submissions: a job is accepted once its record is durable."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        writer: Writer,
        lookup: JobLookup,
        dependencies: DependencyCheck,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._cluster = cluster
        self._writer = writer
        self._lookup = lookup
        self._dependencies = dependencies

    async def handle(self, request: Request) -> Response:
        """The answer to one submission."""
        try:
            if request.too_large:
                raise MalformedMessageError("body over 64 KiB")
            data = load_object(request.body)
            job_id = wire.parse_id(data)
        except MalformedMessageError as exc:
            return Response(MALFORMED, wire.error_body(str(exc)))
        job = self._lookup.final(job_id)
        if job is not None:
            return Response(OK_STATUS, status_of(job))
        if self._lookup.known(job_id) is not None:
            return await self._lookup.show(job_id)
        try:
            submission = wire.parse_submission(data)
        except MalformedMessageError as exc:
            return await self._refuse(job_id, MALFORMED, str(exc))
        return await self._decide(submission)

    async def _refuse(self, job_id: str, status: int, why: str) -> Response:
        """A repeat of an accepted job gets its state, whatever the rest of it says."""
        known = await self._lookup.show(job_id)
        if known.status != NOT_FOUND:
            return known
        return Response(status, wire.error_body(why))

    async def _decide(self, submission: Submission) -> Response:
        spec, dependency_ids = submission.spec, submission.dependencies
        if not self._cluster.catalog:
            return NOT_NOW
        why = self._never(spec)
        if why is None and len(dependency_ids) > MAX_DEPENDENCIES:
            why = f"more than {MAX_DEPENDENCIES} jobs to wait for"
        if why is not None:
            return await self._refuse(spec.id, NEVER, why)
        if not self._lookup.is_served():
            return NOT_NOW
        if not dependency_ids:
            return await self._accept(spec, Dependencies()) or NOT_NOW
        return await self._accept_dependent(spec, dependency_ids)

    async def _accept_dependent(self, spec: JobSpec, dependency_ids: tuple[str, ...]) -> Response:
        if self._cluster.level is None:
            # a controller of the version before would start it at once
            return NOT_NOW
        for _ in range(ATTEMPTS):
            # counted before the first is looked at: one archived meanwhile raises it
            archivings = self._archivings()
            try:
                dependencies = await self._dependencies.resolve(spec.id, dependency_ids)
            except DependencyRefusedError as exc:
                return await self._refuse(spec.id, NEVER, str(exc))
            except DependencyUnknownError:
                return NOT_NOW
            response = await self._accept(spec, dependencies, archivings)
            if response is not None:
                return response
        return NOT_NOW

    def _archivings(self) -> int:
        return self._cluster.mirror.version(keys.ARCHIVINGS)

    def _never(self, spec: JobSpec) -> str | None:
        """Why the job can never run, if so."""
        team = self._settings.team(spec.team)
        if team is None:
            return "unknown team"
        kinds = [
            kind
            for name, kind in self._cluster.catalog.items()
            if (spec.types is None or name in spec.types)
            and (spec.zone is None or spec.zone in kind.zones)
        ]
        if not any(slots_on(spec, kind) for kind in kinds):
            return "a task fits no allowed machine type"
        tasks = 1 if spec.kind == "array" else spec.tasks
        for most, each in ((team.cpus_max, spec.cpus), (team.gpus_max, spec.gpus)):
            if most > 0 and tasks * each > most + 1e-6:
                return "more than the team's limit"
        return None

    async def _accept(
        self, spec: JobSpec, dependencies: Dependencies, archivings: int = 0
    ) -> Response | None:
        """None if something that the job rests on has changed: all is known now, to be looked at
        once more.
        """
        now, wall = self._clock.now(), self._clock.wall()
        key = keys.job(spec.id)
        if dependencies.is_cancelled:
            record = encode_end(CANCELLED, spec, wall, self._cluster.limits.record_bytes)
        else:
            record = encode_job(spec, wall, tuple(dependencies.unfinished))
        encoded = orjson.dumps(record)
        if len(encoded) > self._cluster.limits.record_bytes:
            return await self._refuse(spec.id, NEVER, "too long to be stored")
        txn = Txn({key: 0, keys.archived(spec.id): 0}, [Put(key, orjson.loads(encoded))])
        self._rest_on(dependencies, archivings, txn)
        intent = WriteIntent(txn, WriteRank.URGENT, until=now + self._settings.submission_timeout_s)
        await self._writer.submit(intent)
        outcome = await intent.future.wait(self._settings.submission_timeout_s)
        if outcome == WriteResult.OK:
            log.info(
                "job accepted job=%s class=%s team=%s tasks=%d dependencies=%d",
                spec.id,
                spec.job_class,
                spec.team,
                spec.tasks,
                len(dependencies.unfinished),
            )
            # others see the job as soon as it is durable, and may have told of its end before
            # a slow answer is here
            is_slow = (
                intent.outcome_unknown
                or self._clock.now() - now > self._settings.lease_renewal_interval_s / 4
            )
            return await self._accepted(spec.id, is_slow)
        if outcome is None or not await self._lookup.is_current():
            return NOT_NOW
        known = await self._lookup.show(spec.id)
        return None if known.status == NOT_FOUND else known

    def _rest_on(self, dependencies: Dependencies, archivings: int, txn: Txn) -> None:
        """A job may name one as unfinished only before that one's end is written: whoever archives
        it has seen all up to there, and so knows of this job. Where the records are more than a
        transaction's conditions, the counter of archivings stands for them: raised by this write
        too, it keeps those who have not seen it from archiving anything.
        """
        records = {
            keys.job(dependency_id): version
            for dependency_id, version in dependencies.unfinished.items()
        }
        if len(txn.conditions) + len(records) <= self._cluster.limits.conditions:
            txn.conditions.update(records)
            return
        counter = self._cluster.mirror.value(keys.ARCHIVINGS) or {"n": 0}
        txn.conditions[keys.ARCHIVINGS] = archivings
        txn.puts.append(Put(keys.ARCHIVINGS, {"n": counter["n"] + 1}))

    async def _accepted(self, job_id: str, is_slow: bool) -> Response:
        if is_slow and not await self._lookup.is_current():
            return NOT_NOW
        job = self._lookup.known(job_id)
        if job is None:
            return await self._lookup.archived(job_id)
        return Response(CREATED, status_of(job))
