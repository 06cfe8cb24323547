"""Errors and availability that the state client reports for calls that failed."""

import curio
import pytest

from crossmill.net.client import ConnectionFailedError, NoResponseError
from crossmill.state.client import OutcomeUnknownError, RequestRefusedError, StateClient

from .builders import make_settings
from .fake_clock import FakeClock


class _FailingHttp:
    """An HTTP connection on which every request results in the same status or error."""

    def __init__(self, outcome: int | Exception) -> None:
        self._outcome = outcome

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome, b"{}"


def _client(outcome: int | Exception) -> StateClient:
    return StateClient(make_settings(), FakeClock(), _FailingHttp(outcome))


@pytest.mark.parametrize(
    ("outcome", "status", "is_rate_limited"),
    [
        (429, 429, True),
        (503, 503, False),
        # a port that contains 429 is not a rate limit
        (ConnectionFailedError("127.0.0.1:4290 GET /keys/a: refused"), None, False),
    ],
)
def test_a_refused_request_reports_its_status(
    outcome: int | Exception, status: int | None, is_rate_limited: bool
) -> None:
    with pytest.raises(RequestRefusedError) as raised:
        curio.run(_client(outcome).get, "a")
    assert raised.value.status == status
    assert raised.value.is_rate_limited is is_rate_limited


def test_a_call_without_a_response_has_an_unknown_outcome() -> None:
    with pytest.raises(OutcomeUnknownError):
        curio.run(_client(NoResponseError("timed out")).get, "a")


@pytest.mark.parametrize(("status", "is_served"), [(429, True), (503, False)])
def test_a_rate_limited_request_counts_as_success_and_an_unavailable_service_does_not(
    status: int, is_served: bool
) -> None:
    client = _client(status)
    for _ in range(2):
        with pytest.raises(RequestRefusedError):
            curio.run(client.get, "a")
    assert (client.last_success_age_s() is not None) is is_served
