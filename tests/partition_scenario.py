"""Scenario of a partitioned zone whose controller keeps another owner's machine alive."""

from collections.abc import Awaitable, Callable

from crossmill.net.client import ConnectionFailedError
from crossmill.workers.heartbeat_handler import HeartbeatResponse

from .builders import reported_task
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, add_job, run_scenario, seed

RUNNING = reported_task("wk-000001", 0, 1, "running")


class PartitionableLink:
    """A connection to the state service that can be interrupted."""

    def __init__(self, state: StateService) -> None:
        self._state = state
        self.is_interrupted = False

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Forward the request; raise ConnectionFailedError while the connection is interrupted."""
        if self.is_interrupted:
            raise ConnectionFailedError(path)
        return await self._state.request(method, path, body, timeout_s)


class PartitionScenario:
    """Two controllers and one machine in two zones.

    node-1 (south) owns machine n-0 (north), which runs a task; node-0 is in the north. `owner` is
    node-1, and `zone_controller` is node-0.
    """

    def __init__(self, state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        self.state, self.clock, self.nodes = state, clock, nodes
        self.link = PartitionableLink(state)
        self.seq = 10

    async def begin(self) -> None:
        """Start both controllers, and let the owner start the task on the machine."""
        seed(self.state, self.clock, machines=1)
        self.job = add_job(self.state, self.clock, sacks=1, cut="service", grindS=0.0, dueS=None)
        self.owner = SteppedController(self.state, self.clock, self.nodes, "node-1")
        await self.owner.boot()
        for _ in range(12):
            self.clock.time += self.owner.settings.controller_lease_ttl_s / 3
            await self.owner.renew_and_sync()
            await self.owner.membership.step()
        token = self.token = self.owner.token()
        self.owner.report("n-0", 1, 1, 0)
        self.owner.report("n-0", 1, 2, token)
        await self.owner.round()
        assert [command.op for command in self.owner.report("n-0", 1, 3, token).commands] == [
            "start"
        ]
        self.zone_controller = SteppedController(self.link, self.clock, self.nodes, "node-0")
        await self.zone_controller.boot()
        self.settings = self.zone_controller.settings

    async def pass_time(self, seconds: float, to: SteppedController | None = None) -> None:
        """Advance the clock; the machine sends its heartbeats to `to`, and the owner schedules."""
        end = self.clock.time + seconds
        while self.clock.time < end:
            self.clock.time += 0.5
            for node in (self.owner, self.zone_controller):
                await node.controller_lease.step()
                await node.partition_protocol.step()
            if to is not None:
                self.seq += 1
                response = to.report("n-0", 1, self.seq, self.token, RUNNING)
                assert (response.status, response.token) == (200, self.token), self.clock.time
            await self.owner.round()

    def report_to_zone_controller(self, seq: int) -> HeartbeatResponse:
        """Deliver the machine's heartbeat, which reports its task as running, to node-0."""
        return self.zone_controller.report("n-0", 1, seq, self.token, RUNNING)

    async def settle(self) -> None:
        """Advance the clock until node-0 is permitted to keep workers alive."""
        await self.pass_time(2, self.owner)

    def isolate_zone(self) -> None:
        """Partition the north: node-0 reaches neither the state service nor the south."""
        self.link.is_interrupted = True
        self.nodes["node-0"].is_unreachable = self.nodes["node-1"].is_unreachable = True

    def end_partition(self) -> None:
        """End the partition."""
        self.link.is_interrupted = False
        self.nodes["node-0"].is_unreachable = self.nodes["node-1"].is_unreachable = False

    def planned_attempts(self) -> int:
        """Return the number of attempts that the owner has planned onto the machine."""
        return len(self.owner.cluster.machines["n-0"].attempts)


def run_settled(scenario: Callable[[PartitionScenario], Awaitable[None]]) -> None:
    """Run a scenario that begins when node-0 may keep workers alive in case of a partition."""

    async def begin(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        partition = PartitionScenario(state, clock, nodes)
        await partition.begin()
        await partition.settle()
        await scenario(partition)

    run_scenario(begin)
