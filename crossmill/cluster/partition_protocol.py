"""What controllers say to one another about partitioned zones, and the loop that keeps it going.

The parts: `keepalive` answers workers of this controller's own zone, `expiry_proof` gathers
attestations for the machines that it owns, `cancellations` tells others of cancellations.
"""

from collections.abc import Awaitable, Callable

import curio

from ..net.client import Client, Http
from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Peer, Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from .cancellation_announcement import CancellationAnnouncement
from .cluster_state import ClusterState
from .controller_lease import ControllerLease
from .lease_expiry_proof import LeaseExpiryProof
from .partition_keepalive import PartitionKeepalive
from .peer_links import PeerLinks


class PartitionProtocol:
    """The parts that deal with partitioned zones, stepped together by one loop."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        cluster: ClusterState,
        controller_lease: ControllerLease,
        sync: Callable[[float], Awaitable[bool]],
        connect: Callable[[Peer], Http] = lambda peer: Client(peer.endpoint, max_sockets=2),
    ) -> None:
        self._settings = settings
        self._controller_lease = controller_lease
        self.peers = PeerLinks(settings, clock, connect)
        self.keepalive = PartitionKeepalive(
            settings, clock, cluster, controller_lease, self.peers, sync
        )
        self.expiry_proof = LeaseExpiryProof(settings, clock, cluster, self.peers)
        self.cancellations = CancellationAnnouncement(
            settings,
            clock,
            cluster,
            self.peers,
            self.expiry_proof.absences,
            self.keepalive.pending_cancellations,
        )

    def handle(self, request: Request) -> Response:
        """Answers a peer: an owner's request for attestations, or a cancellation's
        announcement.
        """
        try:
            if request.path == wire.ATTESTATION_PATH:
                spans_s = self.keepalive.withhold(wire.parse_machines(request.body))
                return Response(200, wire.attestations_body(spans_s))
            for job_id in wire.parse_cancellations(request.body):
                self.keepalive.pending_cancellations.add(job_id)
        except MalformedMessageError:
            return Response(400)
        return Response(200)

    async def step(self) -> None:
        """Notes which controllers are gone, probes other zones while the lease fails, and asks
        for the attestations that are wanted.
        """
        self.expiry_proof.observe_absences()
        self.expiry_proof.drop_expired()
        async with curio.TaskGroup() as group:
            if self._controller_lease.is_failing:
                self.keepalive.note_lease_failing()
                for label in self.peers.outside_zone:
                    await group.spawn(self.peers.call, label, "GET", wire.OWNED_SHARDS_PATH)
            else:
                self.keepalive.note_lease_renewed()
            await self.expiry_proof.ask_zones(group)
        if not self._controller_lease.is_failing:
            await self.keepalive.refresh()

    async def run(self) -> None:
        """Steps until the controller ends."""
        while True:
            await self.step()
            await curio.sleep(self._settings.lease_renewal_interval_s)
