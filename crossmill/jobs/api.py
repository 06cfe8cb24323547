"""The users' interface: which handler answers which request, on every controller."""

from ..cluster.cancellation_announcement import CancellationAnnouncement
from ..cluster.cluster_state import ClusterState
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Settings
from ..state.client import StateClient
from ..state.watcher import StateWatcher
from ..state.writer import Writer
from ..wire import users as wire
from .cancellation import CancellationHandler
from .dependency_check import DependencyCheck
from .lookup import JobLookup
from .submission import SubmissionHandler

NO_SUCH_PATH = Response(404, wire.error_body("no such path"))
WRONG_METHOD = Response(405, wire.error_body("wrong method"))


class JobApi:
    """Routes requests about jobs."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        watcher: StateWatcher,
        writer: Writer,
        client: StateClient,
        announcement: CancellationAnnouncement,
    ) -> None:
        self._lookup = JobLookup(settings, cluster, watcher, client)
        dependencies = DependencyCheck(cluster, cluster.mirror, client)
        self._submission = SubmissionHandler(
            settings, clock, cluster, writer, self._lookup, dependencies
        )
        self._cancellation = CancellationHandler(
            settings, clock, cluster, writer, announcement, self._lookup
        )

    async def handle(self, request: Request) -> Response:
        """The answer to a request under the path of jobs."""
        match request.path.strip("/").split("/")[2:]:
            case []:
                if request.method != "POST":
                    return WRONG_METHOD
                return await self._submission.handle(request)
            case [job_id]:
                if request.method != "GET":
                    return WRONG_METHOD
                return await self._lookup.show(job_id)
            case [job_id, wire.WITHDRAW]:
                if request.method != "POST":
                    return WRONG_METHOD
                return await self._cancellation.handle(job_id)
        return NO_SUCH_PATH
