"""The settings of multi-machine replicas: the multihost file and what is derived from it.

See deploy/multihost.toml. Read once at the start; never changed afterwards.
"""

from dataclasses import dataclass
from typing import Any

from ..settings import Endpoint, Settings, SettingsError
from ..settings.loader import read_toml
from ..settings.table import Table

# PROTOCOL's drift between two steady clocks, doubled for safety
CLOCK_DRIFT = 0.002


MIN_HEARTBEAT_INTERVAL_S = 0.05
DEFAULT_IDLE_RATIO = 0.25
PORT_COUNT = 65536


@dataclass(frozen=True, slots=True)
class MultihostSettings:
    """The checked settings of multi-machine replicas.

    All time spans follow from the interval of the agents' heartbeats.

    Attributes:
        listen: Where agents and operators reach the controller.
        pool_shard: The shard whose owner owns the pool.
        heartbeat_interval_s: How often an agent sends a heartbeat.
        idle_ratio: The part of the pool that may be kept free for the first replica that waits.
    """

    listen: Endpoint
    pool_shard: int
    heartbeat_interval_s: float
    idle_ratio: float

    @property
    def failure_detection_s(self) -> float:
        """A machine without a heartbeat for longer than this is lost to its replicas."""
        return 3 * self.heartbeat_interval_s

    @property
    def serving_lease_s(self) -> float:
        """The front member answers for at most this long after every member was last alive."""
        return 5 * self.heartbeat_interval_s

    @property
    def fencing_delay_s(self) -> float:
        """After this long every serving lease that an earlier owner has granted has expired."""
        return self.serving_lease_s * (1 + CLOCK_DRIFT)

    @property
    def agent_lease_s(self) -> float:
        """An agent that no controller has answered for this long stops all its members."""
        return 10 * self.heartbeat_interval_s

    @property
    def idle_poll_interval_s(self) -> float:
        """How often a controller to which no agent reports checks whether it owns the pool."""
        return 4 * self.heartbeat_interval_s

    @property
    def response_timeout_s(self) -> float:
        """An agent drops answers that come later than this."""
        return 2 * self.heartbeat_interval_s

    @property
    def start_overhead_s(self) -> float:
        """What a start may take besides the fetch of the weights."""
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
        """The time in which a machine's failure score is halved."""
        return 120 * self.heartbeat_interval_s

    @property
    def max_failure_score(self) -> float:
        """A machine with a higher failure score is used only where no other is left."""
        return 1.5

    @property
    def preempt_after_s(self) -> float:
        """A replica that has found too few machines for this long may preempt others."""
        return 5 * self.heartbeat_interval_s

    def repair_bound_s(self, load_s: float, write_s: float) -> float:
        """Return the time within which a replica serves again after a member's death.

        It holds if machines are free and no back-off is due. After several deaths it counts from
        the last one.

        Args:
            load_s: What the slowest fetch of the weights takes.
            write_s: What a durable write takes.
        """
        detection_s = self.failure_detection_s + 2 * self.heartbeat_interval_s
        fencing_s = max(self.fencing_delay_s, detection_s)
        placement_s = 2 * write_s + self.heartbeat_interval_s
        loading_s = load_s + 2 * self.heartbeat_interval_s
        grant_s = write_s + 2 * self.heartbeat_interval_s
        return fencing_s + placement_s + loading_s + grant_s


def parse(data: dict[str, Any], settings: Settings) -> MultihostSettings:
    """Return the settings of the file's contents after checking them.

    Args:
        data: The contents of the multihost file.
        settings: The controller's settings, which give the defaults.

    Raises:
        SettingsError: A field is wrong; the error names it.
    """
    table = Table(data, "").table("multihost")
    offset = int(table.number("port_offset", 1))
    shard = int(table.number("pool_shard", 0, 0.0))
    if shard >= settings.controller_count:
        raise SettingsError(
            f"multihost.pool_shard: below {settings.controller_count}, the controllers' number"
        )
    port = settings.peer_listen.port + offset
    if port >= PORT_COUNT:
        raise SettingsError("multihost.port_offset: the port is past 65535")
    ratio = table.number("idle_ratio", 0, DEFAULT_IDLE_RATIO)
    if ratio > 1:
        raise SettingsError("multihost.idle_ratio: a number from 0 to 1 is needed")
    return MultihostSettings(
        listen=Endpoint(settings.peer_listen.host, port),
        pool_shard=shard,
        heartbeat_interval_s=table.number(
            "heartbeat_s", MIN_HEARTBEAT_INTERVAL_S, settings.heartbeat_interval_s
        ),
        idle_ratio=ratio,
    )


def load(path: str, settings: Settings) -> MultihostSettings:
    """Read and check the multihost file.

    Raises:
        SettingsError: It can't be read, or a field is wrong.
    """
    return parse(read_toml(path), settings)
