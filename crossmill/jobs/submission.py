"""Handler of job submissions: a job is accepted once its record is durable.

Submissions are idempotent: the response to a repeated submission is the job's current state, even
if the rest of the request differs or is invalid. Called by the job API; owns no state.
"""

import logging
from typing import Any

import orjson

from ..cluster import keys
from ..cluster.model import CANCELLED
from ..cluster.records import encode_end, encode_job
from ..net.server import Request, Response
from ..planning.demand import slots_per_machine
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
from .lookup import UNAVAILABLE, encode_status
from .team_quotas import LIMIT_TOLERANCE

log = logging.getLogger(__name__)

# HTTP status codes; UNPROCESSABLE rejects a job that can never run
OK, CREATED, BAD_REQUEST, NOT_FOUND, UNPROCESSABLE = 200, 201, 400, 404, 422
# maximum attempts at a submission if a precondition of its write changes
MAX_ATTEMPTS = 3
# far above what users submit; bounds the archive reads, since each dependency may need one
MAX_DEPENDENCIES = 256


def _parse_body(request: Request) -> dict[str, Any]:
    """Return the body's fields.

    Raises:
        MalformedMessageError: The body is too large or not a JSON object.
    """
    if request.is_too_large:
        raise MalformedMessageError("body over 64 KiB")
    return load_object(request.body)


class SubmissionHandler:
    """Handles job submissions."""

    def __init__(self, context: JobRequestContext, dependencies: DependencyCheck) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._writer = context.writer
        self._lookup = context.lookup
        self._dependencies = dependencies

    async def handle(self, request: Request) -> Response:
        """Return the response to one submission."""
        try:
            data = _parse_body(request)
            job_id = wire.parse_id(data)
        except MalformedMessageError as exc:
            return Response(BAD_REQUEST, wire.error_body(str(exc)))
        job = self._lookup.ended_job(job_id)
        if job is not None:
            return Response(OK, encode_status(job))
        if self._lookup.recorded_job(job_id) is not None:
            return await self._lookup.status_response(job_id)
        try:
            submission = wire.parse_submission(data)
        except MalformedMessageError as exc:
            return await self._refuse(job_id, BAD_REQUEST, str(exc))
        return await self._validate_and_accept(submission)

    async def _refuse(self, job_id: str, status: int, reason: str) -> Response:
        """Return the refusal, or the job's state if a job with this ID was accepted before.

        If that can't be determined now, return a 503.
        """
        response = await self._lookup.status_response(job_id)
        if response.status != NOT_FOUND:
            return response
        return Response(status, wire.error_body(reason))

    async def _validate_and_accept(self, submission: Submission) -> Response:
        spec, dependency_ids = submission.spec, submission.dependencies
        if not self._cluster.catalog:
            return UNAVAILABLE
        reason = self._unschedulable_reason(spec)
        if reason is None and len(dependency_ids) > MAX_DEPENDENCIES:
            reason = f"more than {MAX_DEPENDENCIES} jobs to wait for"
        if reason is not None:
            return await self._refuse(spec.id, UNPROCESSABLE, reason)
        if not self._lookup.is_available():
            return UNAVAILABLE
        if not dependency_ids:
            return await self._accept(spec, Dependencies()) or UNAVAILABLE
        return await self._accept_dependent(spec, dependency_ids)

    async def _accept_dependent(self, spec: JobSpec, dependency_ids: tuple[str, ...]) -> Response:
        if self._cluster.level is None:
            # a controller of the previous version would start the job without waiting
            return UNAVAILABLE
        for _ in range(MAX_ATTEMPTS):
            # read before dependencies are resolved: archiving one of them later raises the version
            archivings_version = self._archivings_version()
            try:
                dependencies = await self._dependencies.resolve(spec.id, dependency_ids)
            except DependencyRefusedError as exc:
                return await self._refuse(spec.id, UNPROCESSABLE, str(exc))
            except DependencyUnknownError:
                return UNAVAILABLE
            response = await self._accept(spec, dependencies, archivings_version)
            if response is not None:
                return response
        return UNAVAILABLE

    def _archivings_version(self) -> int:
        return self._cluster.mirror.version(keys.ARCHIVINGS)

    def _unschedulable_reason(self, spec: JobSpec) -> str | None:
        """Return the reason why the job can never run, or None if it can."""
        team = self._settings.team(spec.team)
        if team is None:
            return "unknown team"
        machine_types = [
            machine_type
            for name, machine_type in self._cluster.catalog.items()
            if (spec.types is None or name in spec.types)
            and (spec.zone is None or spec.zone in machine_type.zones)
        ]
        if not any(slots_per_machine(spec, machine_type) for machine_type in machine_types):
            return "a task fits no allowed machine type"
        # tasks of an array job may run one after the other; those of other jobs run in parallel
        tasks = 1 if spec.is_array else spec.tasks
        for limit, per_task in ((team.cpus_max, spec.cpus), (team.gpus_max, spec.gpus)):
            if limit > 0 and tasks * per_task > limit + LIMIT_TOLERANCE:
                return "more than the team's limit"
        return None

    async def _accept(
        self, spec: JobSpec, dependencies: Dependencies, archivings_version: int = 0
    ) -> Response | None:
        """Write the job's record and return the response.

        None means that a precondition of the write has changed. By then the mirror includes the
        change, so the dependencies can be resolved again.
        """
        now, wall_time = self._clock.now(), self._clock.wall_time()
        key = keys.job(spec.id)
        if dependencies.is_cancelled:
            record = encode_end(CANCELLED, spec, wall_time, self._cluster.limits.max_record_bytes)
        else:
            record = encode_job(spec, wall_time, tuple(dependencies.unfinished))
        encoded = orjson.dumps(record)
        if len(encoded) > self._cluster.limits.max_record_bytes:
            return await self._refuse(spec.id, UNPROCESSABLE, "too long to be stored")
        txn = Txn({key: 0, keys.archived(spec.id): 0}, [Put(key, orjson.loads(encoded))])
        self._add_preconditions(dependencies, archivings_version, txn)
        intent = WriteIntent(
            txn, WriteRank.URGENT, send_deadline=now + self._settings.submission_timeout_s
        )
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
            return await self._accepted_response(spec.id, self._is_slow_write(intent, now))
        if result is None or not await self._lookup.wait_until_current():
            return UNAVAILABLE
        response = await self._lookup.status_response(spec.id)
        return None if response.status == NOT_FOUND else response

    def _is_slow_write(self, intent: WriteIntent, submitted_at: float) -> bool:
        """Return whether other controllers may have reported a later state of the job by now.

        They see the job as soon as it is durable, so during a slow write they may already have
        reported the job's end to users.
        """
        took_s = self._clock.now() - submitted_at
        return intent.is_outcome_unknown or took_s > self._settings.lease_renewal_interval_s / 4

    def _add_preconditions(
        self, dependencies: Dependencies, archivings_version: int, txn: Txn
    ) -> None:
        """Add the conditions that the dependencies are still unfinished when the job is accepted.

        A job may list a dependency as unfinished only before the dependency's end is written. The
        controller that archives the dependency has seen all writes up to that end, so it knows of
        this job. If the records exceed the limit on a transaction's conditions, the archiving
        counter replaces them as a condition. This write also increments the counter, which makes
        an archiving write fail on controllers that have not seen the job yet.
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

    async def _accepted_response(self, job_id: str, is_slow: bool) -> Response:
        if is_slow and not await self._lookup.wait_until_current():
            return UNAVAILABLE
        job = self._lookup.recorded_job(job_id)
        if job is None:
            return await self._lookup.archived_status_response(job_id)
        return Response(CREATED, encode_status(job))
