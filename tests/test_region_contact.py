"""The sign that users or the load balancer reach a controller."""

import curio
import pytest

from crossmill.cluster.partition_detector import RegionContact
from crossmill.net.server import Request

from .builders import make_settings
from .fake_clock import FakeClock
from .fake_state_service import StateService
from .stepped_controller import Nodes, SteppedController, run_scenario

PROBE_INTERVAL_S = 1.0


def _contact_after(*intervals_s: float) -> tuple[RegionContact, FakeClock]:
    """Return a contact with a request after each of the intervals."""
    clock = FakeClock()
    contact = RegionContact(make_settings(), clock)
    for interval_s in intervals_s:
        clock.time += interval_s
        contact.record_request()
    return contact, clock


@pytest.mark.parametrize(
    ("intervals_s", "is_recent"),
    [
        ((), False),
        # one request, which the network may have held back
        ((5.0,), False),
        ((5.0, 60.0), False),
        # several that were held back and arrive together
        ((5.0, 0.01, 0.01, 0.3), False),
        ((5.0, 60.0, 0.01, 0.01, 0.3), False),
        # probes, one of which may be lost
        ((5.0, PROBE_INTERVAL_S), True),
        ((5.0, PROBE_INTERVAL_S, 2.2 * PROBE_INTERVAL_S), True),
        # users' requests in quick succession
        ((5.0, *[0.05] * 100), True),
    ],
)
def test_only_requests_that_arrived_apart_are_a_sign(
    intervals_s: tuple[float, ...], is_recent: bool
) -> None:
    contact, _ = _contact_after(*intervals_s)
    assert contact.is_recent() is is_recent


def test_the_sign_ends_soon_after_the_last_probe() -> None:
    """Guards against probes from before a partition that keep workers from being kept alive."""
    contact, clock = _contact_after(*[PROBE_INTERVAL_S] * 60)
    clock.time += 3.1 * PROBE_INTERVAL_S
    assert not contact.is_recent()


def test_requests_of_users_and_the_load_balancer_count_and_heartbeats_do_not() -> None:
    async def scenario(state: StateService, clock: FakeClock, nodes: Nodes) -> None:
        for path in ("/agent/beat", "/healthz", "/v1/jobs/wk-000001"):
            node = SteppedController(state, clock, nodes)
            for _ in range(3):
                clock.time += PROBE_INTERVAL_S
                await curio.ignore_after(1.0, node.public_routes.handle, Request("GET", path, b""))
            assert node.region_contact.is_recent() is (path != "/agent/beat"), path

    run_scenario(scenario)
