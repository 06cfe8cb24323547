"""The detection that the state service is unavailable to one controller alone."""

import pytest

from crossmill.cluster.isolation import IsolationDetector, IsolationReason
from crossmill.cluster.peer_links import PeerLinks
from crossmill.net.client import HttpClient, NoResponseError
from crossmill.settings import Peer, Settings, parse

from .builders import make_settings, settings_table
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, run_scenario

PEERS_SILENT, SOME_PEERS_SILENT, PEER_SERVED = (
    IsolationReason.PEERS_SILENT,
    IsolationReason.SOME_PEERS_SILENT,
    IsolationReason.PEER_SERVED,
)


class FakeServiceStatus:
    """The times of the calls to the state service, which tests set."""

    def __init__(self) -> None:
        self.since: float | None = None
        self.failed_at = 0.0

    def last_success_age_s(self) -> float | None:
        """Return None, which the detector does not read."""
        return None

    def last_failure_at(self) -> float:
        """Return the time set by the test."""
        return self.failed_at

    def unavailable_since(self) -> float | None:
        """Return the time set by the test."""
        return self.since


class ScriptedPeer:
    """A link to a peer that answers with a body, or with nothing if the body is None."""

    def __init__(self, body: bytes | None) -> None:
        self.body = body
        self.requests: list[tuple[str, str, bytes]] = []

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        """Record the request, and answer it."""
        self.requests.append((method, path, body))
        if self.body is None:
            raise NoResponseError(path)
        return 200, self.body


class DetectorScenario:
    """A detector of node-0 with two peers, and a state service that has become unavailable."""

    def __init__(self, settings: Settings, *bodies: bytes | None) -> None:
        self.settings = settings
        self.clock = FakeClock()
        self.service = FakeServiceStatus()
        self.links = {
            peer.label: ScriptedPeer(body)
            for peer, body in zip(settings.peers, bodies, strict=True)
        }

        def connect(peer: Peer) -> HttpClient:
            return self.links[peer.label]

        peers = PeerLinks(settings, self.clock, connect)
        self.detector = IsolationDetector(settings, self.clock, self.service, peers)
        self.service.since = self.service.failed_at = self.clock.now()

    async def pass_time(self, seconds: float) -> None:
        """Run the detector's steps; one call to the state service fails before each."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            self.clock.time += self.settings.lease_renewal_interval_s
            self.service.failed_at = self.clock.now()
            await self.detector.step()


NOT_SERVED, SERVED = b'{"servedAgoS":1000.0}', b'{"servedAgoS":0.1}'
NEVER_SERVED = b'{"servedAgoS":null}'
# answers of a version that has other fields, and of something that is no controller
FOREIGN, MALFORMED = b'{"foo":1}', b"[]"


@pytest.mark.parametrize(
    ("bodies", "after_s", "reason"),
    [
        ((NOT_SERVED, NOT_SERVED), 300.0, None),
        ((NOT_SERVED, NEVER_SERVED), 300.0, None),
        ((FOREIGN, NOT_SERVED), 300.0, None),
        ((SERVED, SERVED), 3.0, PEER_SERVED),
        ((SERVED, NOT_SERVED), 3.0, PEER_SERVED),
        ((SERVED, None), 3.0, PEER_SERVED),
        ((None, None), 6.0, None),
        ((None, None), 8.0, PEERS_SILENT),
        ((MALFORMED, None), 8.0, PEERS_SILENT),
        ((NOT_SERVED, None), 44.0, None),
        ((NOT_SERVED, None), 47.0, SOME_PEERS_SILENT),
    ],
)
def test_isolation_follows_from_the_answers_of_the_peers(
    bodies: tuple[bytes | None, ...], after_s: float, reason: IsolationReason | None
) -> None:
    """Guards against users left with a cut controller, and against resets in an outage."""

    async def scenario(*_: object) -> None:
        region = DetectorScenario(make_settings(), *bodies)
        await region.pass_time(after_s)
        assert region.detector.reason() is reason
        region.service.since = None
        assert not region.detector.is_isolated

    run_scenario(scenario)


def test_a_peer_that_answers_again_ends_the_isolation_of_a_controller_in_an_outage() -> None:
    async def scenario(*_: object) -> None:
        region = DetectorScenario(make_settings(), None, None)
        await region.pass_time(10.0)
        assert region.detector.is_isolated
        for link in region.links.values():
            link.body = NOT_SERVED
        await region.pass_time(1.0)
        assert not region.detector.is_isolated

    run_scenario(scenario)


def test_an_answer_to_an_old_question_does_not_end_the_isolation() -> None:
    """Guards against an answer that the network held back until after the begin of a cut."""

    async def scenario(*_: object) -> None:
        region = DetectorScenario(make_settings(), None, None)
        asked_at = region.clock.now()
        await region.pass_time(10.0)
        region.detector.record_answer("node-1", asked_at, 1000.0)
        assert region.detector.is_isolated

    run_scenario(scenario)


def test_a_proof_from_an_earlier_outage_does_not_count_in_the_next() -> None:
    async def scenario(*_: object) -> None:
        region = DetectorScenario(make_settings(), SERVED, SERVED)
        await region.pass_time(5.0)
        assert region.detector.is_isolated
        for link in region.links.values():
            link.body = NOT_SERVED
        region.clock.time += 10.0
        region.service.since = region.clock.now()
        await region.pass_time(20.0)
        assert not region.detector.is_isolated

    run_scenario(scenario)


def test_a_controller_without_peers_is_never_isolated() -> None:
    async def scenario(*_: object) -> None:
        region = DetectorScenario(parse(settings_table(members=[])))
        await region.pass_time(300.0)
        assert not region.detector.is_isolated

    run_scenario(scenario)


def test_no_peer_is_asked_while_the_state_service_is_available() -> None:
    async def scenario(*_: object) -> None:
        region = DetectorScenario(make_settings(), SERVED, SERVED)
        region.service.since = None
        await region.pass_time(10.0)
        assert not any(link.requests for link in region.links.values())

    run_scenario(scenario)


def test_the_question_to_a_peer_grants_no_extension() -> None:
    """Guards against a question that keeps a peer from acquiring shards."""

    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        node = SteppedController(state, clock, nodes, "node-0")
        await node.boot()
        peer = SteppedController(state, clock, nodes, "node-1")
        await peer.boot()
        state.is_down = True
        for _ in range(3):
            await node.controller_lease.step()
        await node.isolation.step()
        assert node.client.unavailable_since() is not None
        shards = range(node.settings.shard_count)
        assert not any(peer.lease_extensions.is_granted_to_peer(shard) for shard in shards)
        assert node.partition_protocol.peers.last_response_at.keys() == {"node-1"}

    run_scenario(scenario)
