"""The load balancer of a simulated region as PROTOCOL describes it, and users who poll through it.

The load balancer probes `/healthz` of every controller, marks controllers as healthy or unhealthy,
gives new connections to healthy ones and resets connections on unhealthy ones. It never moves an
open connection.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from crossmill.net.server import Request

from .simulated_region import Region
from .stepped_controller import SteppedController

STATUS_OK = 200
ACCEPTED = (200, 201)
# PROTOCOL, "Users -> controller nodes"
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
FAILURES_IN_ROW = 2
RECENT_PROBES, RECENT_FAILURES = 6, 3
SUCCESSES_IN_ROW = 2
FIRST_PAUSE_S, MAX_PAUSE_S, REMOVAL_MEMORY_S = 3.0, 60.0, 120.0
RESET_AFTER_S = 5.0
SLOW_START_S = 10.0
# share of new connections of a controller that has just become healthy
MIN_SHARE = 0.1
CONNECT_TIMEOUT_S = 0.5
CONNECT_TRIES = 3
SKIPPED_AFTER_FAILURES, SKIPPED_FOR_S = 3, 3.0
POLL_INTERVAL_S = 5.0
POLL_TIMEOUT_S = 2.0
SUBMIT_RETRY_S = 1.0
RESET_CHECK_INTERVAL_S = 0.25


class NoConnectionError(Exception):
    """No controller accepted the connection."""


@dataclass(eq=False)
class Connection:
    """A user's connection to one process of a controller."""

    label: str
    process: SteppedController
    is_open: bool = True


@dataclass
class NodeMarks:
    """What the load balancer knows about one controller; times are in seconds.

    Attributes:
        is_healthy: Whether new connections are given to the controller.
        is_healthy_since: When the controller was last marked healthy; None if never.
        unhealthy_since: When the controller was last marked unhealthy; None if never.
        removals: The times at which the controller was marked unhealthy.
        recent_probes: The results of the latest probes.
        successes: The number of successful probes in a row.
        failed_connections: The number of connections in a row that failed.
        skipped_until: The time before which the controller gets no connection.
    """

    is_healthy: bool = False
    is_healthy_since: float | None = None
    unhealthy_since: float | None = None
    removals: list[float] = field(default_factory=list)
    recent_probes: deque[bool] = field(default_factory=lambda: deque(maxlen=RECENT_PROBES))
    successes: int = 0
    failed_connections: int = 0
    skipped_until: float = 0.0

    def record_probe(self, is_success: bool, now: float) -> None:
        """Update the marks after a probe."""
        self.recent_probes.append(is_success)
        self.successes = self.successes + 1 if is_success else 0
        if self.is_healthy:
            if self._has_failed():
                self.is_healthy = False
                self.unhealthy_since = now
                self.removals.append(now)
        elif self._has_recovered(now):
            self.is_healthy = True
            self.is_healthy_since = now
            # else the failures before would remove it at once, though two successes suffice
            self.recent_probes.clear()

    def _has_failed(self) -> bool:
        last = list(self.recent_probes)[-FAILURES_IN_ROW:]
        has_failed_in_row = len(last) == FAILURES_IN_ROW and not any(last)
        return has_failed_in_row or self.recent_probes.count(False) >= RECENT_FAILURES

    def _has_recovered(self, now: float) -> bool:
        if self.unhealthy_since is None:
            return self.successes >= 1
        has_paused = now - self.unhealthy_since >= self.pause_s(now)
        return self.successes >= SUCCESSES_IN_ROW and has_paused

    def pause_s(self, now: float) -> float:
        """Return the pause after the last removal, doubled by each other one in two minutes."""
        recent = sum(now - at <= REMOVAL_MEMORY_S for at in self.removals)
        pause_s: float = FIRST_PAUSE_S * 2 ** max(0, recent - 1)
        return min(MAX_PAUSE_S, pause_s)

    def share(self, now: float) -> float:
        """Return the present share of new connections, from `MIN_SHARE` to 1."""
        since = self.is_healthy_since
        assert since is not None, "the controller was never healthy"
        return min(1.0, max(MIN_SHARE, (now - since) / SLOW_START_S))


class LoadBalancer:
    """Probes the controllers, and gives users' connections to healthy ones.

    Attributes:
        marks: The marks of each controller, by label.
        resets: The time and label of each connection that was reset.
        can_reach: Predicate on the label: whether the load balancer reaches the controller.
    """

    def __init__(self, region: Region) -> None:
        self._region = region
        self._connections: list[Connection] = []
        self.marks = {label: NodeMarks() for label in region.LABELS}
        self.resets: list[tuple[float, str]] = []
        self.can_reach: Callable[[str], bool] = lambda label: True

    async def start(self) -> None:
        """Start the probes and the resets."""
        for label in self.marks:
            await curio.spawn(self._probe_repeatedly, label, daemon=True)
        await curio.spawn(self._reset_repeatedly, daemon=True)

    async def _probe_repeatedly(self, label: str) -> None:
        while True:
            is_success = await self._probe(label)
            self.marks[label].record_probe(is_success, self._region.clock.now())
            await curio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, label: str) -> bool:
        node = self._region.nodes.get(label)
        if node is None:
            return False
        if self._region.is_frozen(label) or not self.can_reach(label):
            await curio.sleep(PROBE_TIMEOUT_S)
            return False
        response = await node.public_routes.handle(Request("GET", "/healthz", b""))
        return response.status == STATUS_OK

    async def _reset_repeatedly(self) -> None:
        while True:
            await curio.sleep(RESET_CHECK_INTERVAL_S)
            now = self._region.clock.now()
            for label, marks in self.marks.items():
                since = marks.unhealthy_since
                if not marks.is_healthy and since is not None and now - since >= RESET_AFTER_S:
                    self._reset(label, now)

    def _reset(self, label: str, now: float) -> None:
        for connection in self.connections(label):
            connection.is_open = False
            self.resets.append((now, label))
        self._connections = [c for c in self._connections if c.is_open]

    def connections(self, label: str) -> list[Connection]:
        """Return the open connections to the controller's present process."""
        return [c for c in self._connections if c.label == label and self.is_usable(c)]

    def is_usable(self, connection: Connection) -> bool:
        """Return whether the connection was not reset and its process is running."""
        process = self._region.nodes.get(connection.label)
        return connection.is_open and process is connection.process

    async def connect(self) -> Connection:
        """Open a connection to a healthy controller; raise NoConnectionError if none accepts it."""
        for label in self._candidates()[:CONNECT_TRIES]:
            marks, process = self.marks[label], self._region.nodes.get(label)
            is_reached = self.can_reach(label) and not self._region.is_frozen(label)
            if process is not None and is_reached:
                marks.failed_connections = 0
                return self.connect_to(label)
            if process is not None:
                await curio.sleep(CONNECT_TIMEOUT_S)
            marks.failed_connections += 1
            if marks.failed_connections >= SKIPPED_AFTER_FAILURES:
                marks.failed_connections = 0
                marks.skipped_until = self._region.clock.now() + SKIPPED_FOR_S
        raise NoConnectionError

    def connect_to(self, label: str) -> Connection:
        """Open a connection to the controller, which must be running."""
        connection = Connection(label, self._region.nodes[label])
        self._connections.append(connection)
        return connection

    def _candidates(self) -> list[str]:
        """Return the healthy controllers, those with fewer connections for their share first."""
        now = self._region.clock.now()
        healthy = [
            label
            for label, marks in self.marks.items()
            if marks.is_healthy and now >= marks.skipped_until
        ]
        return sorted(
            healthy,
            key=lambda label: (len(self.connections(label)) + 1) / self.marks[label].share(now),
        )


class PollingUser:
    """A user who submits a job and polls for it on a connection that stays open.

    Attributes:
        connection: The present connection; None while there is none.
        answered_at: The time of the last poll that was answered, in seconds.
        longest_silence_s: The longest time between two answered polls.
    """

    def __init__(self, region: Region, balancer: LoadBalancer, job: str) -> None:
        self._region = region
        self._balancer = balancer
        self.job = job
        self.connection: Connection | None = None
        self.answered_at = region.clock.now()
        self.longest_silence_s = 0.0

    async def submit(self) -> None:
        """Submit the job as a service of one task, and begin to poll for it."""
        while await self._call(self._submit_at) not in ACCEPTED:
            await curio.sleep(SUBMIT_RETRY_S)
        self.answered_at = self._region.clock.now()
        await curio.spawn(self._poll_repeatedly, daemon=True)

    async def _submit_at(self, label: str) -> int:
        return await self._region.submit(label, self.job, sacks=1, cards=0.0, cpus=1.0)

    async def _poll_at(self, label: str) -> int:
        return await self._region.query_job(label, self.job)

    async def _poll_repeatedly(self) -> None:
        while True:
            await curio.sleep(POLL_INTERVAL_S)
            status = await self._call(self._poll_at)
            now = self._region.clock.now()
            self.longest_silence_s = max(self.longest_silence_s, now - self.answered_at)
            if status == STATUS_OK:
                self.answered_at = now

    async def _call(self, call: Callable[[str], Awaitable[int]]) -> int:
        """Send a request on the user's connection; return the status, or 0 without a response."""
        try:
            connection = await self._open_connection()
            async with curio.timeout_after(POLL_TIMEOUT_S):
                status = await call(connection.label)
        except (NoConnectionError, curio.TaskTimeout):
            return 0
        return status

    async def _open_connection(self) -> Connection:
        """Return the open connection, or a new one if it was reset or its process has ended."""
        if self.connection is None or not self._balancer.is_usable(self.connection):
            self.connection = await self._balancer.connect()
        return self.connection

    async def move_to(self, label: str) -> None:
        """Continue on a connection to the given controller, which must be healthy."""
        assert self._balancer.marks[label].is_healthy, label
        if self.connection is not None:
            self.connection.is_open = False
        self.connection = self._balancer.connect_to(label)
