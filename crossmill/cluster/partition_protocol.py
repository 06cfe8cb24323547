"""The protocol between controllers for partitioned zones, and the loop that runs it.

`keepalive` responds to workers of this controller's own zone, `expiry_proof` collects attestations
for the machines that this controller owns, and `cancellations` announces cancellations to other
controllers. The heartbeat handler, the scheduling loop and the job API use these components
directly.
"""

import curio

from ..net.clock import Clock
from ..net.server import Request, Response
from ..settings import Settings
from ..wire import peers as wire
from ..wire.checks import MalformedMessageError
from .cancellation_announcement import CancellationAnnouncement
from .lease_expiry_proof import LeaseExpiryProof
from .partition_detector import PartitionDetector, RegionContact
from .partition_keepalive import PartitionKeepalive, StateSync
from .peer_links import PeerLinks
from .state_access import StateAccess


class PartitionProtocol:
    """The components that handle partitioned zones, updated together by one loop."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        state: StateAccess,
        peers: PeerLinks,
        region_contact: RegionContact,
    ) -> None:
        self._settings = settings
        self._controller_lease = state.controller_lease
        self.peers = peers
        self.partition_detector = PartitionDetector(
            clock, state.controller_lease, self.peers, region_contact
        )
        self.state_sync = StateSync(settings, clock, state)
        self.keepalive = PartitionKeepalive(
            settings, clock, state.cluster, self.partition_detector, self.state_sync
        )
        self.expiry_proof = LeaseExpiryProof(settings, clock, state.cluster, self.peers)
        self.cancellations = CancellationAnnouncement(
            settings,
            state.cluster,
            self.peers,
            self.expiry_proof.absences,
            self.keepalive.pending_cancellations,
        )

    def handle(self, request: Request) -> Response:
        """Respond to a peer's request for attestations or its announcement of cancellations."""
        try:
            if request.path == wire.ATTESTATION_PATH:
                spans_s = self.keepalive.suspend(wire.parse_attestation_request(request.body))
                return Response(200, wire.attestations_body(spans_s))
            for job_id in wire.parse_cancellations(request.body):
                self.keepalive.pending_cancellations.add(job_id)
        except MalformedMessageError:
            return Response(400)
        return Response(200)

    async def step(self) -> None:
        """Record absent controllers, probe other zones, request attestations, and sync the mirror.

        Other zones are probed only while the controller's lease can't be renewed. The mirror is
        synced only while the lease can be renewed.
        """
        self.expiry_proof.observe_absences()
        self.expiry_proof.drop_expired()
        self.keepalive.log_silent_workers()
        async with curio.TaskGroup() as group:
            if self._controller_lease.is_failing:
                self.partition_detector.record_renewal_failure()
                for label in self.peers.labels_outside_zone:
                    await group.spawn(self.peers.call, label, "GET", wire.OWNED_SHARDS_PATH)
            else:
                self.partition_detector.record_renewal()
            await self.expiry_proof.query_zones(group)
        if not self._controller_lease.is_failing:
            await self.state_sync.refresh()

    async def run(self) -> None:
        """Call `step` at every lease renewal interval until the controller stops."""
        while True:
            await self.step()
            await curio.sleep(self._settings.lease_renewal_interval_s)
