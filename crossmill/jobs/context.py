"""Collaborators that several parts of this package share, grouped to keep constructors narrow.

Both classes are immutable by convention and own no state. They are made once: the first by the
scheduling loop, the second by the users' interface.
"""

from ..cluster.cluster_state import ClusterState
from ..fleet.forecast import DemandForecast
from ..net.clock import Clock
from ..settings import Settings
from ..state.writer import Writer
from ..workers.heartbeat_handler import HeartbeatHandler
from .lookup import JobLookup


class SchedulingContext:
    """What every scheduling decision reads."""

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
    """What the handlers of users' requests about jobs read and write with."""

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
