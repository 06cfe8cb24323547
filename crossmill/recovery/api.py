"""The operators' interface: shows recoveries, and takes approvals for open circuit breakers.

It is served at the address where controllers talk to each other. Any controller can answer, since
the answers rest on the state service; only the phases are those of its own shards.
"""

from ..cluster import keys as cluster_keys
from ..net.server import Request, Response
from ..state.writer import WriteIntent, WriteRank, WriteResult
from ..wire.checks import MalformedMessageError
from ..wire.recovery import (
    APPROVE_PATH,
    RECOVERY_PATH,
    Approval,
    BreakerReport,
    error_body,
    overview_body,
    parse_approval,
)
from ..wire.state import Put, Txn
from . import keys
from .context import RecoveryContext
from .records import StoredApproval, encode_approval
from .service import RecoveryService

RETRY_AFTER_S = 1
UNAVAILABLE = Response(503, error_body("the state service is not reached"), RETRY_AFTER_S)
NOT_APPROVABLE = Response(409, error_body("the shard's brake is off, or holds back something else"))


class RecoveryApi:
    """Answers operators' requests."""

    def __init__(self, context: RecoveryContext, service: RecoveryService) -> None:
        self._settings = context.settings
        self._recovery = context.recovery
        self._clock = context.clock
        self._cluster = context.cluster
        self._watcher = context.watcher
        self._writer = context.writer
        self.service = service

    async def handle(self, request: Request) -> Response:
        """Answers a request under RECOVERY_PATH."""
        if request.path == RECOVERY_PATH and request.method == "GET":
            return await self._show()
        if request.path == APPROVE_PATH and request.method == "POST":
            return await self._approve(request)
        return Response(404, error_body("no such path"))

    async def _is_current(self) -> bool:
        """Reads the state service; False if it does not answer in time."""
        return await self._watcher.sync(self._settings.submission_timeout_s)

    async def _show(self) -> Response:
        if not await self._is_current():
            return UNAVAILABLE
        breakers = [self._open_breaker(shard) for shard in range(self._settings.shard_count)]
        return Response(
            200,
            overview_body(
                self._settings.label,
                self.service.phases(),
                [report for report in breakers if report is not None],
                self.service.records.all(),
            ),
        )

    def _open_breaker(self, shard: int) -> BreakerReport | None:
        """Returns what the shard's breaker holds back; None if it is closed or has no owner."""
        report = self.service.notes.breaker(shard)
        return report if self._cluster.shard_owners.get(shard) is not None else None

    async def _approve(self, request: Request) -> Response:
        try:
            approval = parse_approval(request.body)
        except MalformedMessageError as exc:
            return Response(400, error_body(str(exc)))
        if not await self._is_current():
            return UNAVAILABLE
        report = self._open_breaker(approval.shard)
        if report is None or report.digest != approval.digest:
            return NOT_APPROVABLE
        return await self._store_approval(approval, report)

    async def _store_approval(self, approval: Approval, report: BreakerReport) -> Response:
        """Stores an approval of exactly what the operator was shown."""
        valid_until = self._clock.wall_time() + self._recovery.approval_s
        stored = StoredApproval(report.token, report.digest, valid_until)
        breaker_key, shard_key = keys.breaker(approval.shard), cluster_keys.shard(approval.shard)
        version = self._cluster.mirror.version
        # the write fails if the breaker's contents or the shard's owner have changed meanwhile
        conditions = {breaker_key: version(breaker_key), shard_key: version(shard_key)}
        txn = Txn(conditions, [Put(keys.approval(approval.shard), encode_approval(stored))])
        deadline = self._clock.now() + self._settings.submission_timeout_s
        result = await self._writer.commit(
            WriteIntent(txn, WriteRank.URGENT, send_deadline=deadline)
        )
        if result == WriteResult.EXPIRED:
            return UNAVAILABLE
        return Response(200) if result == WriteResult.OK else NOT_APPROVABLE
