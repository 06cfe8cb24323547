"""The operator API: shows recoveries and accepts approvals for open circuit breakers.

It is served at the address on which controllers accept each other's requests. Any controller can
respond, since the responses are based on the state service; only the phases are limited to the
responding controller's own shards.
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
    """Handles operators' requests about recoveries."""

    def __init__(self, context: RecoveryContext, service: RecoveryService) -> None:
        self._settings = context.settings
        self._recovery_settings = context.recovery_settings
        self._clock = context.clock
        self._cluster = context.cluster
        self._watcher = context.watcher
        self._writer = context.writer
        self.service = service

    async def handle(self, request: Request) -> Response:
        """Return the response to a request under RECOVERY_PATH."""
        if request.path == RECOVERY_PATH and request.method == "GET":
            return await self._show()
        if request.path == APPROVE_PATH and request.method == "POST":
            return await self._approve(request)
        return Response(404, error_body("no such path"))

    async def _sync_state(self) -> bool:
        """Synchronize with the state service; return False after a timeout."""
        return await self._watcher.sync(self._settings.submission_timeout_s)

    async def _show(self) -> Response:
        if not await self._sync_state():
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
        """Return the report of the shard's open breaker; None if it is closed or has no owner."""
        report = self.service.breaker_state.breaker_report(shard)
        return report if self._cluster.shard_owners.get(shard) is not None else None

    async def _approve(self, request: Request) -> Response:
        try:
            approval = parse_approval(request.body)
        except MalformedMessageError as exc:
            return Response(400, error_body(str(exc)))
        if not await self._sync_state():
            return UNAVAILABLE
        report = self._open_breaker(approval.shard)
        if report is None or report.digest != approval.digest:
            return NOT_APPROVABLE
        return await self._store_approval(approval, report)

    async def _store_approval(self, approval: Approval, report: BreakerReport) -> Response:
        """Store an approval of exactly the actions that the operator was shown."""
        valid_until = self._clock.wall_time() + self._recovery_settings.approval_s
        stored = StoredApproval(report.token, report.digest, valid_until)
        breaker_key, shard_key = keys.breaker(approval.shard), cluster_keys.shard(approval.shard)
        version = self._cluster.mirror.version
        # the write fails if the breaker's report or the shard's owner has changed in the meantime
        conditions = {breaker_key: version(breaker_key), shard_key: version(shard_key)}
        txn = Txn(conditions, [Put(keys.approval(approval.shard), encode_approval(stored))])
        deadline = self._clock.now() + self._settings.submission_timeout_s
        result = await self._writer.commit(
            WriteIntent(txn, WriteRank.URGENT, send_deadline=deadline)
        )
        if result == WriteResult.EXPIRED:
            return UNAVAILABLE
        return Response(200) if result == WriteResult.OK else NOT_APPROVABLE
