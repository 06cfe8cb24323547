"""How the state client classifies calls that were not executed."""

import curio
import pytest

from crossmill.net.client import ConnectionFailedError, NoResponseError
from crossmill.state.client import OutcomeUnknownError, RequestRefusedError, StateClient

from .builders import make_settings
from .fake_clock import FakeClock


class _FailingLink:
    """A link to the state service on which every request gives one status or error."""

    def __init__(self, outcome: int | Exception) -> None:
        self._outcome = outcome

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 2.0
    ) -> tuple[int, bytes]:
        if isinstance(self._outcome, Exception):
            raise self._outcome
        return self._outcome, b"{}"


def _client(outcome: int | Exception) -> StateClient:
    return StateClient(make_settings(), FakeClock(), _FailingLink(outcome))


@pytest.mark.parametrize(
    ("outcome", "status", "is_rate_limited"),
    [
        (429, 429, True),
        (503, 503, False),
        # the port of an address says nothing about the rate
        (ConnectionFailedError("127.0.0.1:4290 GET /keys/a: refused"), None, False),
    ],
)
def test_a_refusal_tells_its_status(
    outcome: int | Exception, status: int | None, is_rate_limited: bool
) -> None:
    with pytest.raises(RequestRefusedError) as raised:
        curio.run(_client(outcome).get, "a")
    assert raised.value.status == status
    assert raised.value.is_rate_limited is is_rate_limited


def test_a_call_without_an_answer_has_an_unknown_outcome() -> None:
    with pytest.raises(OutcomeUnknownError):
        curio.run(_client(NoResponseError("timed out")).get, "a")


@pytest.mark.parametrize(("status", "is_served"), [(429, True), (503, False)])
def test_only_a_rate_limited_refusal_shows_a_service_that_is_up(
    status: int, is_served: bool
) -> None:
    client = _client(status)
    for _ in range(2):
        with pytest.raises(RequestRefusedError):
            curio.run(client.get, "a")
    assert (client.last_success_age_s() is not None) is is_served
