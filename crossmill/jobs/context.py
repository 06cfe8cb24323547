"""Groups of collaborators shared within this package, which keep constructors short.

Both classes are immutable by convention and own no state. Each is created once:
`SchedulingContext` by the scheduling loop, `JobRequestContext` by the job API.
"""

from ..cluster.cluster_state import ClusterState
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import Writer
from ..workers.heartbeat_handler import HeartbeatHandler
from .lookup import JobLookup


class SchedulingContext:
    """The collaborators that every scheduling decision reads."""

    __slots__ = ("clock", "cluster", "forecast", "heartbeats", "settings")

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        heartbeats: HeartbeatHandler,
        forecast: DemandForecast,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.cluster = cluster
        self.heartbeats = heartbeats
        self.forecast = forecast


class JobRequestContext:
    """The collaborators that the handlers of job requests use for reads and writes."""

    __slots__ = ("clock", "cluster", "lookup", "settings", "writer")

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        writer: Writer,
        lookup: JobLookup,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.cluster = cluster
        self.writer = writer
        self.lookup = lookup
