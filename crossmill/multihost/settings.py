"""The settings of multi-machine replicas, read from the multihost file or derived from it.

The file is read once at startup; deploy/multihost.toml is an example.
"""

from dataclasses import dataclass
from typing import Any

from ..settings import Endpoint, Settings, SettingsError
from ..settings.loader import read_toml
from ..settings.table import Table

# PROTOCOL's bound on the drift between two monotonic clocks, doubled as a safety margin
CLOCK_DRIFT = 0.002


MIN_HEARTBEAT_INTERVAL_S = 0.05
DEFAULT_IDLE_RATIO = 0.25
PORT_COUNT = 65536


@dataclass(frozen=True, slots=True)
class MultihostSettings:
    """The checked settings of multi-machine replicas.

    All time spans follow from the interval of the agents' heartbeats.

    Attributes:
        listen: The endpoint at which agents and operators reach the controller.
        pool_shard: The shard whose owner owns the pool.
        heartbeat_interval_s: The interval between an agent's heartbeats, in seconds.
        idle_ratio: The fraction of the pool that may be kept free for the first waiting replica.
    """

    listen: Endpoint
    pool_shard: int
    heartbeat_interval_s: float
    idle_ratio: float

    @property
    def failure_detection_s(self) -> float:
        """The time without a heartbeat after which a machine counts as lost."""
        return 3 * self.heartbeat_interval_s

    @property
    def serving_lease_s(self) -> float:
        """The time that a front member may serve after all members were last proved alive."""
        return 5 * self.heartbeat_interval_s

    @property
    def fencing_delay_s(self) -> float:
        """The time after which every serving lease granted by an earlier owner has expired."""
        return self.serving_lease_s * (1 + CLOCK_DRIFT)

    @property
    def agent_lease_s(self) -> float:
        """The time without any controller's response after which an agent stops all members."""
        return 10 * self.heartbeat_interval_s

    @property
    def idle_poll_interval_s(self) -> float:
        """The interval at which a controller without agents checks whether it owns the pool."""
        return 4 * self.heartbeat_interval_s

    @property
    def response_timeout_s(self) -> float:
        """The time after which an agent drops the response to a heartbeat."""
        return 2 * self.heartbeat_interval_s

    @property
    def start_overhead_s(self) -> float:
        """The time allowed for a start in addition to the fetch of the weights."""
        return 10 * self.heartbeat_interval_s

    @property
    def initial_backoff_s(self) -> float:
        """The delay before a second consecutive restart; it doubles with each further one."""
        return 2 * self.heartbeat_interval_s

    @property
    def max_backoff_s(self) -> float:
        """The maximum delay before a restart."""
        return 32 * self.heartbeat_interval_s

    @property
    def failure_half_life_s(self) -> float:
        """The time in which a machine's failure score decays by half."""
        return 120 * self.heartbeat_interval_s

    @property
    def max_failure_score(self) -> float:
        """The failure score above which a machine is used only if no other is available."""
        return 1.5

    @property
    def preempt_after_s(self) -> float:
        """The time for which a replica must lack machines before it may preempt others."""
        return 5 * self.heartbeat_interval_s

    def repair_bound_s(self, load_s: float, write_s: float) -> float:
        """Return the time within which a replica serves again after a member's death.

        The bound applies if machines are free and no back-off delay is pending. After several
        deaths it counts from the last one.

        Args:
            load_s: The duration of the slowest fetch of the weights.
            write_s: The duration of a durable write.
        """
        detection_s = self.failure_detection_s + 2 * self.heartbeat_interval_s
        fencing_s = max(self.fencing_delay_s, detection_s)
        placement_s = 2 * write_s + self.heartbeat_interval_s
        loading_s = load_s + 2 * self.heartbeat_interval_s
        grant_s = write_s + 2 * self.heartbeat_interval_s
        return fencing_s + placement_s + loading_s + grant_s


def parse(data: dict[str, Any], settings: Settings) -> MultihostSettings:
    """Return the checked settings from the contents of the multihost file.

    Args:
        data: The contents of the multihost file.
        settings: The controller's settings, from which the defaults are taken.

    Raises:
        SettingsError: A field is invalid; the message names it.
    """
    table = Table(data, "").table("multihost")
    offset = int(table.number("port_offset", 1))
    shard = int(table.number("pool_shard", 0, 0.0))
    if shard >= settings.controller_count:
        raise SettingsError(
            f"multihost.pool_shard: a number below {settings.controller_count} is needed"
        )
    port = settings.peer_listen.port + offset
    if port >= PORT_COUNT:
        raise SettingsError("multihost.port_offset: the resulting port exceeds 65535")
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
        SettingsError: The file can't be read, or a field is invalid.
    """
    return parse(read_toml(path), settings)
