"""Controllers on fake services, which tests run step by step under a clock that they advance.

`SteppedController` assembles a controller as crossmill/app.py does, without sockets. `run_scenario`
runs a test's coroutine with a new state service and clock.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import orjson

from crossmill.cluster import keys
from crossmill.cluster.cluster_state import ClusterState
from crossmill.cluster.controller_lease import ControllerLease
from crossmill.cluster.feature_level import FeatureLevel
from crossmill.cluster.isolation import IsolationDetector
from crossmill.cluster.lease_extensions import LeaseExtensions
from crossmill.cluster.membership import Membership
from crossmill.cluster.ownership import OwnedShards
from crossmill.cluster.partition_detector import RegionContact
from crossmill.cluster.partition_protocol import PartitionProtocol
from crossmill.cluster.peer_links import PeerLinks
from crossmill.cluster.records import encode_job
from crossmill.cluster.state_access import StateAccess
from crossmill.fleet.cloud import Cloud, stored_catalog
from crossmill.fleet.forecast import DemandForecast
from crossmill.fleet.machine_records import MachineRecords
from crossmill.fleet.provisioner import FleetProvisioner
from crossmill.jobs.api import JobApi
from crossmill.jobs.availability import UserAvailability
from crossmill.jobs.record_repair import RecordRepair
from crossmill.jobs.scheduling_loop import SchedulingLoop
from crossmill.net.client import ConnectionFailedError, HttpClient
from crossmill.net.server import Request, Response
from crossmill.routes import PublicRoutes
from crossmill.settings import Peer
from crossmill.state.client import StateClient
from crossmill.state.mirror import Mirror
from crossmill.state.watcher import StateWatcher
from crossmill.state.writer import Writer
from crossmill.wire import peers
from crossmill.wire.checks import load_object
from crossmill.wire.cloud import parse_catalog
from crossmill.wire.workers import parse_heartbeat
from crossmill.workers.command_sender import CommandSender
from crossmill.workers.heartbeat_handler import HeartbeatHandler, HeartbeatResponse

from .builders import heartbeat_body, make_settings, make_spec
from .fake_clock import FakeClock
from .fake_cloud import CATALOG, CloudService
from .fake_state_service import StateService

# maximum size of a job record under the limits of `make_settings`, in bytes
MAX_RECORD_BYTES = make_settings().state_limits.max_record_bytes


class InMemoryPeerLink:
    """A link to a peer's handler; the connection to an unreachable peer fails."""

    def __init__(self, nodes: dict[str, "SteppedController"], label: str) -> None:
        self._nodes = nodes
        self._label = label

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Let the peer handle the request without delay."""
        node = self._nodes.get(self._label)
        if node is None or node.is_unreachable:
            raise ConnectionFailedError(self._label)
        response = node.handle_peer_request(Request(method, path, body))
        return response.status, response.body


class ScriptedWorkerLink:
    """A link to a worker's own address, with scripted responses to commands.

    `sent` holds the decoded request bodies. `scripted_response` makes the response from a request
    body, or is the error to raise; if it is None, the connection fails.
    """

    def __init__(self) -> None:
        self.sent: list[dict[str, Any]] = []
        self.scripted_response: Callable[[dict[str, Any]], tuple[int, bytes]] | Exception | None = (
            None
        )

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Store the request's body and respond as scripted."""
        data = load_object(body)
        self.sent.append(data)
        if isinstance(self.scripted_response, Exception):
            raise self.scripted_response
        if self.scripted_response is None:
            raise ConnectionFailedError("the worker is unreachable")
        return self.scripted_response(data)


class SteppedController:
    """A controller assembled as in production, whose parts run only when a test calls them.

    `nodes` holds all controllers of the test by label; the constructor adds the new one.
    """

    def __init__(  # noqa: PLR0913 - tests replace each of them
        self,
        state: HttpClient,
        clock: FakeClock,
        nodes: dict[str, "SteppedController"],
        label: str = "node-0",
        cloud: CloudService | None = None,
        connect: Callable[[Peer], HttpClient] | None = None,
        unique_id: str = "once",
    ) -> None:
        self.settings = s = make_settings(label)
        self.clock = clock
        self.is_unreachable = False
        nodes[label] = self
        self.client = StateClient(s, clock, state)
        self.mirror = Mirror()
        self.cluster = ClusterState(self.mirror, s)
        self.watcher = StateWatcher(self.client, self.mirror, clock, keys.ROOT, s)
        # the clock does not advance while the watcher waits
        self.watcher._pause_s = 0.0
        self.writer = Writer(self.client, self.mirror, clock, s, lambda: self.cluster.limits)
        self.controller_lease = ControllerLease(self.client, clock, s)

        def connect_to_peer(peer: Peer) -> HttpClient:
            return connect(peer) if connect is not None else InMemoryPeerLink(nodes, peer.label)

        shards = OwnedShards()
        peer_links = PeerLinks(s, clock, connect_to_peer)
        self.isolation = IsolationDetector(s, clock, self.client, peer_links)
        self.lease_extensions = LeaseExtensions(
            s, clock, shards, self.client, self.isolation, connect_to_peer
        )
        access = StateAccess(self.cluster, self.watcher, self.writer, self.controller_lease)
        self.membership = Membership(s, clock, access, shards, self.lease_extensions)
        self.feature_level = FeatureLevel(s, clock, access, self.membership)
        self.region_contact = RegionContact(s, clock)
        self.partition_protocol = PartitionProtocol(
            s, clock, access, peer_links, self.region_contact
        )
        self.heartbeats = HeartbeatHandler(
            s,
            clock,
            self.cluster,
            self.membership,
            self.partition_protocol,
        )
        self.forecast = DemandForecast(s, clock, self.cluster)
        self.worker = ScriptedWorkerLink()
        self.command_sender = CommandSender(s, self.cluster, self.membership, self.heartbeats)
        self.command_sender.connect = lambda endpoint: self.worker
        self.scheduling_loop = SchedulingLoop(
            s,
            clock,
            self.cluster,
            self.membership,
            self.heartbeats,
            self.writer,
            self.forecast,
            self.command_sender,
            self.partition_protocol.expiry_proof,
            curio.Event(),
        )
        self.cloud = cloud or CloudService()
        self.provisioner = FleetProvisioner(
            s,
            clock,
            self.cluster,
            self.forecast,
            Cloud(s, clock, lambda: unique_id, self.cloud),
            MachineRecords(self.cluster, self.membership, self.writer),
        )
        self.availability = UserAvailability(
            s, self.cluster, self.watcher, self.client, self.isolation
        )
        self.jobs = JobApi(
            s,
            clock,
            self.cluster,
            self.watcher,
            self.writer,
            self.client,
            self.partition_protocol.cancellations,
            self.availability,
        )
        self.public_routes = PublicRoutes(
            self.heartbeats,
            self.jobs,
            self.availability,
            self.region_contact,
            curio.Event().set,
        )
        self.record_repair = RecordRepair(
            s, clock, self.cluster, self.membership, self.client, self.writer
        )

    async def boot(self, wait_for_grants: bool = True) -> None:
        """Start the controller.

        Unless `wait_for_grants` is False, first move the clock past the end of every lease
        extension that an earlier owner may have been granted: until then, the controller acquires
        no shard without an owner.
        """
        if wait_for_grants:
            self.clock.time += self.settings.lease_extension_grant_s * 1.1
        await curio.spawn(self.writer.run, daemon=True)
        await curio.spawn(self.watcher.run_syncs, daemon=True)
        await self.controller_lease.step()
        await self.watcher.load()
        await self.membership.step()

    async def renew_and_sync(self) -> None:
        """Renew the lease and read the state's changes, as a running controller does."""
        await self.controller_lease.step()
        if not self.controller_lease.is_failing:
            await self.watcher.sync(1.0)

    async def sync(self) -> None:
        """Read all changes that the state service has committed so far."""
        assert await self.watcher.sync(1.0)

    async def round(self, shard: int = 0) -> None:
        """Run one scheduling round of a shard and wait for all of its writes."""
        ownership = self.membership.active_ownership(shard)
        assert ownership is not None
        await self.scheduling_loop.run_round(shard, ownership)
        await self.scheduling_loop.wait_for_cleanup(shard)

    def token(self, shard: int = 0) -> int:
        """Return the fencing token under which the controller owns the shard."""
        return self.membership.ownerships[shard].token

    def report(
        self, machine: str, session: int, seq: int, token: int, *tasks: Any
    ) -> HeartbeatResponse:
        """Deliver a heartbeat with the worker's task statuses and return the response."""
        body = load_object(heartbeat_body(machine, session, seq, token, *tasks))
        report = parse_heartbeat(body, self.heartbeats.read_task_status)
        return self.heartbeats.handle(report)

    def handle_peer_request(self, request: Request) -> Response:
        """Handle another controller's request, as the listener for peers routes it."""
        if request.path in (peers.ATTESTATION_PATH, peers.CANCELLATION_PATH):
            return self.partition_protocol.handle(request)
        return self.lease_extensions.handle(request)

    async def send_user_request(self, method: str, path: str, body: bytes = b"") -> Response:
        """Send a request to the users' interface."""
        return await self.public_routes.handle(Request(method, path, body))


def seed(state: StateService, clock: FakeClock, machines: int = 2, shard: int = 0) -> None:
    """Store a catalog and the records of rented machines."""
    state.put(keys.CATALOG, stored_catalog(parse_catalog(CATALOG)))
    for number in range(machines):
        add_machine(state, clock, f"n-{number}", shard)


def add_machine(
    state: StateService, clock: FakeClock, machine: str, shard: int = 0, **changes: Any
) -> None:
    """Store a machine's record."""
    value = {
        "type": "g4",
        "zone": "north",
        "spot": False,
        "shard": shard,
        "at": clock.wall_time(),
        "retiring": "",
        "up": True,
        **changes,
    }
    state.put(keys.machine(machine), value)


def add_job(state: StateService, clock: FakeClock, **changes: Any) -> str:
    """Store an accepted job's record and return the job's ID."""
    spec = make_spec(**changes)
    value = load_object(orjson.dumps(encode_job(spec, clock.wall_time())))
    state.put(keys.job(spec.id), value)
    return spec.id


def run_scenario(
    scenario: Callable[[StateService, FakeClock, dict[str, SteppedController]], Awaitable[None]],
) -> None:
    """Run a scenario with a new state service, a new clock and no controllers."""
    state, clock = StateService(), FakeClock()
    curio.run(scenario, state, clock, {})


Nodes = dict[str, SteppedController]
