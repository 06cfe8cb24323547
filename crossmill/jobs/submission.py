"""Handler of users' submissions: a job is accepted once its record is durable.

Submissions are idempotent: a repeated one is answered with the state of the job, whatever else it
says. Called by the users' interface; owns no state.
"""

import logging
from typing import Any

import orjson

from ..cluster import keys
from ..cluster.model import CANCELLED
from ..cluster.records import encode_end, encode_job
from ..net.server import Request, Response
from ..planning.demand import slots_on
from ..state.writer import WriteIntent, WriteRank, WriteResult
from ..wire import users as wire
from ..wire.checks import MalformedMessageError, load_object
from ..wire.state import Put, Txn
from ..wire.users import JobSpec, Submission
from .context import JobRequestContext
from .dependency_check import (
    Dependencies,
    DependencyCheck,
    DependencyRefusedError,
    DependencyUnknownError,
)
from .lookup import NOT_NOW, status_of
from .team_quotas import LIMIT_TOLERANCE

log = logging.getLogger(__name__)

# status codes of the protocol; UNPROCESSABLE is a job that can never run
OK, CREATED, MALFORMED, NOT_FOUND, UNPROCESSABLE = 200, 201, 400, 404, 422
# how often a submission is tried again when a precondition of its write has changed
MAX_ATTEMPTS = 3
# far above what users name; each may have to be read from the archive
MAX_DEPENDENCIES = 256


def _parse_body(request: Request) -> dict[str, Any]:
    """Returns the body's fields; raises MalformedMessageError."""
    if request.too_large:
        raise MalformedMessageError("body over 64 KiB")
    return load_object(request.body)


class SubmissionHandler:
    """Answers submissions of jobs."""

    def __init__(self, context: JobRequestContext, dependencies: DependencyCheck) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._writer = context.writer
        self._lookup = context.lookup
        self._dependencies = dependencies

    async def handle(self, request: Request) -> Response:
        """Returns the response to one submission."""
        try:
            data = _parse_body(request)
            job_id = wire.parse_id(data)
        except MalformedMessageError as exc:
            return Response(MALFORMED, wire.error_body(str(exc)))
        job = self._lookup.final(job_id)
        if job is not None:
            return Response(OK, status_of(job))
        if self._lookup.known(job_id) is not None:
            return await self._lookup.show(job_id)
        try:
            submission = wire.parse_submission(data)
        except MalformedMessageError as exc:
            return await self._refuse(job_id, MALFORMED, str(exc))
        return await self._decide(submission)

    async def _refuse(self, job_id: str, status: int, why: str) -> Response:
        """Returns the refusal, or the job's state if a job with this id was accepted before."""
        known = await self._lookup.show(job_id)
        if known.status != NOT_FOUND:
            return known
        return Response(status, wire.error_body(why))

    async def _decide(self, submission: Submission) -> Response:
        spec, dependency_ids = submission.spec, submission.dependencies
        if not self._cluster.catalog:
            return NOT_NOW
        why = self._why_unschedulable(spec)
        if why is None and len(dependency_ids) > MAX_DEPENDENCIES:
            why = f"more than {MAX_DEPENDENCIES} jobs to wait for"
        if why is not None:
            return await self._refuse(spec.id, UNPROCESSABLE, why)
        if not self._lookup.is_served():
            return NOT_NOW
        if not dependency_ids:
            return await self._accept(spec, Dependencies()) or NOT_NOW
        return await self._accept_dependent(spec, dependency_ids)

    async def _accept_dependent(self, spec: JobSpec, dependency_ids: tuple[str, ...]) -> Response:
        if self._cluster.level is None:
            # a controller of the previous version would start the job at once
            return NOT_NOW
        for _ in range(MAX_ATTEMPTS):
            # read before the first dependency is resolved: archiving one meanwhile raises it
            archivings_version = self._archivings_version()
            try:
                dependencies = await self._dependencies.resolve(spec.id, dependency_ids)
            except DependencyRefusedError as exc:
                return await self._refuse(spec.id, UNPROCESSABLE, str(exc))
            except DependencyUnknownError:
                return NOT_NOW
            response = await self._accept(spec, dependencies, archivings_version)
            if response is not None:
                return response
        return NOT_NOW

    def _archivings_version(self) -> int:
        return self._cluster.mirror.version(keys.ARCHIVINGS)

    def _why_unschedulable(self, spec: JobSpec) -> str | None:
        """Returns the reason why the job can never run; None if it can."""
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
        # the tasks of an array may run one after the other, all others run at the same time
        tasks = 1 if spec.is_array else spec.tasks
        for limit, per_task in ((team.cpus_max, spec.cpus), (team.gpus_max, spec.gpus)):
            if limit > 0 and tasks * per_task > limit + LIMIT_TOLERANCE:
                return "more than the team's limit"
        return None

    async def _accept(
        self, spec: JobSpec, dependencies: Dependencies, archivings_version: int = 0
    ) -> Response | None:
        """Writes the job's record and returns the response.

        None means that a precondition of the write has changed. The mirror has the change by then,
        so the dependencies can be resolved again.
        """
        now, wall = self._clock.now(), self._clock.wall()
        key = keys.job(spec.id)
        if dependencies.is_cancelled:
            record = encode_end(CANCELLED, spec, wall, self._cluster.limits.max_record_bytes)
        else:
            record = encode_job(spec, wall, tuple(dependencies.unfinished))
        encoded = orjson.dumps(record)
        if len(encoded) > self._cluster.limits.max_record_bytes:
            return await self._refuse(spec.id, UNPROCESSABLE, "too long to be stored")
        txn = Txn({key: 0, keys.archived(spec.id): 0}, [Put(key, orjson.loads(encoded))])
        self._add_preconditions(dependencies, archivings_version, txn)
        intent = WriteIntent(txn, WriteRank.URGENT, until=now + self._settings.submission_timeout_s)
        await self._writer.submit(intent)
        result = await intent.future.wait(self._settings.submission_timeout_s)
        if result == WriteResult.OK:
            log.info(
                "job accepted job=%s class=%s team=%s tasks=%d dependencies=%d",
                spec.id,
                spec.job_class,
                spec.team,
                spec.tasks,
                len(dependencies.unfinished),
            )
            return await self._accepted(spec.id, self._is_slow(intent, now))
        if result is None or not await self._lookup.is_current():
            return NOT_NOW
        known = await self._lookup.show(spec.id)
        return None if known.status == NOT_FOUND else known

    def _is_slow(self, intent: WriteIntent, submitted_at: float) -> bool:
        """Whether others may have answered about the job's later states before this response.

        They see the job as soon as it is durable; after a slow write they may have told its end.
        """
        took_s = self._clock.now() - submitted_at
        return intent.outcome_unknown or took_s > self._settings.lease_renewal_interval_s / 4

    def _add_preconditions(
        self, dependencies: Dependencies, archivings_version: int, txn: Txn
    ) -> None:
        """Adds the conditions that the dependencies are unfinished when the job is accepted.

        A job may name another as unfinished only before that one's end is written: whoever archives
        the other has seen everything up to there, and so knows of this job. Where the records
        exceed a transaction's conditions, the counter of archivings stands for them. This write
        raises it too, which keeps controllers that have not seen the job from archiving.
        """
        records = {
            keys.job(dependency_id): version
            for dependency_id, version in dependencies.unfinished.items()
        }
        if len(txn.conditions) + len(records) <= self._cluster.limits.max_conditions:
            txn.conditions.update(records)
            return
        counter = self._cluster.mirror.value(keys.ARCHIVINGS) or {"n": 0}
        txn.conditions[keys.ARCHIVINGS] = archivings_version
        txn.puts.append(Put(keys.ARCHIVINGS, {"n": counter["n"] + 1}))

    async def _accepted(self, job_id: str, is_slow: bool) -> Response:
        if is_slow and not await self._lookup.is_current():
            return NOT_NOW
        job = self._lookup.known(job_id)
        if job is None:
            return await self._lookup.archived(job_id)
        return Response(CREATED, status_of(job))
