"""The operators' interface: looking at recoveries, and approving what a brake holds back.

It is served on the address at which controllers speak to one another. Any controller answers:
what it says rests on the state service, but for the phases of its own shards.
"""

from ..cluster import keys as cluster_keys
from ..cluster.cluster_state import ClusterState
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Settings
from ..state.watcher import StateWatcher
from ..state.writer import WriteIntent, Writer, WriteRank, WriteResult
from ..wire.checks import MalformedMessageError
from ..wire.recovery import (
    APPROVE_PATH,
    RECOVERY_PATH,
    BrakedReport,
    error_body,
    overview_body,
    parse_approval,
)
from ..wire.state import Put, Txn
from . import keys
from .records import StoredApproval, encode_approval
from .service import RecoveryService
from .settings import RecoverySettings

RETRY_AFTER_S = 1
UNAVAILABLE = Response(503, error_body("the state service is not reached"), RETRY_AFTER_S)
NOT_BRAKED = Response(409, error_body("the shard's brake is off, or holds back something else"))


class RecoveryApi:
    """Answers operators' requests."""

    def __init__(
        self,
        settings: Settings,
        recovery: RecoverySettings,
        clock: Clock,
        cluster: ClusterState,
        watcher: StateWatcher,
        writer: Writer,
        service: RecoveryService,
    ) -> None:
        self._settings = settings
        self._recovery = recovery
        self._clock = clock
        self._cluster = cluster
        self._watcher = watcher
        self._writer = writer
        self.service = service

    async def handle(self, request: Request) -> Response:
        """The answer to a request under RECOVERY_PATH."""
        if request.path == RECOVERY_PATH and request.method == "GET":
            return await self._show()
        if request.path == APPROVE_PATH and request.method == "POST":
            return await self._approve(request)
        return Response(404, error_body("no such path"))

    async def _is_current(self) -> bool:
        return await self._watcher.sync(self._settings.submission_timeout_s)

    async def _show(self) -> Response:
        if not await self._is_current():
            return UNAVAILABLE
        braked = [
            r for k in range(self._settings.shard_count) if (r := self._braked(k)) is not None
        ]
        return Response(
            200,
            overview_body(
                self._settings.label,
                self.service.phases(),
                braked,
                self.service.records.all(),
            ),
        )

    def _braked(self, shard: int) -> BrakedReport | None:
        """What the shard's present owner holds back; a former owner's word is void."""
        report = self.service.notes.braked(shard)
        owner = self._cluster.shard_owners.get(shard)
        return report if report is not None and owner is not None else None

    async def _approve(self, request: Request) -> Response:
        try:
            approval = parse_approval(request.body)
        except MalformedMessageError as exc:
            return Response(400, error_body(str(exc)))
        if not await self._is_current():
            return UNAVAILABLE
        braked = self._braked(approval.shard)
        if braked is None or braked.digest != approval.digest:
            return NOT_BRAKED
        stored = StoredApproval(
            braked.token, braked.digest, self._clock.wall() + self._recovery.approval_s
        )
        version = self._cluster.mirror.version
        # it rests on the very shard, ownership and contents that the operator was shown
        conditions = {
            keys.braked(approval.shard): version(keys.braked(approval.shard)),
            cluster_keys.shard(approval.shard): version(cluster_keys.shard(approval.shard)),
        }
        txn = Txn(conditions, [Put(keys.approval(approval.shard), encode_approval(stored))])
        until = self._clock.now() + self._settings.submission_timeout_s
        result = await self._writer.commit(WriteIntent(txn, WriteRank.URGENT, until=until))
        if result == WriteResult.EXPIRED:
            return UNAVAILABLE
        return Response(200) if result == WriteResult.OK else NOT_BRAKED
