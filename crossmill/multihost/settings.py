"""The multihost file (see deploy/multihost.toml), checked, and what is derived from it."""

from dataclasses import dataclass
from typing import Any

from ..settings import Endpoint, Settings, SettingsError
from ..settings.loader import read_toml
from ..settings.table import Table

# the protocol's drift between two steady clocks, doubled for safety
DRIFT = 0.002


@dataclass(frozen=True, slots=True)
class MultihostSettings:
    """The checked settings of multi-machine replicas. All time spans follow from the interval of
    the agents' heartbeats.
    """

    listen: Endpoint
    # the shard whose owner owns the pool
    pool_shard: int
    heartbeat_interval_s: float
    idle_ratio: float

    @property
    def failure_detection_s(self) -> float:
        """A machine without a heartbeat for this long is lost to its replicas."""
        return 3 * self.heartbeat_interval_s

    @property
    def serving_lease_s(self) -> float:
        """The front member answers for at most this long after every member was last alive."""
        return 5 * self.heartbeat_interval_s

    @property
    def fence_s(self) -> float:
        """After this long no grant that an earlier owner can have given still holds."""
        return self.serving_lease_s * (1 + DRIFT)

    @property
    def agent_lease_s(self) -> float:
        """An agent that no controller has answered for this long stops all its members."""
        return 10 * self.heartbeat_interval_s

    @property
    def idle_poll_interval_s(self) -> float:
        """How often a controller that hears no agent looks whether it owns the pool."""
        return 4 * self.heartbeat_interval_s

    @property
    def answer_timeout_s(self) -> float:
        """An agent drops answers that come later than this."""
        return 2 * self.heartbeat_interval_s

    @property
    def start_overhead_s(self) -> float:
        """What a start may take beside the fetch of the weights."""
        return 10 * self.heartbeat_interval_s

    @property
    def initial_backoff_s(self) -> float:
        """The wait before a second restart in a row; it doubles with each further one."""
        return 2 * self.heartbeat_interval_s

    @property
    def max_backoff_s(self) -> float:
        """The longest wait before a restart."""
        return 32 * self.heartbeat_interval_s

    @property
    def failure_half_life_s(self) -> float:
        """How fast a machine's failures are forgotten."""
        return 120 * self.heartbeat_interval_s

    @property
    def max_failure_score(self) -> float:
        """A machine with a higher failure score is used only where no other is left."""
        return 1.5

    @property
    def preempt_after_s(self) -> float:
        """A replica that finds no room takes that of lesser ones after this long."""
        return 5 * self.heartbeat_interval_s

    def repair_bound_s(self, load_s: float, write_s: float) -> float:
        """Within this time of a member's death the replica serves again, if there is room and no
        back-off is due: `load_s` is what the slowest fetch takes, `write_s` a durable write. Also
        the bound for several deaths, counted from the last one.
        """
        noticed = self.failure_detection_s + 2 * self.heartbeat_interval_s
        fenced = max(self.fence_s, noticed)
        placed = 2 * write_s + self.heartbeat_interval_s
        loaded = load_s + 2 * self.heartbeat_interval_s
        granted = write_s + 2 * self.heartbeat_interval_s
        return fenced + placed + loaded + granted


def parse(data: dict[str, Any], settings: Settings) -> MultihostSettings:
    """Reads the table; raises SettingsError with the name of the field that is wrong."""
    table = Table(data, "").table("multihost")
    offset = int(table.number("port_offset", 1))
    shard = int(table.number("pool_shard", 0, 0.0))
    if shard >= settings.controller_count:
        raise SettingsError(
            f"multihost.pool_shard: below {settings.controller_count}, the controllers' number"
        )
    port = settings.peer_listen.port + offset
    if port >= 65536:
        raise SettingsError("multihost.port_offset: the port is past 65535")
    ratio = table.number("idle_ratio", 0, 0.25)
    if ratio > 1:
        raise SettingsError("multihost.idle_ratio: a number from 0 to 1 is needed")
    return MultihostSettings(
        listen=Endpoint(settings.peer_listen.host, port),
        pool_shard=shard,
        heartbeat_interval_s=table.number("heartbeat_s", 0.05, settings.heartbeat_interval_s),
        idle_ratio=ratio,
    )


def load(path: str, settings: Settings) -> MultihostSettings:
    """Reads and checks the file; raises SettingsError."""
    return parse(read_toml(path), settings)
