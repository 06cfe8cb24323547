"""Creates the components of a controller and runs their loops."""

import gc
import logging
import os
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

import curio

from .cluster.cluster_state import ClusterState
from .cluster.controller_lease import ControllerLease
from .cluster.feature_level import FeatureLevel
from .cluster.isolation import IsolationDetector
from .cluster.keys import ROOT
from .cluster.lease_extensions import LeaseExtensions
from .cluster.membership import Membership
from .cluster.ownership import OwnedShards
from .cluster.partition_detector import RegionContact
from .cluster.partition_protocol import PartitionProtocol
from .cluster.peer_links import PeerLinks
from .cluster.state_access import StateAccess
from .fleet.cloud import Cloud
from .fleet.forecast import DemandForecast
from .fleet.machine_records import MachineRecords
from .fleet.provisioner import FleetProvisioner
from .jobs.api import JobApi
from .jobs.availability import UserAvailability
from .jobs.record_repair import RecordRepair
from .jobs.scheduling_loop import SchedulingLoop
from .net.clock import Clock
from .net.server import Server
from .routes import PeerRoutes, PublicRoutes
from .settings import Settings
from .state.client import StateClient
from .state.mirror import Mirror
from .state.watcher import StateWatcher
from .state.writer import Writer
from .workers.command_sender import CommandSender
from .workers.heartbeat_handler import HeartbeatHandler

if TYPE_CHECKING:
    from .multihost.settings import MultihostSettings
    from .recovery.api import RecoveryApi
    from .recovery.settings import RecoverySettings

log = logging.getLogger(__name__)

# seconds before a failed component is restarted
RESTART_DELAY_S = 1.0

# the main coroutine of a component; it runs until the controller stops
Loop = Callable[[], Awaitable[None]]


class App:
    """All components of one controller and their loops.

    Multi-machine replicas and recovery are optional: without their settings, nothing from the
    packages `multihost` and `recovery` is imported.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        multihost: "MultihostSettings | None" = None,
        recovery: "RecoverySettings | None" = None,
    ) -> None:
        self.settings = settings
        self._clock = clock
        # set when there may be tasks to schedule
        work_available = curio.Event()
        self._build_state(work_available)
        self._build_cluster()
        self.forecast = DemandForecast(settings, clock, self.cluster)
        self.recovery = None if recovery is None else self._build_recovery(recovery)
        self._build_workers(work_available)
        self._build_jobs(work_available)
        self._build_servers(work_available)
        self._loops = self._core_loops()
        if multihost is not None:
            self._loops.append(partial(self._run_multihost, multihost))
        if self.recovery is not None:
            self._loops.append(self.recovery.service.run)

    def _build_state(self, work_available: curio.Event) -> None:
        """Create the state service's client, and the reader and writer of the stored state."""
        settings, clock = self.settings, self._clock
        self.client = StateClient(settings, clock)
        self.mirror = Mirror()
        self.cluster = ClusterState(self.mirror, settings)
        self.watcher = StateWatcher(
            self.client, self.mirror, clock, ROOT, settings, work_available.set
        )
        self.writer = Writer(self.client, self.mirror, clock, settings, lambda: self.cluster.limits)

    def _build_cluster(self) -> None:
        """Create the components for leases, shard ownership and coordination with peers."""
        settings, clock = self.settings, self._clock
        self.controller_lease = ControllerLease(self.client, clock, settings)
        shards = OwnedShards()
        peers = PeerLinks(settings, clock)
        self.isolation = IsolationDetector(settings, clock, self.client, peers)
        self.lease_extensions = LeaseExtensions(
            settings, clock, shards, self.client, self.isolation
        )
        state = StateAccess(self.cluster, self.watcher, self.writer, self.controller_lease)
        self.membership = Membership(settings, clock, state, shards, self.lease_extensions)
        self.feature_level = FeatureLevel(settings, clock, state, self.membership)
        self.region_contact = RegionContact(settings, clock)
        self.partition_protocol = PartitionProtocol(
            settings, clock, state, peers, self.region_contact
        )

    def _build_recovery(self, recovery: "RecoverySettings") -> "RecoveryApi":
        """Create the recovery subsystem.

        After a shard is acquired, recovery delays actions on tasks and machines whose stored state
        and heartbeats differ. It must therefore exist before the first heartbeat is handled.
        """
        from .recovery.api import RecoveryApi
        from .recovery.context import RecoveryContext
        from .recovery.service import RecoveryService

        context = RecoveryContext(
            self.settings, recovery, self._clock, self.cluster, self.watcher, self.writer
        )
        service = RecoveryService(context, self.membership, self.forecast.priority_of)
        return RecoveryApi(context, service)

    def _build_workers(self, work_available: curio.Event) -> None:
        """Create the components that respond to workers' heartbeats and send them commands."""
        self.heartbeats = HeartbeatHandler(
            self.settings,
            self._clock,
            self.cluster,
            self.membership,
            self.partition_protocol,
            None if self.recovery is None else self.recovery.service,
        )
        self.command_sender = CommandSender(
            self.settings,
            self.cluster,
            self.membership,
            self.heartbeats,
            work_available.set,
        )

    def _build_jobs(self, work_available: curio.Event) -> None:
        """Create the components that schedule tasks, provision machines and serve users."""
        settings, clock = self.settings, self._clock
        self.scheduling_loop = SchedulingLoop(
            settings,
            clock,
            self.cluster,
            self.membership,
            self.heartbeats,
            self.writer,
            self.forecast,
            self.command_sender,
            self.partition_protocol.expiry_proof,
            work_available,
        )
        self.provisioner = FleetProvisioner(
            settings,
            clock,
            self.cluster,
            self.forecast,
            Cloud(settings, clock, _unique_name),
            MachineRecords(self.cluster, self.membership, self.writer),
        )
        self.availability = UserAvailability(
            settings, self.cluster, self.watcher, self.client, self.isolation
        )
        self.jobs = JobApi(
            settings,
            clock,
            self.cluster,
            self.watcher,
            self.writer,
            self.client,
            self.partition_protocol.cancellations,
            self.availability,
        )
        self.record_repair = RecordRepair(
            settings, clock, self.cluster, self.membership, self.client, self.writer
        )

    def _build_servers(self, work_available: curio.Event) -> None:
        settings = self.settings
        public = PublicRoutes(
            self.heartbeats, self.jobs, self.availability, self.region_contact, work_available.set
        )
        recovery_handler = None if self.recovery is None else self.recovery.handle
        peers = PeerRoutes(self.lease_extensions, self.partition_protocol, recovery_handler)
        self.server = Server(
            settings.bind,
            public.handle,
            settings.server_sockets,
            settings.idle_connection_timeout_s,
            settings.max_cached_request_heads,
        )
        self.peer_server = Server(
            settings.peer_listen,
            peers.handle,
            settings.peer_sockets,
            settings.idle_connection_timeout_s,
            settings.max_cached_request_heads,
        )

    def _core_loops(self) -> list[Loop]:
        return [
            self.server.run,
            self.peer_server.run,
            self.controller_lease.run,
            self.watcher.run,
            self.watcher.run_syncs,
            self.writer.run,
            self.membership.run,
            self.feature_level.run,
            self.partition_protocol.run,
            self.isolation.run,
            self.availability.run,
            self.scheduling_loop.run,
            self.record_repair.run,
            self.provisioner.run,
        ]

    async def _run_multihost(self, multihost: "MultihostSettings") -> None:
        """Run the scheduling of multi-machine replicas.

        The package is imported only after the controller has had time to acquire its shards. When
        all controllers restart, the import would otherwise delay the responses to heartbeats, and
        workers' leases could expire.
        """
        await self.watcher.ready.wait()
        await curio.sleep(self.settings.controller_lease_ttl_s)
        from .multihost.context import ControllerContext
        from .multihost.service import MultihostService

        controller = ControllerContext(
            self.settings,
            self._clock,
            self.cluster,
            self.membership,
            self.watcher,
            self.writer,
        )
        service = MultihostService(multihost, controller, _unique_name())
        for loop in service.loops:
            await curio.spawn(_restart_on_failure, loop, daemon=True)
        await curio.Event().wait()

    async def run(self) -> None:
        """Run all loops of the controller until it is killed."""
        settings = self.settings
        log.info(
            "starting controller=%s zone=%s bind=%s:%d",
            settings.label,
            settings.zone,
            settings.bind.host,
            settings.bind.port,
        )
        for loop in self._loops:
            await curio.spawn(_restart_on_failure, loop, daemon=True)
        await curio.Event().wait()


def _unique_name() -> str:
    """Return a random name that no other process has used."""
    return os.urandom(8).hex()


async def _restart_on_failure(loop: Loop) -> None:
    """Run a component's loop; if it fails, log the error and restart it.

    A controller must not continue to run without one of its components.
    """
    while True:
        try:
            await loop()
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("component failed component=%s", getattr(loop, "__qualname__", loop))
            await curio.sleep(RESTART_DELAY_S)


def serve(
    settings: Settings,
    multihost: "MultihostSettings | None" = None,
    recovery: "RecoverySettings | None" = None,
) -> None:
    """Run a controller until it is killed."""
    app = App(settings, Clock(), multihost, recovery)
    # exempts the objects created so far from garbage collection; they exist until the process ends
    gc.freeze()
    curio.run(app.run)
