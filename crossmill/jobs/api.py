"""The HTTP API for users' jobs: routes each request to its handler.

Every controller serves this API. `crossmill/app.py` dispatches requests under the jobs path to it.
The API owns no state.
"""

from ..cluster.cancellation_announcement import CancellationAnnouncement
from ..cluster.cluster_state import ClusterState
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Settings
from ..state.client import StateClient
from ..state.watcher import StateWatcher
from ..state.writer import Writer
from ..wire import users as wire
from .availability import UserAvailability
from .cancellation import CancellationHandler
from .context import JobRequestContext
from .dependency_check import DependencyCheck
from .lookup import JobLookup
from .submission import SubmissionHandler

NO_SUCH_PATH = Response(404, wire.error_body("no such path"))
WRONG_METHOD = Response(405, wire.error_body("wrong method"))


class JobApi:
    """Routes job requests to their handlers."""

    def __init__(  # noqa: PLR0913 - the application passes all collaborators; they are grouped here
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        watcher: StateWatcher,
        writer: Writer,
        client: StateClient,
        announcement: CancellationAnnouncement,
        availability: UserAvailability,
    ) -> None:
        self._lookup = JobLookup(settings, cluster, watcher, client, availability)
        context = JobRequestContext(settings, clock, cluster, writer, self._lookup)
        dependencies = DependencyCheck(cluster, cluster.mirror, client)
        self._submission = SubmissionHandler(context, dependencies)
        self._cancellation = CancellationHandler(context, announcement)

    async def handle(self, request: Request) -> Response:
        """Return the response to a request under the jobs path."""
        match request.path.strip("/").split("/")[2:], request.method:
            case [[], "POST"]:
                return await self._submission.handle(request)
            case [[job_id], "GET"]:
                return await self._lookup.status_response(job_id)
            case [[job_id, wire.CANCEL_ACTION], "POST"]:
                return await self._cancellation.handle(job_id)
            case (([] | [_] | [_, wire.CANCEL_ACTION]), _):
                return WRONG_METHOD
        return NO_SUCH_PATH
