"""Wires the parts of a controller together."""

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
from .cluster.keys import ROOT
from .cluster.lease_extensions import LeaseExtensions
from .cluster.membership import Membership
from .cluster.ownership import OwnedShards
from .cluster.partition_protocol import PartitionProtocol
from .fleet.cloud import Cloud
from .fleet.forecast import DemandForecast
from .fleet.provisioner import FleetProvisioner
from .jobs.api import JobApi
from .jobs.record_repair import RecordRepair
from .jobs.scheduling_loop import SchedulingLoop
from .net.clock import Clock
from .net.server import Handler, Request, Response, Server
from .settings import Settings
from .state.client import StateClient
from .state.mirror import Mirror
from .state.watcher import StateWatcher
from .state.writer import Writer
from .wire import peers, users, workers
from .wire.checks import MalformedMessageError, load_object
from .workers.command_sender import CommandSender
from .workers.heartbeat_handler import HeartbeatHandler

if TYPE_CHECKING:
    from .multihost.settings import MultihostSettings
    from .recovery.settings import RecoverySettings

log = logging.getLogger(__name__)

# operators' requests about recoveries; its wire module is loaded only with them
RECOVERY_PATH = "/recovery"


class App:
    """All parts of one controller. Those of multi-machine replicas, and of recovery, are there only
    with their own settings; without them nothing of `multihost` or `recovery` is loaded.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        multihost: "MultihostSettings | None" = None,
        recovery: "RecoverySettings | None" = None,
    ) -> None:
        self.settings = settings
        client = StateClient(settings, clock)
        mirror = Mirror()
        self.cluster = ClusterState(mirror, settings)
        self.watcher = StateWatcher(client, mirror, clock, ROOT, settings)
        self.writer = Writer(client, mirror, clock, settings, lambda: self.cluster.limits)
        self.controller_lease = ControllerLease(client, clock, settings)
        shards = OwnedShards()
        self.lease_extensions = LeaseExtensions(settings, clock, shards, client)
        self.membership = Membership(
            settings,
            clock,
            self.controller_lease,
            self.cluster,
            self.watcher,
            self.writer,
            shards,
            self.lease_extensions,
        )
        self.feature_level = FeatureLevel(
            settings, clock, self.cluster, self.watcher, self.writer, self.membership
        )
        self.partition_protocol = PartitionProtocol(
            settings, clock, self.cluster, self.controller_lease, self.watcher.sync
        )
        self.heartbeats = HeartbeatHandler(
            settings,
            clock,
            self.cluster,
            self.membership,
            self.partition_protocol.keepalive,
            self.partition_protocol.expiry_proof,
        )
        self.forecast = DemandForecast(settings, clock, self.cluster)
        command_sender = CommandSender(settings, self.cluster, self.membership, self.heartbeats)
        self.scheduling_loop = SchedulingLoop(
            settings,
            clock,
            self.cluster,
            self.membership,
            self.heartbeats,
            self.writer,
            self.forecast,
            command_sender,
            self.partition_protocol.expiry_proof,
        )
        command_sender.on_response = self.scheduling_loop.wake.set
        self.watcher.on_change = self.scheduling_loop.wake.set
        self.provisioner = FleetProvisioner(
            settings,
            clock,
            self.cluster,
            self.membership,
            self.forecast,
            Cloud(settings, clock),
            self.writer,
            lambda: os.urandom(8).hex(),
        )
        self.jobs = JobApi(
            settings,
            clock,
            self.cluster,
            self.watcher,
            self.writer,
            client,
            self.partition_protocol.cancellations,
        )
        self.record_repair = RecordRepair(
            settings, clock, self.cluster, self.membership, client, self.writer
        )
        self.server = Server(
            settings.bind,
            self._handle,
            settings.server_sockets,
            settings.idle_connection_timeout_s,
            settings.max_cached_request_heads,
        )
        self.peer_server = Server(
            settings.peer_listen,
            self._handle_peer,
            settings.peer_sockets,
            settings.idle_connection_timeout_s,
            settings.max_cached_request_heads,
        )

        self._loops: list[Callable[[], Awaitable[None]]] = [
            self.server.run,
            self.peer_server.run,
            self.controller_lease.run,
            self.watcher.run,
            self.watcher.run_syncs,
            self.writer.run,
            self.membership.run,
            self.feature_level.run,
            self.partition_protocol.run,
            self.scheduling_loop.run,
            self.record_repair.run,
            self.provisioner.run,
        ]
        if multihost is not None:
            self._loops.append(partial(self._run_multihost, multihost, clock))
        self._recovery_handler: Handler | None = None
        if recovery is not None:
            self._add_recovery(recovery, clock)

    def _add_recovery(self, recovery: "RecoverySettings", clock: Clock) -> None:
        """Holds back what differs when a shard is taken: there before the first report comes."""
        from .recovery.api import RecoveryApi
        from .recovery.service import RecoveryService

        service = RecoveryService(
            self.settings,
            recovery,
            clock,
            self.cluster,
            self.membership,
            self.watcher,
            self.writer,
            self.forecast.priority_of,
        )
        api = RecoveryApi(
            self.settings, recovery, clock, self.cluster, self.watcher, self.writer, service
        )
        self.heartbeats.gate = service
        self._recovery_handler = api.handle
        self._loops.append(service.run)

    async def _run_multihost(self, multihost: "MultihostSettings", clock: Clock) -> None:
        """Loaded only once the controller has had time to take its shards: after an end of all
        controllers the workers' leases hang on how soon it serves.
        """
        await self.watcher.ready.wait()
        await curio.sleep(self.settings.controller_lease_ttl_s)
        from .multihost.context import ControllerContext
        from .multihost.service import MultihostService

        controller = ControllerContext(
            self.settings, clock, self.cluster, self.membership, self.watcher, self.writer
        )
        service = MultihostService(multihost, controller, os.urandom(8).hex())
        for run in service.loops:
            await curio.spawn(_guard, run, daemon=True)
        await curio.Event().wait()

    async def _handle_peer(self, request: Request) -> Response:
        if request.path in (peers.ATTESTATION_PATH, peers.CANCELLATION_PATH):
            return self.partition_protocol.handle(request)
        if self._recovery_handler is not None and request.path.startswith(RECOVERY_PATH):
            return await self._recovery_handler(request)
        return self.lease_extensions.handle(request)

    async def _handle(self, request: Request) -> Response:
        if request.path == workers.HEARTBEAT_PATH:
            if request.method != "POST":
                return Response(405)
            return await self._report(request)
        if request.path == users.JOBS_PATH or request.path.startswith(users.JOBS_PATH + "/"):
            return await self.jobs.handle(request)
        if request.path == "/healthz":
            # users are sent elsewhere while this controller alone can't decide anything
            ready = self.watcher.ready.is_set() and bool(self.cluster.catalog)
            ready = ready and not self.lease_extensions.is_only_one_refused
            return Response(200 if ready else 503)
        return Response(404, users.error_body("no such path"))

    async def _report(self, request: Request) -> Response:
        try:
            heartbeat = workers.parse_heartbeat(
                load_object(request.body), self.heartbeats.read_task_status
            )
        except MalformedMessageError as exc:
            return Response(400, users.error_body(str(exc)))
        before = len(self.heartbeats.outcomes)
        answer = self.heartbeats.handle(heartbeat)
        if len(self.heartbeats.outcomes) > before:
            await self.scheduling_loop.wake.set()
        if answer.status == 200:
            return Response(200, workers.answer_body(answer.token, list(answer.commands)))
        return Response(answer.status, workers.redirect_body(answer.redirect))

    async def run(self) -> None:
        """Runs all loops of the controller until it is killed."""
        s = self.settings
        log.info("starting controller=%s zone=%s bind=%s:%d", s.label, s.zone, *_pair(s))
        for run in self._loops:
            await curio.spawn(_guard, run, daemon=True)
        await curio.Event().wait()


def _pair(s: Settings) -> tuple[str, int]:
    return s.bind.host, s.bind.port


async def _guard(run) -> None:  # type: ignore[no-untyped-def]
    """A part that fails must not leave a controller half alive: it is logged and begun anew."""
    while True:
        try:
            await run()
        except curio.CancelledError:
            raise
        except Exception:
            log.exception("component failed component=%s", getattr(run, "__qualname__", run))
            await curio.sleep(1.0)


def serve(
    settings: Settings,
    multihost: "MultihostSettings | None" = None,
    recovery: "RecoverySettings | None" = None,
) -> None:
    """Runs a controller until it is killed."""
    app = App(settings, Clock(), multihost, recovery)
    # what was loaded lives as long as the process: the collector need not go over it again
    gc.freeze()
    curio.run(app.run)
